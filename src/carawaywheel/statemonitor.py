"""Records state changes of a node as events for the timeline."""

from .clock import Clock
from .events import EventKind
from .executor import TargetExecutor
from .follower import StreamFollower
from .recorder import Recorder

# Smaller changes are normal adjustments of the adaptive concurrency limit.
LIMIT_STEP_SHARE = 0.2


class StateMonitor:
    """Records changes of the concurrency limit, overload level and log availability.

    Attributes:
        limit: Concurrency limit that was recorded last, in slots.
        lowest_admitted_importance: Least important class that was recorded last as
            admitted, as the number of its ``Importance``; -1 for none.
        log_down: Whether the log was recorded last as unavailable.
    """

    def __init__(
        self,
        executor: TargetExecutor,
        follower: StreamFollower,
        recorder: Recorder,
        clock: Clock,
    ) -> None:
        self.executor = executor
        self.follower = follower
        self.recorder = recorder
        self.clock = clock
        self.limit = 0
        self.lowest_admitted_importance = 2
        self.log_down = False

    def poll(self) -> None:
        """Compare the state with the last recorded state and record any change."""
        if self.follower.log_down != self.log_down:
            self.log_down = self.follower.log_down
            text = "does not answer" if self.log_down else "answers"
            self.recorder.state_event(EventKind.LOG_STATE, f"the log {text}")
        if self.executor.gate is None:
            return
        now = self.clock.now()
        queue = self.executor.gate.queue
        limit = queue.limit.limit(now)
        if abs(limit - self.limit) > LIMIT_STEP_SHARE * max(1, self.limit):
            text = f"{self.limit} to {limit}"
            self.limit = limit
            self.recorder.state_event(EventKind.LIMIT_CHANGED, text)
        level = queue.overload_level(self.executor.gate.target.service, now)
        if level.lowest_admitted_importance != self.lowest_admitted_importance:
            self.lowest_admitted_importance = level.lowest_admitted_importance
            text = f"importances up to {self.lowest_admitted_importance} are admitted"
            self.recorder.state_event(EventKind.LEVEL_CHANGED, text)

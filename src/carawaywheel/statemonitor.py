"""Noticing changes of a node's state, for the time line."""

from .clock import Clock
from .events import EventKind
from .executor import TargetExecutor
from .follower import StreamFollower
from .recorder import Recorder

# Smaller steps of the limit are part of its normal search.
LIMIT_STEP_SHARE = 0.2


class StateMonitor:
    """Records the limit, the level and the log's state when they have changed."""

    def __init__(
        self,
        server: TargetExecutor,
        follower: StreamFollower,
        recorder: Recorder,
        clock: Clock,
    ) -> None:
        self.executor = server
        self.follower = follower
        self.recorder = recorder
        self.clock = clock
        self.limit = 0
        self.lowest_admitted_importance = 2
        self.log_down = False

    def poll(self) -> None:
        """Compare the state with the one that was recorded last."""
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

"""Outlier ejection: failing targets are ejected up to a bound.

An ejected target takes one probe request, whose success ends the ejection.
"""

import enum
from collections.abc import Collection

from .settings import RoutingSettings

# Largest exponent of the exponentially growing ejection time.
MAX_DOUBLINGS = 16


class EjectionState(enum.Enum):
    """Whether a target may be sent requests.

    FULL targets take any request, PROBE targets a single one, EJECTED targets none.
    """

    FULL = "full"
    PROBE = "probe"
    EJECTED = "ejected"


class FailureHistory:
    """Failure history of one target.

    Attributes:
        failures: Consecutive failures.
        ejections: Ejections less those forgiven after a long time without one; each
            doubles the time of the next ejection.
        ejected: Whether the target is ejected or waits for the end of its probe.
        ejected_until: End of the last ejection, or time at which one was last
            forgiven, in seconds.
        probe_expires_at: Time in seconds until which a probe counts as in flight.
        last_success_at: Time in seconds of the last response, or None.
    """

    __slots__ = (
        "failures",
        "ejections",
        "ejected",
        "ejected_until",
        "probe_expires_at",
        "last_success_at",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected = False
        self.ejected_until = 0.0
        self.probe_expires_at = 0.0
        self.last_success_at: float | None = None

    def state(self, now: float) -> EjectionState:
        """Return the state at ``now``, in seconds."""
        if not self.ejected:
            return EjectionState.FULL
        if now >= self.ejected_until and now >= self.probe_expires_at:
            return EjectionState.PROBE
        return EjectionState.EJECTED

    def readmit(self) -> None:
        """End the ejection and reset the count of failures."""
        self.ejected = False
        self.failures = 0
        self.probe_expires_at = 0.0


class OutlierEjector:
    """Decides which targets of one service are ejected.

    At most ``eject_share`` of the targets, rounded down, are ejected at once, and at
    least one always stays in use. Further failing targets stay in use as well.

    Attributes:
        histories: Failure history of each target by its id.
        ejected_count: Number of ejected targets.
        any_failing: Whether any target has ever reached the count for ejection.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.histories: dict[str, FailureHistory] = {}
        self.ejected_count = 0
        self.any_failing = False

    def set_targets(self, target_ids: Collection[str]) -> None:
        """Replace the set of targets and end ejections beyond the bound."""
        self.histories = {
            target_id: self.histories.get(target_id) or FailureHistory()
            for target_id in target_ids
        }
        ejected = [history for history in self.histories.values() if history.ejected]
        ejected.sort(key=lambda history: history.ejected_until, reverse=True)
        for history in ejected[self.max_ejected() :]:
            history.readmit()
        self.ejected_count = min(len(ejected), self.max_ejected())

    def reset(self, target_id: str) -> None:
        """Discard the history of a target that was replaced or restarted."""
        if target_id in self.histories:
            self._readmit(self.histories[target_id])
            self.histories[target_id] = FailureHistory()

    def max_ejected(self) -> int:
        """Return how many targets may be ejected at once."""
        count = len(self.histories)
        return max(0, min(int(count * self.settings.eject_share), count - 1))

    def state(self, target_id: str, now: float) -> EjectionState:
        """Return the state of a target at ``now``, in seconds."""
        history = self.histories.get(target_id)
        return history.state(now) if history else EjectionState.EJECTED

    def record_start(self, target_id: str, now: float) -> None:
        """Record the start of a request; to an ejected target it is the probe."""
        history = self.histories.get(target_id)
        if history is None or history.state(now) is not EjectionState.PROBE:
            return
        # Expires, so that a probe whose end is never recorded cannot keep the target
        # ejected forever.
        history.probe_expires_at = now + self.settings.eject_max

    def record_success(self, target_id: str, now: float) -> None:
        """Record a response of a target; a response to its probe ends the ejection.

        Responses to requests sent before the ejection do not end it.
        """
        history = self.histories.get(target_id)
        if history is None:
            return
        if history.ejected:
            if now >= history.ejected_until:
                self._readmit(history)
        elif self._may_forgive_ejection(history, now):
            history.ejections -= 1
            history.ejected_until = now
        history.failures = 0
        history.last_success_at = now

    def record_cancellation(self, target_id: str) -> None:
        """Record a cancelled request, which is no evidence about the target."""
        history = self.histories.get(target_id)
        if history is not None:
            history.probe_expires_at = 0.0

    def record_failure(self, target_id: str, now: float) -> bool:
        """Record a failed request.

        Returns:
            Whether the target is ejected because of it.
        """
        history = self.histories.get(target_id)
        if history is None:
            return False
        history.failures += 1
        if history.ejected:
            return self._extend_after_probe(history, now)
        if history.failures < self.settings.eject_after:
            return False
        return self._eject(history, now)

    def record_silent_connection(self, target_id: str, now: float) -> bool:
        """Record a connection that no longer delivers any data.

        If the target responded on another connection within ``eject_base`` seconds,
        only the connection is lost and not the host, so this counts as one failure.
        Otherwise the target is ejected at once.

        Returns:
            Whether the target is ejected because of it.
        """
        history = self.histories.get(target_id)
        if history is None:
            return False
        last_success_at = history.last_success_at
        if last_success_at is None or now - last_success_at > self.settings.eject_base:
            history.failures = max(history.failures, self.settings.eject_after - 1)
        return self.record_failure(target_id, now)

    def is_failing(self, target_id: str) -> bool:
        """Return whether a target in use has reached the failures for ejection.

        Callers check ``any_failing`` first, which avoids this look-up while no
        target has failed so often.
        """
        history = self.histories.get(target_id)
        if history is None or history.ejected:
            return False
        return history.failures >= self.settings.eject_after

    def seconds_to_next_probe(self, now: float) -> float | None:
        """Return the seconds until the next probe, or None if none is ejected."""
        waits = [
            max(history.ejected_until, history.probe_expires_at) - now
            for history in self.histories.values()
            if history.ejected
        ]
        return max(0.0, min(waits)) if waits else None

    def _may_forgive_ejection(self, history: FailureHistory, now: float) -> bool:
        return (
            history.ejections > 0
            and now - history.ejected_until > self.settings.eject_max
        )

    def _extend_after_probe(self, history: FailureHistory, now: float) -> bool:
        if now < history.ejected_until:
            return False
        self._start_ejection_period(history, now)
        return True

    def _eject(self, history: FailureHistory, now: float) -> bool:
        self.any_failing = True
        if self.ejected_count >= self.max_ejected():
            return False
        self.ejected_count += 1
        history.ejected = True
        self._start_ejection_period(history, now)
        return True

    def _start_ejection_period(self, history: FailureHistory, now: float) -> None:
        doublings = min(history.ejections, MAX_DOUBLINGS)
        duration = self.settings.eject_base * 2**doublings
        history.ejected_until = now + min(duration, self.settings.eject_max)
        history.probe_expires_at = 0.0
        history.ejections += 1

    def _readmit(self, history: FailureHistory) -> None:
        if history.ejected:
            self.ejected_count -= 1
        history.readmit()

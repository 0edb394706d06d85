"""Bounded ejection of failing targets, with one probe before a target returns."""

import enum
from collections.abc import Collection

from .settings import RoutingSettings

MAX_DOUBLINGS = 16


class Standing(enum.Enum):
    """Whether a target may be given work."""

    FULL = "full"
    PROBE = "probe"
    EJECTED = "ejected"


class Record:
    """Failure history of one target.

    Attributes:
        failures: Consecutive failures.
        ejections: Ejections that have not been forgiven.
        ejected: Whether the target is ejected or waits for its probe.
        until: End of the ejection, in seconds.
        probe_expiry: Time in seconds until which a probe request is under way.
        last_success: Time in seconds of the last answer, or None.
    """

    __slots__ = (
        "failures",
        "ejections",
        "ejected",
        "until",
        "probe_expiry",
        "last_success",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected = False
        self.until = 0.0
        self.probe_expiry = 0.0
        self.last_success: float | None = None

    def standing(self, now: float) -> Standing:
        """Return whether the target may be given work at ``now``, in seconds."""
        if not self.ejected:
            return Standing.FULL
        if now >= self.until and now >= self.probe_expiry:
            return Standing.PROBE
        return Standing.EJECTED

    def release(self) -> None:
        """End the ejection and forget the failures that led to it."""
        self.ejected = False
        self.failures = 0
        self.probe_expiry = 0.0


class Ejector:
    """Decides which targets of one service are ejected.

    At most ``eject_share`` of the targets (rounded down) are ejected at once, so
    one always remains usable. Targets that fail beyond this bound stay usable.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.records: dict[str, Record] = {}
        self.ejected_count = 0
        self.any_failing = False

    def keep(self, target_ids: Collection[str]) -> None:
        """Replace the set of targets and lift ejections above the bound."""
        self.records = {
            target_id: self.records.get(target_id) or Record()
            for target_id in target_ids
        }
        ejected = [record for record in self.records.values() if record.ejected]
        ejected.sort(key=lambda record: record.until, reverse=True)
        for record in ejected[self.bound() :]:
            record.release()
        self.ejected_count = min(len(ejected), self.bound())

    def reset(self, target_id: str) -> None:
        """Forget the history of a target that was replaced or restarted."""
        if target_id in self.records:
            self._release(self.records[target_id])
            self.records[target_id] = Record()

    def bound(self) -> int:
        """Return how many targets may be ejected at once."""
        count = len(self.records)
        return max(0, min(int(count * self.settings.eject_share), count - 1))

    def standing(self, target_id: str, now: float) -> Standing:
        """Return whether a target may be given work at ``now``, in seconds."""
        record = self.records.get(target_id)
        return record.standing(now) if record else Standing.EJECTED

    def started(self, target_id: str, now: float) -> None:
        """Note a request; one to an ejected target is its probe."""
        record = self.records.get(target_id)
        if record is None or record.standing(now) is not Standing.PROBE:
            return
        # A probe whose end is never reported must not keep the target out for good.
        record.probe_expiry = now + self.settings.eject_max

    def succeeded(self, target_id: str, now: float) -> None:
        """Note an answer from a target; ends its ejection if it was the probe.

        Answers to requests sent before the ejection don't end it.
        """
        record = self.records.get(target_id)
        if record is None:
            return
        if record.ejected:
            if now >= record.until:
                self._release(record)
        elif self._healthy_for_long(record, now):
            record.ejections -= 1
            record.until = now
        record.failures = 0
        record.last_success = now

    def abandoned(self, target_id: str) -> None:
        """Note a request that ended without saying anything about the target."""
        record = self.records.get(target_id)
        if record is not None:
            record.probe_expiry = 0.0

    def failed(self, target_id: str, now: float) -> bool:
        """Note a failure.

        Returns:
            Whether the target was ejected by it.
        """
        record = self.records.get(target_id)
        if record is None:
            return False
        record.failures += 1
        if record.ejected:
            return self._probe_failed(record, now)
        if record.failures < self.settings.eject_after:
            return False
        return self._eject(record, now)

    def silent(self, target_id: str, now: float) -> bool:
        """Note a silent connection.

        A target that answered on another connection within ``eject_base`` seconds
        has lost a connection, not its host, so this counts as one failure. Any
        other target is ejected at once.

        Returns:
            Whether the target was ejected by it.
        """
        record = self.records.get(target_id)
        if record is None:
            return False
        last = record.last_success
        if last is None or now - last > self.settings.eject_base:
            record.failures = max(record.failures, self.settings.eject_after - 1)
        return self.failed(target_id, now)

    def failing(self, target_id: str) -> bool:
        """Return whether a usable target has reached the count for ejection.

        ``any_failing`` spares this look-up until a target has failed so often.
        """
        record = self.records.get(target_id)
        if record is None or record.ejected:
            return False
        return record.failures >= self.settings.eject_after

    def next_return(self, now: float) -> float | None:
        """Return the seconds until the next probe, or None if none is ejected."""
        waits = [
            max(record.until, record.probe_expiry) - now
            for record in self.records.values()
            if record.ejected
        ]
        return max(0.0, min(waits)) if waits else None

    def _healthy_for_long(self, record: Record, now: float) -> bool:
        return record.ejections > 0 and now - record.until > self.settings.eject_max

    def _probe_failed(self, record: Record, now: float) -> bool:
        if now < record.until:
            return False
        self._set_ejection(record, now)
        return True

    def _eject(self, record: Record, now: float) -> bool:
        self.any_failing = True
        if self.ejected_count >= self.bound():
            return False
        self.ejected_count += 1
        record.ejected = True
        self._set_ejection(record, now)
        return True

    def _set_ejection(self, record: Record, now: float) -> None:
        doublings = min(record.ejections, MAX_DOUBLINGS)
        time = self.settings.eject_base * 2**doublings
        record.until = now + min(time, self.settings.eject_max)
        record.probe_expiry = 0.0
        record.ejections += 1

    def _release(self, record: Record) -> None:
        if record.ejected:
            self.ejected_count -= 1
        record.release()

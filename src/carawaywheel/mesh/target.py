"""The target beside a node, as its heartbeats tell it."""

import enum
from typing import NamedTuple


class Phase(enum.IntEnum):
    """Phase of a target; a later one is final for its lifetime."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Heartbeat(NamedTuple):
    """What a target says of itself.

    Attributes:
        target_id: Id of the target.
        service: Service that it serves.
        address: IP address and port.
        slots: Requests that it runs at once.
        phase: Whether it takes new work.
        incarnation: Start of the target in Unix milliseconds.
        sequence: Number of the heartbeat in this incarnation.
    """

    target_id: str
    service: str
    address: str
    slots: int
    phase: Phase
    incarnation: int
    sequence: int


class LocalTarget:
    """The newest incarnation of the target that reported here.

    Attributes:
        heartbeat: Its newest heartbeat, None before the first one.
        gone: Start of each target that said that it leaves, by id.
    """

    def __init__(self, service: str, address: str) -> None:
        self.service = service
        self.address = address
        self.heartbeat: Heartbeat | None = None
        self.deregistered: dict[str, int] = {}

    def receive(self, heartbeat: Heartbeat) -> bool:
        """Take a heartbeat; return whether it is newer than what is known.

        A late heartbeat of a former incarnation changes nothing, and neither does
        one that comes after the target left.
        """
        if heartbeat.service != self.service or heartbeat.address != self.address:
            return False
        if heartbeat.incarnation <= self.deregistered.get(heartbeat.target_id, -1):
            return False
        known = self.heartbeat
        if known is not None:
            if heartbeat.incarnation < known.incarnation:
                return False
            if heartbeat.incarnation == known.incarnation:
                if heartbeat.target_id != known.target_id:
                    return False
                if heartbeat.sequence <= known.sequence:
                    return False
                heartbeat = heartbeat._replace(phase=max(known.phase, heartbeat.phase))
        self.heartbeat = heartbeat
        return True

    def deregister(self, target_id: str) -> None:
        """Note that a target said that it is gone."""
        known = self.heartbeat
        if known is not None and known.target_id == target_id:
            self.heartbeat = known._replace(phase=Phase.GONE)
            self.deregistered[target_id] = known.incarnation

    @property
    def ready(self) -> bool:
        """Whether the target takes new work."""
        return self.heartbeat is not None and self.heartbeat.phase is Phase.READY

    @property
    def phase(self) -> Phase | None:
        """Phase of the target; None while it is unknown."""
        return self.heartbeat.phase if self.heartbeat else None

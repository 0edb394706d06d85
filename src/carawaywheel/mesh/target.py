"""State of the local target, derived from its heartbeats."""

import enum
from collections.abc import Callable
from typing import NamedTuple


class Phase(enum.IntEnum):
    """Phase of a target; it never moves back within one incarnation."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Heartbeat(NamedTuple):
    """Heartbeat of a target.

    Attributes:
        target_id: Id of the target.
        service: Service that the target belongs to.
        address: IP address and port.
        slots: Requests that the target runs concurrently.
        phase: Phase of the target.
        incarnation: Start time of the target in Unix milliseconds.
        sequence: Sequence number of the heartbeat within the incarnation.
        warmup_remaining: Seconds for which the target stays cold, 0 when warm; None if
            it does not tell.
    """

    target_id: str
    service: str
    address: str
    slots: int
    phase: Phase
    incarnation: int
    sequence: int
    warmup_remaining: float | None = None


class LocalTarget:
    """Newest incarnation of the target beside this node.

    Attributes:
        service: Service of the target.
        address: IP address and port of the target.
        heartbeat: Newest heartbeat; None before the first one.
        confirmations: Heartbeats of its incarnation that have arrived in order.
        deregistered: Newest incarnation in which each target deregistered, by target
            id, whether or not a heartbeat of it was known.
        former_unknown: Whether this node does not know yet what its former process
            knew of the target. Until then no heartbeat is believed that calls it ready.
        was_leaving: Whether the former process of this node knew that the target was
            leaving. A late heartbeat may still call it ready, so that the first such
            heartbeat needs a second one to confirm it.
        unconfirmed: Newest heartbeat that was not believed; None for none.
        on_heartbeat: Called with each heartbeat that is accepted, and whether it is
            the first one of its incarnation.
    """

    def __init__(self, service: str, address: str) -> None:
        self.service = service
        self.address = address
        self.heartbeat: Heartbeat | None = None
        self.confirmations = 0
        self.deregistered: dict[str, int] = {}
        self.former_unknown = False
        self.was_leaving = False
        self.unconfirmed: Heartbeat | None = None
        self.on_heartbeat: Callable[[Heartbeat, bool], None] = lambda *_: None

    def receive(self, heartbeat: Heartbeat) -> bool:
        """Process a heartbeat; return whether it was accepted.

        Late heartbeats of a former incarnation and heartbeats that arrive after the
        target deregistered are ignored.
        """
        if heartbeat.service != self.service or heartbeat.address != self.address:
            return False
        if heartbeat.incarnation <= self.deregistered.get(heartbeat.target_id, -1):
            return False
        if not self.is_confirmed(heartbeat):
            return False
        current = self.heartbeat
        continues = False
        if current is not None:
            if heartbeat.incarnation < current.incarnation:
                return False
            continues = heartbeat.incarnation == current.incarnation
            if continues:
                if heartbeat.target_id != current.target_id:
                    return False
                if heartbeat.sequence <= current.sequence:
                    return False
                heartbeat = heartbeat._replace(
                    phase=max(current.phase, heartbeat.phase)
                )
        self.heartbeat = heartbeat
        if not continues:
            self.confirmations = int(self.follows_unconfirmed(heartbeat))
        self.confirmations += 1
        self.on_heartbeat(heartbeat, not continues)
        return True

    def is_confirmed(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat may be believed after a restart of the node."""
        if heartbeat.phase is not Phase.READY:
            return True
        if self.former_unknown:
            self.unconfirmed = newer_heartbeat(heartbeat, self.unconfirmed)
            return False
        if not self.was_leaving:
            return True
        if heartbeat.target_id in self.deregistered:
            # It is newer than the incarnation that has left.
            return True
        if self.follows_unconfirmed(heartbeat):
            self.was_leaving = False
            return True
        earlier = self.unconfirmed
        if earlier is None or heartbeat.incarnation != earlier.incarnation:
            self.unconfirmed = heartbeat
        return False

    def follows_unconfirmed(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is a later one of an unconfirmed incarnation."""
        earlier = self.unconfirmed
        if earlier is None or heartbeat.incarnation != earlier.incarnation:
            return False
        return heartbeat.sequence > earlier.sequence

    def learn_former(self) -> None:
        """Note that all is known that the former process has published.

        If the target was not leaving, the newest heartbeat is believed now.
        """
        if not self.former_unknown:
            return
        self.former_unknown = False
        if self.unconfirmed is not None and not self.was_leaving:
            self.receive(self.unconfirmed)

    def distrust(self) -> bool:
        """Note that the former process knew that the target was leaving.

        Returns:
            Whether the target counts as leaving from now on, and did not before.
        """
        current = self.heartbeat
        if current is None:
            counted = self.leaving
        elif current.phase is not Phase.READY or self.confirmations > 1:
            return False
        elif current.target_id in self.deregistered:
            # It is newer than the incarnation that has left.
            return False
        else:
            counted = False
            self.unconfirmed, self.heartbeat = current, None
        self.was_leaving = True
        return not counted

    def deregister(self, target_id: str, incarnation: int) -> None:
        """Mark an incarnation of a target, and all before it, as gone at its request.

        Args:
            target_id: Id of the target.
            incarnation: The incarnation.
        """
        known = self.deregistered.get(target_id, incarnation)
        self.deregistered[target_id] = max(known, incarnation)
        current = self.heartbeat
        if current is None or current.target_id != target_id:
            return
        if current.incarnation <= incarnation:
            self.heartbeat = current._replace(phase=Phase.GONE)

    def incarnation_of(self, target_id: str) -> int | None:
        """Return the present incarnation of a target; None if another one is known."""
        current = self.heartbeat
        if current is None or current.target_id != target_id:
            return None
        return current.incarnation

    def mark_leaving(self, heartbeat: Heartbeat) -> bool:
        """Mark an incarnation as leaving since its responses say so.

        Args:
            heartbeat: Newest heartbeat of the incarnation when the request was sent.

        Returns:
            Whether it is the present incarnation and was not known to leave.
        """
        current = self.heartbeat
        if current is None or current.phase is not Phase.READY:
            return False
        if current.target_id != heartbeat.target_id:
            return False
        if current.incarnation != heartbeat.incarnation:
            return False
        self.heartbeat = current._replace(phase=Phase.DRAINING)
        return True

    @property
    def ready(self) -> bool:
        """Whether the target accepts new work."""
        return self.heartbeat is not None and self.heartbeat.phase is Phase.READY

    @property
    def phase(self) -> Phase | None:
        """Phase of the target; None before the first heartbeat."""
        return self.heartbeat.phase if self.heartbeat else None

    @property
    def leaving(self) -> bool:
        """Whether the newest target that this node knows of is leaving or has left."""
        if self.heartbeat is not None:
            return self.heartbeat.phase is not Phase.READY
        return self.was_leaving or bool(self.deregistered)


def newer_heartbeat(heartbeat: Heartbeat, other: Heartbeat | None) -> Heartbeat:
    """Return the newer one of two heartbeats."""
    if other is None:
        return heartbeat
    return max(heartbeat, other, key=lambda each: (each.incarnation, each.sequence))

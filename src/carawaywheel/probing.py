"""Failure detection by direct pings, then indirect ones, then suspicion."""

import random
from collections import OrderedDict
from typing import NamedTuple

from .settings import MembershipSettings

MAX_INDIRECT_PINGS = 64


class Probe:
    """A ping that waits for its acknowledgement.

    Attributes:
        node_id: Member that was pinged.
        sequence: Sequence number of the ping.
        indirect_at: Time in seconds at which to request indirect pings.
        indirect_requested: Whether indirect pings were requested.
    """

    __slots__ = ("node_id", "sequence", "indirect_at", "indirect_requested")

    def __init__(self, node_id: str, sequence: int, indirect_at: float) -> None:
        self.node_id = node_id
        self.sequence = sequence
        self.indirect_at = indirect_at
        self.indirect_requested = False


class IndirectPing(NamedTuple):
    """A ping on behalf of another member.

    Attributes:
        address: Gossip address of the member that requested it.
        sequence: Sequence number of that member, for the relayed acknowledgement.
        node_id: Member that is pinged.
    """

    address: str
    sequence: int
    node_id: str


class Prober:
    """Schedules the probes of this node and tracks the pings it sends for others.

    Attributes:
        pending: The probe that waits for its acknowledgement, or None.
        next_at: Time in seconds of the next probe, or None before the first.
        indirect_pings: Pings on behalf of other members, by sequence number.
        sequence: Sequence number of the last ping.
    """

    def __init__(self, settings: MembershipSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.pending: Probe | None = None
        self.next_at: float | None = None
        self.indirect_pings: OrderedDict[int, IndirectPing] = OrderedDict()
        self.sequence = 0

    def next_sequence(self) -> int:
        """Return the sequence number for a new ping."""
        self.sequence += 1
        return self.sequence

    def is_due(self, now: float) -> bool:
        """Return whether a probe is due; if so, schedule the next one."""
        interval = self.settings.probe_interval
        if self.next_at is None:
            # Random initial delay, so that nodes started together do not probe in step.
            self.next_at = now + self.rng.random() * interval
        if now < self.next_at:
            return False
        self.next_at = max(self.next_at + interval, now)
        return True

    def start_probe(self, node_id: str, now: float) -> int:
        """Start a probe of a member and return its sequence number."""
        sequence = self.next_sequence()
        indirect_at = now + self.settings.probe_timeout
        self.pending = Probe(node_id, sequence, indirect_at)
        return sequence

    def take_due_indirect_probe(self, now: float) -> Probe | None:
        """Return the probe for which to request indirect pings now, once for each."""
        probe = self.pending
        if probe is None or probe.indirect_requested or now < probe.indirect_at:
            return None
        probe.indirect_requested = True
        return probe

    def fail_pending_probe(self) -> str | None:
        """End the pending probe as failed and return its member, or None.

        The start of the next probe ends the previous one. With a deadline of its own, a
        tick that comes early by a rounding error would replace the probe before it has
        failed, and the failure would be lost.
        """
        probe, self.pending = self.pending, None
        return probe.node_id if probe else None

    def add_indirect_ping(self, ping: IndirectPing) -> int:
        """Add a ping on behalf of another member and return its sequence number."""
        sequence = self.next_sequence()
        self.indirect_pings[sequence] = ping
        if len(self.indirect_pings) > MAX_INDIRECT_PINGS:
            self.indirect_pings.popitem(last=False)
        return sequence

    def handle_ack(self, sequence: int, node_id: str) -> IndirectPing | None:
        """Handle an acknowledgement; return the indirect ping that it answers."""
        probe = self.pending
        if probe is not None and probe.sequence == sequence:
            if probe.node_id == node_id:
                self.pending = None
            return None
        ping = self.indirect_pings.get(sequence)
        if ping is None or ping.node_id != node_id:
            return None
        return self.indirect_pings.pop(sequence)

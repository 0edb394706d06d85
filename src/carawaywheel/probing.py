"""Schedule of probes: one direct ping, then indirect ones, then suspicion."""

import random
from collections import OrderedDict
from typing import NamedTuple

from .settings import MembershipSettings

MAX_INDIRECT_PINGS = 64


class Probe:
    """A ping that waits for its acknowledgement.

    Attributes:
        node_id: Member that was pinged.
        sequence: Number of the ping.
        indirect_at: Time in seconds at which others are asked to ping.
        asked: Whether others have been asked.
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
        address: Gossip address of the member that asked.
        sequence: Number that its acknowledgement must carry.
        node_id: Member that is pinged.
    """

    address: str
    sequence: int
    node_id: str


class Prober:
    """Keeps the probe of this node and the pings it sends for others.

    Attributes:
        pending: The probe that waits for its acknowledgement, or None.
        next_at: Time in seconds of the next probe.
    """

    def __init__(self, settings: MembershipSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.pending: Probe | None = None
        self.next_at: float | None = None
        self.indirect_pings: OrderedDict[int, IndirectPing] = OrderedDict()
        self.sequence = 0

    def next_sequence(self) -> int:
        """Return a number for a new ping."""
        self.sequence += 1
        return self.sequence

    def is_due(self, now: float) -> bool:
        """Return whether a new probe is due, and schedule the one after it."""
        interval = self.settings.probe_interval
        if self.next_at is None:
            # A random phase keeps nodes that start together from probing together.
            self.next_at = now + self.rng.random() * interval
        if now < self.next_at:
            return False
        self.next_at = max(self.next_at + interval, now)
        return True

    def start_probe(self, node_id: str, now: float) -> int:
        """Start a probe of a member and return its number."""
        sequence = self.next_sequence()
        indirect_at = now + self.settings.probe_timeout
        self.pending = Probe(node_id, sequence, indirect_at)
        return sequence

    def take_due_indirect_probe(self, now: float) -> Probe | None:
        """Return the probe that others must now be asked to repeat, once."""
        probe = self.pending
        if probe is None or probe.indirect_requested or now < probe.indirect_at:
            return None
        probe.indirect_requested = True
        return probe

    def fail_pending_probe(self) -> str | None:
        """End the probe that is still unacknowledged and return its member.

        The next probe ends the one before it, and not a time of its own: a tick that
        comes a rounding error early would replace the probe and lose the failure.
        """
        probe, self.pending = self.pending, None
        return probe.node_id if probe else None

    def add_indirect_ping(self, relay: IndirectPing) -> int:
        """Store a ping on behalf of another member and return its number."""
        sequence = self.next_sequence()
        self.indirect_pings[sequence] = relay
        if len(self.indirect_pings) > MAX_INDIRECT_PINGS:
            self.indirect_pings.popitem(last=False)
        return sequence

    def handle_ack(self, sequence: int, node_id: str) -> IndirectPing | None:
        """Note an acknowledgement and return the relay that it belongs to."""
        probe = self.pending
        if probe is not None and probe.sequence == sequence:
            if probe.node_id == node_id:
                self.pending = None
            return None
        relay = self.indirect_pings.get(sequence)
        if relay is None or relay.node_id != node_id:
            return None
        return self.indirect_pings.pop(sequence)

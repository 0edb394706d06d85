"""Events of a node: a bounded buffer, and a merge of the buffers of many nodes."""

import enum
import heapq
import re
from collections import Counter, deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from .causality import CausalOrder, EventKey
from .refusals import Importance, Ran, Reason

EVENT_SIZE_BYTES = 640
CAUSE_SIZE_BYTES = 160
MAX_DETAIL_CHARACTERS = 512
SAMPLE_SUFFIX_COUNT = 256
# Sequence numbers of a later incarnation of a node are higher than those of all
# earlier ones. A node at 100,000 events/s would take 12 hours to use up this range.
SEQUENCES_PER_INCARNATION = 1 << 32
KEY_PATTERN = re.compile(r"cw_[A-Za-z0-9_\-]+")


class RetentionClass(enum.IntEnum):
    """Part of a buffer; each has its own capacity, so none can crowd out another."""

    STATE = 0
    OVERLOAD = 1
    SAMPLED = 2
    RECENT = 3


CAPACITY_SHARES = {
    RetentionClass.STATE: 0.2,
    RetentionClass.OVERLOAD: 0.4,
    RetentionClass.SAMPLED: 0.2,
    RetentionClass.RECENT: 0.2,
}


class EventKind(enum.Enum):
    """What an event is about.

    Attributes:
        ring: Ring that holds events of this kind; ``RECENT`` stands for ordinary
            progress, which moves to ``SAMPLED`` for sampled requests.
    """

    retention: RetentionClass

    NODE_STARTED = ("node_started", RetentionClass.STATE)
    NODE_STOPPING = ("node_stopping", RetentionClass.STATE)
    NODE_FROZEN = ("node_frozen", RetentionClass.STATE)
    CONFIGURATION_ACCEPTED = ("configuration_accepted", RetentionClass.STATE)
    CONFIGURATION_APPLIED = ("configuration_applied", RetentionClass.STATE)
    CONFIGURATION_CONFLICT = ("configuration_conflict", RetentionClass.STATE)
    MEMBER_CHANGED = ("member_changed", RetentionClass.STATE)
    TARGET_CHANGED = ("target_changed", RetentionClass.STATE)
    SLOT_CHANGED = ("slot_changed", RetentionClass.STATE)
    LOG_STATE = ("log_state", RetentionClass.STATE)
    LIMIT_CHANGED = ("limit_changed", RetentionClass.OVERLOAD)
    LEVEL_CHANGED = ("level_changed", RetentionClass.OVERLOAD)
    REQUEST_REFUSED = ("request_refused", RetentionClass.OVERLOAD)
    SHED = ("shed", RetentionClass.OVERLOAD)
    RETRY = ("retry", RetentionClass.OVERLOAD)
    CANCELLED = ("cancelled", RetentionClass.OVERLOAD)
    KEY_REFUSED = ("key_refused", RetentionClass.OVERLOAD)
    ANSWER_BROKEN = ("answer_broken", RetentionClass.OVERLOAD)
    REQUEST_ADMITTED = ("request_admitted", RetentionClass.RECENT)
    REQUEST_FINISHED = ("request_finished", RetentionClass.RECENT)
    SENT = ("sent", RetentionClass.RECENT)
    RECEIVED = ("received", RetentionClass.RECENT)
    ANSWERED = ("answered", RetentionClass.RECENT)
    COMPLETED = ("completed", RetentionClass.RECENT)

    def __new__(cls, value: str, ring: RetentionClass) -> "EventKind":
        """Create a member whose value is its name on the wire."""
        member = object.__new__(cls)
        member._value_ = value
        member.retention = ring
        return member


# A message between two nodes: the first event comes before the second one with the
# same attempt id.
MESSAGE_EVENT_PAIRS = (
    (EventKind.SENT, EventKind.RECEIVED),
    (EventKind.ANSWERED, EventKind.COMPLETED),
)


class Event(NamedTuple):
    """Something that happened at a node.

    Attributes:
        node_id: Node at which it happened.
        sequence: Number of the event at its node, counting up over incarnations.
        time: Wall clock of the node in seconds; may be wrong by seconds.
        mono: Monotonic clock of the node in seconds.
        kind: What the event is about.
        request_id: Root id of the request, the same over its whole chain.
        attempt_id: Attempt between two nodes that the event belongs to.
        parent_id: Attempt that made the call, empty at the entry.
        account: Client account.
        service: Service that was asked.
        target: Id of the target.
        key_id: Id of the key, never the key.
        importance: Importance class of the request.
        reason: Why a request was refused, or None.
        ran: Whether a refused request may have run, or None.
        detail: Free text without keys.
        causes: Events that came before this one and led to it.
    """

    node_id: str
    sequence: int
    time: float
    mono: float
    kind: EventKind
    request_id: str = ""
    attempt_id: str = ""
    parent_id: str = ""
    account: str = ""
    service: str = ""
    target: str = ""
    key_id: str = ""
    importance: Importance | None = None
    reason: Reason | None = None
    ran: Ran | None = None
    detail: str = ""
    causes: tuple[EventKey, ...] = ()

    @property
    def key(self) -> EventKey:
        """Node id and sequence number, which identify the event."""
        return (self.node_id, self.sequence)


class EventFilter(NamedTuple):
    """Which events to select; an empty field selects all.

    Attributes:
        request_id: Root id of a request.
        account: Client account.
        target: Id of a target.
        key_id: Id of a key.
        begin: Start of the span, wall clock in seconds, or None.
        end: End of the span, not included, wall clock in seconds, or None.
    """

    request_id: str = ""
    account: str = ""
    target: str = ""
    key_id: str = ""
    begin: float | None = None
    end: float | None = None

    def matches(self, event: Event) -> bool:
        """Return whether an event is selected."""
        if self.request_id and event.request_id != self.request_id:
            return False
        if self.account and event.account != self.account:
            return False
        if self.target and event.target != self.target:
            return False
        if self.key_id and event.key_id != self.key_id:
            return False
        if self.begin is not None and event.time < self.begin:
            return False
        return self.end is None or event.time < self.end


class RingBuffer:
    """Events of one ring, oldest first.

    Attributes:
        capacity: Most bytes held, by estimate.
        held: Bytes held, by estimate.
        dropped: Events dropped to make room.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity_bytes = capacity
        self.events: deque[tuple[int, Event]] = deque()
        self.held_bytes = 0
        self.dropped = 0

    def append(self, event: Event, size: int) -> None:
        """Add an event and drop the oldest ones while the ring is too large."""
        self.events.append((size, event))
        self.held_bytes += size
        while self.held_bytes > self.capacity_bytes:
            self.held_bytes -= self.events.popleft()[0]
            self.dropped += 1

    def events_from(self, sequence: int) -> list[Event]:
        """Return the events from a sequence number on, in order."""
        found = []
        for _, event in reversed(self.events):
            if event.sequence < sequence:
                break
            found.append(event)
        found.reverse()
        return found


class EventBuffer:
    """Bounded buffer of the events of one node.

    Args:
        node_id: The node.
        capacity_bytes: Most bytes held, by estimate.
        incarnation: Incarnation of the node, counting up.
        sample_share: Share of requests whose ordinary progress is kept longer. All
            nodes choose the same requests, by the end of the request id.

    Attributes:
        counts: Events appended, by kind, including those dropped since.
        next_sequence: Sequence number of the next event.
    """

    def __init__(
        self,
        node_id: str,
        capacity_bytes: int,
        incarnation: int = 0,
        sample_share: float = 1 / 16,
    ) -> None:
        self.node_id = node_id
        self.next_sequence = incarnation * SEQUENCES_PER_INCARNATION
        self.rings = [
            RingBuffer(int(capacity_bytes * CAPACITY_SHARES[ring]))
            for ring in RetentionClass
        ]
        self.counts_by_kind: Counter[EventKind] = Counter()
        chosen = range(round(sample_share * SAMPLE_SUFFIX_COUNT))
        self.sampled_suffixes = frozenset(f"{value:02x}" for value in chosen)

    def append(
        self,
        kind: EventKind,
        time: float,
        mono: float,
        request_id: str = "",
        attempt_id: str = "",
        parent_id: str = "",
        account: str = "",
        service: str = "",
        target: str = "",
        key_id: str = "",
        importance: Importance | None = None,
        reason: Reason | None = None,
        ran: Ran | None = None,
        detail: str = "",
        causes: tuple[EventKey, ...] = (),
    ) -> int:
        """Store an event; the arguments are the attributes of ``Event``.

        Returns:
            The sequence number of the event.
        """
        sequence = self.next_sequence
        self.next_sequence = sequence + 1
        self.counts_by_kind[kind] += 1
        size = EVENT_SIZE_BYTES
        if detail:
            detail = redact_keys(detail[:MAX_DETAIL_CHARACTERS])
            size += len(detail)
        if causes:
            size += CAUSE_SIZE_BYTES * len(causes)
        ring = kind.retention
        if ring is RetentionClass.RECENT and request_id[-2:] in self.sampled_suffixes:
            ring = RetentionClass.SAMPLED
        event = Event(
            self.node_id,
            sequence,
            time,
            mono,
            kind,
            request_id,
            attempt_id,
            parent_id,
            account,
            service,
            target,
            key_id,
            importance,
            reason,
            ran,
            detail,
            causes,
        )
        self.rings[ring].append(event, size)
        return sequence

    def events_from(
        self, sequence: int = 0, event_filter: EventFilter | None = None
    ) -> list[Event]:
        """Return the held events from a sequence number on, in order."""
        parts = [ring.events_from(sequence) for ring in self.rings]
        ordered = heapq.merge(*parts, key=lambda event: event.sequence)
        if event_filter is None:
            return list(ordered)
        return [event for event in ordered if event_filter.matches(event)]

    @property
    def dropped(self) -> int:
        """Events dropped so far that are always kept while there is room.

        Ordinary progress of requests that are not sampled is not counted.
        """
        kept = (RetentionClass.STATE, RetentionClass.OVERLOAD, RetentionClass.SAMPLED)
        return sum(self.rings[ring].dropped for ring in kept)


def redact_keys(text: str) -> str:
    """Return a text with everything that looks like a key taken out."""
    return KEY_PATTERN.sub("[key removed]", text) if "cw_" in text else text


def encode_events(events: list[Event]) -> bytes:
    """Encode events as msgpack, to send them to another node or an operator."""
    return msgspec.msgpack.encode(events)


def decode_events(data: bytes) -> list[Event]:
    """Decode events.

    Raises:
        msgspec.DecodeError: If the data is not a list of events.
    """
    return msgspec.msgpack.decode(data, type=list[Event])


def merge_events(buffers: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of many nodes into one order.

    No event comes before its cause: the events of one node keep their order, a
    message is received after it was sent, and an event follows its ``causes``. Events
    that are not ordered by this are ordered by their clocks, which may be wrong.
    Causes that are missing are passed over and repeated events are shown once. If
    wrong data makes a cycle, the order of each node is kept all the same.
    """
    events = {event.key: event for buffer in buffers for event in buffer}
    times = {key: event.time for key, event in events.items()}
    order = CausalOrder(times, causal_edges(list(events.values())))
    return [events[key] for key in order]


def causal_edges(events: list[Event]) -> Iterator[tuple[EventKey, EventKey]]:
    """Yield the pairs of a cause and its effect at different nodes."""
    for event in events:
        for cause in event.causes:
            yield (cause, event.key)
    for first, second in MESSAGE_EVENT_PAIRS:
        yield from message_edges(events, first, second)


def message_edges(
    events: list[Event], first: EventKind, second: EventKind
) -> Iterator[tuple[EventKey, EventKey]]:
    """Yield the pairs of events that belong to one message.

    A message that was delivered twice has several receipts, which all follow the
    first time it was sent.
    """
    sent: dict[str, EventKey] = {}
    for event in events:
        if event.kind is first and event.attempt_id:
            earliest = sent.get(event.attempt_id, event.key)
            sent[event.attempt_id] = min(earliest, event.key)
    for event in events:
        if event.kind is second and event.attempt_id in sent:
            yield (sent[event.attempt_id], event.key)

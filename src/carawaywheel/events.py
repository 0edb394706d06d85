"""Event buffer of a node, and the merge of the events of several nodes."""

import enum
import heapq
import re
from collections import Counter, deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from .causality import CausalOrder, EventKey
from .refusals import Importance, Ran, Reason

# Estimated memory of an event without its detail and its causes.
EVENT_SIZE_BYTES = 640
CAUSE_SIZE_BYTES = 160
MAX_DETAIL_CHARACTERS = 512
# Requests are sampled by the last two hexadecimal digits of their id.
SAMPLE_SUFFIX_COUNT = 256
# Each incarnation of a node numbers its events in a range of its own, above those of
# earlier incarnations. 100,000 events/s use up a range in 12 hours.
SEQUENCES_PER_INCARNATION = 1 << 32
KEY_PATTERN = re.compile(r"cw_[A-Za-z0-9_\-]+")


class RetentionClass(enum.IntEnum):
    """Retention class of an event.

    Each class has a ring buffer of its own, so that frequent events of one class
    cannot evict those of another.
    """

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
    """Kind of an event; the value is its name on the wire.

    Attributes:
        retention: Retention class of events of this kind. ``RECENT`` is used for the
            normal progress of requests; sampled requests use ``SAMPLED`` instead.
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

    def __new__(cls, value: str, retention: RetentionClass) -> "EventKind":
        """Create a member with its wire name as value, and its retention class."""
        member = object.__new__(cls)
        member._value_ = value
        member.retention = retention
        return member


# Events of a message between two nodes: the first is recorded by the sender, the second
# by the receiver with the same attempt id.
MESSAGE_EVENT_PAIRS = (
    (EventKind.SENT, EventKind.RECEIVED),
    (EventKind.ANSWERED, EventKind.COMPLETED),
)


class Event(NamedTuple):
    """Event recorded by a node.

    Attributes:
        node_id: Node that recorded the event.
        sequence: Sequence number at the node, increasing over its incarnations.
        time: Wall clock of the node in seconds; may be off by seconds.
        mono: Monotonic clock of the node in seconds.
        kind: Kind of the event.
        request_id: Root id of the request, which all its sub-calls share.
        attempt_id: Attempt that the event belongs to.
        parent_id: Attempt that made the sub-call; empty for a caller's request.
        account: Client account.
        service: Called service.
        target: Id of the target.
        key_id: Id of the API key; the key itself is never recorded.
        importance: Importance class of the request.
        reason: Reason of a refusal, or None.
        ran: Whether a refused request may have run, or None.
        detail: Free text; API keys are redacted.
        causes: Keys of earlier events that caused this one.
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
        """Node id and sequence number; unique in the fleet."""
        return (self.node_id, self.sequence)


class EventFilter(NamedTuple):
    """Filter for events; an event has to match all fields that are set.

    Attributes:
        request_id: Root id of a request.
        account: Client account.
        target: Id of a target.
        key_id: Id of an API key.
        begin: Earliest wall clock time in seconds, or None.
        end: First wall clock time in seconds after the span, or None.
    """

    request_id: str = ""
    account: str = ""
    target: str = ""
    key_id: str = ""
    begin: float | None = None
    end: float | None = None

    def matches(self, event: Event) -> bool:
        """Return whether an event matches the filter."""
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
    """Ring buffer of one retention class, oldest event first.

    Attributes:
        capacity_bytes: Largest estimated size in bytes.
        size_bytes: Estimated size in bytes.
        dropped: Number of events evicted to make room.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity_bytes = capacity
        self.events: deque[tuple[int, Event]] = deque()
        self.size_bytes = 0
        self.dropped = 0

    def append(self, event: Event, size: int) -> None:
        """Add an event of an estimated size in bytes and evict the oldest if full."""
        self.events.append((size, event))
        self.size_bytes += size
        while self.size_bytes > self.capacity_bytes:
            self.size_bytes -= self.events.popleft()[0]
            self.dropped += 1

    def events_from(self, sequence: int) -> list[Event]:
        """Return the events with at least this sequence number, in order."""
        events = []
        for _, event in reversed(self.events):
            if event.sequence < sequence:
                break
            events.append(event)
        events.reverse()
        return events


class EventBuffer:
    """Bounded buffer of the events of one node.

    Args:
        node_id: Id of the node.
        capacity_bytes: Largest estimated size in bytes.
        incarnation: Incarnation of the node, increasing with each start.
        sample_share: Share of requests whose normal progress is kept longer, from 0 to
            1. Sampling uses the suffix of the request id, so that all nodes sample the
            same requests.

    Attributes:
        counts_by_kind: Number of appended events, including evicted ones.
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
            RingBuffer(int(capacity_bytes * CAPACITY_SHARES[retention]))
            for retention in RetentionClass
        ]
        self.counts_by_kind: Counter[EventKind] = Counter()
        sampled = range(round(sample_share * SAMPLE_SUFFIX_COUNT))
        self.sampled_suffixes = frozenset(f"{value:02x}" for value in sampled)

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
        """Append an event; the arguments are the attributes of ``Event``.

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
        retention = kind.retention
        if (
            retention is RetentionClass.RECENT
            and request_id[-2:] in self.sampled_suffixes
        ):
            retention = RetentionClass.SAMPLED
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
        self.rings[retention].append(event, size)
        return sequence

    def events_from(
        self, sequence: int = 0, event_filter: EventFilter | None = None
    ) -> list[Event]:
        """Return the buffered events from a sequence number on, in order."""
        ring_events = [ring.events_from(sequence) for ring in self.rings]
        ordered = heapq.merge(*ring_events, key=lambda event: event.sequence)
        if event_filter is None:
            return list(ordered)
        return [event for event in ordered if event_filter.matches(event)]

    @property
    def dropped(self) -> int:
        """Number of evicted events, without the normal progress of unsampled requests.

        That progress is evicted all the time and is no sign of lost information.
        """
        counted = (
            RetentionClass.STATE,
            RetentionClass.OVERLOAD,
            RetentionClass.SAMPLED,
        )
        return sum(self.rings[retention].dropped for retention in counted)


def redact_keys(text: str) -> str:
    """Replace everything in a text that looks like an API key."""
    return KEY_PATTERN.sub("[key removed]", text) if "cw_" in text else text


def encode_events(events: list[Event]) -> bytes:
    """Encode events as msgpack."""
    return msgspec.msgpack.encode(events)


def decode_events(data: bytes) -> list[Event]:
    """Decode events from msgpack.

    Raises:
        msgspec.DecodeError: If the data is not a list of events.
    """
    return msgspec.msgpack.decode(data, type=list[Event])


def merge_events(buffers: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several nodes into one causal order.

    Events of one node keep their order, the receipt of a message follows its sending,
    and an event follows its ``causes``. Concurrent events are ordered by wall clock,
    which may be off. Missing causes are ignored and duplicate events are removed. If
    invalid data contains a cycle, the order of each node is still kept.
    """
    events = {event.key: event for buffer in buffers for event in buffer}
    times = {key: event.time for key, event in events.items()}
    order = CausalOrder(times, causal_edges(list(events.values())))
    return [events[key] for key in order]


def causal_edges(events: list[Event]) -> Iterator[tuple[EventKey, EventKey]]:
    """Yield pairs of cause and effect, other than the order at each node."""
    for event in events:
        for cause in event.causes:
            yield (cause, event.key)
    for first, second in MESSAGE_EVENT_PAIRS:
        yield from message_causal_edges(events, first, second)


def message_causal_edges(
    events: list[Event], first: EventKind, second: EventKind
) -> Iterator[tuple[EventKey, EventKey]]:
    """Yield the pairs of sending and receipt for one kind of message.

    If a message was sent or received more than once, each receipt follows the first
    sending.
    """
    sent: dict[str, EventKey] = {}
    for event in events:
        if event.kind is first and event.attempt_id:
            earliest = sent.get(event.attempt_id, event.key)
            sent[event.attempt_id] = min(earliest, event.key)
    for event in events:
        if event.kind is second and event.attempt_id in sent:
            yield (sent[event.attempt_id], event.key)

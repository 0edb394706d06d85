"""Records of the summary stream: what a node served and refused in an interval."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from .events import EventKind
from .refusals import Importance, Reason

MAX_OUTCOME_ROWS = 200
MAX_STATE_CHANGES = 20
MAX_EXAMPLE_IDS = 3
OVERFLOW_LABEL = "(others)"


class CountingPoint(enum.Enum):
    """Point at which a request is counted."""

    ENTRY = "entry"
    TARGET = "target"


class OutcomeKey(NamedTuple):
    """Dimensions by which outcomes are counted.

    Attributes:
        place: ``ENTRY`` counts each caller's request once; ``TARGET`` counts each
            attempt at a target, sub-calls included.
        service: Called service.
        importance: Importance class of the caller's request.
        reason: Reason of the refusal, or None if the requests were served.
        cause: Service, target or host that the refusal refers to.
        account: Client account; empty for anonymous requests.
        in_rate: Whether the account was within its rate.
        may_have_run: Whether the refused requests may have run.
    """

    place: CountingPoint
    service: str
    importance: Importance
    reason: Reason | None
    cause: str
    account: str
    in_rate: bool
    may_have_run: bool


class OutcomeCount(NamedTuple):
    """Number of requests with one outcome.

    Attributes:
        key: Dimensions of the count.
        requests: Number of requests.
        first: Wall clock time in seconds at which the first request ended.
        last: Wall clock time in seconds at which the last request ended.
        examples: Ids of some of the requests, if they were refused.
    """

    key: OutcomeKey
    requests: int
    first: float
    last: float
    examples: tuple[str, ...]


class AttemptCount(NamedTuple):
    """Number of first attempts and of retries that a node sent to a service."""

    service: str
    first: int
    retries: int


class BoundCheckCount(NamedTuple):
    """Number of checks of a bound, and of those that failed.

    Attributes:
        name: Text of the bound.
        checked: Number of checks.
        broken: Number of failed checks.
        detail: Description of the first failure.
    """

    name: str
    checked: int
    broken: int
    detail: str


class StateChange(NamedTuple):
    """State change, copied from an event.

    Attributes:
        sequence: Sequence number of the event at its node.
        time: Wall clock time in seconds.
        kind: Kind of the event.
        subject: What changed, such as a target or an account.
        detail: Description of the change.
    """

    sequence: int
    time: float
    kind: EventKind
    subject: str
    detail: str


class Summary(NamedTuple):
    """Summary of one node for a time interval.

    Merging replaces consecutive summaries by one that covers all their numbers.

    Attributes:
        node_id: Id of the node.
        incarnation: Incarnation of the node.
        first_number: Number of the first covered summary, starting at 0.
        last_number: Number of the last covered summary.
        start: Wall clock time of the start in seconds.
        end: Wall clock time of the end in seconds.
        final: Whether the node shut down gracefully after this summary.
        counts: Requests by outcome.
        attempts: Attempts by service.
        bounds: Checks of bounds.
        changes: State changes.
        unattributed: Number of requests counted under ``OVERFLOW_LABEL``.
        events_dropped: Number of events that the node's buffer evicted.
        changes_dropped: Number of state changes beyond ``MAX_STATE_CHANGES``.
    """

    node_id: str
    incarnation: int
    first_number: int
    last_number: int
    start: float
    end: float
    final: bool
    counts: list[OutcomeCount]
    attempts: list[AttemptCount]
    bounds: list[BoundCheckCount]
    changes: list[StateChange]
    unattributed: int
    events_dropped: int
    changes_dropped: int


class OutcomeTally:
    """Mutable form of ``OutcomeCount`` without its key."""

    __slots__ = ("requests", "first", "last", "examples")

    def __init__(self, first: float) -> None:
        self.requests = 0
        self.first = first
        self.last = first
        self.examples: tuple[str, ...] = ()

    def add(self, requests: int, first: float, last: float) -> None:
        """Add requests that ended between two wall clock times in seconds."""
        self.requests += requests
        if first < self.first:
            self.first = first
        if last > self.last:
            self.last = last

    def add_examples(self, examples: tuple[str, ...]) -> None:
        """Add request ids, up to ``MAX_EXAMPLE_IDS``."""
        if len(self.examples) < MAX_EXAMPLE_IDS:
            unique_ids = dict.fromkeys(self.examples + examples)
            self.examples = tuple(unique_ids)[:MAX_EXAMPLE_IDS]


class SummaryTotals:
    """Sums of the counts of summaries.

    Args:
        summaries: Summaries to add.
        max_rows: Number of keys from which on new ones are counted without account
            and cause.

    Attributes:
        counts: Tallies by key; bounded by ``max_rows``.
        attempts: Attempts by service.
        bounds: Checks by the text of the bound.
        unattributed: Number of requests counted under ``OVERFLOW_LABEL``.
    """

    def __init__(
        self, summaries: Iterable[Summary] = (), max_rows: int = MAX_OUTCOME_ROWS
    ) -> None:
        self.max_rows = max_rows
        self.counts: dict[OutcomeKey, OutcomeTally] = {}
        self.attempts: dict[str, AttemptCount] = {}
        self.bounds: dict[str, BoundCheckCount] = {}
        self.unattributed = 0
        for summary in summaries:
            self.add(summary)

    def add(self, summary: Summary) -> None:
        """Add the counts of a summary."""
        self.unattributed += summary.unattributed
        for row in summary.counts:
            tally = self.tally(row.key, row.first, row.requests)
            tally.add(row.requests, row.first, row.last)
            tally.add_examples(row.examples)
        for attempts in summary.attempts:
            self.add_attempts(attempts)
        for bound in summary.bounds:
            self.add_bound(bound)

    def tally(self, key: OutcomeKey, first: float, requests: int) -> OutcomeTally:
        """Return the tally of a key; create it if there is none.

        New keys lose account and cause from ``max_rows`` keys on, and the service as
        well from twice as many.
        """
        tally = self.counts.get(key)
        if tally is not None:
            return tally
        if len(self.counts) >= self.max_rows:
            self.unattributed += requests
            service = (
                key.service if len(self.counts) < 2 * self.max_rows else OVERFLOW_LABEL
            )
            key = key._replace(
                service=service, cause=OVERFLOW_LABEL, account=OVERFLOW_LABEL
            )
        return self.counts.setdefault(key, OutcomeTally(first))

    def add_attempts(self, row: AttemptCount) -> None:
        """Add attempts to the sum of their service."""
        total = self.attempts.get(row.service, AttemptCount(row.service, 0, 0))
        first, retries = total.first + row.first, total.retries + row.retries
        self.attempts[row.service] = AttemptCount(row.service, first, retries)

    def add_bound(self, row: BoundCheckCount) -> None:
        """Add checks to the sum of their bound."""
        total = self.bounds.get(row.name, BoundCheckCount(row.name, 0, 0, ""))
        checked, broken = total.checked + row.checked, total.broken + row.broken
        detail = total.detail or row.detail
        self.bounds[row.name] = BoundCheckCount(row.name, checked, broken, detail)

    def rows(self) -> list[OutcomeCount]:
        """Return the tallies as immutable counts."""
        return [
            OutcomeCount(key, tally.requests, tally.first, tally.last, tally.examples)
            for key, tally in self.counts.items()
        ]


def merge_summaries(first: Summary, second: Summary) -> Summary:
    """Merge two consecutive summaries of one node.

    Raises:
        ValueError: If the second is not the successor of the first.
    """
    same_node = first[:2] == second[:2]
    if not same_node or second.first_number != first.last_number + 1:
        raise ValueError(
            f"summary {second[:3]} (node, incarnation, first number) does not follow "
            f"summary {first[:4]} (node, incarnation, first and last number)"
        )
    totals = SummaryTotals([first, second])
    changes = first.changes + second.changes
    excess = max(0, len(changes) - MAX_STATE_CHANGES)
    return first._replace(
        last_number=second.last_number,
        end=second.end,
        final=second.final,
        counts=totals.rows(),
        attempts=list(totals.attempts.values()),
        bounds=list(totals.bounds.values()),
        changes=changes[:MAX_STATE_CHANGES],
        unattributed=totals.unattributed,
        events_dropped=first.events_dropped + second.events_dropped,
        changes_dropped=first.changes_dropped + second.changes_dropped + excess,
    )


def encode_summary(summary: Summary) -> bytes:
    """Encode a summary as msgpack."""
    return msgspec.msgpack.encode(summary)


def decode_summary(data: bytes) -> Summary:
    """Decode a summary from msgpack.

    Raises:
        msgspec.DecodeError: If the data is not a summary.
    """
    return msgspec.msgpack.decode(data, type=Summary)

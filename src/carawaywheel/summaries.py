"""Summaries of what a node served and refused, for the summary stream of the log."""

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
    """Where a request was counted."""

    ENTRY = "entry"
    TARGET = "target"


class OutcomeKey(NamedTuple):
    """What a count is about.

    Attributes:
        place: ``ENTRY`` counts each caller's request once; ``TARGET`` counts each
            attempt at a target's node, sub-calls included.
        service: Service that was asked.
        importance: Importance class of the caller's request.
        reason: Why the requests were refused, or None if they were served.
        cause: Service, target or host that the refusal is about.
        account: Client account, empty on open routes.
        in_rate: Whether the account was within its rate.
        may_have_run: Whether it is unknown if the refused requests ran.
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
    """Requests that ended in one way.

    Attributes:
        key: What the count is about.
        requests: Number of requests.
        first: Wall clock of the first one in seconds.
        last: Wall clock of the last one in seconds.
        examples: Request ids of some of those refused.
    """

    key: OutcomeKey
    requests: int
    first: float
    last: float
    examples: tuple[str, ...]


class AttemptCount(NamedTuple):
    """First attempts and retries that a node sent to a service."""

    service: str
    first: int
    retries: int


class BoundCheckCount(NamedTuple):
    """How often a bound was checked and broken.

    Attributes:
        name: The bound, in words.
        checked: Number of checks.
        broken: Number of checks that failed.
        detail: The first failure, in words.
    """

    name: str
    checked: int
    broken: int
    detail: str


class StateChange(NamedTuple):
    """A change of state, taken from an event.

    Attributes:
        sequence: Sequence number of the event at its node.
        time: Wall clock in seconds.
        kind: Kind of the event.
        subject: What changed, such as a target or an account.
        detail: How it changed.
    """

    sequence: int
    time: float
    kind: EventKind
    subject: str
    detail: str


class Summary(NamedTuple):
    """What one node saw in a span of time.

    Attributes:
        node_id: The node.
        incarnation: Incarnation of the node.
        first_number: Number of the first summary in this one, from 0.
        last_number: Number of the last one; higher if summaries were merged.
        start: Wall clock of the start in seconds.
        end: Wall clock of the end in seconds.
        final: Whether the node stopped gracefully after this.
        counts: Requests by what became of them.
        attempts: Attempts by service.
        bounds: Checks of bounds.
        changes: Changes of state.
        folded: Requests whose account or service was counted as ``OTHERS``.
        events_dropped: Events that the node's buffer dropped.
        changes_dropped: Changes that did not fit.
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
    """Requests of one key while they are being counted; see ``CountRow``."""

    __slots__ = ("requests", "first", "last", "examples")

    def __init__(self, first: float) -> None:
        self.requests = 0
        self.first = first
        self.last = first
        self.examples: tuple[str, ...] = ()

    def add(self, requests: int, first: float, last: float) -> None:
        """Add requests that ended between two times."""
        self.requests += requests
        if first < self.first:
            self.first = first
        if last > self.last:
            self.last = last

    def add_examples(self, examples: tuple[str, ...]) -> None:
        """Add request ids while there is room."""
        if len(self.examples) < MAX_EXAMPLE_IDS:
            known = dict.fromkeys(self.examples + examples)
            self.examples = tuple(known)[:MAX_EXAMPLE_IDS]


class SummaryTotals:
    """Rows that are added up.

    Args:
        summaries: Summaries to add.
        max_rows: Keys after which the account and the cause are left out of new ones.

    Attributes:
        counts: Tallies by key, bounded.
        attempts: Attempts by service.
        bounds: Checks by the name of the bound.
        folded: Requests whose account or service was counted as ``OTHERS``.
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
        """Add the rows of a summary."""
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
        """Return the tally of a key, made if there is none.

        When there are twice as many keys as are allowed, the service is left out of
        new ones as well.
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
        """Add attempts to those of the same service."""
        known = self.attempts.get(row.service, AttemptCount(row.service, 0, 0))
        first, retries = known.first + row.first, known.retries + row.retries
        self.attempts[row.service] = AttemptCount(row.service, first, retries)

    def add_bound(self, row: BoundCheckCount) -> None:
        """Add checks to those of the same bound."""
        known = self.bounds.get(row.name, BoundCheckCount(row.name, 0, 0, ""))
        checked, broken = known.checked + row.checked, known.broken + row.broken
        detail = known.detail or row.detail
        self.bounds[row.name] = BoundCheckCount(row.name, checked, broken, detail)

    def rows(self) -> list[OutcomeCount]:
        """Return the counts."""
        return [
            OutcomeCount(key, tally.requests, tally.first, tally.last, tally.examples)
            for key, tally in self.counts.items()
        ]


def merge_summaries(first: Summary, second: Summary) -> Summary:
    """Merge two consecutive summaries of one node, such as during a log outage.

    Raises:
        ValueError: If the second does not follow the first.
    """
    same_node = first[:2] == second[:2]
    if not same_node or second.first_number != first.last_number + 1:
        raise ValueError(f"summary {second[:3]} does not follow {first[:4]}")
    totals = SummaryTotals([first, second])
    changes = first.changes + second.changes
    left_out = max(0, len(changes) - MAX_STATE_CHANGES)
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
        changes_dropped=first.changes_dropped + second.changes_dropped + left_out,
    )


def encode_summary(summary: Summary) -> bytes:
    """Encode a summary as msgpack."""
    return msgspec.msgpack.encode(summary)


def decode_summary(data: bytes) -> Summary:
    """Decode a summary.

    Raises:
        msgspec.DecodeError: If the data is not a summary.
    """
    return msgspec.msgpack.decode(data, type=Summary)

"""Counts outcomes at a node and closes a summary at each interval."""

from .events import redact_keys
from .refusals import Importance, Reason
from .summaries import (
    MAX_STATE_CHANGES,
    AttemptCount,
    BoundCheckCount,
    CountingPoint,
    OutcomeKey,
    StateChange,
    Summary,
    SummaryTotals,
    merge_summaries,
)

SUMMARY_INTERVAL_SECONDS = 10.0
MAX_TEXT_CHARACTERS = 200
# Between two refusals of an importance class that are further apart, the queue may have
# been empty, so that admitting a lower importance was right.
MAX_SHED_GAP_SECONDS = 0.1
OVERLOAD_REASONS = frozenset({Reason.OVERLOAD, Reason.QUEUE_FULL, Reason.TARGET_SHED})
IMPORTANCE_BOUND = "no lower importance admitted while a higher one was shed"


class ImportanceCheck:
    """Counts admissions of lower importance between two refusals of a higher one."""

    def __init__(self) -> None:
        self.last_shed: dict[tuple[str, Importance], float] = {}
        self.admitted: dict[tuple[str, Importance], int] = {}

    def record_admission(self, service: str, importance: Importance) -> None:
        """Record a request that was admitted to a target of a service."""
        for higher in range(importance):
            key = (service, Importance(higher))
            if key in self.admitted:
                self.admitted[key] += 1

    def record_shed(self, service: str, importance: Importance, mono: float) -> int:
        """Record a request that was refused for overload.

        Returns:
            Number of requests of lower importance admitted since the previous refusal
            of this importance; 0 if that was more than ``MAX_SHED_GAP_SECONDS`` ago.
        """
        key = (service, importance)
        previous = self.last_shed.get(key)
        admitted = self.admitted.get(key, 0)
        self.last_shed[key] = mono
        self.admitted[key] = 0
        recent = previous is not None and mono - previous <= MAX_SHED_GAP_SECONDS
        return admitted if recent else 0


class Summarizer:
    """Counts the outcomes at a node and closes one summary after the other.

    Args:
        node_id: Id of the node.
        incarnation: Incarnation of the node.
        start: Wall clock time in seconds at which the first summary starts.
    """

    def __init__(self, node_id: str, incarnation: int, start: float) -> None:
        self.node_id = node_id
        self.incarnation = incarnation
        self.next_number = 0
        self.importance_check = ImportanceCheck()
        self.events_dropped = 0
        self.reset(start)

    def reset(self, start: float) -> None:
        """Start a new summary."""
        self.start = start
        self.totals = SummaryTotals()
        self.changes: list[StateChange] = []
        self.changes_dropped = 0

    def record_admission(self, service: str, importance: Importance) -> None:
        """Record that a target's queue admitted a request."""
        self.importance_check.record_admission(service, importance)

    def record_outcome(
        self, key: OutcomeKey, time: float, mono: float, request_id: str = ""
    ) -> None:
        """Count the outcome of a request.

        Args:
            key: Outcome of the request.
            time: Wall clock time in seconds.
            mono: Monotonic time in seconds.
            request_id: Root id; kept as an example if the request was refused.
        """
        if key.place is CountingPoint.TARGET and key.reason in OVERLOAD_REASONS:
            self.check_importance(key, mono)
        tally = self.totals.tally(key, time, 1)
        tally.add(1, time, time)
        if key.reason is not None and request_id:
            tally.add_examples((request_id,))

    def check_importance(self, key: OutcomeKey, mono: float) -> None:
        """Check the admissions of lower importance since the previous refusal."""
        admitted = self.importance_check.record_shed(key.service, key.importance, mono)
        detail = ""
        if admitted:
            importance = key.importance.name.lower()
            detail = f"{key.service}: {admitted} admitted between refusals of "
            detail += f"{importance} requests"
        self.record_bound_check(IMPORTANCE_BOUND, not admitted, detail)

    def record_attempt(self, service: str, retry: bool) -> None:
        """Count a first attempt or a retry sent to a service."""
        self.totals.add_attempts(AttemptCount(service, int(not retry), int(retry)))

    def record_bound_check(self, name: str, held: bool, detail: str = "") -> None:
        """Count a check of a bound."""
        detail = redact_keys(detail[:MAX_TEXT_CHARACTERS])
        self.totals.add_bound(BoundCheckCount(name, 1, int(not held), detail))

    def record_state_change(self, change: StateChange) -> None:
        """Record a state change, up to ``MAX_STATE_CHANGES`` per summary."""
        if len(self.changes) >= MAX_STATE_CHANGES:
            self.changes_dropped += 1
            return
        detail = redact_keys(change.detail[:MAX_TEXT_CHARACTERS])
        self.changes.append(change._replace(detail=detail))

    def close(self, now: float, events_dropped: int, final: bool = False) -> Summary:
        """Return the summary up to now and start the next one.

        Args:
            now: Wall clock time in seconds.
            events_dropped: Number of events evicted from the node's buffer since the
                start of the node.
            final: Whether the node is shutting down.
        """
        summary = Summary(
            self.node_id,
            self.incarnation,
            self.next_number,
            self.next_number,
            self.start,
            now,
            final,
            self.totals.rows(),
            list(self.totals.attempts.values()),
            list(self.totals.bounds.values()),
            self.changes,
            self.totals.unattributed,
            events_dropped - self.events_dropped,
            self.changes_dropped,
        )
        self.next_number += 1
        self.events_dropped = events_dropped
        self.reset(now)
        return summary


class SummaryBacklog:
    """Summaries of one node that are not yet appended to the log.

    In an outage of the log, adjacent summaries are merged. This bounds the memory and
    loses temporal resolution but no counts.

    Args:
        limit: Largest number of summaries; at least 1.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.pending: list[Summary] = []

    def add(self, summary: Summary) -> None:
        """Add the newest summary and merge adjacent ones while above the limit."""
        self.pending.append(summary)
        while len(self.pending) > self.limit:
            self.merge_shortest()

    def merge_shortest(self) -> None:
        """Merge the adjacent pair that covers the smallest number of summaries."""
        pairs = range(len(self.pending) - 1)
        index = min(pairs, key=self.covered_count)
        merged = merge_summaries(*self.pending[index : index + 2])
        self.pending[index : index + 2] = [merged]

    def covered_count(self, index: int) -> int:
        """Return how many summaries the pair at an index covers after merges."""
        first, second = self.pending[index : index + 2]
        return second.last_number - first.first_number + 1

    def remove_accepted(self, summary: Summary) -> None:
        """Remove an appended summary, unless it was merged during the append."""
        self.pending = [other for other in self.pending if other is not summary]

"""Counting of what a node serves and refuses, one summary each 10 s."""

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
# Two refusals of one importance class this close together count as one time in which
# the class was shed. A queue that is refilled more slowly may have been empty between.
MAX_SHED_GAP_SECONDS = 0.1
OVERLOAD_REASONS = frozenset({Reason.OVERLOAD, Reason.QUEUE_FULL, Reason.TARGET_SHED})
IMPORTANCE_BOUND = "no lower importance admitted while a higher one was shed"


class ImportanceCheck:
    """Counts requests admitted between two refusals of a higher importance."""

    def __init__(self) -> None:
        self.last_shed: dict[tuple[str, Importance], float] = {}
        self.admitted: dict[tuple[str, Importance], int] = {}

    def record_admission(self, service: str, importance: Importance) -> None:
        """Note a request that was admitted to a service's target."""
        for higher in range(importance):
            key = (service, Importance(higher))
            if key in self.admitted:
                self.admitted[key] += 1

    def record_shed(self, service: str, importance: Importance, mono: float) -> int:
        """Note a request that was refused for overload.

        Returns:
            Requests of lower importance admitted since the last such refusal, if
            that was a short time ago; 0 otherwise.
        """
        key = (service, importance)
        before = self.last_shed.get(key)
        admitted = self.admitted.get(key, 0)
        self.last_shed[key] = mono
        self.admitted[key] = 0
        recent = before is not None and mono - before <= MAX_SHED_GAP_SECONDS
        return admitted if recent else 0


class Summarizer:
    """Counts what a node serves and refuses, and closes a summary at intervals.

    Args:
        node_id: The node.
        incarnation: Incarnation of the node.
        start: Wall clock in seconds.
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
        """Note that a target's queue let a request run."""
        self.importance_check.record_admission(service, importance)

    def record_outcome(
        self, key: OutcomeKey, time: float, mono: float, request_id: str = ""
    ) -> None:
        """Count the end of a request.

        Args:
            key: What became of it.
            time: Wall clock in seconds.
            mono: Monotonic clock in seconds.
            request_id: Root id, kept as an example if the request was refused.
        """
        if key.place is CountingPoint.TARGET and key.reason in OVERLOAD_REASONS:
            self.check_importance(key, mono)
        tally = self.totals.tally(key, time, 1)
        tally.add(1, time, time)
        if key.reason is not None and request_id:
            tally.add_examples((request_id,))

    def check_importance(self, key: OutcomeKey, mono: float) -> None:
        """Check that no lower importance was admitted meanwhile."""
        admitted = self.importance_check.record_shed(key.service, key.importance, mono)
        detail = ""
        if admitted:
            importance = key.importance.name.lower()
            detail = f"{key.service}: {admitted} admitted between refusals of "
            detail += f"{importance} requests"
        self.record_bound_check(IMPORTANCE_BOUND, not admitted, detail)

    def record_attempt(self, service: str, retry: bool) -> None:
        """Count an attempt that this node sent to a service."""
        self.totals.add_attempts(AttemptCount(service, int(not retry), int(retry)))

    def record_bound_check(self, name: str, held: bool, detail: str = "") -> None:
        """Count a check of a bound."""
        detail = redact_keys(detail[:MAX_TEXT_CHARACTERS])
        self.totals.add_bound(BoundCheckCount(name, 1, int(not held), detail))

    def record_state_change(self, change: StateChange) -> None:
        """Keep a change of state, if there is room."""
        if len(self.changes) >= MAX_STATE_CHANGES:
            self.changes_dropped += 1
            return
        detail = redact_keys(change.detail[:MAX_TEXT_CHARACTERS])
        self.changes.append(change._replace(detail=detail))

    def close(self, now: float, events_dropped: int, final: bool = False) -> Summary:
        """Return the summary up to now and start the next one.

        Args:
            now: Wall clock in seconds.
            events_dropped: Events that the node's buffer dropped since it started.
            final: Whether the node stops now.
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
    """Summaries of one node that the log has not accepted yet.

    In an outage of the log, neighbours are merged so that the memory stays bounded
    and no count is lost; only the resolution in time is.

    Args:
        limit: Most summaries held, at least 1.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.pending: list[Summary] = []

    def add(self, summary: Summary) -> None:
        """Add the newest summary and merge older ones if there are too many."""
        self.pending.append(summary)
        while len(self.pending) > self.limit:
            self.merge_shortest()

    def merge_shortest(self) -> None:
        """Merge the two neighbours that cover the least number of summaries."""
        pairs = range(len(self.pending) - 1)
        place = min(pairs, key=self.covered_count)
        merged = merge_summaries(*self.pending[place : place + 2])
        self.pending[place : place + 2] = [merged]

    def covered_count(self, place: int) -> int:
        """Return how many summaries a neighbouring pair covers."""
        first, second = self.pending[place : place + 2]
        return second.last_number - first.first_number + 1

    def remove_accepted(self, summary: Summary) -> None:
        """Forget a summary that the log has accepted, unless it was merged since."""
        self.pending = [held for held in self.pending if held is not summary]

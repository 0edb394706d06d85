"""Counting of what a node serves and refuses, one summary each 10 s."""

from .events import redact
from .refusals import Importance, Reason
from .summaries import (
    MAX_CHANGES,
    AttemptRow,
    BoundRow,
    Change,
    CountKey,
    Place,
    Summary,
    Totals,
    merge_summaries,
)

SUMMARY_SECONDS = 10.0
MAX_TEXT_CHARACTERS = 200
# Two refusals of one importance class this close together count as one time in which
# the class was shed. A queue that is refilled more slowly may have been empty between.
SHED_GAP_S = 0.1
OVERLOAD_REASONS = frozenset({Reason.OVERLOAD, Reason.QUEUE_FULL, Reason.TARGET_SHED})
IMPORTANCE_BOUND = "no lower importance admitted while a higher one was shed"


class ImportanceCheck:
    """Counts requests admitted between two refusals of a higher importance."""

    def __init__(self) -> None:
        self.last_shed: dict[tuple[str, Importance], float] = {}
        self.admitted: dict[tuple[str, Importance], int] = {}

    def note_admission(self, service: str, importance: Importance) -> None:
        """Note a request that was admitted to a service's target."""
        for higher in range(importance):
            key = (service, Importance(higher))
            if key in self.admitted:
                self.admitted[key] += 1

    def note_shed(self, service: str, importance: Importance, mono: float) -> int:
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
        recent = before is not None and mono - before <= SHED_GAP_S
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
        self.number = 0
        self.check = ImportanceCheck()
        self.events_dropped = 0
        self.reset(start)

    def reset(self, start: float) -> None:
        """Start a new summary."""
        self.start = start
        self.totals = Totals()
        self.changes: list[Change] = []
        self.changes_dropped = 0

    def record_admission(self, service: str, importance: Importance) -> None:
        """Note that a target's queue let a request run."""
        self.check.note_admission(service, importance)

    def record(
        self, key: CountKey, time: float, mono: float, request_id: str = ""
    ) -> None:
        """Count the end of a request.

        Args:
            key: What became of it.
            time: Wall clock in seconds.
            mono: Monotonic clock in seconds.
            request_id: Root id, kept as an example if the request was refused.
        """
        if key.place is Place.TARGET and key.reason in OVERLOAD_REASONS:
            self.check_importance(key, mono)
        tally = self.totals.tally(key, time, 1)
        tally.add(1, time, time)
        if key.reason is not None and request_id:
            tally.add_examples((request_id,))

    def check_importance(self, key: CountKey, mono: float) -> None:
        """Check that no lower importance was admitted meanwhile."""
        admitted = self.check.note_shed(key.service, key.importance, mono)
        detail = ""
        if admitted:
            importance = key.importance.name.lower()
            detail = f"{key.service}: {admitted} admitted between refusals of "
            detail += f"{importance} requests"
        self.record_bound(IMPORTANCE_BOUND, not admitted, detail)

    def record_attempt(self, service: str, retry: bool) -> None:
        """Count an attempt that this node sent to a service."""
        self.totals.add_attempts(AttemptRow(service, int(not retry), int(retry)))

    def record_bound(self, name: str, held: bool, detail: str = "") -> None:
        """Count a check of a bound."""
        detail = redact(detail[:MAX_TEXT_CHARACTERS])
        self.totals.add_bound(BoundRow(name, 1, int(not held), detail))

    def record_change(self, change: Change) -> None:
        """Keep a change of state, if there is room."""
        if len(self.changes) >= MAX_CHANGES:
            self.changes_dropped += 1
            return
        detail = redact(change.detail[:MAX_TEXT_CHARACTERS])
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
            self.number,
            self.number,
            self.start,
            now,
            final,
            self.totals.rows(),
            list(self.totals.attempts.values()),
            list(self.totals.bounds.values()),
            self.changes,
            self.totals.folded,
            events_dropped - self.events_dropped,
            self.changes_dropped,
        )
        self.number += 1
        self.events_dropped = events_dropped
        self.reset(now)
        return summary


class Backlog:
    """Summaries of one node that the log has not accepted yet.

    In an outage of the log, neighbours are merged so that the memory stays bounded
    and no count is lost; only the resolution in time is.

    Args:
        limit: Most summaries held, at least 1.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.waiting: list[Summary] = []

    def add(self, summary: Summary) -> None:
        """Add the newest summary and merge older ones if there are too many."""
        self.waiting.append(summary)
        while len(self.waiting) > self.limit:
            self.merge_shortest()

    def merge_shortest(self) -> None:
        """Merge the two neighbours that cover the least number of summaries."""
        pairs = range(len(self.waiting) - 1)
        place = min(pairs, key=self.covered)
        merged = merge_summaries(*self.waiting[place : place + 2])
        self.waiting[place : place + 2] = [merged]

    def covered(self, place: int) -> int:
        """Return how many summaries a neighbouring pair covers."""
        first, second = self.waiting[place : place + 2]
        return second.last_number - first.first_number + 1

    def accepted(self, summary: Summary) -> None:
        """Forget a summary that the log has accepted, unless it was merged since."""
        self.waiting = [held for held in self.waiting if held is not summary]

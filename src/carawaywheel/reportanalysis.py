"""What the summaries and events of a span show, and what they cannot show."""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from .bounds import CALLER_FAULT_REASONS, BoundResult, check_bounds
from .datagaps import find_data_gaps
from .events import Event
from .refusals import Importance
from .reportsteps import Step, order_steps
from .settings import RetrySettings
from .summaries import CountingPoint, OutcomeCount, OutcomeKey, Summary, SummaryTotals
from .summarizer import OVERLOAD_REASONS, SUMMARY_INTERVAL_SECONDS

MAX_BINS = 120
MAX_REPORT_ROWS = 100_000
# A caller's refusals with a longer pause than this are shown as two episodes.
MAX_EPISODE_GAP_SECONDS = 2 * SUMMARY_INTERVAL_SECONDS


class Span(NamedTuple):
    """A span of time, wall clock in seconds; the end is not included."""

    begin: float
    end: float


class ServiceRow(NamedTuple):
    """What became of the requests to one service with one importance.

    Attributes:
        service: The service.
        importance: Importance class.
        ran: Attempts that its targets served.
        refused: Attempts that were refused at its targets' nodes.
        refused_at_entry: Callers' requests that were refused at the entry.
    """

    service: str
    importance: Importance
    ran: int
    refused: int
    refused_at_entry: int


class AccountRow(NamedTuple):
    """What became of the requests of one client account at the entry.

    Attributes:
        account: The client account; empty for open routes and unknown keys.
        served: Requests served within the rate.
        refused_in_rate: Requests refused although the account was within its rate.
        refused_over_rate: Requests refused while it was over its rate.
        refused_itself: Requests refused for the request itself, such as its key.
        may_have_run: Refused requests of which it is unknown if they ran.
    """

    account: str
    served: int
    refused_in_rate: int
    refused_over_rate: int
    refused_itself: int
    may_have_run: int

    @property
    def share(self) -> float | None:
        """Part of the requests within the rate that was served, or None if none."""
        asked = self.served + self.refused_in_rate
        return self.served / asked if asked else None


class RefusalEpisode(NamedTuple):
    """A time in which one caller was turned away for one reason.

    Attributes:
        key: Account, service, importance, reason and whether it was in its rate.
        requests: Requests refused.
        first: Wall clock of the first one in seconds.
        last: Wall clock of the last one in seconds.
        examples: Request ids of some of them.
    """

    key: OutcomeKey
    requests: int
    first: float
    last: float
    examples: tuple[str, ...]


class TimeBin(NamedTuple):
    """Callers' requests in one interval, which may be shared out from summaries.

    Attributes:
        start: Wall clock of the start in seconds.
        served: Requests served.
        refused: Requests refused, by importance class.
    """

    start: float
    served: float
    refused: list[float]


class Report(NamedTuple):
    """Overload report of a span.

    Attributes:
        span: The span.
        nodes: Nodes that sent summaries.
        refusals: Refused requests by service, importance, reason and cause, in the
            order of their first refusal.
        services: What ran and what was refused, by service and importance.
        accounts: What became of each client account's requests.
        episodes: When each client account was turned away, and why.
        bounds: Which bounds held.
        steps: In what order things happened.
        bins: Callers' requests over time.
        bin_seconds: Width of a bin in seconds.
        shed_shares: Part shed for overload in each bin, by service and importance;
            None where nothing was asked.
        unknown: What the report cannot know, in words.
    """

    span: Span
    nodes: list[str]
    refusals: list[OutcomeCount]
    services: list[ServiceRow]
    accounts: list[AccountRow]
    episodes: list[RefusalEpisode]
    bounds: list[BoundResult]
    steps: list[Step]
    bins: list[TimeBin]
    bin_seconds: float
    shed_shares: dict[tuple[str, Importance], list[float | None]]
    unknown: list[str]


def build_report(
    summaries: Iterable[Summary],
    events: Iterable[Event],
    span: Span,
    retry_settings: RetrySettings | None = None,
) -> Report:
    """Build the overload report of a span.

    Args:
        summaries: Summaries read from the log, in any order; repeated ones count once.
        events: Events collected from the nodes that are still there; may be empty.
        span: The span to report on.
        retry_settings: Settings of the fleet's retry budgets.
    """
    seen = deduplicate(summaries)
    kept = [s for s in seen if s.start < span.end and s.end > span.begin]
    in_span = [event for event in events if span.begin <= event.time < span.end]
    totals = SummaryTotals(kept, MAX_REPORT_ROWS)
    rows = totals.rows()
    width = bin_width(span)
    refusals = refusal_rows(rows)
    services = service_rows(rows)
    accounts = account_rows(rows)
    settings = retry_settings or RetrySettings()
    return Report(
        span,
        sorted({summary.node_id for summary in kept}),
        refusals,
        services,
        accounts,
        find_episodes(kept),
        check_bounds(totals, rows, len(kept), settings),
        order_steps(kept, in_span, rows),
        make_bins(kept, span, width),
        width,
        shed_shares(kept, span, width),
        find_data_gaps(kept, in_span, span.begin, span.end, totals.unattributed),
    )


def deduplicate(summaries: Iterable[Summary]) -> list[Summary]:
    """Return summaries without those that are repeated or part of a merged one."""
    widest: dict[tuple[str, int], list[Summary]] = defaultdict(list)
    order = sorted(summaries, key=lambda s: (*s[:2], s.first_number, -s.last_number))
    for summary in order:
        kept = widest[summary[:2]]
        if not kept or summary.last_number > kept[-1].last_number:
            kept.append(summary)
    return [summary for kept in widest.values() for summary in kept]


def refusal_rows(rows: list[OutcomeCount]) -> list[OutcomeCount]:
    """Return the refusals of all accounts together, by their first one."""
    totals = SummaryTotals(max_rows=MAX_REPORT_ROWS)
    for row in rows:
        if row.key.reason is None:
            continue
        key = row.key._replace(account="")
        tally = totals.tally(key, row.first, row.requests)
        tally.add(row.requests, row.first, row.last)
        tally.add_examples(row.examples)
    return sorted(totals.rows(), key=lambda row: row.first)


def service_rows(rows: list[OutcomeCount]) -> list[ServiceRow]:
    """Return what ran and what was refused by service and importance."""
    counts: dict[tuple[str, Importance], list[int]] = defaultdict(lambda: [0, 0, 0])
    for row in rows:
        count = counts[row.key.service, row.key.importance]
        refused = row.key.reason is not None
        if row.key.place is CountingPoint.TARGET:
            count[1 if refused else 0] += row.requests
        elif refused:
            count[2] += row.requests
    return [ServiceRow(*key, *counts[key]) for key in sorted(counts)]


def account_rows(rows: list[OutcomeCount]) -> list[AccountRow]:
    """Return what became of each account's requests, the worst served first."""
    counts: dict[str, list[int]] = defaultdict(lambda: [0] * 5)
    for row in rows:
        if row.key.place is not CountingPoint.ENTRY:
            continue
        count = counts[row.key.account]
        count[outcome_index(row.key)] += row.requests
        if row.key.may_have_run:
            count[4] += row.requests
    accounts = [AccountRow(name, *count) for name, count in counts.items()]
    return sorted(accounts, key=worst_served_first)


def outcome_index(key: OutcomeKey) -> int:
    """Return which of the first four counts of an account a key belongs to."""
    if key.reason is None:
        return 0
    if key.reason in CALLER_FAULT_REASONS:
        return 3
    return 1 if key.in_rate else 2


def worst_served_first(row: AccountRow) -> tuple[float, str]:
    """Return the sort key of an account."""
    return (2.0 if row.share is None else row.share, row.account)


def find_episodes(summaries: list[Summary]) -> list[RefusalEpisode]:
    """Return when each account was turned away, by account and time."""
    rows: dict[OutcomeKey, list[OutcomeCount]] = defaultdict(list)
    for summary in summaries:
        for row in summary.counts:
            if row.key.place is CountingPoint.ENTRY and row.key.reason is not None:
                rows[row.key._replace(cause="")].append(row)
    episodes = []
    for key, found in rows.items():
        episodes += join_rows(key, sorted(found, key=lambda row: row.first))
    return sorted(episodes, key=lambda e: (e.key.account, e.first))


def join_rows(key: OutcomeKey, rows: list[OutcomeCount]) -> list[RefusalEpisode]:
    """Join rows that follow one another without a long pause, in time order."""
    episodes: list[RefusalEpisode] = []
    for row in rows:
        new = RefusalEpisode(key, *row[1:])
        if episodes and row.first - episodes[-1].last <= MAX_EPISODE_GAP_SECONDS:
            old = episodes.pop()
            new = RefusalEpisode(
                key,
                old.requests + new.requests,
                old.first,
                max(old.last, new.last),
                (old.examples + new.examples)[:3],
            )
        episodes.append(new)
    return episodes


def bin_width(span: Span) -> float:
    """Return the width of a bin, a multiple of the length of a summary."""
    least = (span.end - span.begin) / MAX_BINS
    return SUMMARY_INTERVAL_SECONDS * max(1, -int(-least // SUMMARY_INTERVAL_SECONDS))


def overlapping_bins(
    summary: Summary, span: Span, width: float
) -> Iterable[tuple[int, float]]:
    """Yield the bins that a summary covers, with its part in each."""
    length = max(summary.end - summary.start, 1e-9)
    begin, end = max(summary.start, span.begin), min(summary.end, span.end)
    number = int((begin - span.begin) // width)
    while (start := span.begin + number * width) < end:
        covered = min(end, start + width) - max(begin, start)
        yield number, covered / length
        number += 1


def make_bins(summaries: list[Summary], span: Span, width: float) -> list[TimeBin]:
    """Return the callers' requests over time."""
    count = max(1, -int(-(span.end - span.begin) // width))
    served = [0.0] * count
    refused = [[0.0] * len(Importance) for _ in range(count)]
    for summary in summaries:
        entry = [row for row in summary.counts if row.key.place is CountingPoint.ENTRY]
        for number, part in overlapping_bins(summary, span, width):
            for row in entry:
                if row.key.reason is None:
                    served[number] += row.requests * part
                else:
                    refused[number][row.key.importance] += row.requests * part
    starts = [span.begin + number * width for number in range(count)]
    return [TimeBin(*fields) for fields in zip(starts, served, refused, strict=True)]


def shed_shares(
    summaries: list[Summary], span: Span, width: float
) -> dict[tuple[str, Importance], list[float | None]]:
    """Return the part shed in each bin, by service and importance.

    Requests refused for other reasons, such as their rate, are left out.
    """
    count = max(1, -int(-(span.end - span.begin) // width))
    asked: dict[tuple[str, Importance], list[list[float]]] = defaultdict(
        lambda: [[0.0, 0.0] for _ in range(count)]
    )
    for summary in summaries:
        for number, part in overlapping_bins(summary, span, width):
            for row in summary.counts:
                shed = row.key.reason in OVERLOAD_REASONS
                if shed or row.key.reason is None:
                    pair = asked[row.key.service, row.key.importance][number]
                    pair[shed] += row.requests * part
    return {key: [share(*pair) for pair in asked[key]] for key in sorted(asked)}


def share(served: float, shed: float) -> float | None:
    """Return the part that was shed, or None if nothing was asked."""
    total = served + shed
    return shed / total if total > 0 else None

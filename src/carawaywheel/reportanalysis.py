"""Computes the overload report of a span from summaries and events."""

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
# A longer time between two refusals of a caller separates two episodes.
MAX_EPISODE_GAP_SECONDS = 2 * SUMMARY_INTERVAL_SECONDS


class Span(NamedTuple):
    """Span of wall clock time in seconds; the end is excluded."""

    begin: float
    end: float


class ServiceRow(NamedTuple):
    """Outcomes of the requests to one service with one importance.

    Attributes:
        service: Called service.
        importance: Importance class.
        ran: Number of attempts served by targets of the service.
        refused: Number of attempts refused at targets of the service.
        refused_at_entry: Number of callers' requests refused at the entry.
    """

    service: str
    importance: Importance
    ran: int
    refused: int
    refused_at_entry: int


class AccountRow(NamedTuple):
    """Outcomes of the requests of one client account at the entry.

    Attributes:
        account: Client account; empty for anonymous requests and unknown keys.
        served: Number of requests served.
        refused_in_rate: Number of requests refused although within the rate.
        refused_over_rate: Number of requests refused while over the rate.
        refused_itself: Number of requests refused through a fault of the request
            itself, such as an unknown key.
        may_have_run: Number of refused requests that may have run.
    """

    account: str
    served: int
    refused_in_rate: int
    refused_over_rate: int
    refused_itself: int
    may_have_run: int

    @property
    def share(self) -> float | None:
        """Served share of the requests within the rate, or None without requests."""
        requests = self.served + self.refused_in_rate
        return self.served / requests if requests else None


class RefusalEpisode(NamedTuple):
    """Period in which requests of one client account were refused for one reason.

    Attributes:
        key: Outcome of the requests, without its cause.
        requests: Number of refused requests.
        first: Wall clock time of the first refusal in seconds.
        last: Wall clock time of the last refusal in seconds.
        examples: Ids of some of the requests.
    """

    key: OutcomeKey
    requests: int
    first: float
    last: float
    examples: tuple[str, ...]


class TimeBin(NamedTuple):
    """Callers' requests in one interval.

    Counts are fractions if a summary overlaps several bins.

    Attributes:
        start: Wall clock time of the start in seconds.
        served: Number of requests served.
        refused: Number of requests refused, by importance class.
    """

    start: float
    served: float
    refused: list[float]


class Report(NamedTuple):
    """Overload report of a span.

    Attributes:
        span: Span that the report covers.
        nodes: Ids of the nodes that sent summaries.
        refusals: Refused requests of all accounts, ordered by the first refusal.
        services: Outcomes by service and importance.
        accounts: Outcomes by client account, worst served first.
        episodes: Periods of refusals by client account and reason.
        bounds: Results of the bound checks.
        steps: State changes, first and last refusals in causal order.
        bins: Callers' requests over time.
        bin_seconds: Width of a bin in seconds.
        shed_shares: Share shed for overload in each bin, by service and importance;
            None for bins without requests.
        unknown: Texts on what the report does not cover, such as lost summaries.
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
        summaries: Summaries read from the log, in any order; duplicates count once.
        events: Events collected from the live nodes; may be empty.
        span: Span that the report covers.
        retry_settings: Settings of the fleet's retry budgets.
    """
    unique = deduplicate(summaries)
    summaries_in_span = [s for s in unique if s.start < span.end and s.end > span.begin]
    events_in_span = [event for event in events if span.begin <= event.time < span.end]
    totals = SummaryTotals(summaries_in_span, MAX_REPORT_ROWS)
    rows = totals.rows()
    width = bin_width(span)
    refusals = refusal_rows(rows)
    services = service_rows(rows)
    accounts = account_rows(rows)
    settings = retry_settings or RetrySettings()
    return Report(
        span,
        sorted({summary.node_id for summary in summaries_in_span}),
        refusals,
        services,
        accounts,
        find_episodes(summaries_in_span),
        check_bounds(totals, rows, len(summaries_in_span), settings),
        order_steps(summaries_in_span, events_in_span, rows),
        make_bins(summaries_in_span, span, width),
        width,
        shed_shares(summaries_in_span, span, width),
        find_data_gaps(
            summaries_in_span, events_in_span, span.begin, span.end, totals.unattributed
        ),
    )


def deduplicate(summaries: Iterable[Summary]) -> list[Summary]:
    """Drop duplicates and summaries that are covered by a merged one."""
    by_incarnation: dict[tuple[str, int], list[Summary]] = defaultdict(list)
    # Of several summaries with the same first number, the widest comes first.
    order = sorted(summaries, key=lambda s: (*s[:2], s.first_number, -s.last_number))
    for summary in order:
        unique = by_incarnation[summary[:2]]
        if not unique or summary.last_number > unique[-1].last_number:
            unique.append(summary)
    return [summary for unique in by_incarnation.values() for summary in unique]


def refusal_rows(rows: list[OutcomeCount]) -> list[OutcomeCount]:
    """Return the refusals, summed over accounts and ordered by the first refusal."""
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
    """Return the outcomes by service and importance."""
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
    """Return the outcomes by client account, worst served first."""
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
    """Return the index of the count of ``AccountRow`` to which an outcome belongs."""
    if key.reason is None:
        return 0
    if key.reason in CALLER_FAULT_REASONS:
        return 3
    return 1 if key.in_rate else 2


def worst_served_first(row: AccountRow) -> tuple[float, str]:
    """Return the sort key that puts the lowest served share first."""
    return (2.0 if row.share is None else row.share, row.account)


def find_episodes(summaries: list[Summary]) -> list[RefusalEpisode]:
    """Return the refusal episodes at the entry, ordered by account and time."""
    rows: dict[OutcomeKey, list[OutcomeCount]] = defaultdict(list)
    for summary in summaries:
        for row in summary.counts:
            if row.key.place is CountingPoint.ENTRY and row.key.reason is not None:
                rows[row.key._replace(cause="")].append(row)
    episodes = []
    for key, key_rows in rows.items():
        episodes += join_rows(key, sorted(key_rows, key=lambda row: row.first))
    return sorted(episodes, key=lambda e: (e.key.account, e.first))


def join_rows(key: OutcomeKey, rows: list[OutcomeCount]) -> list[RefusalEpisode]:
    """Join the rows of one outcome, in time order, that are close together."""
    episodes: list[RefusalEpisode] = []
    for row in rows:
        episode = RefusalEpisode(key, *row[1:])
        if episodes and row.first - episodes[-1].last <= MAX_EPISODE_GAP_SECONDS:
            previous = episodes.pop()
            episode = RefusalEpisode(
                key,
                previous.requests + episode.requests,
                previous.first,
                max(previous.last, episode.last),
                (previous.examples + episode.examples)[:3],
            )
        episodes.append(episode)
    return episodes


def bin_width(span: Span) -> float:
    """Return the width of a bin in seconds, a multiple of the summary interval."""
    min_width = (span.end - span.begin) / MAX_BINS
    return SUMMARY_INTERVAL_SECONDS * max(
        1, -int(-min_width // SUMMARY_INTERVAL_SECONDS)
    )


def overlapping_bins(
    summary: Summary, span: Span, width: float
) -> Iterable[tuple[int, float]]:
    """Yield the index of each bin that a summary overlaps, and its share there."""
    length = max(summary.end - summary.start, 1e-9)
    begin, end = max(summary.start, span.begin), min(summary.end, span.end)
    index = int((begin - span.begin) // width)
    while (start := span.begin + index * width) < end:
        covered = min(end, start + width) - max(begin, start)
        yield index, covered / length
        index += 1


def make_bins(summaries: list[Summary], span: Span, width: float) -> list[TimeBin]:
    """Return the callers' requests over time, spread evenly over each summary."""
    bin_count = max(1, -int(-(span.end - span.begin) // width))
    served = [0.0] * bin_count
    refused = [[0.0] * len(Importance) for _ in range(bin_count)]
    for summary in summaries:
        entry_rows = [
            row for row in summary.counts if row.key.place is CountingPoint.ENTRY
        ]
        for index, fraction in overlapping_bins(summary, span, width):
            for row in entry_rows:
                if row.key.reason is None:
                    served[index] += row.requests * fraction
                else:
                    refused[index][row.key.importance] += row.requests * fraction
    starts = [span.begin + index * width for index in range(bin_count)]
    return [TimeBin(*fields) for fields in zip(starts, served, refused, strict=True)]


def shed_shares(
    summaries: list[Summary], span: Span, width: float
) -> dict[tuple[str, Importance], list[float | None]]:
    """Return the share shed for overload in each bin, by service and importance.

    Requests refused for other reasons, such as their rate, are not counted.
    """
    bin_count = max(1, -int(-(span.end - span.begin) // width))
    counts: dict[tuple[str, Importance], list[list[float]]] = defaultdict(
        lambda: [[0.0, 0.0] for _ in range(bin_count)]
    )
    for summary in summaries:
        for index, fraction in overlapping_bins(summary, span, width):
            for row in summary.counts:
                shed = row.key.reason in OVERLOAD_REASONS
                if shed or row.key.reason is None:
                    pair = counts[row.key.service, row.key.importance][index]
                    pair[shed] += row.requests * fraction
    return {key: [shed_share(*pair) for pair in counts[key]] for key in sorted(counts)}


def shed_share(served: float, shed: float) -> float | None:
    """Return the share that was shed, or None without requests."""
    total = served + shed
    return shed / total if total > 0 else None

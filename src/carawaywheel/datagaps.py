"""What a report cannot know, because summaries or events are missing."""

from collections import defaultdict
from collections.abc import Iterator

from .events import Event
from .markup import format_datetime
from .refusals import Reason
from .summaries import Summary
from .summarizer import SUMMARY_INTERVAL_SECONDS

MAX_NAMED_NODES = 10
# A summary is closed each 10 s and may take as long again to reach the log.
LATE_S = 2 * SUMMARY_INTERVAL_SECONDS
CLOCKS = (
    "Times are those of each host's clock and may be wrong by seconds, so the order "
    "of things at different hosts that are closer than that is not certain unless "
    "one led to the other."
)
HOSTS = "A host that sent neither summaries nor events in this span is not known here."
RATES = (
    "Whether a request refused for its rate was outside the rate is what the nodes "
    "judged. While a slot has no lender, its part of a rate is missing and they may "
    "refuse requests that the whole rate would have admitted."
)
EDGES = (
    f"Counts come in summaries of {SUMMARY_INTERVAL_SECONDS:.0f} s; those that reach "
    "over the start or the end of the span are counted whole in the tables."
)


def find_data_gaps(
    summaries: list[Summary],
    events: list[Event],
    begin: float,
    end: float,
    folded: int,
) -> list[str]:
    """Return what a report on a span cannot know, in words.

    Args:
        summaries: Summaries in the span, without repeated ones.
        events: Events in the span.
        begin: Start of the span, wall clock in seconds.
        end: End of the span, wall clock in seconds.
        folded: Requests that were counted without their account or service.
    """
    texts = []
    if not summaries:
        texts.append("There are no summaries for this span; nothing is known about it.")
    gaps: dict[str, list[str]] = defaultdict(list)
    lives = by_incarnation(summaries)
    for (node_id, incarnation), life in lives.items():
        later = lives.get((node_id, incarnation + 1))
        for text in gaps_of(life, later, begin, end):
            gaps[text].append(node_id)
    texts += [f"{names(nodes)}: {text}" for text, nodes in gaps.items()]
    silent = {event.node_id for event in events} - {s.node_id for s in summaries}
    if silent:
        texts.append(f"{names(sorted(silent))}: events, but no summary in this span.")
    texts += loss_texts(summaries, folded)
    if any(rate_refused(summary) for summary in summaries):
        texts.append(RATES)
    return [*texts, HOSTS, EDGES, CLOCKS]


def rate_refused(summary: Summary) -> bool:
    """Return whether any request was refused for its rate."""
    return any(row.key.reason is Reason.RATE_EXCEEDED for row in summary.counts)


def by_incarnation(summaries: list[Summary]) -> dict[tuple[str, int], list[Summary]]:
    """Return the summaries of each incarnation of each node, in order."""
    lives: dict[tuple[str, int], list[Summary]] = defaultdict(list)
    for summary in sorted(summaries, key=lambda s: s[:3]):
        lives[summary[:2]].append(summary)
    return lives


def gaps_of(
    life: list[Summary], later: list[Summary] | None, begin: float, end: float
) -> Iterator[str]:
    """Yield what is missing from one incarnation of a node, in words.

    Args:
        life: Summaries of the incarnation, in order.
        later: Summaries of the next incarnation, if there is one.
        begin: Start of the span, wall clock in seconds.
        end: End of the span, wall clock in seconds.
    """
    first, last = life[0], life[-1]
    if first.first_number > 0 and first.start > begin:
        yield f"nothing before {format_datetime(first.start)}, although it ran."
    for before, after in zip(life, life[1:], strict=False):
        if after.first_number > before.last_number + 1:
            span = f"{format_datetime(before.end)} to {format_datetime(after.start)}"
            yield f"nothing from {span}; those summaries were lost."
    if not last.final and later:
        yield (
            f"nothing between {format_datetime(last.end)} and its new start at "
            f"{format_datetime(later[0].start)}. It ended without notice; what it did "
            "in its last seconds is not counted."
        )
    elif not last.final and last.end < end - LATE_S:
        yield (
            f"nothing after {format_datetime(last.end)}. It ended without notice or "
            "its summaries have not reached the log; what it did since is not counted."
        )
    for summary in life:
        if summary.last_number > summary.first_number:
            length = summary.end - summary.start
            yield (
                f"one summary for the {length:,.0f} s from "
                f"{format_datetime(summary.start)}, as in an outage of the log; plots "
                "spread its counts evenly over them."
            )


def loss_texts(summaries: list[Summary], folded: int) -> Iterator[str]:
    """Yield what was dropped by the nodes, in words."""
    events = sum(summary.events_dropped for summary in summaries)
    if events:
        yield f"{events:,} events were dropped from full buffers; counts include them."
    changes = sum(summary.changes_dropped for summary in summaries)
    if changes:
        yield f"{changes:,} changes of state did not fit into their summaries."
    if folded:
        yield f"{folded:,} requests were counted without their account or service."


def names(nodes: list[str]) -> str:
    """Return the names of nodes, or some of them and how many more there are."""
    nodes = sorted(set(nodes))
    more = len(nodes) - MAX_NAMED_NODES
    named = ", ".join(nodes[:MAX_NAMED_NODES])
    return f"{named} and {more} more nodes" if more > 0 else named

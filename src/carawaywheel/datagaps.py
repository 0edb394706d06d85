"""Describes the gaps in the data of a report, such as lost summaries."""

from collections import defaultdict
from collections.abc import Iterator

from .events import Event
from .markup import format_datetime
from .refusals import Reason
from .summaries import Summary
from .summarizer import SUMMARY_INTERVAL_SECONDS

MAX_NAMED_NODES = 10
# A summary is closed after each interval and may reach the log one interval later.
MAX_SUMMARY_DELAY_SECONDS = 2 * SUMMARY_INTERVAL_SECONDS
CLOCK_NOTE = (
    "Times are taken from each host's clock, which may be off by seconds. The order of "
    "events at different hosts that are closer than that is uncertain, unless one "
    "caused the other."
)
HOSTS_NOTE = (
    "Hosts that sent neither summaries nor events in this span are not included."
)
RATE_NOTE = (
    "Whether a request refused for its rate was outside the rate is what the nodes "
    "judged. While a slot has no lender, its share of a rate is not available, and "
    "nodes may refuse requests that the full rate would have admitted."
)
SPAN_EDGE_NOTE = (
    f"Counts come in summaries of {SUMMARY_INTERVAL_SECONDS:.0f} s; those that overlap "
    "the start or the end of the span are counted in full in the tables."
)


def find_data_gaps(
    summaries: list[Summary],
    events: list[Event],
    begin: float,
    end: float,
    unattributed: int,
) -> list[str]:
    """Return texts on what a report of a span does not cover.

    Args:
        summaries: Summaries in the span, without duplicates.
        events: Events in the span.
        begin: Start of the span, wall clock time in seconds.
        end: End of the span, wall clock time in seconds.
        unattributed: Number of requests counted without their account or service.
    """
    texts = []
    if not summaries:
        texts.append("There are no summaries for this span; nothing is known about it.")
    gaps: dict[str, list[str]] = defaultdict(list)
    incarnations = by_incarnation(summaries)
    for (node_id, number), incarnation in incarnations.items():
        successor = incarnations.get((node_id, number + 1))
        for text in incarnation_gaps(incarnation, successor, begin, end):
            gaps[text].append(node_id)
    texts += [f"{format_node_ids(nodes)}: {text}" for text, nodes in gaps.items()]
    silent = {event.node_id for event in events} - {s.node_id for s in summaries}
    if silent:
        texts.append(
            f"{format_node_ids(sorted(silent))}: events, but no summary in this span."
        )
    texts += loss_texts(summaries, unattributed)
    if any(has_rate_refusal(summary) for summary in summaries):
        texts.append(RATE_NOTE)
    return [*texts, HOSTS_NOTE, SPAN_EDGE_NOTE, CLOCK_NOTE]


def has_rate_refusal(summary: Summary) -> bool:
    """Return whether any request exceeded its rate."""
    return any(row.key.reason is Reason.RATE_EXCEEDED for row in summary.counts)


def by_incarnation(summaries: list[Summary]) -> dict[tuple[str, int], list[Summary]]:
    """Return the summaries by node id and incarnation, in order."""
    incarnations: dict[tuple[str, int], list[Summary]] = defaultdict(list)
    for summary in sorted(summaries, key=lambda s: s[:3]):
        incarnations[summary[:2]].append(summary)
    return incarnations


def incarnation_gaps(
    incarnation: list[Summary],
    successor: list[Summary] | None,
    begin: float,
    end: float,
) -> Iterator[str]:
    """Yield texts on the gaps in the summaries of one incarnation of a node.

    Args:
        incarnation: Summaries of the incarnation, in order.
        successor: Summaries of the next incarnation, if there is one.
        begin: Start of the span, wall clock time in seconds.
        end: End of the span, wall clock time in seconds.
    """
    first, last = incarnation[0], incarnation[-1]
    if first.first_number > 0 and first.start > begin:
        yield f"nothing before {format_datetime(first.start)}, although it ran."
    for before, after in zip(incarnation, incarnation[1:], strict=False):
        if after.first_number > before.last_number + 1:
            span = f"{format_datetime(before.end)} to {format_datetime(after.start)}"
            yield f"nothing from {span}; those summaries were lost."
    if not last.final and successor:
        yield (
            f"nothing between {format_datetime(last.end)} and its new start at "
            f"{format_datetime(successor[0].start)}. It ended without notice; what it "
            "did in its last seconds is not counted."
        )
    elif not last.final and last.end < end - MAX_SUMMARY_DELAY_SECONDS:
        yield (
            f"nothing after {format_datetime(last.end)}. It ended without notice or "
            "its summaries have not reached the log; what it did since is not counted."
        )
    for summary in incarnation:
        if summary.last_number > summary.first_number:
            length = summary.end - summary.start
            yield (
                f"one summary for the {length:,.0f} s from "
                f"{format_datetime(summary.start)}, as in an outage of the log; plots "
                "spread its counts evenly over them."
            )


def loss_texts(summaries: list[Summary], unattributed: int) -> Iterator[str]:
    """Yield texts on what the nodes dropped at their limits."""
    events = sum(summary.events_dropped for summary in summaries)
    if events:
        yield f"{events:,} events were dropped from full buffers; counts include them."
    changes = sum(summary.changes_dropped for summary in summaries)
    if changes:
        yield f"{changes:,} changes of state did not fit into their summaries."
    if unattributed:
        yield (
            f"{unattributed:,} requests were counted without their account or service."
        )


def format_node_ids(nodes: list[str]) -> str:
    """Return the ids of nodes as text, limited to ``MAX_NAMED_NODES``."""
    nodes = sorted(set(nodes))
    more = len(nodes) - MAX_NAMED_NODES
    named = ", ".join(nodes[:MAX_NAMED_NODES])
    return f"{named} and {more} more nodes" if more > 0 else named

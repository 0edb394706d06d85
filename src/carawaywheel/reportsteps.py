"""Steps of an incident in causal order, for the overload report."""

from typing import NamedTuple

from .causality import CausalOrder, EventKey
from .events import Event, EventKind, RetentionClass, causal_edges
from .refusals import Importance, Reason
from .summaries import OutcomeCount, StateChange, Summary
from .summarizer import OVERLOAD_REASONS

MAX_STEPS = 300


class Step(NamedTuple):
    """State change, first refusal or last refusal.

    Attributes:
        time: Wall clock time in seconds.
        node_id: Node of a state change; empty for a refusal.
        text: Description.
    """

    time: float
    node_id: str
    text: str


def order_steps(
    summaries: list[Summary], events: list[Event], rows: list[OutcomeCount]
) -> list[Step]:
    """Return state changes, first and last refusals in causal order."""
    steps: dict[EventKey, Step] = {}
    for summary in summaries:
        for change in summary.changes:
            steps[summary.node_id, change.sequence] = change_step(summary, change)
    for event in events:
        if event.kind.retention is RetentionClass.STATE:
            steps[event.key] = event_step(event)
    for step in [*shed_steps(rows), *rate_steps(rows)]:
        steps[step.text, 0] = step
    times = {key: step.time for key, step in steps.items()}
    order = [steps[key] for key in CausalOrder(times, causal_edges(events))]
    return order[:MAX_STEPS]


def change_step(summary: Summary, change: StateChange) -> Step:
    """Return the step of a state change from a summary."""
    text = change_text(change.kind, change.subject, change.detail)
    return Step(change.time, summary.node_id, text)


def event_step(event: Event) -> Step:
    """Return the step of a state change from an event."""
    subject = event.target or event.service or event.account
    text = change_text(event.kind, subject, event.detail)
    return Step(event.time, event.node_id, text)


def change_text(kind: EventKind, subject: str, detail: str) -> str:
    """Return the description of a state change."""
    name = kind.value.replace("_", " ")
    return " ".join(part for part in (f"{name}:", subject, detail) if part)


def shed_steps(rows: list[OutcomeCount]) -> list[Step]:
    """Return the first and the last request shed by service and importance."""
    times: dict[tuple[str, Importance], tuple[float, float]] = {}
    for row in rows:
        if row.key.reason not in OVERLOAD_REASONS:
            continue
        key = (row.key.service, row.key.importance)
        first, last = times.get(key, (row.first, row.last))
        times[key] = (min(first, row.first), max(last, row.last))
    steps = []
    for (service, importance), (first, last) in times.items():
        what = f"{importance.name.lower()} request to {service} shed"
        steps.append(Step(first, "", f"first {what}"))
        steps.append(Step(last, "", f"last {what}"))
    return steps


def rate_steps(rows: list[OutcomeCount]) -> list[Step]:
    """Return the first and the last rate limit refusal of each account."""
    times: dict[str, tuple[float, float]] = {}
    for row in rows:
        if row.key.reason is not Reason.RATE_EXCEEDED:
            continue
        first, last = times.get(row.key.account, (row.first, row.last))
        times[row.key.account] = (min(first, row.first), max(last, row.last))
    steps = []
    for account, (first, last) in times.items():
        what = f"request of client account {account} refused for its rate"
        steps.append(Step(first, "", f"first {what}"))
        steps.append(Step(last, "", f"last {what}"))
    return steps

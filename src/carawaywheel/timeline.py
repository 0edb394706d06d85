"""Time line of a request, client account, target, key or span."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from .causality import EventKey
from .events import Event, EventFilter, EventKind
from .markup import format_time, sanitize
from .sequencediagram import draw_sequence_diagram

INDENT = "  "
MAX_INDENTS = 24

KIND_TEXT = {
    EventKind.REQUEST_ADMITTED: "admitted",
    EventKind.REQUEST_FINISHED: "finished",
    EventKind.REQUEST_REFUSED: "REFUSED",
    EventKind.SHED: "SHED",
    EventKind.RETRY: "RETRY",
    EventKind.CANCELLED: "CANCELLED",
    EventKind.KEY_REFUSED: "KEY REFUSED",
    EventKind.ANSWER_BROKEN: "ANSWER BROKEN",
}


class TimelineEntry(NamedTuple):
    """A line of a time line.

    Attributes:
        event: The event.
        selected: Whether the filter selected it; otherwise it is shown because a
            selected event names it as a cause.
        missing: Causes that the event names and that were dropped from a buffer.
        depth: Calls above the one that the event belongs to.
    """

    event: Event
    selected: bool
    missing: tuple[EventKey, ...]
    depth: int


def select_entries(
    events: list[Event], event_filter: EventFilter
) -> list[TimelineEntry]:
    """Return the time line of the selected events and of their causes.

    Args:
        events: Merged events, in order.
        event_filter: Which events to select.
    """
    by_key = {event.key: event for event in events}
    selected = {event.key for event in events if event_filter.matches(event)}
    shown = with_causes(selected, by_key)
    parents = {event.attempt_id: event.parent_id for event in events}
    return [
        TimelineEntry(
            event,
            event.key in selected,
            tuple(cause for cause in event.causes if cause not in by_key),
            depth_of(event.attempt_id, parents),
        )
        for event in events
        if event.key in shown
    ]


def with_causes(
    selected: set[EventKey], by_key: dict[EventKey, Event]
) -> set[EventKey]:
    """Return the selected events and all that they name as causes, however far."""
    shown = set(selected)
    waiting = list(selected)
    while waiting:
        for cause in by_key[waiting.pop()].causes:
            if cause in by_key and cause not in shown:
                shown.add(cause)
                waiting.append(cause)
    return shown


def depth_of(attempt_id: str, parents: dict[str, str]) -> int:
    """Return the number of calls above an attempt."""
    depth = 0
    while depth < MAX_INDENTS and (attempt_id := parents.get(attempt_id, "")):
        depth += 1
    return depth


def describe(event: Event) -> str:
    """Return what happened, in one line."""
    words = [KIND_TEXT.get(event.kind, event.kind.value.replace("_", " "))]
    words += [event.service, event.target]
    if event.reason is not None:
        words.append(f"because of {event.reason.value}")
    if event.ran is not None:
        words.append("(not run)" if event.ran.value == "not_run" else "(may have run)")
    words.append(event.detail)
    if event.importance is not None:
        words.append(event.importance.name.lower())
    for name in ("account", "key_id"):
        value = getattr(event, name)
        if value:
            words.append(f"{name.removesuffix('_id')}={value}")
    return sanitize(" ".join(word for word in words if word))


def render_text(entries: Iterable[TimelineEntry]) -> str:
    """Render a time line for a terminal; times are those of each host's clock, UTC."""
    lines = []
    for entry in entries:
        event = entry.event
        mark = " " if entry.selected else "^"
        when = format_time(event.time, 3)
        where = f"{sanitize(event.node_id):<12}"
        what = INDENT * entry.depth + describe(event)
        lines.append(f"{when} {mark} {where} {what}")
        if entry.missing:
            places = ", ".join(f"{node} #{number}" for node, number in entry.missing)
            gap = " " * 28 + INDENT * entry.depth
            lines.append(f"{gap}(cause no longer held: {sanitize(places)})")
    return "".join(f"{line}\n" for line in lines)


def render_json(entries: Iterable[TimelineEntry]) -> str:
    """Render a time line as a JSON list; empty fields are left out."""
    return msgspec.json.encode([entry_to_dict(entry) for entry in entries]).decode()


def entry_to_dict(entry: TimelineEntry) -> dict[str, Any]:
    """Return an entry as a JSON mapping."""
    fields = entry.event._asdict()
    mapping: dict[str, Any] = {
        name: sanitize(value) if isinstance(value, str) else value
        for name, value in fields.items()
        if value not in ("", None, ())
    }
    if entry.event.importance is not None:
        mapping["importance"] = entry.event.importance.name.lower()
    mapping["depth"] = entry.depth
    mapping["selected"] = entry.selected
    if entry.missing:
        mapping["missing_causes"] = entry.missing
    return mapping


def render_sequence_diagram(events: list[Event], request_id: str) -> str:
    """Render the way of one request through the nodes as SVG text.

    Args:
        events: Merged events, in order; those of other requests are left out.
        request_id: Root id of the request.
    """
    own = [event for event in events if event.request_id == request_id]
    texts = [describe(event) for event in own]
    return draw_sequence_diagram(own, texts, request_id)

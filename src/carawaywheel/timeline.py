"""Timeline of a request, client account, target, API key or span."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from .causality import EventKey
from .events import Event, EventFilter, EventKind
from .markup import format_time, sanitize
from .sequencediagram import draw_sequence_diagram

INDENT = "  "
MAX_DEPTH = 24

KIND_TEXTS = {
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
    """Entry of a timeline.

    Attributes:
        event: Event that is shown.
        selected: Whether the event matches the filter; otherwise it is a direct or
            indirect cause of a matching event.
        missing: Keys of causes that are not available, for example because they were
            evicted from a buffer.
        depth: Depth of the event's attempt in the call tree; 0 for the first call.
    """

    event: Event
    selected: bool
    missing: tuple[EventKey, ...]
    depth: int


def select_entries(
    events: list[Event], event_filter: EventFilter
) -> list[TimelineEntry]:
    """Return the timeline of the matching events and their causes.

    Args:
        events: Merged events, in causal order.
        event_filter: Filter for the events.
    """
    by_key = {event.key: event for event in events}
    selected = {event.key for event in events if event_filter.matches(event)}
    shown = add_causes(selected, by_key)
    parents = {event.attempt_id: event.parent_id for event in events}
    return [
        TimelineEntry(
            event,
            event.key in selected,
            tuple(cause for cause in event.causes if cause not in by_key),
            call_depth(event.attempt_id, parents),
        )
        for event in events
        if event.key in shown
    ]


def add_causes(selected: set[EventKey], by_key: dict[EventKey, Event]) -> set[EventKey]:
    """Return the selected events and all their direct and indirect causes."""
    shown = set(selected)
    pending = list(selected)
    while pending:
        for cause in by_key[pending.pop()].causes:
            if cause in by_key and cause not in shown:
                shown.add(cause)
                pending.append(cause)
    return shown


def call_depth(attempt_id: str, parents: dict[str, str]) -> int:
    """Return the depth of an attempt in the call tree, up to ``MAX_DEPTH``."""
    depth = 0
    while depth < MAX_DEPTH and (attempt_id := parents.get(attempt_id, "")):
        depth += 1
    return depth


def describe_event(event: Event) -> str:
    """Describe an event in one line, without its time and node."""
    words = [KIND_TEXTS.get(event.kind, event.kind.value.replace("_", " "))]
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
    """Render a timeline as text; times are UTC by the clock of each host."""
    lines = []
    for entry in entries:
        event = entry.event
        marker = " " if entry.selected else "^"
        time_text = format_time(event.time, 3)
        node_text = f"{sanitize(event.node_id):<12}"
        description = INDENT * entry.depth + describe_event(event)
        lines.append(f"{time_text} {marker} {node_text} {description}")
        if entry.missing:
            missing = ", ".join(f"{node} #{number}" for node, number in entry.missing)
            indent = " " * 28 + INDENT * entry.depth
            lines.append(f"{indent}(cause no longer held: {sanitize(missing)})")
    return "".join(f"{line}\n" for line in lines)


def render_json(entries: Iterable[TimelineEntry]) -> str:
    """Render a timeline as a JSON list; empty fields are omitted."""
    return msgspec.json.encode([entry_to_dict(entry) for entry in entries]).decode()


def entry_to_dict(entry: TimelineEntry) -> dict[str, Any]:
    """Return an entry as a dictionary for JSON, with sanitized text."""
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
    """Render the sequence diagram of a request as SVG text.

    Args:
        events: Merged events, in causal order; those of other requests are ignored.
        request_id: Root id of the request.
    """
    request_events = [event for event in events if event.request_id == request_id]
    texts = [describe_event(event) for event in request_events]
    return draw_sequence_diagram(request_events, texts, request_id)

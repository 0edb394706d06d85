"""Sequence diagram of one request as SVG, with a lifeline for each node."""

from typing import NamedTuple
from xml.etree.ElementTree import Element

from .events import MESSAGE_EVENT_PAIRS, Event, EventKind
from .markup import (
    add_element,
    format_time,
    sanitize,
    serialize_svg,
    svg_root,
    truncate,
)

LEFT = 110
LIFELINE_SPACING = 110
TEXT_WIDTH = 720
MAX_TEXT_CHARACTERS = 100
MAX_NODE_NAME_CHARACTERS = 16
TOP = 74
ROW_HEIGHT = 24
MARKER_SIZE = 5
ARROW_SIZE = 5
LIFELINE_COLOUR = "#b0b7bf"
MESSAGE_COLOUR = "#4a5a6a"


class Style(NamedTuple):
    """Style of an event; shapes keep the styles apart without colours.

    Attributes:
        colour: Colour of the marker and of the text.
        shape: ``circle``, ``square`` or ``diamond``.
    """

    colour: str
    shape: str


ORDINARY = Style("#2f5d8a", "circle")
REFUSED = Style("#b3261e", "square")
RETRIED = Style("#9a5b00", "diamond")
STYLES = {
    EventKind.REQUEST_REFUSED: REFUSED,
    EventKind.SHED: REFUSED,
    EventKind.KEY_REFUSED: REFUSED,
    EventKind.ANSWER_BROKEN: REFUSED,
    EventKind.CANCELLED: REFUSED,
    EventKind.RETRY: RETRIED,
}


def draw_sequence_diagram(
    events: list[Event], texts: list[str], request_id: str
) -> str:
    """Draw a sequence diagram with one row for each event.

    Args:
        events: Events of one request, in causal order.
        texts: Description of each event.
        request_id: Root id of the request.

    Returns:
        SVG text.
    """
    nodes = list(dict.fromkeys(event.node_id for event in events))
    lifelines = {
        node: LEFT + LIFELINE_SPACING * (i + 0.5) for i, node in enumerate(nodes)
    }
    width = LEFT + LIFELINE_SPACING * len(nodes) + TEXT_WIDTH
    height = TOP + ROW_HEIGHT * (len(events) + 1)
    root = svg_root(width, height, f"Sequence diagram of request {request_id}")
    add_element(root, "rect", width=width, height=height, fill="#ffffff")
    heading = f"Request {request_id}" if events else f"No events of {request_id}"
    add_element(root, "text", heading, x=12, y=22, font_size=15, font_weight="bold")
    draw_lifelines(root, lifelines, height)
    draw_messages(root, events, lifelines)
    for row, (event, text) in enumerate(zip(events, texts, strict=True)):
        draw_event(root, event, text, lifelines[event.node_id], row_y(row), width)
    return serialize_svg(root)


def row_y(row: int) -> float:
    """Return the vertical centre of a row in pixels."""
    return TOP + ROW_HEIGHT * (row + 0.5)


def draw_lifelines(root: Element, lifelines: dict[str, float], height: float) -> None:
    """Draw the lifeline of each node with its name."""
    for node, x in lifelines.items():
        name = add_element(root, "text", "", x=x, y=TOP - 14, text_anchor="middle")
        name.text = truncate(sanitize(node), MAX_NODE_NAME_CHARACTERS)
        add_element(name, "title", node)
        add_element(
            root, "line", x1=x, x2=x, y1=TOP - 6, y2=height - 8, stroke=LIFELINE_COLOUR
        )


def draw_event(
    root: Element, event: Event, text: str, x: float, y: float, width: float
) -> None:
    """Draw the time of an event, its marker on the lifeline, and its text."""
    style = STYLES.get(event.kind, ORDINARY)
    when = format_time(event.time, 3)
    add_element(root, "text", when, x=12, y=y + 4, fill="#555555")
    draw_marker(root, style, x, y)
    label = add_element(
        root, "text", "", x=width - TEXT_WIDTH, y=y + 4, fill=style.colour
    )
    if style is not ORDINARY:
        label.set("font-weight", "bold")
    label.text = truncate(sanitize(text), MAX_TEXT_CHARACTERS)
    add_element(label, "title", text)


def draw_marker(root: Element, style: Style, x: float, y: float) -> None:
    """Draw the marker of an event."""
    if style.shape == "circle":
        add_element(root, "circle", cx=x, cy=y, r=MARKER_SIZE, fill=style.colour)
        return
    offset, side = -MARKER_SIZE, 2 * MARKER_SIZE
    marker = add_element(
        root, "rect", x=x + offset, y=y + offset, width=side, height=side
    )
    marker.set("fill", style.colour)
    if style.shape == "diamond":
        marker.set("transform", f"rotate(45 {x:.1f} {y:.1f})")


def draw_messages(
    root: Element, events: list[Event], lifelines: dict[str, float]
) -> None:
    """Draw an arrow for each message between two nodes, dashed for responses.

    A message without a receipt is shown as an arrow to a question mark.
    """
    for first, second in MESSAGE_EVENT_PAIRS:
        ends: dict[str, list[tuple[float, float]]] = {}
        for row, event in enumerate(events):
            if event.kind is second and event.attempt_id:
                end = (lifelines[event.node_id], row_y(row))
                ends.setdefault(event.attempt_id, []).append(end)
        for row, event in enumerate(events):
            if event.kind is not first or not event.attempt_id:
                continue
            start = (lifelines[event.node_id], row_y(row))
            is_response = first is EventKind.ANSWERED
            for end in ends.get(event.attempt_id, []):
                draw_arrow(root, start, end, is_response)
            if event.attempt_id not in ends:
                position = {"x": start[0] + MARKER_SIZE + 4, "y": start[1] + 4}
                add_element(root, "text", "→ ?", **position, fill=MESSAGE_COLOUR)


def draw_arrow(
    root: Element,
    start: tuple[float, float],
    end: tuple[float, float],
    is_response: bool,
) -> None:
    """Draw an arrow that ends just before the marker of the receipt."""
    direction = 1 if end[0] >= start[0] else -1
    tip = end[0] - direction * MARKER_SIZE
    line = add_element(root, "line", x1=start[0], y1=start[1], x2=tip, y2=end[1])
    line.set("stroke", MESSAGE_COLOUR)
    if is_response:
        line.set("stroke-dasharray", "4 3")
    back = tip - direction * ARROW_SIZE
    corners = [(tip, end[1]), (back, end[1] - 4), (back, end[1] + 3)]
    points = " ".join(f"{x:.1f},{y:.1f}" for x, y in corners)
    add_element(root, "polygon", points=points, fill=MESSAGE_COLOUR)

"""Plots of the overload report, as inline SVG."""

from xml.etree.ElementTree import Element

from .markup import add_element, format_time, sanitize, svg_root, truncate
from .refusals import Importance
from .reportanalysis import Report, TimeBin

WIDTH = 900
LEFT = 170
RIGHT = 20
PLOT_WIDTH = WIDTH - LEFT - RIGHT
BAR_HEIGHT = 180
TOP = 46
AXIS_HEIGHT = 26
ROW_HEIGHT = 18
MAX_STRIPS = 60
MAX_ACCOUNTS = 40
LABEL_CHARACTERS = 24
TIME_LABELS = 6

# The lightness differs as well, so that the colours can be told apart in grey.
SERVED = "#b7cde2"
REFUSED = {
    Importance.CRITICAL: "#6d0f0a",
    Importance.NORMAL: "#cf4436",
    Importance.SHEDDABLE: "#f0a796",
}
REFUSED_IN_RATE = "#6d0f0a"
REFUSED_OVER_RATE = "#d8b25c"
REFUSED_ITSELF = "#8a94a0"
NOT_ASKED = "#f3f3f3"
GRID = "#d0d4d8"
INK = "#333333"
SHARE_COLOURS = [(0.0, SERVED), (0.1, "#f5c9bd"), (0.5, "#e07a68"), (2.0, "#8f1a12")]


def draw_requests(report: Report) -> Element:
    """Draw the callers' requests a second over time, served and refused."""
    height = TOP + BAR_HEIGHT + AXIS_HEIGHT
    root = svg_root(WIDTH, height, "Callers' requests per second, served and refused")
    legend = [("served", SERVED)]
    for importance, colour in reversed(REFUSED.items()):
        legend.append((f"{importance.name.lower()} refused", colour))
    draw_heading(root, "Callers' requests per second", legend)
    top = max((total(found) / report.bin_seconds for found in report.bins), default=0.0)
    draw_scale(root, top)
    for number, found in enumerate(report.bins):
        draw_bar(root, report, number, found, top)
    draw_time_axis(root, report, TOP + BAR_HEIGHT)
    return root


def total(found: TimeBin) -> float:
    """Return all requests of a bin."""
    return found.served + sum(found.refused)


def draw_scale(root: Element, top: float) -> None:
    """Draw the vertical scale from 0 to the largest value."""
    for part in (0.0, 0.5, 1.0):
        y = TOP + BAR_HEIGHT * (1 - part)
        add_element(root, "line", x1=LEFT, x2=WIDTH - RIGHT, y1=y, y2=y, stroke=GRID)
        label = f"{top * part:,.4g}"
        add_element(
            root, "text", label, x=LEFT - 8, y=y + 4, text_anchor="end", fill=INK
        )


def draw_bar(
    root: Element, report: Report, number: int, found: TimeBin, top: float
) -> None:
    """Draw the stacked bar of one bin."""
    if top <= 0:
        return
    width = PLOT_WIDTH / len(report.bins)
    x = LEFT + number * width
    parts = [(SERVED, found.served)]
    parts += [(REFUSED[i], found.refused[i]) for i in reversed(Importance)]
    y = float(TOP + BAR_HEIGHT)
    for colour, requests in parts:
        height = BAR_HEIGHT * requests / report.bin_seconds / top
        y -= height
        if height > 0:
            add_element(root, "rect", x=x, y=y, width=width, height=height, fill=colour)


def draw_heading(root: Element, title: str, legend: list[tuple[str, str]]) -> None:
    """Draw the heading of a plot and its legend."""
    add_element(root, "text", title, x=0, y=14, font_weight="bold", font_size=14)
    x = 0.0
    for name, colour in legend:
        add_element(root, "rect", x=x, y=24, width=11, height=11, fill=colour)
        add_element(root, "text", name, x=x + 16, y=34, fill=INK)
        x += 34 + 6.6 * len(name)


def draw_time_axis(root: Element, report: Report, y: float) -> None:
    """Draw times of day below a plot."""
    length = report.bin_seconds * len(report.bins)
    for number in range(TIME_LABELS + 1):
        part = number / TIME_LABELS
        x = LEFT + PLOT_WIDTH * part
        label = format_time(report.span.begin + length * part)
        anchor = "end" if number == TIME_LABELS else "middle"
        add_element(root, "line", x1=x, x2=x, y1=y, y2=y + 5, stroke=INK)
        add_element(root, "text", label, x=x, y=y + 19, text_anchor=anchor, fill=INK)


def draw_shares(report: Report) -> Element:
    """Draw the part shed over time, a strip for each service and importance."""
    strips = [
        (key, shares)
        for key, shares in report.shed_shares.items()
        if any(share for share in shares)
    ]
    shown = strips[:MAX_STRIPS]
    height = TOP + ROW_HEIGHT * max(1, len(shown)) + AXIS_HEIGHT
    root = svg_root(
        WIDTH, height, "Part shed for overload by service and importance over time"
    )
    legend = [("none shed", SERVED), ("below 10%", SHARE_COLOURS[1][1])]
    legend += [("10% to 50%", SHARE_COLOURS[2][1])]
    legend += [("over 50%", SHARE_COLOURS[3][1]), ("nothing asked", NOT_ASKED)]
    heading = "Part shed for overload, at the entry and at targets"
    if len(strips) > len(shown):
        heading += f" (first {len(shown)} of {len(strips)})"
    draw_heading(root, heading, legend)
    for row, ((service, importance), shares) in enumerate(shown):
        y = TOP + ROW_HEIGHT * row
        draw_label(root, f"{service} {importance.name.lower()}", y)
        draw_strip(root, shares, y)
    if not shown:
        add_element(root, "text", "Nothing was shed.", x=LEFT, y=TOP + 13, fill=INK)
    draw_time_axis(root, report, height - AXIS_HEIGHT)
    return root


def draw_strip(root: Element, shares: list[float | None], y: float) -> None:
    """Draw one strip; equal neighbours are drawn as one rectangle."""
    step = PLOT_WIDTH / len(shares)
    colours = [share_colour(share) for share in shares]
    start = 0
    for number in range(1, len(colours) + 1):
        if number < len(colours) and colours[number] == colours[start]:
            continue
        x, width = LEFT + start * step, (number - start) * step
        rect = add_element(
            root, "rect", x=x, y=y + 1, width=width, height=ROW_HEIGHT - 3
        )
        rect.set("fill", colours[start])
        start = number


def share_colour(share: float | None) -> str:
    """Return the colour for a part shed."""
    if share is None:
        return NOT_ASKED
    return next(colour for limit, colour in SHARE_COLOURS if share <= limit)


def draw_label(root: Element, text: str, y: float) -> None:
    """Draw the label at the left of a row."""
    label = add_element(
        root, "text", "", x=LEFT - 8, y=y + 13, text_anchor="end", fill=INK
    )
    label.text = truncate(sanitize(text), LABEL_CHARACTERS)
    add_element(label, "title", text)


def draw_accounts(report: Report) -> Element:
    """Draw what became of each client account's requests, the worst served first."""
    shown = report.accounts[:MAX_ACCOUNTS]
    height = TOP + ROW_HEIGHT * max(1, len(shown)) + 4
    root = svg_root(WIDTH, height, "Requests of client accounts, served and refused")
    legend = [("served", SERVED), ("refused within the rate", REFUSED_IN_RATE)]
    legend.append(("refused over the rate", REFUSED_OVER_RATE))
    legend.append(("refused for the request itself", REFUSED_ITSELF))
    draw_heading(root, "Part of each client account's requests", legend)
    for row, account in enumerate(shown):
        y = TOP + ROW_HEIGHT * row
        draw_label(root, account.account or "(no account)", y)
        parts = [(SERVED, account.served), (REFUSED_IN_RATE, account.refused_in_rate)]
        parts.append((REFUSED_OVER_RATE, account.refused_over_rate))
        parts.append((REFUSED_ITSELF, account.refused_itself))
        whole = sum(requests for _, requests in parts)
        x = float(LEFT)
        for colour, requests in parts:
            width = PLOT_WIDTH * requests / whole
            if requests:
                add_element(
                    root, "rect", x=x, y=y + 1, width=width, height=15, fill=colour
                )
            x += width
    return root

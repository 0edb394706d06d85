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
MAX_HEAT_MAP_ROWS = 60
MAX_ACCOUNTS = 40
MAX_LABEL_CHARACTERS = 24
TIME_LABEL_INTERVALS = 6

# The colours differ in lightness, so that they can be distinguished in greyscale.
SERVED = "#b7cde2"
REFUSED = {
    Importance.CRITICAL: "#6d0f0a",
    Importance.NORMAL: "#cf4436",
    Importance.SHEDDABLE: "#f0a796",
}
REFUSED_IN_RATE = "#6d0f0a"
REFUSED_OVER_RATE = "#d8b25c"
REFUSED_ITSELF = "#8a94a0"
NO_REQUESTS = "#f3f3f3"
GRID_COLOUR = "#d0d4d8"
TEXT_COLOUR = "#333333"
SHARE_COLOURS = [(0.0, SERVED), (0.1, "#f5c9bd"), (0.5, "#e07a68"), (2.0, "#8f1a12")]


def draw_requests(report: Report) -> Element:
    """Draw the rate of callers' requests over time, served and refused."""
    height = TOP + BAR_HEIGHT + AXIS_HEIGHT
    root = svg_root(WIDTH, height, "Callers' requests per second, served and refused")
    legend = [("served", SERVED)]
    for importance, colour in reversed(REFUSED.items()):
        legend.append((f"{importance.name.lower()} refused", colour))
    draw_heading(root, "Callers' requests per second", legend)
    max_rate = max(
        (bin_total(time_bin) / report.bin_seconds for time_bin in report.bins),
        default=0.0,
    )
    draw_value_axis(root, max_rate)
    for index, time_bin in enumerate(report.bins):
        draw_bar(root, report, index, time_bin, max_rate)
    draw_time_axis(root, report, TOP + BAR_HEIGHT)
    return root


def bin_total(time_bin: TimeBin) -> float:
    """Return the number of requests in a bin."""
    return time_bin.served + sum(time_bin.refused)


def draw_value_axis(root: Element, max_rate: float) -> None:
    """Draw the vertical axis from 0 to the largest value."""
    for fraction in (0.0, 0.5, 1.0):
        y = TOP + BAR_HEIGHT * (1 - fraction)
        add_element(
            root, "line", x1=LEFT, x2=WIDTH - RIGHT, y1=y, y2=y, stroke=GRID_COLOUR
        )
        label = f"{max_rate * fraction:,.4g}"
        add_element(
            root,
            "text",
            label,
            x=LEFT - 8,
            y=y + 4,
            text_anchor="end",
            fill=TEXT_COLOUR,
        )


def draw_bar(
    root: Element, report: Report, index: int, time_bin: TimeBin, max_rate: float
) -> None:
    """Draw the stacked bar of one bin."""
    if max_rate <= 0:
        return
    width = PLOT_WIDTH / len(report.bins)
    x = LEFT + index * width
    segments = [(SERVED, time_bin.served)]
    segments += [(REFUSED[i], time_bin.refused[i]) for i in reversed(Importance)]
    y = float(TOP + BAR_HEIGHT)
    for colour, requests in segments:
        height = BAR_HEIGHT * requests / report.bin_seconds / max_rate
        y -= height
        if height > 0:
            add_element(root, "rect", x=x, y=y, width=width, height=height, fill=colour)


def draw_heading(root: Element, title: str, legend: list[tuple[str, str]]) -> None:
    """Draw the heading and the legend of a plot."""
    add_element(root, "text", title, x=0, y=14, font_weight="bold", font_size=14)
    x = 0.0
    for name, colour in legend:
        add_element(root, "rect", x=x, y=24, width=11, height=11, fill=colour)
        add_element(root, "text", name, x=x + 16, y=34, fill=TEXT_COLOUR)
        x += 34 + 6.6 * len(name)


def draw_time_axis(root: Element, report: Report, y: float) -> None:
    """Draw the time axis of a plot."""
    length = report.bin_seconds * len(report.bins)
    for index in range(TIME_LABEL_INTERVALS + 1):
        fraction = index / TIME_LABEL_INTERVALS
        x = LEFT + PLOT_WIDTH * fraction
        label = format_time(report.span.begin + length * fraction)
        anchor = "end" if index == TIME_LABEL_INTERVALS else "middle"
        add_element(root, "line", x1=x, x2=x, y1=y, y2=y + 5, stroke=TEXT_COLOUR)
        add_element(
            root, "text", label, x=x, y=y + 19, text_anchor=anchor, fill=TEXT_COLOUR
        )


def draw_shed_shares(report: Report) -> Element:
    """Draw the share shed over time as a heat map by service and importance."""
    heat_map_rows = [
        (key, shares)
        for key, shares in report.shed_shares.items()
        if any(share for share in shares)
    ]
    shown = heat_map_rows[:MAX_HEAT_MAP_ROWS]
    height = TOP + ROW_HEIGHT * max(1, len(shown)) + AXIS_HEIGHT
    root = svg_root(
        WIDTH, height, "Part shed for overload by service and importance over time"
    )
    legend = [("none shed", SERVED), ("below 10%", SHARE_COLOURS[1][1])]
    legend += [("10% to 50%", SHARE_COLOURS[2][1])]
    legend += [("over 50%", SHARE_COLOURS[3][1]), ("no requests", NO_REQUESTS)]
    heading = "Part shed for overload, at the entry and at targets"
    if len(heat_map_rows) > len(shown):
        heading += f" (first {len(shown)} of {len(heat_map_rows)})"
    draw_heading(root, heading, legend)
    for row, ((service, importance), shares) in enumerate(shown):
        y = TOP + ROW_HEIGHT * row
        draw_label(root, f"{service} {importance.name.lower()}", y)
        draw_heat_map_row(root, shares, y)
    if not shown:
        add_element(
            root, "text", "Nothing was shed.", x=LEFT, y=TOP + 13, fill=TEXT_COLOUR
        )
    draw_time_axis(root, report, height - AXIS_HEIGHT)
    return root


def draw_heat_map_row(root: Element, shares: list[float | None], y: float) -> None:
    """Draw one row of the heat map; adjacent bins of one colour are joined."""
    step = PLOT_WIDTH / len(shares)
    colours = [share_colour(share) for share in shares]
    start = 0
    for index in range(1, len(colours) + 1):
        if index < len(colours) and colours[index] == colours[start]:
            continue
        x, width = LEFT + start * step, (index - start) * step
        rect = add_element(
            root, "rect", x=x, y=y + 1, width=width, height=ROW_HEIGHT - 3
        )
        rect.set("fill", colours[start])
        start = index


def share_colour(share: float | None) -> str:
    """Return the colour for a share shed; None stands for no requests."""
    if share is None:
        return NO_REQUESTS
    return next(colour for limit, colour in SHARE_COLOURS if share <= limit)


def draw_label(root: Element, text: str, y: float) -> None:
    """Draw the truncated label of a row, with the full text as tooltip."""
    label = add_element(
        root, "text", "", x=LEFT - 8, y=y + 13, text_anchor="end", fill=TEXT_COLOUR
    )
    label.text = truncate(sanitize(text), MAX_LABEL_CHARACTERS)
    add_element(label, "title", text)


def draw_accounts(report: Report) -> Element:
    """Draw the outcomes of each client account as stacked bars, worst served first."""
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
        segments = [
            (SERVED, account.served),
            (REFUSED_IN_RATE, account.refused_in_rate),
        ]
        segments.append((REFUSED_OVER_RATE, account.refused_over_rate))
        segments.append((REFUSED_ITSELF, account.refused_itself))
        account_total = sum(requests for _, requests in segments)
        x = float(LEFT)
        for colour, requests in segments:
            width = PLOT_WIDTH * requests / account_total
            if requests:
                add_element(
                    root, "rect", x=x, y=y + 1, width=width, height=15, fill=colour
                )
            x += width
    return root

"""Renders the overload report as text, JSON or a self-contained HTML page."""

from typing import Any
from xml.etree import ElementTree
from xml.etree.ElementTree import Element

import msgspec

from .markup import add_element, format_datetime, sanitize, serialize_html
from .plots import draw_accounts, draw_requests, draw_shed_shares
from .reportanalysis import Report, Span, build_report
from .reportsections import Section, Table, make_sections

__all__ = [
    "Report",
    "Span",
    "build_report",
    "render_html",
    "render_json",
    "render_text",
]

STYLE = """
body { font: 14px/1.4 sans-serif; color: #222; margin: 2em auto; max-width: 1000px;
  padding: 0 1em; }
h1 { font-size: 1.6em; } h2 { font-size: 1.3em; border-bottom: 2px solid #2f5d8a; }
table { border-collapse: collapse; margin: 1.2em 0; width: 100%; font-size: 12px; }
caption { text-align: left; font-weight: bold; font-size: 14px; padding: 4px 0; }
th, td { border-bottom: 1px solid #d0d4d8; padding: 3px 6px; text-align: left;
  vertical-align: top; overflow-wrap: break-word; }
th { background: #eef2f6; overflow-wrap: normal; }
.number { text-align: right; font-variant-numeric: tabular-nums; }
.bad { color: #8f1a12; font-weight: bold; }
svg { display: block; max-width: 100%; height: auto; margin: 1.2em 0; }
@media print {
  body { margin: 0; max-width: none; font-size: 11px; }
  nav { display: none; }
  section.reader { break-before: page; }
  tr, svg { break-inside: avoid; }
  * { print-color-adjust: exact; -webkit-print-color-adjust: exact; }
}
"""
HIGHLIGHTED_CELLS = frozenset({"BROKEN"})
AUDIENCE_SECTIONS = frozenset({"on-call", "client-relations"})


def render_text(report: Report) -> str:
    """Render a report as plain text; times are UTC."""
    lines: list[str] = []
    for section in make_sections(report):
        lines += [section.title, "=" * len(section.title), ""]
        lines += [line for text in section.paragraphs for line in (sanitize(text), "")]
        lines += [f"- {sanitize(item)}" for item in section.items]
        for table in section.tables:
            lines += format_table(table)
        lines.append("")
    return "\n".join(lines)


def format_table(table: Table) -> list[str]:
    """Format a table as lines with aligned columns."""
    if not table.rows:
        return [table.title, f"  {table.empty}", ""]
    cells = [[column.name for column in table.columns]]
    cells += [[sanitize(cell) for cell in row] for row in table.rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [table.title]
    for row in cells:
        parts = [
            cell.rjust(width) if column.numeric else cell.ljust(width)
            for cell, width, column in zip(row, widths, table.columns, strict=True)
        ]
        lines.append("  " + "  ".join(parts).rstrip())
    return [*lines, ""]


def render_json(report: Report) -> str:
    """Render a report as JSON, with figures as numbers."""
    document = {
        "begin": report.span.begin,
        "end": report.span.end,
        "nodes": report.nodes,
        "refusals": [row_to_dict(row) for row in report.refusals],
        "services": [row_to_dict(row) for row in report.services],
        "accounts": [
            {**row_to_dict(row), "share_served_in_rate": row.share}
            for row in report.accounts
        ],
        "episodes": [row_to_dict(row) for row in report.episodes],
        "bounds": [row_to_dict(row) for row in report.bounds],
        "steps": [row_to_dict(row) for row in report.steps],
        "bins": [row_to_dict(row) for row in report.bins],
        "bin_seconds": report.bin_seconds,
        "unknown": report.unknown,
    }
    return msgspec.json.encode(sanitize_values(document)).decode()


def row_to_dict(row: Any) -> dict[str, Any]:
    """Convert a row to a flat dictionary that includes the fields of its key."""
    mapping = dict(row._asdict())
    key = mapping.pop("key", None)
    if key is not None:
        mapping = {**key._asdict(), **mapping}
    if "importance" in mapping:
        mapping["importance"] = mapping["importance"].name.lower()
    return mapping


def sanitize_values(value: Any) -> Any:
    """Return a JSON document with all its texts sanitized."""
    if isinstance(value, str):
        return sanitize(value)
    if isinstance(value, dict):
        return {name: sanitize_values(item) for name, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [sanitize_values(item) for item in value]
    return value


def render_html(report: Report) -> str:
    """Render a report as an HTML page without scripts and external resources."""
    page = ElementTree.Element("html", {"lang": "en"})
    head = add_element(page, "head")
    add_element(head, "meta", charset="utf-8")
    add_element(
        head, "meta", name="viewport", content="width=device-width, initial-scale=1"
    )
    add_element(head, "title", f"Overload report {format_datetime(report.span.begin)}")
    add_element(head, "style").text = STYLE
    body = add_element(page, "body")
    sections = make_sections(report)
    for section in sections:
        add_section(body, section, report)
        if section.name == "overview":
            add_links(body, sections[1:])
    return serialize_html(page)


def add_links(body: Element, sections: list[Section]) -> None:
    """Add a navigation list with links to the sections."""
    links = add_element(add_element(body, "nav"), "ul")
    for section in sections:
        add_element(
            add_element(links, "li"), "a", section.title, href=f"#{section.name}"
        )


def add_section(body: Element, section: Section, report: Report) -> None:
    """Add a section with its plots."""
    kind = "reader" if section.name in AUDIENCE_SECTIONS else "general"
    element = add_element(body, "section", id=section.name, class_=kind)
    add_element(element, "h1" if section.name == "overview" else "h2", section.title)
    for paragraph in section.paragraphs:
        add_element(element, "p", paragraph)
    if section.items:
        items = add_element(element, "ul")
        for item in section.items:
            add_element(items, "li", item)
    if section.name == "overview":
        element.append(draw_requests(report))
    if section.name == "on-call":
        element.append(draw_shed_shares(report))
    if section.name == "client-relations":
        element.append(draw_accounts(report))
    for table in section.tables:
        add_table(element, table)


def add_table(parent: Element, table: Table) -> None:
    """Add a table."""
    if not table.rows:
        add_element(parent, "p", f"{table.title}: {table.empty}")
        return
    element = add_element(parent, "table")
    add_element(element, "caption", table.title)
    head = add_element(add_element(element, "thead"), "tr")
    classes = ["number" if column.numeric else "text" for column in table.columns]
    for column, kind in zip(table.columns, classes, strict=True):
        add_element(head, "th", column.name, class_=kind, scope="col")
    body = add_element(element, "tbody")
    for row in table.rows:
        line = add_element(body, "tr")
        for cell, kind in zip(row, classes, strict=True):
            add_element(
                line, "td", cell, class_="bad" if cell in HIGHLIGHTED_CELLS else kind
            )

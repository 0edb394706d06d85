"""Text, SVG and HTML that is safe to show, whatever the input holds."""

import datetime
from xml.etree import ElementTree
from xml.etree.ElementTree import Element

from .events import redact_keys

REPLACEMENT = "\N{REPLACEMENT CHARACTER}"
SVG_NAMESPACE = "http://www.w3.org/2000/svg"


def sanitize(text: str) -> str:
    """Return a text without keys and without control characters.

    Control characters could drive a terminal and are not allowed in XML.
    """
    text = redact_keys(text)
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else REPLACEMENT for c in text)


def truncate(text: str, length: int) -> str:
    """Return a text cut to a number of characters."""
    return text if len(text) <= length else text[: length - 1] + "…"


def add_element(
    parent: Element, tag: str, text: str = "", /, **attributes: object
) -> Element:
    """Add an element to a parent.

    Args:
        parent: Element that gets the new one as its last child.
        tag: Name of the new element.
        text: Its text, cleaned here and escaped when it is written.
        **attributes: Its attributes; an underscore in a name becomes a hyphen, except
            at the end, where it is dropped (``class_``).
    """
    values = {
        name.rstrip("_").replace("_", "-"): attribute_text(value)
        for name, value in attributes.items()
    }
    child = ElementTree.SubElement(parent, tag, values)
    child.text = sanitize(text)
    return child


def attribute_text(value: object) -> str:
    """Return an attribute's value as text, fractions with one decimal."""
    if isinstance(value, float):
        return f"{value:.1f}".removesuffix(".0")
    return sanitize(str(value))


def svg_root(width: float, height: float, title: str) -> Element:
    """Return an empty SVG image of a size in pixels with a title."""
    attributes = {
        "xmlns": SVG_NAMESPACE,
        "viewBox": f"0 0 {attribute_text(width)} {attribute_text(height)}",
        "width": attribute_text(width),
        "height": attribute_text(height),
        "role": "img",
        "font-family": "sans-serif",
        "font-size": "12",
    }
    root = ElementTree.Element("svg", attributes)
    add_element(root, "title", title)
    return root


def serialize_svg(root: Element) -> str:
    """Return an image as SVG text."""
    return ElementTree.tostring(root, encoding="unicode")


def serialize_html(root: Element) -> str:
    """Return a page as HTML text."""
    page = ElementTree.tostring(root, encoding="unicode", method="html")
    return f"<!DOCTYPE html>\n{page}\n"


def format_datetime(seconds: float) -> str:
    """Return a wall clock time as the UTC date and time to the second."""
    return utc_datetime(seconds).strftime("%Y-%m-%d %H:%M:%S")


def format_time(seconds: float, decimals: int = 0) -> str:
    """Return a wall clock time as the UTC time of day, with 0 or 3 decimals."""
    when = utc_datetime(seconds)
    text = when.strftime("%H:%M:%S")
    return f"{text}.{when.microsecond // 1000:03d}" if decimals else text


def utc_datetime(seconds: float) -> datetime.datetime:
    """Return a wall clock time as a UTC datetime; nonsense becomes the epoch."""
    try:
        return datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    except (OverflowError, ValueError, OSError):
        return datetime.datetime.fromtimestamp(0, datetime.UTC)

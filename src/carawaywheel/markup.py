"""Output of untrusted text: sanitized text, SVG and HTML."""

import datetime
from xml.etree import ElementTree
from xml.etree.ElementTree import Element

from .events import redact_keys

REPLACEMENT_CHARACTER = "\N{REPLACEMENT CHARACTER}"
SVG_NAMESPACE = "http://www.w3.org/2000/svg"


def sanitize(text: str) -> str:
    """Redact API keys and replace characters that are not printable.

    Control characters could change the state of a terminal and are invalid in XML.
    """
    text = redact_keys(text)
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else REPLACEMENT_CHARACTER for c in text)


def truncate(text: str, length: int) -> str:
    """Truncate a text to a number of characters, with an ellipsis as the last."""
    return text if len(text) <= length else text[: length - 1] + "…"


def add_element(
    parent: Element, tag: str, text: str = "", /, **attributes: object
) -> Element:
    """Add an element to a parent.

    Args:
        parent: Element that gets the new one as its last child.
        tag: Name of the new element.
        text: Text of the element; sanitized here and escaped by the serializer.
        **attributes: Attributes of the element. Underscores in names become hyphens;
            a trailing underscore, as in ``class_``, is removed.
    """
    values = {
        name.rstrip("_").replace("_", "-"): attribute_text(value)
        for name, value in attributes.items()
    }
    child = ElementTree.SubElement(parent, tag, values)
    child.text = sanitize(text)
    return child


def attribute_text(value: object) -> str:
    """Format the value of an attribute, floats with at most one decimal."""
    if isinstance(value, float):
        return f"{value:.1f}".removesuffix(".0")
    return sanitize(str(value))


def svg_root(width: float, height: float, title: str) -> Element:
    """Create the root element of an SVG image, with its size in pixels and title."""
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
    """Serialize the root element of an image as SVG."""
    return ElementTree.tostring(root, encoding="unicode")


def serialize_html(root: Element) -> str:
    """Serialize the root element of a page as an HTML document."""
    page = ElementTree.tostring(root, encoding="unicode", method="html")
    return f"<!DOCTYPE html>\n{page}\n"


def format_datetime(seconds: float) -> str:
    """Format a wall clock time as UTC date and time in seconds."""
    return utc_datetime(seconds).strftime("%Y-%m-%d %H:%M:%S")


def format_time(seconds: float, decimals: int = 0) -> str:
    """Format a wall clock time as UTC time of day, with 0 or 3 decimals."""
    when = utc_datetime(seconds)
    text = when.strftime("%H:%M:%S")
    return f"{text}.{when.microsecond // 1000:03d}" if decimals else text


def utc_datetime(seconds: float) -> datetime.datetime:
    """Convert a wall clock time to a UTC datetime; invalid times become the epoch."""
    try:
        return datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    except (OverflowError, ValueError, OSError):
        return datetime.datetime.fromtimestamp(0, datetime.UTC)

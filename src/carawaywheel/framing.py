"""Parsing and encoding of HTTP/1.1 messages, without I/O.

A reader turns received bytes into events: the head of a message, parts of its body and
its end. Parsing uses httptools, which does not encode; encoding is done here.
"""

import functools
import re
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

import httptools

Headers = list[tuple[bytes, bytes]]

BODILESS_STATUSES = (204, 304)
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
HEADER_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# The same few names occur in all messages; clients cannot fill more memory than this
# number of the largest heads.
CACHED_NAMES = 256


class RequestHead(NamedTuple):
    """Head of a request.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Header names in lower case with their values.
        version: HTTP version, such as ``1.1``.
    """

    method: bytes
    target: bytes
    headers: Headers
    version: str


class ResponseHead(NamedTuple):
    """Head of a response.

    Attributes:
        status: HTTP status.
        headers: Header names in lower case with their values.
        version: HTTP version, such as ``1.1``.
    """

    status: int
    headers: Headers
    version: str


class Data(NamedTuple):
    """Part of a body.

    Attributes:
        data: Bytes of this part.
    """

    data: bytes


class Marker:
    """Event without content."""

    def __init__(self, name: str) -> None:
        self.name = name

    def __repr__(self) -> str:
        return self.name


END = Marker("END")
NEED_DATA = Marker("NEED_DATA")
CLOSED = Marker("CLOSED")

Event = RequestHead | ResponseHead | Data | Marker


class FramingError(Exception):
    """Received bytes, or a message to be sent, are not valid HTTP/1.1."""


class MessageReader(ABC):
    """Parses the messages that the other side of a connection sends.

    Attributes:
        max_head_bytes: Largest size of a message head in bytes, with informational
            responses before it, and of bytes in a row that belong neither to a head
            nor to a body.
        keep_alive: Whether the connection stays open after the current message.
    """

    parser_type: Any

    def __init__(self, max_head_bytes: int) -> None:
        self.max_head_bytes = max_head_bytes
        self.parser = self.parser_type(self)
        self.events: deque[Event] = deque()
        self.error = ""
        self.closed = False
        self.keep_alive = True
        self.in_message = False
        self.in_head = False
        self.head_bytes = 0
        self.overhead_bytes = 0
        self.headers: Headers = []

    @property
    def idle(self) -> bool:
        """Whether no byte of a further message has arrived."""
        return not (self.events or self.in_message or self.error or self.closed)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; empty bytes mark the end of the connection."""
        if self.error or self.closed:
            return
        if not data:
            self.feed_eof()
            return
        event_count = len(self.events)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.keep_alive = False
            self.error = "a change of protocol by upgrade is not supported"
        except httptools.HttpParserError as error:
            self.error = str(error)
        if self.in_head:
            self.head_bytes += len(data)
            if self.head_bytes > self.max_head_bytes:
                self.error = f"the head is larger than {self.max_head_bytes} bytes"
        elif len(self.events) == event_count:
            # Chunk extensions, trailers and informational responses yield no event.
            self.overhead_bytes += len(data)
            if self.overhead_bytes > self.max_head_bytes:
                self.error = (
                    f"more than {self.max_head_bytes} bytes are neither head nor body"
                )
        else:
            self.overhead_bytes = 0

    def feed_eof(self) -> None:
        """Handle the end of the connection."""
        self.closed = True
        if self.in_message:
            self.error = "the connection closed within a message"

    def next_event(self) -> Event:
        """Return the next event from the bytes received so far.

        Raises:
            FramingError: If the next bytes are not valid HTTP.
        """
        if self.events:
            return self.events.popleft()
        if self.error:
            raise FramingError(self.error)
        return CLOSED if self.closed else NEED_DATA

    def on_message_begin(self) -> None:
        """Start a message; called by the parser."""
        self.in_message = self.in_head = True
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Finish the head of a message; called by the parser."""
        self.in_head = False
        events_before = len(self.events)
        self.append_head_event()
        if len(self.events) > events_before:
            self.head_bytes = 0

    @abstractmethod
    def append_head_event(self) -> None:
        """Append the event for the head that was parsed."""

    def on_body(self, data: bytes) -> None:
        """Append the event for a part of a body; called by the parser."""
        self.events.append(Data(data))

    def on_message_complete(self) -> None:
        """Finish a message; called by the parser."""
        self.in_message = False
        self.events.append(END)


class RequestReader(MessageReader):
    """Parses requests."""

    parser_type = httptools.HttpRequestParser

    def __init__(self, max_head_bytes: int) -> None:
        super().__init__(max_head_bytes)
        self.target = b""

    def on_message_begin(self) -> None:
        """Start a request; see the base class."""
        super().on_message_begin()
        self.target = b""

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target; called by the parser."""
        self.target += url

    def append_head_event(self) -> None:
        """Append the event for a request head; see the base class."""
        parser = self.parser
        self.keep_alive = parser.should_keep_alive()
        self.events.append(
            RequestHead(
                parser.get_method(),
                self.target,
                self.headers,
                parser.get_http_version(),
            )
        )


class ResponseReader(MessageReader):
    """Parses responses and skips informational (1xx) ones.

    Attributes:
        is_head_request: Whether the request has the method HEAD, so that the response
            has no body.
        close_delimited: Whether the current body ends with the connection.
    """

    parser_type = httptools.HttpResponseParser

    def __init__(self, max_head_bytes: int) -> None:
        super().__init__(max_head_bytes)
        self.is_head_request = False
        self.close_delimited = False
        self.informational = False

    def append_head_event(self) -> None:
        """Append the event for a response head; see the base class."""
        parser = self.parser
        status = parser.get_status_code()
        self.informational = status < 200
        if self.informational:
            return
        names = {name for name, _ in self.headers}
        bodiless = status in BODILESS_STATUSES or self.is_head_request
        self.close_delimited = not (
            bodiless or CONTENT_LENGTH in names or TRANSFER_ENCODING in names
        )
        self.keep_alive = not self.close_delimited and parser.should_keep_alive()
        self.events.append(
            ResponseHead(status, self.headers, parser.get_http_version())
        )
        if self.is_head_request:
            # The parser would wait for the body that the headers announce.
            self.keep_alive = False
            self.events.append(END)

    def on_message_complete(self) -> None:
        """Finish a response; see the base class."""
        self.in_message = False
        if not self.informational and not self.is_head_request:
            self.events.append(END)

    def feed_eof(self) -> None:
        """Finish a close-delimited response; see the base class."""
        if self.in_message and self.close_delimited and not self.in_head:
            self.in_message = False
            self.events.append(END)
        super().feed_eof()


@functools.lru_cache(maxsize=CACHED_NAMES)
def encode_name(name: bytes) -> bytes:
    """Return a header name with its delimiter.

    Raises:
        FramingError: If the name is not a token.
    """
    if not HEADER_NAME.fullmatch(name):
        raise FramingError(f"the header name {name!r} is not a token")
    return name + b": "


def encode_head(first_line: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode the head of a message.

    Raises:
        FramingError: If a header contains a line break or its name is not a token.
    """
    lines = [first_line]
    lines += [encode_name(name) + value for name, value in headers]
    lines.append(b"\r\n")
    head = b"\r\n".join(lines)
    if head.count(b"\n") != len(lines) or head.count(b"\r") != len(lines):
        raise FramingError("a header or the first line contains a line break")
    return head


def encode_request_head(
    method: str, target: str, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Encode the head of a request.

    Raises:
        FramingError: If a header is not valid.
        UnicodeEncodeError: If the method or target is not ASCII.
    """
    return encode_head(f"{method} {target} HTTP/1.1".encode("ascii"), headers)


def encode_response_head(status: int, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode the head of a response.

    Raises:
        FramingError: If a header is not valid.
    """
    return encode_head(b"HTTP/1.1 %d " % status, headers)


class BodyWriter:
    """Encodes the body of a response that is sent in parts.

    Attributes:
        remaining: Bytes of the announced length that are still to be sent; None for a
            chunked body.
    """

    def __init__(self, status: int, headers: Headers, is_head_request: bool) -> None:
        self.omit_body = is_head_request or status in BODILESS_STATUSES
        self.remaining: int | None = None
        for name, value in headers:
            if name == CONTENT_LENGTH:
                self.remaining = int(value)
        if self.omit_body:
            self.remaining = 0

    def encode(self, data: bytes) -> bytes:
        """Encode a part of the body.

        Raises:
            FramingError: If the body is longer than announced in the head.
        """
        if self.omit_body or not data:
            return b""
        if self.remaining is None:
            return b"%x\r\n%b\r\n" % (len(data), data)
        self.remaining -= len(data)
        if self.remaining < 0:
            raise FramingError("the response body is longer than its content-length")
        return data

    def end(self) -> bytes:
        """Encode the end of the body.

        Raises:
            FramingError: If the body is shorter than announced in the head.
        """
        if self.remaining is None:
            return b"0\r\n\r\n"
        if self.remaining:
            raise FramingError("the response body is shorter than its content-length")
        return b""

"""HTTP/1.1 messages on one connection, without I/O: httptools reads them.

A reader turns bytes into events: the head of a message, parts of its body and its end.
What a node sends is framed here, as the library only reads.
"""

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
    """Head of an answer.

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
        data: Its bytes.
    """

    data: bytes


class Marker:
    """Event without contents."""

    def __init__(self, name: str) -> None:
        self.name = name

    def __repr__(self) -> str:
        return self.name


END = Marker("END")
NEED_DATA = Marker("NEED_DATA")
CLOSED = Marker("CLOSED")

Event = RequestHead | ResponseHead | Data | Marker


class FramingError(Exception):
    """The bytes are no HTTP/1.1, or what is to be sent is none."""


class MessageReader(ABC):
    """Reads the messages of the other side.

    Attributes:
        most_head_bytes: Size in bytes up to which the head of a message is read.
        keep_alive: Whether the other side takes another message after this one.
    """

    parser_type: Any

    def __init__(self, most_head_bytes: int) -> None:
        self.most_head_bytes = most_head_bytes
        self.parser = self.parser_type(self)
        self.events: deque[Event] = deque()
        self.error = ""
        self.closed = False
        self.keep_alive = True
        self.in_message = False
        self.in_head = False
        self.head_bytes = 0
        self.headers: Headers = []

    @property
    def idle(self) -> bool:
        """Whether no byte of another message has arrived."""
        return not (self.events or self.in_message or self.error or self.closed)

    def feed(self, data: bytes) -> None:
        """Take bytes that arrived; none at the end of the connection."""
        if self.error or self.closed:
            return
        if not data:
            self.finish()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.keep_alive = False
            self.error = "the protocol was to be changed"
        except httptools.HttpParserError as error:
            self.error = str(error)
        if self.in_head:
            self.head_bytes += len(data)
            if self.head_bytes > self.most_head_bytes:
                self.error = f"the head is larger than {self.most_head_bytes} bytes"

    def finish(self) -> None:
        """Take the end of the connection."""
        self.closed = True
        if self.in_message:
            self.error = "the connection closed within a message"

    def next_event(self) -> Event:
        """Return the next event that the bytes so far hold.

        Raises:
            FramingError: If the next bytes are not valid HTTP.
        """
        if self.events:
            return self.events.popleft()
        if self.error:
            raise FramingError(self.error)
        return CLOSED if self.closed else NEED_DATA

    def on_message_begin(self) -> None:
        """Begin a message; called by the parser."""
        self.in_message = self.in_head = True
        self.head_bytes = 0
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; called by the parser."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """End a head; called by the parser."""
        self.in_head = False
        self.take_head()

    @abstractmethod
    def take_head(self) -> None:
        """Add the event of a head."""

    def on_body(self, data: bytes) -> None:
        """Take a part of a body; called by the parser."""
        self.events.append(Data(data))

    def on_message_complete(self) -> None:
        """End a message; called by the parser."""
        self.in_message = False
        self.events.append(END)


class RequestReader(MessageReader):
    """Reads requests."""

    parser_type = httptools.HttpRequestParser

    def __init__(self, most_head_bytes: int) -> None:
        super().__init__(most_head_bytes)
        self.target = b""

    def on_message_begin(self) -> None:
        """Begin a request; see the base class."""
        super().on_message_begin()
        self.target = b""

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target; called by the parser."""
        self.target += url

    def take_head(self) -> None:
        """Add the head of a request; see the base class."""
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
    """Reads answers; informational ones are left out.

    Attributes:
        without_body: Whether the request allows no body in its answer.
        until_close: Whether the present body ends with the connection.
    """

    parser_type = httptools.HttpResponseParser

    def __init__(self, most_head_bytes: int) -> None:
        super().__init__(most_head_bytes)
        self.without_body = False
        self.until_close = False
        self.informational = False

    def take_head(self) -> None:
        """Add the head of an answer; see the base class."""
        parser = self.parser
        status = parser.get_status_code()
        self.informational = status < 200
        if self.informational:
            return
        names = {name for name, _ in self.headers}
        bodiless = status in BODILESS_STATUSES or self.without_body
        self.until_close = not (
            bodiless or CONTENT_LENGTH in names or TRANSFER_ENCODING in names
        )
        self.keep_alive = not self.until_close and parser.should_keep_alive()
        self.events.append(
            ResponseHead(status, self.headers, parser.get_http_version())
        )
        if self.without_body:
            # The parser would wait for the body that the headers describe.
            self.keep_alive = False
            self.events.append(END)

    def on_message_complete(self) -> None:
        """End an answer; see the base class."""
        self.in_message = False
        if not self.informational and not self.without_body:
            self.events.append(END)

    def finish(self) -> None:
        """End an answer that has no length; see the base class."""
        if self.in_message and self.until_close and not self.in_head:
            self.in_message = False
            self.events.append(END)
        super().finish()


def encode_head(first_line: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode the head of a message.

    Raises:
        FramingError: If a header would end its line or is not named by a token.
    """
    lines = [first_line]
    for name, value in headers:
        if not HEADER_NAME.fullmatch(name):
            raise FramingError(f"the header name {name!r} is not a token")
        lines.append(name + b": " + value)
    lines.append(b"\r\n")
    head = b"\r\n".join(lines)
    if head.count(b"\n") != len(lines) or head.count(b"\r") != len(lines):
        raise FramingError("a header holds the end of a line")
    return head


def encode_request_head(
    method: str, target: str, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Encode the head of a request.

    Raises:
        FramingError: If a part of it is not valid.
    """
    return encode_head(f"{method} {target} HTTP/1.1".encode("ascii"), headers)


def encode_response_head(status: int, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode the head of an answer.

    Raises:
        FramingError: If a part of it is not valid.
    """
    return encode_head(b"HTTP/1.1 %d " % status, headers)


class BodyWriter:
    """Frames the body of an answer that is sent in parts.

    Attributes:
        left: Bytes that are still to come; None for a chunked body.
    """

    def __init__(self, status: int, headers: Headers, without_body: bool) -> None:
        self.bodiless = without_body or status in BODILESS_STATUSES
        self.left: int | None = None
        for name, value in headers:
            if name == CONTENT_LENGTH:
                self.left = int(value)
        if self.bodiless:
            self.left = 0

    def encode(self, data: bytes) -> bytes:
        """Encode a part of the body.

        Raises:
            FramingError: If it is longer than the head announced.
        """
        if self.bodiless or not data:
            return b""
        if self.left is None:
            return b"%x\r\n%b\r\n" % (len(data), data)
        self.left -= len(data)
        if self.left < 0:
            raise FramingError("the body is longer than its length")
        return data

    def end(self) -> bytes:
        """Encode the end of the body.

        Raises:
            FramingError: If it is shorter than the head announced.
        """
        if self.left is None:
            return b"0\r\n\r\n"
        if self.left:
            raise FramingError("the body is shorter than its length")
        return b""

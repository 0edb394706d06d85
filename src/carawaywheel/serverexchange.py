"""Server side of one exchange: sending a response, a refusal or an input error."""

import json
from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any

import curio
import msgspec

from .errors import ProtocolError
from .framing import BodyWriter, FramingError, Headers, encode_response_head
from .refusals import Refusal

WRITE_TIMEOUT_SECONDS = 30.0
CLOSE_HEADER = (b"connection", b"close")
JSON_HEADER = (b"content-type", b"application/json")

encode_json = msgspec.json.encode


class ServerExchange(ABC):
    """One request and its response, as a handler sees them.

    Attributes:
        sock: curio socket.
        peer: Address of the other side.
        disconnected: Whether the connection is closed or is about to be.
        close_after_response: Whether the connection closes after the current
            response.
        closing: Whether a response has announced that the connection closes, or its
            output has ended; requests behind that are not served.
        response_started: Whether a part of the response was sent.
        response_finished: Whether the whole response was sent.
        is_head_request: Whether the request has the method HEAD, so that its response
            has no body.
        body_writer: Encodes the body of a streamed response; None before its head.
        task: curio task that serves the exchange; None if not known.
    """

    close_after_response: bool
    task: Any = None

    def __init__(self, sock: Any, peer: str) -> None:
        self.sock = sock
        self.peer = peer
        self.disconnected = False
        self.closing = False
        self.response_started = False
        self.response_finished = False
        self.is_head_request = False
        self.body_writer: BodyWriter | None = None

    @abstractmethod
    async def read_body(self, limit: int) -> bytes:
        """Read the whole body of the request.

        Args:
            limit: Largest body in bytes.

        Raises:
            ProtocolError: If the body is too large, truncated or too slow.
        """

    @abstractmethod
    def close_if_body_unread(self) -> None:
        """Close after the response if the request has a body that was not read."""

    async def wait_for_earlier_responses(self) -> None:
        """Wait until the responses to earlier pipelined requests are sent."""
        return

    def close_fields(self) -> Headers:
        """Return the header that announces the close, if this response does so."""
        if not self.close_after_response:
            return []
        self.announce_close()
        return [CLOSE_HEADER]

    def announce_close(self) -> None:
        """Note that this response announces the end of the connection."""
        self.closing = True

    async def write(self, data: bytes) -> None:
        """Send bytes.

        Raises:
            ProtocolError: If the client has disconnected or does not read.
        """
        try:
            # Most responses fit into the socket buffer and need no timeout.
            unsent = data[send_available(self.sock, data) :]
            if unsent:
                await curio.timeout_after(
                    WRITE_TIMEOUT_SECONDS, self.sock.sendall, unsent
                )
        except (OSError, curio.TaskTimeout) as error:
            self.disconnected = True
            raise ProtocolError(
                "the client disconnected or did not read the response",
                "write",
                self.peer,
            ) from error

    async def respond(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response in one write.

        Raises:
            ProtocolError: If a header is not valid or the client has disconnected.
        """
        await self.wait_for_earlier_responses()
        length = (b"content-length", str(len(body)).encode())
        fields = [*headers, length, *self.close_fields()]
        head = self.encode_header_block(status, fields)
        self.response_started = self.response_finished = True
        await self.write(head if self.is_head_request else head + body)

    def encode_header_block(self, status: int, fields: Headers) -> bytes:
        """Encode the status line and headers of a response.

        Raises:
            ProtocolError: If a header is not valid.
        """
        try:
            return encode_response_head(status, fields)
        except FramingError as error:
            raise ProtocolError(str(error), "write", self.peer) from error

    def encode_head(self, status: int, headers: Headers) -> bytes:
        """Encode the head of a streamed response, to be sent with its first bytes.

        Raises:
            ProtocolError: If a header is not valid.
        """
        self.response_started = True
        self.body_writer = BodyWriter(status, headers, self.is_head_request)
        return self.encode_header_block(status, [*headers, *self.close_fields()])

    def encode_chunk(self, data: bytes) -> bytes:
        """Encode a part of the body of a streamed response.

        Raises:
            ProtocolError: If the body is longer than the head announced.
        """
        assert self.body_writer is not None
        try:
            return self.body_writer.encode(data)
        except FramingError as error:
            raise ProtocolError(str(error), "write", self.peer) from error

    def encode_end(self) -> bytes:
        """Encode the end of a streamed response.

        Raises:
            ProtocolError: If the body is shorter than the head announced.
        """
        assert self.body_writer is not None
        try:
            end = self.body_writer.end()
        except FramingError as error:
            raise ProtocolError(str(error), "write", self.peer) from error
        self.response_finished = True
        return end

    async def respond_input_error(self, error: ProtocolError) -> None:
        """Send an error response for malformed input, unless a response was started.

        Raises:
            ProtocolError: If the client has disconnected.
        """
        if self.response_started:
            return
        status = input_error_status(error)
        body = json_body({"reason": "bad_request", "detail": error.message})
        self.close_after_response = True
        await self.respond(status, [JSON_HEADER], body)


def input_error_status(error: ProtocolError) -> int:
    """Return the HTTP status for malformed input, by the error's message."""
    if error.message.startswith("the body is larger"):
        return 413
    if error.message.startswith("the head is larger"):
        return 431
    if error.message.startswith("too many"):
        return 503
    return 400


def json_body(value: Any) -> bytes:
    """Encode a value as one line of JSON."""
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


def refusal_body(refusal: Refusal) -> bytes:
    """Encode the response body of a refusal."""
    fields = {
        "reason": refusal.reason.value,
        "ran": refusal.ran.value,
        "retry_after": refusal.retry_after,
        "step": refusal.step,
        "peer": refusal.peer,
    }
    line: bytes = encode_json(fields)
    # msgspec takes a tenth of the time, but does not escape other characters.
    return line + b"\n" if line.isascii() else json_body(fields)


def send_available(sock: Any, data: bytes) -> int:
    """Send what the socket accepts without blocking; return the number of bytes.

    Raises:
        OSError: If the connection is broken.
    """
    try:
        sent: int = sock._socket.send(data)
    except (BlockingIOError, InterruptedError):
        return 0
    return sent

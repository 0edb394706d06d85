"""Answering a request: the head, the framing of the body, and input errors."""

import json
from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any

import curio

from .errors import ProtocolError
from .framing import BodyWriter, FramingError, Headers, encode_response_head
from .refusals import Refusal

WRITE_TIMEOUT_SECONDS = 30.0
CLOSE_HEADER = (b"connection", b"close")
JSON_HEADER = (b"content-type", b"application/json")


class ServerExchange(ABC):
    """One request and its answer, as a handler sees them.

    Attributes:
        sock: curio socket.
        peer: Address of the other side.
        disconnected: Whether the other side has closed the connection.
        last: Whether the connection closes after the current answer.
        started: Whether a part of the answer was sent.
        finished: Whether the whole answer was sent.
        without_body: Whether the request allows no body in its answer.
    """

    last: bool

    def __init__(self, sock: Any, peer: str) -> None:
        self.sock = sock
        self.peer = peer
        self.disconnected = False
        self.started = False
        self.finished = False
        self.without_body = False
        self.writer: BodyWriter | None = None

    @abstractmethod
    async def read_body(self, limit: int) -> bytes:
        """Read the whole body of the request.

        Args:
            limit: Largest body in bytes.

        Raises:
            ProtocolError: If the body is too large, cut, or too slow.
        """

    @abstractmethod
    def close_if_body_unread(self) -> None:
        """Close after the answer if the request has a body that was not read."""

    async def wait_turn(self) -> None:
        """Wait until the answers to earlier requests have been sent."""
        return

    async def write(self, data: bytes) -> None:
        """Send bytes.

        Raises:
            ProtocolError: If the other side is gone or does not read.
        """
        try:
            # Most answers fit the socket's buffer and need no timeout.
            rest = data[send_available(self.sock, data) :]
            if rest:
                await curio.timeout_after(
                    WRITE_TIMEOUT_SECONDS, self.sock.sendall, rest
                )
        except (OSError, curio.TaskTimeout) as error:
            self.disconnected = True
            raise ProtocolError("the answer was not taken", "write", self.peer) from (
                error
            )

    async def respond(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete answer in one write."""
        await self.wait_turn()
        fields = [*headers, (b"content-length", str(len(body)).encode())]
        if self.last:
            fields.append(CLOSE_HEADER)
        head = self.encode_fields(status, fields)
        self.started = self.finished = True
        await self.write(head if self.without_body else head + body)

    def encode_fields(self, status: int, fields: Headers) -> bytes:
        """Encode the head of an answer.

        Raises:
            ProtocolError: If a header is not valid.
        """
        try:
            return encode_response_head(status, fields)
        except FramingError as error:
            raise ProtocolError(str(error), "write", self.peer) from error

    def encode_head(self, status: int, headers: Headers) -> bytes:
        """Encode the head of a streamed answer, to be sent with its first bytes."""
        self.started = True
        self.writer = BodyWriter(status, headers, self.without_body)
        fields = [*headers, CLOSE_HEADER] if self.last else headers
        return self.encode_fields(status, fields)

    def encode_chunk(self, data: bytes) -> bytes:
        """Encode a part of the body of a streamed answer.

        Raises:
            ProtocolError: If more bytes come than the head announced.
        """
        assert self.writer is not None
        try:
            return self.writer.encode(data)
        except FramingError as error:
            raise ProtocolError(str(error), "write", self.peer) from error

    def encode_end(self) -> bytes:
        """Encode the end of a streamed answer.

        Raises:
            ProtocolError: If fewer bytes were sent than the head announced.
        """
        assert self.writer is not None
        try:
            end = self.writer.end()
        except FramingError as error:
            raise ProtocolError(str(error), "write", self.peer) from error
        self.finished = True
        return end

    async def respond_input_error(self, error: ProtocolError) -> None:
        """Answer malformed input with an error, if an answer can still be sent."""
        if self.started:
            return
        status = input_error_status(error)
        body = json_body({"reason": "bad_request", "detail": error.message})
        self.last = True
        await self.respond(status, [JSON_HEADER], body)


def input_error_status(error: ProtocolError) -> int:
    """Return the HTTP status for malformed input."""
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
    """Encode a refusal for a caller."""
    return json_body(
        {
            "reason": refusal.reason.value,
            "ran": refusal.ran.value,
            "retry_after": refusal.retry_after,
            "step": refusal.step,
            "peer": refusal.peer,
        }
    )


def send_available(sock: Any, data: bytes) -> int:
    """Send what the socket takes without waiting; return the number of bytes.

    Raises:
        OSError: If the connection is broken.
    """
    try:
        sent: int = sock._socket.send(data)
    except (BlockingIOError, InterruptedError):
        return 0
    return sent

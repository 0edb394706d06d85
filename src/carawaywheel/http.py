"""Server side of HTTP/1.1 on curio: server connections, requests, socket options.

A connection reads one request at a time. It is closed, never reused, after an exchange
that was cancelled or failed.
"""

import re
import select
from typing import Any, NamedTuple

import curio
from curio import socket
from curio.traps import _read_wait

from .errors import ProtocolError
from .framing import (
    CLOSED,
    END,
    NEED_DATA,
    Data,
    Event,
    FramingError,
    Headers,
    RequestHead,
    RequestReader,
)
from .serverexchange import ServerExchange

MAX_HEAD_BYTES = 16 * 1024
PATH_PATTERN = re.compile(rb"/[!-~]*")
READ_BYTES = 64 * 1024
HEAD_TIMEOUT_SECONDS = 10.0
# Requests of a connection after which a check for pipelining is made; each costs a
# read.
MAX_PIPELINE_CHECKS = 4
IDLE_TIMEOUT_SECONDS = 75.0
BODY_TIMEOUT_SECONDS = 30.0


class KeepaliveOptions(NamedTuple):
    """TCP options that detect a connection whose peer no longer responds.

    Attributes:
        idle_seconds: Seconds without traffic before the first keepalive probe.
        interval_seconds: Seconds between probes.
        max_probes: Unacknowledged probes after which the connection fails.
        user_timeout_ms: Milliseconds for which sent data may stay unacknowledged
            before the connection fails.
    """

    idle_seconds: int
    interval_seconds: int
    max_probes: int
    user_timeout_ms: int


# A caller that stops reading for some seconds also leaves data unacknowledged.
CALLER_KEEPALIVE = KeepaliveOptions(5, 2, 3, 10_000)
# Nodes, targets and the platform read without delay, and TCP resends a packet that was
# lost twice in a row within a second.
SERVER_KEEPALIVE = KeepaliveOptions(1, 1, 2, 1_500)

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Request(NamedTuple):
    """A request whose head has arrived.

    Attributes:
        method: HTTP method in upper case.
        target: Path and query as sent.
        headers: Header names in lower case with their values.
    """

    method: str
    target: str
    headers: Headers

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""

    @property
    def path(self) -> str:
        """Path of the request without its query."""
        return self.target.partition("?")[0]


class BodyBudget:
    """Memory budget that the buffered request bodies of all connections share.

    Attributes:
        capacity: Largest number of bytes that may be reserved.
        reserved_bytes: Bytes reserved now.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.reserved_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False if the budget does not allow it."""
        if self.reserved_bytes + size > self.capacity:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.reserved_bytes -= size


class ServerConnection(ServerExchange):
    """Server side of one connection from a caller or a peer.

    Attributes:
        close_after_response: Whether the connection closes after the current
            response.
        has_idle_reaper: Whether the listener closes the connection when it is idle
            for too long, which is cheaper than a timeout for each request.
        pipelined: Whether the client sends requests before it has the responses to
            earlier ones.
        request_complete: Whether the whole request was read.
        received: Whether bytes were received; the connection monitor clears it.
    """

    def __init__(self, sock: Any, peer: str, budget: BodyBudget) -> None:
        super().__init__(sock, peer)
        self.budget = budget
        self.buffered_bytes = 0
        self.declared_length = 0
        self.close_after_response = False
        self.request_complete = False
        self.received = False
        self.expects_continue = False
        self.has_no_body = False
        self.has_idle_reaper = False
        self.pipelined = False
        self.pipeline_checks_left = MAX_PIPELINE_CHECKS
        self.reader = RequestReader(MAX_HEAD_BYTES)

    async def next_request(self) -> Request | None:
        """Wait for the head of the next request.

        Returns:
            The request, or None if the client closed the connection or sent
            nothing for the idle timeout.

        Raises:
            ProtocolError: If the input is malformed, too large or too slow.
        """
        event = self.parse()
        if event is NEED_DATA:
            data = await self.receive_request_start()
            if not data:
                return None
            self.reader.feed(data)
            event = await self.next_event(HEAD_TIMEOUT_SECONDS)
        if event is CLOSED:
            return None
        if not isinstance(event, RequestHead):
            raise ProtocolError("expected a request head", "read head", self.peer)
        return self.start_request(event)

    def start_request(self, head: RequestHead) -> Request:
        """Validate the head of a request and prepare to read its body.

        Raises:
            ProtocolError: If the head is not one that a node accepts.
        """
        if head.version != "1.1":
            # HTTP/1.0 has no chunked responses, so truncation could go unnoticed.
            raise ProtocolError("only HTTP/1.1 is supported", "read head", self.peer)
        validate_head(head, self.peer)
        self.declared_length = 0
        self.expects_continue = is_chunked = False
        for name, value in head.headers:
            if name == b"content-length":
                self.declared_length = int(value)
            elif name == b"transfer-encoding":
                is_chunked = True
            elif name == b"expect":
                self.expects_continue |= value == b"100-continue"
        self.has_no_body = not self.declared_length and not is_chunked
        self.is_head_request = head.method == b"HEAD"
        self.close_after_response = (
            self.close_after_response or not self.reader.keep_alive
        )
        return Request(
            head.method.decode("ascii"), head.target.decode("ascii"), head.headers
        )

    async def next_event(self, timeout: float) -> Event:
        """Return the next event of the request.

        Args:
            timeout: Seconds until the event must be complete, even while bytes
                keep arriving.

        Raises:
            ProtocolError: If the input is malformed or too slow.
        """
        event = self.parse()
        if event is not NEED_DATA:
            return event
        try:
            return await curio.timeout_after(timeout, self.read_event)
        except curio.TaskTimeout as error:
            raise ProtocolError("the request is too slow", "read", self.peer) from error

    async def read_event(self) -> Event:
        """Read until the next event is complete.

        Raises:
            ProtocolError: If the input is malformed.
        """
        if self.expects_continue:
            self.expects_continue = False
            await self.write(CONTINUE_RESPONSE)
        while True:
            self.reader.feed(await self.receive_bytes())
            event = self.parse()
            if event is not NEED_DATA:
                return event

    def parse(self) -> Event:
        """Return the next event from the bytes received so far.

        Raises:
            ProtocolError: If the bytes are not valid HTTP.
        """
        try:
            event = self.reader.next_event()
            self.request_complete = self.request_complete or event is END
            return event
        except FramingError as error:
            raise ProtocolError(str(error), "read", self.peer) from error

    async def receive_request_start(self) -> bytes:
        """Read the first bytes of a request; empty if the idle timeout passed."""
        if self.has_idle_reaper:
            return await self.receive_bytes()
        return await self.receive(IDLE_TIMEOUT_SECONDS)

    async def receive(self, timeout: float) -> bytes:
        """Read available bytes; empty at the end of the connection or on timeout."""
        try:
            return await curio.timeout_after(timeout, self.receive_bytes)
        except curio.TaskTimeout:
            return b""

    async def receive_bytes(self) -> bytes:
        """Read available bytes; empty at the end of the connection."""
        try:
            data = await receive_when_ready(self.sock, READ_BYTES)
        except OSError:
            return b""
        self.received = self.received or bool(data)
        return data

    async def read_body(self, limit: int) -> bytes:
        """Read the whole body of the current request.

        Args:
            limit: Largest body in bytes.

        Raises:
            ProtocolError: If the body is too large, truncated or too slow.
        """
        if self.declared_length > limit:
            raise self.body_too_large(limit)
        parts: list[bytes] = []
        if self.request_complete:
            return b""
        while True:
            event = self.parse()
            if event is NEED_DATA:
                event = await self.next_event(BODY_TIMEOUT_SECONDS)
            if event is END:
                return b"".join(parts)
            if not isinstance(event, Data):
                raise ProtocolError(
                    "the connection closed within the request body",
                    "read body",
                    self.peer,
                )
            self.reserve_buffer(len(event.data), limit)
            parts.append(event.data)

    def reserve_buffer(self, size: int, limit: int) -> None:
        """Reserve memory for a part of a body.

        Raises:
            ProtocolError: If the body is over its limit, or all buffered bodies
                together are over the budget.
        """
        if self.buffered_bytes + size > limit:
            raise self.body_too_large(limit)
        if not self.budget.reserve(size):
            raise ProtocolError(
                "too many request bodies are buffered", "read body", self.peer
            )
        self.buffered_bytes += size

    def release_body(self) -> None:
        """Release the memory reserved for the current body."""
        self.budget.release(self.buffered_bytes)
        self.buffered_bytes = 0

    def close_if_body_unread(self) -> None:
        """Close after the response if the request has a body that was not read."""
        if not self.request_complete and self.parse() is not END:
            self.close_after_response = True

    def body_too_large(self, limit: int) -> ProtocolError:
        """Return the error for a body over its limit."""
        return ProtocolError(
            f"the body is larger than {limit} bytes", "read body", self.peer
        )

    def is_complete_without_body(self) -> bool:
        """Return whether the request has no body and was read completely."""
        return self.has_no_body and (self.request_complete or self.parse() is END)

    def is_pipelined(self) -> bool:
        """Return whether the client sends requests before it has earlier responses."""
        self.pipelined = self.pipelined or bool(self.reader.events)
        return self.pipelined

    def detect_pipelining(self) -> None:
        """Read, without waiting, a request that arrived before the last response."""
        if self.is_pipelined() or not self.pipeline_checks_left or not self.reader.idle:
            return
        self.pipeline_checks_left -= 1
        try:
            self.reader.feed(self.sock._socket.recv(READ_BYTES))
        except OSError:
            # Nothing has arrived, or the next read will report the same error.
            return
        self.is_pipelined()

    def end_output(self) -> bool:
        """Shut the connection down for writing; return False if it is broken."""
        self.closing = True
        try:
            self.sock._socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The client has disconnected.
            return False
        return True

    def end_input(self) -> None:
        """Shut the connection down for reading, so that its task closes it.

        What the client has not yet acknowledged may be lost.
        """
        try:
            self.sock._socket.shutdown(socket.SHUT_RD)
        except OSError:
            # The client has disconnected, which its task will see.
            return

    def has_unread_input(self) -> bool:
        """Return whether bytes, or the end of the connection, have arrived."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def discard_input(self) -> None:
        """Discard input until the client closes the connection."""
        while await self.receive_bytes():
            pass

    def prepare_next_request(self) -> bool:
        """Prepare for the next request; return False if the connection must close."""
        if (
            self.disconnected
            or self.closing
            or not self.response_finished
            or not self.request_complete
        ):
            return False
        self.response_started = self.response_finished = self.request_complete = False
        self.body_writer = None
        return True


def validate_head(head: RequestHead, peer: str) -> None:
    """Check the size of a request head and the form of its request target.

    Raises:
        ProtocolError: If the head is over its limit, or the target is not an
            absolute path in printable ASCII.
    """
    target = head.target
    size = len(target) + sum([len(name) + len(value) for name, value in head.headers])
    if size > MAX_HEAD_BYTES:
        raise ProtocolError(
            f"the head is larger than {MAX_HEAD_BYTES} bytes", "read head", peer
        )
    if not PATH_PATTERN.fullmatch(target):
        raise ProtocolError(
            "the request target is not an absolute path", "read head", peer
        )


async def receive_when_ready(sock: Any, size: int) -> bytes:
    """Wait for bytes on a curio socket and read them; empty at the end.

    Waits for readability before the first read: right after a request or response was
    sent, nothing has arrived yet, and a read that finds nothing costs as much as one
    that returns data.

    Raises:
        OSError: If the connection is broken.
    """
    while True:
        await _read_wait(sock._fileno)
        try:
            data: bytes = sock._socket_recv(size)
        except (BlockingIOError, InterruptedError):
            continue
        return data


async def open_connection(host: str, port: int) -> Any:
    """Connect to an IP address; a host name would need a thread for its resolution.

    Raises:
        OSError: If the connection cannot be opened.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
    except BaseException:
        await sock.close()
        raise
    return sock


def set_socket_options(sock: Any, keepalive: KeepaliveOptions) -> None:
    """Disable Nagle's algorithm and enable the detection of lost connections.

    Unacknowledged data fails the connection after the user timeout, and an idle
    connection is probed, so that a request on a lost connection does not wait until
    its deadline.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keepalive.idle_seconds)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, keepalive.interval_seconds
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, keepalive.max_probes)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, keepalive.user_timeout_ms
    )

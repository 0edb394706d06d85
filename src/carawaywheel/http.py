"""Server side of HTTP/1.1 on curio.

One request at a time runs on a connection. A connection whose exchange was
abandoned or broken is closed and never reused.
"""

import re
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
PATH = re.compile(rb"/[!-~]*")
READ_BYTES = 64 * 1024
HEAD_TIMEOUT_SECONDS = 10.0
# Requests of a connection after which a look-ahead may find that it is pipelined.
PIPELINE_CHECKS = 4
IDLE_TIMEOUT_SECONDS = 75.0
BODY_TIMEOUT_SECONDS = 30.0


class KeepaliveOptions(NamedTuple):
    """When a connection that delivers nothing any more is given up.

    Attributes:
        idle_seconds: Seconds without traffic before the first probe.
        step: Seconds between probes.
        probes: Probes without an answer after which the connection fails.
        user_timeout_ms: Milliseconds after which unacknowledged bytes fail it.
    """

    idle_seconds: int
    step: int
    probes: int
    user_timeout_ms: int


# A caller may stop reading for some seconds, which also holds bytes back.
CALLER_KEEPALIVE = KeepaliveOptions(5, 2, 3, 10_000)
# Nodes, targets and the store read at once; a second loss of a packet in a row is sent
# again within a second.
SERVER_KEEPALIVE = KeepaliveOptions(1, 1, 2, 1_500)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


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
    """Memory that the buffered request bodies of all connections share.

    Attributes:
        capacity: Most bytes held.
        held: Bytes held.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.held = 0

    def reserve(self, size: int) -> bool:
        """Take memory; return False if there is not enough."""
        if self.held + size > self.capacity:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Give memory back."""
        self.held -= size


class ServerConnection(ServerExchange):
    """One connection of a caller or a peer.

    Attributes:
        last: Whether the connection closes after the current answer.
        has_idle_reaper: Whether the listener closes the connection when it is idle
            for long, which is cheaper than a timeout for each request.
        pipelined: Whether the other side sends requests before earlier ones are
            answered.
        ended: Whether the whole request was read.
    """

    def __init__(self, sock: Any, peer: str, budget: BodyBudget) -> None:
        super().__init__(sock, peer)
        self.budget = budget
        self.buffered = 0
        self.announced = 0
        self.last = False
        self.ended = False
        self.expects_continue = False
        self.bodiless = False
        self.has_idle_reaper = False
        self.pipelined = False
        self.checks = PIPELINE_CHECKS
        self.reader = RequestReader(MAX_HEAD_BYTES)

    async def next_request(self) -> Request | None:
        """Wait for the head of the next request.

        Returns:
            The request, or None when the other side closed the connection or
            sent nothing for the idle time.

        Raises:
            ProtocolError: If the input is malformed, too large or too slow.
        """
        event = self.parse()
        if event is NEED_DATA:
            data = await self.receive_first()
            if not data:
                return None
            self.reader.feed(data)
            event = await self.next_event(HEAD_TIMEOUT_SECONDS)
        if event is CLOSED:
            return None
        if not isinstance(event, RequestHead):
            raise ProtocolError("expected a request", "read head", self.peer)
        return self.begin(event)

    def begin(self, head: RequestHead) -> Request:
        """Check the head of a request and prepare for its body.

        Raises:
            ProtocolError: If the head is not one that a node takes.
        """
        if head.version != "1.1":
            # The end of an answer cannot be told from a cut in HTTP/1.0.
            raise ProtocolError("HTTP/1.1 is required", "read head", self.peer)
        check_head(head, self.peer)
        self.announced = content_length(head.headers)
        names = [name for name, _ in head.headers]
        self.bodiless = not self.announced and b"transfer-encoding" not in names
        self.expects_continue = (b"expect", b"100-continue") in head.headers
        self.without_body = head.method == b"HEAD"
        self.last = self.last or not self.reader.keep_alive
        return Request(
            head.method.decode("ascii"), head.target.decode("ascii"), head.headers
        )

    async def next_event(self, timeout: float) -> Event:
        """Return the next event of the request.

        Args:
            timeout: Seconds until the event must be complete, however slowly
                its bytes arrive.

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
        """Read until the next event is complete."""
        if self.expects_continue:
            self.expects_continue = False
            await self.write(CONTINUE)
        while True:
            self.reader.feed(await self.receive_bytes())
            event = self.parse()
            if event is not NEED_DATA:
                return event

    def parse(self) -> Event:
        """Return the next event that the received bytes hold.

        Raises:
            ProtocolError: If the bytes are not valid HTTP.
        """
        try:
            event = self.reader.next_event()
            self.ended = self.ended or event is END
            return event
        except FramingError as error:
            raise ProtocolError(str(error), "read", self.peer) from error

    async def receive_first(self) -> bytes:
        """Read the first bytes of a request; empty if none came in the idle time."""
        if self.has_idle_reaper:
            return await self.receive_bytes()
        return await self.receive(IDLE_TIMEOUT_SECONDS)

    async def receive(self, timeout: float) -> bytes:
        """Read some bytes; empty at the end or when none came in time."""
        try:
            return await curio.timeout_after(timeout, self.receive_bytes)
        except curio.TaskTimeout:
            return b""

    async def receive_bytes(self) -> bytes:
        """Read some bytes; empty at the end of the connection."""
        try:
            return await receive_when_ready(self.sock, READ_BYTES)
        except OSError:
            return b""

    async def read_body(self, limit: int) -> bytes:
        """Read the whole body of the current request.

        Args:
            limit: Largest body in bytes.

        Raises:
            ProtocolError: If the body is too large, cut, or too slow.
        """
        if self.announced > limit:
            raise self.too_large(limit)
        parts: list[bytes] = []
        if self.ended:
            return b""
        while True:
            event = await self.next_event(BODY_TIMEOUT_SECONDS)
            if event is END:
                return b"".join(parts)
            if not isinstance(event, Data):
                raise ProtocolError("the body was cut", "read body", self.peer)
            self.buffer(len(event.data), limit)
            parts.append(event.data)

    def buffer(self, size: int, limit: int) -> None:
        """Account for a part of a body.

        Raises:
            ProtocolError: If the body or all bodies together are too large.
        """
        if self.buffered + size > limit:
            raise self.too_large(limit)
        if not self.budget.reserve(size):
            raise ProtocolError(
                "too many request bodies are held", "read body", self.peer
            )
        self.buffered += size

    def release_body(self) -> None:
        """Give back the memory of the current body."""
        self.budget.release(self.buffered)
        self.buffered = 0

    def close_if_body_unread(self) -> None:
        """Close after the answer if the request has a body that was not read."""
        if not self.ended and self.parse() is not END:
            self.last = True

    def too_large(self, limit: int) -> ProtocolError:
        """Make the error for a body over its limit."""
        return ProtocolError(
            f"the body is larger than {limit} bytes", "read body", self.peer
        )

    def is_whole(self) -> bool:
        """Return whether the request has arrived whole and has no body."""
        return self.bodiless and (self.ended or self.parse() is END)

    def is_pipelined(self) -> bool:
        """Return whether requests arrive before earlier ones are answered."""
        self.pipelined = self.pipelined or bool(self.reader.events)
        return self.pipelined

    def look_ahead(self) -> None:
        """Read what arrived before the last request was answered."""
        if self.is_pipelined() or not self.checks or not self.reader.idle:
            return
        self.checks -= 1
        try:
            self.reader.feed(self.sock._socket.recv(READ_BYTES))
        except OSError:
            # Nothing has arrived, or the next read fails in the same way.
            return
        self.is_pipelined()

    def reuse(self) -> bool:
        """Prepare for the next request; False if the connection must close."""
        if self.disconnected or self.last or not self.finished or not self.ended:
            return False
        self.started = self.finished = self.ended = False
        self.writer = None
        return True


def check_head(head: RequestHead, peer: str) -> None:
    """Refuse heads that are too large and targets that are not a plain path.

    Raises:
        ProtocolError: If the head is over its limit, or the target is not an
            absolute path in ASCII.
    """
    target = head.target
    size = len(target) + sum([len(name) + len(value) for name, value in head.headers])
    if size > MAX_HEAD_BYTES:
        raise ProtocolError(
            f"the head is larger than {MAX_HEAD_BYTES} bytes", "read head", peer
        )
    if not PATH.fullmatch(target):
        raise ProtocolError("the request target is not a path", "read head", peer)


def content_length(headers: Headers) -> int:
    """Return the announced length of a body, 0 if there is none."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return 0


async def receive_when_ready(sock: Any, size: int) -> bytes:
    """Wait for bytes on a curio socket and read them; empty at the end.

    The wait comes first: after a request or an answer was sent, the next bytes are
    never there yet, and a read that finds none costs as much as one that does.

    Raises:
        OSError: If the connection is broken.
    """
    await _read_wait(sock._fileno)
    data: bytes = await sock.recv(size)
    return data


async def open_connection(host: str, port: int) -> Any:
    """Connect to an IP address; a look-up of names would start a thread.

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


def set_socket_options(sock: Any, limits: KeepaliveOptions) -> None:
    """Send small writes at once and notice connections that went silent.

    An unacknowledged write fails after the user timeout, and an idle connection
    is probed, so that a lost connection does not hold a request to its deadline.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, limits.idle_seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, limits.step)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, limits.probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limits.user_timeout_ms)

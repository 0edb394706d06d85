"""Client side of HTTP/1.1: connections to peers, targets and the log.

An answer that is short, late or abandoned closes its connection, so that it can
never be taken for the answer to a later request.
"""

from collections import deque
from typing import Any

import curio

from .errors import PeerError
from .framing import (
    BODILESS_STATUSES,
    END,
    NEED_DATA,
    Data,
    Event,
    FramingError,
    ResponseHead,
    ResponseReader,
    encode_request_head,
)
from .http import (
    MAX_HEAD_BYTES,
    READ_BYTES,
    SERVER_KEEPALIVE,
    Headers,
    open_connection,
    receive_when_ready,
    set_socket_options,
)
from .serverexchange import send_available

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_PER_ADDRESS = 64


class Response:
    """The head of an answer and the stream of its body.

    Attributes:
        status: HTTP status.
        headers: Header names in lower case with their values.
        complete: Whether the whole body has arrived.
    """

    def __init__(
        self, status: int, headers: Headers, connection: "ClientConnection"
    ) -> None:
        self.status = status
        self.headers = headers
        self.connection = connection
        self.complete = False

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""

    def buffered_chunk(self) -> bytes | None:
        """Return body bytes that have already arrived, or None."""
        return self.connection.ready_chunk(self)

    async def next_chunk(self) -> bytes:
        """Return the next part of the body; empty at its end.

        Raises:
            PeerError: If the body was cut.
        """
        return await self.connection.next_chunk(self)

    async def read(self, limit: int) -> bytes:
        """Read the whole body.

        Args:
            limit: Largest body in bytes.

        Raises:
            PeerError: If the body was cut or is too large.
        """
        parts = []
        size = 0
        while chunk := await self.next_chunk():
            size += len(chunk)
            if size > limit:
                raise PeerError(
                    f"the answer is larger than {limit} bytes",
                    "read body",
                    self.connection.address,
                    maybe_sent=True,
                )
            parts.append(chunk)
        return b"".join(parts)


class ClientConnection:
    """One connection to a server.

    Attributes:
        address: IP address and port of the server.
        reused: Whether an earlier request ran on it.
        tainted: Whether an answer came that belongs to no request of its time.
        ended: Whether the whole answer to the last request was read.
    """

    def __init__(self, sock: Any, address: str) -> None:
        self.sock = sock
        self.address = address
        self.reused = False
        self.tainted = False
        self.ended = True
        self.reader = ResponseReader(MAX_HEAD_BYTES)

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send a whole request.

        Raises:
            PeerError: If the connection broke.
        """
        try:
            data = encode_request_head(method, target, headers) + body
        except (FramingError, UnicodeEncodeError) as error:
            raise PeerError(
                str(error), "send", self.address, maybe_sent=False
            ) from error
        self.ended = False
        self.reader.without_body = method == "HEAD"
        try:
            rest = data[send_available(self.sock, data) :]
            if rest:
                await self.sock.sendall(rest)
        except OSError as error:
            raise self.request_error(str(error), "send") from error

    async def receive_head(self, allow_close_delimited: bool = False) -> Response:
        """Wait for the head of the answer.

        Args:
            allow_close_delimited: Whether a body may end with its connection.

        Raises:
            PeerError: If the connection broke or the answer is malformed.
        """
        event = await self.next_event()
        if not isinstance(event, ResponseHead):
            raise self.request_error(
                "the connection closed without an answer", "read head"
            )
        answer = Response(event.status, event.headers, self)
        if not allow_close_delimited and not self.has_known_end(event):
            # Without a length or chunks, a cut body looks like a whole one.
            raise self.request_error(
                "the answer has neither a length nor chunks", "read head"
            )
        return answer

    def has_known_end(self, head: ResponseHead) -> bool:
        """Return whether the end of the body can be told from a cut."""
        if head.status in BODILESS_STATUSES:
            return True
        names = {name for name, _ in head.headers}
        if b"content-length" in names:
            return True
        return b"transfer-encoding" in names and head.version == "1.1"

    async def next_event(self) -> Event:
        """Return the next event of the answer."""
        while True:
            event = self.parse()
            if event is not NEED_DATA:
                return event
            try:
                data = await receive_when_ready(self.sock, READ_BYTES)
            except OSError as error:
                raise self.request_error(str(error), "read") from error
            self.reader.feed(data)

    def parse(self) -> Event:
        """Return the next event that the received bytes hold.

        Raises:
            PeerError: If the bytes are not valid HTTP or the body is cut.
        """
        try:
            return self.reader.next_event()
        except FramingError as error:
            raise self.request_error(str(error), "read") from error

    def ready_chunk(self, answer: Response) -> bytes | None:
        """Return body bytes that need no further read, or None."""
        if answer.complete:
            return b""
        event = self.parse()
        if event is NEED_DATA:
            return None
        return self.take_body_event(event, answer)

    async def next_chunk(self, answer: Response) -> bytes:
        """Return the next part of the body; empty at its end."""
        if answer.complete:
            return b""
        return self.take_body_event(await self.next_event(), answer)

    def take_body_event(self, event: Event, answer: Response) -> bytes:
        """Return the bytes of a body event and note the end of the body."""
        if isinstance(event, Data):
            return event.data
        if event is END:
            answer.complete = self.ended = True
            return b""
        raise self.request_error("the body was cut", "read body")

    def request_error(self, message: str, step: str) -> PeerError:
        """Make the error for a request that may have reached the server."""
        return PeerError(message, step, self.address, maybe_sent=True)

    def skip_stale_response(self) -> None:
        """Read on after an answer that belongs to an earlier request.

        The connection is not kept afterwards, as more of them may follow.
        """
        self.ended = False
        self.tainted = True

    def reusable(self) -> bool:
        """Return whether the exchange is complete and the server keeps it open."""
        if self.tainted or not self.ended:
            return False
        return self.reader.keep_alive and self.reader.idle

    def alive(self) -> bool:
        """Return False if an idle connection was closed or has stray bytes."""
        try:
            self.sock._socket.recv(1)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False


class ConnectionPool:
    """Connections by address, each used by one request at a time.

    Attributes:
        connect_timeout: Seconds until a new connection must be open.
    """

    def __init__(self, connect_timeout: float = CONNECT_TIMEOUT_SECONDS) -> None:
        self.connect_timeout = connect_timeout
        self.idle: dict[str, deque[ClientConnection]] = {}
        self.opened = 0

    async def acquire(self, address: str) -> ClientConnection:
        """Return an idle connection or open a new one.

        Raises:
            PeerError: If no connection could be opened; nothing was sent.
        """
        idle = self.idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.alive():
                return connection
            await connection.sock.close()
        return await self.connect(address)

    async def connect(self, address: str) -> ClientConnection:
        """Open a new connection.

        Raises:
            PeerError: If the server cannot be reached; nothing was sent.
        """
        host, _, port = address.rpartition(":")
        try:
            sock = await curio.timeout_after(
                self.connect_timeout, open_connection, host, int(port)
            )
        except (OSError, ValueError, curio.TaskTimeout) as error:
            reason = str(error) or "timed out"
            raise PeerError(reason, "connect", address, maybe_sent=False) from error
        set_socket_options(sock, SERVER_KEEPALIVE)
        self.opened += 1
        return ClientConnection(sock, address)

    async def release(self, connection: ClientConnection) -> None:
        """Keep a connection for reuse if its exchange is complete, or close it."""
        idle = self.idle.setdefault(connection.address, deque())
        if not connection.reusable() or len(idle) >= IDLE_PER_ADDRESS:
            await connection.sock.close()
            return
        connection.reused = True
        idle.append(connection)

    async def discard(self, connection: ClientConnection) -> None:
        """Close a connection whose exchange was abandoned."""
        await connection.sock.close()

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle.pop(address, deque()):
            await connection.sock.close()

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        limit: int = 1 << 24,
    ) -> tuple[Response, bytes]:
        """Send a request and read its whole answer.

        Raises:
            PeerError: If the exchange failed at any step.
        """
        connection = await self.acquire(address)
        try:
            await connection.send(method, target, headers, body)
            answer = await connection.receive_head()
            content = await answer.read(limit)
        except BaseException:
            await self.discard(connection)
            raise
        await self.release(connection)
        return answer, content

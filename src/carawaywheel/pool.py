"""Client side of HTTP/1.1: pooled connections to peers, targets and the log.

A connection whose response was truncated, late or not read to its end is closed, so
that the rest can never be taken for the response to a later request.
"""

import socket
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
MAX_IDLE_PER_ADDRESS = 64


class Response:
    """Head and body stream of a response.

    Attributes:
        status: HTTP status.
        headers: Header names in lower case with their values.
        connection: Connection that the body is read from.
        complete: Whether the whole body was read.
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
        """Return the next part of the body if it has arrived, or None."""
        return self.connection.buffered_chunk(self)

    async def next_chunk(self) -> bytes:
        """Return the next part of the body; empty at its end.

        Raises:
            PeerError: If the body was truncated.
        """
        return await self.connection.next_chunk(self)

    async def read(self, max_bytes: int) -> bytes:
        """Read the whole body.

        Args:
            max_bytes: Largest body in bytes.

        Raises:
            PeerError: If the body was truncated or is too large.
        """
        parts = []
        size = 0
        while chunk := await self.next_chunk():
            size += len(chunk)
            if size > max_bytes:
                raise PeerError(
                    f"the response body is larger than {max_bytes} bytes",
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
        reused: Whether an earlier request used the connection.
        stale_response_seen: Whether a response to an earlier request arrived in place
            of that to the current one.
        response_complete: Whether the whole response to the last request was read.
    """

    def __init__(self, sock: Any, address: str) -> None:
        self.sock = sock
        self.address = address
        self.reused = False
        self.stale_response_seen = False
        self.response_complete = True
        self.reader = ResponseReader(MAX_HEAD_BYTES)

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send a whole request.

        Raises:
            PeerError: If the request cannot be encoded or the connection failed.
        """
        try:
            data = encode_request_head(method, target, headers) + body
        except (FramingError, UnicodeEncodeError) as error:
            raise PeerError(
                str(error), "send", self.address, maybe_sent=False
            ) from error
        self.response_complete = False
        self.reader.is_head_request = method == "HEAD"
        try:
            rest = data[send_available(self.sock, data) :]
            if rest:
                await self.sock.sendall(rest)
        except OSError as error:
            raise self.request_error(str(error), "send") from error

    def end_output(self) -> None:
        """Shut the connection down for writing, which cancels the request."""
        try:
            self.sock._socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The connection has failed, which its reader will see.
            return

    async def receive_head(self, allow_close_delimited: bool = False) -> Response:
        """Wait for the response head.

        Args:
            allow_close_delimited: Whether the body may end with the connection.

        Raises:
            PeerError: If the connection failed or the response is malformed.
        """
        event = await self.next_event()
        if not isinstance(event, ResponseHead):
            raise self.request_error(
                "the server closed the connection without a response", "read head"
            )
        response = Response(event.status, event.headers, self)
        if not allow_close_delimited and not self.has_delimited_body(event):
            # A truncated close-delimited body looks like a complete one.
            raise self.request_error(
                "the response has neither chunked encoding nor a content-length",
                "read head",
            )
        return response

    def has_delimited_body(self, head: ResponseHead) -> bool:
        """Return whether the end of the body can be told from a truncation."""
        if head.status in BODILESS_STATUSES:
            return True
        names = {name for name, _ in head.headers}
        if b"content-length" in names:
            return True
        return b"transfer-encoding" in names and head.version == "1.1"

    async def next_event(self) -> Event:
        """Return the next event of the response.

        Raises:
            PeerError: If the connection failed or the response is malformed.
        """
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
        """Return the next event from the bytes received so far.

        Raises:
            PeerError: If the bytes are not valid HTTP or the body is truncated.
        """
        try:
            return self.reader.next_event()
        except FramingError as error:
            raise self.request_error(str(error), "read") from error

    def buffered_chunk(self, response: Response) -> bytes | None:
        """Return the next part of the body if it needs no further read, or None."""
        if response.complete:
            return b""
        event = self.parse()
        if event is NEED_DATA:
            return None
        return self.body_chunk(event, response)

    async def next_chunk(self, response: Response) -> bytes:
        """Return the next part of the body; empty at its end.

        Raises:
            PeerError: If the body was truncated.
        """
        if response.complete:
            return b""
        return self.body_chunk(await self.next_event(), response)

    def body_chunk(self, event: Event, response: Response) -> bytes:
        """Return the bytes of a body event; empty at the end of the body.

        Raises:
            PeerError: If the connection closed within the body.
        """
        if isinstance(event, Data):
            return event.data
        if event is END:
            response.complete = self.response_complete = True
            return b""
        raise self.request_error(
            "the server closed the connection within the response body", "read body"
        )

    def request_error(self, message: str, step: str) -> PeerError:
        """Return the error for a request that may have reached the server."""
        return PeerError(message, step, self.address, maybe_sent=True)

    def skip_stale_response(self) -> None:
        """Read on after a response that belongs to an earlier request.

        The connection is not reused afterwards, as more such responses may follow.
        """
        self.response_complete = False
        self.stale_response_seen = True

    def is_reusable(self) -> bool:
        """Return whether the connection is clean and the server keeps it open."""
        if self.stale_response_seen or not self.response_complete:
            return False
        return self.reader.keep_alive and self.reader.idle

    def is_alive(self) -> bool:
        """Return False if an idle connection was closed or has received any bytes."""
        try:
            self.sock._socket.recv(1)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False


class ConnectionPool:
    """Pool of connections, each used by one request at a time.

    Attributes:
        connect_timeout: Timeout for opening a connection, in seconds.
        idle_connections: Connections for reuse, by address.
        connections_opened: Connections opened so far.
    """

    def __init__(self, connect_timeout: float = CONNECT_TIMEOUT_SECONDS) -> None:
        self.connect_timeout = connect_timeout
        self.idle_connections: dict[str, deque[ClientConnection]] = {}
        self.connections_opened = 0

    async def acquire(self, address: str) -> ClientConnection:
        """Return an idle connection or open a new one.

        Raises:
            PeerError: If no connection could be opened; nothing was sent.
        """
        idle = self.idle_connections.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_alive():
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
            message = str(error) or "timed out"
            raise PeerError(message, "connect", address, maybe_sent=False) from error
        set_socket_options(sock, SERVER_KEEPALIVE)
        self.connections_opened += 1
        return ClientConnection(sock, address)

    async def release(self, connection: ClientConnection) -> None:
        """Keep a connection for reuse if it is reusable, or close it."""
        idle = self.idle_connections.setdefault(connection.address, deque())
        if not connection.is_reusable() or len(idle) >= MAX_IDLE_PER_ADDRESS:
            await connection.sock.close()
            return
        connection.reused = True
        idle.append(connection)

    async def discard(self, connection: ClientConnection) -> None:
        """Close a connection whose exchange failed or was cancelled."""
        await connection.sock.close()

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle_connections.pop(address, deque()):
            await connection.sock.close()

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        max_response_bytes: int = 1 << 24,
    ) -> tuple[Response, bytes]:
        """Send a request and read its whole response.

        Args:
            address: IP address and port of the server.
            method: HTTP method.
            target: Path and query.
            headers: Headers of the request.
            body: Body of the request.
            max_response_bytes: Largest response body in bytes.

        Raises:
            PeerError: If the exchange failed at any step.
        """
        connection = await self.acquire(address)
        try:
            await connection.send(method, target, headers, body)
            response = await connection.receive_head()
            content = await response.read(max_response_bytes)
        except BaseException:
            await self.discard(connection)
            raise
        await self.release(connection)
        return response, content

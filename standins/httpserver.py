"""Minimal HTTP/1.1 server on curio and h11, shared by the stand-ins."""

import json
import signal
import socket as plain_socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

import curio
import h11
from curio import socket
from curio.io import Socket

READ_CHUNK_BYTES = 65536
LISTEN_BACKLOG = 1024


class Request(NamedTuple):
    """A complete HTTP request.

    Attributes:
        method: HTTP method, in capitals.
        path: Path without the query.
        query: Query parameters; the last value of a repeated name wins.
        headers: Headers by lower-case name; the last value of a repeated name wins.
        body: Complete body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body decoded as JSON, or an empty mapping if there is none."""
        return json.loads(self.body) if self.body else {}


class Response(NamedTuple):
    """An HTTP response.

    Attributes:
        status: HTTP status.
        headers: Extra headers.
        body: Chunks of the body, sent in order.
        size: Length of the complete body in bytes.
        chunked: Whether to use chunked transfer coding instead of a content length.
        truncate_after: Bytes of the body after which the connection is closed, or
            None to send the complete body.
        reset: Whether the early close is a TCP reset instead of an orderly close.
    """

    status: int
    headers: list[tuple[str, str]]
    body: AsyncIterator[bytes]
    size: int
    chunked: bool = False
    truncate_after: int | None = None
    reset: bool = False


class EndlessBytes(NamedTuple):
    """Bytes that are sent until the client closes the connection.

    Attributes:
        start: Bytes sent first.
        filler: Bytes repeated after them.
        pause: Seconds between two repetitions.
    """

    start: bytes
    filler: bytes
    pause: float


Handler = Callable[[Request], Awaitable[Response | EndlessBytes | None]]


async def single_chunk(body: bytes) -> AsyncIterator[bytes]:
    """Yield a body as one chunk."""
    yield body


def json_response(document: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    body = json.dumps(document).encode()
    headers = [("content-type", "application/json")]
    return Response(status, headers, single_chunk(body), len(body))


def open_listener(address: str) -> Any:
    """Return a curio socket that listens on ``HOST:PORT``; port 0 picks a free port."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(LISTEN_BACKLOG)
    return listener


def bound_address(listener: Any) -> str:
    """Return the address of a bound socket as ``HOST:PORT``."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


def announce_address(listener: Any) -> None:
    """Print the address of a listening socket as one JSON line."""
    print(json.dumps({"address": bound_address(listener)}), flush=True)


async def serve(listener: Any, handler: Handler) -> None:
    """Accept connections until cancelled and serve their requests.

    Args:
        listener: Listening curio socket.
        handler: Called with each request; a result of None closes the connection
            without a response. It is cancelled when the client disconnects.
    """
    while True:
        client, _ = await listener.accept()
        client.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        await curio.spawn(Connection(client, handler).run, daemon=True)


class Connection:
    """Server side of one HTTP connection."""

    def __init__(self, client: Any, handler: Handler) -> None:
        self.client = client
        self.handler = handler
        self.protocol = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        async with self.client:
            try:
                while await self.serve_request():
                    self.protocol.start_next_cycle()
            except (OSError, h11.ProtocolError):
                return

    async def serve_request(self) -> bool:
        """Serve one request; return whether the connection can be reused."""
        request = await self.read_request()
        if request is None:
            return False
        response = await self.call_handler(request)
        if response is None:
            return False
        if isinstance(response, EndlessBytes):
            await self.send_endless(response)
            return False
        if not await self.send(response):
            return False
        return self.protocol.our_state is h11.DONE

    async def next_event(self) -> Any:
        """Return the next h11 event, reading from the socket as needed."""
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.protocol.receive_data(await self.client.recv(READ_CHUNK_BYTES))

    async def read_request(self) -> Request | None:
        """Return the next request, or None if the client closed the connection."""
        head = await self.next_event()
        if not isinstance(head, h11.Request):
            return None
        body = bytearray()
        while isinstance(event := await self.next_event(), h11.Data):
            body += event.data
        if not isinstance(event, h11.EndOfMessage):
            return None
        target = urlsplit(head.target.decode())
        headers = {name.decode(): value.decode() for name, value in head.headers}
        query = dict(parse_qsl(target.query))
        method = head.method.decode()
        return Request(method, target.path, query, headers, bytes(body))

    async def call_handler(self, request: Request) -> Response | EndlessBytes | None:
        """Run the handler and cancel it if the client disconnects meanwhile."""
        handler_task = await curio.spawn(self.handler, request)
        hangup_task = await curio.spawn(
            self.cancel_on_disconnect, handler_task, daemon=True
        )
        try:
            return await handler_task.join()
        except curio.TaskError:
            if isinstance(handler_task.exception, curio.TaskCancelled):
                return None
            raise
        finally:
            await handler_task.cancel()
            await hangup_task.cancel()

    async def cancel_on_disconnect(self, handler_task: Any) -> None:
        """Cancel the handler as soon as the client closes the connection."""
        while True:
            try:
                data = await self.client.recv(READ_CHUNK_BYTES)
            except OSError:
                data = b""
            self.protocol.receive_data(data)
            if not data:
                await handler_task.cancel(blocking=False)
                return

    async def send(self, response: Response) -> bool:
        """Send a response; return False if it was truncated on purpose."""
        headers = list(response.headers)
        if response.chunked:
            headers.append(("transfer-encoding", "chunked"))
        else:
            headers.append(("content-length", str(response.size)))
        head = h11.Response(status_code=response.status, headers=headers)
        await self.client.sendall(self.protocol.send(head))
        bytes_left = response.truncate_after
        async for chunk in response.body:
            if bytes_left is not None and len(chunk) >= bytes_left:
                await self.client.sendall(
                    self.protocol.send(h11.Data(chunk[:bytes_left]))
                )
                self.set_linger(response.reset)
                return False
            if bytes_left is not None:
                bytes_left -= len(chunk)
            await self.client.sendall(self.protocol.send(h11.Data(chunk)))
        await self.client.sendall(self.protocol.send(h11.EndOfMessage()))
        return True

    async def send_endless(self, response: EndlessBytes) -> None:
        """Send bytes until the client closes the connection."""
        await self.client.sendall(response.start)
        while True:
            await self.client.sendall(response.filler)
            await curio.sleep(response.pause)

    def set_linger(self, reset: bool) -> None:
        """If ``reset``, make the following close send a TCP reset."""
        if reset:
            set_reset_on_close(self.client)


def set_reset_on_close(sock: Any) -> None:
    """Make the close of a socket send a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, linger)


async def wait_for_signal(number: int = signal.SIGTERM) -> None:
    """Return when a signal arrives; call it from the main thread only."""
    reader, writer = plain_socket.socketpair()
    writer.setblocking(False)
    signal.signal(number, lambda *_: None)
    signal.set_wakeup_fd(writer.fileno())
    async with Socket(reader) as waiting:
        await waiting.recv(1)

"""Small HTTP server on curio and h11, shared by the stand-ins."""

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

READ_BYTES = 65536
BACKLOG = 1024


class Request(NamedTuple):
    """A whole HTTP request.

    Attributes:
        method: HTTP method, in capitals.
        path: Path without the query.
        query: Query parameters; the last one wins.
        headers: Headers by name in lower case; the last one wins.
        body: Whole body.
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
        body: Parts of the body, sent one after the other.
        size: Length of the whole body in bytes.
        chunked: Whether to send the body chunked, without announcing its size.
        truncate_after: Bytes of the body after which the connection is closed, or
            None to send it whole.
        reset: Whether that close is a reset rather than an ordinary close.
    """

    status: int
    headers: list[tuple[str, str]]
    body: AsyncIterator[bytes]
    size: int
    chunked: bool = False
    truncate_after: int | None = None
    reset: bool = False


Handler = Callable[[Request], Awaitable[Response | None]]


async def single_chunk(body: bytes) -> AsyncIterator[bytes]:
    """Yield a body in one part."""
    yield body


def json_response(document: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    body = json.dumps(document).encode()
    headers = [("content-type", "application/json")]
    return Response(status, headers, single_chunk(body), len(body))


def open_listener(address: str) -> Any:
    """Return a listening curio socket on ``HOST:PORT``; port 0 takes a free one."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    return listener


def bound_address(listener: Any) -> str:
    """Return the address of a listening socket as ``HOST:PORT``."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


def announce_address(listener: Any) -> None:
    """Print the address of a listening socket as one JSON line."""
    print(json.dumps({"address": bound_address(listener)}), flush=True)


async def serve(listener: Any, handler: Handler) -> None:
    """Accept connections for ever and answer their requests.

    Args:
        listener: Listening curio socket.
        handler: Called with each request; a result of None closes the connection
            without an answer. It is cancelled when the client goes away.
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
        self.machine = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        """Serve requests until either side closes."""
        async with self.client:
            try:
                while await self.serve_request():
                    self.machine.start_next_cycle()
            except (OSError, h11.ProtocolError):
                return

    async def serve_request(self) -> bool:
        """Serve one request; return whether the connection can take another."""
        request = await self.read_request()
        if request is None:
            return False
        response = await self.call_handler(request)
        if response is None:
            return False
        if not await self.send(response):
            return False
        return self.machine.our_state is h11.DONE

    async def next_event(self) -> Any:
        """Return the next h11 event, reading from the socket as needed."""
        while True:
            event = self.machine.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.machine.receive_data(await self.client.recv(READ_BYTES))

    async def read_request(self) -> Request | None:
        """Return the next request, or None when the client has closed."""
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

    async def call_handler(self, request: Request) -> Response | None:
        """Run the handler and cancel it if the client goes away meanwhile."""
        work = await curio.spawn(self.handler, request)
        watch = await curio.spawn(self.cancel_when_closed, work, daemon=True)
        try:
            return await work.join()
        except curio.TaskError:
            if isinstance(work.exception, curio.TaskCancelled):
                return None
            raise
        finally:
            await work.cancel()
            await watch.cancel()

    async def cancel_when_closed(self, work: Any) -> None:
        """Wait for the client to close, then cancel the handler."""
        while True:
            try:
                data = await self.client.recv(READ_BYTES)
            except OSError:
                data = b""
            self.machine.receive_data(data)
            if not data:
                await work.cancel(blocking=False)
                return

    async def send(self, response: Response) -> bool:
        """Send a response; return False if it was cut on purpose."""
        headers = list(response.headers)
        if response.chunked:
            headers.append(("transfer-encoding", "chunked"))
        else:
            headers.append(("content-length", str(response.size)))
        head = h11.Response(status_code=response.status, headers=headers)
        await self.client.sendall(self.machine.send(head))
        left = response.truncate_after
        async for part in response.body:
            if left is not None and len(part) >= left:
                await self.client.sendall(self.machine.send(h11.Data(part[:left])))
                self.set_reset(response.reset)
                return False
            if left is not None:
                left -= len(part)
            await self.client.sendall(self.machine.send(h11.Data(part)))
        await self.client.sendall(self.machine.send(h11.EndOfMessage()))
        return True

    def set_reset(self, reset: bool) -> None:
        """Make the coming close a reset, if asked to."""
        if reset:
            linger = struct.pack("ii", 1, 0)
            level = plain_socket.SOL_SOCKET
            self.client.setsockopt(level, plain_socket.SO_LINGER, linger)


async def wait_for_signal(number: int = signal.SIGTERM) -> None:
    """Return when a signal arrives; call it from the main thread only."""
    reader, writer = plain_socket.socketpair()
    writer.setblocking(False)
    signal.signal(number, lambda *_: None)
    signal.set_wakeup_fd(writer.fileno())
    async with Socket(reader) as waiting:
        await waiting.recv(1)

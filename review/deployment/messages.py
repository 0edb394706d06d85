"""HTTP/1.1 messages over asyncio streams."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

Headers = list[tuple[str, str]]

REASONS = {200: "OK", 401: "Unauthorized", 404: "Not Found", 503: "Unavailable"}


class Message(NamedTuple):
    """A request or a response.

    Attributes:
        first: The three parts of the first line.
        headers: Header names in lower case with their values.
        body: Whole body.
    """

    first: list[str]
    headers: Headers
    body: bytes

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first[1])


class ConnectionEndedError(Exception):
    """The connection ended before a whole message had arrived."""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message; return None if the connection ends before its first byte.

    Raises:
        ConnectionEndedError: If the connection ends within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ConnectionEndedError from error
    except OSError as error:
        raise ConnectionEndedError from error
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.lower(), value.strip()))
    message = Message(lines[0].split(" ", 2), headers, b"")
    try:
        return message._replace(body=await read_body(reader, message))
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ConnectionEndedError from error


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read the body that the headers of a message announce."""
    if message.header("transfer-encoding").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).partition(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    length = message.header("content-length")
    return await reader.readexactly(int(length)) if length else b""


def encode_head(first: str, headers: Headers) -> bytes:
    """Encode the head of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def encode(first: str, headers: Headers, body: bytes) -> bytes:
    """Encode a message with the length of its body."""
    return encode_head(first, [*headers, ("content-length", str(len(body)))]) + body


def encode_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Encode a response."""
    return encode(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers, body)


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bytes | None]]


class HttpListener:
    """Serves requests, one at a time on each connection.

    Attributes:
        address: IP address and port.
        handle: Returns the encoded response to a request, or None to end the
            connection without one.
    """

    def __init__(self, address: str, handle: Handler) -> None:
        self.address = address
        self.handle = handle
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = split_address(self.address)
        self.server = await asyncio.start_server(
            self.serve, host, port, reuse_address=True
        )

    async def close(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self.answer(message, reader, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionEndedError, OSError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        """Handle a request; cancel it if the connection ends meanwhile."""
        task = asyncio.ensure_future(self.handle(message, writer))
        while not task.done():
            await asyncio.wait([task], timeout=0.02)
            if not task.done() and (reader.at_eof() or writer.transport.is_closing()):
                task.cancel()
                return None
        return task.result()


class Exchange(NamedTuple):
    """What a client sees of one request.

    Attributes:
        status: Status of the whole answer; 0 if there was none.
        headers: Its headers.
        body: Its body.
        ended: How the exchange ended: ``answered``, ``refused`` for no connection,
            ``closed`` for a connection that ended first, or ``timeout``.
        sent_at: Time at which the whole request was sent, in seconds.
        ended_at: Time of the end, in seconds.
    """

    status: int
    headers: Headers
    body: bytes
    ended: str
    sent_at: float
    ended_at: float


async def send(
    address: str,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    timeout: float = 5.0,
) -> Exchange:
    """Send a request on a new connection and wait for the whole answer."""
    now = asyncio.get_running_loop().time
    sent_at = now()
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*split_address(address)), 1.0
        )
    except (OSError, TimeoutError):
        return Exchange(0, [], b"", "refused", sent_at, now())
    try:
        writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
        await writer.drain()
        sent_at = now()
        answer = await asyncio.wait_for(read_message(reader), timeout)
    except (ConnectionEndedError, OSError):
        return Exchange(0, [], b"", "closed", sent_at, now())
    except TimeoutError:
        return Exchange(0, [], b"", "timeout", sent_at, now())
    finally:
        writer.close()
    if answer is None:
        return Exchange(0, [], b"", "closed", sent_at, now())
    return Exchange(
        answer.status, answer.headers, answer.body, "answered", sent_at, now()
    )

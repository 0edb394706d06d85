"""HTTP/1.1 on asyncio streams for the stand-ins: messages, a server and a client."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

MAX_LINE_BYTES = 1 << 20


class Message(NamedTuple):
    """A request or a response.

    Attributes:
        first: First line, split at spaces.
        headers: Headers by lower-case name.
        body: Body; what has arrived of it if the message is not complete.
        complete: Whether the message arrived up to its end.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response; 0 if there is none."""
        return int(self.first[1]) if len(self.first) > 1 else 0


class Reply(NamedTuple):
    """A response that a stand-in sends.

    Attributes:
        status: HTTP status.
        headers: Headers beside the length.
        body: Complete body.
        sent_bytes: Bytes of the body after which the connection ends; None for all.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    sent_bytes: int | None = None


NO_MESSAGE = Message([], {}, b"", False)
Handler = Callable[[Message], Awaitable[Reply | None]]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message; return what has arrived if the connection ends before."""
    return await read_body(reader, await read_head(reader))


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message; it is not complete if the connection ends before."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return NO_MESSAGE
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers, b"")


async def read_body(reader: asyncio.StreamReader, head: Message) -> Message:
    """Read the body behind a head; return what has arrived if the connection ends."""
    if not head.complete:
        return head
    try:
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            return head._replace(body=await read_chunks(reader))
        size = int(head.headers.get("content-length", "0"))
        return head._replace(body=await reader.readexactly(size))
    except asyncio.IncompleteReadError as error:
        return head._replace(body=error.partial, complete=False)
    except OSError:
        return head._replace(complete=False)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def exchange(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 8.0,
    source: str = "",
) -> Message:
    """Send one request on a new connection and read its response.

    A failed connection, and one that is silent for the timeout, give a message without
    a status.
    """
    host, _, port = address.rpartition(":")
    fields = {"host": address, "connection": "close", **(headers or {})}
    origin = (source, 0) if source else None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                host, int(port), local_addr=origin, limit=MAX_LINE_BYTES
            )
            try:
                writer.write(encode_request(method, path, fields, body))
                await writer.drain()
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return NO_MESSAGE


async def serve_connection(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Serve the requests of one connection one after the other.

    A request whose connection closes is dropped, as most endpoints do it.
    """
    try:
        while True:
            request = await read_message(reader)
            if not request.complete:
                return
            reply = await run_unless_closed(handler, request, reader)
            if reply is None:
                return
            writer.write(encode_reply(reply))
            await writer.drain()
            if reply.sent_bytes is not None:
                return
    except OSError:
        return
    finally:
        writer.close()


async def run_unless_closed(
    handler: Handler, request: Message, reader: asyncio.StreamReader
) -> Reply | None:
    """Run a handler; drop it once the other side has closed the connection."""
    work: Any = asyncio.ensure_future(handler(request))
    while not work.done():
        if reader.at_eof() or reader.exception() is not None:
            work.cancel()
            return None
        await asyncio.wait([work], timeout=0.02)
    return work.result()


def encode_reply(reply: Reply) -> bytes:
    """Return the bytes of a response, up to the point where it breaks off."""
    lines = [f"HTTP/1.1 {reply.status} -"]
    lines += [f"{name}: {value}" for name, value in reply.headers.items()]
    lines.append(f"content-length: {len(reply.body)}")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head + reply.body[: reply.sent_bytes]


async def serve(address: str, handler: Handler) -> None:
    """Serve requests at an address until cancelled."""
    host, _, port = address.rpartition(":")

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await serve_connection(handler, reader, writer)

    server = await asyncio.start_server(
        on_connection, host, int(port), backlog=1024, limit=MAX_LINE_BYTES
    )
    async with server:
        await server.serve_forever()

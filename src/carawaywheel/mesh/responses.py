"""Responses to forward: small ones are buffered, large ones are streamed."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from ..headers import INTERNAL_HEADER_PREFIX, RESPONSE_HEADERS_NOT_FORWARDED
from ..http import Headers
from ..pool import Response
from ..refusals import Refusal
from ..serverexchange import ServerExchange
from ..streaming import forward_partial_response

# Largest body that is buffered before its first byte is forwarded. Larger ones are
# streamed, so that memory stays bounded with any number of slow readers.
MAX_BUFFERED_BYTES = 256 * 1024
BUFFERED_HEADERS_NOT_FORWARDED = RESPONSE_HEADERS_NOT_FORWARDED | {b"content-length"}


class BufferedResponse(NamedTuple):
    """A response that was received completely.

    Attributes:
        status: HTTP status.
        headers: Headers as received.
        body: Complete body.
    """

    status: int
    headers: Headers
    body: bytes


class StreamedResponse(NamedTuple):
    """A response whose remaining body has yet to be received.

    Attributes:
        response: Head of the response and stream of the rest of its body.
        chunks: Chunks of the body received so far.
        close: Must be awaited at the end, with whether the complete response was
            forwarded.
    """

    response: Response
    chunks: list[bytes]
    close: Callable[[bool], Awaitable[None]]


CallResult = BufferedResponse | StreamedResponse | Refusal


async def buffer_response(response: Response) -> tuple[bool, list[bytes]]:
    """Read a response until it ends or exceeds the buffer limit.

    Returns:
        Whether the body is complete, and the chunks received.

    Raises:
        PeerError: If the body was truncated.
    """
    chunks: list[bytes] = []
    size = 0
    while size <= MAX_BUFFERED_BYTES:
        chunk = response.buffered_chunk()
        if chunk is None:
            chunk = await response.next_chunk()
        if not chunk:
            return True, chunks
        chunks.append(chunk)
        size += len(chunk)
    return False, chunks


async def send_response(
    connection: ServerExchange,
    result: BufferedResponse | StreamedResponse,
    extra_headers: Headers,
) -> None:
    """Send a response to the client of a connection.

    Raises:
        ProtocolError: If the client disconnected or the response was truncated.
    """
    if isinstance(result, BufferedResponse):
        await connection.respond(
            result.status, buffered_headers(result.headers) + extra_headers, result.body
        )
        return
    complete = False
    try:
        await forward_partial_response(
            result.response, result.chunks, connection, extra_headers
        )
        complete = True
    finally:
        await result.close(complete)


def buffered_headers(headers: Headers) -> Headers:
    """Return the headers of a buffered response, without those that frame its body."""
    return [
        (name, value)
        for name, value in headers
        if name not in BUFFERED_HEADERS_NOT_FORWARDED
        and not name.startswith(INTERNAL_HEADER_PREFIX)
    ]

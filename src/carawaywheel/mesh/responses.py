"""Holding answers: small ones whole, large ones as a stream."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from ..headers import forwarded_answer_headers
from ..http import Headers
from ..pool import Response
from ..refusals import Refusal
from ..serverexchange import ServerExchange
from ..streaming import forward_partial_response

# Largest body that is held whole before the first byte is passed on; larger ones are
# streamed, so that memory stays bounded with any number of slow readers.
BUFFER_BYTES_MAX = 256 * 1024


class BufferedResponse(NamedTuple):
    """An answer that has arrived completely.

    Attributes:
        status: HTTP status.
        headers: Headers as they arrived.
        body: The whole body.
    """

    status: int
    headers: Headers
    body: bytes


class StreamedResponse(NamedTuple):
    """An answer of which the beginning has arrived.

    Attributes:
        answer: Head and stream of the rest.
        parts: Body bytes that have arrived.
        close: Must be awaited with whether the whole answer was passed on.
    """

    response: Response
    chunks: list[bytes]
    close: Callable[[bool], Awaitable[None]]


CallResult = BufferedResponse | StreamedResponse | Refusal


async def buffer_response(response: Response) -> tuple[bool, list[bytes]]:
    """Read an answer up to the size that is held.

    Returns:
        Whether the whole body has arrived, and its parts.

    Raises:
        PeerError: If the body was cut.
    """
    parts: list[bytes] = []
    size = 0
    while size <= BUFFER_BYTES_MAX:
        chunk = await response.next_chunk()
        if not chunk:
            return True, parts
        parts.append(chunk)
        size += len(chunk)
    return False, parts


async def send_response(
    connection: ServerExchange,
    result: BufferedResponse | StreamedResponse,
    extra: Headers,
) -> None:
    """Pass an answer on to the other side of a connection.

    Raises:
        ProtocolError: If the other side is gone or the answer was cut.
    """
    if isinstance(result, BufferedResponse):
        await connection.respond(
            result.status, buffered_headers(result.headers) + extra, result.body
        )
        return
    whole = False
    try:
        await forward_partial_response(
            result.response, result.chunks, connection, extra
        )
        whole = True
    finally:
        await result.close(whole)


def buffered_headers(headers: Headers) -> Headers:
    """Return the headers of an answer whose length is known by now."""
    return [
        (name, value)
        for name, value in forwarded_answer_headers(0, headers)
        if name not in (b"content-length", b"transfer-encoding")
    ]

"""Streaming of a response to the client while it arrives, with bounded memory."""

import curio

from .errors import PeerError, ProtocolError
from .headers import forwarded_response_headers
from .http import Headers
from .pool import Response
from .serverexchange import ServerExchange

WRITE_BATCH_BYTES = 256 * 1024
STALL_TIMEOUT_SECONDS = 30.0


class TruncatedResponseError(ProtocolError):
    """The response was truncated after its head was forwarded."""


async def forward_response(
    response: Response, connection: ServerExchange, extra_headers: Headers
) -> None:
    """Forward a response to a caller or to the calling node.

    Args:
        response: Response whose head has arrived.
        connection: Exchange with the caller or with the calling node.
        extra_headers: Headers to add.

    Raises:
        TruncatedResponseError: If the response was truncated; the connection must be
            closed, so that the client sees the truncation.
        ProtocolError: If the client has disconnected.
    """
    await forward_partial_response(response, [], connection, extra_headers)


async def forward_partial_response(
    response: Response,
    parts: list[bytes],
    connection: ServerExchange,
    extra_headers: Headers,
) -> None:
    """Forward a response of whose body a part was already read.

    Args:
        response: Response whose head has arrived.
        parts: Parts of the body that were already read.
        connection: Exchange with the caller or with the calling node.
        extra_headers: Headers to add.

    Raises:
        TruncatedResponseError: If the response was truncated; the connection must be
            closed.
        ProtocolError: If the client has disconnected.
    """
    headers = (
        forwarded_response_headers(response.status, response.headers) + extra_headers
    )
    await connection.wait_for_earlier_responses()
    pending = connection.encode_head(response.status, headers)
    for part in parts:
        pending += connection.encode_chunk(part)
    try:
        while chunk := await next_chunk(response):
            pending += connection.encode_chunk(chunk)
            pending = await flush_unless_complete(response, connection, pending)
    except PeerError as error:
        connection.disconnected = True
        raise TruncatedResponseError(error.message, error.step, error.peer) from error
    pending += connection.encode_end()
    await connection.write(pending)


async def next_chunk(response: Response) -> bytes:
    """Return the next part of the body; empty at its end.

    Raises:
        PeerError: If the body was truncated or nothing arrived for the stall timeout.
    """
    chunk = response.buffered_chunk()
    if chunk is not None:
        return chunk
    try:
        return await curio.timeout_after(STALL_TIMEOUT_SECONDS, response.next_chunk)
    except curio.TaskTimeout as error:
        address = response.connection.address
        message = f"no part of the response body arrived for {STALL_TIMEOUT_SECONDS} s"
        raise PeerError(message, "read body", address, True) from error


async def flush_unless_complete(
    response: Response, connection: ServerExchange, pending: bytes
) -> bytes:
    """Write pending bytes and what has arrived, unless this completes the response.

    Returns:
        Bytes still to be written: all if the response is complete, else none.
    """
    chunk = response.buffered_chunk()
    while chunk and len(pending) < WRITE_BATCH_BYTES:
        pending += connection.encode_chunk(chunk)
        chunk = response.buffered_chunk()
    if chunk:
        pending += connection.encode_chunk(chunk)
    if response.complete:
        return pending
    await connection.write(pending)
    return b""

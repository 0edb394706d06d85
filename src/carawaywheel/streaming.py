"""Passing an answer on while it arrives, with bounded memory."""

import curio

from .errors import PeerError, ProtocolError
from .headers import forwarded_answer_headers
from .http import Headers
from .pool import Response
from .serverexchange import ServerExchange

WRITE_BATCH_BYTES = 256 * 1024
STALL_SECONDS = 30.0


class TruncatedResponseError(ProtocolError):
    """The answer broke after its head was passed on."""


async def forward_response(
    answer: Response, connection: ServerExchange, extra: Headers
) -> None:
    """Pass an answer on to the other side of a connection.

    Args:
        answer: The answer, of which the head has arrived.
        connection: Connection of the caller or of the node that asked.
        extra: Headers to add.

    Raises:
        TruncatedResponseError: If the answer was cut; the connection must be closed,
            so that the cut reaches the caller as a broken answer.
        ProtocolError: If the other side is gone.
    """
    await forward_partial_response(answer, [], connection, extra)


async def forward_partial_response(
    answer: Response, parts: list[bytes], connection: ServerExchange, extra: Headers
) -> None:
    """Pass on an answer of which some of the body was read already.

    Args:
        answer: The answer, of which the head has arrived.
        parts: The part of the body that was read.
        connection: Connection of the caller or of the node that asked.
        extra: Headers to add.

    Raises:
        TruncatedResponseError: If the answer was cut.
        ProtocolError: If the other side is gone.
    """
    headers = forwarded_answer_headers(answer.status, answer.headers) + extra
    await connection.wait_turn()
    pending = connection.encode_head(answer.status, headers)
    for part in parts:
        pending += connection.encode_chunk(part)
    try:
        while chunk := await next_chunk(answer):
            pending += connection.encode_chunk(chunk)
            pending = await write_full(answer, connection, pending)
    except PeerError as error:
        connection.disconnected = True
        raise TruncatedResponseError(error.message, error.step, error.peer) from error
    pending += connection.encode_end()
    await connection.write(pending)


async def next_chunk(answer: Response) -> bytes:
    """Return the next part of an answer.

    Raises:
        PeerError: If the answer was cut or nothing came for the stall time.
    """
    chunk = answer.buffered_chunk()
    if chunk is not None:
        return chunk
    try:
        return await curio.timeout_after(STALL_SECONDS, answer.next_chunk)
    except curio.TaskTimeout as error:
        address = answer.connection.address
        raise PeerError("the answer stalled", "read body", address, True) from error


async def write_full(
    answer: Response, connection: ServerExchange, pending: bytes
) -> bytes:
    """Write what is pending unless more of a small answer has already arrived."""
    chunk = answer.buffered_chunk()
    while chunk and len(pending) < WRITE_BATCH_BYTES:
        pending += connection.encode_chunk(chunk)
        chunk = answer.buffered_chunk()
    if chunk:
        pending += connection.encode_chunk(chunk)
    if answer.complete:
        return pending
    await connection.write(pending)
    return b""

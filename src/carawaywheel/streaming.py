"""Passing an answer on while it arrives, with bounded memory."""

import curio

from .answering import ServerExchange
from .errors import PeerError, ProtocolError
from .headers import forwarded_answer_headers
from .http import Headers
from .pool import Answer

WRITE_BATCH_BYTES = 256 * 1024
STALL_SECONDS = 30.0


class CutAnswer(ProtocolError):
    """The answer broke after its head was passed on."""


async def pass_on(answer: Answer, connection: ServerExchange, extra: Headers) -> None:
    """Pass an answer on to the other side of a connection.

    Args:
        answer: The answer, of which the head has arrived.
        connection: Connection of the caller or of the node that asked.
        extra: Headers to add.

    Raises:
        CutAnswer: If the answer was cut; the connection must be closed, so that
            the cut reaches the caller as a broken answer.
        ProtocolError: If the other side is gone.
    """
    await pass_on_rest(answer, [], connection, extra)


async def pass_on_rest(
    answer: Answer, parts: list[bytes], connection: ServerExchange, extra: Headers
) -> None:
    """Pass on an answer of which some of the body was read already.

    Args:
        answer: The answer, of which the head has arrived.
        parts: The part of the body that was read.
        connection: Connection of the caller or of the node that asked.
        extra: Headers to add.

    Raises:
        CutAnswer: If the answer was cut.
        ProtocolError: If the other side is gone.
    """
    headers = forwarded_answer_headers(answer.status, answer.headers) + extra
    await connection.wait_turn()
    pending = connection.encode_head(answer.status, headers)
    for part in parts:
        pending += connection.encode_data(part)
    try:
        while chunk := await next_chunk(answer):
            pending += connection.encode_data(chunk)
            pending = await write_full(answer, connection, pending)
    except PeerError as error:
        connection.gone = True
        raise CutAnswer(error.message, error.step, error.peer) from error
    pending += connection.encode_end()
    await connection.write(pending)


async def next_chunk(answer: Answer) -> bytes:
    """Return the next part of an answer.

    Raises:
        PeerError: If the answer was cut or nothing came for the stall time.
    """
    chunk = answer.next_ready()
    if chunk is not None:
        return chunk
    try:
        return await curio.timeout_after(STALL_SECONDS, answer.next_chunk)
    except curio.TaskTimeout as error:
        address = answer.connection.address
        raise PeerError("the answer stalled", "read body", address, True) from error


async def write_full(
    answer: Answer, connection: ServerExchange, pending: bytes
) -> bytes:
    """Write what is pending unless more of a small answer has already arrived."""
    chunk = answer.next_ready()
    while chunk and len(pending) < WRITE_BATCH_BYTES:
        pending += connection.encode_data(chunk)
        chunk = answer.next_ready()
    if chunk:
        pending += connection.encode_data(chunk)
    if answer.complete:
        return pending
    await connection.write(pending)
    return b""

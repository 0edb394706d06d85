"""Client for calls to the nodes beside other targets."""

from typing import NamedTuple

from ..errors import PeerError
from ..http import Headers, Request
from ..pool import ClientConnection, ConnectionPool, Response
from .execution import BODY_METHODS
from .frames import MAX_FRAME_BODY_BYTES
from .inbound import RETAINED_PATH_PREFIX
from .links import LinkPool, result_from_frame
from .messages import (
    CALL_HEADER,
    MAY_WAIT_HEADER,
    REPLY_HEADER,
    WARMUP_HEADER,
    Call,
    CallReply,
    decode_reply,
    decode_warmup,
    encode_header,
)
from .responses import BufferedResponse, CallResult, StreamedResponse, buffer_response
from .settings import CONNECT_TIMEOUT_SECONDS
from .warmupshare import WarmupReport


class PeerResponse(NamedTuple):
    """Response of the node beside another target.

    Attributes:
        result: Result of the call.
        reply: Metadata of the response.
        warmup: Whether the target is cold, and the share that it is to be sent.
    """

    result: CallResult
    reply: CallReply
    warmup: WarmupReport


class PeerClient:
    """Sends calls over links, and over HTTP if the body is too large for a frame.

    Attributes:
        unanswered: Connections of calls over HTTP whose response has not begun.
    """

    def __init__(self, port: int) -> None:
        self.link_pool = LinkPool(port)
        self.pool = ConnectionPool(CONNECT_TIMEOUT_SECONDS)
        self.unanswered: set[ClientConnection] = set()

    async def call(
        self,
        address: str,
        call: Call,
        request: Request,
        headers: Headers,
        body: bytes,
        target_rate: float | None = None,
        may_wait: bool = False,
    ) -> PeerResponse:
        """Send a call and receive its response.

        Args:
            address: Address of the node.
            call: Metadata of the call.
            request: Method and path.
            headers: Headers to forward to the target.
            body: Complete body.
            target_rate: Rate limit that the target stated last, in requests per second.
            may_wait: Whether the call may wait for a cold target until its deadline.

        Raises:
            PeerError: If the exchange failed; ``maybe_sent`` says whether the call may
                have arrived.
            ProtocolError: If the response is not a valid response of a node.
        """
        if len(body) > MAX_FRAME_BODY_BYTES:
            return await self.call_over_http(
                address, call, request, headers, body, may_wait
            )
        link = await self.link_pool.get_link(address)
        response = await link.call(call, request, headers, body, target_rate, may_wait)
        warmup = WarmupReport(response.cold_remaining, response.cold_share)
        if response.rest:
            result = await self.fetch_retained(address, response.rest)
            return PeerResponse(result, response.reply, warmup)
        return PeerResponse(*result_from_frame(response, address), warmup)

    async def call_over_http(
        self,
        address: str,
        call: Call,
        request: Request,
        headers: Headers,
        body: bytes,
        may_wait: bool,
    ) -> PeerResponse:
        """Send a call with a large body on a separate HTTP connection."""
        connection = await self.pool.acquire(address)
        request_headers = [*headers, (CALL_HEADER, encode_header(call))]
        if may_wait:
            request_headers.append((MAY_WAIT_HEADER, b"1"))
        if body or request.method in BODY_METHODS:
            request_headers.append((b"content-length", str(len(body)).encode()))
        try:
            await connection.send(request.method, request.target, request_headers, body)
            self.unanswered.add(connection)
            try:
                response = await connection.receive_head()
            finally:
                self.unanswered.discard(connection)
            reply = decode_reply(response.header(REPLY_HEADER), address)
            warmup = decode_warmup(response.header(WARMUP_HEADER), address)
            result = await self.read_response(connection, response)
        except BaseException:
            await self.pool.discard(connection)
            raise
        return PeerResponse(reply.refusal(address) or result, reply, warmup)

    async def cancel_waiting(self) -> None:
        """Cancel the calls in flight that have not begun; they get a refusal.

        Calls over HTTP are also cancelled if they have begun.
        """
        await self.link_pool.cancel_waiting()
        for connection in self.unanswered:
            connection.end_output()

    async def fetch_retained(
        self, address: str, name: str
    ) -> BufferedResponse | StreamedResponse:
        """Fetch a response that was too large for a frame.

        Raises:
            PeerError: If the exchange failed or the node no longer retains it; the call
                itself has run.
        """
        try:
            connection = await self.pool.acquire(address)
        except PeerError as error:
            raise PeerError(
                error.message, "fetch rest", address, maybe_sent=True
            ) from error
        try:
            request_headers = [(b"host", address.encode())]
            await connection.send(
                "GET", RETAINED_PATH_PREFIX + name, request_headers, b""
            )
            response = await connection.receive_head()
            if response.header(REPLY_HEADER):
                raise connection.request_error(
                    "the node no longer retains the response", "fetch rest"
                )
            return await self.read_response(connection, response)
        except BaseException:
            await self.pool.discard(connection)
            raise

    async def read_response(
        self, connection: ClientConnection, response: Response
    ) -> BufferedResponse | StreamedResponse:
        """Buffer a response, or stream it if it is large.

        Raises:
            PeerError: If it was truncated.
        """
        complete, chunks = await buffer_response(response)
        if complete:
            await self.pool.release(connection)
            return BufferedResponse(response.status, response.headers, b"".join(chunks))

        async def close(complete: bool) -> None:
            if complete:
                await self.pool.release(connection)
            else:
                await self.pool.discard(connection)

        return StreamedResponse(response, chunks, close)

    async def drop_connections(self, address: str, error: PeerError) -> None:
        """Close the idle connections to a node after a call failed in transit."""
        if error.maybe_sent:
            await self.pool.close_idle(address)

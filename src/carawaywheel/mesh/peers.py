"""Client for calls to the nodes beside other targets."""

from ..errors import PeerError
from ..http import Headers, Request
from ..pool import ClientConnection, ConnectionPool, Response
from .execution import BODY_METHODS
from .frames import MAX_FRAME_BODY_BYTES
from .inbound import RETAINED_PATH_PREFIX
from .links import LinkPool, result_from_frame
from .messages import (
    CALL_HEADER,
    REPLY_HEADER,
    Call,
    CallReply,
    decode_reply,
    encode_header,
)
from .responses import BufferedResponse, CallResult, StreamedResponse, buffer_response
from .settings import CONNECT_TIMEOUT_SECONDS


class PeerClient:
    """Sends calls over links, and over HTTP if the body is too large for a frame."""

    def __init__(self, port: int) -> None:
        self.link_pool = LinkPool(port)
        self.pool = ConnectionPool(CONNECT_TIMEOUT_SECONDS)

    async def call(
        self,
        address: str,
        call: Call,
        request: Request,
        headers: Headers,
        body: bytes,
        target_rate: float | None = None,
    ) -> tuple[CallResult, CallReply]:
        """Send a call and receive its response.

        Args:
            address: Address of the node.
            call: Metadata of the call.
            request: Method and path.
            headers: Headers to forward to the target.
            body: Complete body.
            target_rate: Rate limit that the target stated last, in requests per second.

        Raises:
            PeerError: If the exchange failed; ``maybe_sent`` says whether the call may
                have arrived.
            ProtocolError: If the response is not a valid response of a node.
        """
        if len(body) > MAX_FRAME_BODY_BYTES:
            return await self.call_over_http(address, call, request, headers, body)
        link = await self.link_pool.get_link(address)
        response = await link.call(call, request, headers, body, target_rate)
        if response.rest:
            return await self.fetch_retained(address, response.rest), response.reply
        return result_from_frame(response, address)

    async def call_over_http(
        self, address: str, call: Call, request: Request, headers: Headers, body: bytes
    ) -> tuple[CallResult, CallReply]:
        """Send a call with a large body on a separate HTTP connection."""
        connection = await self.pool.acquire(address)
        request_headers = [*headers, (CALL_HEADER, encode_header(call))]
        if body or request.method in BODY_METHODS:
            request_headers.append((b"content-length", str(len(body)).encode()))
        try:
            await connection.send(request.method, request.target, request_headers, body)
            response = await connection.receive_head()
            reply = decode_reply(response.header(REPLY_HEADER), address)
            result = await self.read_response(connection, response)
        except BaseException:
            await self.pool.discard(connection)
            raise
        return reply.refusal(address) or result, reply

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

"""Sending calls to the nodes beside other targets."""

from ..errors import PeerError
from ..http import Headers, Request
from ..pool import ClientConnection, ConnectionPool, Response
from .execution import BODY_METHODS
from .frames import FRAME_BODY_BYTES_MAX
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
    """Calls over links, and over HTTP where a body is too large for a frame."""

    def __init__(self, port: int) -> None:
        self.links = LinkPool(port)
        self.pool = ConnectionPool(CONNECT_TIMEOUT_SECONDS)

    async def call(
        self, address: str, call: Call, request: Request, headers: Headers, body: bytes
    ) -> tuple[CallResult, CallReply]:
        """Send a call and take its answer.

        Args:
            address: Address of the node.
            call: The call.
            request: Method and path.
            headers: Headers that go on to the target.
            body: The whole body.

        Raises:
            PeerError: If the exchange failed; ``sent`` tells whether the call may have
                arrived.
            ProtocolError: If the answer is not one of a node.
        """
        if len(body) > FRAME_BODY_BYTES_MAX:
            return await self.call_over_http(address, call, request, headers, body)
        link = await self.links.get_link(address)
        answer = await link.call(call, request, headers, body)
        if answer.rest:
            return await self.fetch_retained(address, answer.rest), answer.reply
        return result_from_frame(answer, address)

    async def call_over_http(
        self, address: str, call: Call, request: Request, headers: Headers, body: bytes
    ) -> tuple[CallResult, CallReply]:
        """Send a call with a large body on a connection of its own."""
        connection = await self.pool.acquire(address)
        fields = [*headers, (CALL_HEADER, encode_header(call))]
        if body or request.method in BODY_METHODS:
            fields.append((b"content-length", str(len(body)).encode()))
        try:
            await connection.send(request.method, request.target, fields, body)
            answer = await connection.receive_head()
            reply = decode_reply(answer.header(REPLY_HEADER), address)
            result = await self.read_response(connection, answer)
        except BaseException:
            await self.pool.discard(connection)
            raise
        return reply.refusal(address) or result, reply

    async def fetch_retained(
        self, address: str, name: str
    ) -> BufferedResponse | StreamedResponse:
        """Fetch an answer that was too large for a frame.

        Raises:
            PeerError: If it is not there any more.
        """
        connection = await self.pool.acquire(address)
        try:
            fields = [(b"host", address.encode())]
            await connection.send("GET", RETAINED_PATH_PREFIX + name, fields, b"")
            answer = await connection.receive_head()
            if answer.header(REPLY_HEADER):
                raise connection.request_error("the answer is gone", "fetch rest")
            return await self.read_response(connection, answer)
        except BaseException:
            await self.pool.discard(connection)
            raise

    async def read_response(
        self, connection: ClientConnection, response: Response
    ) -> BufferedResponse | StreamedResponse:
        """Hold an answer whole, or open it if it is large.

        Raises:
            PeerError: If it was cut.
        """
        whole, parts = await buffer_response(response)
        if whole:
            await self.pool.release(connection)
            return BufferedResponse(response.status, response.headers, b"".join(parts))

        async def close(complete: bool) -> None:
            if complete:
                await self.pool.release(connection)
            else:
                await self.pool.discard(connection)

        return StreamedResponse(response, parts, close)

    async def drop_connections(self, address: str, error: PeerError) -> None:
        """Give up the connections to a node that one call failed on."""
        if error.maybe_sent:
            await self.pool.close_idle(address)

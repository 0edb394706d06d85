"""HTTP requests of other nodes: probes, large bodies and large responses."""

import curio

from ..errors import ProtocolError
from ..headers import HOP_BY_HOP_HEADERS, INTERNAL_HEADER_PREFIX
from ..http import Headers, Request
from ..listener import RequestHandler
from ..refusals import Ran, Reason, Refusal
from ..serverexchange import ServerExchange
from .execution import TargetRunner
from .journal import Journal
from .messages import (
    CALL_HEADER,
    MAY_WAIT_HEADER,
    REPLY_HEADER,
    WARMUP_HEADER,
    Call,
    decode_call,
    encode_header,
)
from .monitor import PeerMonitor
from .requests import CallProgress
from .responses import CallResult, StreamedResponse, send_response

MAX_BODY_BYTES = 64 * 1024 * 1024
REFUSED_STATUS = 503
STRIPPED_HEADERS = HOP_BY_HOP_HEADERS | {b"content-length"}
RETAINED_PATH_PREFIX = "/-/rest/"
# Time for which a large response waits to be fetched: several round trips between
# failure domains.
RETENTION_SECONDS = 1.0


class PeerHandler(RequestHandler):
    """Handles the HTTP requests of other nodes.

    Attributes:
        retained_responses: Responses too large for a frame that wait to be fetched, by
            name.
        last_number: Number that names the newest of them.
    """

    def __init__(
        self, runner: TargetRunner, peer_monitor: PeerMonitor, journal: Journal
    ) -> None:
        self.runner = runner
        self.peer_monitor = peer_monitor
        self.journal = journal
        self.retained_responses: dict[str, StreamedResponse] = {}
        self.last_number = 0

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Handle one request; see the base class."""
        if request.path.startswith(RETAINED_PATH_PREFIX):
            await self.send_retained(
                connection, request.path.removeprefix(RETAINED_PATH_PREFIX)
            )
        elif request.header(CALL_HEADER):
            await self.serve_call(connection, request)
        else:
            await self.peer_monitor.handle_state_request(connection, request)

    async def serve_call(self, connection: ServerExchange, request: Request) -> None:
        """Execute a call of another node at the local target."""
        call = decode_call(request.header(CALL_HEADER), connection.peer)
        self.peer_monitor.observe_caller(connection.peer, call.version)
        body = await connection.read_body(MAX_BODY_BYTES)
        result = await self.execute(call, request, body)
        refusal = result if isinstance(result, Refusal) else None
        reply_headers = [
            (REPLY_HEADER, encode_header(self.runner.build_reply(call.route, refusal)))
        ]
        warmup = self.runner.warmup_report()
        if warmup.remaining:
            reply_headers.append((WARMUP_HEADER, encode_header(warmup)))
        if isinstance(result, Refusal):
            self.runner.log_refused_call(call, result)
            await connection.respond(REFUSED_STATUS, reply_headers, b"")
            return
        try:
            await send_response(connection, result, reply_headers)
        except ProtocolError:
            self.journal.count("answer_not_taken")
            raise

    async def execute(self, call: Call, request: Request, body: bytes) -> CallResult:
        """Execute a call; refuse it if its caller cancels it before it begins."""
        progress = CallProgress()
        try:
            return await self.runner.run(
                call,
                request,
                forwarded_headers(request),
                body,
                may_wait=bool(request.header(MAY_WAIT_HEADER)),
                progress=progress,
            )
        except curio.CancelledError:
            if progress.begun:
                raise
            return Refusal(Reason.CANCELLED, Ran.NOT_RUN, None, "target")

    async def retain_response(self, result: StreamedResponse) -> str:
        """Retain a response until it is fetched or expires; return its name."""
        self.last_number += 1
        name = str(self.last_number)
        self.retained_responses[name] = result
        await curio.spawn(self.expire_retained, name, daemon=True)
        return name

    async def expire_retained(self, name: str) -> None:
        """Close a response that was not fetched in time."""
        await curio.sleep(RETENTION_SECONDS)
        result = self.retained_responses.pop(name, None)
        if result is not None:
            self.journal.count("rest_not_fetched")
            await result.close(False)

    async def send_retained(self, connection: ServerExchange, name: str) -> None:
        """Send a retained response."""
        await connection.read_body(0)
        result = self.retained_responses.pop(name, None)
        if result is None:
            refusal = Refusal(Reason.PEER_FAILED, Ran.UNKNOWN, None, "fetch rest")
            reply_headers = [
                (REPLY_HEADER, encode_header(self.runner.build_reply("", refusal)))
            ]
            await connection.respond(REFUSED_STATUS, reply_headers, b"")
            return
        await send_response(connection, result, [])


def forwarded_headers(request: Request) -> Headers:
    """Return the headers of a call to forward to the target."""
    return [
        (name, value)
        for name, value in request.headers
        if name not in STRIPPED_HEADERS and not name.startswith(INTERNAL_HEADER_PREFIX)
    ]

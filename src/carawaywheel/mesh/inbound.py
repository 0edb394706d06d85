"""HTTP requests of other nodes: checks, large bodies and large answers."""

import curio

from ..errors import ProtocolError
from ..headers import HOP_BY_HOP_HEADERS, INTERNAL_HEADER_PREFIX
from ..http import Headers, Request
from ..listener import RequestHandler
from ..refusals import Ran, Reason, Refusal
from ..serverexchange import ServerExchange
from .execution import TargetRunner
from .journal import Journal
from .messages import CALL_HEADER, REPLY_HEADER, decode_call, encode
from .monitor import PeerMonitor
from .responses import StreamedResponse, send_response

BODY_LIMIT = 64 * 1024 * 1024
REFUSED_STATUS = 503
NOT_PASSED = HOP_BY_HOP_HEADERS | {b"content-length"}
RETAINED_PATH_PREFIX = "/-/rest/"
# Several round trips between failure domains.
REST_SECONDS = 1.0


class PeerHandler(RequestHandler):
    """Answers the HTTP requests of other nodes.

    Attributes:
        rests: Answers that are too large for a frame and wait to be fetched.
    """

    def __init__(
        self, runner: TargetRunner, news: PeerMonitor, journal: Journal
    ) -> None:
        self.runner = runner
        self.news = news
        self.journal = journal
        self.retained_responses: dict[str, StreamedResponse] = {}
        self.names = 0

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Answer one request; see the base class."""
        if request.path.startswith(RETAINED_PATH_PREFIX):
            await self.send_rest(
                connection, request.path.removeprefix(RETAINED_PATH_PREFIX)
            )
        elif request.header(CALL_HEADER):
            await self.answer_call(connection, request)
        else:
            await self.news.handle_state_request(connection, request)

    async def answer_call(self, connection: ServerExchange, request: Request) -> None:
        """Run a call of another node at the local target."""
        call = decode_call(request.header(CALL_HEADER), connection.peer)
        self.news.observe_version(call.version)
        body = await connection.read_body(BODY_LIMIT)
        result = await self.runner.run(call, request, passed(request), body)
        refusal = result if isinstance(result, Refusal) else None
        extra = [(REPLY_HEADER, encode(self.runner.reply(call.route, refusal)))]
        if isinstance(result, Refusal):
            self.runner.log_refused_call(call, result)
            await connection.respond(REFUSED_STATUS, extra, b"")
            return
        try:
            await send_response(connection, result, extra)
        except ProtocolError:
            self.journal.count("answer_not_taken")
            raise

    async def retain_response(self, result: StreamedResponse) -> str:
        """Keep an answer until it is fetched; return its name."""
        self.names += 1
        name = str(self.names)
        self.retained_responses[name] = result
        await curio.spawn(self.expire_rest, name, daemon=True)
        return name

    async def expire_rest(self, name: str) -> None:
        """Close an answer that nobody fetched."""
        await curio.sleep(REST_SECONDS)
        result = self.retained_responses.pop(name, None)
        if result is not None:
            self.journal.count("rest_not_fetched")
            await result.close(False)

    async def send_rest(self, connection: ServerExchange, name: str) -> None:
        """Send an answer that was kept."""
        await connection.read_body(0)
        result = self.retained_responses.pop(name, None)
        if result is None:
            refusal = Refusal(Reason.PEER_FAILED, Ran.UNKNOWN, None, "fetch rest")
            extra = [(REPLY_HEADER, encode(self.runner.reply("", refusal)))]
            await connection.respond(REFUSED_STATUS, extra, b"")
            return
        await send_response(connection, result, [])


def passed(request: Request) -> Headers:
    """Return the headers that go on to the target."""
    return [
        (name, value)
        for name, value in request.headers
        if name not in NOT_PASSED and not name.startswith(INTERNAL_HEADER_PREFIX)
    ]

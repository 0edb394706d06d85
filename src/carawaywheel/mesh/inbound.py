"""Requests of other nodes for the local target."""

from ..errors import ProtocolError
from ..headers import HOP_BY_HOP, INTERNAL_PREFIX
from ..http import Headers, Request, ServerConnection
from ..listener import RequestHandler
from ..refusals import Refusal
from .calls import CALL_HEADER, REPLY_HEADER, decode_call, encode
from .exchange import deliver
from .execution import TargetRunner
from .journal import Journal
from .news import News

BODY_LIMIT = 64 * 1024 * 1024
REFUSED_STATUS = 503
NOT_PASSED = HOP_BY_HOP | {b"content-length"}


class PeerHandler(RequestHandler):
    """Runs the calls of other nodes at the local target."""

    def __init__(self, runner: TargetRunner, news: News, journal: Journal) -> None:
        self.runner = runner
        self.news = news
        self.journal = journal

    async def handle(self, connection: ServerConnection, request: Request) -> None:
        """Answer one request; see the base class."""
        if not request.header(CALL_HEADER):
            await self.news.answer(connection, request)
            return
        call = decode_call(request.header(CALL_HEADER), connection.peer)
        self.news.heard_version(call.version)
        body = await connection.read_body(BODY_LIMIT)
        result = await self.runner.run(call, request, passed(request), body)
        refusal = result if isinstance(result, Refusal) else None
        reply = encode(self.runner.reply(call.route, refusal))
        extra = [(REPLY_HEADER, reply)]
        if isinstance(result, Refusal):
            self.journal.count("turned_away", result.reason.value)
            self.journal.write(
                "turned_away",
                request=call.attempt_id,
                reason=result.reason.value,
                ran=result.ran.value,
                step=result.step,
                repeat=call.repeat,
                occupancy=round(self.runner.occupancy, 2),
                phase=str(self.runner.target.phase),
            )
            await connection.respond(REFUSED_STATUS, extra, b"")
            return
        try:
            await deliver(connection, result, extra)
        except ProtocolError:
            self.journal.count("answer_not_taken")
            raise


def passed(request: Request) -> Headers:
    """Return the headers that go on to the target."""
    return [
        (name, value)
        for name, value in request.headers
        if name not in NOT_PASSED and not name.startswith(INTERNAL_PREFIX)
    ]

"""Requests of other nodes: calls for the local target and control messages."""

import hashlib
from collections.abc import Callable
from urllib.parse import parse_qs

import curio
import msgspec

from .attempts import AttemptState, AttemptTable
from .clock import Clock
from .contexts import AnswerInfo, RequestContext
from .errors import ProtocolError, RecordError
from .events import EventFilter, encode_events
from .follower import READ_LIMIT, StreamFollower
from .gossip import members_decoder, members_encoder
from .headers import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    DIGEST_HEADER,
    SIGNATURE_HEADER,
)
from .http import JSON_HEADER, Request, ServerConnection, json_body, refusal_body
from .listener import RequestHandler
from .logs import encode_batch
from .membership import Membership
from .recorder import Recorder
from .records import KeyWithdrawn, decode
from .refusals import Outcome, Ran, Reason, Refusal
from .serving import Execution, Gate, TargetServer
from .signing import Signer, decode_context, encode_header
from .state import NodeState
from .streaming import pass_on

MAX_WAIT_SECONDS = 5.0
BINARY_HEADER = (b"content-type", b"application/msgpack")
MAX_CONTROL_BYTES = 4 * 1024 * 1024
STEP = "peer"


class PeerHandler(RequestHandler):
    """Answers the requests of the peer listener."""

    def __init__(
        self,
        server: TargetServer,
        state: NodeState,
        membership: Membership,
        followers: dict[str, StreamFollower],
        signer: Signer,
        recorder: Recorder,
        clock: Clock,
        max_body: int,
        status: Callable[[], dict[str, object]],
    ) -> None:
        self.status = status
        self.server = server
        self.state = state
        self.membership = membership
        self.followers = followers
        self.signer = signer
        self.recorder = recorder
        self.clock = clock
        self.max_body = max_body
        self.attempts = AttemptTable()

    async def handle(self, connection: ServerConnection, request: Request) -> None:
        """Answer one request of another node."""
        header = request.header(CONTEXT_HEADER)
        if header:
            self.verify(connection, request, header.encode("latin-1"))
            context = decode_context(header, connection.peer)
            body = await connection.read_body(self.max_body)
            await self.handle_call(connection, request, body, context)
            return
        digest = request.header(DIGEST_HEADER)
        self.verify(connection, request, digest.encode("latin-1"))
        body = await connection.read_body(MAX_CONTROL_BYTES)
        if hashlib.sha256(body).hexdigest() != digest:
            raise ProtocolError("the body is not the one signed", "verify", "peer")
        await self.handle_control(connection, request, body)

    def verify(
        self, connection: ServerConnection, request: Request, content: bytes
    ) -> None:
        """Check that a request comes from a node of the fleet.

        Raises:
            ProtocolError: If the signature is wrong.
        """
        signature = request.header(SIGNATURE_HEADER)
        parts = (request.method.encode(), request.target.encode("latin-1"), content)
        if not self.signer.verify(signature, *parts):
            self.recorder.count("peer.forged")
            raise ProtocolError(
                "the peer signature is wrong", "verify", connection.peer
            )

    async def handle_call(
        self,
        connection: ServerConnection,
        request: Request,
        body: bytes,
        context: RequestContext,
    ) -> None:
        """Run a request at the local target, unless it was seen before."""
        if not self.attempts.begin(context.attempt_id):
            ran = Ran.UNKNOWN
            if self.attempts.states[context.attempt_id] is AttemptState.FENCED:
                ran = Ran.NOT_RUN
            refusal = Refusal(Reason.DUPLICATE, ran, None, STEP, context.service)
            await self.refuse(connection, context, refusal, context.attempts)
            return
        self.recorder.received(context)
        try:
            await self.run(connection, request, body, context)
        finally:
            self.attempts.finish(context.attempt_id, self.clock.now())

    async def run(
        self,
        connection: ServerConnection,
        request: Request,
        body: bytes,
        context: RequestContext,
    ) -> None:
        """Admit a request and run it at the target."""
        deadline = self.clock.now() + context.remaining
        gate = await self.admit(context, deadline)
        if isinstance(gate, Refusal):
            await self.refuse(connection, context, gate, context.attempts)
            return
        self.recorder.admitted(context)
        execution = self.server.begin(context, deadline)
        started = self.clock.now()
        latency = 0.0
        try:
            refusal = await self.send(execution, gate, request, body)
            latency = self.clock.now() - started
            if refusal is None:
                await self.answer(connection, context, execution, gate)
            else:
                await self.refuse(
                    connection, context, refusal, execution.flight.budget.attempts
                )
        finally:
            if not latency:
                latency = self.clock.now() - started
            await self.server.end(execution)
            await gate.leave(context.attempt_id, execution.outcome, latency)

    async def admit(self, context: RequestContext, deadline: float) -> Gate | Refusal:
        """Wait for admission until the deadline."""
        remaining = max(0.0, deadline - self.clock.now())
        try:
            return await curio.timeout_after(
                remaining, self.server.admit, context, context.attempt_id, deadline
            )
        except curio.TaskTimeout:
            return Refusal(
                Reason.DEADLINE, Ran.NOT_RUN, None, "admission", context.service
            )

    async def send(
        self, execution: Execution, gate: Gate, request: Request, body: bytes
    ) -> Refusal | None:
        """Send a request to the target until the deadline."""
        remaining = max(0.0, execution.flight.deadline - self.clock.now())
        try:
            return await curio.timeout_after(
                remaining, self.server.send, execution, gate, request, body
            )
        except curio.TaskTimeout:
            execution.outcome = Outcome.TIMEOUT
            service = execution.flight.context.service
            return Refusal(Reason.DEADLINE, Ran.UNKNOWN, None, "target", service)

    async def answer(
        self,
        connection: ServerConnection,
        context: RequestContext,
        execution: Execution,
        gate: Gate,
    ) -> None:
        """Pass the target's answer back."""
        answer = execution.answer
        assert answer is not None
        flight = execution.flight
        info = self.make_info(context, gate, flight.budget.attempts, None, execution)
        # The unused attempts go back with the head and cannot be spent any more.
        flight.budget.attempts = 0
        shed = execution.outcome is Outcome.SHED
        execution.outcome = Outcome.FAILED
        self.recorder.answered(context)
        await pass_on(answer, connection, [(ANSWER_HEADER, encode_header(info))])
        execution.outcome = Outcome.SHED if shed else Outcome.OK
        self.recorder.ended(context, None)

    def make_info(
        self,
        context: RequestContext,
        gate: Gate | None,
        unused: int,
        refusal: Refusal | None,
        execution: Execution | None,
    ) -> AnswerInfo:
        """Describe an answer to the node that asked."""
        levels = []
        pressure = 0.0
        if gate is not None:
            own = gate.queue.level(context.service, self.clock.now())
            pressure = own.pressure
            levels.append(own)
        if execution is not None:
            levels += execution.flight.levels.values()
        return AnswerInfo(context.attempt_id, unused, levels, refusal, pressure)

    async def refuse(
        self,
        connection: ServerConnection,
        context: RequestContext,
        refusal: Refusal,
        unused: int,
    ) -> None:
        """Refuse a request of another node."""
        self.recorder.shed(context, refusal)
        self.recorder.answered(context)
        gate = self.server.gate
        info = self.make_info(context, gate, unused, refusal, None)
        headers = [JSON_HEADER, (ANSWER_HEADER, encode_header(info))]
        await connection.respond(refusal.status, headers, refusal_body(refusal))

    async def handle_control(
        self, connection: ServerConnection, request: Request, body: bytes
    ) -> None:
        """Answer a control message."""
        path = request.path
        query = parse_qs(request.target.partition("?")[2])
        if path.startswith("/attempts/"):
            state = self.attempts.fence(path.rpartition("/")[2], self.clock.now())
            await self.reply(connection, {"state": state.value})
        elif path.startswith("/streams/"):
            await self.relay_stream(connection, path.rpartition("/")[2], query)
        elif path == "/members":
            await self.exchange_members(connection, body)
        elif path == "/withdrawals":
            self.take_withdrawal(connection, body)
            await self.reply(connection, {})
        elif path == "/events":
            await self.reply_events(connection, query)
        elif path == "/status":
            await self.reply(connection, self.status())
        else:
            await connection.respond(404, [JSON_HEADER], json_body({"path": path}))

    async def reply(self, connection: ServerConnection, value: object) -> None:
        """Send a JSON answer."""
        await connection.respond(200, [JSON_HEADER], json_body(value))

    async def relay_stream(
        self, connection: ServerConnection, stream: str, query: dict[str, list[str]]
    ) -> None:
        """Pass records of a stream on to a node that does not read the log."""
        follower = self.followers.get(stream)
        offset = whole_number(query, "from", 0, connection.peer)
        wait = min(MAX_WAIT_SECONDS, whole_number(query, "wait", 0, connection.peer))
        batch = None
        if follower is not None:
            batch = await follower.relay(offset, READ_LIMIT, wait)
        if follower is None or batch is None:
            await connection.respond(410, [JSON_HEADER], json_body({}))
            return
        await self.reply(connection, {**encode_batch(batch), "age": follower.age})

    async def exchange_members(self, connection: ServerConnection, body: bytes) -> None:
        """Merge the members that a starting node knows and send all of them.

        Raises:
            ProtocolError: If the body is malformed.
        """
        now = self.clock.now()
        try:
            members = members_decoder.decode(body)
        except msgspec.DecodeError as error:
            raise ProtocolError(str(error), "exchange", connection.peer) from error
        self.membership.merge(members, now)
        state = members_encoder.encode(self.membership.full_state(now))
        await connection.respond(200, [BINARY_HEADER], state)

    def take_withdrawal(self, connection: ServerConnection, body: bytes) -> None:
        """Apply a withdrawal that another node has appended.

        Raises:
            ProtocolError: If the record is malformed or of another type.
        """
        try:
            record = decode(body, self.signer.secret)
        except RecordError as error:
            raise ProtocolError(str(error), "withdrawal", connection.peer) from error
        if not isinstance(record, KeyWithdrawn):
            raise ProtocolError("not a withdrawal", "withdrawal", connection.peer)
        self.state.withdraw_early(record)

    async def reply_events(
        self, connection: ServerConnection, query: dict[str, list[str]]
    ) -> None:
        """Send the events of this node."""
        since = whole_number(query, "since", 0, connection.peer)
        chosen = EventFilter(
            request_id=query.get("request", [""])[0],
            account=query.get("account", [""])[0],
            target=query.get("target", [""])[0],
            key_id=query.get("key", [""])[0],
        )
        events = self.recorder.buffer.since(since, chosen)
        await connection.respond(200, [BINARY_HEADER], encode_events(events))


def whole_number(
    query: dict[str, list[str]], name: str, default: int, peer: str
) -> int:
    """Return a whole number of a query.

    Raises:
        ProtocolError: If the value is not a whole number.
    """
    text = query.get(name, [str(default)])[0]
    if not text.isascii() or not text.isdigit():
        raise ProtocolError(f"{name} is {text!r}, not a number", "query", peer)
    return int(text)

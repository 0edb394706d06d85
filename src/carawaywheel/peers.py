"""Handling of requests from peers: calls to the local target, control messages."""

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from .clock import Clock
from .contexts import RequestContext
from .errors import ProtocolError, RecordError
from .events import EventFilter, encode_events
from .follower import MAX_RECORDS_PER_READ, StreamFollower
from .gossip import members_decoder, members_encoder
from .headers import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    DIGEST_HEADER,
    SIGNATURE_HEADER,
)
from .http import Request
from .intake import Intake
from .listener import RequestHandler
from .logservice import encode_batch
from .membership import Membership
from .recorder import Recorder
from .records import KeyWithdrawn, decode
from .replica import ConfigurationReplica
from .runner import CallRunner, LocalCall
from .serverexchange import JSON_HEADER, ServerExchange, json_body, refusal_body
from .signing import (
    Signer,
    check_body_digest,
    context_to_sign,
    decode_request_context,
    encode_header,
)
from .stalls import StallDetector
from .streaming import forward_response

BINARY_HEADER = (b"content-type", b"application/msgpack")
MAX_AGE_SECONDS = 1e9
MAX_CONTROL_BYTES = 4 * 1024 * 1024


class PeerHandler(RequestHandler):
    """Handles the requests of the peer listener."""

    def __init__(
        self,
        runner: CallRunner,
        replica: ConfigurationReplica,
        membership: Membership,
        followers: dict[str, StreamFollower],
        signer: Signer,
        intake: Intake,
        stalls: StallDetector,
        recorder: Recorder,
        clock: Clock,
        max_body: int,
        status: Callable[[], dict[str, object]],
    ) -> None:
        self.status = status
        self.runner = runner
        self.replica = replica
        self.membership = membership
        self.followers = followers
        self.signer = signer
        self.intake = intake
        self.stalls = stalls
        self.recorder = recorder
        self.clock = clock
        self.max_body = max_body

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Handle one request from a peer.

        A request with a context header is a call; any other is a control message.
        """
        header = request.header(CONTEXT_HEADER)
        if header:
            digest = request.header(DIGEST_HEADER)
            self.verify(connection, request, context_to_sign(header, digest))
            context = decode_request_context(header, connection.peer)
            remaining = context.remaining - self.stalls.input_age()
            context = context._replace(remaining=remaining)
            body = await connection.read_body(self.max_body)
            check_body_digest(body, digest, connection.peer)
            with self.intake.take():
                await self.handle_call(connection, request, body, context)
            return
        digest = request.header(DIGEST_HEADER)
        self.verify(connection, request, digest.encode("latin-1"))
        body = await connection.read_body(MAX_CONTROL_BYTES)
        check_body_digest(body, digest, connection.peer)
        await self.handle_control(connection, request, body)

    def verify(
        self, connection: ServerExchange, request: Request, content: bytes
    ) -> None:
        """Verify that a request was signed with the secret of the fleet.

        Raises:
            ProtocolError: If the signature does not match.
        """
        signature = request.header(SIGNATURE_HEADER)
        parts = (request.method.encode(), request.target.encode("latin-1"), content)
        if not self.signer.verify(signature, *parts):
            self.recorder.increment("peer.forged")
            raise ProtocolError(
                "the signature of the peer request does not match",
                "verify",
                connection.peer,
            )

    async def handle_call(
        self,
        connection: ServerExchange,
        request: Request,
        body: bytes,
        context: RequestContext,
    ) -> None:
        """Run a call at the local target and send the response to the calling node."""
        call = await self.runner.open(context, request, body)
        complete = False
        try:
            await self.send_response(connection, call)
            complete = True
        finally:
            await self.runner.close(call, complete)

    async def send_response(self, connection: ServerExchange, call: LocalCall) -> None:
        """Send the target's response or the refusal to the calling node."""
        header = (ANSWER_HEADER, encode_header(call.metadata))
        refusal = call.metadata.refusal
        if refusal is not None:
            headers = [JSON_HEADER, header]
            await connection.respond(refusal.status, headers, refusal_body(refusal))
        elif call.execution is not None and call.execution.response is not None:
            await forward_response(call.execution.response, connection, [header])

    async def handle_control(
        self, connection: ServerExchange, request: Request, body: bytes
    ) -> None:
        """Dispatch a control message by its path."""
        path = request.path
        query = parse_qs(request.target.partition("?")[2])
        if path.startswith("/attempts/"):
            await self.send_attempt_state(connection, path.rpartition("/")[2])
        elif path.startswith("/streams/"):
            await self.send_stream_records(connection, path.rpartition("/")[2], query)
        elif path == "/members":
            await self.exchange_members(connection, body)
        elif path == "/withdrawals" and request.method == "GET":
            await self.send_withdrawals(connection)
        elif path == "/withdrawals":
            self.apply_withdrawal(connection, body)
            await self.send_json(connection, {})
        elif path == "/events":
            await self.send_events(connection, query)
        elif path == "/status":
            await self.send_json(connection, self.status())
        else:
            await connection.respond(404, [JSON_HEADER], json_body({"path": path}))

    async def send_json(self, connection: ServerExchange, value: object) -> None:
        """Send a JSON response."""
        await connection.respond(200, [JSON_HEADER], json_body(value))

    async def send_attempt_state(
        self, connection: ServerExchange, attempt_id: str
    ) -> None:
        """Send the state of an attempt and the uptime of this process.

        An attempt that is not known is fenced, so that it can no longer run.
        """
        now = self.clock.now()
        attempts = self.runner.attempts
        state = attempts.fence(attempt_id, now)
        uptime = now - attempts.started_at
        await self.send_json(connection, {"state": state.value, "uptime": uptime})

    async def send_stream_records(
        self, connection: ServerExchange, stream: str, query: dict[str, list[str]]
    ) -> None:
        """Send records of a stream to a node that does not read the log itself.

        Responds 410 if this node does not hold the records at the offset.
        """
        follower = self.followers.get(stream)
        offset = query_integer(query, "from", 0, connection.peer)
        batch = None
        if follower is not None:
            batch = follower.cached_batch(offset, MAX_RECORDS_PER_READ)
        if follower is None or batch is None:
            await connection.respond(410, [JSON_HEADER], json_body({}))
            return
        # JSON cannot encode infinity, the age of a follower that has read nothing.
        age = min(follower.age, MAX_AGE_SECONDS)
        await self.send_json(connection, {**encode_batch(batch), "age": age})

    async def exchange_members(self, connection: ServerExchange, body: bytes) -> None:
        """Merge the members that a starting node knows and respond with all members.

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

    async def send_withdrawals(self, connection: ServerExchange) -> None:
        """Send all withdrawals to a node that was suspended.

        Responds 503 if the configuration of this node is itself stale.
        """
        if not self.replica.is_fresh(self.clock.now()):
            await connection.respond(503, [JSON_HEADER], json_body({}))
            return
        body = msgspec.msgpack.encode(self.replica.withdrawn_entries())
        await connection.respond(200, [BINARY_HEADER], body)

    def apply_withdrawal(self, connection: ServerExchange, body: bytes) -> None:
        """Apply the withdrawal of a key that a peer has appended to the log.

        Raises:
            ProtocolError: If the record is malformed or of another type.
        """
        try:
            record = decode(body, self.signer.secret)
        except RecordError as error:
            raise ProtocolError(str(error), "withdrawal", connection.peer) from error
        if not isinstance(record, KeyWithdrawn):
            raise ProtocolError(
                "the record is not a key withdrawal", "withdrawal", connection.peer
            )
        self.replica.apply_pushed_withdrawal(record)

    async def send_events(
        self, connection: ServerExchange, query: dict[str, list[str]]
    ) -> None:
        """Send the events of this node that match the query."""
        since = query_integer(query, "since", 0, connection.peer)
        event_filter = EventFilter(
            request_id=query.get("request", [""])[0],
            account=query.get("account", [""])[0],
            target=query.get("target", [""])[0],
            key_id=query.get("key", [""])[0],
        )
        events = self.recorder.event_buffer.events_from(since, event_filter)
        await connection.respond(200, [BINARY_HEADER], encode_events(events))


def query_integer(
    query: dict[str, list[str]], name: str, default: int, peer: str
) -> int:
    """Return the value of a query parameter as a whole number.

    Raises:
        ProtocolError: If the value is not a whole number.
    """
    text = query.get(name, [str(default)])[0]
    if not text.isascii() or not text.isdigit():
        raise ProtocolError(
            f"query parameter {name} is {text!r}, not a whole number", "query", peer
        )
    return int(text)

"""Requests of callers and the local target's own calls."""

import math

import curio

from .charging import ChargingService
from .claimservice import AcquiredClaim, ClaimService
from .clock import Clock
from .contexts import MAX_DEPTH, InFlightRequest, InFlightTable, RequestContext, new_id
from .errors import ProtocolError
from .events import EventKind
from .headers import (
    AUTHORIZATION_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    REQUEST_ID_HEADER,
    bearer_key,
    contains_api_key,
)
from .http import Headers, Request
from .levels import OverloadLevel, OverloadLevelTable
from .listener import RequestHandler
from .recorder import Recorder
from .refusals import Outcome, Ran, Reason, Refusal
from .relay import Call, CallProgress, Relay, RelayedResponse
from .retries import AttemptBudget
from .serverexchange import JSON_HEADER, ServerExchange, refusal_body
from .state import NodeState
from .streaming import forward_response
from .views import Route

STEP = "entry"
MILLISECONDS = 1000
MAX_DEADLINE_DIGITS = 9
MAX_RETRY_AFTER_SECONDS = 3600


class EntryHandler(RequestHandler):
    """Authenticates, charges and relays the requests of the caller listener."""

    def __init__(
        self,
        state: NodeState,
        charging: ChargingService,
        claiming: ClaimService,
        levels: OverloadLevelTable,
        in_flight: InFlightTable,
        relay: Relay,
        recorder: Recorder,
        clock: Clock,
        max_body: int,
    ) -> None:
        self.state = state
        self.charging = charging
        self.claiming = claiming
        self.levels = levels
        self.in_flight = in_flight
        self.relay = relay
        self.recorder = recorder
        self.clock = clock
        self.max_body = max_body

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Answer one request of a caller or of the local target."""
        started = self.clock.now()
        flight = self.in_flight.get(request.header(REQUEST_ID_HEADER))
        if flight is None:
            await self.handle_caller(connection, request, started)
        else:
            await self.handle_subcall(connection, request, flight, started)

    async def handle_caller(
        self,
        connection: ServerExchange,
        request: Request,
        started: float,
    ) -> None:
        """Answer a request from outside; its body is read once the key is known."""
        root_id = new_id()
        self.recorder.count("entry.requests")
        context = self.authenticate(request, root_id, started)
        if isinstance(context, Refusal):
            connection.close_if_body_unread()
            await self.refuse_unknown(connection, request, root_id, context)
            return
        body = await connection.read_body(self.max_body)
        if contains_api_key(request.target, request.headers, body):
            # A target would see a key that does not stand in its own header.
            refusal = Refusal(Reason.BAD_REQUEST, step="check for keys")
            await self.refuse(connection, context, refusal, False)
            return
        deadline = started + context.remaining
        await self.run(connection, request, body, context, deadline, None)

    def authenticate(
        self, request: Request, root_id: str, now: float
    ) -> RequestContext | Refusal:
        """Find the route and the client account of a request from outside."""
        view = self.state.view()
        route = view.route(request.method, request.path)
        if route is None:
            return Refusal(Reason.NO_ROUTE, step=STEP)
        account, key_id = "", ""
        if not route.open:
            if not self.state.news_is_fresh(now):
                return Refusal(Reason.STALE_NODE, Ran.NOT_RUN, 1.0, STEP)
            entry = view.key(bearer_key(request.header(AUTHORIZATION_HEADER)))
            if isinstance(entry, Refusal):
                return entry
            account, key_id = entry.account, entry.key_id
            holder = view.account(account)
            if holder is None or not route.allows(holder):
                return Refusal(Reason.FORBIDDEN, step="authorise", peer=route.name)
        team = view.team(route.team)
        attempts = team.retries.attempts if team is not None else 0
        return self.make_context(request, route, root_id, account, key_id, attempts)

    def make_context(
        self,
        request: Request,
        route: Route,
        root_id: str,
        account: str,
        key_id: str,
        attempts: int,
    ) -> RequestContext:
        """Return the context of a request from outside."""
        return RequestContext(
            root_id=root_id,
            attempt_id=root_id,
            service=route.service,
            route=route.name,
            account=account,
            key_id=key_id,
            importance=route.importance,
            idempotent=route.idempotent,
            remaining=min(route.deadline, asked_deadline(request)),
            attempts=attempts,
            depth=1,
            team=route.team,
        )

    async def handle_subcall(
        self,
        connection: ServerExchange,
        request: Request,
        flight: InFlightRequest,
        started: float,
    ) -> None:
        """Answer a call that the local target makes for a request in flight."""
        self.recorder.count("entry.subcalls")
        body = await connection.read_body(self.max_body)
        context = self.subcall_context(request, body, flight, started)
        if isinstance(context, Refusal):
            await self.refuse(connection, flight.context, context, False)
            return
        deadline = started + context.remaining
        await self.run(connection, request, body, context, deadline, flight)

    def subcall_context(
        self, request: Request, body: bytes, flight: InFlightRequest, now: float
    ) -> RequestContext | Refusal:
        """Derive the context of a sub-call from the request that it serves."""
        view = self.state.view()
        parent = flight.context
        route = view.route(request.method, request.path)
        if route is None:
            return Refusal(Reason.NO_ROUTE, step="sub-call")
        if parent.depth >= MAX_DEPTH:
            return Refusal(Reason.BAD_REQUEST, step="check depth", peer=route.name)
        if contains_api_key(request.target, request.headers, body):
            return Refusal(Reason.BAD_REQUEST, step="check for keys", peer=route.name)
        key = view.keys.get(parent.key_id)
        if parent.key_id and (key is None or key.withdrawn):
            return Refusal(Reason.KEY_WITHDRAWN, step="sub-call", peer=parent.key_id)
        remaining = min(flight.deadline - now, route.deadline, asked_deadline(request))
        if remaining <= 0:
            return Refusal(Reason.DEADLINE, step="sub-call", peer=route.service)
        return parent._replace(
            service=route.service,
            route=route.name,
            idempotent=route.idempotent,
            remaining=remaining,
            depth=parent.depth + 1,
        )

    async def run(
        self,
        connection: ServerExchange,
        request: Request,
        body: bytes,
        context: RequestContext,
        deadline: float,
        flight: InFlightRequest | None,
    ) -> None:
        """Relay a request and pass its answer on.

        The deadline ends with the head of the answer. A body that arrives is passed
        on to its end, for a large download outlasts the deadline of its route.
        """
        budget = AttemptBudget(context.attempts) if flight is None else flight.budget
        progress = CallProgress()
        call = Call(
            context, deadline, context.idempotent, request, body, budget, progress
        )
        charges = Reservations()
        remaining = max(0.0, deadline - self.clock.now())
        try:
            result = await curio.timeout_after(
                remaining, self.send, call, charges, flight
            )
        except curio.TaskTimeout:
            result = Refusal(Reason.DEADLINE, progress.ran, None, STEP, context.service)
        except curio.CancelledError:
            self.recorder.request_event(EventKind.CANCELLED, context)
            self.undo(context, charges, progress.ran)
            raise
        if isinstance(result, Refusal):
            self.learn(context, flight, progress.levels)
            self.undo(context, charges, result.ran)
            await self.refuse(connection, context, result, charges.charged)
            return
        await self.answer(connection, call, result, flight)

    async def send(
        self, call: Call, charges: "Reservations", flight: InFlightRequest | None
    ) -> RelayedResponse | Refusal:
        """Charge, claim and relay a request."""
        context = call.context
        if flight is None and context.account:
            refusal = await self.charging.charge(context.account)
            if refusal is not None:
                return refusal
            charges.charged = True
        refusal = self.levels.check(
            level_route(context),
            context.importance,
            self.clock.now(),
            self.relay.rng,
            context.account,
        )
        if refusal is not None:
            return refusal
        key = call.request.header(IDEMPOTENCY_HEADER)
        if key and not call.idempotent:
            claimed = await self.claiming.claim(context.account, context.route, key)
            if isinstance(claimed, Refusal):
                return claimed
            charges.claimed = claimed
        self.recorder.request_event(EventKind.REQUEST_ADMITTED, context)
        return await self.relay.call(call)

    def undo(self, context: RequestContext, charges: "Reservations", ran: Ran) -> None:
        """Give back the charge and the claim of a request that has not run."""
        if ran is not Ran.NOT_RUN:
            return
        if charges.charged:
            self.charging.refund(context.account)
        if charges.claimed is not None:
            self.claiming.abandon(charges.claimed)

    async def answer(
        self,
        connection: ServerExchange,
        call: Call,
        exchange: RelayedResponse,
        flight: InFlightRequest | None,
    ) -> None:
        """Pass an answer on and learn from what came with it."""
        context = call.context
        self.learn(context, flight, exchange.info.levels)
        extra: Headers = []
        if flight is None:
            extra.append((REQUEST_ID_HEADER, context.root_id.encode()))
        outcome = Outcome.CANCELLED
        try:
            await forward_response(exchange.response, connection, extra)
            outcome = Outcome.OK
        except ProtocolError:
            outcome = Outcome.FAILED if connection.disconnected else Outcome.CANCELLED
            self.recorder.request_event(EventKind.ANSWER_BROKEN, context)
            raise
        finally:
            await self.relay.end(exchange, outcome)
        self.recorder.finished(context, exchange.response.status, flight is None)

    def learn(
        self,
        context: RequestContext,
        flight: InFlightRequest | None,
        levels: list[OverloadLevel],
    ) -> None:
        """Learn the levels that an answer or a refusal carried."""
        if levels:
            self.levels.update(level_route(context), levels, self.clock.now())
        if flight is not None:
            flight.record_levels(levels)

    async def refuse_unknown(
        self,
        connection: ServerExchange,
        request: Request,
        root_id: str,
        refusal: Refusal,
    ) -> None:
        """Refuse a request for which there is no context yet."""
        view = self.state.view()
        route = view.route(request.method, request.path)
        self.recorder.refused_early(root_id, route, refusal)
        await self.write_refusal(connection, refusal, root_id)

    async def refuse(
        self,
        connection: ServerExchange,
        context: RequestContext,
        refusal: Refusal,
        in_rate: bool,
    ) -> None:
        """Refuse a request of a known client account."""
        self.recorder.refused(context, refusal, in_rate)
        await self.write_refusal(connection, refusal, context.root_id)

    async def write_refusal(
        self, connection: ServerExchange, refusal: Refusal, root_id: str
    ) -> None:
        """Send a refusal."""
        headers = [JSON_HEADER, (REQUEST_ID_HEADER, root_id.encode())]
        if refusal.retry_after is not None:
            seconds = min(MAX_RETRY_AFTER_SECONDS, math.ceil(refusal.retry_after))
            headers.append((b"retry-after", str(max(1, seconds)).encode()))
        await connection.respond(refusal.status, headers, refusal_body(refusal))


class Reservations:
    """What was taken for a request and is given back if it has not run.

    Attributes:
        charged: Whether the client account was charged.
        claimed: The claim of a request that must not be repeated, or None.
    """

    def __init__(self) -> None:
        self.charged = False
        self.claimed: AcquiredClaim | None = None


def level_route(context: RequestContext) -> str:
    """Return the name under which the levels of a route are learned."""
    return f"{context.team}/{context.route}"


def asked_deadline(request: Request) -> float:
    """Return the deadline that a caller asks for, in seconds."""
    text = request.header(DEADLINE_HEADER)
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS:
        return math.inf
    return int(text) / MILLISECONDS

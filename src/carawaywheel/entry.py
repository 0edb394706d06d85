"""Handling of requests from callers and of sub-calls from the local target."""

import math

import curio

from .charging import ChargingService
from .claimservice import AcquiredClaim, ClaimService
from .clock import Clock
from .contexts import (
    MAX_DEPTH,
    InFlightRequest,
    InFlightTable,
    RequestContext,
    random_id,
)
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
from .intake import Intake
from .levels import OverloadLevel, OverloadLevelTable
from .listener import RequestHandler
from .recorder import Recorder
from .refusals import Outcome, Ran, Reason, Refusal
from .relay import Call, CallProgress, Relay, RelayedResponse
from .replica import ConfigurationReplica
from .retries import AttemptBudget
from .serverexchange import JSON_HEADER, ServerExchange, refusal_body
from .stalls import StallDetector
from .streaming import forward_response
from .views import Route

STEP = "entry"
MILLISECONDS_PER_SECOND = 1000
MAX_DEADLINE_DIGITS = 9
MAX_RETRY_AFTER_SECONDS = 3600


class EntryHandler(RequestHandler):
    """Authenticates, rate-limits and forwards the requests of the caller listener."""

    def __init__(
        self,
        replica: ConfigurationReplica,
        charging: ChargingService,
        claiming: ClaimService,
        levels: OverloadLevelTable,
        in_flight: InFlightTable,
        relay: Relay,
        intake: Intake,
        stalls: StallDetector,
        recorder: Recorder,
        clock: Clock,
        max_body: int,
    ) -> None:
        self.replica = replica
        self.charging = charging
        self.claiming = claiming
        self.levels = levels
        self.in_flight = in_flight
        self.relay = relay
        self.intake = intake
        self.stalls = stalls
        self.recorder = recorder
        self.clock = clock
        self.max_body = max_body

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Handle one request from a caller or from the local target.

        A request that carries the id of a request in flight is a sub-call.
        """
        started = self.clock.now() - self.stalls.input_age()
        parent_request = self.in_flight.get(request.header(REQUEST_ID_HEADER))
        if parent_request is None:
            await self.handle_caller(connection, request, started)
        else:
            with self.intake.take():
                await self.handle_subcall(connection, request, parent_request, started)

    async def handle_caller(
        self,
        connection: ServerExchange,
        request: Request,
        started: float,
    ) -> None:
        """Handle a request from a caller; reads its body only after authentication."""
        root_id = random_id()
        self.recorder.increment("entry.requests")
        if self.intake.closed:
            # Closing a connection with unread bytes may reset it before the client
            # has read the response.
            await connection.read_body(self.max_body)
            await self.refuse_late(connection, request, root_id)
            return
        context = self.authenticate(request, root_id, started)
        if isinstance(context, Refusal):
            connection.close_if_body_unread()
            await self.refuse_without_context(connection, request, root_id, context)
            return
        body = await connection.read_body(self.max_body)
        if self.intake.closed:
            await self.refuse_late(connection, request, root_id)
            return
        if contains_api_key(request.target, request.headers, body):
            # Only the authorization header is stripped; the target would see this key.
            refusal = Refusal(Reason.BAD_REQUEST, step="check for keys")
            await self.refuse(connection, context, refusal, False)
            return
        deadline = started + context.remaining
        with self.intake.take():
            await self.forward(connection, request, body, context, deadline, None)

    async def refuse_late(
        self, connection: ServerExchange, request: Request, root_id: str
    ) -> None:
        """Refuse a caller's request that came after the intake was closed."""
        refusal = self.intake.refusal(STEP)
        await self.refuse_without_context(connection, request, root_id, refusal)

    def authenticate(
        self, request: Request, root_id: str, now: float
    ) -> RequestContext | Refusal:
        """Find the route of a caller's request and check its API key.

        Returns:
            The context of the request, or the refusal.
        """
        view = self.replica.view()
        route = view.find_route(request.method, request.path)
        if route is None:
            return Refusal(Reason.NO_ROUTE, step=STEP)
        account, key_id = "", ""
        if not route.allow_anonymous:
            if not self.replica.is_fresh(now):
                return Refusal(Reason.STALE_NODE, Ran.NOT_RUN, 1.0, STEP)
            key = view.authenticate_key(
                bearer_key(request.header(AUTHORIZATION_HEADER))
            )
            if isinstance(key, Refusal):
                return key
            account, key_id = key.account, key.key_id
            client_account = view.account(account)
            if client_account is None or not route.allows(client_account):
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
        """Return the context of a caller's request, the first in its call chain."""
        return RequestContext(
            root_id=root_id,
            attempt_id=root_id,
            service=route.service,
            route=route.name,
            account=account,
            key_id=key_id,
            importance=route.importance,
            idempotent=route.idempotent,
            remaining=min(route.deadline, requested_timeout(request)),
            attempts=attempts,
            depth=1,
            team=route.team,
        )

    async def handle_subcall(
        self,
        connection: ServerExchange,
        request: Request,
        parent_request: InFlightRequest,
        started: float,
    ) -> None:
        """Handle a call that the local target makes while it serves a request."""
        self.recorder.increment("entry.subcalls")
        body = await connection.read_body(self.max_body)
        context = self.subcall_context(request, body, parent_request, started)
        if isinstance(context, Refusal):
            await self.refuse(connection, parent_request.context, context, False)
            return
        deadline = started + context.remaining
        await self.forward(connection, request, body, context, deadline, parent_request)

    def subcall_context(
        self, request: Request, body: bytes, parent_request: InFlightRequest, now: float
    ) -> RequestContext | Refusal:
        """Derive the context of a sub-call from that of its parent request.

        Returns:
            The context, or the refusal.
        """
        view = self.replica.view()
        parent = parent_request.context
        route = view.find_route(request.method, request.path)
        if route is None:
            return Refusal(Reason.NO_ROUTE, step="sub-call")
        if parent.depth >= MAX_DEPTH:
            return Refusal(Reason.BAD_REQUEST, step="check depth", peer=route.name)
        if contains_api_key(request.target, request.headers, body):
            return Refusal(Reason.BAD_REQUEST, step="check for keys", peer=route.name)
        key = view.keys.get(parent.key_id)
        if parent.key_id and (key is None or key.withdrawn):
            return Refusal(Reason.KEY_WITHDRAWN, step="sub-call", peer=parent.key_id)
        remaining = min(
            parent_request.deadline - now, route.deadline, requested_timeout(request)
        )
        if remaining <= 0:
            return Refusal(Reason.DEADLINE, step="sub-call", peer=route.service)
        return parent._replace(
            service=route.service,
            route=route.name,
            idempotent=route.idempotent,
            remaining=remaining,
            depth=parent.depth + 1,
        )

    async def forward(
        self,
        connection: ServerExchange,
        request: Request,
        body: bytes,
        context: RequestContext,
        deadline: float,
        parent_request: InFlightRequest | None,
    ) -> None:
        """Send a request to its service and return the response to the caller.

        The deadline covers the time until the response head arrives. The body is
        then streamed to its end, as a large download may outlast the deadline of
        its route.
        """
        budget = (
            AttemptBudget(context.attempts)
            if parent_request is None
            else parent_request.budget
        )
        progress = CallProgress()
        call = Call(
            context, deadline, context.idempotent, request, body, budget, progress
        )
        reservations = Reservations()
        remaining = deadline - self.clock.now()
        if remaining <= 0:
            refusal = Refusal(Reason.DEADLINE, Ran.NOT_RUN, None, STEP, context.service)
            await self.refuse(connection, context, refusal, False)
            return
        try:
            result = await curio.timeout_after(
                remaining, self.admit_and_send, call, reservations, parent_request
            )
        except curio.TaskTimeout:
            result = Refusal(Reason.DEADLINE, progress.ran, None, STEP, context.service)
        except curio.CancelledError:
            self.recorder.request_event(EventKind.CANCELLED, context)
            self.release_unused(context, reservations, progress.ran)
            raise
        if isinstance(result, Refusal):
            self.record_levels(context, parent_request, progress.levels)
            self.release_unused(context, reservations, result.ran)
            await self.refuse(connection, context, result, reservations.charged)
            return
        await self.send_response(connection, call, result, parent_request)

    async def admit_and_send(
        self,
        call: Call,
        reservations: "Reservations",
        parent_request: InFlightRequest | None,
    ) -> RelayedResponse | Refusal:
        """Admit a request and send it to its service.

        Charges the client account (not for sub-calls), checks the overload level of
        the route, and claims the idempotency key of a request that must not run twice.
        """
        context = call.context
        if parent_request is None and context.account:
            refusal = await self.charging.charge(context.account)
            if refusal is not None:
                return refusal
            reservations.charged = True
        refusal = self.levels.check(
            level_key(context),
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
            reservations.claim = claimed
        self.recorder.request_event(EventKind.REQUEST_ADMITTED, context)
        return await self.relay.call(call)

    def release_unused(
        self, context: RequestContext, reservations: "Reservations", ran: Ran
    ) -> None:
        """Refund the charge and release the claim of a request that did not run."""
        if ran is not Ran.NOT_RUN:
            return
        if reservations.charged:
            self.charging.refund(context.account)
        if reservations.claim is not None:
            self.claiming.schedule_release(reservations.claim)

    async def send_response(
        self,
        connection: ServerExchange,
        call: Call,
        relayed: RelayedResponse,
        parent_request: InFlightRequest | None,
    ) -> None:
        """Send a response to the caller and record the overload levels it carries."""
        context = call.context
        self.record_levels(context, parent_request, relayed.metadata.levels)
        extra_headers: Headers = []
        if parent_request is None:
            extra_headers.append((REQUEST_ID_HEADER, context.root_id.encode()))
        outcome = Outcome.CANCELLED
        try:
            await forward_response(relayed.response, connection, extra_headers)
            outcome = Outcome.OK
        except ProtocolError:
            outcome = Outcome.FAILED if connection.disconnected else Outcome.CANCELLED
            self.recorder.request_event(EventKind.ANSWER_BROKEN, context)
            raise
        finally:
            await self.relay.finish(relayed, outcome)
        self.recorder.record_finished(
            context, relayed.response.status, parent_request is None
        )

    def record_levels(
        self,
        context: RequestContext,
        parent_request: InFlightRequest | None,
        levels: list[OverloadLevel],
    ) -> None:
        """Record the overload levels that a response or a refusal carried.

        Those of a sub-call also go into the response to its parent request.
        """
        if levels:
            self.levels.update(level_key(context), levels, self.clock.now())
        if parent_request is not None:
            parent_request.record_levels(levels)

    async def refuse_without_context(
        self,
        connection: ServerExchange,
        request: Request,
        root_id: str,
        refusal: Refusal,
    ) -> None:
        """Refuse a request that was not authenticated and so has no context."""
        view = self.replica.view()
        route = view.find_route(request.method, request.path)
        self.recorder.record_early_refusal(root_id, route, refusal)
        await self.send_refusal(connection, refusal, root_id)

    async def refuse(
        self,
        connection: ServerExchange,
        context: RequestContext,
        refusal: Refusal,
        in_rate: bool,
    ) -> None:
        """Refuse a request that has a context.

        Args:
            connection: Exchange to respond on.
            context: Context of the request, or of the parent of a sub-call.
            refusal: Reason and details of the refusal.
            in_rate: Whether the client account was charged, so that the request was
                within its rate limit.
        """
        self.recorder.record_refusal(context, refusal, in_rate)
        await self.send_refusal(connection, refusal, context.root_id)

    async def send_refusal(
        self, connection: ServerExchange, refusal: Refusal, root_id: str
    ) -> None:
        """Send the response for a refusal."""
        headers = [JSON_HEADER, (REQUEST_ID_HEADER, root_id.encode())]
        if refusal.retry_after is not None:
            seconds = min(MAX_RETRY_AFTER_SECONDS, math.ceil(refusal.retry_after))
            headers.append((b"retry-after", str(max(1, seconds)).encode()))
        await connection.respond(refusal.status, headers, refusal_body(refusal))


class Reservations:
    """What is acquired for a request, to be released if the request does not run.

    Attributes:
        charged: Whether the client account was charged.
        claim: Claim on the idempotency key of a request that must not run twice, or
            None.
    """

    def __init__(self) -> None:
        self.charged = False
        self.claim: AcquiredClaim | None = None


def level_key(context: RequestContext) -> str:
    """Return the key of a route in the table of overload levels."""
    return f"{context.team}/{context.route}"


def requested_timeout(request: Request) -> float:
    """Return the time limit from the deadline header in seconds, infinite if none."""
    text = request.header(DEADLINE_HEADER)
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS:
        return math.inf
    return int(text) / MILLISECONDS_PER_SECOND

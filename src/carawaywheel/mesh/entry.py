"""Requests of clients and of the local target's calls."""

import random

import curio

from ..clock import Clock
from ..errors import PeerError, ProtocolError
from ..http import Request
from ..listener import RequestHandler
from ..platform.headers import decode_caller_headers
from ..refusals import Outcome, Ran, Reason, Refusal
from ..routing import Candidate, Router
from ..serverexchange import JSON_HEADER, ServerExchange, refusal_body
from ..sockets import split_address
from .callgraph import CallGraph
from .configuration import Account, RouteKind
from .directory import Directory
from .execution import TargetRunner
from .journal import Journal
from .messages import Call, CallerMetadata
from .monitor import PeerMonitor
from .peers import PeerClient
from .policy import AdmissionPolicy
from .ratelimiter import RateLimiter
from .requests import AdmittedRequest, RequestProgress, http_status
from .responses import BufferedResponse, CallResult, send_response
from .settings import HostSettings
from .shedding import AdmissionLevelTable

STEP = "entry"
# Refusals that lead to another target and were not run there; a request is passed
# round at most this often, since each try costs a round trip.
MAX_REFUSALS = 4
RATE_RETRY_SECONDS = 1.0
NO_TARGET_RETRY_SECONDS = 0.5
NOT_READY_RETRY_SECONDS = 1.0
# Status of a target that failed to do what it was asked.
TARGET_ERROR_STATUS = 500

OUTCOME_BY_REASON = {
    Reason.OVERLOAD: Outcome.SHED,
    Reason.QUEUE_FULL: Outcome.SHED,
    Reason.DEADLINE: Outcome.SHED,
    Reason.TARGET_SHED: Outcome.SHED,
    Reason.RETRIES_SPENT: Outcome.SHED,
    Reason.CANCELLED: Outcome.CANCELLED,
}
# Refusals of one target after which another one may take the request.
REROUTABLE_REASONS = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.TARGET_SHED,
        Reason.NO_TARGET,
        Reason.SHUTTING_DOWN,
        Reason.PEER_FAILED,
        Reason.TARGET_FAILED,
    }
)


class EntryHandler(RequestHandler):
    """Admits requests and sends them to the node beside a target."""

    def __init__(
        self,
        settings: HostSettings,
        directory: Directory,
        router: Router,
        runner: TargetRunner,
        rate_limiter: RateLimiter,
        call_graph: CallGraph,
        levels: AdmissionLevelTable,
        peer_monitor: PeerMonitor,
        journal: Journal,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.router = router
        self.runner = runner
        self.rate_limiter = rate_limiter
        self.call_graph = call_graph
        self.levels = levels
        self.peer_monitor = peer_monitor
        self.journal = journal
        self.clock = clock
        self.rng = rng
        port = split_address(settings.listen.links)[1]
        self.peer_client = PeerClient(port)
        self.policy = AdmissionPolicy(
            settings, runner.fanout, call_graph, levels, journal
        )

    def may_overlap(self, request: Request) -> bool:
        """Return whether a request may be repeated; see the base class."""
        configuration = self.directory.configuration
        if configuration is None:
            return False
        host = decode_caller_headers(request).host
        route = configuration.find_route(host, request.path)
        return route is not None and route.kind is RouteKind.IDEMPOTENT

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Answer one request; see the base class."""
        started = self.clock.now()
        claims = decode_caller_headers(request)
        progress = RequestProgress()
        configuration = self.directory.configuration
        if configuration is None:
            refusal = Refusal(
                Reason.STALE_NODE, Ran.NOT_RUN, NOT_READY_RETRY_SECONDS, STEP
            )
            await self.refuse(connection, claims, refusal, started)
            return
        admission = self.policy.admit(
            configuration, connection.peer, request, claims, started
        )
        if isinstance(admission, Refusal):
            await self.refuse(connection, claims, admission, started)
            return
        try:
            limit = configuration.limits.body_bytes
            result = await self.send_before_deadline(
                connection, admission, request, limit, progress
            )
        except BaseException:
            self.log_abandoned(claims, progress, started)
            raise
        if isinstance(result, Refusal):
            if progress.charged and result.ran is Ran.NOT_RUN and admission.account:
                self.rate_limiter.quotas.refund(admission.account, self.clock.now())
            await self.refuse(connection, claims, result, started)
            return
        await send_response(connection, result, [])
        status = (
            result.status
            if isinstance(result, BufferedResponse)
            else result.response.status
        )
        self.journal.count("answered", str(status // 100))
        self.journal.observe(admission.route.name, self.clock.now() - started)
        if status >= 300:
            self.journal.write(
                "failed_answer",
                request=claims.attempt_id,
                status=status,
                route=admission.route.name,
                service=admission.service,
                waited=round(self.clock.now() - started, 3),
            )

    async def send_before_deadline(
        self,
        connection: ServerExchange,
        admission: AdmittedRequest,
        request: Request,
        limit: int,
        progress: RequestProgress,
    ) -> CallResult:
        """Read and send a request, repeating it where that is safe, until its deadline.

        Args:
            connection: Connection of the caller.
            admission: The request.
            request: Its head.
            limit: Largest body in bytes.
            progress: What becomes of it.
        """
        remaining = admission.deadline - self.clock.now()
        try:
            async with curio.timeout_after(max(0.0, remaining)):
                return await self.charge_and_send(
                    connection, admission, request, limit, progress
                )
        except curio.TaskTimeout:
            reason = Reason.DEADLINE
            if progress.ran is Ran.NOT_RUN:
                reason = Reason.NO_TARGET
            return Refusal(
                reason,
                progress.ran,
                NO_TARGET_RETRY_SECONDS,
                STEP,
                admission.service,
            )

    async def charge_and_send(
        self,
        connection: ServerExchange,
        admission: AdmittedRequest,
        request: Request,
        limit: int,
        progress: RequestProgress,
    ) -> CallResult:
        """Read the body of a request, charge its account and send it."""
        body = await connection.read_body(limit)
        account = admission.account
        if account is not None:
            charged = await self.rate_limiter.acquire(account)
            if charged is None:
                return Refusal(
                    Reason.STALE_NODE, Ran.NOT_RUN, NOT_READY_RETRY_SECONDS, STEP
                )
            if not charged:
                self.log_over_rate(admission, account)
                return Refusal(
                    Reason.RATE_EXCEEDED,
                    Ran.NOT_RUN,
                    RATE_RETRY_SECONDS,
                    STEP,
                    account.name,
                )
            progress.charged = True
        return await self.send_with_retries(admission, request, body, progress)

    def log_over_rate(self, admission: AdmittedRequest, account: Account) -> None:
        """Record what decided that an account is over its rate."""
        now = self.clock.now()
        stock = self.rate_limiter.quotas.token_cache(account, now)
        self.journal.write(
            "over_rate",
            request=admission.caller.attempt_id,
            account=account.name,
            rate=account.rate,
            burst=account.burst,
            blocked=round(stock.blocked_until - now, 3),
            demand=round(stock.demand, 1),
            home=self.rate_limiter.quotas.owner(stock.slot),
            nodes=len(self.rate_limiter.quotas.nodes),
        )

    async def send_with_retries(
        self,
        admission: AdmittedRequest,
        request: Request,
        body: bytes,
        progress: RequestProgress,
    ) -> CallResult:
        """Try targets until one answers or no other may be tried."""
        tried: list[str] = []
        refusals = 0
        last: Refusal | None = None
        failure: BufferedResponse | None = None
        while True:
            result = await self.send_attempt(admission, request, body, progress, tried)
            if not isinstance(result, Refusal):
                if failure is not None or not self.may_retry_failure(admission, result):
                    return result
                assert isinstance(result, BufferedResponse)
                failure = result
                progress.executions += 1
                progress.deliveries += 1
                if progress.executions >= admission.route.max_attempts:
                    return failure
                self.journal.count("failure_repeated", admission.service)
                continue
            if failure is not None:
                return failure
            if last is not None and result.step == "routing":
                return last._replace(ran=progress.ran)
            last = result
            if result.ran is Ran.UNKNOWN:
                progress.executions += 1
                progress.deliveries += 1
            else:
                refusals += 1
                progress.deliveries += result.reason is Reason.TARGET_SHED
            if not self.may_retry_refusal(admission, result, progress, refusals):
                return result._replace(ran=progress.ran)
            self.journal.write(
                "repeat",
                request=admission.caller.attempt_id,
                reason=result.reason.value,
                ran=result.ran.value,
                peer=result.peer,
                step=result.step,
            )

    def may_retry_failure(self, admission: AdmittedRequest, result: CallResult) -> bool:
        """Return whether another target may do what one failed to do.

        A failure of a target that makes no calls is its own. One that calls others most
        likely passes on a failure below it, which a repeat would only multiply.
        """
        if (
            not isinstance(result, BufferedResponse)
            or result.status != TARGET_ERROR_STATUS
        ):
            return False
        demands = self.call_graph.demands.get(admission.route.name, {})
        leaf = all(service == admission.service for service in demands)
        return leaf and admission.route.kind is RouteKind.IDEMPOTENT

    def may_retry_refusal(
        self,
        admission: AdmittedRequest,
        refusal: Refusal,
        progress: RequestProgress,
        refusals: int,
    ) -> bool:
        """Return whether another target may be tried."""
        if refusal.reason not in REROUTABLE_REASONS or refusals >= MAX_REFUSALS:
            return False
        if refusal.step == "routing":
            return False
        if progress.executions and admission.route.kind is not RouteKind.IDEMPOTENT:
            return False
        return progress.executions < admission.route.max_attempts

    async def send_attempt(
        self,
        admission: AdmittedRequest,
        request: Request,
        body: bytes,
        progress: RequestProgress,
        tried: list[str],
    ) -> CallResult:
        """Send a request once, to a target that was not tried before if any."""
        now = self.clock.now()
        candidate = self.router.choose(admission.service, now, tried)
        if isinstance(candidate, Refusal) and progress.executions:
            # The answer was lost, which says little of the target.
            candidate = self.router.choose(admission.service, now)
        if isinstance(candidate, Refusal):
            return candidate._replace(retry_after=NO_TARGET_RETRY_SECONDS)
        tried.append(candidate.target_id)
        call = self.build_call(admission, progress, now)
        self.router.record_start(candidate.target_id, now)
        outcome, pressure, fault = Outcome.CANCELLED, None, False
        progress.attempt_in_flight = True
        try:
            result, pressure = await self.execute_call(
                call, candidate, admission, request, body
            )
            progress.attempt_in_flight = False
            outcome = Outcome.OK
            if isinstance(result, Refusal):
                outcome = OUTCOME_BY_REASON.get(result.reason, Outcome.FAILED)
            fault = (
                isinstance(result, BufferedResponse)
                and result.status == TARGET_ERROR_STATUS
            )
            return result
        except (curio.TaskTimeout, curio.TimeoutCancellationError):
            outcome = Outcome.TIMEOUT
            raise
        finally:
            ended = self.clock.now()
            self.router.record_finish(
                candidate.target_id, ended, outcome, ended - now, pressure, fault
            )

    def build_call(
        self, admission: AdmittedRequest, progress: RequestProgress, now: float
    ) -> Call:
        """Return what the node beside the target is told."""
        return Call(
            admission.caller.attempt_id,
            admission.service,
            admission.route.name,
            round(max(0.0, admission.deadline - now), 4),
            admission.priority,
            admission.account.name if admission.account else "",
            self.settings.service,
            admission.from_target,
            progress.deliveries > 0,
            admission.caused_by_retry,
            admission.route.kind is RouteKind.IDEMPOTENT,
            self.directory.configuration_version,
        )

    async def execute_call(
        self,
        call: Call,
        candidate: Candidate,
        admission: AdmittedRequest,
        request: Request,
        body: bytes,
    ) -> tuple[CallResult, float | None]:
        """Run one try; return its result and the pressure that the answer told."""
        passed = admission.caller.forwarded_headers
        if candidate.address == self.settings.listen.peers:
            result = await self.runner.run(call, request, passed, body)
            reply = self.runner.build_reply(call.route, None)
        else:
            try:
                result, reply = await self.peer_client.call(
                    candidate.address, call, request, passed, body
                )
            except (PeerError, ProtocolError) as error:
                return await self.handle_peer_failure(candidate, error), None
            self.peer_monitor.observe_reply(candidate.address, reply)
        now = self.clock.now()
        self.call_graph.update(call.route, reply.demands)
        self.levels.update(reply.demands, now)
        return result, reply.pressure

    async def handle_peer_failure(
        self, candidate: Candidate, error: PeerError | ProtocolError
    ) -> Refusal:
        """Return the refusal for a call whose link or connection failed."""
        ran = Ran.UNKNOWN
        if isinstance(error, PeerError):
            await self.peer_client.drop_connections(candidate.address, error)
            if not error.maybe_sent:
                ran = Ran.NOT_RUN
                self.peer_monitor.report_unreachable(candidate.address)
        return Refusal(Reason.PEER_FAILED, ran, None, error.step, candidate.address)

    async def refuse(
        self,
        connection: ServerExchange,
        claims: CallerMetadata,
        refusal: Refusal,
        started: float,
    ) -> None:
        """Tell a caller that its request failed or was not run."""
        status = http_status(refusal)
        self.journal.write(
            "refused",
            request=claims.attempt_id,
            status=status,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            step=refusal.step,
            peer=refusal.peer,
            version=self.directory.configuration_version,
            waited=round(self.clock.now() - started, 3),
        )
        headers = [JSON_HEADER]
        if refusal.retry_after is not None and refusal.ran is Ran.NOT_RUN:
            wait = refusal.retry_after * self.rng.uniform(0.8, 1.2)
            headers.append((b"retry-after", f"{wait:.2f}".encode()))
        connection.close_if_body_unread()
        await connection.respond(status, headers, refusal_body(refusal))

    def log_abandoned(
        self, claims: CallerMetadata, progress: RequestProgress, started: float
    ) -> None:
        """Record a request whose caller has gone."""
        self.journal.write(
            "abandoned",
            request=claims.attempt_id,
            ran=progress.ran.value,
            waited=round(self.clock.now() - started, 3),
        )

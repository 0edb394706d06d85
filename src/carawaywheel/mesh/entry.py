"""Requests of clients and calls of the local target, sent on to targets."""

import math
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
from ..stalls import StallDetector
from ..streaming import TruncatedResponseError
from .callgraph import CallGraph
from .configuration import Account, RouteKind
from .execution import TargetRunner
from .journal import Journal
from .messages import Call, CallerMetadata
from .monitor import PeerMonitor
from .peers import PeerClient
from .policy import AdmissionPolicy
from .ratelimiter import RateLimiter
from .replication.directory import Directory
from .requests import AdmittedRequest, RequestProgress, http_status
from .responses import (
    BufferedResponse,
    CallResult,
    StreamedResponse,
    send_response,
)
from .settings import HostSettings
from .shedding import AdmissionLevelTable

STEP = "entry"
# Attempts of one request that may be refused without having run; each costs a round
# trip.
MAX_REFUSALS = 4
RATE_RETRY_SECONDS = 1.0
NO_TARGET_RETRY_SECONDS = 0.5
NOT_READY_RETRY_SECONDS = 1.0
# Response status of a target that failed while it ran a request.
TARGET_ERROR_STATUS = 500

OUTCOME_BY_REASON = {
    Reason.OVERLOAD: Outcome.SHED,
    Reason.QUEUE_FULL: Outcome.SHED,
    Reason.DEADLINE: Outcome.SHED,
    Reason.TARGET_SHED: Outcome.SHED,
    Reason.RETRIES_SPENT: Outcome.SHED,
    Reason.CANCELLED: Outcome.CANCELLED,
}
# Refusals by one target after which another target may be tried.
REROUTABLE_REASONS = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.TARGET_SHED,
        Reason.NO_TARGET,
        Reason.SHUTTING_DOWN,
        Reason.PEER_FAILED,
        Reason.TARGET_FAILED,
        Reason.STALE_NODE,
    }
)


class EntryHandler(RequestHandler):
    """Admits requests and forwards them to the node beside a target."""

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
        stalls: StallDetector,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.stalls = stalls
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

    def may_run_concurrently(self, request: Request) -> bool:
        """Return whether a request is idempotent; see the base class."""
        configuration = self.directory.configuration
        if configuration is None:
            return False
        host = decode_caller_headers(request).host
        route = configuration.find_route(host, request.path)
        return route is not None and route.kind is RouteKind.IDEMPOTENT

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Handle one request; see the base class."""
        started_at = self.clock.now()
        caller = decode_caller_headers(request)
        progress = RequestProgress()
        configuration = self.directory.configuration
        if configuration is None:
            refusal = Refusal(
                Reason.STALE_NODE, Ran.NOT_RUN, NOT_READY_RETRY_SECONDS, STEP
            )
            await self.refuse(connection, caller, refusal, started_at)
            return
        sent_at = started_at - self.stalls.input_age()
        admitted = self.policy.admit(
            configuration, connection.peer, request, caller, sent_at
        )
        if isinstance(admitted, Refusal):
            await self.refuse(connection, caller, admitted, started_at)
            return
        try:
            max_body_bytes = configuration.limits.body_bytes
            result = await self.send_before_deadline(
                connection, admitted, request, max_body_bytes, progress
            )
        except BaseException:
            self.log_abandoned(caller, progress, started_at)
            raise
        if isinstance(result, Refusal):
            if progress.charged and result.ran is Ran.NOT_RUN and admitted.account:
                self.rate_limiter.quotas.refund(admitted.account, self.clock.now())
            await self.refuse(connection, caller, result, started_at)
            return
        await self.deliver(connection, result, admitted, started_at)
        status = (
            result.status
            if isinstance(result, BufferedResponse)
            else result.response.status
        )
        self.journal.count("answered", str(status // 100))
        self.journal.observe(admitted.route.name, self.clock.now() - started_at)
        if status >= 300:
            self.journal.write(
                "failed_answer",
                request=caller.attempt_id,
                status=status,
                route=admitted.route.name,
                service=admitted.service,
                waited=round(self.clock.now() - started_at, 3),
            )

    async def deliver(
        self,
        connection: ServerExchange,
        result: BufferedResponse | StreamedResponse,
        admitted: AdmittedRequest,
        started_at: float,
    ) -> None:
        """Send a response to the caller; a stream ends at the caller's own deadline.

        Raises:
            ProtocolError: If the caller disconnected or the response was truncated.
        """
        if isinstance(result, BufferedResponse):
            await send_response(connection, result, [])
            return
        remaining = admitted.caller.remaining
        if remaining == math.inf:
            remaining = admitted.route.timeout
        try:
            async with curio.timeout_after(
                max(0.0, started_at + remaining - self.clock.now())
            ):
                await send_response(connection, result, [])
        except curio.TaskTimeout as error:
            connection.disconnected = True
            raise TruncatedResponseError(
                "the caller's deadline passed within the response body",
                "forward body",
                connection.peer,
            ) from error

    async def send_before_deadline(
        self,
        connection: ServerExchange,
        admitted: AdmittedRequest,
        request: Request,
        max_body_bytes: int,
        progress: RequestProgress,
    ) -> CallResult:
        """Read and send a request, with retries where safe, until its deadline.

        Args:
            connection: Connection of the caller.
            admitted: The admitted request.
            request: Its head.
            max_body_bytes: Maximum size of the body.
            progress: Progress of the request; updated.
        """
        remaining = admitted.deadline - self.clock.now()
        try:
            async with curio.timeout_after(max(0.0, remaining)):
                return await self.charge_and_send(
                    connection, admitted, request, max_body_bytes, progress
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
                admitted.service,
            )

    async def charge_and_send(
        self,
        connection: ServerExchange,
        admitted: AdmittedRequest,
        request: Request,
        max_body_bytes: int,
        progress: RequestProgress,
    ) -> CallResult:
        """Read the body, charge the account's rate limit and send the request."""
        body = await connection.read_body(max_body_bytes)
        account = admitted.account
        if account is not None:
            charged = await self.rate_limiter.acquire(account)
            if charged is None:
                return Refusal(
                    Reason.STALE_NODE, Ran.NOT_RUN, NOT_READY_RETRY_SECONDS, STEP
                )
            if not charged:
                self.log_over_rate(admitted, account)
                return Refusal(
                    Reason.RATE_EXCEEDED,
                    Ran.NOT_RUN,
                    RATE_RETRY_SECONDS,
                    STEP,
                    account.name,
                )
            progress.charged = True
        return await self.send_with_retries(admitted, request, body, progress)

    def log_over_rate(self, admitted: AdmittedRequest, account: Account) -> None:
        """Log the state of the rate limiter for a request over its account's rate."""
        now = self.clock.now()
        cache = self.rate_limiter.quotas.token_cache(account, now)
        self.journal.write(
            "over_rate",
            request=admitted.caller.attempt_id,
            account=account.name,
            rate=account.rate,
            burst=account.burst,
            blocked=round(cache.blocked_until - now, 3),
            demand=round(cache.demand, 1),
            home=self.rate_limiter.quotas.owner(cache.slot),
            nodes=len(self.rate_limiter.quotas.nodes),
        )

    async def send_with_retries(
        self,
        admitted: AdmittedRequest,
        request: Request,
        body: bytes,
        progress: RequestProgress,
    ) -> CallResult:
        """Try targets until one responds or no further attempt is allowed."""
        tried_ids: list[str] = []
        refusal_count = 0
        last_refusal: Refusal | None = None
        error_response: BufferedResponse | None = None
        while True:
            result = await self.send_attempt(
                admitted, request, body, progress, tried_ids
            )
            if not isinstance(result, Refusal):
                if error_response is not None or not self.may_retry_failure(
                    admitted, result
                ):
                    return result
                assert isinstance(result, BufferedResponse)
                error_response = result
                progress.executions += 1
                progress.deliveries += 1
                if progress.executions >= admitted.route.max_attempts:
                    return error_response
                self.journal.count("failure_repeated", admitted.service)
                continue
            if error_response is not None:
                return error_response
            if last_refusal is not None and result.step == "routing":
                return last_refusal._replace(ran=progress.ran)
            last_refusal = result
            if result.ran is Ran.UNKNOWN:
                progress.executions += 1
                progress.deliveries += 1
            else:
                refusal_count += 1
                progress.deliveries += result.reason is Reason.TARGET_SHED
            if not self.may_retry_refusal(admitted, result, progress, refusal_count):
                return result._replace(ran=progress.ran)
            self.journal.write(
                "repeat",
                request=admitted.caller.attempt_id,
                reason=result.reason.value,
                ran=result.ran.value,
                peer=result.peer,
                step=result.step,
            )

    def may_retry_failure(self, admitted: AdmittedRequest, result: CallResult) -> bool:
        """Return whether a response with an error may be retried at another target.

        The error of a target that makes no calls is its own. A target that calls other
        services most likely passes on an error from downstream, and retries would
        multiply the calls that fail there.
        """
        if (
            not isinstance(result, BufferedResponse)
            or result.status != TARGET_ERROR_STATUS
        ):
            return False
        demands = self.call_graph.demands.get(admitted.route.name, {})
        leaf = all(service == admitted.service for service in demands)
        return leaf and admitted.route.kind is RouteKind.IDEMPOTENT

    def may_retry_refusal(
        self,
        admitted: AdmittedRequest,
        refusal: Refusal,
        progress: RequestProgress,
        refusal_count: int,
    ) -> bool:
        """Return whether a refused request may be retried at another target."""
        if refusal.reason not in REROUTABLE_REASONS or refusal_count >= MAX_REFUSALS:
            return False
        if refusal.step == "routing":
            return False
        if progress.executions and admitted.route.kind is not RouteKind.IDEMPOTENT:
            return False
        return progress.executions < admitted.route.max_attempts

    async def send_attempt(
        self,
        admitted: AdmittedRequest,
        request: Request,
        body: bytes,
        progress: RequestProgress,
        tried_ids: list[str],
    ) -> CallResult:
        """Send a request once, to a target that was not tried yet if there is one."""
        now = self.clock.now()
        candidate = self.router.choose(admitted.service, now, tried_ids)
        if isinstance(candidate, Refusal) and progress.executions:
            # A lost response says little about its target, which may be tried again.
            candidate = self.router.choose(admitted.service, now)
        if isinstance(candidate, Refusal):
            return candidate._replace(retry_after=NO_TARGET_RETRY_SECONDS)
        tried_ids.append(candidate.target_id)
        call = self.build_call(admitted, progress, now)
        self.router.record_start(candidate.target_id, now)
        outcome, pressure, server_error = Outcome.CANCELLED, None, False
        progress.attempt_in_flight = True
        try:
            result, pressure = await self.execute_call(
                call, candidate, admitted, request, body
            )
            progress.attempt_in_flight = False
            outcome = Outcome.OK
            if isinstance(result, Refusal):
                outcome = OUTCOME_BY_REASON.get(result.reason, Outcome.FAILED)
            server_error = (
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
                candidate.target_id, ended, outcome, ended - now, pressure, server_error
            )

    def build_call(
        self, admitted: AdmittedRequest, progress: RequestProgress, now: float
    ) -> Call:
        """Return the call metadata for the node beside the target."""
        return Call(
            admitted.caller.attempt_id,
            admitted.service,
            admitted.route.name,
            round(max(0.0, admitted.deadline - now), 4),
            admitted.priority,
            admitted.account.name if admitted.account else "",
            self.settings.service,
            admitted.from_target,
            progress.deliveries > 0,
            admitted.caused_by_retry,
            admitted.route.kind is RouteKind.IDEMPOTENT,
            self.directory.configuration_version,
        )

    async def execute_call(
        self,
        call: Call,
        candidate: Candidate,
        admitted: AdmittedRequest,
        request: Request,
        body: bytes,
    ) -> tuple[CallResult, float | None]:
        """Execute one attempt.

        Returns:
            The result, and the pressure in the reply; None if no reply arrived.
        """
        forwarded_headers = admitted.caller.forwarded_headers
        if candidate.address == self.settings.listen.peers:
            result = await self.runner.run(call, request, forwarded_headers, body)
            reply = self.runner.build_reply(call.route, None)
        else:
            try:
                result, reply = await self.peer_client.call(
                    candidate.address, call, request, forwarded_headers, body
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
        caller: CallerMetadata,
        refusal: Refusal,
        started_at: float,
    ) -> None:
        """Respond to a caller whose request failed or was refused."""
        status = http_status(refusal)
        self.journal.write(
            "refused",
            request=caller.attempt_id,
            status=status,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            step=refusal.step,
            peer=refusal.peer,
            version=self.directory.configuration_version,
            waited=round(self.clock.now() - started_at, 3),
        )
        headers = [JSON_HEADER]
        if refusal.retry_after is not None and refusal.ran is Ran.NOT_RUN:
            retry_after = refusal.retry_after * self.rng.uniform(0.8, 1.2)
            headers.append((b"retry-after", f"{retry_after:.2f}".encode()))
        connection.close_if_body_unread()
        await connection.respond(status, headers, refusal_body(refusal))

    def log_abandoned(
        self, caller: CallerMetadata, progress: RequestProgress, started_at: float
    ) -> None:
        """Log a request that was abandoned before its response, as by a disconnect."""
        self.journal.write(
            "abandoned",
            request=caller.attempt_id,
            ran=progress.ran.value,
            waited=round(self.clock.now() - started_at, 3),
        )

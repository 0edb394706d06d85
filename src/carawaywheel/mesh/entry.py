"""Requests of clients and calls of the local target: admission and responses."""

import math
import random

import curio

from ..clock import Clock
from ..http import Request
from ..listener import RequestHandler
from ..platform.headers import decode_caller_headers
from ..refusals import Ran, Reason, Refusal
from ..serverexchange import JSON_HEADER, ServerExchange, refusal_body
from ..stalls import StallDetector
from ..streaming import TruncatedResponseError
from ..timeouts import Timeout
from .callgraph import CallGraph
from .configuration import Account
from .execution import TargetRunner
from .journal import Journal
from .messages import CallerMetadata
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
from .sender import NO_TARGET_RETRY_SECONDS, RequestSender, shutdown_refusal
from .settings import HostSettings
from .shedding import AdmissionLevelTable

STEP = "entry"
RATE_RETRY_SECONDS = 1.0
NOT_READY_RETRY_SECONDS = 1.0


class EntryHandler(RequestHandler):
    """Admits requests and forwards them to the node beside a target.

    Attributes:
        refusing: Whether the process is about to stop and takes no new requests.
        cutting_off: Whether the process is about to exit and cancels what still runs.
    """

    def __init__(
        self,
        settings: HostSettings,
        directory: Directory,
        sender: RequestSender,
        runner: TargetRunner,
        rate_limiter: RateLimiter,
        call_graph: CallGraph,
        levels: AdmissionLevelTable,
        journal: Journal,
        clock: Clock,
        stalls: StallDetector,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.stalls = stalls
        self.directory = directory
        self.sender = sender
        self.runner = runner
        self.rate_limiter = rate_limiter
        self.journal = journal
        self.clock = clock
        self.rng = rng
        self.refusing = False
        self.cutting_off = False
        self.policy = AdmissionPolicy(
            settings, runner.fanout, call_graph, levels, journal
        )

    def may_run_concurrently(self, request: Request) -> bool:
        """Return whether a request may repeat; see the base class."""
        configuration = self.directory.configuration
        if configuration is None:
            return False
        host = decode_caller_headers(request).host
        route = configuration.find_route(host, request.path)
        return route is not None and route.kind.may_repeat

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
        if isinstance(admitted, AdmittedRequest):
            admitted = self.check_intake(admitted) or admitted
        if isinstance(admitted, Refusal):
            await self.refuse(connection, caller, admitted, started_at)
            return
        try:
            max_body_bytes = configuration.limits.body_bytes
            result = await self.send_before_deadline(
                connection, admitted, request, max_body_bytes, progress
            )
        except BaseException as error:
            if not self.is_cut_off_before_it_ran(error, progress):
                self.log_abandoned(caller, progress, started_at)
                raise
            result = shutdown_refusal()
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

    def is_cut_off_before_it_ran(
        self, error: BaseException, progress: RequestProgress
    ) -> bool:
        """Return whether the exit of the process cancels a request that did not run."""
        return (
            self.cutting_off
            and isinstance(error, curio.CancelledError)
            and progress.ran is Ran.NOT_RUN
        )

    def check_intake(self, admitted: AdmittedRequest) -> Refusal | None:
        """Refuse a request if the process is about to stop.

        A call of the local target is served while a request for which it may be made is
        in flight there.
        """
        is_needed = admitted.from_target and self.runner.active_calls > 0
        if not self.refusing or (is_needed and not self.cutting_off):
            return None
        return shutdown_refusal()

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
            task = connection.task or await curio.current_task()
            async with Timeout(max(0.0, remaining), task):
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
        refusal = self.check_intake(admitted)
        if refusal is not None:
            return refusal
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
        return await self.sender.send_with_retries(admitted, request, body, progress)

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
        """Log a request that ends without a response, as by a disconnect."""
        self.journal.write(
            "cut_off" if self.cutting_off else "abandoned",
            request=caller.attempt_id,
            ran=progress.ran.value,
            waited=round(self.clock.now() - started_at, 3),
        )

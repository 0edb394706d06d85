"""Sending of admitted requests to targets, with retries where they are safe."""

import curio

from ..clock import Clock
from ..errors import PeerError, ProtocolError
from ..http import Request
from ..platform.headers import decode_rate_limit
from ..refusals import Outcome, Ran, Reason, Refusal
from ..routing import Candidate, Router
from ..sockets import split_address
from .callgraph import CallGraph
from .execution import TargetRunner
from .journal import Journal
from .messages import Call
from .monitor import PeerMonitor
from .peers import PeerClient
from .quarantine import Quarantine, request_fingerprint
from .replication.directory import Directory
from .requests import AdmittedRequest, RequestProgress
from .responses import BufferedResponse, CallResult, StreamedResponse
from .settings import HostSettings
from .shedding import AdmissionLevelTable
from .targetrate import RememberedRates
from .warmupshare import WarmupReport

# Attempts of one request that may be refused without having run; each costs a round
# trip.
MAX_REFUSALS = 4
# Retry-After of a request for which no target is known.
NO_TARGET_RETRY_SECONDS = 0.5
# Retry-After of a request that is refused as the node shuts down. A process that
# refuses new requests mostly ends the others at once, and is started again within a
# second of its exit.
STOPPING_RETRY_SECONDS = 1.5
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


class RequestSender:
    """Chooses targets for admitted requests and sends them to the nodes beside them.

    Attributes:
        target_rates: Rate limits that the targets beside other nodes have stated.
        refusing_waiting: Whether the node is about to exit and begins no more attempts.
    """

    def __init__(
        self,
        settings: HostSettings,
        directory: Directory,
        router: Router,
        runner: TargetRunner,
        call_graph: CallGraph,
        levels: AdmissionLevelTable,
        peer_monitor: PeerMonitor,
        quarantine: Quarantine,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.quarantine = quarantine
        self.directory = directory
        self.router = router
        self.runner = runner
        self.call_graph = call_graph
        self.levels = levels
        self.peer_monitor = peer_monitor
        self.journal = journal
        self.clock = clock
        self.target_rates = RememberedRates()
        self.refusing_waiting = False
        self.peer_client = PeerClient(split_address(settings.listen.links)[1])

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
            refusal = self.check_attempt(admitted, request, body)
            if refusal is not None:
                return error_response or refusal._replace(ran=progress.ran)
            is_last = refusal_count >= MAX_REFUSALS - 1
            result = await self.send_attempt(
                admitted, request, body, progress, tried_ids, is_last
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
                final = shutdown_refusal() if self.refusing_waiting else result
                return final._replace(ran=progress.ran)
            self.journal.write(
                "repeat",
                request=admitted.caller.attempt_id,
                reason=result.reason.value,
                ran=result.ran.value,
                peer=result.peer,
                step=result.step,
            )

    async def refuse_waiting(self) -> None:
        """Refuse the requests that no target has begun, as the node is about to exit.

        The nodes beside the targets confirm that they have not begun.
        """
        self.refusing_waiting = True
        await self.peer_client.cancel_waiting()

    def check_attempt(
        self, admitted: AdmittedRequest, request: Request, body: bytes
    ) -> Refusal | None:
        """Refuse an attempt as the node shuts down, or since targets ended under it."""
        if self.refusing_waiting:
            return shutdown_refusal()
        if not self.quarantine.suspects:
            return None
        account = admitted.account.name if admitted.account else ""
        fingerprint = request_fingerprint(admitted.route.name, account, request, body)
        return self.quarantine.check(fingerprint, self.clock.now())

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
        return leaf and admitted.route.kind.may_repeat

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
        if self.refusing_waiting:
            return False
        if refusal.step == "routing":
            return False
        if progress.executions and not admitted.route.kind.may_repeat:
            return False
        return progress.executions < admitted.route.max_attempts

    async def send_attempt(
        self,
        admitted: AdmittedRequest,
        request: Request,
        body: bytes,
        progress: RequestProgress,
        tried_ids: list[str],
        is_last: bool,
    ) -> CallResult:
        """Send a request once, to a target that was not tried yet if there is one.

        Args:
            admitted: The request.
            request: Method and path.
            body: Complete body.
            progress: Its progress.
            tried_ids: Targets that were tried; the chosen one is added.
            is_last: Whether no further attempt follows a refusal.
        """
        now = self.clock.now()
        candidate = self.router.choose(admitted.service, now, tried_ids)
        if isinstance(candidate, Refusal) and progress.executions:
            # A lost response says little about its target, which may be tried again.
            candidate = self.router.choose(admitted.service, now)
        if isinstance(candidate, Refusal):
            return candidate._replace(retry_after=NO_TARGET_RETRY_SECONDS)
        tried_ids.append(candidate.target_id)
        call = self.build_call(admitted, progress, now)
        may_wait = is_last or not self.router.has_warm_target(
            admitted.service, now, tried_ids
        )
        self.router.record_start(candidate.target_id, now)
        outcome, pressure, server_error = Outcome.CANCELLED, None, False
        progress.attempt_in_flight = True
        try:
            result, pressure = await self.execute_call(
                call, candidate, admitted, request, body, may_wait
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
            admitted.route.kind.may_repeat,
            self.directory.configuration_version,
        )

    async def execute_call(
        self,
        call: Call,
        candidate: Candidate,
        admitted: AdmittedRequest,
        request: Request,
        body: bytes,
        may_wait: bool,
    ) -> tuple[CallResult, float | None]:
        """Execute one attempt.

        Args:
            call: Metadata of the call.
            candidate: Target of the attempt.
            admitted: The request.
            request: Method and path.
            body: Complete body.
            may_wait: Whether the call may wait for a cold target until its deadline,
                since no other target would get it.

        Returns:
            The result, and the pressure in the reply; None if no reply arrived.
        """
        forwarded_headers = admitted.caller.forwarded_headers
        if candidate.address == self.settings.listen.peers:
            result = await self.runner.run(
                call, request, forwarded_headers, body, may_wait=may_wait
            )
            reply = self.runner.build_reply(call.route, None)
            warmup = self.runner.warmup_report()
        else:
            try:
                result, reply, warmup = await self.peer_client.call(
                    candidate.address,
                    call,
                    request,
                    forwarded_headers,
                    body,
                    self.target_rates.rate(candidate.address, self.clock.now()),
                    may_wait,
                )
            except (PeerError, ProtocolError) as error:
                return await self.handle_peer_failure(candidate, error), None
            self.peer_monitor.observe_reply(candidate.address, reply)
            self.remember_rate(candidate.address, result)
        now = self.clock.now()
        self.call_graph.update(call.route, reply.demands)
        self.levels.update(reply.demands, now)
        self.observe_warmup(candidate, warmup, now)
        return result, reply.pressure

    def observe_warmup(
        self, candidate: Candidate, warmup: WarmupReport, now: float
    ) -> None:
        """Pass on whether a target is cold, and the share that it is to be sent."""
        if not warmup.is_valid:
            self.journal.count("warmup_report_invalid")
            return
        until = now + warmup.remaining
        self.router.set_cold(candidate.target_id, until, warmup.share, now)

    def remember_rate(self, address: str, result: CallResult) -> None:
        """Note the rate limit that the response of a target states."""
        if isinstance(result, Refusal):
            return
        if isinstance(result, StreamedResponse):
            rate = decode_rate_limit(result.response.headers)
        else:
            rate = decode_rate_limit(result.headers)
        self.target_rates.record_response(address, rate, self.clock.now())

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


def shutdown_refusal() -> Refusal:
    """Return the refusal of a request that did not run before the node shuts down."""
    return Refusal(Reason.SHUTTING_DOWN, Ran.NOT_RUN, STOPPING_RETRY_SECONDS, "entry")

"""Admission of calls to the local target, and their execution there."""

import itertools
import random
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from ..admission import AdmissionQueue
from ..clock import Clock
from ..errors import PeerError
from ..executor import AdmissionGate
from ..fairness import Ticket
from ..http import Request
from ..limits import FixedLimit
from ..platform.headers import (
    encode_target_headers,
)
from ..pool import ClientConnection, Response
from ..refusals import Importance, Outcome, Ran, Reason, Refusal
from ..retries import RetryBudget
from ..settings import AdmissionSettings, RetrySettings
from ..stalls import StallDetector
from ..ticks import sleep_until_tick
from .callgraph import CallGraph, FanoutEstimator
from .configuration import Service
from .crashes import CrashDetector
from .crashreports import CrashReporter
from .healthchecks import HealthChecker
from .journal import Journal
from .messages import (
    Call,
    CallReply,
    ServiceDemand,
    TargetRequestMetadata,
    TargetResponseMetadata,
)
from .rateenforcer import RateEnforcer
from .receiving import ResponseReceiver
from .requests import CallProgress
from .responses import BufferedResponse, CallResult, StreamedResponse, buffer_response
from .settings import CONNECT_TIMEOUT_SECONDS, HostSettings
from .shedding import AdmissionLevel, AdmissionLevelTable, offered_load
from .target import Heartbeat, LocalTarget, Phase
from .targetconnections import TargetConnections
from .targetload import TargetLoad
from .warmup import WarmupLimit
from .warmupenforcer import MAX_REROUTED_WAIT_SECONDS, WarmupEnforcer
from .warmupenforcer import STEP as WARMUP_STEP
from .warmupshare import WarmupReport, WarmupShare

BODY_METHODS = ("POST", "PUT", "PATCH")
SUCCESS_STATUSES = range(200, 300)
# Share of its slots that a target is given work for; targets slow down when nearly
# all of them are in use.
USABLE_SLOT_SHARE = 0.94
# Retry-After of a refusal without execution.
RETRY_AFTER_SECONDS = 0.3
# Time for which a target that refused a connection gets no calls. Other nodes probe at
# about this interval whether it accepts calls again.
UNREACHABLE_COOLDOWN_SECONDS = 0.4
QUEUE_POLL_SECONDS = 0.01
IDLE_POLL_SECONDS = 0.05
# Least time between updates of the admission level. Below the time between two polls,
# which may wake a few milliseconds early or late.
MIN_UPDATE_SECONDS = 0.045
# Weight of one response in the moving average: it takes about 20 responses to tell a
# target that sheds load from a single rejection.
ACCEPT_RATIO_SMOOTHING = 0.05
# Share of the retry slack that nodes use, since their counts of targets lag a little.
USED_RETRY_SLACK_SHARE = 0.7


class TargetRunner:
    """Admits calls to the local target and executes them.

    Attributes:
        target: The local target.
        gate: Admission gate of its current incarnation; None before that is known.
        rate_enforcer: Enforces the rate limit that this incarnation states.
        warmup_enforcer: Paces the requests while the target is cold.
        warmup: Its request limit.
        replaced_gates: Gates of former incarnations in which calls still wait.
        target_load: What the responses of this incarnation tell of its speed.
        level: Admission level of the target.
        evacuated: Whether the failure domain is evacuated and the target gets no calls.
        shutting_down: Whether the node shuts down and admits no more calls.
        refusing_waiting: Whether the node is about to exit, so that calls that still
            wait must not begin.
        active_calls: Calls that wait or run.
        unreachable_until: Local time until which the target gets no calls, in seconds.
        accept_ratio: Moving average of the share of calls that are accepted, by the
            queue and by the target.
        on_target_changed: Awaited when a response has changed the phase of the target.
        offered_calls: Calls that requested a slot since the last update of the level.
        offered_target_calls: Those of them that targets made for other requests.
        offered_cold_calls: Those of them that may wait for a cold target.
        rerouted_since: Calls that wait and that another target may take at once: time
            of their arrival in seconds, by ticket id.
        awaits_configuration: Whether no configuration is known yet, and with it neither
            the limit of a cold target nor the evacuations. A target that may have any
            gets no calls until then.
        health_checker: Sends health checks while the state of the target is assumed.
        warmup_share: Share of requests that the target is to be sent while it is cold.
    """

    def __init__(
        self,
        settings: HostSettings,
        target: LocalTarget,
        call_graph: CallGraph,
        levels: AdmissionLevelTable,
        journal: Journal,
        clock: Clock,
        stalls: StallDetector,
        rng: random.Random,
        on_target_changed: Callable[[], Awaitable[None]],
        crash_reporter: CrashReporter,
    ) -> None:
        self.settings = settings
        self.on_target_changed = on_target_changed
        self.stalls = stalls
        self.target = target
        self.call_graph = call_graph
        self.levels = levels
        self.journal = journal
        self.clock = clock
        self.rng = rng
        self.warmup_enforcer = WarmupEnforcer(settings, journal, clock)
        self.warmup: WarmupLimit = self.warmup_enforcer.limit
        target.on_heartbeat = self.warmup_enforcer.receive_heartbeat
        self.service: Service | None = None
        self.pool = TargetConnections(CONNECT_TIMEOUT_SECONDS, self.warmup_enforcer)
        self.crashes = CrashDetector(target, self.pool, crash_reporter)
        self.receiver = ResponseReceiver(journal)
        self.fanout = FanoutEstimator()
        self.level = AdmissionLevel(1.0)
        self.gate: AdmissionGate | None = None
        self.replaced_gates: list[AdmissionGate] = []
        self.rate_enforcer = RateEnforcer(journal, clock)
        self.target_load = TargetLoad()
        self.incarnation: tuple[str, int] | None = None
        self.evacuated = False
        self.shutting_down = False
        self.refusing_waiting = False
        self.active_calls = 0
        self.unreachable_until = 0.0
        self.accept_ratio = 1.0
        self.offered_calls = 0
        self.offered_target_calls = 0
        self.offered_cold_calls = 0
        self.rerouted_since: dict[str, float] = {}
        self.awaits_configuration = False
        self.health_checker = HealthChecker(self)
        self.level_updated_at = clock.now()
        self.warmup_share = WarmupShare(clock.now())
        self.configuration_version = 0
        self.ticket_ids = itertools.count()
        self.share_retries(1, 0)

    def configure(self, settings: HostSettings, service: Service | None) -> None:
        """Apply the settings of the node and of the service of its target.

        Args:
            settings: Settings of the node.
            service: The service; None if the configuration does not name it.
        """
        self.awaits_configuration = False
        self.settings = settings
        self.service = service
        self.warmup_enforcer.configure(settings, service)

    def assume_cold(self, reason: str) -> None:
        """Treat the target as cold until it is known not to be, or has warmed up.

        Args:
            reason: The event, for the log.
        """
        self.warmup_enforcer.assume_cold(reason)

    def share_retries(self, count: int, index: int) -> None:
        """Size the retry budget for one of the targets of the service.

        Args:
            count: Number of the targets.
            index: Index of the local one in an order that all nodes share.
        """
        bounds = self.settings.bounds
        slack = int(USED_RETRY_SLACK_SHARE * bounds.retry_slack)
        retry_floor = equal_part(slack, count, index)
        settings = RetrySettings(
            service_share=bounds.retry_ratio,
            service_window=bounds.retry_window,
            service_floor=retry_floor,
        )
        existing = getattr(self, "retry_budget", None)
        if existing is None:
            self.retry_budget = RetryBudget(settings)
        else:
            existing.settings = settings

    def current_gate(self) -> AdmissionGate | None:
        """Return the current incarnation's gate, or None if it accepts no calls."""
        heartbeat = self.target.heartbeat
        if (
            heartbeat is None
            or heartbeat.phase is not Phase.READY
            or self.shutting_down
        ):
            return None
        if self.clock.now() < self.unreachable_until:
            return None
        if self.awaits_configuration and self.settings.bounds.restricts_targets:
            return None
        incarnation = (heartbeat.target_id, heartbeat.incarnation)
        if self.gate is None or self.incarnation != incarnation:
            self.incarnation = incarnation
            limit = FixedLimit(max(1, int(heartbeat.slots * USABLE_SLOT_SHARE)))
            # One queue for all accounts, because calls of targets belong to no account.
            queue = AdmissionQueue(
                AdmissionSettings(fair=False),
                limit,
                heartbeat.slots,
                self.rng,
                pacing=self.warmup_enforcer,
            )
            if self.gate is not None:
                self.rate_enforcer.start_incarnation()
                self.replaced_gates.append(self.gate)
                self.target_load = TargetLoad()
            self.gate = AdmissionGate(self.target, queue, self.clock)  # type: ignore[arg-type]
        return self.gate

    async def run(
        self,
        call: Call,
        request: Request,
        forwarded_headers: Any,
        body: bytes,
        remembered_rate: float | None = None,
        may_wait: bool = True,
        progress: CallProgress | None = None,
    ) -> CallResult:
        """Execute a call, or refuse it.

        Args:
            call: Metadata of the call.
            request: Method and path.
            forwarded_headers: Headers to forward to the target.
            body: Complete body.
            remembered_rate: Rate limit of the target that the calling node remembers;
                None if it remembers none.
            may_wait: Whether the call may wait until a cold target takes it. Otherwise
                another target may have capacity for it at once.
            progress: Progress of the call; updated.
        """
        progress = progress or CallProgress()
        refusal = self.check_call(call) or self.crashes.check_quarantine(
            call, request, body, self.clock.now()
        )
        if refusal is not None:
            return refusal
        gate = self.current_gate()
        if gate is None:
            return Refusal(Reason.NO_TARGET, Ran.NOT_RUN, None, "target")
        now = self.clock.now()
        deadline = now + call.remaining - self.stalls.input_age()
        if deadline <= now:
            return Refusal(Reason.STALE_NODE, Ran.NOT_RUN, None, "target")
        ticket = Ticket(
            str(next(self.ticket_ids)), call.account, queue_importance(call), deadline
        )
        self.active_calls += 1
        self.warmup_share.record_arrival()
        is_cold = self.warmup.is_cold(now)
        if may_wait or not is_cold:
            self.offered_calls += 1
            self.offered_target_calls += call.from_target
            self.offered_cold_calls += is_cold
        try:
            refusal = self.rate_enforcer.check(ticket.importance, remembered_rate)
            if refusal is None and may_wait and not is_cold:
                refusal = await gate.acquire(ticket)
            elif refusal is None:
                refusal = await self.acquire_slot(gate, ticket, may_wait)
            if refusal is not None:
                if refusal.step == WARMUP_STEP:
                    return refusal
                if call.from_target:
                    # Clients' requests of a low priority wait behind these calls, so
                    # that refusing them says nothing about the calls.
                    self.record_acceptance(False)
                return refusal
            return await self.run_admitted(
                call, gate, ticket, request, forwarded_headers, body, may_wait, progress
            )
        finally:
            self.active_calls -= 1

    async def acquire_slot(
        self, gate: AdmissionGate, ticket: Ticket, may_wait: bool
    ) -> Refusal | None:
        """Wait until a call holds a slot; see ``AdmissionGate.acquire``."""
        enforcer = self.warmup_enforcer
        now = self.clock.now()
        limited = enforcer.free(now) <= 0
        if not may_wait:
            # An assumed state may end with the health check that a waiting call causes.
            if limited and not enforcer.health_check_due:
                if gate.queue.expected_wait(ticket, now) > MAX_REROUTED_WAIT_SECONDS:
                    return enforcer.refuse(now)
            self.rerouted_since[ticket.request_id] = now
        try:
            refusal = await gate.acquire(ticket)
        finally:
            self.rerouted_since.pop(ticket.request_id, None)
        if limited and refusal is None:
            self.journal.count("warmup_waited")
        return refusal

    def check_call(self, call: Call) -> Refusal | None:
        """Refuse a call that no target can run or that exceeds the retry budget."""
        if call.service != self.settings.service or self.current_gate() is None:
            if self.shutting_down:
                return shutdown_refusal()
            return Refusal(Reason.NO_TARGET, Ran.NOT_RUN, RETRY_AFTER_SECONDS, "target")
        if self.evacuated:
            return self.evacuation_refusal()
        now = self.clock.now()
        if not call.from_target:
            self.retry_budget.record_first_attempt(now)
        if call.caused_by_retry:
            self.retry_budget.record_retry(now)
        if call.is_retry and not self.retry_budget.try_retry(now):
            return Refusal(Reason.RETRIES_SPENT, Ran.NOT_RUN, None, "target")
        return None

    def evacuation_refusal(self) -> Refusal:
        """Return the refusal of a call while the failure domain is evacuated."""
        return Refusal(Reason.NO_TARGET, Ran.NOT_RUN, RETRY_AFTER_SECONDS, "evacuation")

    def on_evacuation_changed(self, active: bool) -> None:
        """Stop to send calls to the target, or begin again."""
        self.evacuated = active
        if not active:
            self.assume_cold("evacuation ended")

    async def refuse_waiting(self) -> None:
        """Refuse the calls that have not begun, as the node is about to exit."""
        self.refusing_waiting = True
        gates = [*self.replaced_gates, self.gate]
        for gate in filter(None, gates):
            await gate.refuse_waiting(shutdown_refusal())

    async def run_admitted(
        self,
        call: Call,
        gate: AdmissionGate,
        ticket: Ticket,
        request: Request,
        forwarded_headers: Any,
        body: bytes,
        may_wait: bool,
        progress: CallProgress,
    ) -> CallResult:
        """Execute a call that holds a slot, and release the slot at its end."""
        started_at = self.clock.now()
        outcome = Outcome.CANCELLED
        is_streamed = False

        async def release_slot(complete: bool) -> None:
            stream_outcome = Outcome.OK if complete else Outcome.FAILED
            await gate.release(
                ticket.request_id, stream_outcome, self.clock.now() - started_at
            )

        try:
            result = await self.send_to_target(
                call,
                ticket,
                request,
                forwarded_headers,
                body,
                release_slot,
                may_wait,
                progress,
            )
            is_streamed = isinstance(result, StreamedResponse)
            outcome = Outcome.OK
            if isinstance(result, Refusal):
                shed = result.reason in (Reason.TARGET_SHED, Reason.QUEUE_FULL)
                outcome = Outcome.SHED if shed else Outcome.FAILED
            return result
        finally:
            if not is_streamed:
                latency = self.clock.now() - started_at
                await gate.release(ticket.request_id, outcome, latency)

    async def send_to_target(
        self,
        call: Call,
        ticket: Ticket,
        request: Request,
        forwarded_headers: Any,
        body: bytes,
        release_slot: Any,
        may_wait: bool,
        progress: CallProgress,
    ) -> CallResult:
        """Send a call to the target and read its response."""
        peer = self.target.address
        refusal = self.check_target(ticket, self.clock.now())
        refusal = refusal or self.rate_enforcer.take(ticket.importance)
        if refusal is not None:
            return refusal
        connection = await self.connect(ticket, may_wait, self.warmup_enforcer.take)
        if isinstance(connection, Refusal):
            return connection
        sent_at = self.warmup.log[-1]
        heartbeat = self.target.heartbeat
        assert heartbeat is not None
        body_length = len(body) if body or request.method in BODY_METHODS else None
        remaining = max(0.0, ticket.deadline - self.clock.now())
        headers = encode_target_headers(
            TargetRequestMetadata(
                forwarded_headers,
                remaining,
                heartbeat.target_id,
                call.origin,
                call.account,
                body_length,
            )
        )
        self.fanout.record_request(call.route, call.is_retry or call.caused_by_retry)
        number = self.crashes.begin(call, request, body, heartbeat)
        responded = False
        progress.begun = True
        try:
            await connection.send(request.method, request.target, headers, body)
            response, metadata = await self.receiver.receive_response(call, connection)
            self.warmup_enforcer.record_response()
            if metadata.wrong_target:
                self.warmup.forget_send(sent_at)
            self.record_load(metadata, sent_at)
            await self.apply_target_state(call, heartbeat, metadata)
            result = await self.read_response(
                connection, response, metadata, release_slot
            )
            responded = not isinstance(result, Refusal)
            return result
        except PeerError as error:
            self.warmup_enforcer.record_failure()
            await self.pool.discard(connection)
            await self.pool.close_idle(peer)
            await self.crashes.check(heartbeat)
            return Refusal(Reason.TARGET_FAILED, Ran.UNKNOWN, None, error.step, peer)
        except BaseException:
            # The caller has given up, since no response came in time.
            self.warmup_enforcer.record_failure()
            await self.pool.discard(connection)
            raise
        finally:
            await self.crashes.end(number, responded)

    def check_target(self, ticket: Ticket, now: float) -> Refusal | None:
        """Refuse an admitted call that the target does not take any more."""
        if self.refusing_waiting:
            return shutdown_refusal()
        peer = self.target.address
        heartbeat = self.target.heartbeat
        if heartbeat is None or heartbeat.phase is not Phase.READY:
            # While the call waited, the target began to drain or another one took over
            # its address.
            return Refusal(Reason.NO_TARGET, Ran.NOT_RUN, None, "target", peer)
        if ticket.deadline <= now:
            # The process may have stood still since the call was admitted.
            return Refusal(Reason.DEADLINE, Ran.NOT_RUN, None, "target", peer)
        return self.evacuation_refusal() if self.evacuated else None

    async def connect(
        self, ticket: Ticket, may_wait: bool, take: Callable[[str, float], bool]
    ) -> ClientConnection | Refusal:
        """Return a connection on which an admitted call is sent next, or a refusal.

        The call is counted towards the limit of a cold target as the last step, since
        opening the connection takes time and may show that the target has restarted.

        Args:
            ticket: Ticket of the call.
            may_wait: Whether it may wait until a cold target takes it.
            take: Counts the call, or returns False if it is over the limit.
        """
        enforcer = self.warmup_enforcer
        latest = ticket.deadline
        if not may_wait:
            latest = min(latest, self.clock.now() + MAX_REROUTED_WAIT_SECONDS)
        while True:
            try:
                connection = await self.pool.acquire(self.target.address)
            except PeerError as error:
                self.mark_unreachable(error)
                return Refusal(
                    Reason.TARGET_FAILED, Ran.NOT_RUN, None, error.step, error.peer
                )
            try:
                # A cancellation of a task that is ready to run is held back until it
                # waits again, which the call would do after it has begun.
                await curio.check_cancellation()
            except curio.CancelledError:
                await self.pool.release(connection)
                raise
            now = self.clock.now()
            refusal = self.check_target(ticket, now)
            if refusal is None and take(ticket.request_id, now):
                return connection
            await self.pool.release(connection)
            if refusal is not None:
                return refusal
            wait = max(QUEUE_POLL_SECONDS, self.warmup.wait(1, now))
            if enforcer.health_check_due:
                wait = QUEUE_POLL_SECONDS
            if now + wait > latest:
                return enforcer.refuse(now)
            await curio.sleep(wait)

    def mark_unreachable(self, error: PeerError) -> None:
        """Refuse calls for a while after the target refused a connection."""
        now = self.clock.now()
        if now >= self.unreachable_until:
            self.journal.write(
                "target_unreachable", peer=error.peer, step=error.step, error=str(error)
            )
        self.unreachable_until = now + UNREACHABLE_COOLDOWN_SECONDS

    async def read_response(
        self,
        connection: ClientConnection,
        response: Response,
        metadata: TargetResponseMetadata,
        release_slot: Any,
    ) -> CallResult:
        """Check a response and buffer it, or stream it if it is large.

        Raises:
            PeerError: If the response is truncated or lacks its digest.
        """
        if metadata.wrong_target:
            self.target.heartbeat = None
        if not metadata.wrong_target:
            self.record_acceptance(not metadata.rejected)
        if metadata.rejected:
            await self.drain_response(connection, response)
            peer = connection.address
            return Refusal(
                Reason.TARGET_SHED, Ran.NOT_RUN, RETRY_AFTER_SECONDS, "target", peer
            )
        if response.status in SUCCESS_STATUSES and not metadata.has_digest:
            raise connection.request_error(
                "the response of the target has no digest", "read head"
            )
        complete, chunks = await buffer_response(response)
        if complete:
            await self.pool.release(connection)
            return BufferedResponse(response.status, response.headers, b"".join(chunks))

        async def close(complete: bool) -> None:
            if complete:
                await self.pool.release(connection)
            else:
                await self.pool.discard(connection)
            await release_slot(complete)

        return StreamedResponse(response, chunks, close)

    async def apply_target_state(
        self, call: Call, heartbeat: Heartbeat, metadata: TargetResponseMetadata
    ) -> None:
        """Apply what a response tells of the target.

        Args:
            call: The call that it responds to.
            heartbeat: Newest heartbeat of the target when the call was sent.
            metadata: Metadata of the response.
        """
        self.rate_enforcer.record_response(call.attempt_id, metadata.rate_limit)
        if metadata.leaving and self.target.mark_leaving(heartbeat):
            self.journal.write(
                "target_leaving", request=call.attempt_id, target=heartbeat.target_id
            )
            await self.on_target_changed()

    def record_load(self, metadata: TargetResponseMetadata, sent_at: float) -> None:
        """Record the load that a response reports.

        Args:
            metadata: Metadata of the response.
            sent_at: Time in seconds at which its request was sent.
        """
        if not metadata.is_load_valid:
            self.journal.count("load_header_invalid")
        if metadata.load is not None and not metadata.wrong_target:
            now = self.clock.now()
            duration = None if metadata.rejected else now - sent_at
            self.target_load.record_response(metadata.load, duration, now)

    def record_acceptance(self, accepted: bool) -> None:
        """Note whether a call was accepted, by the queue and by the target."""
        self.accept_ratio += ACCEPT_RATIO_SMOOTHING * (accepted - self.accept_ratio)

    async def drain_response(
        self, connection: ClientConnection, response: Response
    ) -> None:
        """Read the rest of a short response, so that the connection can be reused."""
        await buffer_response(response)
        await self.pool.release(connection)

    def log_refused_call(self, call: Call, refusal: Refusal) -> None:
        """Log a call of another node that was refused here."""
        self.journal.write(
            "turned_away",
            request=call.attempt_id,
            reason=refusal.reason.value,
            ran=refusal.ran.value,
            step=refusal.step,
            repeat=call.is_retry,
            occupancy=round(self.occupancy, 2),
            phase=str(self.target.phase),
        )

    def build_reply(self, route: str, refusal: Refusal | None) -> CallReply:
        """Return the metadata of a response to the calling node."""
        now = self.clock.now()
        own_service = self.settings.service
        demands = []
        for service, calls in self.call_graph.downstream_calls(
            self.fanout, route, own_service
        ).items():
            if service == own_service:
                # Exact for the local target.
                level, accept_ratio = self.level.level, self.accept_ratio
            else:
                level = min(self.levels.level(service, now), self.level.max_level)
                accept_ratio = self.levels.accept_ratio(service, now)
            demands.append(
                ServiceDemand(
                    service, round(calls, 3), round(level, 3), round(accept_ratio, 3)
                )
            )
        return CallReply(
            refusal.reason.value if refusal else "",
            refusal.ran.value if refusal else "",
            refusal.retry_after if refusal else None,
            round(self.pressure(now), 3),
            self.current_gate() is not None,
            self.configuration_version,
            demands,
        )

    def warmup_report(self) -> WarmupReport:
        """Return what a response tells of the warm-up of the local target."""
        return self.warmup_share.report(self.warmup, self.clock.now())

    @property
    def occupancy(self) -> float:
        """Requests in flight and queued, as a share of the target's limit."""
        if self.gate is None:
            return 0.0
        queue = self.gate.queue
        return (queue.in_flight + queue.queued) / queue.limit.limit(0.0)

    def pressure(self, now: float) -> float:
        """Return the load of the target that replies carry."""
        return max(
            self.target_load.pressure(self.occupancy, now),
            self.rate_enforcer.limit.pressure(now),
        )

    async def run_polling(self) -> None:
        """Update the admission level and expire queued calls until cancelled."""
        while True:
            gate = self.gate
            busy = gate is not None and (
                gate.queue.queued or self.health_checker.is_due
            )
            if busy:
                await curio.sleep(QUEUE_POLL_SECONDS)
            else:
                await sleep_until_tick(IDLE_POLL_SECONDS)
            now = self.clock.now()
            self.warmup_enforcer.observe(now)
            await self.poll_replaced_gates(now)
            if self.target.heartbeat is not None:
                await self.crashes.observe(self.target.heartbeat)
            if gate is not None:
                if self.evacuated:
                    await gate.refuse_waiting(self.evacuation_refusal())
                await self.health_checker.start_if_due(gate, now)
                await self.refuse_rerouted(gate, now)
                await gate.poll()
                self.update_level(gate, now)
            self.fanout.update(now)

    async def poll_replaced_gates(self, now: float) -> None:
        """Admit or refuse the calls that wait in the gates of former incarnations.

        With a limit on the rate, no release of a slot may follow that would do it.
        """
        for gate in self.replaced_gates:
            if self.evacuated:
                await gate.refuse_waiting(self.evacuation_refusal())
            await self.refuse_rerouted(gate, now)
            await gate.poll()
        self.replaced_gates = [
            gate for gate in self.replaced_gates if gate.queue.queued
        ]

    async def refuse_rerouted(self, gate: AdmissionGate, now: float) -> None:
        """Refuse calls for which another target may have capacity at once."""
        cold_since = self.warmup_enforcer.cold_since
        if cold_since is None or self.warmup_enforcer.free(now) > 0:
            return
        for request_id, since in list(self.rerouted_since.items()):
            if request_id not in gate.queue.waiting:
                continue
            if now - max(since, cold_since) >= MAX_REROUTED_WAIT_SECONDS:
                await gate.refuse(request_id, self.warmup_enforcer.refuse(now))

    def update_level(self, gate: AdmissionGate, now: float) -> None:
        """Update the admission level by the load offered since the last update."""
        elapsed = now - self.level_updated_at
        if elapsed < MIN_UPDATE_SECONDS:
            return
        queue = gate.queue
        load = offered_load(
            self.offered_calls / elapsed,
            queue.service_time.mean,
            queue.queued,
            queue.limit.limit(now),
        )
        # A client's request over the stated rate has cost nothing yet. Only calls that
        # exceed it are worth shedding the requests that cause them.
        rate_load = self.rate_enforcer.limit.record_arrivals(
            self.offered_target_calls, elapsed
        )
        if self.warmup.is_cold(now):
            cold_calls = self.offered_cold_calls / elapsed
            load = max(load, cold_calls / max(1, self.warmup.settings.limit))
        self.level.update(max(load, rate_load), now)
        self.offered_calls = self.offered_target_calls = self.offered_cold_calls = 0
        self.level_updated_at = now


def shutdown_refusal() -> Refusal:
    """Return the refusal of a call that did not begin before the node shuts down."""
    return Refusal(Reason.SHUTTING_DOWN, Ran.NOT_RUN, RETRY_AFTER_SECONDS, "target")


def equal_part(total: int, count: int, index: int) -> int:
    """Return one of ``count`` parts of a total, which differ by at most 1."""
    count = max(1, count)
    return total // count + (index < total % count)


def queue_importance(call: Call) -> Importance:
    """Return the importance of a call in the queue.

    The priority of the request for which a target makes a call is not known, so such
    calls queue with the second priority. With a lower one, the upstream work for the
    call would be wasted; with a higher one, the calls of requests with the lowest
    priority would overtake requests of the second one.
    """
    if call.from_target:
        return Importance.NORMAL
    return Importance(min(call.priority, Importance.SHEDDABLE))

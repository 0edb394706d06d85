"""Simulated host of the policy bench: a node and its target."""

import random

from bench.kernel import Future, Kernel, Process
from bench.model import (
    COLD_SECONDS,
    COLD_SLOW_SECONDS,
    COLD_SPEED,
    POLL_INTERVAL_SECONDS,
    SILENCE_TIMEOUT_SECONDS,
    AttemptResult,
    Call,
    Policy,
    ServiceSpec,
)
from carawaywheel.admission import AdmissionQueue, QueueChanges, Queued, Ticket
from carawaywheel.limits import AdaptiveLimit, ConcurrencyLimit, FixedLimit
from carawaywheel.refusals import Importance, Ran, Reason, Refusal
from carawaywheel.settings import AdmissionSettings, LimitSettings


class Host:
    """A node and its target.

    Attributes:
        service: Service that the target belongs to.
        domain: Index of the failure domain.
        speed: Speed of the target's processor; 1 is normal.
        reports_idle: Whether the target always reports a load of zero.
        alive: Whether the host runs.
        cold_until: Time until which the target counts as cold, in seconds.
        known_dead: Whether membership has detected that the host is down.
        active_requests: Number of requests that use the target's processor.
        queued: Futures of queued requests, by request id.
        pending_results: Futures of the attempts that the host has not completed.
    """

    def __init__(
        self,
        service: ServiceSpec,
        domain: int,
        policy: Policy,
        kernel: Kernel,
        name: str,
    ) -> None:
        self.service = service
        self.domain = domain
        self.policy = policy
        self.kernel = kernel
        self.rng = random.Random(name)
        self.speed = 1.0
        self.reports_idle = False
        self.alive = True
        self.known_dead = False
        self.active_requests = 0
        self.queued: dict[str, Future] = {}
        self.pending_results: dict[Future, None] = {}
        self.start(0.0)

    def start(self, cold_until: float) -> None:
        """Start the node with an empty queue and a new concurrency limit."""
        now = self.kernel.now
        self.cold_until = cold_until
        slots = self.service.slots
        limit: ConcurrencyLimit = FixedLimit(slots)
        if self.policy.controlled:
            limit = AdaptiveLimit(LimitSettings(), slots, cold_until, now, self.rng)
        settings = AdmissionSettings(fair=self.policy.controlled)
        if not self.policy.enforces_limits:
            settings = settings._replace(queue_per_slot=1e6)
        self.queue = AdmissionQueue(settings, limit, slots, self.rng)

    def reported_load(self) -> float:
        """Return the load that the target itself reports."""
        return 0.0 if self.reports_idle else self.active_requests / self.service.slots

    def pressure(self) -> float:
        """Return the load that callers balance by under the policy."""
        if not self.policy.controlled:
            return self.reported_load()
        return self.queue.overload_level(self.service.name, self.kernel.now).pressure

    def apply_changes(self, changes: QueueChanges) -> None:
        """Resume the queued requests that were admitted or refused."""
        for ticket in changes.admitted:
            self.queued.pop(ticket.request_id).set(None)
        for ticket, refusal in changes.refused:
            self.queued.pop(ticket.request_id).set(refusal)

    def run_queue_polls(self) -> Process:
        """Poll the queue at intervals, which expires queued requests."""
        while True:
            yield POLL_INTERVAL_SECONDS
            self.apply_changes(self.queue.poll(self.kernel.now))

    def admit(self, request_id: str, call: Call) -> Process:
        """Wait for a slot; return the refusal, or None if admitted."""
        importance = call.importance if self.policy.controlled else Importance.NORMAL
        deadline = call.deadline if self.policy.controlled else 1e9
        ticket = Ticket(request_id, call.account, importance, deadline)
        offer = self.queue.offer(ticket, self.kernel.now)
        self.apply_changes(offer.changes)
        if isinstance(offer.decision, Refusal):
            return offer.decision
        if isinstance(offer.decision, Queued):
            future = self.queued[request_id] = Future(self.kernel)
            refusal = yield future
            return refusal
        return None

    def run_request(self, call: Call) -> Process:
        """Run a request at the target.

        The processor is shared: beyond its slots, requests slow each other down.
        With overload control, work ends at the deadline.
        """
        self.active_requests += 1
        slowdown = max(1.0, self.active_requests / self.service.slots)
        work_seconds = (
            self.service.work_seconds * call.work_factor * self.rng.uniform(0.5, 1.5)
        )
        seconds = work_seconds * slowdown / self.speed
        seconds_left = call.deadline - self.kernel.now
        yield (
            min(seconds, max(seconds_left, 0.0)) if self.policy.controlled else seconds
        )
        self.active_requests -= 1

    def crash(self) -> None:
        """Stop without notice; pending attempts fail after the silence timeout."""
        self.alive = False
        failed_result = AttemptResult(Refusal(Reason.PEER_FAILED, Ran.UNKNOWN), [], 0.0)
        for future in self.pending_results:
            self.kernel.set_later(future, SILENCE_TIMEOUT_SECONDS, failed_result)
        self.pending_results.clear()
        self.queued.clear()

    def restart(self) -> Process:
        """Restart with a cold target, which runs at a reduced speed at first."""
        self.start(self.kernel.now + COLD_SECONDS)
        self.active_requests = 0
        self.alive, self.known_dead, self.speed = True, False, COLD_SPEED
        yield COLD_SLOW_SECONDS
        self.speed = 1.0

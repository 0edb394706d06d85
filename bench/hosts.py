"""Fake host of the policy bench: a node and its target."""

import random

from bench.kernel import Future, Kernel, Process
from bench.shapes import (
    COLD_SLOW_TIME,
    COLD_SPEED,
    COLD_TIME,
    POLL_INTERVAL,
    SILENCE_LIMIT,
    Answer,
    Call,
    Policy,
    ServiceShape,
)
from carawaywheel.admission import AdmissionQueue, QueueChanges, Queued, Ticket
from carawaywheel.limits import AdaptiveLimit, ConcurrencyLimit, FixedLimit
from carawaywheel.refusals import Importance, Ran, Reason, Refusal
from carawaywheel.settings import AdmissionSettings, LimitSettings


class Host:
    """A node and its target.

    Attributes:
        shape: Service that the target belongs to.
        domain: Number of the failure domain.
        speed: Speed of the target's processor, 1 is normal.
        lies: Whether the target reports itself idle.
        alive: Whether the host runs.
        cold_until: Time until which the target counts as cold, in seconds.
        gone: Whether membership has noticed that it does not.
        working: Requests that use the target's processor.
        waiting: Futures of queued requests, by request id.
        pending: Answers that the host owes.
    """

    def __init__(
        self,
        shape: ServiceShape,
        domain: int,
        policy: Policy,
        kernel: Kernel,
        name: str,
    ) -> None:
        self.shape = shape
        self.domain = domain
        self.policy = policy
        self.kernel = kernel
        self.rng = random.Random(name)
        self.speed = 1.0
        self.lies = False
        self.alive = True
        self.gone = False
        self.working = 0
        self.waiting: dict[str, Future] = {}
        self.pending: dict[Future, None] = {}
        self.start(0.0)

    def start(self, cold_until: float) -> None:
        """Start the node with an empty queue."""
        now = self.kernel.now
        self.cold_until = cold_until
        slots = self.shape.slots
        limit: ConcurrencyLimit = FixedLimit(slots)
        if self.policy.controlled:
            limit = AdaptiveLimit(LimitSettings(), slots, cold_until, now, self.rng)
        options = AdmissionSettings(fair=self.policy.controlled)
        if not self.policy.limited:
            options = options._replace(queue_per_slot=1e6)
        self.queue = AdmissionQueue(options, limit, slots, self.rng)

    def reported_load(self) -> float:
        """Return the load that the target itself reports."""
        return 0.0 if self.lies else self.working / self.shape.slots

    def pressure(self) -> float:
        """Return the load that the policy goes by."""
        if not self.policy.controlled:
            return self.reported_load()
        return self.queue.overload_level(self.shape.name, self.kernel.now).pressure

    def apply(self, changes: QueueChanges) -> None:
        """Tell the queued requests what became of them."""
        for ticket in changes.admitted:
            self.waiting.pop(ticket.request_id).set(None)
        for ticket, refusal in changes.refused:
            self.waiting.pop(ticket.request_id).set(refusal)

    def poll(self) -> Process:
        """Expire queued requests."""
        while True:
            yield POLL_INTERVAL
            self.apply(self.queue.poll(self.kernel.now))

    def admit(self, request_id: str, call: Call) -> Process:
        """Wait for a slot; returns a refusal or None."""
        importance = call.importance if self.policy.controlled else Importance.NORMAL
        deadline = call.deadline if self.policy.controlled else 1e9
        ticket = Ticket(request_id, call.account, importance, deadline)
        offer = self.queue.offer(ticket, self.kernel.now)
        self.apply(offer.changes)
        if isinstance(offer.decision, Refusal):
            return offer.decision
        if isinstance(offer.decision, Queued):
            future = self.waiting[request_id] = Future(self.kernel)
            refusal = yield future
            return refusal
        return None

    def work(self, call: Call) -> Process:
        """Use the target's processor, which is shared among its requests."""
        self.working += 1
        crowd = max(1.0, self.working / self.shape.slots)
        amount = self.shape.work * call.factor * self.rng.uniform(0.5, 1.5)
        seconds = amount * crowd / self.speed
        left = call.deadline - self.kernel.now
        yield min(seconds, max(left, 0.0)) if self.policy.controlled else seconds
        self.working -= 1

    def die(self) -> None:
        """Stop without announcing it; owed answers break after the silence limit."""
        self.alive = False
        lost = Answer(Refusal(Reason.PEER_FAILED, Ran.UNKNOWN), [], 0.0)
        for future in self.pending:
            self.kernel.set_later(future, SILENCE_LIMIT, lost)
        self.pending.clear()
        self.waiting.clear()

    def revive(self) -> Process:
        """Start again with a cold target."""
        self.start(self.kernel.now + COLD_TIME)
        self.working = 0
        self.alive, self.gone, self.speed = True, False, COLD_SPEED
        yield COLD_SLOW_TIME
        self.speed = 1.0

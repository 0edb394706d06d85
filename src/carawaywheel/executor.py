"""Executes requests at the local target, behind an admission gate.

All requests to a target pass through the node beside it, so this node alone limits
how many of them run there at once.
"""

import random
from typing import Any

import curio

from .admission import AdmissionQueue, Admitted, QueueChanges, Queued, Ticket
from .clock import Clock
from .contexts import InFlightRequest, InFlightTable, RequestContext
from .errors import PeerError
from .headers import DEADLINE_HEADER, REQUEST_ID_HEADER, forwarded_request_headers
from .http import Headers, Request
from .limits import AdaptiveLimit
from .pool import ConnectionPool, Response
from .refusals import Outcome, Ran, Reason, Refusal
from .retries import AttemptBudget
from .routing import TargetState
from .settings import AdmissionSettings, LimitSettings
from .targets import LocalTarget, TargetSource

POLL_INTERVAL_SECONDS = 0.02
IDLE_INTERVAL_SECONDS = 0.25
MILLISECONDS_PER_SECOND = 1000
SHED_STATUSES = (429, 503)
NOT_STARTED_HEADER = b"x-not-started"


class AdmissionGate:
    """Admits requests to one target and lets queued ones wait for a slot.

    Attributes:
        target: Target that the gate protects.
        queue: Makes the admission decisions.
        wake_events: Event that wakes each waiting request, by request id.
        refusals: Refusals of waiting requests that have not woken yet, by request id.
    """

    def __init__(
        self, target: LocalTarget, queue: AdmissionQueue, clock: Clock
    ) -> None:
        self.target = target
        self.queue = queue
        self.clock = clock
        self.wake_events: dict[str, Any] = {}
        self.refusals: dict[str, Refusal] = {}

    async def acquire(self, ticket: Ticket) -> Refusal | None:
        """Wait until a request holds a slot.

        Returns:
            None when the request may run, or the refusal.
        """
        offer = self.queue.offer(ticket, self.clock.now())
        if isinstance(offer.decision, Queued):
            # Must exist before others are woken, as they may admit this request.
            self.wake_events[ticket.request_id] = curio.Event()
        await self.notify_waiters(offer.changes)
        if isinstance(offer.decision, Refusal):
            return offer.decision
        if isinstance(offer.decision, Admitted):
            return None
        return await self.wait_for_admission(ticket)

    async def wait_for_admission(self, ticket: Ticket) -> Refusal | None:
        """Wait in the queue; a cancelled request is removed from it."""
        try:
            await self.wake_events[ticket.request_id].wait()
        except curio.CancelledError:
            self.refusals.pop(ticket.request_id, None)
            changes = self.queue.cancel(ticket.request_id, self.clock.now())
            await self.notify_waiters(changes)
            raise
        finally:
            self.wake_events.pop(ticket.request_id, None)
        return self.refusals.pop(ticket.request_id, None)

    async def release(self, request_id: str, outcome: Outcome, latency: float) -> None:
        """Release the slot of a request that ended.

        Args:
            request_id: Id of the ticket that acquired the slot.
            outcome: How the request ended.
            latency: Seconds that the target took.
        """
        changes = self.queue.finish(request_id, self.clock.now(), outcome, latency)
        await self.notify_waiters(changes)

    async def refuse(self, request_id: str, refusal: Refusal) -> None:
        """Refuse a request that waits; one that does not wait is not changed."""
        if request_id not in self.queue.waiting:
            return
        changes = self.queue.cancel(request_id, self.clock.now())
        self.refusals[request_id] = refusal
        await self.wake(request_id)
        await self.notify_waiters(changes)

    async def poll(self) -> None:
        """Refuse waiting requests whose deadline has passed."""
        await self.notify_waiters(self.queue.poll(self.clock.now()))

    async def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse all requests that wait."""
        tickets = self.queue.remove_waiting()
        await self.notify_waiters(
            QueueChanges([], [(ticket, refusal) for ticket in tickets])
        )

    async def notify_waiters(self, changes: QueueChanges) -> None:
        """Wake the requests that were admitted or refused."""
        for ticket in changes.admitted:
            await self.wake(ticket.request_id)
        for ticket, refusal in changes.refused:
            self.refusals[ticket.request_id] = refusal
            await self.wake(ticket.request_id)

    async def wake(self, request_id: str) -> None:
        """Wake a waiting request."""
        event = self.wake_events.get(request_id)
        if event is not None:
            await event.set()


class Execution:
    """Execution of one request at the local target.

    Attributes:
        in_flight_request: Entry in the table of requests in flight.
        request_id: Id that the target receives and sends with its sub-calls.
        response: Response of the target; None until its head has arrived.
        outcome: How the request ended.
    """

    def __init__(self, in_flight_request: InFlightRequest, request_id: str) -> None:
        self.in_flight_request = in_flight_request
        self.request_id = request_id
        self.response: Response | None = None
        self.outcome = Outcome.CANCELLED


class TargetExecutor:
    """Executes requests at the local target.

    Attributes:
        in_flight: Requests that run at the target.
        gate: Gate of the current target; None until a target has announced itself.
        shutting_down: Whether the node is shutting down.
    """

    def __init__(
        self,
        source: TargetSource,
        admission_settings: AdmissionSettings,
        limit_settings: LimitSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.source = source
        self.admission_settings = admission_settings
        self.limit_settings = limit_settings
        self.clock = clock
        self.rng = rng
        self.in_flight = InFlightTable()
        self.pool = ConnectionPool()
        self.gate: AdmissionGate | None = None
        self.shutting_down = False

    def gate_for(self, service: str) -> AdmissionGate | Refusal:
        """Return the gate of the local target if it accepts requests for a service.

        Returns:
            The gate, or the refusal.
        """
        now = self.clock.now()
        target = self.source.current(now)
        if target is None or target.service != service:
            return admission_refusal(Reason.NO_TARGET, service)
        if self.shutting_down:
            return admission_refusal(Reason.SHUTTING_DOWN, service)
        if target.state in (TargetState.DRAINING, TargetState.LEFT):
            return admission_refusal(Reason.NO_TARGET, service)
        if self.gate is None or self.gate.target.target_id != target.target_id:
            self.gate = self.make_gate(target, now)
        return self.gate

    def make_gate(self, target: LocalTarget, now: float) -> AdmissionGate:
        """Create the gate of a newly announced target."""
        limit = AdaptiveLimit(self.limit_settings, target.slots, target.cold_until, now)
        queue = AdmissionQueue(self.admission_settings, limit, target.slots, self.rng)
        return AdmissionGate(target, queue, self.clock)

    async def run_queue_polls(self) -> None:
        """Refuse expired requests in the queue until cancelled."""
        while True:
            idle = self.gate is None or not self.gate.wake_events
            await curio.sleep(IDLE_INTERVAL_SECONDS if idle else POLL_INTERVAL_SECONDS)
            if self.gate is not None:
                await self.gate.poll()

    async def admit(
        self, context: RequestContext, attempt_id: str, deadline: float
    ) -> AdmissionGate | Refusal:
        """Wait until a request may run at the target.

        Returns:
            The gate, whose slot must be released, or the refusal.
        """
        gate = self.gate_for(context.service)
        if isinstance(gate, Refusal):
            return gate
        ticket = Ticket(attempt_id, context.account, context.importance, deadline)
        refusal = await gate.acquire(ticket)
        return gate if refusal is None else refusal

    def register(self, context: RequestContext, deadline: float) -> Execution:
        """Add a request to the table of requests in flight."""
        in_flight_request = InFlightRequest(
            context, deadline, AttemptBudget(context.attempts)
        )
        return Execution(in_flight_request, self.in_flight.add(in_flight_request))

    async def send(
        self, execution: Execution, gate: AdmissionGate, request: Request, body: bytes
    ) -> Refusal | None:
        """Send a request to the target and wait for the response head.

        Returns:
            None if ``execution.response`` is to be sent to the caller, or the refusal.
        """
        peer = gate.target.address
        try:
            connection = await self.pool.acquire(peer)
        except PeerError as error:
            execution.outcome = Outcome.FAILED
            return Refusal(Reason.TARGET_FAILED, Ran.NOT_RUN, 1.0, error.step, peer)
        headers = self.target_headers(execution, request, body, peer)
        try:
            await connection.send(request.method, request.target, headers, body)
            response = await connection.receive_head()
        except PeerError as error:
            await self.pool.discard(connection)
            execution.outcome = Outcome.FAILED
            return Refusal(Reason.TARGET_FAILED, Ran.UNKNOWN, None, error.step, peer)
        except BaseException:
            await self.pool.discard(connection)
            raise
        execution.response = response
        return self.shed_refusal(execution, response, peer)

    def shed_refusal(
        self, execution: Execution, response: Response, peer: str
    ) -> Refusal | None:
        """Return a refusal if the target reports that it did not start the request."""
        if response.status not in SHED_STATUSES:
            return None
        execution.outcome = Outcome.SHED
        if response.header(NOT_STARTED_HEADER) != "true":
            return None
        return Refusal(Reason.TARGET_SHED, Ran.NOT_RUN, 0.1, "target", peer)

    def target_headers(
        self, execution: Execution, request: Request, body: bytes, peer: str
    ) -> Headers:
        """Return the headers that the target receives."""
        remaining = max(0.0, execution.in_flight_request.deadline - self.clock.now())
        headers = [
            (b"host", peer.encode()),
            (REQUEST_ID_HEADER, execution.request_id.encode()),
            (DEADLINE_HEADER, str(int(remaining * MILLISECONDS_PER_SECOND)).encode()),
        ]
        headers += forwarded_request_headers(request.headers)
        if body or request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", str(len(body)).encode()))
        return headers

    async def finish(self, execution: Execution) -> None:
        """Remove a request from the in-flight table and release its connection.

        The connection is closed unless the response was read to its end.
        """
        self.in_flight.remove(execution.request_id)
        response = execution.response
        if response is None:
            return
        if response.complete:
            await self.pool.release(response.connection)
        else:
            await self.pool.discard(response.connection)


def admission_refusal(reason: Reason, service: str) -> Refusal:
    """Return the refusal of a request that the local target does not accept."""
    return Refusal(reason, Ran.NOT_RUN, 0.1, "admission", service)

"""Running requests of other nodes at the local target.

This node is the only way into its target, so it alone decides how many requests
run there at once.
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
MILLISECONDS = 1000
SHED_STATUSES = (429, 503)
NOT_STARTED_HEADER = b"x-not-started"


class AdmissionGate:
    """Admission to one target, with requests that wait for their turn.

    Attributes:
        target: The target behind the gate.
        queue: Admission decisions.
    """

    def __init__(
        self, target: LocalTarget, queue: AdmissionQueue, clock: Clock
    ) -> None:
        self.target = target
        self.queue = queue
        self.clock = clock
        self.waiting: dict[str, Any] = {}
        self.refused: dict[str, Refusal] = {}

    async def acquire(self, ticket: Ticket) -> Refusal | None:
        """Wait until a request may run.

        Returns:
            None when it may run, or the refusal.
        """
        offer = self.queue.offer(ticket, self.clock.now())
        if isinstance(offer.decision, Queued):
            # Known before others are woken, who may admit this request in turn.
            self.waiting[ticket.request_id] = curio.Event()
        await self.notify_waiters(offer.changes)
        if isinstance(offer.decision, Refusal):
            return offer.decision
        if isinstance(offer.decision, Admitted):
            return None
        return await self.wait(ticket)

    async def wait(self, ticket: Ticket) -> Refusal | None:
        """Wait in the queue; a caller that goes away leaves it."""
        try:
            await self.waiting[ticket.request_id].wait()
        except curio.CancelledError:
            self.refused.pop(ticket.request_id, None)
            changes = self.queue.cancel(ticket.request_id, self.clock.now())
            await self.notify_waiters(changes)
            raise
        finally:
            self.waiting.pop(ticket.request_id, None)
        return self.refused.pop(ticket.request_id, None)

    async def release(self, request_id: str, outcome: Outcome, latency: float) -> None:
        """Give back the place of a request that ended."""
        changes = self.queue.finish(request_id, self.clock.now(), outcome, latency)
        await self.notify_waiters(changes)

    async def poll(self) -> None:
        """Refuse requests whose deadline passed while they waited."""
        await self.notify_waiters(self.queue.poll(self.clock.now()))

    async def notify_waiters(self, changes: QueueChanges) -> None:
        """Wake the requests that were admitted or refused."""
        for ticket in changes.admitted:
            await self.wake(ticket.request_id)
        for ticket, refusal in changes.refused:
            self.refused[ticket.request_id] = refusal
            await self.wake(ticket.request_id)

    async def wake(self, request_id: str) -> None:
        """Wake a waiting request."""
        event = self.waiting.get(request_id)
        if event is not None:
            await event.set()


class Execution:
    """One request at the local target.

    Attributes:
        flight: The request in the table of requests in flight.
        request_id: Id given to the target.
        response: Head of the target's answer, once it has arrived.
        outcome: How the request ended.
    """

    def __init__(self, flight: InFlightRequest, request_id: str) -> None:
        self.flight = flight
        self.request_id = request_id
        self.response: Response | None = None
        self.outcome = Outcome.CANCELLED


class TargetExecutor:
    """Runs requests at the target beside this node.

    Attributes:
        in_flight: Requests that run at the target.
        gate: Admission to the present target, or None before one announced itself.
        shutting_down: Whether the node is shutting down.
    """

    def __init__(
        self,
        source: TargetSource,
        admission: AdmissionSettings,
        limits: LimitSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.source = source
        self.admission = admission
        self.limits = limits
        self.clock = clock
        self.rng = rng
        self.in_flight = InFlightTable()
        self.pool = ConnectionPool()
        self.gate: AdmissionGate | None = None
        self.shutting_down = False

    def open_gate(self, service: str) -> AdmissionGate | Refusal:
        """Return the gate of the local target, if it takes work for a service."""
        now = self.clock.now()
        target = self.source.current(now)
        if target is None or target.service != service:
            return refuse(Reason.NO_TARGET, service)
        if self.shutting_down:
            return refuse(Reason.SHUTTING_DOWN, service)
        if target.state in (TargetState.DRAINING, TargetState.LEFT):
            return refuse(Reason.NO_TARGET, service)
        if self.gate is None or self.gate.target.target_id != target.target_id:
            self.gate = self.make_gate(target, now)
        return self.gate

    def make_gate(self, target: LocalTarget, now: float) -> AdmissionGate:
        """Make the gate of a target that announced itself."""
        limit = AdaptiveLimit(self.limits, target.slots, target.cold_until, now)
        queue = AdmissionQueue(self.admission, limit, target.slots, self.rng)
        return AdmissionGate(target, queue, self.clock)

    async def run_queue_polls(self) -> None:
        """Drop expired requests from the queue until cancelled."""
        while True:
            idle = self.gate is None or not self.gate.waiting
            await curio.sleep(IDLE_INTERVAL_SECONDS if idle else POLL_INTERVAL_SECONDS)
            if self.gate is not None:
                await self.gate.poll()

    async def admit(
        self, context: RequestContext, attempt_id: str, deadline: float
    ) -> AdmissionGate | Refusal:
        """Wait until a request may run at the target."""
        gate = self.open_gate(context.service)
        if isinstance(gate, Refusal):
            return gate
        ticket = Ticket(attempt_id, context.account, context.importance, deadline)
        refusal = await gate.acquire(ticket)
        return gate if refusal is None else refusal

    def begin(self, context: RequestContext, deadline: float) -> Execution:
        """Enter a request in the table of requests in flight."""
        flight = InFlightRequest(context, deadline, AttemptBudget(context.attempts))
        return Execution(flight, self.in_flight.add(flight))

    async def send(
        self, execution: Execution, gate: AdmissionGate, request: Request, body: bytes
    ) -> Refusal | None:
        """Send a request to the target and wait for the head of the answer.

        Returns:
            None when ``execution.response`` holds a head that is to be passed on,
            or the refusal.
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
            answer = await connection.receive_head()
        except PeerError as error:
            await self.pool.discard(connection)
            execution.outcome = Outcome.FAILED
            return Refusal(Reason.TARGET_FAILED, Ran.UNKNOWN, None, error.step, peer)
        except BaseException:
            await self.pool.discard(connection)
            raise
        execution.response = answer
        return self.shed_refusal(execution, answer, peer)

    def shed_refusal(
        self, execution: Execution, answer: Response, peer: str
    ) -> Refusal | None:
        """Return a refusal if the target said that it did not start the request."""
        if answer.status not in SHED_STATUSES:
            return None
        execution.outcome = Outcome.SHED
        if answer.header(NOT_STARTED_HEADER) != "true":
            return None
        return Refusal(Reason.TARGET_SHED, Ran.NOT_RUN, 0.1, "target", peer)

    def target_headers(
        self, execution: Execution, request: Request, body: bytes, peer: str
    ) -> Headers:
        """Return the headers that the target receives."""
        remaining = max(0.0, execution.flight.deadline - self.clock.now())
        headers = [
            (b"host", peer.encode()),
            (REQUEST_ID_HEADER, execution.request_id.encode()),
            (DEADLINE_HEADER, str(int(remaining * MILLISECONDS)).encode()),
        ]
        headers += forwarded_request_headers(request.headers)
        if body or request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", str(len(body)).encode()))
        return headers

    async def end(self, execution: Execution) -> None:
        """Forget a request and keep or close the connection that it used."""
        self.in_flight.remove(execution.request_id)
        answer = execution.response
        if answer is None:
            return
        if answer.complete:
            await self.pool.release(answer.connection)
        else:
            await self.pool.discard(answer.connection)


def refuse(reason: Reason, service: str) -> Refusal:
    """Refuse a request that this node's target does not take."""
    return Refusal(reason, Ran.NOT_RUN, 0.1, "admission", service)

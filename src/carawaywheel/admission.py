"""Bounded queue in front of a target: strict, fair and bounded by deadlines."""

import heapq
import random
from typing import NamedTuple

from .fairness import FairQueue, Ticket
from .levels import OverloadLevel
from .limits import ConcurrencyLimit
from .refusals import Importance, Outcome, Ran, Reason, Refusal
from .settings import AdmissionSettings

STEP = "admission"
# Iterating over the enum itself costs several times as much.
LOWEST_FIRST = tuple(reversed(Importance))
MEAN_GAIN = 0.1
MEDIAN_GAIN = 0.1
RETRY_AFTER_MIN = 0.1
RETRY_AFTER_MAX = 5.0
REFUSAL_HOLD = 1.0
STALE_DEADLINES_KEPT = 64


class Admitted(NamedTuple):
    """The ticket holds a slot.

    Attributes:
        in_flight: Requests in flight, with this one.
    """

    in_flight: int


class Queued(NamedTuple):
    """The ticket waits; ``poll`` and ``finish`` report what becomes of it.

    Attributes:
        wait: Expected wait in seconds.
    """

    wait: float


Decision = Admitted | Queued | Refusal


class QueueChanges(NamedTuple):
    """What became of queued tickets.

    Attributes:
        admitted: Tickets that now hold a slot.
        refused: Tickets that left the queue without running, with the reason.
    """

    admitted: list[Ticket]
    refused: list[tuple[Ticket, Refusal]]


class Offer(NamedTuple):
    """Answer to an offered ticket.

    Attributes:
        decision: What became of the offered ticket.
        changes: What became of other tickets; those evicted are in ``refused``.
    """

    decision: Decision
    changes: QueueChanges


class Running(NamedTuple):
    """A ticket that holds a slot.

    Attributes:
        ticket: The ticket.
        started: Time at which it took the slot, in seconds.
        charged: Service time charged to the account in advance, in seconds.
    """

    ticket: Ticket
    started: float
    charged: float


class ServiceTime:
    """Running estimates of the time that a request holds a slot.

    Attributes:
        mean: Moving average in seconds; tells how fast the queue moves.
        median: Running median in seconds; long downloads do not move it, so it
            tells what an ordinary request needs.
    """

    def __init__(self, guess: float) -> None:
        self.mean = guess
        self.median = guess

    def record(self, seconds: float) -> None:
        """Learn from one finished request."""
        self.mean += MEAN_GAIN * (seconds - self.mean)
        step = MEDIAN_GAIN * max(self.mean, self.median)
        if seconds < self.median:
            self.median = max(seconds, self.median - step)
        else:
            self.median = min(seconds, self.median + step)


class AdmissionQueue:
    """Admits requests to one target under its concurrency limit.

    Every offered ticket ends in exactly one way: it is admitted and then finished
    or cancelled, it is refused, or it is cancelled while it waits.

    Attributes:
        capacity: Queue places.
        draining: Whether new offers are refused.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        limit: ConcurrencyLimit,
        declared_slots: int,
        rng: random.Random,
        peer: str = "",
    ) -> None:
        """Create an empty queue.

        Args:
            settings: Settings of the queue.
            limit: Concurrency limit of the target.
            declared_slots: Slots that the target declared.
            rng: Source of the jitter of ``retry_after``.
            peer: Name of the target, set on refusals.
        """
        self.limit = limit
        self.rng = rng
        self.peer = peer
        self.capacity = max(1, int(settings.queue_per_slot * declared_slots))
        self.service_time = ServiceTime(settings.service_time_guess)
        self.classes = [FairQueue(settings.fair) for _ in Importance]
        self.waiting: dict[str, Ticket] = {}
        self.running: dict[str, Running] = {}
        self.deadlines: list[tuple[float, str]] = []
        self.refused_at = [float("-inf") for _ in Importance]
        self.draining = False

    @property
    def in_flight(self) -> int:
        """Requests that hold a slot."""
        return len(self.running)

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self.waiting)

    def offer(self, ticket: Ticket, now: float) -> Offer:
        """Ask for a slot.

        Args:
            ticket: The ticket; its request id must be neither queued nor in flight.
            now: Time in seconds.

        Returns:
            What became of the ticket, and of others because of it.

        Raises:
            ValueError: If the request id is already known or the weight is not
                positive.
        """
        self._check(ticket)
        changes = QueueChanges([], [])
        if self.draining:
            refusal = self._refusal(Reason.SHUTTING_DOWN, now)
            return Offer(refusal, changes)
        if self.waiting:
            changes = self.poll(now)
        if not self.waiting and self.in_flight < self.limit.limit(now):
            return Offer(self._offer_free(ticket, now), changes)
        refusal_or_none = self._make_place(ticket, now, changes)
        if refusal_or_none is not None:
            return Offer(refusal_or_none, changes)
        self._enqueue(ticket)
        return Offer(Queued(self._wait(ticket, now)), changes)

    def finish(
        self, request_id: str, now: float, outcome: Outcome, latency: float
    ) -> QueueChanges:
        """Free the slot of a request that ended.

        Args:
            request_id: The request; an id that holds no slot is ignored.
            now: Time in seconds.
            outcome: How the attempt ended.
            latency: Seconds that the target took.

        Returns:
            The tickets that take the free slot or that have expired.
        """
        run = self.running.get(request_id)
        if run is not None:
            self.limit.record(now, latency, outcome, self.in_flight)
            del self.running[request_id]
            held = now - run.started
            queue = self.classes[run.ticket.importance]
            queue.charge(run.ticket, held - run.charged)
            if outcome in (Outcome.OK, Outcome.TIMEOUT):
                self.service_time.record(held)
        return self.poll(now)

    def cancel(self, request_id: str, now: float) -> QueueChanges:
        """Forget a request whose caller has gone, whether it waits or runs.

        The cancelled ticket itself is not among the changes.
        """
        run = self.running.get(request_id)
        if run is not None:
            held = now - run.started
            return self.finish(request_id, now, Outcome.CANCELLED, held)
        ticket = self.waiting.get(request_id)
        if ticket is not None:
            self._dequeue(ticket)
        return self.poll(now)

    def poll(self, now: float) -> QueueChanges:
        """Drop expired tickets and admit what the limit allows."""
        changes = QueueChanges([], [])
        self._expire(now, changes)
        self._serve(now, changes)
        return changes

    def overload_level(self, service: str, now: float) -> OverloadLevel:
        """Return the overload level that answers carry.

        An importance counts as not admitted for 1 s after a ticket of it found no
        place, because the queue has a place again at each finished request.
        """
        admitted = int(LOWEST_FIRST[0])
        for importance in LOWEST_FIRST:
            if now - self.refused_at[importance] < REFUSAL_HOLD:
                admitted = importance - 1
        demand = self.in_flight + self.queued
        return OverloadLevel(service, admitted, demand / self.limit.limit(now))

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a queued ticket in seconds, or None."""
        while self.deadlines:
            deadline, request_id = self.deadlines[0]
            ticket = self.waiting.get(request_id)
            if ticket is not None and ticket.deadline == deadline:
                return deadline
            heapq.heappop(self.deadlines)
        return None

    def drain(self) -> None:
        """Refuse new offers from now on; queued tickets are still served."""
        self.draining = True

    def _check(self, ticket: Ticket) -> None:
        known = ticket.request_id in self.running or ticket.request_id in self.waiting
        if known:
            raise ValueError(f"request id {ticket.request_id} is already known")
        if ticket.weight <= 0:
            raise ValueError(f"weight {ticket.weight} is not positive")

    def _offer_free(self, ticket: Ticket, now: float) -> Admitted | Refusal:
        if self._hopeless(ticket, now, 0.0):
            return self._refusal(Reason.DEADLINE, now)
        self._admit(ticket, now)
        return Admitted(self.in_flight)

    def _make_place(
        self, ticket: Ticket, now: float, changes: QueueChanges
    ) -> Refusal | None:
        if self._hopeless(ticket, now, self._wait(ticket, now)):
            return self._refusal(Reason.DEADLINE, now)
        if self.queued < self.capacity:
            return None
        victim = self._victim(ticket)
        refusal = self._refusal(Reason.QUEUE_FULL, now)
        if victim is None:
            self.refused_at[ticket.importance] = now
            return refusal
        self._dequeue(victim)
        self.refused_at[victim.importance] = now
        changes.refused.append((victim, refusal))
        return None

    def _victim(self, ticket: Ticket) -> Ticket | None:
        for importance in LOWEST_FIRST:
            queue = self.classes[importance]
            if importance < ticket.importance:
                return None
            if importance == ticket.importance:
                return queue.victim(ticket)
            if queue:
                return queue.victim(None)
        return None

    def _serve(self, now: float, changes: QueueChanges) -> None:
        limit = self.limit.limit(now)
        for queue in self.classes:
            while queue:
                if self.in_flight >= limit:
                    return
                ticket = queue.first()
                assert ticket is not None
                if self._hopeless(ticket, now, 0.0):
                    self._drop(ticket, now, changes)
                else:
                    self._admit(ticket, now)
                    changes.admitted.append(ticket)

    def _expire(self, now: float, changes: QueueChanges) -> None:
        while True:
            deadline = self.next_deadline()
            if deadline is None or deadline > now:
                return
            _, request_id = self.deadlines[0]
            self._drop(self.waiting[request_id], now, changes)

    def _drop(self, ticket: Ticket, now: float, changes: QueueChanges) -> None:
        self._dequeue(ticket)
        changes.refused.append((ticket, self._refusal(Reason.DEADLINE, now)))

    def _admit(self, ticket: Ticket, now: float) -> None:
        charged = self.service_time.mean
        self.classes[ticket.importance].serve(ticket, charged)
        self.waiting.pop(ticket.request_id, None)
        self.running[ticket.request_id] = Running(ticket, now, charged)

    def _enqueue(self, ticket: Ticket) -> None:
        self.classes[ticket.importance].push(ticket)
        self.waiting[ticket.request_id] = ticket
        if len(self.deadlines) > STALE_DEADLINES_KEPT + 2 * self.queued:
            self.deadlines = [(t.deadline, t.request_id) for t in self.waiting.values()]
            heapq.heapify(self.deadlines)
        else:
            heapq.heappush(self.deadlines, (ticket.deadline, ticket.request_id))

    def _dequeue(self, ticket: Ticket) -> None:
        self.classes[ticket.importance].remove(ticket)
        del self.waiting[ticket.request_id]

    def _hopeless(self, ticket: Ticket, now: float, wait: float) -> bool:
        """Tell whether a ticket cannot finish before its deadline.

        An idle target takes any ticket that has not expired: without samples an
        estimate from a slow time would refuse requests for good.
        """
        if ticket.deadline <= now:
            return True
        if not self.running:
            return False
        return now + wait + self.service_time.median > ticket.deadline

    def _wait(self, ticket: Ticket, now: float) -> float:
        before = sum(len(queue) for queue in self.classes[: ticket.importance])
        before += self.classes[ticket.importance].ahead(ticket.account)
        return before * self.service_time.mean / self.limit.limit(now)

    def _refusal(self, reason: Reason, now: float) -> Refusal:
        drain_time = self.queued * self.service_time.mean / self.limit.limit(now)
        delay = min(max(drain_time, RETRY_AFTER_MIN), RETRY_AFTER_MAX)
        retry_after = delay * self.rng.uniform(1.0, 2.0)
        return Refusal(reason, Ran.NOT_RUN, retry_after, STEP, self.peer)

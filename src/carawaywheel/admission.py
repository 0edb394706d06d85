"""Bounded admission queue in front of a target.

Importance classes have strict priority. Within a class, client accounts share the
service time fairly, and requests that would miss their deadline are refused.
"""

import heapq
import random
from abc import ABC, abstractmethod
from typing import NamedTuple

from .fairness import FairQueue, Ticket
from .levels import OverloadLevel
from .limits import ConcurrencyLimit
from .refusals import Importance, Outcome, Ran, Reason, Refusal
from .settings import AdmissionSettings

STEP = "admission"
# A tuple, because iterating over the enum takes several times as long.
LEAST_IMPORTANT_FIRST = tuple(reversed(Importance))
MEAN_SMOOTHING_FACTOR = 0.1
MEDIAN_STEP_FACTOR = 0.1
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 5.0
REFUSAL_HOLD_SECONDS = 1.0
# Outdated heap entries, beyond one for each queued ticket, that cause a rebuild.
DEADLINE_HEAP_SLACK = 64


class Admitted(NamedTuple):
    """Decision for a ticket that got a slot at once.

    Attributes:
        in_flight: Requests in flight, including this one.
    """

    in_flight: int


class Queued(NamedTuple):
    """Decision for a ticket that waits for a slot.

    A later call returns its admission or refusal among the ``QueueChanges``.

    Attributes:
        wait: Expected wait in seconds.
    """

    wait: float


Decision = Admitted | Queued | Refusal


class QueueChanges(NamedTuple):
    """Queued tickets that a call admitted or refused.

    Attributes:
        admitted: Tickets that now hold a slot.
        refused: Tickets removed from the queue without running, each with its
            refusal.
    """

    admitted: list[Ticket]
    refused: list[tuple[Ticket, Refusal]]


class OfferResult(NamedTuple):
    """Result of offering a ticket.

    Attributes:
        decision: Decision for the offered ticket.
        changes: Other tickets that were admitted, evicted or expired meanwhile.
    """

    decision: Decision
    changes: QueueChanges


class RunningTicket(NamedTuple):
    """A ticket that holds a slot.

    Attributes:
        ticket: The ticket.
        started_at: Time at which it took the slot, in seconds.
        charged_seconds: Service time charged to the account in advance, in seconds.
    """

    ticket: Ticket
    started_at: float
    charged_seconds: float


class Pacing(ABC):
    """Limit on the rate at which a queue admits tickets, beside its slots."""

    @abstractmethod
    def free(self, now: float) -> int:
        """Return the number of tickets that may be admitted now."""

    @abstractmethod
    def wait(self, position: int, now: float) -> float:
        """Return the seconds until the ticket at a position, from 1, is admitted."""

    @abstractmethod
    def admitted(self, request_id: str) -> None:
        """Note that a ticket was admitted."""

    @abstractmethod
    def ended(self, request_id: str) -> None:
        """Note that an admitted ticket has released its slot."""


class ServiceTimeEstimate:
    """Running estimates of the time that a request holds a slot.

    Attributes:
        mean: Exponential moving average in seconds, for the drain time of the queue.
        median: Running median in seconds. A few long downloads do not move it, so
            it estimates the service time of a typical request.
    """

    def __init__(self, guess: float) -> None:
        self.mean = guess
        self.median = guess

    def record(self, seconds: float) -> None:
        """Add the service time of a finished request."""
        self.mean += MEAN_SMOOTHING_FACTOR * (seconds - self.mean)
        step = MEDIAN_STEP_FACTOR * max(self.mean, self.median)
        if seconds < self.median:
            self.median = max(seconds, self.median - step)
        else:
            self.median = min(seconds, self.median + step)


class AdmissionQueue:
    """Admits requests to one target under its concurrency limit.

    Every offered ticket ends in exactly one way: it is admitted and then finished
    or cancelled, it is refused, or it is cancelled while it waits.

    Attributes:
        limit: Concurrency limit of the target.
        capacity: Largest number of queued tickets.
        service_time: Estimates of the service time of a request.
        class_queues: Fair queue of each importance class, most important first.
        waiting: Queued tickets by request id.
        running: Tickets that hold a slot, by request id.
        deadlines: Heap of the deadlines and request ids of queued tickets; entries
            of tickets that left the queue are removed lazily.
        last_refusal_at: Time in seconds of the last refusal because the queue was
            full, by importance class.
        draining: Whether new offers are refused.
        pacing: Limit on the rate of admissions; None for none.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        limit: ConcurrencyLimit,
        declared_slots: int,
        rng: random.Random,
        peer: str = "",
        pacing: Pacing | None = None,
    ) -> None:
        """Create an empty queue.

        Args:
            settings: Settings of the queue.
            limit: Concurrency limit of the target.
            declared_slots: Slots that the target declared.
            rng: Random source of the jitter of ``retry_after``.
            peer: Name of the target, set on refusals.
            pacing: Limit on the rate of admissions; None for none.
        """
        self.limit = limit
        self.rng = rng
        self.peer = peer
        self.capacity = max(1, int(settings.queue_per_slot * declared_slots))
        self.service_time = ServiceTimeEstimate(settings.service_time_guess)
        self.class_queues = [FairQueue(settings.fair) for _ in Importance]
        self.waiting: dict[str, Ticket] = {}
        self.running: dict[str, RunningTicket] = {}
        self.deadlines: list[tuple[float, str]] = []
        self.last_refusal_at = [float("-inf") for _ in Importance]
        self.draining = False
        self.pacing = pacing

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a slot."""
        return len(self.running)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self.waiting)

    def offer(self, ticket: Ticket, now: float) -> OfferResult:
        """Offer a ticket, which is admitted, queued or refused.

        Args:
            ticket: The ticket; its request id must be neither queued nor in flight.
            now: Time in seconds.

        Returns:
            The decision for this ticket and the changes to queued ones.

        Raises:
            ValueError: If the request id is already known or the weight is not
                positive.
        """
        self._validate(ticket)
        changes = QueueChanges([], [])
        if self.draining:
            refusal = self._make_refusal(Reason.SHUTTING_DOWN, now)
            return OfferResult(refusal, changes)
        if self.waiting:
            changes = self.poll(now)
        if not self.waiting and self.has_room(now):
            return OfferResult(self._admit_or_refuse(ticket, now), changes)
        refusal_or_none = self._make_room(ticket, now, changes)
        if refusal_or_none is not None:
            return OfferResult(refusal_or_none, changes)
        self._enqueue(ticket)
        return OfferResult(Queued(self.expected_wait(ticket, now)), changes)

    def admit_ahead(self, ticket: Ticket, now: float) -> None:
        """Give a ticket a slot ahead of the queued ones.

        Args:
            ticket: The ticket; its request id must be neither queued nor in flight.
            now: Time in seconds.
        """
        self._validate(ticket)
        self._admit(ticket, now)

    def has_room(self, now: float) -> bool:
        """Return whether a ticket may be admitted now."""
        if self.in_flight >= self.limit.limit(now):
            return False
        return self.pacing is None or self.pacing.free(now) > 0

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
            Queued tickets that were admitted or that expired.
        """
        running = self.running.get(request_id)
        if running is not None:
            self.limit.record(now, latency, outcome, self.in_flight)
            del self.running[request_id]
            if self.pacing is not None:
                self.pacing.ended(request_id)
            held_seconds = now - running.started_at
            queue = self.class_queues[running.ticket.importance]
            queue.charge(running.ticket, held_seconds - running.charged_seconds)
            if outcome in (Outcome.OK, Outcome.TIMEOUT):
                self.service_time.record(held_seconds)
        return self.poll(now)

    def cancel(self, request_id: str, now: float) -> QueueChanges:
        """Remove a queued or running request whose caller has disconnected.

        The cancelled ticket itself is not among the returned changes.
        """
        running = self.running.get(request_id)
        if running is not None:
            held_seconds = now - running.started_at
            return self.finish(request_id, now, Outcome.CANCELLED, held_seconds)
        ticket = self.waiting.get(request_id)
        if ticket is not None:
            self._dequeue(ticket)
        return self.poll(now)

    def poll(self, now: float) -> QueueChanges:
        """Refuse expired tickets and admit as many others as the limit allows."""
        changes = QueueChanges([], [])
        if self.waiting:
            self._expire(now, changes)
            self._admit_waiting(now, changes)
        return changes

    def overload_level(self, service: str, now: float) -> OverloadLevel:
        """Return the overload level that responses carry.

        An importance class counts as not admitted for 1 s after one of its tickets
        was refused or evicted: each finished request frees a place, so the present
        queue length would hide the overload.
        """
        admitted = int(LEAST_IMPORTANT_FIRST[0])
        for importance in LEAST_IMPORTANT_FIRST:
            if now - self.last_refusal_at[importance] < REFUSAL_HOLD_SECONDS:
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

    def remove_waiting(self) -> list[Ticket]:
        """Remove and return all queued tickets."""
        tickets = list(self.waiting.values())
        for ticket in tickets:
            self._dequeue(ticket)
        return tickets

    def drain(self) -> None:
        """Refuse new offers from now on; queued tickets are still served."""
        self.draining = True

    def _validate(self, ticket: Ticket) -> None:
        known = ticket.request_id in self.running or ticket.request_id in self.waiting
        if known:
            raise ValueError(
                f"request id {ticket.request_id} is already known: queued or in flight"
            )
        if ticket.weight <= 0:
            raise ValueError(
                f"weight {ticket.weight} of account {ticket.account} is not positive"
            )

    def _admit_or_refuse(self, ticket: Ticket, now: float) -> Admitted | Refusal:
        if self._would_miss_deadline(ticket, now, 0.0):
            return self._make_refusal(Reason.DEADLINE, now)
        self._admit(ticket, now)
        return Admitted(self.in_flight)

    def _make_room(
        self, ticket: Ticket, now: float, changes: QueueChanges
    ) -> Refusal | None:
        if self._would_miss_deadline(ticket, now, self.expected_wait(ticket, now)):
            return self._make_refusal(Reason.DEADLINE, now)
        if self.queued < self.capacity:
            return None
        victim = self._select_victim(ticket)
        refusal = self._make_refusal(Reason.QUEUE_FULL, now)
        if victim is None:
            self.last_refusal_at[ticket.importance] = now
            return refusal
        self._dequeue(victim)
        self.last_refusal_at[victim.importance] = now
        changes.refused.append((victim, refusal))
        return None

    def _select_victim(self, ticket: Ticket) -> Ticket | None:
        for importance in LEAST_IMPORTANT_FIRST:
            queue = self.class_queues[importance]
            if importance < ticket.importance:
                return None
            if importance == ticket.importance:
                return queue.select_victim(ticket)
            if queue:
                return queue.select_victim(None)
        return None

    def _admit_waiting(self, now: float, changes: QueueChanges) -> None:
        for queue in self.class_queues:
            while queue:
                if not self.has_room(now):
                    return
                ticket = queue.peek()
                assert ticket is not None
                if self._would_miss_deadline(ticket, now, 0.0):
                    self._refuse_expired(ticket, now, changes)
                else:
                    self._admit(ticket, now)
                    changes.admitted.append(ticket)

    def _expire(self, now: float, changes: QueueChanges) -> None:
        while True:
            deadline = self.next_deadline()
            if deadline is None or deadline > now:
                return
            _, request_id = self.deadlines[0]
            self._refuse_expired(self.waiting[request_id], now, changes)

    def _refuse_expired(
        self, ticket: Ticket, now: float, changes: QueueChanges
    ) -> None:
        self._dequeue(ticket)
        changes.refused.append((ticket, self._make_refusal(Reason.DEADLINE, now)))

    def _admit(self, ticket: Ticket, now: float) -> None:
        charged = self.service_time.mean
        self.class_queues[ticket.importance].start_service(ticket, charged)
        self.waiting.pop(ticket.request_id, None)
        self.running[ticket.request_id] = RunningTicket(ticket, now, charged)
        if self.pacing is not None:
            self.pacing.admitted(ticket.request_id)

    def _enqueue(self, ticket: Ticket) -> None:
        self.class_queues[ticket.importance].push(ticket)
        self.waiting[ticket.request_id] = ticket
        if len(self.deadlines) > DEADLINE_HEAP_SLACK + 2 * self.queued:
            self.deadlines = [(t.deadline, t.request_id) for t in self.waiting.values()]
            heapq.heapify(self.deadlines)
        else:
            heapq.heappush(self.deadlines, (ticket.deadline, ticket.request_id))

    def _dequeue(self, ticket: Ticket) -> None:
        self.class_queues[ticket.importance].remove(ticket)
        del self.waiting[ticket.request_id]

    def _would_miss_deadline(self, ticket: Ticket, now: float, wait: float) -> bool:
        """Return whether a ticket is expected to miss its deadline.

        An idle target accepts any ticket that has not expired. Otherwise an
        estimate from a slow period would refuse every request, and without new
        samples it would never be corrected.
        """
        if ticket.deadline <= now:
            return True
        if not self.running:
            return now + wait > ticket.deadline
        return now + wait + self.service_time.median > ticket.deadline

    def expected_wait(self, ticket: Ticket, now: float) -> float:
        """Return the expected wait in seconds of a ticket that is queued now."""
        tickets_ahead = sum(
            len(queue) for queue in self.class_queues[: ticket.importance]
        )
        tickets_ahead += self.class_queues[ticket.importance].count_ahead(
            ticket.account
        )
        wait = tickets_ahead * self.service_time.mean / self.limit.limit(now)
        if self.pacing is not None:
            wait = max(wait, self.pacing.wait(tickets_ahead + 1, now))
        return wait

    def _make_refusal(self, reason: Reason, now: float) -> Refusal:
        drain_seconds = self.queued * self.service_time.mean / self.limit.limit(now)
        if self.pacing is not None:
            drain_seconds = max(drain_seconds, self.pacing.wait(self.queued + 1, now))
        delay = min(
            max(drain_seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
        )
        retry_after = delay * self.rng.uniform(1.0, 2.0)
        return Refusal(reason, Ran.NOT_RUN, retry_after, STEP, self.peer)

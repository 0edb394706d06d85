"""Fair queuing of the tickets of one importance class among client accounts.

Fairness is by service time received, not by number of requests.
"""

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

from .refusals import Importance

# Account queues kept before idle ones are evicted, beyond two for each ticket.
IDLE_QUEUES_KEPT = 64


class Ticket(NamedTuple):
    """A request that asks for a slot of the target.

    Attributes:
        request_id: Id of the attempt, unique while it is queued or in flight.
        account: Client account that the request runs for.
        importance: Importance class.
        deadline: Deadline on the local clock, in seconds.
        weight: Share of the service time of this account relative to other accounts.
    """

    request_id: str
    account: str
    importance: Importance
    deadline: float
    weight: float = 1.0


class AccountQueue:
    """FIFO queue of the tickets of one account.

    Attributes:
        tickets: Queued tickets by request id, oldest first.
        virtual_time: Service time received divided by the weight, in seconds.
        weight: Weight of the newest ticket.
        entry_id: Id of the newest heap entry of this queue; older ones are invalid.
    """

    __slots__ = ("tickets", "virtual_time", "weight", "entry_id")

    def __init__(self, virtual_time: float) -> None:
        self.tickets: OrderedDict[str, Ticket] = OrderedDict()
        self.virtual_time = virtual_time
        self.weight = 1.0
        self.entry_id = 0


class FairQueue:
    """Start-time fair queue: the account with the least virtual time is served next.

    An account that was idle starts at the present virtual time of the queue, so it
    neither accumulates credit while idle nor is charged for service that no other
    account wanted.

    Attributes:
        fair: Whether each account has its own queue; otherwise all share one.
        virtual_time: Virtual time at which the last ticket was served, in seconds.
        size: Number of queued tickets.
        account_queues: Queues by account, also of recently idle accounts.
        heap: Heap of virtual time, entry id and account queue; outdated entries are
            removed lazily.
        last_entry_id: Id of the newest heap entry.
    """

    def __init__(self, fair: bool) -> None:
        self.fair = fair
        self.virtual_time = 0.0
        self.size = 0
        self.account_queues: dict[str, AccountQueue] = {}
        self.heap: list[tuple[float, int, AccountQueue]] = []
        self.last_entry_id = 0

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[Ticket]:
        for queue in self.account_queues.values():
            yield from queue.tickets.values()

    def push(self, ticket: Ticket) -> None:
        """Append a ticket to the queue of its account."""
        queue = self._account_queue(ticket.account)
        queue.weight = ticket.weight
        was_empty = not queue.tickets
        queue.tickets[ticket.request_id] = ticket
        self.size += 1
        if was_empty:
            queue.virtual_time = max(queue.virtual_time, self.virtual_time)
            self._push_entry(queue)

    def peek(self) -> Ticket | None:
        """Return the ticket that is served next, or None if the queue is empty."""
        queue = self._next_queue()
        return next(iter(queue.tickets.values())) if queue else None

    def start_service(self, ticket: Ticket, seconds: float) -> None:
        """Charge the account of a ticket that takes a slot and dequeue the ticket.

        Args:
            ticket: The ticket, which need not be queued.
            seconds: Expected service time.
        """
        queue = self._account_queue(ticket.account)
        if queue.tickets.pop(ticket.request_id, None) is not None:
            self.size -= 1
        queue.weight = ticket.weight
        start = max(queue.virtual_time, self.virtual_time)
        self.virtual_time = start
        queue.virtual_time = start + seconds / ticket.weight
        if queue.tickets:
            self._push_entry(queue)

    def charge(self, ticket: Ticket, seconds: float) -> None:
        """Charge service time to an account; a negative time is a refund."""
        queue = self._account_queue(ticket.account)
        queue.virtual_time += seconds / ticket.weight
        if queue.tickets:
            self._push_entry(queue)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket from the queue; return whether it was queued."""
        queue = self.account_queues.get(self._queue_key(ticket.account))
        if queue is None or queue.tickets.pop(ticket.request_id, None) is None:
            return False
        self.size -= 1
        return True

    def account_length(self, account: str) -> int:
        """Return the number of queued tickets of an account."""
        queue = self.account_queues.get(self._queue_key(account))
        return len(queue.tickets) if queue else 0

    def count_ahead(self, account: str) -> int:
        """Estimate how many tickets are served before a new one of an account."""
        position = self.account_length(account) + 1
        return sum(
            min(len(queue.tickets), position) for queue in self.account_queues.values()
        )

    def select_victim(self, ticket: Ticket | None) -> Ticket | None:
        """Choose the ticket to evict from a full queue.

        Args:
            ticket: The ticket of this importance class that needs the place, or
                None if a ticket of a more important class needs it.

        Returns:
            The newest ticket of the account with the most tickets relative to its
            weight. None if the queue is empty or, for a ticket of this class, if the
            queue is not fair or its own account would then have as many or more.
        """
        non_empty = (queue for queue in self.account_queues.values() if queue.tickets)
        longest = max(non_empty, key=_weighted_length, default=None)
        if longest is None:
            return None
        if ticket is not None:
            own_length = (self.account_length(ticket.account) + 1) / ticket.weight
            if not self.fair or _weighted_length(longest) <= own_length:
                return None
        return next(reversed(longest.tickets.values()))

    def _queue_key(self, account: str) -> str:
        return account if self.fair else ""

    def _account_queue(self, account: str) -> AccountQueue:
        key = self._queue_key(account)
        queue = self.account_queues.get(key)
        if queue is None:
            if len(self.account_queues) > IDLE_QUEUES_KEPT + 2 * self.size:
                self._evict_idle()
            queue = AccountQueue(self.virtual_time)
            self.account_queues[key] = queue
        return queue

    def _evict_idle(self) -> None:
        self.account_queues = {
            key: queue
            for key, queue in self.account_queues.items()
            if queue.tickets or queue.virtual_time > self.virtual_time
        }

    def _push_entry(self, queue: AccountQueue) -> None:
        self.last_entry_id += 1
        queue.entry_id = self.last_entry_id
        heapq.heappush(self.heap, (queue.virtual_time, queue.entry_id, queue))

    def _next_queue(self) -> AccountQueue | None:
        while self.heap:
            _, entry_id, queue = self.heap[0]
            if queue.tickets and queue.entry_id == entry_id:
                return queue
            heapq.heappop(self.heap)
        return None


def _weighted_length(queue: AccountQueue) -> float:
    return len(queue.tickets) / queue.weight

"""Fair queue of the tickets of one importance, by service time received."""

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

from .refusals import Importance

IDLE_LINES_KEPT = 64


class Ticket(NamedTuple):
    """A request that asks for a slot of the target.

    Attributes:
        request_id: Id of the attempt, unique while it is queued or in flight.
        account: Client account that the request runs for.
        importance: Importance class.
        deadline: Deadline on the local clock, in seconds.
        weight: Relative share of the account among the accounts that wait.
    """

    request_id: str
    account: str
    importance: Importance
    deadline: float
    weight: float = 1.0


class Line:
    """Tickets of one account, first in first out.

    Attributes:
        tickets: Queued tickets by request id, oldest first.
        received: Virtual time: service time received over weight, in seconds.
        weight: Weight of the newest ticket.
        entry: Number of the heap entry that is valid for this line.
    """

    __slots__ = ("tickets", "received", "weight", "entry")

    def __init__(self, received: float) -> None:
        self.tickets: OrderedDict[str, Ticket] = OrderedDict()
        self.received = received
        self.weight = 1.0
        self.entry = 0


class FairQueue:
    """Start-time fair queue: the account that received least is served next.

    An account that comes back from idleness starts at the present virtual time,
    so it neither saves up service nor pays for service that nobody else wanted.

    Attributes:
        fair: Whether accounts have lines of their own; else there is one line.
        clock: Virtual time at which the last ticket was served.
        size: Queued tickets.
    """

    def __init__(self, fair: bool) -> None:
        self.fair = fair
        self.clock = 0.0
        self.size = 0
        self.lines: dict[str, Line] = {}
        self.heap: list[tuple[float, int, Line]] = []
        self.entries = 0

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[Ticket]:
        for line in self.lines.values():
            yield from line.tickets.values()

    def push(self, ticket: Ticket) -> None:
        """Queue a ticket behind the others of its account."""
        line = self._line(ticket.account)
        line.weight = ticket.weight
        was_empty = not line.tickets
        line.tickets[ticket.request_id] = ticket
        self.size += 1
        if was_empty:
            line.received = max(line.received, self.clock)
            self._index(line)

    def first(self) -> Ticket | None:
        """Return the ticket that is served next, or None."""
        line = self._next_line()
        return next(iter(line.tickets.values())) if line else None

    def serve(self, ticket: Ticket, seconds: float) -> None:
        """Charge a ticket that takes a slot, and remove it if it was queued.

        Args:
            ticket: The ticket, queued or not.
            seconds: Service time that it is expected to take.
        """
        line = self._line(ticket.account)
        self.remove(ticket)
        line.weight = ticket.weight
        start = max(line.received, self.clock)
        self.clock = start
        line.received = start
        self.charge(ticket, seconds)

    def charge(self, ticket: Ticket, seconds: float) -> None:
        """Add service time, which may be negative, to what an account received."""
        line = self._line(ticket.account)
        line.received += seconds / ticket.weight
        if line.tickets:
            self._index(line)

    def remove(self, ticket: Ticket) -> bool:
        """Take a ticket out of the queue; return whether it was queued."""
        line = self.lines.get(self._name(ticket.account))
        if line is None or line.tickets.pop(ticket.request_id, None) is None:
            return False
        self.size -= 1
        return True

    def length(self, account: str) -> int:
        """Return the number of queued tickets of an account."""
        line = self.lines.get(self._name(account))
        return len(line.tickets) if line else 0

    def ahead(self, account: str) -> int:
        """Estimate the tickets that are served before a new one of an account."""
        place = self.length(account) + 1
        return sum(min(len(line.tickets), place) for line in self.lines.values())

    def victim(self, ticket: Ticket | None) -> Ticket | None:
        """Choose the ticket to evict from a full queue.

        Args:
            ticket: A ticket of this importance that wants the place, or None if a
                more important one wants it.

        Returns:
            The newest ticket of the account with the most tickets for its weight,
            or None if that account is not ahead of the one that asks.
        """
        waiting = (line for line in self.lines.values() if line.tickets)
        longest = max(waiting, key=_load, default=None)
        if longest is None:
            return None
        if ticket is not None:
            mine = (self.length(ticket.account) + 1) / ticket.weight
            if not self.fair or _load(longest) <= mine:
                return None
        return next(reversed(longest.tickets.values()))

    def _name(self, account: str) -> str:
        return account if self.fair else ""

    def _line(self, account: str) -> Line:
        name = self._name(account)
        line = self.lines.get(name)
        if line is None:
            if len(self.lines) > IDLE_LINES_KEPT + 2 * self.size:
                self._forget_idle()
            line = Line(self.clock)
            self.lines[name] = line
        return line

    def _forget_idle(self) -> None:
        self.lines = {
            name: line
            for name, line in self.lines.items()
            if line.tickets or line.received > self.clock
        }

    def _index(self, line: Line) -> None:
        self.entries += 1
        line.entry = self.entries
        heapq.heappush(self.heap, (line.received, line.entry, line))

    def _next_line(self) -> Line | None:
        while self.heap:
            _, entry, line = self.heap[0]
            if line.tickets and line.entry == entry:
                return line
            heapq.heappop(self.heap)
        return None


def _load(line: Line) -> float:
    return len(line.tickets) / line.weight

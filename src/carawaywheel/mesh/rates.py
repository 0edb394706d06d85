"""Charging client accounts: datagrams between nodes and the homes of accounts."""

from collections import Counter

import curio

from ..clock import Clock
from ..datagrams import Address, DatagramHandler, DatagramSocket, format_address
from .document import Account
from .journal import Journal
from .news import News
from .quotas import (
    REPORT_SECONDS,
    SLOTS,
    Ask,
    Grant,
    Quotas,
    Stock,
    decode_message,
    encode_message,
)

KIND = b"q"
# Several round trips between failure domains; a lost datagram is sent once more.
ANSWER_SECONDS = 0.04
TRIES = 2


class RateService(DatagramHandler):
    """Charges accounts, and answers other nodes as a home.

    Attributes:
        waiting: Requests that wait for an answer, by account.
        answered: Set when an answer arrives, by account.
    """

    def __init__(
        self,
        quotas: Quotas,
        sock: DatagramSocket,
        news: News,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self.quotas = quotas
        self.sock = sock
        self.news = news
        self.journal = journal
        self.clock = clock
        self.port = int(sock.address.rpartition(":")[2])
        self.sequence = 0
        self.waiting: Counter[str] = Counter()
        self.answered: dict[str, curio.Event] = {}
        sock.handlers[KIND] = self

    def refresh(self) -> None:
        """Use the nodes that are known and that can be reached now."""
        directory = self.news.directory
        self.quotas.known = directory.hosts_known
        self.quotas.set_nodes(sorted(directory.hosts), self.news.live())

    async def charge(self, account: Account) -> bool | None:
        """Charge one request.

        Returns:
            False if its account is over the rate; None if this can't be told yet.
        """
        if account.rate <= 0:
            return True
        if not self.quotas.known:
            return None
        now = self.clock.now()
        stock = self.quotas.stock(account, now)
        stock.note_demand(now)
        for _ in range(TRIES):
            taken = self.quotas.take(stock, self.clock.now())
            if taken is None:
                await self.ask(stock)
                taken = self.quotas.take(stock, self.clock.now())
            if taken is not None:
                return taken
        self.journal.count("rate_apart", account.name)
        return self.quotas.take_apart(stock, self.clock.now())

    async def ask(self, stock: Stock) -> None:
        """Ask the home of an account for tokens and wait for its answer."""
        name = stock.account.name
        self.waiting[name] += 1
        try:
            event = self.answered.get(name)
            if event is None:
                event = self.answered[name] = curio.Event()
                await self.send(stock.slot, {name: self.quotas.wanted(stock)})
            elif self.waiting[name] > 1:
                await self.send(stock.slot, {name: 1})
            if not event.is_set():
                await curio.ignore_after(ANSWER_SECONDS, event.wait)
            if self.answered.get(name) is event:
                del self.answered[name]
        finally:
            self.waiting[name] -= 1

    async def send(self, slot: int, wants: dict[str, int]) -> None:
        """Send a question to the home of a slot, which may be this node."""
        self.sequence += 1
        quotas = self.quotas
        ask = Ask(quotas.address, self.sequence, slot, wants)
        home = quotas.home_address(slot)
        now = self.clock.now()
        if home == quotas.address:
            await self.receive_grant(quotas.lend(ask, now), now)
        elif home:
            address = f"{home.rpartition(':')[0]}:{self.port}"
            await self.sock.send(KIND, encode_message(ask), address)

    async def receive(self, data: bytes, sender: Address) -> None:
        """Take a datagram; see the base class."""
        message = decode_message(data)
        now = self.clock.now()
        if isinstance(message, Ask):
            grant = self.quotas.lend(message, now)
            await self.sock.send(KIND, encode_message(grant), format_address(sender))
        elif isinstance(message, Grant):
            await self.receive_grant(message, now)

    async def receive_grant(self, grant: Grant, now: float) -> None:
        """Take an answer and wake the requests that wait for it."""
        self.quotas.receive(grant, now)
        for name in grant.lent:
            event = self.answered.pop(name, None)
            if event is not None:
                await event.set()

    async def run(self) -> None:
        """Report to all homes at intervals until cancelled."""
        while True:
            await curio.sleep(REPORT_SECONDS)
            self.refresh()
            for slot in range(SLOTS):
                await self.send(slot, {})

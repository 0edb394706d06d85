"""Charging client accounts: datagrams between nodes and the homes of accounts."""

from collections import Counter

import curio

from ..clock import Clock
from ..datagrams import Address, DatagramHandler, DatagramSocket, format_address
from .configuration import Account
from .journal import Journal
from .monitor import PeerMonitor
from .quotas import (
    REPORT_INTERVAL_SECONDS,
    SLOT_COUNT,
    Quotas,
    TokenCache,
    TokenGrant,
    TokenRequest,
    decode_message,
    encode_message,
)

DATAGRAM_KIND = b"q"
# Several round trips between failure domains; a lost datagram is sent once more.
REPLY_TIMEOUT_SECONDS = 0.04
MAX_ATTEMPTS = 2


class RateLimiter(DatagramHandler):
    """Charges accounts, and answers other nodes as a home.

    Attributes:
        waiting: Requests that wait for an answer, by account.
        answered: Set when an answer arrives, by account.
    """

    def __init__(
        self,
        quotas: Quotas,
        sock: DatagramSocket,
        news: PeerMonitor,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self.quotas = quotas
        self.sock = sock
        self.peer_monitor = news
        self.journal = journal
        self.clock = clock
        self.port = int(sock.address.rpartition(":")[2])
        self.sequence = 0
        self.waiting: Counter[str] = Counter()
        self.reply_events: dict[str, curio.Event] = {}
        sock.handlers[DATAGRAM_KIND] = self

    def refresh_nodes(self) -> None:
        """Use the nodes that are known and that can be reached now."""
        directory = self.peer_monitor.directory
        self.quotas.nodes_known = directory.hosts_known
        self.quotas.set_nodes(
            sorted(directory.hosts), self.peer_monitor.reachable_hosts()
        )

    async def acquire(self, account: Account) -> bool | None:
        """Charge one request.

        Returns:
            False if its account is over the rate; None if this can't be told yet.
        """
        if account.rate <= 0:
            return True
        if not self.quotas.nodes_known:
            return None
        now = self.clock.now()
        stock = self.quotas.token_cache(account, now)
        stock.record_demand(now)
        for _ in range(MAX_ATTEMPTS):
            taken = self.quotas.try_acquire(stock, self.clock.now())
            if taken is None:
                await self.request_tokens(stock)
                taken = self.quotas.try_acquire(stock, self.clock.now())
            if taken is not None:
                return taken
        self.journal.count("rate_apart", account.name)
        return self.quotas.try_acquire_fallback(stock, self.clock.now())

    async def request_tokens(self, stock: TokenCache) -> None:
        """Ask the home of an account for tokens and wait for its answer."""
        name = stock.account.name
        self.waiting[name] += 1
        try:
            event = self.reply_events.get(name)
            if event is None:
                event = self.reply_events[name] = curio.Event()
                await self.send_request(
                    stock.slot, {name: self.quotas.prefetch_size(stock)}
                )
            elif self.waiting[name] > 1:
                await self.send_request(stock.slot, {name: 1})
            if not event.is_set():
                await curio.ignore_after(REPLY_TIMEOUT_SECONDS, event.wait)
            if self.reply_events.get(name) is event:
                del self.reply_events[name]
        finally:
            self.waiting[name] -= 1

    async def send_request(self, slot: int, wants: dict[str, int]) -> None:
        """Send a question to the home of a slot, which may be this node."""
        self.sequence += 1
        quotas = self.quotas
        ask = TokenRequest(quotas.address, self.sequence, slot, wants)
        home = quotas.owner(slot)
        now = self.clock.now()
        if home == quotas.address:
            await self.receive_grant(quotas.grant(ask, now), now)
        elif home:
            address = f"{home.rpartition(':')[0]}:{self.port}"
            await self.sock.send(DATAGRAM_KIND, encode_message(ask), address)

    async def receive(self, data: bytes, sender: Address) -> None:
        """Take a datagram; see the base class."""
        message = decode_message(data)
        now = self.clock.now()
        if isinstance(message, TokenRequest):
            grant = self.quotas.grant(message, now)
            await self.sock.send(
                DATAGRAM_KIND, encode_message(grant), format_address(sender)
            )
        elif isinstance(message, TokenGrant):
            await self.receive_grant(message, now)

    async def receive_grant(self, grant: TokenGrant, now: float) -> None:
        """Take an answer and wake the requests that wait for it."""
        self.quotas.apply_grant(grant, now)
        for name in grant.grants:
            event = self.reply_events.pop(name, None)
            if event is not None:
                await event.set()

    async def run(self) -> None:
        """Report to all homes at intervals until cancelled."""
        while True:
            await curio.sleep(REPORT_INTERVAL_SECONDS)
            self.refresh_nodes()
            for slot in range(SLOT_COUNT):
                await self.send_request(slot, {})

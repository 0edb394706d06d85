"""Rate limiter of client accounts, with datagrams between nodes and slot owners."""

import secrets
from collections import Counter

import curio

from ..clock import Clock
from ..datagrams import Address, DatagramHandler, DatagramSocket, format_address
from ..ticks import sleep_until_tick
from .configuration import Account
from .journal import Journal
from .monitor import PeerMonitor
from .quotas import (
    CACHED_TOKEN_SECONDS,
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
# Several round trips between failure domains.
REPLY_TIMEOUT_SECONDS = 0.04
# Time without a reply after which another node owns the slots: four lost reports.
OWNER_TIMEOUT_SECONDS = 1.2
# A request whose datagram or reply was lost is sent once more.
MAX_ATTEMPTS = 2


class RateLimiter(DatagramHandler):
    """Limits the rates of accounts, and grants tokens to other nodes as slot owner.

    Attributes:
        sequence: Sequence number of the newest token request. The first one is random,
            so that no grant for an earlier start of this node is taken.
        refreshed_state: State of the directory at the last refresh by ``run``; None
            before it.
        unanswered_since: Time of the oldest report or request without a reply, by the
            address of its owner, in seconds.
        requested_at: Time of each token request without a grant, in seconds.
        waiting: Number of requests that wait for a grant, by account.
        reply_events: Events that are set when a grant arrives, by account.
    """

    def __init__(
        self,
        quotas: Quotas,
        sock: DatagramSocket,
        peer_monitor: PeerMonitor,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self.quotas = quotas
        self.sock = sock
        self.peer_monitor = peer_monitor
        self.journal = journal
        self.clock = clock
        self.port = int(sock.address.rpartition(":")[2])
        self.sequence = secrets.randbits(32)
        self.refreshed_state: tuple[int, bool, int] | None = None
        self.unanswered_since: dict[str, float] = {}
        self.requested_at: dict[int, float] = {}
        self.waiting: Counter[str] = Counter()
        self.reply_events: dict[str, curio.Event] = {}
        sock.handlers[DATAGRAM_KIND] = self

    def refresh_nodes(self) -> None:
        """Update the known and the reachable nodes from the directory."""
        directory = self.peer_monitor.directory
        self.quotas.nodes_known = directory.hosts_known
        self.quotas.set_nodes(
            sorted(directory.hosts), self.peer_monitor.reachable_hosts()
        )

    def refresh_changed_nodes(self) -> None:
        """Update the nodes unless neither they nor their reachability have changed.

        The reason of a suspension, on which reachability depends, may change without
        another generation.
        """
        monitor = self.peer_monitor
        directory = monitor.directory
        state = (monitor.generation, directory.hosts_known, len(directory.hosts))
        if monitor.suspended or state != self.refreshed_state:
            self.refreshed_state = state
            self.refresh_nodes()

    async def acquire(self, account: Account) -> bool | None:
        """Acquire a token for one request.

        Returns:
            False if the account is over its rate; None if the other nodes are not
            known yet, so that its rate cannot be enforced.
        """
        if account.rate <= 0:
            return True
        if not self.quotas.nodes_known:
            return None
        now = self.clock.now()
        cache = self.quotas.token_cache(account, now)
        cache.record_demand(now)
        for _ in range(MAX_ATTEMPTS):
            acquired = self.quotas.try_acquire(cache, self.clock.now())
            if acquired is None:
                await self.request_tokens(cache)
                acquired = self.quotas.try_acquire(cache, self.clock.now())
            if acquired is not None:
                return acquired
        self.journal.count("rate_apart", account.name)
        return self.quotas.try_acquire_fallback(cache, self.clock.now())

    async def request_tokens(self, cache: TokenCache) -> None:
        """Request tokens from the owner of an account and wait for the grant."""
        name = cache.account.name
        self.waiting[name] += 1
        try:
            event = self.reply_events.get(name)
            if event is None:
                event = self.reply_events[name] = curio.Event()
                await self.send_request(
                    cache.slot, {name: self.quotas.prefetch_size(cache)}
                )
            elif self.waiting[name] > 1:
                await self.send_request(cache.slot, {name: 1})
            if not event.is_set():
                await curio.ignore_after(REPLY_TIMEOUT_SECONDS, event.wait)
            if self.reply_events.get(name) is event:
                del self.reply_events[name]
        finally:
            self.waiting[name] -= 1

    async def send_request(self, slot: int, tokens_by_account: dict[str, int]) -> None:
        """Send a token request to the owner of a slot, which may be this node."""
        self.sequence += 1
        quotas = self.quotas
        request = TokenRequest(quotas.address, self.sequence, slot, tokens_by_account)
        owner = quotas.owner(slot)
        now = self.clock.now()
        if tokens_by_account:
            self.requested_at[self.sequence] = now
        if owner == quotas.address:
            await self.receive_grant(quotas.grant(request, now), now)
        elif owner:
            self.unanswered_since.setdefault(owner, now)
            await self.send(request, owner)

    async def send(self, request: TokenRequest, node: str) -> None:
        """Send a request or a report to another node."""
        address = f"{node.rpartition(':')[0]}:{self.port}"
        await self.sock.send(DATAGRAM_KIND, encode_message(request), address)

    async def probe_silent_nodes(self) -> None:
        """Report to the nodes that do not reply; a reply shows that they are back."""
        for node in list(self.quotas.silent):
            if node not in self.quotas.reachable:
                self.quotas.take_back(node)
                continue
            await self.send(TokenRequest(self.quotas.address, 0, 0, {}), node)

    async def receive(self, data: bytes, sender: Address) -> None:
        """Handle a datagram; see the base class."""
        message = decode_message(data)
        now = self.clock.now()
        if isinstance(message, TokenRequest):
            grant = self.quotas.grant(message, now)
            await self.sock.send(
                DATAGRAM_KIND, encode_message(grant), format_address(sender)
            )
        elif isinstance(message, TokenGrant):
            self.record_reply(sender)
            await self.receive_grant(message, now)

    def record_reply(self, sender: Address) -> None:
        """Note that an owner replies."""
        port = self.quotas.address.rpartition(":")[2]
        owner = f"{sender[0]}:{port}"
        self.unanswered_since.pop(owner, None)
        self.quotas.take_back(owner)

    def pass_over_silent_owners(self) -> None:
        """Choose other owners than those that have not replied for some time."""
        now = self.clock.now()
        for owner, since in list(self.unanswered_since.items()):
            if now - since > OWNER_TIMEOUT_SECONDS:
                del self.unanswered_since[owner]
                self.quotas.pass_over(owner)
                self.journal.write("owner_silent", host=owner)

    async def receive_grant(self, grant: TokenGrant, now: float) -> None:
        """Apply a grant and wake the requests that wait for it.

        A repeated grant and one that arrives after its tokens expired are ignored.
        """
        requested_at = self.requested_at.pop(grant.sequence, None)
        if requested_at is None or now - requested_at > CACHED_TOKEN_SECONDS:
            if grant.grants:
                self.journal.count("grant_late")
            return
        self.quotas.apply_grant(grant, requested_at, now)
        for name in grant.grants:
            event = self.reply_events.pop(name, None)
            if event is not None:
                await event.set()

    def forget_expired_requests(self) -> None:
        """Forget token requests whose grants would come too late."""
        expired_at = self.clock.now() - CACHED_TOKEN_SECONDS
        self.requested_at = {
            sequence: requested_at
            for sequence, requested_at in self.requested_at.items()
            if requested_at > expired_at
        }

    async def run(self) -> None:
        """Report to all slot owners at intervals until cancelled."""
        while True:
            await sleep_until_tick(REPORT_INTERVAL_SECONDS)
            self.refresh_changed_nodes()
            self.pass_over_silent_owners()
            self.forget_expired_requests()
            for slot in range(SLOT_COUNT):
                await self.send_request(slot, {})
            await self.probe_silent_nodes()

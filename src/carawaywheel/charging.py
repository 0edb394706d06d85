"""Service that charges requests to client accounts, with borrowed tokens."""

from collections.abc import Callable
from typing import Any

import curio

from .borrowers import Borrower, NeedsTokens
from .clock import Clock
from .datagrams import Address, DatagramHandler, DatagramSocket, format_address
from .errors import ProtocolError
from .lenders import Lender
from .refusals import Refusal
from .shares import TokenGrant, TokenRequest, decode_message, encode_message

SHARE_KIND = b"s"
FLUSH_INTERVAL_SECONDS = 0.05
IDLE_INTERVAL_SECONDS = 0.25


class ChargingService(DatagramHandler):
    """Exchanges tokens with other nodes and lets callers wait for them.

    Attributes:
        addresses: Gossip addresses by node id.
        node_by_address: Node ids by gossip address.
        grant_events: Events that wake the callers waiting for a grant, by account.
        before_lend: Called with the time before tokens are lent, to detect that the
            process was suspended.
    """

    def __init__(
        self,
        node_id: str,
        borrower: Borrower,
        lender: Lender,
        sock: DatagramSocket,
        clock: Clock,
    ) -> None:
        self.node_id = node_id
        self.borrower = borrower
        self.lender = lender
        self.sock = sock
        self.clock = clock
        self.addresses: dict[str, str] = {}
        self.node_by_address: dict[str, str] = {}
        self.grant_events: dict[str, Any] = {}
        self.before_lend: Callable[[float], object] = lambda now: None
        sock.handlers[SHARE_KIND] = self

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Set the gossip addresses by node id."""
        self.addresses = addresses
        self.node_by_address = {address: node for node, address in addresses.items()}

    async def charge(self, account: str) -> Refusal | None:
        """Charge one request to a client account, waiting for a token if needed.

        Returns:
            None if the request was charged, or a refusal.
        """
        result = self.borrower.acquire(account, self.clock.now())
        while isinstance(result, NeedsTokens):
            # Registered before sending, since the grant may arrive in the meantime.
            event = self.grant_events.setdefault(account, curio.Event())
            try:
                await self.flush(account)
                await wait_or_timeout(event, result.retry_at - self.clock.now())
            except curio.CancelledError:
                self.borrower.cancel_wait(account)
                raise
            result = self.borrower.acquire(account, self.clock.now(), waited=True)
        return result if isinstance(result, Refusal) else None

    def refund(self, account: str) -> None:
        """Refund the token of a request that has provably not run."""
        self.borrower.refund(account, self.clock.now())

    async def flush(self, account: str | None = None) -> None:
        """Send the token requests that are due, of one account or of all."""
        for lender_ref, request in self.borrower.due_requests(
            self.clock.now(), account
        ):
            if lender_ref.node == self.node_id:
                await self.handle_own_request(request)
            elif lender_ref.node in self.addresses:
                data = encode_message(request)
                await self.sock.send(SHARE_KIND, data, self.addresses[lender_ref.node])

    async def handle_own_request(self, request: TokenRequest) -> None:
        """Handle a request of this node to itself, without a datagram."""
        now = self.clock.now()
        self.before_lend(now)
        grant = self.lender.handle_request(request, now)
        if grant is not None:
            await self.handle_grant(self.node_id, grant)

    async def receive(self, data: bytes, sender: Address) -> None:
        """Handle a token request or a grant of another node."""
        try:
            message = decode_message(data)
        except ProtocolError:
            self.sock.rejected += 1
            return
        address = format_address(sender)
        if isinstance(message, TokenRequest):
            # Read after the datagram arrived, see `Lender.handle_request`.
            now = self.clock.now()
            self.before_lend(now)
            grant = self.lender.handle_request(message, now)
            if grant is not None:
                await self.sock.send(SHARE_KIND, encode_message(grant), address)
            return
        node = self.node_by_address.get(address)
        if node is not None:
            await self.handle_grant(node, message)

    async def handle_grant(self, node: str, grant: TokenGrant) -> None:
        """Apply a grant and wake the callers that wait for it."""
        self.borrower.handle_grant(node, grant, self.clock.now())
        event = self.grant_events.pop(grant.account, None)
        if event is not None:
            await event.set()
        await self.flush(grant.account)

    async def run(self) -> None:
        """Send due requests for all accounts until cancelled."""
        while True:
            idle = not self.borrower.active
            await curio.sleep(IDLE_INTERVAL_SECONDS if idle else FLUSH_INTERVAL_SECONDS)
            await self.flush()


async def wait_or_timeout(event: Any, seconds: float) -> None:
    """Wait until an event is set, but for ``seconds`` at most."""
    try:
        await curio.timeout_after(max(0.0, seconds), event.wait)
    except curio.TaskTimeout:
        return

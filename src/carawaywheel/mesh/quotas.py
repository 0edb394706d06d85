"""Rates of client accounts, kept over all nodes together.

Accounts are hashed to a few slots, and each slot has a home node, chosen by rendezvous
hashing. The home holds the token bucket of each account; other nodes ask it for tokens
when a request needs one. Every node also reports to each home now and then, which
lends the home the node's equal part of the rates. A node that cannot reach a home uses
its own part, and the home keeps aside the parts of nodes that do not report, but for a
few that the overage allows, until they are taken for gone.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..buckets import TokenBucket
from .configuration import Account

# A node sends as many reports as there are slots; more of them spread the work.
SLOT_COUNT = 4
REPORT_INTERVAL_SECONDS = 0.3
# Longer than three reports, so that a lost datagram or two change nothing.
LEASE_SECONDS = 1.0
# Seconds between two counts of the nodes that a home hears.
SHARE_UPDATE_SECONDS = 0.1
# Tokens that a node holds ahead of demand, in seconds of its demand: less than their
# time, so that few of them are lost unused.
PREFETCH_SECONDS = 0.4
# Part of its burst above which a bucket lends ahead; below it, tokens that one node
# does not use would be missed by another.
PREFETCH_MIN_FILL = 0.5
# Seconds for which tokens ahead of demand may be used.
CACHED_TOKEN_SECONDS = 0.5
# Seconds for which the token of a request that did not run may be used again.
REFUNDED_TOKEN_SECONDS = 0.03
# Time constant of the demand of an account at a node, in seconds.
DEMAND_TIME_CONSTANT_SECONDS = 0.5
# Part of its burst that a bucket holds at first, as another home may have given the
# rest: well below the overage of a tenth that the shortest window allows.
INITIAL_FILL = 0.4
# Tokens that a node's own part holds at least, for one request.
MIN_BURST_TOKENS = 1.0
# Part of a node's equal share that it uses while it cannot reach a home.
FALLBACK_SHARE = 0.8
# Part of its share that a home lends that hears at most half of the nodes, as another
# home may lend the shares of the others.
MINORITY_SHARE = 0.4
# Part of the nodes whose shares a home that hears most of them lends although they are
# silent. With MINORITY_SHARE, that stays within the overage of a tenth.
SILENT_NODE_SHARE = 0.15
# Seconds of silence after which a node counts as gone: longer than a partition.
NODE_EXPIRY_SECONDS = 20.0
# Shortest and longest time in seconds for which a home turns an account away.
MIN_BLOCK_SECONDS = 0.03
MAX_BLOCK_SECONDS = 0.25


class TokenRequest(NamedTuple):
    """Question of a node to the home of a slot; without wants, a report.

    Attributes:
        sender: Address of the node.
        sequence: Number of the question.
        slot: The slot.
        wants: Tokens wanted, by account.
    """

    sender: str
    sequence: int
    slot: int
    tokens_by_account: dict[str, int]


class AccountGrant(NamedTuple):
    """What a home gives of one account.

    Attributes:
        tokens: Tokens.
        pause: Seconds for which the account has no more; 0 if it was given all.
    """

    tokens: int
    blocked_seconds: float


class TokenGrant(NamedTuple):
    """Answer of a home.

    Attributes:
        sequence: Number of the question.
        slot: The slot.
        lent: What is given, by account.
    """

    sequence: int
    slot: int
    grants: dict[str, AccountGrant]


class WireMessage(msgspec.Struct, array_like=True, omit_defaults=True):
    """Form of both messages on the wire; an answer has no sender."""

    sequence: int
    slot: int
    sender: str = ""
    wants: dict[str, int] = {}
    lent: dict[str, AccountGrant] = {}


decoder = msgspec.msgpack.Decoder(WireMessage)


def encode_message(message: TokenRequest | TokenGrant) -> bytes:
    """Encode a question or an answer."""
    wire = WireMessage(message.sequence, message.slot)
    if isinstance(message, TokenRequest):
        wire.sender, wire.wants = message.sender, message.tokens_by_account
    else:
        wire.lent = message.grants
    return msgspec.msgpack.encode(wire)


def decode_message(data: bytes) -> TokenRequest | TokenGrant | None:
    """Decode a question or an answer; None if it is neither."""
    try:
        wire = decoder.decode(data)
    except msgspec.DecodeError:
        return None
    if wire.sender:
        return TokenRequest(wire.sender, wire.sequence, wire.slot, wire.wants)
    return TokenGrant(wire.sequence, wire.slot, wire.lent)


def hash_slot(account: str) -> int:
    """Return the slot of an account."""
    return int.from_bytes(hashlib.blake2b(account.encode()).digest()[:4]) % SLOT_COUNT


def slot_owner(slot: int, nodes: Iterable[str]) -> str:
    """Return the home of a slot; empty without nodes."""
    return max(nodes, key=lambda node: rendezvous_score(slot, node), default="")


def rendezvous_score(slot: int, node: str) -> bytes:
    """Return the weight of a node in rendezvous hashing."""
    return hashlib.blake2b(f"{slot} {node}".encode(), digest_size=8).digest()


class SlotBuckets:
    """Token buckets of the accounts of one slot.

    Attributes:
        heard: Time of the newest question of each node, in seconds.
        since: Time from which all nodes have asked here, in seconds.
        buckets: Bucket of each account.
        share: Part of the rates that this home lends.
        share_until: Time until which this part is used, in seconds.
    """

    def __init__(self) -> None:
        self.reported_at: dict[str, float] = {}
        self.owned_since = 0.0
        self.buckets: dict[str, TokenBucket] = {}
        self.share = 0.0
        self.share_until = 0.0

    def record_report(self, sender: str, now: float) -> None:
        """Note that a node lends its part."""
        if now - max(self.reported_at.values(), default=0.0) > LEASE_SECONDS:
            # Another home may have given tokens meanwhile.
            self.owned_since = now
            self.reported_at.clear()
            self.buckets.clear()
        if now - self.reported_at.get(sender, 0.0) > LEASE_SECONDS:
            self.share_until = now
        self.reported_at[sender] = now

    def usable_share(self, nodes: list[str], now: float) -> float:
        """Return the part of the rates that this home may lend.

        Args:
            nodes: Nodes that are known.
            now: Time in seconds.
        """
        if now < self.share_until:
            return self.share
        active = sum(
            now - heard <= LEASE_SECONDS for heard in self.reported_at.values()
        )
        gone = sum(
            now - self.reported_at.get(node, self.owned_since) > NODE_EXPIRY_SECONDS
            for node in nodes
        )
        total = max(active, len(nodes) - gone)
        lent = float(active)
        if 2 * active <= total:
            lent *= MINORITY_SHARE
        elif now - self.owned_since > LEASE_SECONDS:
            lent = min(total, active + int(SILENT_NODE_SHARE * total))
        self.share = lent / total
        self.share_until = now + SHARE_UPDATE_SECONDS
        return self.share

    def grant(
        self, account: Account, wanted: int, share: float, now: float
    ) -> AccountGrant:
        """Give tokens of an account.

        Args:
            account: The account.
            wanted: Tokens wanted.
            share: Part of its rate that may be lent.
            now: Time in seconds.
        """
        rate = account.rate * share
        burst = max(MIN_BURST_TOKENS, account.burst * share)
        bucket = self.buckets.get(account.name)
        if bucket is None:
            level = burst * INITIAL_FILL + rate * (now - self.owned_since)
            level = max(MIN_BURST_TOKENS, level)
            bucket = self.buckets[account.name] = TokenBucket(rate, burst, now, level)
        elif bucket.rate != rate or bucket.burst != burst:
            bucket.reconfigure(rate, burst, now)
        if bucket.available(now) < PREFETCH_MIN_FILL * burst:
            wanted = 1
        tokens = min(wanted, int(bucket.available(now)))
        if tokens:
            bucket.take(tokens, now)
        if tokens == wanted:
            return AccountGrant(tokens, 0.0)
        pause = (1.0 - bucket.level) / rate
        return AccountGrant(
            tokens, min(max(pause, MIN_BLOCK_SECONDS), MAX_BLOCK_SECONDS)
        )


class TokenCache:
    """Tokens of one account at a node.

    Attributes:
        account: The account.
        slot: Its slot.
        tokens: Tokens that its home gave.
        tokens_until: Time until which they may be used, in seconds.
        blocked_until: Time until which the home has no more, in seconds.
        apart: Bucket of the node's own part, for when the home cannot be reached.
        demand: Smoothed requests a second.
    """

    def __init__(self, account: Account, nodes: int, now: float) -> None:
        self.account = account
        self.slot = hash_slot(account.name)
        self.tokens = 0
        self.tokens_until = 0.0
        self.blocked_until = 0.0
        self.demand = 0.0
        self.demanded_at = now
        rate, burst = self.fallback_rate(nodes)
        self.fallback = TokenBucket(rate, burst, now, MIN_BURST_TOKENS)

    def fallback_rate(self, nodes: int) -> tuple[float, float]:
        """Return rate and burst of the node's own part."""
        share = FALLBACK_SHARE / nodes
        return self.account.rate * share, max(
            MIN_BURST_TOKENS, self.account.burst * share
        )

    def record_demand(self, now: float) -> None:
        """Count a request in the demand."""
        gain = 1.0 / DEMAND_TIME_CONSTANT_SECONDS
        elapsed = now - self.demanded_at
        self.demand = self.demand * max(0.0, 1.0 - elapsed * gain) + gain
        self.demanded_at = now


class Quotas:
    """Accounts at one node, as user and as home.

    Attributes:
        address: Address of this node.
        nodes: Addresses of the nodes that are known, this one included.
        known: Whether the other nodes are known; without them, each of many nodes would
            take itself for the only one.
        live: Those of them that can be reached.
        accounts: Accounts of the configuration.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.nodes_known = False
        self.nodes: list[str] = [address]
        self.reachable: list[str] = [address]
        self.owners: dict[int, str] = {}
        self.caches: dict[str, TokenCache] = {}
        self.slots = [SlotBuckets() for _ in range(SLOT_COUNT)]
        self.accounts: dict[str, Account] = {}

    def configure(self, accounts: dict[str, Account]) -> None:
        """Use the rates of a new configuration."""
        self.accounts = accounts
        for name in list(self.caches):
            account = accounts.get(name)
            if account is None:
                del self.caches[name]
            elif account != self.caches[name].account:
                self.caches[name].account = account
                self.caches[name].tokens = 0

    def set_nodes(self, nodes: list[str], live: list[str]) -> None:
        """Replace the nodes that are known and those that can be reached."""
        if nodes != self.nodes or live != self.reachable:
            self.nodes, self.reachable = nodes, live
            self.owners.clear()

    def owner(self, slot: int) -> str:
        """Return the home of a slot."""
        home = self.owners.get(slot)
        if home is None:
            home = self.owners[slot] = slot_owner(slot, self.reachable)
        return home

    def token_cache(self, account: Account, now: float) -> TokenCache:
        """Return this node's tokens of an account."""
        stock = self.caches.get(account.name)
        if stock is None:
            stock = self.caches[account.name] = TokenCache(
                account, len(self.nodes), now
            )
        return stock

    def try_acquire(self, stock: TokenCache, now: float) -> bool | None:
        """Take a token.

        Returns:
            Whether the request is within the rate; None if the home must be asked.
        """
        if stock.tokens and now <= stock.tokens_until:
            stock.tokens -= 1
            return True
        stock.tokens = 0
        return False if now < stock.blocked_until else None

    def prefetch_size(self, stock: TokenCache) -> int:
        """Return the tokens to ask the home of an account for."""
        return 1 + int(stock.demand * PREFETCH_SECONDS)

    def try_acquire_fallback(self, stock: TokenCache, now: float) -> bool:
        """Take a token of the node's own part, when the home does not answer."""
        stock.fallback.reconfigure(*stock.fallback_rate(len(self.nodes)), now)
        return stock.fallback.take(1.0, now)

    def refund(self, account: Account, now: float) -> None:
        """Give back the token of a request that did not run."""
        stock = self.caches.get(account.name)
        if stock is not None:
            stock.tokens += 1
            stock.tokens_until = max(stock.tokens_until, now + REFUNDED_TOKEN_SECONDS)

    def grant(self, ask: TokenRequest, now: float) -> TokenGrant:
        """Answer a node as the home of a slot."""
        home = self.slots[ask.slot % SLOT_COUNT]
        home.record_report(ask.sender, now)
        share = home.usable_share(self.nodes, now)
        lent = {}
        for name, wanted in ask.tokens_by_account.items():
            account = self.accounts.get(name)
            if account is not None and account.rate > 0 and wanted > 0:
                lent[name] = home.grant(account, wanted, share, now)
        return TokenGrant(ask.sequence, ask.slot, lent)

    def apply_grant(self, grant: TokenGrant, now: float) -> None:
        """Take the tokens that a home gave."""
        for name, lent in grant.grants.items():
            stock = self.caches.get(name)
            if stock is None:
                continue
            if now > stock.tokens_until:
                stock.tokens = 0
            stock.tokens += lent.tokens
            stock.tokens_until = now + CACHED_TOKEN_SECONDS
            stock.blocked_until = now + lent.blocked_seconds

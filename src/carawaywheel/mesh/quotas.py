"""Distributed token buckets that enforce the rates of client accounts.

Accounts are hashed to a few slots, and each slot has an owner node, chosen by
rendezvous hashing. The owner holds the token bucket of each account in the slot; other
nodes request tokens from it when a request needs one.

Every node reports to each owner at intervals. A report leases the node's equal share of
the rates to the owner. An owner withholds the shares of nodes that do not report until
these nodes expire, except for a few that the permitted overage covers. A node that
cannot reach an owner falls back to its own share.
"""

import functools
import hashlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..buckets import TokenBucket
from .configuration import Account

# Each node sends one report per slot and interval; more slots spread the load over more
# owners but cost more datagrams.
SLOT_COUNT = 4
REPORT_INTERVAL_SECONDS = 0.3
# Longer than three report intervals, so that losing one or two datagrams has no effect.
LEASE_SECONDS = 1.0
# Interval at which an owner recomputes the share that it may grant.
SHARE_UPDATE_SECONDS = 0.1
# Tokens that a node prefetches, in seconds of its demand. Shorter than
# CACHED_TOKEN_SECONDS, so that few prefetched tokens expire unused.
PREFETCH_SECONDS = 0.4
# Fraction of its burst that a bucket must hold to grant more than one token. Below it,
# a token that sits unused at one node would be refused to another.
PREFETCH_MIN_FILL = 0.5
# Lifetime of granted tokens, from their request on.
CACHED_TOKEN_SECONDS = 0.5
# Lifetime of a token that was refunded for a request that did not run.
REFUNDED_TOKEN_SECONDS = 0.03
DEMAND_TIME_CONSTANT_SECONDS = 0.5
# Initial fill of a bucket as a fraction of its burst. A former owner may have granted
# the rest; well below the overage of a tenth that the shortest window allows.
INITIAL_FILL = 0.4
# A node's own share must allow at least one request.
MIN_BURST_TOKENS = 1.0
# Fraction of its equal share that a node uses while it cannot reach an owner.
FALLBACK_SHARE = 0.8
# Fraction of the leased shares that an owner grants while at most half of the nodes
# report to it. Another owner of the same slot may grant the shares of the others.
MINORITY_SHARE = 0.4
# Fraction of the nodes whose shares an owner grants although they do not report, while
# more than half of all nodes do. Together with MINORITY_SHARE, this stays within the
# overage of a tenth.
SILENT_NODE_SHARE = 0.15
# Time without reports after which a node counts as gone; longer than a partition lasts.
NODE_EXPIRY_SECONDS = 20.0
# Bounds of the time for which an owner blocks an account without tokens.
MIN_BLOCK_SECONDS = 0.03
MAX_BLOCK_SECONDS = 0.25


class TokenRequest(NamedTuple):
    """Request of a node to the owner of a slot; without tokens, a report.

    Attributes:
        sender: Address of the node.
        sequence: Sequence number of the request.
        slot: The slot.
        tokens_by_account: Tokens requested, by account.
    """

    sender: str
    sequence: int
    slot: int
    tokens_by_account: dict[str, int]


class AccountGrant(NamedTuple):
    """Tokens granted for one account.

    Attributes:
        tokens: Tokens granted.
        blocked_seconds: Seconds for which the owner has no more tokens; 0 if the
            request was granted in full.
    """

    tokens: int
    blocked_seconds: float


class TokenGrant(NamedTuple):
    """Reply of an owner to a token request.

    Attributes:
        sequence: Sequence number of the request.
        slot: The slot.
        grants: Grants by account.
    """

    sequence: int
    slot: int
    grants: dict[str, AccountGrant]


class WireMessage(msgspec.Struct, array_like=True, omit_defaults=True):
    """Wire form of requests and grants; a grant has no sender."""

    sequence: int
    slot: int
    sender: str = ""
    wants: dict[str, int] = {}
    lent: dict[str, AccountGrant] = {}


decoder = msgspec.msgpack.Decoder(WireMessage)


def encode_message(message: TokenRequest | TokenGrant) -> bytes:
    """Encode a request or a grant."""
    wire = WireMessage(message.sequence, message.slot)
    if isinstance(message, TokenRequest):
        wire.sender, wire.wants = message.sender, message.tokens_by_account
    else:
        wire.lent = message.grants
    return msgspec.msgpack.encode(wire)


def decode_message(data: bytes) -> TokenRequest | TokenGrant | None:
    """Decode a request or a grant; return None if the data is malformed."""
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
    """Return the owner of a slot; empty if there are no nodes."""
    return max(nodes, key=lambda node: rendezvous_score(slot, node), default="")


@functools.lru_cache(maxsize=1 << 14)
def rendezvous_score(slot: int, node: str) -> bytes:
    """Return the score of a node for a slot; the highest score owns the slot."""
    return hashlib.blake2b(f"{slot} {node}".encode(), digest_size=8).digest()


class SlotBuckets:
    """Token buckets of the accounts of one slot, at its owner.

    Attributes:
        reported_at: Time of the newest request or report of each node, in seconds.
        newest_report_at: Time of the newest one of all nodes, in seconds.
        owned_since: Time since which nodes have reported here without a gap, in
            seconds.
        buckets: Bucket of each account.
        share: Fraction of the rates that this owner may grant.
        share_until: Time until which this fraction is valid, in seconds.
    """

    def __init__(self) -> None:
        self.reported_at: dict[str, float] = {}
        self.newest_report_at = 0.0
        self.owned_since = 0.0
        self.buckets: dict[str, TokenBucket] = {}
        self.share = 0.0
        self.share_until = 0.0

    def record_report(self, sender: str, now: float) -> None:
        """Renew the lease of a node's share."""
        if now - self.newest_report_at > LEASE_SECONDS:
            # Another owner may have granted tokens in the meantime.
            self.owned_since = now
            self.reported_at.clear()
            self.buckets.clear()
        if now - self.reported_at.get(sender, 0.0) > LEASE_SECONDS:
            self.share_until = now
        self.reported_at[sender] = self.newest_report_at = now

    def usable_share(self, nodes: list[str], now: float) -> float:
        """Return the fraction of the rates that this owner may grant.

        Args:
            nodes: Known nodes.
            now: Time in seconds.
        """
        if now < self.share_until:
            return self.share
        active = sum(
            now - reported_at <= LEASE_SECONDS
            for reported_at in self.reported_at.values()
        )
        expired = sum(
            now - self.reported_at.get(node, self.owned_since) > NODE_EXPIRY_SECONDS
            for node in nodes
        )
        total = max(active, len(nodes) - expired)
        usable = float(active)
        if 2 * active <= total:
            usable *= MINORITY_SHARE
        elif now - self.owned_since > LEASE_SECONDS:
            usable = min(total, active + int(SILENT_NODE_SHARE * total))
        self.share = usable / total
        self.share_until = now + SHARE_UPDATE_SECONDS
        return self.share

    def grant(
        self, account: Account, requested: int, share: float, now: float
    ) -> AccountGrant:
        """Grant tokens of an account.

        Args:
            account: The account.
            requested: Tokens requested.
            share: Fraction of the account's rate that may be granted.
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
            requested = 1
        tokens = min(requested, int(bucket.available(now)))
        if tokens:
            bucket.take(tokens, now)
        if tokens == requested:
            return AccountGrant(tokens, 0.0)
        next_token_seconds = (1.0 - bucket.level) / rate
        return AccountGrant(
            tokens, min(max(next_token_seconds, MIN_BLOCK_SECONDS), MAX_BLOCK_SECONDS)
        )


class TokenCache:
    """Tokens of one account that a node holds.

    Attributes:
        account: The account.
        slot: Slot of the account.
        tokens: Tokens granted by the owner and not yet used.
        tokens_until: Time at which these tokens expire, in seconds.
        blocked_until: Time until which the owner has no more tokens, in seconds.
        fallback: Bucket of the node's own share, for when the owner is unreachable.
        demand: Exponentially smoothed request rate, per second.
        demanded_at: Time of the last request counted in the demand, in seconds.
    """

    def __init__(self, account: Account, node_count: int, now: float) -> None:
        self.account = account
        self.slot = hash_slot(account.name)
        self.tokens = 0
        self.tokens_until = 0.0
        self.blocked_until = 0.0
        self.demand = 0.0
        self.demanded_at = now
        rate, burst = self.fallback_rate(node_count)
        self.fallback = TokenBucket(rate, burst, now, MIN_BURST_TOKENS)

    def fallback_rate(self, node_count: int) -> tuple[float, float]:
        """Return rate and burst of the fallback bucket."""
        share = FALLBACK_SHARE / node_count
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
    """Account quotas at one node, which consumes tokens and owns slots.

    Attributes:
        address: Address of this node.
        nodes: Addresses of all known nodes, including this one.
        nodes_known: Whether the other nodes are known. Until then, each node of a
            starting fleet would regard itself as the only one.
        reachable: The known nodes that can be reached.
        silent: Addresses of the nodes that do not reply; they own no slot.
        owners: Cached owner of each slot.
        caches: Token caches by account.
        slots: Buckets of each slot, used for the slots that this node owns.
        accounts: Accounts of the configuration, by name.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.nodes_known = False
        self.nodes: list[str] = [address]
        self.reachable: list[str] = [address]
        self.silent: set[str] = set()
        self.owners: dict[int, str] = {}
        self.caches: dict[str, TokenCache] = {}
        self.slots = [SlotBuckets() for _ in range(SLOT_COUNT)]
        self.accounts: dict[str, Account] = {}

    def configure(self, accounts: dict[str, Account]) -> None:
        """Apply the accounts of a new configuration."""
        self.accounts = accounts
        for name in list(self.caches):
            account = accounts.get(name)
            if account is None:
                del self.caches[name]
            elif account != self.caches[name].account:
                self.caches[name].account = account
                self.caches[name].tokens = 0

    def set_nodes(self, nodes: list[str], reachable: list[str]) -> None:
        """Replace the known nodes and the reachable ones."""
        if nodes != self.nodes or reachable != self.reachable:
            self.nodes, self.reachable = nodes, reachable
            self.owners.clear()

    def owner(self, slot: int) -> str:
        """Return the owner of a slot."""
        owner = self.owners.get(slot)
        if owner is None:
            replying = (n for n in self.reachable if n not in self.silent)
            owner = self.owners[slot] = slot_owner(slot, replying)
        return owner

    def pass_over(self, node: str) -> None:
        """Choose other owners than a node that does not reply."""
        if node != self.address and node not in self.silent:
            self.silent.add(node)
            self.owners.clear()

    def take_back(self, node: str) -> None:
        """Let a node that replies again own slots."""
        if node in self.silent:
            self.silent.discard(node)
            self.owners.clear()

    def token_cache(self, account: Account, now: float) -> TokenCache:
        """Return the token cache of an account, creating it if necessary."""
        cache = self.caches.get(account.name)
        if cache is None:
            cache = self.caches[account.name] = TokenCache(
                account, len(self.nodes), now
            )
        return cache

    def try_acquire(self, cache: TokenCache, now: float) -> bool | None:
        """Acquire a cached token.

        Returns:
            Whether the request is within the rate; None if this requires a token
            request to the owner.
        """
        if cache.tokens and now <= cache.tokens_until:
            cache.tokens -= 1
            return True
        cache.tokens = 0
        return False if now < cache.blocked_until else None

    def prefetch_size(self, cache: TokenCache) -> int:
        """Return how many tokens to request from the owner."""
        return 1 + int(cache.demand * PREFETCH_SECONDS)

    def try_acquire_fallback(self, cache: TokenCache, now: float) -> bool:
        """Acquire a token of the node's own share if the owner does not reply."""
        cache.fallback.reconfigure(*cache.fallback_rate(len(self.nodes)), now)
        return cache.fallback.take(1.0, now)

    def refund(self, account: Account, now: float) -> None:
        """Return the token of a request that did not run."""
        cache = self.caches.get(account.name)
        if cache is not None:
            cache.tokens += 1
            cache.tokens_until = max(cache.tokens_until, now + REFUNDED_TOKEN_SECONDS)

    def grant(self, request: TokenRequest, now: float) -> TokenGrant:
        """Handle a token request as the owner of its slot."""
        buckets = self.slots[request.slot % SLOT_COUNT]
        buckets.record_report(request.sender, now)
        share = buckets.usable_share(self.nodes, now)
        grants = {}
        for name, requested in request.tokens_by_account.items():
            account = self.accounts.get(name)
            if account is not None and account.rate > 0 and requested > 0:
                grants[name] = buckets.grant(account, requested, share, now)
        return TokenGrant(request.sequence, request.slot, grants)

    def apply_grant(self, grant: TokenGrant, requested_at: float, now: float) -> None:
        """Add granted tokens to the caches.

        Args:
            grant: The grant.
            requested_at: Time of its request, from which the tokens age, in seconds.
            now: Time in seconds.
        """
        for name, account_grant in grant.grants.items():
            cache = self.caches.get(name)
            if cache is None:
                continue
            if now > cache.tokens_until:
                cache.tokens = 0
            cache.tokens += account_grant.tokens
            cache.tokens_until = requested_at + CACHED_TOKEN_SECONDS
            cache.blocked_until = now + account_grant.blocked_seconds

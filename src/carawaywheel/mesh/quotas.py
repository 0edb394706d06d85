"""Rates of client accounts, kept over all nodes together.

Accounts are hashed to a few slots, and each slot has a home node, chosen by rendezvous
hashing. Every node reports to each home what it is asked for; the home divides the
rates by these reports and answers with each node's part, which is valid for a short
lease. A node without a lease uses an equal part, which the home keeps aside for every
node that does not report. The parts never add up to more than the rate.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..buckets import TokenBucket
from .document import Account

# A node sends as many reports as there are slots; more of them spread the work.
SLOTS = 4
REPORT_SECONDS = 0.25
# Longer than three reports, so that a lost datagram or two change nothing.
LEASE_SECONDS = 1.0
# Time constant of the demand of an account at a node, in seconds.
DEMAND_SECONDS = 0.7
# Part of the burst that is given out; the rest covers nodes that change leases.
BURST_SHARE = 0.7
# Part of its burst that a bucket holds at first, as an earlier one may have been spent.
FIRST_LEVEL = 0.4
# Tokens that the bucket of a small part holds at least, for one clump of requests.
LEAST_BURST = 1.0


class Report(NamedTuple):
    """Demand of the accounts of one slot at a node.

    Attributes:
        sender: Address of the node.
        sequence: Number of the report.
        slot: The slot.
        demand: Requests a second, by account.
    """

    sender: str
    sequence: int
    slot: int
    demand: dict[str, float]


class Grant(NamedTuple):
    """Parts of the rates that a home gives to a node.

    Attributes:
        home: Address of the home.
        sequence: Number of the report that it answers.
        slot: The slot of the accounts.
        shares: Part of the rate, between 0 and 1, by account.
    """

    home: str
    sequence: int
    slot: int
    shares: dict[str, float]


Message = Report | Grant


class WireMessage(msgspec.Struct, array_like=True):
    """Form of both messages on the wire."""

    kind: str
    address: str
    sequence: int
    slot: int
    figures: dict[str, float]


decoder = msgspec.msgpack.Decoder(WireMessage)


def encode_message(message: Message) -> bytes:
    """Encode a report or a grant."""
    kind = "r" if isinstance(message, Report) else "g"
    return msgspec.msgpack.encode(WireMessage(kind, *message))


def decode_message(data: bytes) -> Message | None:
    """Decode a report or a grant; None if it is neither."""
    try:
        wire = decoder.decode(data)
    except msgspec.DecodeError:
        return None
    fields = (wire.address, wire.sequence, wire.slot, wire.figures)
    return Report(*fields) if wire.kind == "r" else Grant(*fields)


def slot_of(account: str) -> int:
    """Return the slot of an account."""
    return int.from_bytes(hashlib.blake2b(account.encode()).digest()[:4]) % SLOTS


def home_of(slot: int, nodes: Iterable[str]) -> str:
    """Return the node at which a slot is divided; empty without nodes."""
    return max(nodes, key=lambda node: score(slot, node), default="")


def score(slot: int, node: str) -> bytes:
    """Return the weight of a node in rendezvous hashing."""
    return hashlib.blake2b(f"{slot} {node}".encode(), digest_size=8).digest()


class Home:
    """Divides the rates of the accounts of one slot.

    Attributes:
        heard: Time of the newest report of each node, in seconds.
        demand: Demand of each account by node.
    """

    def __init__(self) -> None:
        self.heard: dict[str, float] = {}
        self.demand: dict[str, dict[str, float]] = {}

    def receive(self, report: Report, now: float) -> None:
        """Take a report and forget the nodes that have not sent one for a lease."""
        self.heard[report.sender] = now
        for name, demand in report.demand.items():
            self.demand.setdefault(name, {})[report.sender] = demand
        lapsed = [
            sender
            for sender, heard_at in self.heard.items()
            if now - heard_at > LEASE_SECONDS
        ]
        for sender in lapsed:
            del self.heard[sender]
            for demands in self.demand.values():
                demands.pop(sender, None)

    def share(self, account: Account, sender: str, nodes: int) -> float:
        """Return the part of an account's rate for a node that reported on it.

        Args:
            account: The account.
            sender: The node.
            nodes: Number of nodes that may use the account.
        """
        demands = self.demand[account.name]
        available = account.rate * len(self.heard) / max(nodes, len(self.heard))
        total = sum(demands.values())
        if total <= available:
            # What nobody asks for is divided equally.
            spare = (available - total) / len(demands)
            return (demands[sender] + spare) / account.rate
        fair = fair_share(sorted(demands.values()), available)
        return min(demands[sender], fair) / account.rate


def fair_share(demands: list[float], available: float) -> float:
    """Return the largest part such that parts of at most this size fit."""
    left = available
    for index, demand in enumerate(demands):
        part = left / (len(demands) - index)
        if demand > part:
            return part
        left -= demand
    return demands[-1] if demands else available


class Part:
    """What a node may use of one account's rate.

    Attributes:
        account: The account.
        slot: Its slot.
        bucket: Tokens at this node.
        share: Part of the rate.
        lease_until: Time until which the share is valid, in seconds.
        demand: Smoothed requests a second.
        asked: Requests since the last report.
    """

    def __init__(self, account: Account, share: float, now: float) -> None:
        self.account = account
        self.slot = slot_of(account.name)
        self.share = share
        self.lease_until = 0.0
        self.demand = 0.0
        self.asked = 0
        self.asked_at = now
        rate, burst = self.size()
        self.bucket = TokenBucket(rate, burst, now, max(1.0, burst * FIRST_LEVEL))

    def size(self) -> tuple[float, float]:
        """Return rate and burst of the part."""
        burst = self.account.burst * BURST_SHARE * self.share
        return self.account.rate * self.share, max(LEAST_BURST, burst)

    def resize(self, share: float, now: float) -> None:
        """Change the part of the rate."""
        self.share = share
        self.bucket.reconfigure(*self.size(), now)


class Quotas:
    """Accounts at one node, as user and as home.

    Attributes:
        address: Address of this node.
        nodes: Addresses of the nodes that are known, this one included.
        live: Those of them that can be reached.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.nodes: list[str] = [address]
        self.live: list[str] = [address]
        self.parts: dict[str, Part] = {}
        self.homes: dict[int, Home] = {}
        self.accounts: dict[str, Account] = {}
        self.sequence = 0

    def configure(self, accounts: dict[str, Account], now: float) -> None:
        """Use the rates of a new configuration."""
        self.accounts = accounts
        for name in list(self.parts):
            account = accounts.get(name)
            if account is None or account.rate <= 0:
                del self.parts[name]
                continue
            part = self.parts[name]
            part.account = account
            part.resize(part.share, now)

    def set_nodes(self, nodes: list[str], live: list[str]) -> None:
        """Replace the nodes that are known and those that can be reached."""
        self.nodes, self.live = nodes, live

    def take(self, account: Account, now: float) -> bool:
        """Charge one request; return False if the account is over its rate."""
        if account.rate <= 0:
            return True
        part = self.part(account, now)
        part.asked += 1
        if now > part.lease_until:
            part.resize(1.0 / len(self.nodes), now)
        return part.bucket.take(1.0, now)

    def refund(self, account: Account, now: float) -> None:
        """Give back the charge of a request that did not run."""
        part = self.parts.get(account.name)
        if part is not None:
            part.bucket.refund(1.0, now)

    def part(self, account: Account, now: float) -> Part:
        """Return this node's part of an account."""
        part = self.parts.get(account.name)
        if part is None:
            part = Part(account, 1.0 / len(self.nodes), now)
            self.parts[account.name] = part
        return part

    def reports(self, now: float) -> list[tuple[str, Report]]:
        """Return the reports that are due, with the homes that they go to."""
        self.sequence += 1
        demand: list[dict[str, float]] = [{} for _ in range(SLOTS)]
        for name, part in self.parts.items():
            self.measure(part, now)
            demand[part.slot][name] = round(part.demand, 2)
        return [
            (
                home_of(slot, self.live),
                Report(self.address, self.sequence, slot, demand[slot]),
            )
            for slot in range(SLOTS)
        ]

    def measure(self, part: Part, now: float) -> None:
        """Bring the demand of a part up to date."""
        elapsed = now - part.asked_at
        if elapsed <= 0:
            return
        gain = min(1.0, elapsed / DEMAND_SECONDS)
        part.demand += gain * (part.asked / elapsed - part.demand)
        part.asked = 0
        part.asked_at = now

    def receive_report(self, report: Report, now: float) -> Grant:
        """Divide the rates of the accounts that a node reports on."""
        home = self.homes.setdefault(report.slot, Home())
        home.receive(report, now)
        shares = {}
        for name in report.demand:
            account = self.accounts.get(name)
            if account is not None and account.rate > 0:
                shares[name] = home.share(account, report.sender, len(self.nodes))
        return Grant(self.address, report.sequence, report.slot, shares)

    def receive_grant(self, grant: Grant, now: float) -> None:
        """Use the parts that a home gave, unless the grant is late."""
        age = (self.sequence - grant.sequence) * REPORT_SECONDS
        if age > LEASE_SECONDS / 2:
            return
        for name, share in grant.shares.items():
            part = self.parts.get(name)
            if part is not None:
                part.lease_until = now + LEASE_SECONDS - age
                part.resize(share, now)

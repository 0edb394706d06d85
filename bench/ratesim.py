"""Discrete-event simulation of a fleet that enforces the rates of accounts."""

import heapq
import random
from abc import ABC, abstractmethod
from typing import Any, NamedTuple

from carawaywheel.borrowers import Acquired, Borrower, NeedsTokens
from carawaywheel.buckets import TokenBucket
from carawaywheel.lenders import Lender
from carawaywheel.loans import LenderRef
from carawaywheel.settings import ShareSettings
from carawaywheel.shares import TokenRequest, encode_message, hash_slot, stable_hash

# 16 bytes of HMAC and 28 bytes of UDP and IP headers.
OVERHEAD_BYTES = 16 + 28
LOCAL_LATENCY_SECONDS = 0.00025
REMOTE_LATENCY_SECONDS = 0.0015
LOSS_PROBABILITY = 0.001
TICK_SECONDS = 0.05
DEADLINE_SECONDS = 1.0


class Quota(NamedTuple):
    """Rate of an account in tokens per second and its burst in tokens."""

    name: str
    rate: float
    burst: float


class Call(NamedTuple):
    """A call that arrives at a node.

    Attributes:
        time: Time of arrival in seconds.
        node: Index of the node.
        account: Client account that is charged.
        ideally_admitted: Whether one bucket that sees all calls would admit it.
    """

    time: float
    node: int
    account: str
    ideally_admitted: bool


class SimulationResult:
    """Result of one simulation run.

    Attributes:
        decisions: Calls, whether each was admitted, and the time of the decision.
        bytes_sent: Bytes sent, by node.
        messages: Number of messages sent by all nodes.
        waited_calls: Number of calls that waited for a token.
    """

    def __init__(self, nodes: int) -> None:
        self.decisions: list[tuple[Call, bool, float]] = []
        self.bytes_sent = [0] * nodes
        self.messages = 0
        self.waited_calls = 0


class RateLimitScheme(ABC):
    """A scheme to enforce the rates of accounts over a fleet."""

    name = ""

    @abstractmethod
    def run(
        self, quotas: list[Quota], calls: list[Call], nodes: int, domains: int
    ) -> SimulationResult:
        """Decide on calls, which are ordered by time, and return the result."""


class EqualShares(RateLimitScheme):
    """Each of N nodes has a fixed bucket with 1/N of each rate (baseline)."""

    name = "equal shares"

    def run(
        self, quotas: list[Quota], calls: list[Call], nodes: int, domains: int
    ) -> SimulationResult:
        """Decide on calls and return the result."""
        result = SimulationResult(nodes)
        quotas_by_name = {quota.name: quota for quota in quotas}
        buckets: dict[tuple[int, str], TokenBucket] = {}
        for call in calls:
            key = (call.node, call.account)
            quota = quotas_by_name[call.account]
            if key not in buckets:
                buckets[key] = TokenBucket(quota.rate / nodes, quota.burst / nodes, 0.0)
            admitted = buckets[key].take(1, call.time)
            result.decisions.append((call, admitted, call.time))
        return result


class TokenServer(RateLimitScheme):
    """Every call asks the one server that holds the bucket of its account.

    The server holds a short lease from the log, which expires in a log outage.

    Attributes:
        leases_expire_at: Time in seconds from which all calls are refused.
    """

    name = "token server"

    def __init__(self, leases_expire_at: float = float("inf")) -> None:
        self.leases_expire_at = leases_expire_at

    def run(
        self, quotas: list[Quota], calls: list[Call], nodes: int, domains: int
    ) -> SimulationResult:
        """Decide on calls and return the result."""
        result = SimulationResult(nodes)
        buckets = {q.name: TokenBucket(q.rate, q.burst, 0.0) for q in quotas}
        request = TokenRequest("n100", 1, 10000, "acct00", 1, 1, 1, 1, 0, False)
        size = len(encode_message(request)) + OVERHEAD_BYTES
        for call in calls:
            has_lease = call.time < self.leases_expire_at
            admitted = has_lease and buckets[call.account].take(1, call.time)
            result.decisions.append((call, admitted, call.time))
            server_node = stable_hash(call.account) % nodes
            result.messages += 2
            result.waited_calls += 1
            result.bytes_sent[call.node] += size
            result.bytes_sent[server_node] += size
        return result


class Node:
    """A simulated node: a lender, a borrower and the calls that wait for tokens."""

    def __init__(self, number: int, domain: str, lender: Lender, borrower: Borrower):
        self.number = number
        self.domain = domain
        self.lender = lender
        self.borrower = borrower
        self.alive = True
        self.tick_scheduled = False
        self.waiting: dict[str, list[Call]] = {}


class EscrowedLoans(RateLimitScheme):
    """The scheme of this project: each failure domain has a part of each rate.

    Its lender grants borrowers tokens of that part for a short time.

    Attributes:
        settings: Settings of fleet-wide rates.
        seed: Seed of latencies, message loss and random choices.
        lender_crash: Account and time in seconds at which the lender of the account
            in the first failure domain crashes; it is not replaced. None for no
            crash.
    """

    name = "escrowed loans"

    def __init__(
        self,
        settings: ShareSettings,
        seed: int,
        lender_crash: tuple[str, float] | None = None,
    ) -> None:
        self.settings = settings
        self.seed = seed
        self.lender_crash = lender_crash

    def run(
        self, quotas: list[Quota], calls: list[Call], nodes: int, domains: int
    ) -> SimulationResult:
        """Decide on calls and return the result."""
        self.rng = random.Random(self.seed)
        self.result = SimulationResult(nodes)
        self.events: list[tuple[float, int, int, Any]] = []
        self.event_count = 0
        self.build_nodes(quotas, nodes, domains)
        if self.lender_crash is not None:
            account, time = self.lender_crash
            lender_refs = self.nodes[0].borrower.lenders[
                hash_slot(account, self.settings)
            ]
            self.schedule(
                time, 3, next(ref for ref in lender_refs if ref.domain == "d0")
            )
        next_call = 0
        while next_call < len(calls) or self.events:
            next_event_at = self.events[0][0] if self.events else float("inf")
            if next_call < len(calls) and calls[next_call].time <= next_event_at:
                call = calls[next_call]
                next_call += 1
                self.handle_call(call)
            else:
                time, _, kind, item = heapq.heappop(self.events)
                self.handle_event(time, kind, item)
                if (
                    next_call == len(calls)
                    and time > calls[-1].time + 2 * DEADLINE_SECONDS
                ):
                    break
        return self.result

    def build_nodes(self, quotas: list[Quota], nodes: int, domains: int) -> None:
        """Create the nodes, assign the slots to lenders and configure the accounts."""
        names = [f"d{number}" for number in range(domains)]
        self.nodes = []
        for number in range(nodes):
            domain = names[number % domains]
            lender = Lender(self.settings, domain, names, self.rng)
            borrower = Borrower(self.settings, f"n{number}", 1, domain)
            self.nodes.append(Node(number, domain, lender, borrower))
        self.nodes_by_name = {node.borrower.node: node for node in self.nodes}
        for slot in {hash_slot(quota.name, self.settings) for quota in quotas}:
            lender_refs = []
            for domain in names:
                peers = [node for node in self.nodes if node.domain == domain]
                hashes = [stable_hash(str(slot), node.borrower.node) for node in peers]
                lender_node = peers[hashes.index(max(hashes))]
                lender_node.lender.acquire_slot(slot, -9e9, -9e9, lease_until=9e9)
                lender_refs.append(LenderRef(lender_node.borrower.node, domain, 1))
            for node in self.nodes:
                node.borrower.set_lenders(slot, lender_refs)
        for quota in quotas:
            slot = hash_slot(quota.name, self.settings)
            for node in self.nodes:
                if slot in node.lender.slots:
                    node.lender.set_account(quota.name, quota.rate, quota.burst, -9e9)

    def schedule(self, time: float, kind: int, item: Any) -> None:
        """Schedule an event at a time in seconds; `handle_event` has the kinds."""
        self.event_count += 1
        heapq.heappush(self.events, (time, self.event_count, kind, item))

    def handle_event(self, time: float, kind: int, item: Any) -> None:
        """Handle a message (0), a tick (1), a deadline (2) or a crash (3)."""
        if kind == 0:
            self.handle_message(time, *item)
        elif kind == 1:
            self.send_requests(item, item.borrower.due_requests(time), time)
            item.tick_scheduled = False
            self.schedule_tick(item, time)
        elif kind == 2:
            node, call = item
            waiting = node.waiting.get(call.account, [])
            if call in waiting:
                waiting.remove(call)
                node.borrower.cancel_wait(call.account)
                self.result.decisions.append((call, False, time))
        else:
            self.nodes_by_name[item.node].lender.pause()
            self.nodes_by_name[item.node].alive = False

    def schedule_tick(self, node: Node, time: float) -> None:
        """Schedule the next tick of a node while its borrower has active accounts."""
        if node.borrower.active and not node.tick_scheduled:
            node.tick_scheduled = True
            self.schedule(time + TICK_SECONDS, 1, node)

    def handle_call(self, call: Call) -> None:
        """Admit or refuse a new call, or let it wait for tokens."""
        node = self.nodes[call.node]
        if not node.alive:
            return
        acquisition = node.borrower.acquire(call.account, call.time)
        if isinstance(acquisition, NeedsTokens):
            self.result.waited_calls += 1
            node.waiting.setdefault(call.account, []).append(call)
            self.schedule(call.time + DEADLINE_SECONDS, 2, (node, call))
            self.send_requests(
                node, node.borrower.due_requests(call.time, call.account), call.time
            )
        else:
            admitted = isinstance(acquisition, Acquired)
            self.result.decisions.append((call, admitted, call.time))
        self.schedule_tick(node, call.time)

    def send_requests(
        self, node: Node, requests: list[tuple[LenderRef, TokenRequest]], time: float
    ) -> None:
        """Send token requests to their lenders."""
        for ref, request in requests:
            self.send_message(node, self.nodes_by_name[ref.node], request, time)

    def send_message(self, node: Node, peer: Node, message: Any, time: float) -> None:
        """Send one message, which may be lost; a node reaches itself without delay."""
        if node is not peer:
            size = len(encode_message(message)) + OVERHEAD_BYTES
            self.result.bytes_sent[node.number] += size
            self.result.messages += 1
        if not peer.alive or self.rng.random() < LOSS_PROBABILITY:
            return
        base = (
            LOCAL_LATENCY_SECONDS
            if node.domain == peer.domain
            else REMOTE_LATENCY_SECONDS
        )
        latency = base * self.rng.uniform(0.8, 1.6) if node is not peer else 0.0
        self.schedule(time + latency, 0, (node, peer, message))

    def handle_message(
        self, time: float, source: Node, node: Node, message: Any
    ) -> None:
        """Handle a token request, or a grant that waiting calls can use."""
        if not node.alive:
            return
        if isinstance(message, TokenRequest):
            grant = node.lender.handle_request(message, time)
            if grant is not None:
                self.send_message(node, source, grant, time)
            return
        account = message.account
        node.borrower.handle_grant(source.borrower.node, message, time)
        waiting = node.waiting.pop(account, [])
        still_waiting = []
        for call in waiting:
            acquisition = node.borrower.acquire(account, time, waited=True)
            if isinstance(acquisition, NeedsTokens):
                still_waiting.append(call)
            else:
                admitted = isinstance(acquisition, Acquired)
                self.result.decisions.append((call, admitted, time))
        if still_waiting:
            node.waiting[account] = still_waiting
        self.send_requests(node, node.borrower.due_requests(time, account), time)
        self.schedule_tick(node, time)

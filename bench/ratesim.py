"""Event-driven model of a fleet that rations client accounts, on a paused clock."""

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

# HMAC of 16 bytes, and the headers of UDP and IP.
OVERHEAD_BYTES = 16 + 28
LOCAL_LATENCY_SECONDS = 0.00025
REMOTE_LATENCY_SECONDS = 0.0015
LOSS_PROBABILITY = 0.001
TICK_SECONDS = 0.05
DEADLINE_SECONDS = 1.0


class Quota(NamedTuple):
    """Rate in tokens each second and burst in tokens of one account."""

    name: str
    rate: float
    burst: float


class Call(NamedTuple):
    """A call that arrives at a node; ``ideal`` is one bucket's verdict."""

    time: float
    node: int
    account: str
    ideally_admitted: bool


class SimulationResult:
    """Verdicts of one run.

    Attributes:
        verdicts: Calls, whether each was admitted, and the time of the verdict.
        bytes_sent: Bytes sent, by node.
        messages: Messages sent by all nodes.
        waited: Calls that waited for a token.
    """

    def __init__(self, nodes: int) -> None:
        self.decisions: list[tuple[Call, bool, float]] = []
        self.bytes_sent = [0] * nodes
        self.messages = 0
        self.waited_calls = 0


class RateLimitScheme(ABC):
    """One way to ration accounts over a fleet."""

    name = ""

    @abstractmethod
    def run(
        self, quotas: list[Quota], calls: list[Call], nodes: int, domains: int
    ) -> SimulationResult:
        """Return the verdicts on calls, which are in the order of time."""


class EqualShares(RateLimitScheme):
    """Every node has a fixed bucket of 1/N of each account (baseline)."""

    name = "equal shares"

    def run(
        self, quotas: list[Quota], calls: list[Call], nodes: int, domains: int
    ) -> SimulationResult:
        """Return the verdicts on calls."""
        result = SimulationResult(nodes)
        table = {quota.name: quota for quota in quotas}
        buckets: dict[tuple[int, str], TokenBucket] = {}
        for call in calls:
            key = (call.node, call.account)
            quota = table[call.account]
            if key not in buckets:
                buckets[key] = TokenBucket(quota.rate / nodes, quota.burst / nodes, 0.0)
            admitted = buckets[key].take(1, call.time)
            result.decisions.append((call, admitted, call.time))
        return result


class TokenServer(RateLimitScheme):
    """One server for each account is asked for every call.

    Its short lease in the log lapses in an outage of the log.

    Attributes:
        stops_at: Time in seconds at which the leases lapse.
    """

    name = "token server"

    def __init__(self, leases_expire_at: float = float("inf")) -> None:
        self.leases_expire_at = leases_expire_at

    def run(
        self, quotas: list[Quota], calls: list[Call], nodes: int, domains: int
    ) -> SimulationResult:
        """Return the verdicts on calls."""
        result = SimulationResult(nodes)
        buckets = {q.name: TokenBucket(q.rate, q.burst, 0.0) for q in quotas}
        request = TokenRequest("n100", 1, 10000, "acct00", 1, 1, 1, 1, 0, False)
        size = len(encode_message(request)) + OVERHEAD_BYTES
        for call in calls:
            alive = call.time < self.leases_expire_at
            admitted = alive and buckets[call.account].take(1, call.time)
            result.decisions.append((call, admitted, call.time))
            server = stable_hash(call.account) % nodes
            result.messages += 2
            result.waited_calls += 1
            result.bytes_sent[call.node] += size
            result.bytes_sent[server] += size
        return result


class Node:
    """One node: a lender, a borrower and the callers that wait."""

    def __init__(self, number: int, domain: str, lender: Lender, borrower: Borrower):
        self.number = number
        self.domain = domain
        self.lender = lender
        self.borrower = borrower
        self.alive = True
        self.tick_scheduled = False
        self.waiting: dict[str, list[Call]] = {}


class EscrowedLoans(RateLimitScheme):
    """The design: parts in each failure domain, lent for a short time.

    Attributes:
        settings: Settings of fleet-wide rates.
        seed: Seed of latency, loss and turns.
        lost: Account and time in seconds: the lender of the account's part in the
            first domain dies then and is not replaced. None for no loss.
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
        """Return the verdicts on calls."""
        self.rng = random.Random(self.seed)
        self.result = SimulationResult(nodes)
        self.events: list[tuple[float, int, int, Any]] = []
        self.event_count = 0
        self.build_nodes(quotas, nodes, domains)
        if self.lender_crash is not None:
            account, time = self.lender_crash
            refs = self.nodes[0].borrower.lenders[hash_slot(account, self.settings)]
            self.schedule(time, 3, next(ref for ref in refs if ref.domain == "d0"))
        position = 0
        while position < len(calls) or self.events:
            due = self.events[0][0] if self.events else float("inf")
            if position < len(calls) and calls[position].time <= due:
                call = calls[position]
                position += 1
                self.handle_call(call)
            else:
                time, _, kind, item = heapq.heappop(self.events)
                self.handle_event(time, kind, item)
                if (
                    position == len(calls)
                    and time > calls[-1].time + 2 * DEADLINE_SECONDS
                ):
                    break
        return self.result

    def build_nodes(self, quotas: list[Quota], nodes: int, domains: int) -> None:
        """Make the hosts, give out the slots and fill the buckets."""
        names = [f"d{number}" for number in range(domains)]
        self.nodes = []
        for number in range(nodes):
            domain = names[number % domains]
            lender = Lender(self.settings, domain, names, self.rng)
            borrower = Borrower(self.settings, f"n{number}", 1, domain)
            self.nodes.append(Node(number, domain, lender, borrower))
        self.nodes_by_name = {host.borrower.node: host for host in self.nodes}
        for slot in {hash_slot(quota.name, self.settings) for quota in quotas}:
            refs = []
            for domain in names:
                peers = [host for host in self.nodes if host.domain == domain]
                ranks = [stable_hash(str(slot), host.borrower.node) for host in peers]
                holder = peers[ranks.index(max(ranks))]
                holder.lender.acquire_slot(slot, -9e9, -9e9, lease_until=9e9)
                refs.append(LenderRef(holder.borrower.node, domain, 1))
            for host in self.nodes:
                host.borrower.set_lenders(slot, refs)
        for quota in quotas:
            slot = hash_slot(quota.name, self.settings)
            for host in self.nodes:
                if slot in host.lender.slots:
                    host.lender.set_account(quota.name, quota.rate, quota.burst, -9e9)

    def schedule(self, time: float, kind: int, item: Any) -> None:
        """Schedule an event."""
        self.event_count += 1
        heapq.heappush(self.events, (time, self.event_count, kind, item))

    def handle_event(self, time: float, kind: int, item: Any) -> None:
        """Handle a delivery (0), a tick (1), a deadline (2) or a loss (3)."""
        if kind == 0:
            self.handle_message(time, *item)
        elif kind == 1:
            self.send_requests(item, item.borrower.due_requests(time), time)
            item.tick_scheduled = False
            self.schedule_tick(item, time)
        elif kind == 2:
            host, call = item
            waiting = host.waiting.get(call.account, [])
            if call in waiting:
                waiting.remove(call)
                host.borrower.cancel_wait(call.account)
                self.result.decisions.append((call, False, time))
        else:
            self.nodes_by_name[item.node].lender.pause()
            self.nodes_by_name[item.node].alive = False

    def schedule_tick(self, host: Node, time: float) -> None:
        """Schedule the next tick while the host has tokens or callers."""
        if host.borrower.active and not host.tick_scheduled:
            host.tick_scheduled = True
            self.schedule(time + TICK_SECONDS, 1, host)

    def handle_call(self, call: Call) -> None:
        """Charge a new call, or let it wait."""
        host = self.nodes[call.node]
        if not host.alive:
            return
        answer = host.borrower.acquire(call.account, call.time)
        if isinstance(answer, NeedsTokens):
            self.result.waited_calls += 1
            host.waiting.setdefault(call.account, []).append(call)
            self.schedule(call.time + DEADLINE_SECONDS, 2, (host, call))
            self.send_requests(
                host, host.borrower.due_requests(call.time, call.account), call.time
            )
        else:
            admitted = isinstance(answer, Acquired)
            self.result.decisions.append((call, admitted, call.time))
        self.schedule_tick(host, call.time)

    def send_requests(
        self, host: Node, requests: list[tuple[LenderRef, TokenRequest]], time: float
    ) -> None:
        """Send requests to their lenders."""
        for ref, request in requests:
            self.send_message(host, self.nodes_by_name[ref.node], request, time)

    def send_message(self, host: Node, peer: Node, message: Any, time: float) -> None:
        """Send one message, which may be lost."""
        if host is not peer:
            size = len(encode_message(message)) + OVERHEAD_BYTES
            self.result.bytes_sent[host.number] += size
            self.result.messages += 1
        if not peer.alive or self.rng.random() < LOSS_PROBABILITY:
            return
        base = (
            LOCAL_LATENCY_SECONDS
            if host.domain == peer.domain
            else REMOTE_LATENCY_SECONDS
        )
        latency = base * self.rng.uniform(0.8, 1.6) if host is not peer else 0.0
        self.schedule(time + latency, 0, (host, peer, message))

    def handle_message(
        self, time: float, source: Node, host: Node, message: Any
    ) -> None:
        """Answer a request, or serve the callers that waited for a grant."""
        if not host.alive:
            return
        if isinstance(message, TokenRequest):
            grant = host.lender.handle_request(message, time)
            if grant is not None:
                self.send_message(host, source, grant, time)
            return
        account = message.account
        host.borrower.handle_grant(source.borrower.node, message, time)
        waiting = host.waiting.pop(account, [])
        left = []
        for call in waiting:
            answer = host.borrower.acquire(account, time, waited=True)
            if isinstance(answer, NeedsTokens):
                left.append(call)
            else:
                admitted = isinstance(answer, Acquired)
                self.result.decisions.append((call, admitted, time))
        if left:
            host.waiting[account] = left
        self.send_requests(host, host.borrower.due_requests(time, account), time)
        self.schedule_tick(host, time)

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
LOCAL_LATENCY = 0.00025
REMOTE_LATENCY = 0.0015
LOSS = 0.001
TICK = 0.05
DEADLINE = 1.0


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
    ideal: bool


class Result:
    """Verdicts of one run.

    Attributes:
        verdicts: Calls, whether each was admitted, and the time of the verdict.
        bytes_sent: Bytes sent, by node.
        messages: Messages sent by all nodes.
        waited: Calls that waited for a token.
    """

    def __init__(self, nodes: int) -> None:
        self.verdicts: list[tuple[Call, bool, float]] = []
        self.bytes_sent = [0] * nodes
        self.messages = 0
        self.waited = 0


class Way(ABC):
    """One way to ration accounts over a fleet."""

    name = ""

    @abstractmethod
    def run(
        self, quotas: list[Quota], calls: list[Call], nodes: int, domains: int
    ) -> Result:
        """Return the verdicts on calls, which are in the order of time."""


class EqualShares(Way):
    """Every node has a fixed bucket of 1/N of each account (baseline)."""

    name = "equal shares"

    def run(
        self, quotas: list[Quota], calls: list[Call], nodes: int, domains: int
    ) -> Result:
        """Return the verdicts on calls."""
        result = Result(nodes)
        table = {quota.name: quota for quota in quotas}
        buckets: dict[tuple[int, str], TokenBucket] = {}
        for call in calls:
            key = (call.node, call.account)
            quota = table[call.account]
            if key not in buckets:
                buckets[key] = TokenBucket(quota.rate / nodes, quota.burst / nodes, 0.0)
            admitted = buckets[key].take(1, call.time)
            result.verdicts.append((call, admitted, call.time))
        return result


class TokenServer(Way):
    """One server for each account is asked for every call.

    Its short lease in the log lapses in an outage of the log.

    Attributes:
        stops_at: Time in seconds at which the leases lapse.
    """

    name = "token server"

    def __init__(self, stops_at: float = float("inf")) -> None:
        self.stops_at = stops_at

    def run(
        self, quotas: list[Quota], calls: list[Call], nodes: int, domains: int
    ) -> Result:
        """Return the verdicts on calls."""
        result = Result(nodes)
        buckets = {q.name: TokenBucket(q.rate, q.burst, 0.0) for q in quotas}
        request = TokenRequest("n100", 1, 10000, "acct00", 1, 1, 1, 1, 0, False)
        size = len(encode_message(request)) + OVERHEAD_BYTES
        for call in calls:
            alive = call.time < self.stops_at
            admitted = alive and buckets[call.account].take(1, call.time)
            result.verdicts.append((call, admitted, call.time))
            server = stable_hash(call.account) % nodes
            result.messages += 2
            result.waited += 1
            result.bytes_sent[call.node] += size
            result.bytes_sent[server] += size
        return result


class Host:
    """One node: a lender, a borrower and the callers that wait."""

    def __init__(self, number: int, domain: str, lender: Lender, borrower: Borrower):
        self.number = number
        self.domain = domain
        self.lender = lender
        self.borrower = borrower
        self.alive = True
        self.ticking = False
        self.waiting: dict[str, list[Call]] = {}


class EscrowedLoans(Way):
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
        lost: tuple[str, float] | None = None,
    ) -> None:
        self.settings = settings
        self.seed = seed
        self.lost = lost

    def run(
        self, quotas: list[Quota], calls: list[Call], nodes: int, domains: int
    ) -> Result:
        """Return the verdicts on calls."""
        self.rng = random.Random(self.seed)
        self.result = Result(nodes)
        self.events: list[tuple[float, int, int, Any]] = []
        self.count = 0
        self.build(quotas, nodes, domains)
        if self.lost is not None:
            account, time = self.lost
            refs = self.hosts[0].borrower.lenders[hash_slot(account, self.settings)]
            self.push(time, 3, next(ref for ref in refs if ref.domain == "d0"))
        position = 0
        while position < len(calls) or self.events:
            due = self.events[0][0] if self.events else float("inf")
            if position < len(calls) and calls[position].time <= due:
                call = calls[position]
                position += 1
                self.arrive(call)
            else:
                time, _, kind, item = heapq.heappop(self.events)
                self.happen(time, kind, item)
                if position == len(calls) and time > calls[-1].time + 2 * DEADLINE:
                    break
        return self.result

    def build(self, quotas: list[Quota], nodes: int, domains: int) -> None:
        """Make the hosts, give out the slots and fill the buckets."""
        names = [f"d{number}" for number in range(domains)]
        self.hosts = []
        for number in range(nodes):
            domain = names[number % domains]
            lender = Lender(self.settings, domain, names, self.rng)
            borrower = Borrower(self.settings, f"n{number}", 1, domain)
            self.hosts.append(Host(number, domain, lender, borrower))
        self.by_name = {host.borrower.node: host for host in self.hosts}
        for slot in {hash_slot(quota.name, self.settings) for quota in quotas}:
            refs = []
            for domain in names:
                peers = [host for host in self.hosts if host.domain == domain]
                ranks = [stable_hash(str(slot), host.borrower.node) for host in peers]
                holder = peers[ranks.index(max(ranks))]
                holder.lender.acquire_slot(slot, -9e9, -9e9, lease_until=9e9)
                refs.append(LenderRef(holder.borrower.node, domain, 1))
            for host in self.hosts:
                host.borrower.set_lenders(slot, refs)
        for quota in quotas:
            slot = hash_slot(quota.name, self.settings)
            for host in self.hosts:
                if slot in host.lender.slots:
                    host.lender.set_account(quota.name, quota.rate, quota.burst, -9e9)

    def push(self, time: float, kind: int, item: Any) -> None:
        """Schedule an event."""
        self.count += 1
        heapq.heappush(self.events, (time, self.count, kind, item))

    def happen(self, time: float, kind: int, item: Any) -> None:
        """Handle a delivery (0), a tick (1), a deadline (2) or a loss (3)."""
        if kind == 0:
            self.deliver(time, *item)
        elif kind == 1:
            self.send(item, item.borrower.due_requests(time), time)
            item.ticking = False
            self.keep_ticking(item, time)
        elif kind == 2:
            host, call = item
            waiting = host.waiting.get(call.account, [])
            if call in waiting:
                waiting.remove(call)
                host.borrower.cancel_wait(call.account)
                self.result.verdicts.append((call, False, time))
        else:
            self.by_name[item.node].lender.pause()
            self.by_name[item.node].alive = False

    def keep_ticking(self, host: Host, time: float) -> None:
        """Schedule the next tick while the host has tokens or callers."""
        if host.borrower.active and not host.ticking:
            host.ticking = True
            self.push(time + TICK, 1, host)

    def arrive(self, call: Call) -> None:
        """Charge a new call, or let it wait."""
        host = self.hosts[call.node]
        if not host.alive:
            return
        answer = host.borrower.acquire(call.account, call.time)
        if isinstance(answer, NeedsTokens):
            self.result.waited += 1
            host.waiting.setdefault(call.account, []).append(call)
            self.push(call.time + DEADLINE, 2, (host, call))
            self.send(
                host, host.borrower.due_requests(call.time, call.account), call.time
            )
        else:
            admitted = isinstance(answer, Acquired)
            self.result.verdicts.append((call, admitted, call.time))
        self.keep_ticking(host, call.time)

    def send(
        self, host: Host, requests: list[tuple[LenderRef, TokenRequest]], time: float
    ) -> None:
        """Send requests to their lenders."""
        for ref, request in requests:
            self.transmit(host, self.by_name[ref.node], request, time)

    def transmit(self, host: Host, peer: Host, message: Any, time: float) -> None:
        """Send one message, which may be lost."""
        if host is not peer:
            size = len(encode_message(message)) + OVERHEAD_BYTES
            self.result.bytes_sent[host.number] += size
            self.result.messages += 1
        if not peer.alive or self.rng.random() < LOSS:
            return
        base = LOCAL_LATENCY if host.domain == peer.domain else REMOTE_LATENCY
        latency = base * self.rng.uniform(0.8, 1.6) if host is not peer else 0.0
        self.push(time + latency, 0, (host, peer, message))

    def deliver(self, time: float, source: Host, host: Host, message: Any) -> None:
        """Answer a request, or serve the callers that waited for a grant."""
        if not host.alive:
            return
        if isinstance(message, TokenRequest):
            grant = host.lender.handle_request(message, time)
            if grant is not None:
                self.transmit(host, source, grant, time)
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
                self.result.verdicts.append((call, admitted, time))
        if left:
            host.waiting[account] = left
        self.send(host, host.borrower.due_requests(time, account), time)
        self.keep_ticking(host, time)

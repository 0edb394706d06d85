"""Cost and speed of gossip membership in a simulated fleet.

All nodes run in one process on a paused clock. Bytes include the signature and 28
bytes of IP and UDP headers. Processor time covers the state machine, the codec and
the signature, and leaves out the socket calls.

Run ``python -m bench.membership --seed 7``.
"""

import gc
import hashlib
import heapq
import hmac
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple

import msgspec
import typer

from carawaywheel.members import Member, MemberState, is_live
from carawaywheel.membership import Membership
from carawaywheel.routing import TargetState
from carawaywheel.settings import MembershipSettings
from carawaywheel.swim import SIGNATURE_BYTES, OutgoingMessage, decode, encode

SECRET = b"bench"
HEADER_BYTES = 28
TICK_S = 0.1
DOMAINS = 7
REGION_OF_DOMAIN = (0, 0, 0, 0, 1, 1, 1)
# One-way delays in seconds: same domain, same region, other region.
DELAYS_S = (0.0003, 0.0015, 0.008)
SIZES = (10, 100, 300, 1000)
IDLE_SECONDS = 5.0
CHURN_HOSTS = 6
CHURN_EVERY_S = 3.0
DOMAIN_LOSS_SECONDS = 20.0
TIMEOUT_SECONDS = 60.0
TRIALS = 3


class Cost(NamedTuple):
    """Cost per node and second.

    Attributes:
        messages: Datagrams sent.
        bytes_out: Bytes sent.
        core: Processor time as a share of one core.
    """

    messages: float
    bytes_out: float
    cpu_share: float


class MembershipFleet:
    """Nodes on a simulated network without faults."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.settings = MembershipSettings()
        self.now = 0.0
        self.nodes: dict[str, Membership] = {}
        self.domains: dict[str, int] = {}
        self.events: list[tuple[float, int, str, str, bytes]] = []
        self.event_count = 0
        self.messages = 0
        self.bytes_out = 0
        self.busy_ns = 0
        for number in range(size):
            self.start_node(f"node-{number:04d}")
        state = [node.own for node in self.nodes.values()]
        for node in self.nodes.values():
            node.merge(state, 0.0)
            node.drain_changes()

    def start_node(self, name: str) -> Membership:
        """Start a node that knows nobody."""
        number = len(self.domains)
        domain = number % DOMAINS
        address = f"10.{domain}.{number // 250}.{number % 250}"
        member = Member(
            name,
            1,
            MemberState.ALIVE,
            f"domain-{domain}",
            f"{address}:7001",
            name,
            f"service-{number % 68}",
            f"{address}:8000",
            TargetState.READY,
            110,
            0.0,
            1,
        )
        self.domains[name] = domain
        node = Membership(self.settings, member, random.Random(self.rng.random()))
        self.nodes[name] = node
        self._schedule(self.now + self.rng.random() * TICK_S, name, "", b"")
        return node

    def join_node(self, name: str) -> None:
        """Start a node and let it exchange the full state with a random one."""
        peer = self.nodes[self.rng.choice(list(self.nodes))]
        node = self.start_node(name)
        node.merge(peer.full_state(self.now), self.now)
        peer.merge([node.own], self.now)

    def run(self, seconds: float) -> None:
        """Advance the clock and deliver what is due."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, name, source, data = heapq.heappop(self.events)
            node = self.nodes.get(name)
            if node is not None:
                self._handle_event(node, name, source, data)
        self.now = end

    def run_until(self, done: Callable[[], bool]) -> float:
        """Run until a condition holds and return the seconds that it took."""
        start = self.now
        while not done() and self.now - start < TIMEOUT_SECONDS:
            self.run(TICK_S)
        return self.now - start

    def run_until_each(
        self, done: Callable[[str], bool], names: Iterable[str]
    ) -> list[float]:
        """Run until a condition holds for each name and return the seconds."""
        start = self.now
        waiting = list(names)
        times = []
        while waiting and self.now - start < TIMEOUT_SECONDS:
            self.run(TICK_S)
            for name in [name for name in waiting if done(name)]:
                waiting.remove(name)
                times.append(self.now - start)
        return times + [TIMEOUT_SECONDS] * len(waiting)

    def totals(self) -> tuple[float, int, int, int]:
        """Return the time and the totals, for `cost_since`."""
        return self.now, self.messages, self.bytes_out, self.busy_ns

    def cost_since(self, mark: tuple[float, int, int, int]) -> Cost:
        """Return the cost per node and second since a mark."""
        start, messages, bytes_out, busy = mark
        share = len(self.nodes) * (self.now - start)
        return Cost(
            (self.messages - messages) / share,
            (self.bytes_out - bytes_out) / share,
            (self.busy_ns - busy) / 1e9 / share,
        )

    def _handle_event(
        self, node: Membership, name: str, source: str, data: bytes
    ) -> None:
        start = time.thread_time_ns()
        if source:
            body = data[:-SIGNATURE_BYTES]
            if not hmac.compare_digest(datagram_tag(body), data[-SIGNATURE_BYTES:]):
                raise ValueError("a datagram was damaged")
            outgoing = node.receive(decode(body), source, self.now)
        else:
            outgoing = node.tick(self.now)
        datagrams = [(out.address, sign_datagram(out)) for out in outgoing]
        self.busy_ns += time.thread_time_ns() - start
        if not source:
            self._schedule(self.now + TICK_S, name, "", b"")
        for address, datagram in datagrams:
            self.messages += 1
            self.bytes_out += len(datagram) + HEADER_BYTES
            self._schedule(
                self.now + self._delay(name, address), address, name, datagram
            )

    def _delay(self, source: str, target: str) -> float:
        one, other = self.domains[source], self.domains[target]
        far = REGION_OF_DOMAIN[one] != REGION_OF_DOMAIN[other]
        base = DELAYS_S[2] if far else DELAYS_S[one != other]
        return base * self.rng.uniform(0.8, 1.6)

    def _schedule(self, due: float, name: str, source: str, data: bytes) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (due, self.event_count, name, source, data))


def datagram_tag(body: bytes) -> bytes:
    """Return the truncated signature of a datagram."""
    return hmac.digest(SECRET, body, hashlib.sha256)[:SIGNATURE_BYTES]


def sign_datagram(outgoing: OutgoingMessage) -> bytes:
    """Return the datagram of a message."""
    body = encode(outgoing.message)
    return body + datagram_tag(body)


def knows_live(node: Membership, name: str) -> bool:
    """Return whether a node lists another as live."""
    known = node.table.get(name)
    return known is not None and is_live(known)


def all_know(
    fleet: MembershipFleet, knows: Callable[[Membership, str], bool], name: str
) -> bool:
    """Return whether all nodes know something about a member."""
    return all(knows(node, name) for node in fleet.nodes.values())


def time_joins(fleet: MembershipFleet) -> list[float]:
    """Return the seconds until all nodes list each of some new ones."""
    names = [f"join-{trial}" for trial in range(TRIALS)]
    for name in names:
        fleet.join_node(name)
    return fleet.run_until_each(partial(all_know, fleet, knows_live), names)


def time_drains(fleet: MembershipFleet) -> list[float]:
    """Return the seconds until all nodes know that a target drains."""
    times = []
    for name in fleet.rng.sample(list(fleet.nodes), TRIALS):
        fleet.nodes[name].update_self(fleet.now, target_state=TargetState.DRAINING)
        times.append(fleet.run_until(partial(all_know, fleet, is_draining, name)))
        fleet.run(3.0)
    return times


def time_drain_without_push(fleet: MembershipFleet) -> float:
    """Return the seconds until all know of a draining target by probes alone."""
    for node in fleet.nodes.values():
        node.queue.settings = fleet.settings._replace(urgent_rate=0.0, urgent_burst=0)
    name = fleet.rng.choice(
        [name for name, node in fleet.nodes.items() if not is_draining(node, name)]
    )
    fleet.nodes[name].update_self(fleet.now, target_state=TargetState.DRAINING)
    time_taken = fleet.run_until(partial(all_know, fleet, is_draining, name))
    for node in fleet.nodes.values():
        node.queue.settings = fleet.settings
        node.queue.urgent_pushes_left.clear()
    return time_taken


def is_draining(node: Membership, name: str) -> bool:
    """Return whether a node knows that a target drains."""
    known = node.table.get(name)
    return known is not None and known.target_state is TargetState.DRAINING


def time_deaths(fleet: MembershipFleet) -> list[float]:
    """Return the seconds until no node lists each of some killed ones."""
    names = fleet.rng.sample(list(fleet.nodes), TRIALS)
    for name in names:
        del fleet.nodes[name]
    return fleet.run_until_each(
        lambda name: is_removed_everywhere(fleet, [name]), names
    )


def is_removed_everywhere(fleet: MembershipFleet, names: Iterable[str]) -> bool:
    """Return whether no node lists any of the killed ones."""
    nodes = fleet.nodes.values()
    return not any(knows_live(node, name) for name in names for node in nodes)


def churn_cost(fleet: MembershipFleet) -> Cost:
    """Return the cost while a host is replaced without notice every 3 s."""
    start = fleet.totals()
    for number in range(CHURN_HOSTS):
        del fleet.nodes[fleet.rng.choice(list(fleet.nodes))]
        fleet.join_node(f"new-{number}")
        fleet.run(CHURN_EVERY_S)
    return fleet.cost_since(start)


def lose_domain(fleet: MembershipFleet) -> tuple[Cost, float, int]:
    """Kill one failure domain.

    Returns:
        The cost over at least 20 s that follow, the seconds until no node lists any
        of it, and how many live nodes some node takes for dead in the end.
    """
    lost = [name for name in fleet.nodes if fleet.domains[name] == 0]
    for name in lost:
        del fleet.nodes[name]
    start = fleet.totals()
    gone_after = fleet.run_until(partial(is_removed_everywhere, fleet, lost))
    fleet.run(max(0.0, DOMAIN_LOSS_SECONDS - gone_after))
    cost = fleet.cost_since(start)
    false = {
        name
        for node in fleet.nodes.values()
        for name in fleet.nodes
        if not knows_live(node, name)
    }
    return cost, gone_after, len(false)


def memory_per_node(fleet: MembershipFleet) -> float:
    """Return the MB that one node's view takes."""
    source = next(iter(fleet.nodes.values()))
    data = msgspec.msgpack.encode(source.full_state(fleet.now))
    gc.collect()
    tracemalloc.start()
    state = msgspec.msgpack.decode(data, type=list[Member])
    node = Membership(fleet.settings, state[0], random.Random(1))
    node.merge(state, fleet.now)
    node.drain_changes()
    del state
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / 1e6


def format_times(times: list[float]) -> str:
    """Return the median and the largest of some times."""
    return f"{statistics.median(times):.1f}/{max(times):.1f}"


def measure_size(size: int, seed: int) -> list[str]:
    """Return one row of the table."""
    fleet = MembershipFleet(size, seed)
    start = fleet.totals()
    fleet.run(IDLE_SECONDS)
    rest = fleet.cost_since(start)
    drains = time_drains(fleet)
    plain = time_drain_without_push(fleet)
    joins = time_joins(fleet)
    deaths = time_deaths(fleet)
    memory = memory_per_node(fleet)
    churn = churn_cost(fleet)
    fleet.run(10.0)
    loss, gone_after, false = lose_domain(fleet)
    row = [str(size)]
    for cost in (rest, churn, loss):
        row.append(f"{cost.messages:.1f}")
        row.append(f"{cost.bytes_out / 1000:.2f}")
        row.append(f"{cost.cpu_share:.3%}")
    row += [f"{memory:.2f}", format_times(drains), f"{plain:.1f}"]
    row += [format_times(joins), format_times(deaths)]
    return [*row, f"{gone_after:.1f}", str(false)]


def run(seed: int = 7, sizes: str = ",".join(map(str, SIZES))) -> None:
    """Print the cost and speed of membership at several fleet sizes."""
    columns = ["nodes"]
    for phase in ("rest", "churn", "loss"):
        columns += [f"{phase} msg/s", f"{phase} KB/s", f"{phase} core"]
    columns += ["MB", "drain s", "no push s", "join s", "death s", "domain s", "false"]
    print(f"seed {seed}; per node, sent only; times are median/largest of {TRIALS}")
    print("churn: one host replaced every 3 s; loss: 20 s or more after a lost domain")
    print("  ".join(f"{column:>11}" for column in columns))
    for size in sizes.split(","):
        row = measure_size(int(size), seed)
        print("  ".join(f"{cell:>11}" for cell in row), flush=True)


if __name__ == "__main__":
    typer.run(run)

"""Measures the cost and speed of gossip membership in a simulated fleet.

All nodes run in one process on a simulated clock. Bytes include the signature and 28
bytes of IP and UDP headers. Processor time covers the state machine, the codec and
the signature, but no socket calls.

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
from carawaywheel.swim import DATAGRAM_TAG_BYTES, OutgoingMessage, decode, encode

SECRET = b"bench"
UDP_IP_HEADER_BYTES = 28
TICK_SECONDS = 0.1
DOMAINS = 7
REGION_OF_DOMAIN = (0, 0, 0, 0, 1, 1, 1)
# One-way delays in seconds: same domain, same region, other region.
ONE_WAY_DELAYS_SECONDS = (0.0003, 0.0015, 0.008)
SIZES = (10, 100, 300, 1000)
IDLE_SECONDS = 5.0
CHURN_HOSTS = 6
CHURN_INTERVAL_SECONDS = 3.0
DOMAIN_LOSS_SECONDS = 20.0
TIMEOUT_SECONDS = 60.0
TRIALS = 3


class Cost(NamedTuple):
    """Cost of membership per node and second.

    Attributes:
        messages: Datagrams sent.
        bytes_out: Bytes sent.
        cpu_share: Processor time as a share of one core.
    """

    messages: float
    bytes_out: float
    cpu_share: float


class MembershipFleet:
    """Nodes on a simulated network that loses no messages.

    Attributes:
        domains: Failure domain of each node ever started, by name.
        messages: Total of datagrams sent.
        bytes_out: Total of bytes sent.
        busy_ns: Total of processor time in nanoseconds.
    """

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
        """Start a node that knows no other members."""
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
        self._schedule(self.now + self.rng.random() * TICK_SECONDS, name, "", b"")
        return node

    def join_node(self, name: str) -> None:
        """Start a node and let it exchange the full state with a random one."""
        peer = self.nodes[self.rng.choice(list(self.nodes))]
        node = self.start_node(name)
        node.merge(peer.full_state(self.now), self.now)
        peer.merge([node.own], self.now)

    def run(self, seconds: float) -> None:
        """Advance the clock and handle the ticks and datagrams that are due."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, name, source, data = heapq.heappop(self.events)
            node = self.nodes.get(name)
            if node is not None:
                self._handle_event(node, name, source, data)
        self.now = end

    def run_until(self, done: Callable[[], bool]) -> float:
        """Run until a condition holds and return the seconds that it took.

        Gives up at the timeout.
        """
        start = self.now
        while not done() and self.now - start < TIMEOUT_SECONDS:
            self.run(TICK_SECONDS)
        return self.now - start

    def run_until_each(
        self, done: Callable[[str], bool], names: Iterable[str]
    ) -> list[float]:
        """Run until a condition holds for each name and return the seconds of each.

        Names for which it does not hold in time count with the timeout.
        """
        start = self.now
        waiting = list(names)
        times = []
        while waiting and self.now - start < TIMEOUT_SECONDS:
            self.run(TICK_SECONDS)
            for name in [name for name in waiting if done(name)]:
                waiting.remove(name)
                times.append(self.now - start)
        return times + [TIMEOUT_SECONDS] * len(waiting)

    def totals(self) -> tuple[float, int, int, int]:
        """Return the time and the totals so far, for `cost_since`."""
        return self.now, self.messages, self.bytes_out, self.busy_ns

    def cost_since(self, earlier: tuple[float, int, int, int]) -> Cost:
        """Return the cost per node and second since earlier totals."""
        start, messages, bytes_out, busy = earlier
        node_seconds = len(self.nodes) * (self.now - start)
        return Cost(
            (self.messages - messages) / node_seconds,
            (self.bytes_out - bytes_out) / node_seconds,
            (self.busy_ns - busy) / 1e9 / node_seconds,
        )

    def _handle_event(
        self, node: Membership, name: str, source: str, data: bytes
    ) -> None:
        start = time.thread_time_ns()
        if source:
            body = data[:-DATAGRAM_TAG_BYTES]
            if not hmac.compare_digest(datagram_tag(body), data[-DATAGRAM_TAG_BYTES:]):
                raise ValueError(
                    f"datagram from {source} to {name} has an invalid signature"
                )
            outgoing = node.receive(decode(body), source, self.now)
        else:
            outgoing = node.tick(self.now)
        datagrams = [(out.address, sign_datagram(out)) for out in outgoing]
        self.busy_ns += time.thread_time_ns() - start
        if not source:
            self._schedule(self.now + TICK_SECONDS, name, "", b"")
        for address, datagram in datagrams:
            self.messages += 1
            self.bytes_out += len(datagram) + UDP_IP_HEADER_BYTES
            self._schedule(
                self.now + self._delay(name, address), address, name, datagram
            )

    def _delay(self, source: str, target: str) -> float:
        source_domain, target_domain = self.domains[source], self.domains[target]
        crosses_regions = (
            REGION_OF_DOMAIN[source_domain] != REGION_OF_DOMAIN[target_domain]
        )
        base = (
            ONE_WAY_DELAYS_SECONDS[2]
            if crosses_regions
            else ONE_WAY_DELAYS_SECONDS[source_domain != target_domain]
        )
        return base * self.rng.uniform(0.8, 1.6)

    def _schedule(self, at: float, name: str, source: str, data: bytes) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (at, self.event_count, name, source, data))


def datagram_tag(body: bytes) -> bytes:
    """Return the truncated HMAC-SHA256 of the body of a datagram."""
    return hmac.digest(SECRET, body, hashlib.sha256)[:DATAGRAM_TAG_BYTES]


def sign_datagram(outgoing: OutgoingMessage) -> bytes:
    """Return the signed datagram of a message."""
    body = encode(outgoing.message)
    return body + datagram_tag(body)


def knows_live(node: Membership, name: str) -> bool:
    """Return whether a node lists a member as live."""
    member = node.table.get(name)
    return member is not None and is_live(member)


def all_know(
    fleet: MembershipFleet, knows: Callable[[Membership, str], bool], name: str
) -> bool:
    """Return whether a condition about a member holds at all nodes."""
    return all(knows(node, name) for node in fleet.nodes.values())


def time_joins(fleet: MembershipFleet) -> list[float]:
    """Return the seconds until all nodes list each of some new nodes as live."""
    names = [f"join-{trial}" for trial in range(TRIALS)]
    for name in names:
        fleet.join_node(name)
    return fleet.run_until_each(partial(all_know, fleet, knows_live), names)


def time_drains(fleet: MembershipFleet) -> list[float]:
    """Return the seconds until all nodes know that a target drains, per trial."""
    times = []
    for name in fleet.rng.sample(list(fleet.nodes), TRIALS):
        fleet.nodes[name].update_self(fleet.now, target_state=TargetState.DRAINING)
        times.append(fleet.run_until(partial(all_know, fleet, is_draining, name)))
        fleet.run(3.0)
    return times


def time_drain_without_push(fleet: MembershipFleet) -> float:
    """Return the seconds until all nodes know that a target drains, without pushes.

    Updates then spread only with the messages of probes.
    """
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
    member = node.table.get(name)
    return member is not None and member.target_state is TargetState.DRAINING


def time_deaths(fleet: MembershipFleet) -> list[float]:
    """Return the seconds until no node lists a killed node as live, for each."""
    names = fleet.rng.sample(list(fleet.nodes), TRIALS)
    for name in names:
        del fleet.nodes[name]
    return fleet.run_until_each(
        lambda name: is_removed_everywhere(fleet, [name]), names
    )


def is_removed_everywhere(fleet: MembershipFleet, names: Iterable[str]) -> bool:
    """Return whether no node lists any of the given nodes as live."""
    nodes = fleet.nodes.values()
    return not any(knows_live(node, name) for name in names for node in nodes)


def churn_cost(fleet: MembershipFleet) -> Cost:
    """Return the cost while a host is killed and replaced every 3 s."""
    start = fleet.totals()
    for number in range(CHURN_HOSTS):
        del fleet.nodes[fleet.rng.choice(list(fleet.nodes))]
        fleet.join_node(f"new-{number}")
        fleet.run(CHURN_INTERVAL_SECONDS)
    return fleet.cost_since(start)


def lose_domain(fleet: MembershipFleet) -> tuple[Cost, float, int]:
    """Kill one failure domain.

    Returns:
        The cost over at least 20 s after the loss, the seconds until no node lists a
        lost node as live, and the number of live nodes that some node falsely
        considers dead at the end.
    """
    lost = [name for name in fleet.nodes if fleet.domains[name] == 0]
    for name in lost:
        del fleet.nodes[name]
    start = fleet.totals()
    removed_after = fleet.run_until(partial(is_removed_everywhere, fleet, lost))
    fleet.run(max(0.0, DOMAIN_LOSS_SECONDS - removed_after))
    cost = fleet.cost_since(start)
    false_deaths = {
        name
        for node in fleet.nodes.values()
        for name in fleet.nodes
        if not knows_live(node, name)
    }
    return cost, removed_after, len(false_deaths)


def memory_per_node(fleet: MembershipFleet) -> float:
    """Return the memory in MB of the member table of one node."""
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
    """Format the median and the largest of some times in seconds."""
    return f"{statistics.median(times):.1f}/{max(times):.1f}"


def measure_size(size: int, seed: int) -> list[str]:
    """Measure a fleet of a size and return its row of the table."""
    fleet = MembershipFleet(size, seed)
    start = fleet.totals()
    fleet.run(IDLE_SECONDS)
    idle = fleet.cost_since(start)
    drains = time_drains(fleet)
    drain_without_push = time_drain_without_push(fleet)
    joins = time_joins(fleet)
    deaths = time_deaths(fleet)
    memory = memory_per_node(fleet)
    churn = churn_cost(fleet)
    fleet.run(10.0)
    loss, removed_after, false_deaths = lose_domain(fleet)
    row = [str(size)]
    for cost in (idle, churn, loss):
        row.append(f"{cost.messages:.1f}")
        row.append(f"{cost.bytes_out / 1000:.2f}")
        row.append(f"{cost.cpu_share:.3%}")
    row += [f"{memory:.2f}", format_times(drains), f"{drain_without_push:.1f}"]
    row += [format_times(joins), format_times(deaths)]
    return [*row, f"{removed_after:.1f}", str(false_deaths)]


def run(seed: int = 7, sizes: str = ",".join(map(str, SIZES))) -> None:
    """Print the cost and speed of gossip membership at several fleet sizes."""
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

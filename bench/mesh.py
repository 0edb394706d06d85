"""Simulates how changes of the shared state reach all mesh nodes, and what they cost.

The real choice of readers, synchronizer and directory of every node run in one process
on a manual clock, with a simulated store and network. Requests, routing and rates are
left out.

Run ``python -m bench.mesh --seed 7``.
"""

import heapq
import json
import math
import random
import statistics
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, NamedTuple

import curio
import typer

from carawaywheel.clock import ManualClock
from carawaywheel.errors import LogError
from carawaywheel.mesh.monitor import PeerMonitor
from carawaywheel.mesh.replication.directory import Directory, HostRecord, encode_record
from carawaywheel.mesh.replication.follower import TableFollower
from carawaywheel.mesh.replication.store import KeyValue, Store, TablePage
from carawaywheel.mesh.replication.synchronizer import TICK_SECONDS, StateSynchronizer
from carawaywheel.mesh.target import Phase

TABLES = ("configuration", "hosts")
CONFIGURATION_KEY = "config"
SIZES = (15, 196, 1000)
DOMAINS = 5
SERVICES = 4
PORT = 7000
STEP_SECONDS = 0.02
DELAY_SECONDS = 0.003
DATAGRAM_LOSS = 0.01
HEADER_BYTES = 28  # IP and UDP
HEARTBEAT_SECONDS = 1.5
RESTART_SECONDS = 1.5
STORE_TIMEOUT_SECONDS = 1.5
START_SPREAD_SECONDS = 0.3
# Size of the configuration document, for the bytes of its spread.
CONFIGURATION_BYTES = 40_000


class SimulatedStore(Store):
    """The store, with the number of its calls.

    Attributes:
        tables: Changes of each table, as keys and values.
        calls: Calls so far.
        era: Rises by one each time the store comes back from a copy.
    """

    def __init__(self) -> None:
        self.tables: dict[str, list[tuple[str, bytes]]] = {name: [] for name in TABLES}
        self.calls = 0
        self.era = 1

    def restore(self, table: str, lost: int) -> None:
        """Come back without the last changes of a table."""
        self.era += 1
        changes = self.tables[table]
        del changes[len(changes) - lost :]

    async def read_all(self, table: str) -> TablePage:
        """Return the newest value of each key; see the base class."""
        self.calls += 1
        newest = {
            key: KeyValue(key, value, offset)
            for offset, (key, value) in enumerate(self.tables[table])
        }
        return TablePage(list(newest.values()), len(self.tables[table]), self.era)

    async def poll_changes(
        self, table: str, offset: int, wait: float
    ) -> TablePage | None:
        """Return the changes from an offset on; see the base class."""
        self.calls += 1
        return self.changes(table, offset)

    def changes(self, table: str, offset: int) -> TablePage | None:
        """Return the changes from an offset on, None if the table ends before it."""
        if offset > len(self.tables[table]):
            return None
        changes = enumerate(self.tables[table][offset:], offset)
        items = [KeyValue(key, value, number) for number, (key, value) in changes]
        return TablePage(items, len(self.tables[table]), self.era)

    async def put(self, table: str, key: str, value: bytes) -> int:
        """Write a value; see the base class."""
        self.calls += 1
        self.tables[table].append((key, value))
        return self.era

    async def put_at(self, table: str, key: str, value: bytes, offset: int) -> bool:
        """Write a value unless the table has changed; see the base class."""
        self.calls += 1
        if offset != len(self.tables[table]):
            return False
        self.tables[table].append((key, value))
        return True


class StoreLink(Store):
    """The path of one node to the store.

    Attributes:
        fleet: Fleet with the store and the clock.
        address: Address of the node.
        fault: ``"refused"`` if each call fails at once, ``"silent"`` if none is
            answered; empty if the path is sound.
        delay: Seconds that each answer is on its way.
    """

    def __init__(self, fleet: "SimulatedFleet", address: str) -> None:
        self.fleet = fleet
        self.store = fleet.store
        self.address = address
        self.fault = ""
        self.delay = 0.0

    def check(self) -> None:
        """Fail if the path is not sound.

        Raises:
            LogError: If so.
        """
        if self.fault:
            raise LogError("the path to the store is cut", "read", "store")

    def is_running(self) -> bool:
        """Return whether the process that made the call runs."""
        node = self.fleet.nodes.get(self.address)
        is_same = node is not None and node.store_link is self
        return is_same and self.address not in self.fleet.frozen

    async def deliver(self) -> None:
        """Wait until an answer has arrived and its node runs."""
        arrival = self.fleet.clock.now() + self.delay
        while self.fleet.clock.now() < arrival or not self.is_running():
            await self.fleet.stepped.wait()

    async def read_all(self, table: str) -> TablePage:
        """Read a table; see the base class."""
        self.check()
        page = await self.store.read_all(table)
        await self.deliver()
        return page

    async def poll_changes(
        self, table: str, offset: int, wait: float
    ) -> TablePage | None:
        """Read changes; see the base class."""
        self.store.calls += 1
        era = self.store.era
        asked_at = self.fleet.clock.now()
        while True:
            # The store cuts waiting reads when it goes away.
            if self.fault != "silent":
                self.check()
                page = self.store.changes(table, offset)
                waited = self.fleet.clock.now() >= asked_at + wait
                if page is None or page.items or page.era > era or waited:
                    break
            elif self.fleet.clock.now() >= asked_at + wait + STORE_TIMEOUT_SECONDS:
                self.check()
            await self.fleet.stepped.wait()
        await self.deliver()
        return page

    async def put(self, table: str, key: str, value: bytes) -> int:
        """Write a value; see the base class."""
        self.check()
        return await self.store.put(table, key, value)

    async def put_at(self, table: str, key: str, value: bytes, offset: int) -> bool:
        """Write a value unless the table has changed; see the base class."""
        self.check()
        return await self.store.put_at(table, key, value, offset)


class SimulatedSocket:
    """Datagram socket of one node; see ``DatagramSocket``.

    Attributes:
        received: Datagrams that the node has not handled yet, which wait while it
            stands still.
    """

    def __init__(self, fleet: "SimulatedFleet", address: str) -> None:
        self.fleet = fleet
        self.address = address
        self.handlers: dict[bytes, Any] = {}
        self.received: list[tuple[bytes, bytes, tuple[str, int]]] = []

    async def handle_received(self) -> None:
        """Handle the datagrams that have arrived since the last call."""
        received, self.received = self.received, []
        for kind, data, sender in received:
            await self.handlers[kind].receive(data, sender)

    async def send(self, kind: bytes, data: bytes, address: str) -> None:
        """Send a datagram, which may be lost."""
        self.fleet.send(self.address, kind, data, address)


class SimulatedMonitor(PeerMonitor):
    """Peer monitor whose exchanges are simulated."""

    fleet: "SimulatedFleet"

    def update_router(self) -> None:
        """Only note that the hosts have changed."""
        self.update_reachable()

    async def fetch_state(self, address: str) -> bool:
        """Fetch changes from a peer; see the base class."""
        peer = self.fleet.nodes.get(address)
        if peer is None or address in self.fleet.frozen | self.fleet.muted:
            return False
        directory = self.directory
        state = peer.monitor.encode_state(
            directory.configuration_version, directory.hosts_position
        )
        self.fleet.bytes_sent += len(state)
        self.fleet.fetches += 1
        self.merge_state(state, address)
        return True

    async def check(self, address: str) -> None:
        """Suspend a host that is lost; see the base class."""
        if address not in self.fleet.nodes or address in self.fleet.frozen:
            self.report_unreachable(address)


class SimulatedNode:
    """One node with its real state components.

    Attributes:
        store_link: Its path to the store.
        due_at: Time at which it chooses and asks readers next, in seconds.
        freshness_due_at: Time at which it checks its configuration next, in seconds.
        published_at: Time of the first heartbeat of its target, in seconds.
        poll_due_at: Time at which each follower may poll next, by table; infinite
            while it polls.
    """

    def __init__(
        self, fleet: "SimulatedFleet", number: int, first_start: bool, now: float
    ) -> None:
        rng = fleet.rng
        self.address = node_address(number)
        record = HostRecord(
            f"h{number}",
            self.address,
            f"zone-{number % DOMAINS}",
            f"service-{number % SERVICES}",
            int(now * 1000),
            0,
            int(Phase.GONE),
            0,
        )
        journal: Any = SimpleNamespace(
            write=lambda event, **fields: fleet.events.update([event]),
            count=lambda *arguments: None,
        )
        router: Any = SimpleNamespace(remove_candidate=lambda address: None)
        directory = Directory()
        directory.merge(record)
        self.monitor = SimulatedMonitor(
            self.address, directory, router, journal, fleet.clock
        )
        self.monitor.fleet = fleet
        sock: Any = SimulatedSocket(fleet, self.address)
        self.store_link = StoreLink(fleet, self.address)
        self.synchronizer = StateSynchronizer(
            self.store_link,
            TABLES,
            CONFIGURATION_KEY,
            directory,
            self.monitor,
            record,
            sock,
            False,
            journal,
            fleet.clock,
            rng,
        )
        self.sock = sock
        start_delay = 2.5 + rng.random() * 0.3 if first_start else 0.0
        self.due_at = self.freshness_due_at = now + start_delay
        self.published_at = now + rng.random() * HEARTBEAT_SECONDS
        self.turn = 0
        self.poll_due_at = dict.fromkeys(TABLES, 0.0)

    @property
    def directory(self) -> Directory:
        """What the node knows."""
        return self.monitor.directory

    async def step(self, fleet: "SimulatedFleet", now: float) -> None:
        """Do what is due."""
        synchronizer = self.synchronizer
        if now >= self.published_at and not synchronizer.publisher.published:
            await self.publish(fleet, Phase.READY)
        if now >= self.due_at:
            self.due_at = now + TICK_SECONDS
            choices = synchronizer.choices
            await synchronizer.follow(choices[self.turn % len(choices)], now)
            self.turn += 1
        if now >= self.freshness_due_at:
            await synchronizer.check_freshness(now)
            self.freshness_due_at = synchronizer.freshness.due_at()
        for follower in (
            synchronizer.configuration_follower,
            synchronizer.host_follower,
        ):
            if follower.active and now >= self.poll_due_at[follower.table]:
                self.poll_due_at[follower.table] = math.inf
                await curio.spawn(self.poll, fleet, follower, daemon=True)
        if synchronizer.sources:
            await curio.spawn(synchronizer.fetch_changes, daemon=True)
        publisher = synchronizer.publisher
        if publisher.published and publisher.is_unwritten():
            await self.write(fleet)

    async def poll(self, fleet: "SimulatedFleet", follower: TableFollower) -> None:
        """Read a table once, or wait for its next changes."""
        try:
            pause = await follower.poll()
            await follower.record_availability(None)
        except LogError as error:
            pause = 1.0
            await follower.record_availability(error)
        self.poll_due_at[follower.table] = fleet.clock.now() + pause

    async def publish(self, fleet: "SimulatedFleet", phase: Phase) -> None:
        """Write the own record, as after a heartbeat of the target."""
        await self.synchronizer.publisher.publish(int(phase), 10)
        await self.write(fleet)

    async def write(self, fleet: "SimulatedFleet") -> None:
        """Write the own record to the store."""
        publisher = self.synchronizer.publisher
        record = publisher.record
        publisher.stored_era = await fleet.store.put(
            TABLES[1], self.address, encode_record(record)
        )
        publisher.stored_record = record


class SimulatedFleet:
    """Nodes on a simulated network.

    Attributes:
        nodes: Nodes that run, by address.
        frozen: Nodes that stand still.
        muted: Nodes from which nothing reaches the others.
        stepped: Event set, and replaced, after each step of the time.
        events: Number of each event that the nodes have logged.
        datagrams: Datagrams sent so far.
        fetches: Fetches over HTTP so far.
        bytes_sent: Bytes between nodes so far.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        self.rng = random.Random(seed)
        self.clock = ManualClock(1000.0)
        self.store = SimulatedStore()
        self.nodes: dict[str, SimulatedNode] = {}
        self.frozen: set[str] = set()
        self.muted: set[str] = set()
        self.stepped = curio.Event()
        self.in_flight: list[tuple[float, int, str, str, bytes, bytes]] = []
        self.sent_count = 0
        self.events: Counter[str] = Counter()
        self.datagrams = 0
        self.fetches = 0
        self.bytes_sent = 0

    def start(self, number: int, first_start: bool) -> None:
        """Start a node."""
        node = SimulatedNode(self, number, first_start, self.clock.now())
        self.nodes[node.address] = node

    def send(self, sender: str, kind: bytes, data: bytes, address: str) -> None:
        """Put a datagram on the network."""
        self.datagrams += 1
        self.bytes_sent += len(kind) + len(data) + HEADER_BYTES
        if self.rng.random() < DATAGRAM_LOSS or sender in self.muted:
            return
        self.sent_count += 1
        arrival = self.clock.now() + DELAY_SECONDS
        heapq.heappush(
            self.in_flight, (arrival, self.sent_count, sender, address, kind, data)
        )

    async def run(
        self, seconds: float, until: Callable[[], bool] | None = None
    ) -> None:
        """Advance the time, at most until a condition holds."""
        end = self.clock.now() + seconds
        while self.clock.now() < end and not (until and until()):
            now = self.clock.advance(STEP_SECONDS)
            while self.in_flight and self.in_flight[0][0] <= now:
                _, _, sender, address, kind, data = heapq.heappop(self.in_flight)
                if address in self.nodes:
                    ip, _, port = sender.rpartition(":")
                    datagram = kind, data, (ip, int(port))
                    self.nodes[address].sock.received.append(datagram)
            for node in list(self.nodes.values()):
                if node.address not in self.frozen:
                    await node.sock.handle_received()
                    await node.step(self, now)
            # Lets the tasks run that nodes have started, or that wait for the time.
            stepped, self.stepped = self.stepped, curio.Event()
            await stepped.set()
            await curio.sleep(0)

    def publish_configuration(self, version: int) -> None:
        """Write a configuration as the operator does."""
        filler = "x" * CONFIGURATION_BYTES
        service = {"name": filler}
        document = {"version": f"r{version}", "services": [service]}
        value = json.dumps(document).encode()
        self.store.tables[TABLES[0]].append((CONFIGURATION_KEY, value))

    async def times_to_learn(
        self, is_known: Callable[[Directory], bool], limit: float
    ) -> list[float]:
        """Return the seconds until each sound node knows something, at most a limit."""
        start = self.clock.now()
        learned: dict[str, float] = {}

        def all_know() -> bool:
            for address, node in running.items():
                if address not in learned and is_known(node.directory):
                    learned[address] = self.clock.now() - start
            return len(learned) == len(running)

        running = {
            address: node
            for address, node in self.nodes.items()
            if address not in self.frozen | self.muted and not node.store_link.fault
        }
        await self.run(limit, all_know)
        return sorted(learned.get(address, limit) for address in running)

    def readers(self) -> list[str]:
        """Return the nodes that read the store."""
        return [
            address
            for address, node in self.nodes.items()
            if node.synchronizer.configuration_follower.active
        ]


class Row(NamedTuple):
    """Cost and times of one part of a run.

    Attributes:
        nodes: Size of the fleet.
        part: What happened.
        median: Seconds until half of the nodes knew.
        p99: Seconds until 99 in 100 knew.
        last: Seconds until all knew.
        calls: Calls to the store for each node.
        datagrams: Datagrams for each node.
        kilobytes: Kilobytes between nodes for each node.
    """

    nodes: int
    part: str
    median: float
    p99: float
    last: float
    calls: float
    datagrams: float
    kilobytes: float


def node_address(number: int) -> str:
    """Return the address of a node."""
    return f"10.{number % DOMAINS}.{number // 250}.{number % 250}:{PORT}"


async def simulate(size: int, seed: int) -> list[Row]:
    """Run all parts with one fleet.

    Args:
        size: Number of nodes.
        seed: Seed of all random choices.
    """
    fleet = SimulatedFleet(size, seed)
    rows = []

    async def measure(part: str, is_known: Callable[[Directory], bool]) -> None:
        before = fleet.store.calls, fleet.datagrams, fleet.bytes_sent
        times = await fleet.times_to_learn(is_known, 20.0)
        # Also counts what follows, such as readers that take over.
        await fleet.run(max(0.0, 5.0 - times[-1]))
        rows.append(
            Row(
                size,
                part,
                statistics.median(times),
                times[int(0.99 * (len(times) - 1))],
                times[-1],
                (fleet.store.calls - before[0]) / size,
                (fleet.datagrams - before[1]) / size,
                (fleet.bytes_sent - before[2]) / size / 1000,
            )
        )

    for number in range(size):
        fleet.start(number, first_start=True)
    await measure("start", lambda d: len(d.hosts) == size and d.hosts_known)
    fleet.publish_configuration(1)
    await measure("first configuration", lambda d: d.configuration_version == 1)
    await measure("nothing, 5 s", lambda d: True)
    fleet.publish_configuration(2)
    await measure("configuration", lambda d: d.configuration_version == 2)
    changed = fleet.nodes[node_address(size // 2)]
    await changed.publish(fleet, Phase.DRAINING)
    await measure(
        "one host", lambda d: d.hosts[changed.address].phase == Phase.DRAINING
    )
    fleet.store.restore(TABLES[1], len(fleet.store.tables[TABLES[1]]))
    await measure(
        "store restored, all records lost",
        lambda d: (
            d.hosts_position.era == fleet.store.era
            and min(position.era for position in d.positions.values())
            == fleet.store.era
        ),
    )
    fleet.store.restore(TABLES[0], 1)
    fleet.publish_configuration(3)
    await measure("restored, configuration", lambda d: d.configuration_version == 3)
    lost = fleet.readers()
    for address in lost:
        del fleet.nodes[address]
    fleet.publish_configuration(4)
    await measure("readers lost", lambda d: d.configuration_version == 4)
    fleet.nodes.clear()
    await fleet.run(RESTART_SECONDS)
    for number in range(size):
        fleet.start(number, first_start=False)
    await measure("all restart", lambda d: d.configuration_version == 4)
    return rows


def main(seed: int = 7, size: list[int] | None = None) -> None:
    """Print a table of times and costs for each size of the fleet."""
    heading: tuple[str, ...] = ("nodes", "part", "median s", "99% s", "last s")
    heading += ("calls", "datagrams", "KB")
    print("| " + " | ".join(heading) + " |")
    print("|" + " --- |" * len(heading))
    for nodes in size or SIZES:
        for row in curio.run(simulate, nodes, seed):
            times = f"{row.median:.2f} | {row.p99:.2f} | {row.last:.2f}"
            cost = f"{row.calls:.2f} | {row.datagrams:.1f} | {row.kilobytes:.1f}"
            print(f"| {row.nodes} | {row.part} | {times} | {cost} |", flush=True)


if __name__ == "__main__":
    typer.run(main)

"""Synchronization of a node's directory with the platform's store and other nodes.

A node writes its own record to the store and learns the changes of all others from two
readers, or from the store itself while it is a reader. Queries and small changes are
datagrams; larger changes are fetched over HTTP.
"""

import random
from typing import NamedTuple

import curio

from ...clock import Clock
from ...datagrams import Address, DatagramHandler, DatagramSocket
from ...errors import LogError, RecordError
from ...platform.evacuation import decode_evacuated_domain
from ...ticks import sleep_until_tick
from ..evacuation import Evacuation
from ..journal import Journal
from ..monitor import PeerMonitor
from ..target import Phase
from .directory import Directory, HostRecord, decode_record
from .follower import MIN_BACKOFF_SECONDS, TableFollower
from .freshness import Freshness, Step
from .messages import (
    MAX_DATAGRAM_HOSTS,
    Query,
    Status,
    decode_message,
    encode,
)
from .publisher import RecordPublisher
from .readers import (
    OUT_OF_TOUCH_SECONDS,
    SILENT_SECONDS,
    ReaderChoice,
    ReaderHost,
    expected_followers,
    rank_readers,
)
from .restorer import RecordRestorer
from .store import START, Position, Store, TablePage

DATAGRAM_KIND = b"s"
# Each of the two readers is asked at every second tick. Readers announce changes at
# once; queries repair what was lost and show that the reader lives.
TICK_SECONDS = 0.4
# Time for which a node stays a reader after the last query: some lost queries.
READER_SECONDS = 3.0
# Time without a query after which a follower may be down: two lost queries.
LAPSE_SECONDS = 1.7
# Interval at which a reader without the store looks for followers that are down.
CHECK_SECONDS = 2.0
# Each poll costs a request, but a configuration must be in force within about two
# seconds, also if the store falls silent to its readers in the meantime: they notice it
# at the end of a poll. Changes of hosts come in bursts and concern only the choice of
# targets.
CONFIGURATION_WAIT_SECONDS = 1.0
CONFIGURATION_PAUSE_SECONDS = 0.1
# Time without any configuration after which a node reads it from the store itself, and
# interval of such reads. Readers that cannot read the document have none to pass on.
# Longer than a start of all nodes at once.
MISSING_CONFIGURATION_SECONDS = 5.0
HOST_WAIT_SECONDS = 6.0
HOST_PAUSE_SECONDS = 0.3
# Time that a node waits for its peers before the first configuration that it has read
# from the store is in force: a response over a narrow link, and a margin.
PEER_PATIENCE_SECONDS = 1.0
# When all nodes start at once, the host records are read once most of them are written.
FIRST_START_SECONDS = 2.5
OWN_RECORD_POLL_SECONDS = 0.02
# Shortest time between two checks of the freshness of the configuration.
MIN_CHECK_SECONDS = 0.02
# Spreads what many nodes do at the same event.
SPREAD_SECONDS = 0.3


class KnownFollower(NamedTuple):
    """A node that asks this one for changes.

    Attributes:
        asked_at: Time of its last query in seconds.
        hosts_position: Position up to which it knows all host records.
        clock_offset: Seconds by which its clock was ahead when the query arrived, less
            the time that the query took; None if it does not tell.
    """

    asked_at: float
    hosts_position: Position
    clock_offset: float | None


class StateSynchronizer(DatagramHandler):
    """Keeps the directory of a node in step with the store.

    Attributes:
        own_address: Address of this node.
        publisher: Publishes the record of this node's host.
        restorer: Restores records of hosts whose nodes are gone.
        configuration_follower: Follower of the operator's table.
        host_follower: Follower of the host records.
        choices: The readers that this node asks.
        freshness: Decides when the configuration has to be confirmed.
        stale_since: Time in seconds since which the configuration is stale; None while
            it is not.
        hosts_read: Whether this process has read the records of all hosts from the
            store.
        followers: Nodes that ask this one, by address.
        sources: Nodes to fetch changes from, with their configuration version and the
            position up to which they know all host records.
    """

    def __init__(
        self,
        store: Store,
        tables: tuple[str, str],
        configuration_key: str,
        directory: Directory,
        peer_monitor: PeerMonitor,
        own_record: HostRecord,
        sock: DatagramSocket,
        first_start: bool,
        journal: Journal,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.configuration_key = configuration_key
        self.directory = directory
        self.peer_monitor = peer_monitor
        self.own_address = own_record.address
        self.own_domain = own_record.domain
        self.sock = sock
        self.port = int(sock.address.rpartition(":")[2])
        self.first_start = first_start
        self.journal = journal
        self.clock = clock
        self.rng = rng
        self.publisher = RecordPublisher(
            store,
            tables[1],
            own_record,
            directory,
            peer_monitor,
            journal,
            clock,
            rng,
        )
        self.configuration_follower = TableFollower(
            tables[0],
            store,
            self.apply_operator_items,
            CONFIGURATION_WAIT_SECONDS,
            CONFIGURATION_PAUSE_SECONDS,
            journal,
            clock,
            rng,
        )
        self.configuration_follower.is_prompt = True
        self.host_follower = TableFollower(
            tables[1],
            store,
            self.apply_host_items,
            HOST_WAIT_SECONDS,
            HOST_PAUSE_SECONDS,
            journal,
            clock,
            rng,
        )
        self.restorer = RecordRestorer(
            store,
            self.host_follower,
            directory,
            self.own_address,
            journal,
            clock,
            rng,
        )
        for follower in (self.configuration_follower, self.host_follower):
            follower.on_availability_changed = self.announce_changes
        self.freshness = Freshness(rng, clock.now())
        self.choices = [ReaderChoice(own_record.address, rng) for _ in range(2)]
        self.hosts_read = False
        self.ranked_generation = -1
        self.check_due_at = 0.0
        self.configuration_due_at = clock.now() + MISSING_CONFIGURATION_SECONDS
        self.followers: dict[str, KnownFollower] = {}
        self.announced: tuple[int, Position, bool, int, float] | None = None
        self.stale_since: float | None = None
        self.sources: dict[str, tuple[int, Position]] = {}
        self.source_added = curio.Event()
        sock.handlers[DATAGRAM_KIND] = self
        peer_monitor.on_newer_version = self.add_source

    async def apply_operator_items(self, page: TablePage, position: Position) -> None:
        """Apply values of the operator's table."""
        self.publisher.observe_era(position.era)
        if page.items and self.directory.configuration is None:
            await self.ask_peers()
        # Before the configuration, with which a node that starts becomes ready.
        self.apply_evacuations(page, position)
        for item in page.items:
            if item.key == self.configuration_key and item.value:
                self.peer_monitor.receive_configuration(item.value, "store")
        self.freshness.confirm(self.configuration_follower.confirmed_at)
        await self.announce_changes()

    def apply_evacuations(self, page: TablePage, position: Position) -> None:
        """Apply the evacuations among values of the operator's table."""
        evacuations = []
        for item in page.items:
            domain = decode_evacuated_domain(item.key)
            if domain:
                evacuation = Evacuation(
                    domain, position.era, item.offset, bool(item.value)
                )
                evacuations.append(evacuation)
            elif domain is not None:
                self.journal.write("evacuation_invalid", key=item.key)
        changes = self.directory.evacuations.apply_page(
            evacuations, position, page.is_whole
        )
        self.peer_monitor.apply_evacuations(changes, "store")

    async def ask_peers(self) -> None:
        """Fetch the state of the readers.

        The store may have come back from a copy with an older configuration.
        """
        addresses = {each for choice in self.choices for each in choice.ranking}
        async with (
            curio.ignore_after(PEER_PATIENCE_SECONDS),
            curio.TaskGroup() as group,
        ):
            for address in addresses - {self.own_address}:
                await group.spawn(self.peer_monitor.fetch_state, address)

    async def apply_host_items(self, page: TablePage, position: Position) -> None:
        """Apply host records; skip malformed ones."""
        self.publisher.observe_era(position.era)
        changes = []
        for item in page.items:
            if not item.value:
                continue
            try:
                record = decode_record(item.key, item.value)
            except RecordError as error:
                self.journal.write("host_invalid", error=str(error))
                continue
            changes.append((Position(position.era, item.offset), record))
        self.restorer.observe(changes, position, page.is_whole)
        self.peer_monitor.merge_hosts(changes, position, "store")
        self.peer_monitor.mark_hosts_known()
        self.hosts_read = self.hosts_read or page.is_whole
        await self.announce_changes()
        if self.ranked_generation < 0:
            for choice in self.choices:
                await self.follow(choice, self.clock.now())

    async def learn_own_record(self) -> None:
        """Wait until the record that a former process of this node wrote is known.

        Other nodes may know an older one. They are believed only while the store does
        not respond, as they are told then of what it does not take.
        """
        while not self.hosts_read:
            if not self.directory.hosts_known:
                await curio.sleep(OWN_RECORD_POLL_SECONDS)
                continue
            try:
                await self.host_follower.read_all()
            except LogError as error:
                self.journal.write("own_record_not_read", error=str(error))
                return

    async def run(self) -> None:
        """Ask the readers at intervals, and read while asked, until cancelled."""
        if self.first_start:
            self.first_start = False
            await curio.sleep(FIRST_START_SECONDS + self.rng.random() * SPREAD_SECONDS)
        turn = 0
        while True:
            now = self.clock.now()
            await self.follow(self.choices[turn % len(self.choices)], now)
            turn += 1
            await self.publisher.write_if_due()
            await self.read_missing_configuration(now)
            if self.sources:
                await self.source_added.set()
            await sleep_until_tick(TICK_SECONDS)

    async def run_freshness(self) -> None:
        """Confirm the configuration whenever it is due, until cancelled."""
        while True:
            now = self.clock.now()
            await self.check_freshness(now)
            await curio.sleep(max(MIN_CHECK_SECONDS, self.freshness.due_at() - now))

    async def check_freshness(self, now: float) -> None:
        """Replace the readers or read the store if the configuration is stale."""
        freshness = self.freshness
        if self.directory.configuration is None:
            # Without one the node serves nothing, and finds it otherwise.
            freshness.restart(now)
            return
        freshness.apply_reports(self.known_version())
        step = freshness.next_step(now)
        self.log_freshness(now)
        if step is Step.REPLACE_READERS:
            await self.replace_readers(now)
        elif step is Step.READ_STORE and not self.configuration_follower.active:
            self.journal.count("configuration_read")
            await curio.spawn(self.refresh_configuration, daemon=True)

    def log_freshness(self, now: float) -> None:
        """Log when the configuration becomes stale, and when it is confirmed again."""
        if self.freshness.is_stale == (self.stale_since is not None):
            return
        version = self.directory.configuration_version
        if self.stale_since is None:
            self.stale_since = now
            readers = [choice.current for choice in self.choices]
            self.journal.write("configuration_stale", version=version, readers=readers)
            return
        seconds = round(self.freshness.confirmed_at - self.stale_since, 3)
        self.stale_since = None
        self.journal.write("configuration_fresh", version=version, after=seconds)

    async def replace_readers(self, now: float) -> None:
        """Ask other readers, since the present ones do not confirm in time."""
        suspects = {
            choice.current: choice.is_suspect(now)
            for choice in self.choices
            if choice.current and not choice.is_own_turn
        }
        for address, is_suspect in suspects.items():
            seconds = SILENT_SECONDS if is_suspect else OUT_OF_TOUCH_SECONDS
            for choice in self.choices:
                choice.avoid(address, seconds, now)
            if is_suspect:
                await curio.spawn(self.peer_monitor.check, address, daemon=True)
        await self.update_role(now)
        for choice in self.choices:
            await self.ask(choice, now)

    def known_version(self) -> int:
        """Return the newest version that this node knows, readable or not."""
        unreadable = self.peer_monitor.unreadable.newest
        newest = unreadable.version if unreadable else None
        return max(self.directory.configuration_version, newest or 0)

    async def read_missing_configuration(self, now: float) -> None:
        """Read the configuration from the store if this node has lacked one for long.

        A node that follows the table learns it anyway.
        """
        if (
            self.directory.configuration is not None
            or self.configuration_follower.active
            or now < self.configuration_due_at
        ):
            return
        spread = self.rng.uniform(1.0, 1.0 + SPREAD_SECONDS)
        self.configuration_due_at = now + MISSING_CONFIGURATION_SECONDS * spread
        await curio.spawn(self.refresh_configuration, daemon=True)

    async def refresh_configuration(self) -> None:
        """Read the configuration from the store once."""
        try:
            await self.configuration_follower.read_all()
        except LogError as error:
            self.journal.count("refresh_failed", error.step)

    async def follow(self, choice: ReaderChoice, now: float) -> None:
        """Choose readers, and ask one of them."""
        self.rank(now)
        silent = {each.update(now) for each in self.choices} - {""}
        if self.has_lost_store():
            for each in self.choices:
                each.record_reply(self.own_address, False, now)
        await self.update_role(now)
        if self.has_lost_store() and now >= self.check_due_at:
            self.check_due_at = now + CHECK_SECONDS
            silent |= self.missing_followers(now)
        for address in silent:
            await curio.spawn(self.peer_monitor.check, address, daemon=True)
        await self.announce_changes()
        await self.ask(choice, now)

    def has_lost_store(self) -> bool:
        """Return whether the last read of a table failed."""
        return self.configuration_follower.failing or self.host_follower.failing

    def missing_followers(self, now: float) -> set[str]:
        """Return the nodes that should ask this one and do not.

        A node that has restarted while the store is down knows no other node.
        """
        asked_at = {
            address: follower.asked_at for address, follower in self.followers.items()
        }
        return {
            address
            for address in expected_followers(*self.known_hosts(), self.own_address)
            if now - asked_at.get(address, 0.0) > LAPSE_SECONDS
        }

    def known_hosts(self) -> tuple[list[ReaderHost], list[ReaderHost]]:
        """Return the reachable hosts that may read, and the others."""
        readers: list[ReaderHost] = []
        others: list[ReaderHost] = []
        for address in self.peer_monitor.reachable_hosts():
            record = self.directory.hosts.get(address)
            if record is not None:
                may_read = record.phase == Phase.READY
                host = ReaderHost(record.address, record.domain)
                (readers if may_read else others).append(host)
        return readers, others

    def reader_hosts(self) -> list[ReaderHost]:
        """Return the hosts that may read."""
        return self.known_hosts()[0]

    def rank(self, now: float) -> None:
        """Rank the readers again if hosts have changed."""
        generation = self.peer_monitor.generation
        if generation == self.ranked_generation or not self.directory.hosts_known:
            return
        self.ranked_generation = generation
        rankings = rank_readers(self.reader_hosts(), self.own_address, self.own_domain)
        for choice, ranking in zip(self.choices, rankings, strict=True):
            choice.set_ranking(ranking, now)

    async def update_role(self, now: float) -> None:
        """Read the store while this node or others need it."""
        self.followers = {
            address: follower
            for address, follower in self.followers.items()
            if now - follower.asked_at <= READER_SECONDS
        }
        directory = self.directory
        urgent = directory.configuration is None
        is_reader = (
            any(choice.is_own_turn for choice in self.choices)
            or bool(self.followers)
            or all(choice.is_given_up(now, urgent) for choice in self.choices)
        )
        if directory.hosts_known and is_reader != self.configuration_follower.active:
            self.journal.write(
                "reader" if is_reader else "reader_ended",
                followers=len(self.followers),
                chosen=[choice.current for choice in self.choices],
            )
            self.host_follower.skip_to(directory.hosts_position)
        # A node that has just started needs the hosts to find a reader.
        await self.host_follower.set_active(is_reader or not directory.hosts_known)
        await self.configuration_follower.set_active(
            is_reader and directory.hosts_known
        )

    def is_in_touch(self, now: float) -> bool:
        """Return whether this node reads the store, or has just begun to try."""
        return self.configuration_follower.is_in_touch(
            now
        ) and self.host_follower.is_in_touch(now)

    async def ask(self, choice: ReaderChoice, now: float) -> None:
        """Send a query to a reader."""
        if not choice.current or choice.is_own_turn:
            return
        choice.record_query(now)
        query = Query(
            self.own_address,
            self.directory.configuration_version,
            self.directory.hosts_position.offset,
            self.directory.hosts_position.era,
            self.directory.evacuations.known(),
            now,
        )
        await self.send(choice.current, query)

    async def send(self, address: str, message: Query | Status) -> None:
        """Send a message to the node at an address."""
        host = address.rpartition(":")[0]
        await self.sock.send(DATAGRAM_KIND, encode(message), f"{host}:{self.port}")

    async def receive(self, data: bytes, sender: Address) -> None:
        """Handle a datagram; see the base class."""
        message = decode_message(data)
        now = self.clock.now()
        if isinstance(message, Query):
            position = message.position(self.publisher.era)
            offset = message.asked_at - now if message.asked_at else None
            follower = KnownFollower(now, position, offset)
            self.followers[message.sender] = follower
            self.peer_monitor.merge_evacuations(message.evacuations, message.sender)
            await self.update_role(now)
            await self.send_status(message.sender, follower, now)
            self.add_source(message.sender, message.version, position)
            await self.announce_changes()
        elif isinstance(message, Status):
            await self.receive_status(message, now)
        else:
            self.journal.count("datagram_invalid")

    async def receive_status(self, status: Status, now: float) -> None:
        """Apply the changes that a reader tells, or fetch them if they are many."""
        for choice in self.choices:
            former = choice.current
            choice.record_reply(status.sender, status.in_touch, now)
            if choice.current != former:
                await self.update_role(now)
                await self.ask(choice, now)
        self.peer_monitor.merge_evacuations(status.evacuations, status.sender)
        self.publisher.observe_era(status.era)
        position = status.position(self.publisher.era)
        if (
            status.hosts
            and status.start(self.publisher.era) <= self.directory.hosts_position
        ):
            self.peer_monitor.merge_hosts(
                status.changes(self.publisher.era), position, status.sender
            )
        if status.age is not None or status.in_touch:
            confirmed_at = now - (status.age or 0.0)
            if status.confirmed_at is not None:
                # The status may have waited while this process stood still.
                confirmed_at = min(confirmed_at, status.confirmed_at)
            self.freshness.record_report(
                status.sender, status.version, self.known_version(), confirmed_at
            )
        self.add_source(status.sender, status.version, position)
        if self.sources:
            await self.source_added.set()
        await self.announce_changes()

    async def send_status(
        self, address: str, follower: KnownFollower, now: float
    ) -> None:
        """Send the state of this reader, with the changes for a follower if few."""
        directory = self.directory
        since = follower.hosts_position
        confirmed_at = self.configuration_follower.confirmed_at
        offset = follower.clock_offset
        changes = directory.changes_since(since) if since.offset else []
        if len(changes) > MAX_DATAGRAM_HOSTS:
            changes = []
        status = Status(
            self.own_address,
            self.is_in_touch(now),
            directory.configuration_version,
            directory.hosts_position.offset,
            since.offset,
            [(position.offset, record) for position, record in changes],
            directory.hosts_position.era,
            since.era,
            [position.era for position, _ in changes],
            directory.evacuations.known(),
            now - confirmed_at,
            None if offset is None else confirmed_at + offset,
        )
        await self.send(address, status)

    async def announce_changes(self) -> None:
        """Tell the followers at once of changes, or that the store is lost."""
        now = self.clock.now()
        directory = self.directory
        state = (
            directory.configuration_version,
            directory.hosts_position,
            self.is_in_touch(now),
            directory.evacuations.revision,
            self.configuration_follower.confirmed_at,
        )
        if state == self.announced:
            return
        self.announced = state
        for address, follower in list(self.followers.items()):
            await self.send_status(address, follower, now)
            # If this status is lost, the next one tells the follower of the gap.
            self.followers[address] = follower._replace(hosts_position=state[1])

    def add_source(
        self, address: str, version: int, position: Position = START
    ) -> None:
        """Note a node to fetch from if it knows more than this one."""
        if self.is_behind(version, position):
            self.sources[address] = (version, position)

    def is_behind(self, version: int, position: Position) -> bool:
        """Return whether a node with this knowledge knows more than this one."""
        directory = self.directory
        return (
            version > directory.configuration_version
            or position > directory.hosts_position
        )

    async def run_fetches(self) -> None:
        """Fetch changes from nodes that know more, until cancelled."""
        while True:
            await self.source_added.wait()
            self.source_added.clear()
            await self.fetch_changes()

    async def fetch_changes(self) -> None:
        """Fetch changes from all nodes that are known to know more."""
        while self.sources:
            address, (version, position) = self.sources.popitem()
            if self.is_behind(version, position):
                await self.fetch(address, version)

    async def fetch(self, address: str, version: int) -> None:
        """Fetch changes from a node, or its configuration from the store."""
        if await self.peer_monitor.fetch_state(address):
            await self.announce_changes()
            return
        if version <= self.directory.configuration_version:
            return
        try:
            await self.configuration_follower.read_all()
        except LogError as error:
            self.journal.count("refresh_failed", error.step)
            await curio.sleep(MIN_BACKOFF_SECONDS)

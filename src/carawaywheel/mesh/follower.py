"""Following the platform's store: the configuration and the hosts."""

import random
from collections.abc import Callable

import curio

from ..clock import Clock
from ..errors import LogError, RecordError
from .directory import Directory, HostRecord, decode_record, encode_record
from .journal import Journal
from .news import News
from .store import Item, Store

# Long polls cost a call each; a connection that went silent is noticed by keepalive
# probes and by the versions that nodes tell each other.
WAIT_SECONDS = 20.0
PAUSE_SECONDS = 0.25
PAUSE_SECONDS_MAX = 1.0


class TableFollower:
    """Reads one table and its changes.

    Attributes:
        table: Name of the table.
        position: Position up to which it was read; None before the first read.
        failing: Whether the last call failed.
        on_read: Called after the whole table was read.
    """

    def __init__(
        self,
        table: str,
        store: Store,
        take: Callable[[Item], None],
        journal: Journal,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.store = store
        self.take = take
        self.journal = journal
        self.rng = rng
        self.position: int | None = None
        self.failing = False
        self.on_read: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause = PAUSE_SECONDS
        while True:
            try:
                await self.step()
                pause = PAUSE_SECONDS
                self.note(None)
            except LogError as error:
                self.note(error)
                await curio.sleep(pause * self.rng.uniform(0.5, 1.0))
                pause = min(pause * 2, PAUSE_SECONDS_MAX)

    async def step(self) -> None:
        """Read the table, or wait for its next changes."""
        if self.position is None:
            await self.read()
            return
        page = await self.store.changes(self.table, self.position, WAIT_SECONDS)
        if page is None:
            self.position = None
            return
        self.position = page.position
        for item in page.items:
            self.take(item)

    async def read(self) -> None:
        """Read the newest value of each key."""
        page = await self.store.newest(self.table)
        for item in page.items:
            self.take(item)
        if self.position is None or page.position > self.position:
            self.position = page.position
        self.on_read()

    def note(self, error: LogError | None) -> None:
        """Record that the store was lost or regained."""
        if (error is not None) == self.failing:
            return
        self.failing = error is not None
        event = "store_lost" if error else "store_regained"
        self.journal.write(event, table=self.table, error=str(error or ""))


class StoreSync:
    """Keeps a node in step with the store.

    Attributes:
        record: What this node last told of its host.
    """

    def __init__(
        self,
        store: Store,
        tables: tuple[str, str],
        configuration_key: str,
        directory: Directory,
        news: News,
        own: HostRecord,
        journal: Journal,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.configuration_key = configuration_key
        self.directory = directory
        self.news = news
        self.journal = journal
        self.clock = clock
        self.rng = rng
        self.record = own
        self.host_table = tables[1]
        self.changed = curio.Event()
        self.configuration = TableFollower(
            tables[0], store, self.take_configuration, journal, rng
        )
        self.hosts = TableFollower(tables[1], store, self.take_host, journal, rng)
        self.hosts.on_read = news.note_hosts_known

    def take_configuration(self, item: Item) -> None:
        """Take a value of the operator's table."""
        if item.key == self.configuration_key and item.value:
            self.news.take_configuration(item.value, "store")

    def take_host(self, item: Item) -> None:
        """Take the record of a host; one that cannot be read is skipped."""
        if not item.value:
            return
        try:
            record = decode_record(item.key, item.value)
        except RecordError as error:
            self.journal.write("host_invalid", error=str(error))
            return
        if record.address == self.record.address:
            self.check_own(record)
            return
        self.news.add_host(record)

    def check_own(self, record: HostRecord) -> None:
        """Write the own record anew if the store holds one of an earlier start."""
        if record.order >= self.record.order and record != self.record:
            self.record = self.record._replace(
                incarnation=record.incarnation + 1, sequence=0
            )
            self.news.add_host(self.record)

    async def update(self, phase: int, slots: int) -> None:
        """Tell the others of a change of the local target."""
        self.record = self.record._replace(
            phase=phase, slots=slots, sequence=self.record.sequence + 1
        )
        self.news.add_host(self.record)
        await self.changed.set()

    async def run_writes(self) -> None:
        """Write the own record whenever it changed, until cancelled."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            pause = PAUSE_SECONDS
            while True:
                written = self.record
                try:
                    await self.store.put(
                        self.host_table, written.address, encode_record(written)
                    )
                except LogError as error:
                    self.journal.write("host_not_written", error=str(error))
                    await self.news.tell_all()
                    await curio.sleep(pause * self.rng.uniform(0.5, 1.0))
                    pause = min(pause * 2, PAUSE_SECONDS_MAX)
                    continue
                if written == self.record:
                    break

    async def run_refreshes(self) -> None:
        """Read the configuration at once when others know a newer one."""
        while True:
            await self.news.newer.wait()
            self.news.newer.clear()
            try:
                await self.configuration.read()
            except LogError as error:
                self.journal.count("refresh_failed", error.step)
            await curio.sleep(PAUSE_SECONDS)

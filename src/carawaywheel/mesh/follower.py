"""Replication of the configuration and the host records from the platform's store."""

import random
from collections.abc import Callable

import curio

from ..clock import Clock
from ..errors import LogError, RecordError
from .directory import Directory, HostRecord, decode_record, encode_record
from .journal import Journal
from .monitor import PeerMonitor
from .store import KeyValue, Store

# Each poll costs a request, so the waits are long. A dead connection is detected by
# keepalive probes and by the configuration versions that peers report.
LONG_POLL_SECONDS = 20.0
MIN_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 1.0


class TableFollower:
    """Reads a table of the store and follows its changes.

    Attributes:
        table: Name of the table.
        apply: Called with each key and value read.
        offset: Offset of the next change; None before the first read.
        failing: Whether the last request failed.
        on_read_all: Called after each read of the whole table.
    """

    def __init__(
        self,
        table: str,
        store: Store,
        apply: Callable[[KeyValue], None],
        journal: Journal,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.store = store
        self.apply = apply
        self.journal = journal
        self.rng = rng
        self.offset: int | None = None
        self.failing = False
        self.on_read_all: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        backoff = MIN_BACKOFF_SECONDS
        while True:
            try:
                await self.poll()
                backoff = MIN_BACKOFF_SECONDS
                self.record_availability(None)
            except LogError as error:
                self.record_availability(error)
                await curio.sleep(backoff * self.rng.uniform(0.5, 1.0))
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    async def poll(self) -> None:
        """Read the whole table, or wait for its next changes."""
        if self.offset is None:
            await self.read_all()
            return
        page = await self.store.poll_changes(self.table, self.offset, LONG_POLL_SECONDS)
        if page is None:
            self.offset = None
            return
        self.offset = page.offset
        for item in page.items:
            self.apply(item)

    async def read_all(self) -> None:
        """Read and apply the newest value of each key."""
        page = await self.store.read_all(self.table)
        for item in page.items:
            self.apply(item)
        if self.offset is None or page.offset > self.offset:
            self.offset = page.offset
        self.on_read_all()

    def record_availability(self, error: LogError | None) -> None:
        """Log when the store becomes unavailable or available again."""
        if (error is not None) == self.failing:
            return
        self.failing = error is not None
        event = "store_lost" if error else "store_regained"
        self.journal.write(event, table=self.table, error=str(error or ""))


class StoreSync:
    """Synchronizes a node with the store.

    Attributes:
        own_record: Newest record of this node's host.
        record_changed: Set when this record must be written.
        configuration_follower: Follower of the operator's table.
        host_follower: Follower of the host records.
    """

    def __init__(
        self,
        store: Store,
        tables: tuple[str, str],
        configuration_key: str,
        directory: Directory,
        peer_monitor: PeerMonitor,
        own_record: HostRecord,
        journal: Journal,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.configuration_key = configuration_key
        self.directory = directory
        self.peer_monitor = peer_monitor
        self.journal = journal
        self.clock = clock
        self.rng = rng
        self.own_record = own_record
        self.host_table = tables[1]
        self.record_changed = curio.Event()
        self.configuration_follower = TableFollower(
            tables[0], store, self.apply_configuration, journal, rng
        )
        self.host_follower = TableFollower(
            tables[1], store, self.apply_host, journal, rng
        )
        self.host_follower.on_read_all = peer_monitor.mark_hosts_known

    def apply_configuration(self, item: KeyValue) -> None:
        """Apply a value of the operator's table."""
        if item.key == self.configuration_key and item.value:
            self.peer_monitor.receive_configuration(item.value, "store")

    def apply_host(self, item: KeyValue) -> None:
        """Apply a host record; skip a malformed one."""
        if not item.value:
            return
        try:
            record = decode_record(item.key, item.value)
        except RecordError as error:
            self.journal.write("host_invalid", error=str(error))
            return
        if record.address == self.own_record.address:
            self.supersede_stored(record)
            return
        self.peer_monitor.merge_host(record)

    def supersede_stored(self, record: HostRecord) -> None:
        """Supersede a stored record of an earlier start by a higher incarnation."""
        if record.revision >= self.own_record.revision and record != self.own_record:
            self.own_record = self.own_record._replace(
                incarnation=record.incarnation + 1, sequence=0
            )
            self.peer_monitor.merge_host(self.own_record)

    async def publish(self, phase: int, slots: int) -> None:
        """Publish a change of the local target."""
        self.own_record = self.own_record._replace(
            phase=phase, slots=slots, sequence=self.own_record.sequence + 1
        )
        self.peer_monitor.merge_host(self.own_record)
        await self.record_changed.set()

    async def run_writes(self) -> None:
        """Write this node's record after each change until cancelled."""
        while True:
            await self.record_changed.wait()
            self.record_changed.clear()
            backoff = MIN_BACKOFF_SECONDS
            while True:
                written = self.own_record
                try:
                    await self.store.put(
                        self.host_table, written.address, encode_record(written)
                    )
                except LogError as error:
                    self.journal.write("host_not_written", error=str(error))
                    await self.peer_monitor.broadcast_state()
                    await curio.sleep(backoff * self.rng.uniform(0.5, 1.0))
                    backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
                    continue
                if written == self.own_record:
                    break

    async def run_refreshes(self) -> None:
        """Read the configuration when a peer has a newer one, until cancelled."""
        while True:
            await self.peer_monitor.newer_available.wait()
            self.peer_monitor.newer_available.clear()
            try:
                await self.configuration_follower.read_all()
            except LogError as error:
                self.journal.count("refresh_failed", error.step)
            await curio.sleep(MIN_BACKOFF_SECONDS)

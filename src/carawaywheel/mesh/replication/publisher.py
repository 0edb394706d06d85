"""Publication of the record of a node's own host.

The store takes each change of it, and takes it again when it has come back from a copy,
which may lack it. While the store takes nothing, the other nodes are told.
"""

import random
from collections.abc import Callable

import curio

from ...clock import Clock
from ...errors import LogError
from ..journal import Journal
from ..monitor import OWN_ORIGIN, PeerMonitor
from .directory import Directory, HostRecord, encode_record
from .follower import MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS
from .store import START, Store

REPEAT_BROADCAST_SECONDS = 2.0
# Records that all nodes together write again in a second when the store has come back
# from a copy: half of the writes that the users' stores take.
REWRITES_PER_SECOND = 200


class RecordPublisher:
    """Publishes the record of this node's host, and keeps it in the store.

    Attributes:
        record: Newest record of this node's host.
        published: Whether this record must be in the store.
        stored_record: Record that the store has accepted last; None for none.
        stored_era: Era of the store in which it did.
        era: Newest era of the store that this node knows of.
        rewrite_at: Time from which on a record of an older era is written again, in
            seconds.
        on_former_leaving: Called if an earlier start of this node knew that its target
            was leaving.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        record: HostRecord,
        directory: Directory,
        peer_monitor: PeerMonitor,
        journal: Journal,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.table = table
        self.record = record
        self.directory = directory
        self.peer_monitor = peer_monitor
        self.journal = journal
        self.clock = clock
        self.rng = rng
        self.published = False
        self.stored_record: HostRecord | None = None
        self.stored_era = 0
        self.era = 0
        self.rewrite_at = float("-inf")
        self.broadcast_at = float("-inf")
        self.record_changed = curio.Event()
        self.on_former_leaving: Callable[[], None] = lambda: None
        peer_monitor.on_own_record = self.supersede_former

    def supersede_former(self, record: HostRecord) -> None:
        """Supersede a record of an earlier start of this node.

        The time of day, from which incarnations come, may have stepped back.
        """
        if record.incarnation != self.record.incarnation and record.is_leaving:
            self.on_former_leaving()
        if record.revision < self.record.revision or record == self.record:
            return
        self.journal.write("record_superseded", former=record.revision)
        self.record = self.record._replace(
            incarnation=record.incarnation + 1, sequence=0
        )
        self.peer_monitor.merge_hosts([(START, self.record)], START, OWN_ORIGIN)

    async def publish(self, phase: int, slots: int) -> None:
        """Publish a change of the local target."""
        self.record = self.record._replace(
            phase=phase, slots=slots, sequence=self.record.sequence + 1
        )
        self.published = True
        self.peer_monitor.merge_hosts([(START, self.record)], START, OWN_ORIGIN)
        await self.record_changed.set()

    def observe_era(self, era: int) -> None:
        """Note an era of the store; a new one may have lost this node's record."""
        if era <= self.era:
            return
        if self.era:
            spread = len(self.directory.hosts) / REWRITES_PER_SECOND
            self.rewrite_at = self.clock.now() + self.rng.random() * spread
            self.journal.write("store_era", former=self.era, era=era)
        self.era = era

    def is_unwritten(self) -> bool:
        """Return whether the store lacks this node's record, or may have lost it."""
        if self.stored_record != self.record:
            return True
        return self.stored_era < self.era and self.clock.now() >= self.rewrite_at

    async def run_writes(self) -> None:
        """Write this node's record after each change until cancelled.

        It is written again when the store has come back from a copy.
        """
        while True:
            await self.record_changed.wait()
            self.record_changed.clear()
            backoff = MIN_BACKOFF_SECONDS
            while self.is_unwritten():
                written = self.record
                try:
                    era = await self.store.put(
                        self.table, written.address, encode_record(written)
                    )
                except LogError as error:
                    self.journal.write("host_not_written", error=str(error))
                    await self.broadcast_record(written)
                    await curio.sleep(backoff * self.rng.uniform(0.5, 1.0))
                    backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
                    continue
                self.stored_record = written
                self.stored_era = era or self.era
                self.observe_era(era)

    async def broadcast_record(self, record: HostRecord) -> None:
        """Tell the other nodes a record that the store does not take."""
        now = self.clock.now()
        if now - self.broadcast_at < REPEAT_BROADCAST_SECONDS:
            return
        self.broadcast_at = now
        await self.peer_monitor.broadcast_record(record)

    async def write_if_due(self) -> None:
        """Start a write if the store lacks the record, or may have lost it."""
        if self.published and self.is_unwritten():
            await self.record_changed.set()

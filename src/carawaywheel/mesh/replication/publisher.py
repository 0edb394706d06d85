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
from ..target import Phase
from .directory import Directory, HostRecord, encode_record
from .follower import MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS
from .store import START, Store

REPEAT_BROADCAST_SECONDS = 2.0
# Time for the store to take a record before the other nodes are told as well.
STORE_PATIENCE_SECONDS = 0.3
# Time for a record to be saved; whoever waits for this is answered within a second.
SAVE_SECONDS = 0.8
SAVE_POLL_SECONDS = 0.02
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
        told_record: Record that another node has accepted last; None for none.
        era: Newest era of the store that this node knows of.
        rewrite_at: Time from which on a record of an older era is written again, in
            seconds.
        on_former_leaving: Called if an earlier start of this node knew that its target
            was leaving; returns whether it counts as leaving from now on.
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
        self.told_record: HostRecord | None = None
        self.era = 0
        self.rewrite_at = float("-inf")
        self.broadcast_at = float("-inf")
        self.record_changed = curio.Event()
        self.on_former_leaving: Callable[[], bool] = lambda: False
        peer_monitor.on_own_record = self.supersede_former

    def supersede_former(self, record: HostRecord) -> None:
        """Supersede a record of an earlier start of this node.

        The time of day, from which incarnations come, may have stepped back. If the
        target was leaving, the new record says so as well, for the next start.
        """
        own = self.record
        if record.incarnation != own.incarnation and record.is_leaving:
            if self.on_former_leaving():
                own = own._replace(
                    phase=int(Phase.GONE), slots=1, sequence=own.sequence + 1
                )
                self.published = True
        if record.revision >= own.revision and record != own:
            self.journal.write("record_superseded", former=record.revision)
            own = own._replace(incarnation=record.incarnation + 1, sequence=0)
        if own != self.record:
            self.record = own
            self.peer_monitor.merge_hosts([(START, own)], START, OWN_ORIGIN)

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
        # A record that no node has accepted is told again with each failed write: the
        # other nodes may have become known since.
        is_accepted = record == self.told_record
        if is_accepted and now - self.broadcast_at < REPEAT_BROADCAST_SECONDS:
            return
        self.broadcast_at = now
        await self.peer_monitor.broadcast_record(record, self.note_told)

    def note_told(self, record: HostRecord) -> None:
        """Note that another node has accepted a record."""
        self.told_record = record

    def is_saved(self) -> bool:
        """Return whether the newest record is known outside of this process."""
        return self.record in (self.stored_record, self.told_record)

    async def wait_until_saved(self) -> bool:
        """Wait until the store or another node has the newest record.

        Returns:
            Whether it was saved in time.
        """
        started_at = self.clock.now()
        told = False
        while not self.is_saved():
            elapsed = self.clock.now() - started_at
            if elapsed >= SAVE_SECONDS:
                return False
            if elapsed >= STORE_PATIENCE_SECONDS and not told:
                told = True
                await curio.spawn(self.broadcast_record, self.record, daemon=True)
            await curio.sleep(SAVE_POLL_SECONDS)
        return True

    async def write_if_due(self) -> None:
        """Start a write if the store lacks the record, or may have lost it."""
        if self.published and self.is_unwritten():
            await self.record_changed.set()

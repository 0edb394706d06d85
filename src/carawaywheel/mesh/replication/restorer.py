"""Restoration of host records that the store has lost and their nodes do not rewrite.

A node that runs writes its own record again. That of a node which is gone may be lost,
or be back as it was before the target left; nodes that start then would use the target.
"""

import random

import curio

from ...clock import Clock
from ...errors import LogError
from ..journal import Journal
from .directory import Directory, HostRecord, encode_record
from .follower import TableFollower
from .publisher import REWRITES_PER_SECOND
from .store import Position, Store

# Time that nodes have to write their own records again, beside their spread: some
# ticks, and a write that is repeated once.
PATIENCE_SECONDS = 2.0
# Pause between attempts, so that the readers rarely try at the same time.
INTERVAL_SECONDS = 0.5


class RecordRestorer:
    """Writes lost records of other hosts to the store again, as a reader.

    Attributes:
        follower: Follower of the host records of this node.
        era: Era of the store in which records were read last; 0 before the first read.
        lost: Addresses of the hosts whose newest known record the store lacks.
        due_at: Time from which on they are written again, in seconds.
    """

    def __init__(
        self,
        store: Store,
        follower: TableFollower,
        directory: Directory,
        own_address: str,
        journal: Journal,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.follower = follower
        self.directory = directory
        self.own_address = own_address
        self.journal = journal
        self.clock = clock
        self.rng = rng
        self.era = 0
        self.lost: set[str] = set()
        self.due_at = 0.0

    def observe(
        self,
        changes: list[tuple[Position, HostRecord]],
        position: Position,
        is_whole: bool,
    ) -> None:
        """Compare records that were read from the store with the known ones.

        Args:
            changes: The records.
            position: Position after them.
            is_whole: Whether these are the newest ones of all hosts.
        """
        hosts = self.directory.hosts
        if position.era > self.era:
            self.lost.clear()
            if self.era and is_whole:
                self.lost |= hosts.keys() - {self.own_address}
                spread = len(hosts) / REWRITES_PER_SECOND
                self.due_at = self.clock.now() + PATIENCE_SECONDS + spread
            self.era = position.era
        for _, record in changes:
            known = hosts.get(record.address)
            if known is None or record.revision >= known.revision:
                self.lost.discard(record.address)

    async def run(self) -> None:
        """Write lost records when they are due, until cancelled."""
        while True:
            await curio.sleep(INTERVAL_SECONDS * self.rng.uniform(0.5, 1.5))
            if self.lost and self.clock.now() >= self.due_at:
                await self.restore()

    async def restore(self) -> None:
        """Write the lost records, unless the store has changes not yet read here."""
        follower = self.follower
        if not follower.active or follower.position.era != self.era:
            return
        offset = follower.position.offset
        for address in sorted(self.lost):
            value = encode_record(self.directory.hosts[address])
            try:
                written = await self.store.put_at(
                    follower.table, address, value, offset
                )
            except LogError as error:
                self.journal.write("host_not_restored", host=address, error=str(error))
                return
            if not written:
                return
            self.journal.write("host_restored", host=address, offset=offset)
            self.lost.discard(address)
            offset += 1

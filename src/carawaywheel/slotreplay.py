"""Replay of the shares stream from any offset, with the help of snapshots.

The log drops old records. A reader that starts in the middle, or that missed
records, cannot tell a valid claim from a rejected one. It buffers the records that it
reads until a snapshot shows the state at an offset from which it has every record.
"""

from typing import NamedTuple

from .shares import CLOCK_DRIFT_MARGIN
from .slotrecords import SlotClaim, SlotRecord, SlotState, TakeoverNotice
from .slots import SlotTable

SNAPSHOT_RETENTION_SHARE = 1 / 3
RANK_DELAY_SECONDS = 5.0
MAX_BUFFERED_RECORDS = 100_000


class SlotSnapshotEntry(NamedTuple):
    """State of one slot in a snapshot; the fields are those of `SlotState`."""

    claim: SlotClaim
    released: bool
    forgotten: bool
    notice: TakeoverNotice | None
    notice_count: int


class SlotsSnapshot(NamedTuple):
    """Record: the state of all slots, appended before the log drops their records.

    Attributes:
        entries: State of the slots that have been claimed.
        as_of: Offset of the first record that the snapshot does not include.
    """

    entries: list[SlotSnapshotEntry]
    as_of: int


class BufferedRecord(NamedTuple):
    """A record that cannot be applied yet, and the time in seconds of its read."""

    offset: int
    record: SlotRecord
    read_at: float


class SlotReplay:
    """Replays the shares stream into a slot table.

    Attributes:
        table: The slot table.
        start: Offset from which no record was missed.
        position: Offset of the next record to read.
        is_complete: Whether the table holds the state at ``position``. If not, the
            table is empty.
        buffered: Records to apply after the next usable snapshot.
        snapshot_offset: Highest ``as_of`` of a snapshot that was read.
        snapshot_at: Time in seconds at which that snapshot was read, or None.
        incomplete_since: Time in seconds at which the wait for a snapshot began, or
            None.
    """

    def __init__(self, table: SlotTable) -> None:
        self.table = table
        self.start = 0
        self.position = 0
        self.is_complete = True
        self.buffered: list[BufferedRecord] = []
        self.snapshot_offset = 0
        self.snapshot_at: float | None = None
        self.incomplete_since: float | None = None

    def start_at(self, offset: int) -> None:
        """Continue at ``offset``, the oldest that the stream still has.

        If records were missed, slots may have changed their holder. The table is
        emptied then, which also stops this node from lending.
        """
        if offset <= self.position:
            return
        self.start = offset
        self.position = offset
        self.is_complete = False
        self.incomplete_since = None
        self.buffered.clear()
        self.table.states.clear()
        self.table.frozen_lease_starts.clear()

    def apply(
        self, offset: int, record: SlotRecord | SlotsSnapshot, now: float
    ) -> None:
        """Apply one record; records must be applied in the order of their offsets.

        Args:
            offset: Offset of the record; one that was read before is ignored.
            record: The record.
            now: Time in seconds at which it was read.
        """
        if offset < self.position:
            return
        self.position = offset + 1
        if isinstance(record, SlotsSnapshot):
            self.apply_snapshot(record, now)
        elif self.is_complete:
            self.table.apply(record, now)
        elif len(self.buffered) < MAX_BUFFERED_RECORDS:
            self.buffered.append(BufferedRecord(offset, record, now))
        else:
            self.start_at(offset + 1)

    def skip(self, offset: int) -> None:
        """Skip a record that could not be decoded."""
        self.position = max(self.position, offset + 1)

    def apply_snapshot(self, record: SlotsSnapshot, now: float) -> None:
        """Apply a snapshot; it is the base of the table if it leaves no gap."""
        if record.as_of >= self.snapshot_offset:
            self.snapshot_offset = record.as_of
            self.snapshot_at = now
        if self.is_complete or record.as_of < self.start:
            return
        self.is_complete = True
        for entry in record.entries:
            self.table.restore(state_from_entry(entry, now))
        for item in self.buffered:
            if item.offset >= record.as_of:
                self.table.apply(item.record, item.read_at)
        self.buffered.clear()

    def due_snapshot(
        self, now: float, retention: float, oldest: int, rank: int
    ) -> SlotsSnapshot | None:
        """Return the snapshot that this node should append now, or None.

        Args:
            now: Time in seconds.
            retention: Retention time of the log in seconds.
            oldest: Oldest offset that the log still has.
            rank: Rank, from 0, among the nodes that append snapshots; higher ranks
                wait longer.
        """
        if not self.is_complete:
            return self.initial_snapshot(now)
        if self.snapshot_at is None:
            self.snapshot_at = now
        age = now - self.snapshot_at - rank * RANK_DELAY_SECONDS
        is_dropped = self.snapshot_offset < oldest and age >= 0
        if age < retention * SNAPSHOT_RETENTION_SHARE and not is_dropped:
            return None
        self.snapshot_at = now
        return SlotsSnapshot(snapshot_entries(self.table), self.position)

    def initial_snapshot(self, now: float) -> SlotsSnapshot | None:
        """Return an empty snapshot once no earlier holder can still be lending.

        A holder that reads the log would have appended a snapshot. A holder that does
        not stops when its lease expires.
        """
        if self.incomplete_since is None:
            self.incomplete_since = now
        if (
            now
            < self.incomplete_since
            + self.table.settings.lease_time * CLOCK_DRIFT_MARGIN
        ):
            return None
        return SlotsSnapshot([], self.position)


def state_from_entry(entry: SlotSnapshotEntry, now: float) -> SlotState:
    """Return the state in a snapshot entry as if it had been read at ``now``."""
    return SlotState(*entry, claim_read_at=now, notice_read_at=now)


def snapshot_entries(table: SlotTable) -> list[SlotSnapshotEntry]:
    """Return the entries of a snapshot of all slots."""
    return [SlotSnapshotEntry(*state[:5]) for _, state in sorted(table.states.items())]

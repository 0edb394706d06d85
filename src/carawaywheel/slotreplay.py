"""Fold of the shares stream from any point, and its restatement.

The stream forgets old records. A reader that starts in the middle, or that missed
records, cannot tell a valid claim from one that lost, so it holds back what it reads
until a restatement shows the state at an offset from which on it has every record.
"""

from typing import NamedTuple

from .shares import CLOCK_DRIFT_MARGIN
from .slotrecords import SlotClaim, SlotRecord, SlotState, TakeoverNotice
from .slots import SlotTable

SNAPSHOT_RETENTION_SHARE = 1 / 3
RANK_DELAY_SECONDS = 5.0
MAX_BUFFERED_RECORDS = 100_000


class SlotSnapshotEntry(NamedTuple):
    """State of one slot in a restatement; the fields are those of `SlotState`."""

    claim: SlotClaim
    released: bool
    forgotten: bool
    notice: TakeoverNotice | None
    notices: int


class SlotsSnapshot(NamedTuple):
    """Record: the state of all slots, before the log forgets their records.

    Attributes:
        entries: State of the slots that have been claimed.
        as_of: Offset up to which the author had read the stream.
    """

    entries: list[SlotSnapshotEntry]
    as_of: int


class BufferedRecord(NamedTuple):
    """A record that cannot be folded yet, and the time at which it was read."""

    offset: int
    record: SlotRecord
    read_at: float


class SlotReplay:
    """Decides from which record on a slot table may be trusted.

    Attributes:
        table: The fold.
        start: Offset from which on no record was missed.
        position: Offset of the next record to read.
        exact: Whether the table holds the state at ``position``.
        as_of: Offset of the newest restatement that was seen, and when.
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
        """Note the oldest offset that the stream still has.

        A gap means that the slots may have changed hands unseen, so the table is
        emptied, which also ends the lending of this node.
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
        """Take one record, in the order of offsets.

        Args:
            offset: Offset of the record.
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
        """Pass over a record that could not be decoded."""
        self.position = max(self.position, offset + 1)

    def apply_snapshot(self, record: SlotsSnapshot, now: float) -> None:
        """Take a restatement; the first one that leaves no gap is the base."""
        if record.as_of >= self.snapshot_offset:
            self.snapshot_offset = record.as_of
            self.snapshot_at = now
        if self.is_complete or record.as_of < self.start:
            return
        self.is_complete = True
        for entry in record.entries:
            self.table.restore(state_from_entry(entry, now))
        for held in self.buffered:
            if held.offset >= record.as_of:
                self.table.apply(held.record, held.read_at)
        self.buffered.clear()

    def due_snapshot(
        self, now: float, retention: float, oldest: int, rank: int
    ) -> SlotsSnapshot | None:
        """Return the restatement that this node should append now, if any.

        Args:
            now: Time in seconds.
            retention: Seconds that the log keeps a record.
            oldest: Oldest offset that the log still has.
            rank: Rank of this node among those that restate, from 0; later ones wait.
        """
        if not self.is_complete:
            return self.initial_snapshot(now)
        if self.snapshot_at is None:
            self.snapshot_at = now
        age = now - self.snapshot_at - rank * RANK_DELAY_SECONDS
        lost = self.snapshot_offset < oldest and age >= 0
        if age < retention * SNAPSHOT_RETENTION_SHARE and not lost:
            return None
        self.snapshot_at = now
        return SlotsSnapshot(snapshot_entries(self.table), self.position)

    def initial_snapshot(self, now: float) -> SlotsSnapshot | None:
        """Return an empty restatement once no former holder can lend any more.

        A holder that reads the log would have restated the slots. One that does not
        read it stops when its lease lapses.
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
    """Return a restated slot as if its records had been read at ``now``."""
    return SlotState(*entry, read_at=now, notice_at=now)


def snapshot_entries(table: SlotTable) -> list[SlotSnapshotEntry]:
    """Return the state of all slots for a restatement."""
    return [SlotSnapshotEntry(*state[:5]) for _, state in sorted(table.states.items())]

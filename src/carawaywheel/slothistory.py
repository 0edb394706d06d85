"""Fold of the shares stream from any point, and its restatement.

The stream forgets old records. A reader that starts in the middle, or that missed
records, cannot tell a valid claim from one that lost, so it holds back what it reads
until a restatement shows the state at an offset from which on it has every record.
"""

from typing import NamedTuple

from .evidence import SlotClaim, SlotNotice, SlotRecord, SlotState
from .shares import MARGIN
from .slots import SlotTable

RESTATE_SHARE = 1 / 3
RANK_DELAY_SECONDS = 5.0
MAX_HELD_BACK = 100_000


class SlotEntry(NamedTuple):
    """State of one slot in a restatement; the fields are those of `SlotState`."""

    claim: SlotClaim
    released: bool
    forgotten: bool
    notice: SlotNotice | None
    notices: int


class SlotsRestated(NamedTuple):
    """Record: the state of all slots, before the log forgets their records.

    Attributes:
        entries: State of the slots that have been claimed.
        as_of: Offset up to which the author had read the stream.
    """

    entries: list[SlotEntry]
    as_of: int


class HeldBack(NamedTuple):
    """A record that cannot be folded yet, and the time at which it was read."""

    offset: int
    record: SlotRecord
    read_at: float


class SlotHistory:
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
        self.exact = True
        self.held_back: list[HeldBack] = []
        self.as_of = 0
        self.restated_at: float | None = None
        self.blank_since: float | None = None

    def begin(self, offset: int) -> None:
        """Note the oldest offset that the stream still has.

        A gap means that the slots may have changed hands unseen, so the table is
        emptied, which also ends the lending of this node.
        """
        if offset <= self.position:
            return
        self.start = offset
        self.position = offset
        self.exact = False
        self.blank_since = None
        self.held_back.clear()
        self.table.states.clear()
        self.table.lease_from.clear()

    def take(self, offset: int, record: SlotRecord | SlotsRestated, now: float) -> None:
        """Take one record, in the order of offsets.

        Args:
            offset: Offset of the record.
            record: The record.
            now: Time in seconds at which it was read.
        """
        if offset < self.position:
            return
        self.position = offset + 1
        if isinstance(record, SlotsRestated):
            self.take_restated(record, now)
        elif self.exact:
            self.table.apply(record, now)
        elif len(self.held_back) < MAX_HELD_BACK:
            self.held_back.append(HeldBack(offset, record, now))
        else:
            self.begin(offset + 1)

    def skip(self, offset: int) -> None:
        """Pass over a record that could not be decoded."""
        self.position = max(self.position, offset + 1)

    def take_restated(self, record: SlotsRestated, now: float) -> None:
        """Take a restatement; the first one that leaves no gap is the base."""
        if record.as_of >= self.as_of:
            self.as_of = record.as_of
            self.restated_at = now
        if self.exact or record.as_of < self.start:
            return
        self.exact = True
        for entry in record.entries:
            self.table.restore(restored(entry, now))
        for held in self.held_back:
            if held.offset >= record.as_of:
                self.table.apply(held.record, held.read_at)
        self.held_back.clear()

    def due(
        self, now: float, retention: float, oldest: int, rank: int
    ) -> SlotsRestated | None:
        """Return the restatement that this node should append now, if any.

        Args:
            now: Time in seconds.
            retention: Seconds that the log keeps a record.
            oldest: Oldest offset that the log still has.
            rank: Rank of this node among those that restate, from 0; later ones wait.
        """
        if not self.exact:
            return self.first_base(now)
        if self.restated_at is None:
            self.restated_at = now
        age = now - self.restated_at - rank * RANK_DELAY_SECONDS
        lost = self.as_of < oldest and age >= 0
        if age < retention * RESTATE_SHARE and not lost:
            return None
        self.restated_at = now
        return SlotsRestated(entries_of(self.table), self.position)

    def first_base(self, now: float) -> SlotsRestated | None:
        """Return an empty restatement once no former holder can lend any more.

        A holder that reads the log would have restated the slots. One that does not
        read it stops when its lease lapses.
        """
        if self.blank_since is None:
            self.blank_since = now
        if now < self.blank_since + self.table.settings.lease_time * MARGIN:
            return None
        return SlotsRestated([], self.position)


def restored(entry: SlotEntry, now: float) -> SlotState:
    """Return a restated slot as if its records had been read at ``now``."""
    return SlotState(*entry, read_at=now, notice_at=now)


def entries_of(table: SlotTable) -> list[SlotEntry]:
    """Return the state of all slots for a restatement."""
    return [SlotEntry(*state[:5]) for _, state in sorted(table.states.items())]

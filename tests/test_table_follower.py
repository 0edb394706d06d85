"""Reading of one table of the store by a reader."""

import random
from types import SimpleNamespace

import curio
import pytest

from carawaywheel.clock import ManualClock
from carawaywheel.errors import LogError
from carawaywheel.mesh.replication.follower import OVERDUE_SECONDS, TableFollower
from carawaywheel.mesh.replication.store import (
    KeyValue,
    Position,
    Store,
    TablePage,
)

WAIT = 1.0


class SlowStore(Store):
    """Store that takes some time, in which it notes whether the reader is in touch."""

    def __init__(self, clock):
        self.clock = clock
        self.seconds = 0.0
        self.in_touch = None
        self.follower = None
        self.error = None

    async def respond(self):
        self.clock.advance(self.seconds)
        self.in_touch = self.follower.is_in_touch(self.clock.now())
        if self.error:
            raise self.error
        return TablePage([KeyValue("k", b"v", 3)], 4)

    async def read_all(self, table):
        return await self.respond()

    async def poll_changes(self, table, offset, wait):
        return await self.respond()

    async def put(self, table, key, value):
        raise LogError("not written here", "put", "store")

    async def put_at(self, table, key, value, offset):
        raise LogError("not written here", "put", "store")


def make_follower():
    clock = ManualClock(10.0)
    store = SlowStore(clock)
    applied = []

    async def apply(page, position):
        applied.extend(page.items)

    journal = SimpleNamespace(write=lambda *arguments, **fields: None)
    follower = TableFollower(
        "t", store, apply, WAIT, 0.1, journal, clock, random.Random(1)
    )
    store.follower = follower
    curio.run(follower.set_active, True)
    return follower, store, clock, applied


def test_reader_stays_in_touch_between_requests():
    """Otherwise all followers leave it after each read of the whole table."""
    follower, _, clock, applied = make_follower()
    curio.run(follower.poll)
    assert applied and follower.position == Position(0, 4)
    clock.advance(WAIT + 2 * OVERDUE_SECONDS)
    assert follower.is_in_touch(clock.now())


@pytest.mark.parametrize(
    ("seconds", "in_touch"),
    [(WAIT, True), (WAIT + OVERDUE_SECONDS + 0.1, False)],
)
def test_reader_is_out_of_touch_while_a_response_is_overdue(seconds, in_touch):
    follower, store, clock, _ = make_follower()
    store.seconds = seconds
    curio.run(follower.poll)
    assert store.in_touch is in_touch
    assert follower.is_in_touch(clock.now())


def test_request_that_fails_is_no_longer_in_flight():
    follower, store, _, _ = make_follower()
    store.error = LogError("refused", "read", "store")
    with pytest.raises(LogError):
        curio.run(follower.poll)
    assert follower.asked_at is None


def test_known_changes_are_not_read_again():
    follower, _, _, _ = make_follower()
    follower.skip_to(Position(1, 9))
    follower.skip_to(Position(1, 5))
    assert follower.position == Position(1, 9)


class RestoredStore(Store):
    """Store that can come back from a copy.

    It holds back a response on demand until it has come back.
    """

    def __init__(self):
        self.records = []
        self.era = 1
        self.polls = []
        self.during_poll = None

    def page(self, first):
        items = [KeyValue(str(n), b"v", n) for n in range(first, len(self.records))]
        return TablePage(items, len(self.records), self.era)

    def restore(self, kept, *written):
        self.era += 1
        self.records[kept:] = written

    async def read_all(self, table):
        self.polls.append("all")
        return self.page(0)

    async def poll_changes(self, table, offset, wait):
        self.polls.append((offset, wait))
        if offset > len(self.records):
            return None
        page = self.page(offset)
        if self.during_poll:
            self.during_poll()
        return page

    async def put(self, table, key, value):
        raise LogError("not written here", "put", "store")

    async def put_at(self, table, key, value, offset):
        raise LogError("not written here", "put", "store")


def make_restored_follower(*records):
    follower, _, _, applied = make_follower()
    follower.store = store = RestoredStore()
    store.records += records
    curio.run(follower.poll)
    applied.clear()
    store.polls.clear()
    return follower, store, applied


@pytest.mark.parametrize("written", [("d",), ("d", "e", "f"), ("d", "e", "f", "g")])
def test_records_at_offsets_given_out_again_are_read(written):
    """The end of the table is below, at or above the offset that was read last."""
    follower, store, applied = make_restored_follower("a", "b", "c", "x")
    store.restore(1, *written)
    curio.run(follower.poll)
    curio.run(follower.poll)
    assert {item.offset for item in applied} >= set(range(1, 1 + len(written)))
    assert follower.position == Position(2, 1 + len(written))
    store.polls.clear()
    store.records.append("y")
    curio.run(follower.poll)
    assert store.polls == [(1 + len(written), WAIT)]


def test_two_restores_in_a_row_are_both_noticed():
    follower, store, applied = make_restored_follower("a", "b", "c")
    store.restore(2, "d")
    store.restore(1, "e", "f")
    curio.run(follower.poll)
    curio.run(follower.poll)
    assert follower.position == Position(3, 3)
    store.restore(1, "g", "h")
    curio.run(follower.poll)
    applied.clear()
    curio.run(follower.poll)
    assert [item.offset for item in applied] == [0, 1, 2]
    assert follower.position == Position(4, 3)


def test_response_of_a_former_era_does_not_move_the_position():
    """Another reader has told the position in the new era in the meantime."""
    follower, store, applied = make_restored_follower("a", "b", "c", "d")
    store.records.append("e")
    store.during_poll = lambda: follower.skip_to(Position(2, 2))
    curio.run(follower.poll)
    assert [item.offset for item in applied] == [4]
    assert follower.position == Position(2, 2)


def test_response_of_a_new_era_to_an_old_offset_skips_nothing():
    follower, store, applied = make_restored_follower("a", "b", "c", "d")
    store.restore(1, "e", "f", "g", "h")
    store.during_poll = lambda: follower.skip_to(Position(2, 2))
    curio.run(follower.poll)
    assert follower.position == Position(2, 2)
    store.during_poll = None
    curio.run(follower.poll)
    assert [item.offset for item in applied] == [2, 3, 4]


def test_store_that_was_away_is_asked_without_a_wait():
    """A long poll would show only at its end that the reader is in touch again."""
    follower, store, _ = make_restored_follower("a")
    error = LogError("refused", "read", "store")
    curio.run(follower.record_availability, error)
    curio.run(follower.poll)
    curio.run(follower.record_availability, None)
    curio.run(follower.poll)
    assert store.polls == [(1, 0.0), (1, WAIT)]


def test_first_request_after_a_whole_read_confirms_at_once():
    """Guards against a reader that leaves its followers without word for too long."""
    follower, store, _ = make_restored_follower("a")
    follower.is_prompt = True
    for _ in range(2):
        curio.run(follower.poll)
    assert store.polls == [(1, 0.0), (1, WAIT)]


def test_late_response_with_changes_confirms_only_the_time_of_its_request():
    """Guards against changes made while the response was on its way."""
    follower, store, clock, _ = make_follower()
    follower.is_prompt = True
    curio.run(follower.poll)
    store.seconds = 0.3
    curio.run(follower.poll)
    assert follower.confirmed_at == pytest.approx(clock.now() - 0.3)
    assert follower.next_wait() == 0.0

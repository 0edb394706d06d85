"""Reading of one table of the store by a reader."""

import random
from types import SimpleNamespace

import curio
import pytest

from carawaywheel.clock import ManualClock
from carawaywheel.errors import LogError
from carawaywheel.mesh.replication.follower import OVERDUE_SECONDS, TableFollower
from carawaywheel.mesh.replication.store import KeyValue, Store, TablePage

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


def make_follower():
    clock = ManualClock(10.0)
    store = SlowStore(clock)
    applied = []

    async def apply(items, offset):
        applied.extend(items)

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
    assert applied and follower.offset == 4
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
    follower.skip_to(9)
    follower.skip_to(5)
    assert follower.offset == 9

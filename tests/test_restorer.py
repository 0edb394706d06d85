"""Records that the store has lost and that nobody else writes again."""

import random
from types import SimpleNamespace

import curio
import pytest

from carawaywheel.clock import ManualClock
from carawaywheel.errors import LogError
from carawaywheel.mesh.replication.directory import Directory, HostRecord
from carawaywheel.mesh.replication.restorer import PATIENCE_SECONDS, RecordRestorer
from carawaywheel.mesh.replication.store import Position

OWN, LOST, OLDER, KEPT = (f"10.0.0.{number}:80" for number in range(4))


def make_record(address, sequence=2):
    return HostRecord("h", address, "a", "desk", 1, sequence, 0, 5)


class ConditionalStore:
    """Store that takes writes only at its end."""

    def __init__(self):
        self.end = 3
        self.written = []
        self.error = None

    async def put_at(self, table, key, value, offset):
        if self.error:
            raise self.error
        if offset != self.end:
            return False
        self.end += 1
        self.written.append(key)
        return True


def make_restorer():
    """Return a restorer after a restore that lost one record and aged another."""
    directory = Directory()
    for address in (OWN, LOST, OLDER, KEPT):
        directory.merge(make_record(address))
    store = ConditionalStore()
    clock = ManualClock(10.0)
    follower = SimpleNamespace(active=True, position=Position(2, 3), table="t")
    events = []
    journal = SimpleNamespace(write=lambda event, **fields: events.append(event))
    restorer = RecordRestorer(
        store, follower, directory, OWN, journal, clock, random.Random(1)
    )
    records = [make_record(address) for address in (OWN, LOST, OLDER, KEPT)]
    changes = [(Position(1, 0), each) for each in records]
    restorer.observe(changes, Position(1, 9), is_whole=True)
    assert not restorer.lost
    changes = [(Position(2, 0), make_record(OLDER, 1)), (Position(2, 1), records[3])]
    restorer.observe(changes, Position(2, 3), is_whole=True)
    return restorer, store, events


def test_records_that_are_lost_or_older_are_written_again():
    restorer, store, events = make_restorer()
    assert restorer.due_at > 10.0 + PATIENCE_SECONDS
    curio.run(restorer.restore)
    assert store.written == [LOST, OLDER]
    assert events == ["host_restored", "host_restored"]
    assert not restorer.lost


def test_record_that_its_node_has_written_again_is_left_alone():
    restorer, store, _ = make_restorer()
    changes = [(Position(2, 3), make_record(LOST, 3))]
    restorer.observe(changes, Position(2, 4), is_whole=False)
    assert restorer.lost == {OLDER}


def test_newer_record_in_the_store_is_never_overwritten():
    """It was written after the last response that this reader has seen."""
    restorer, store, _ = make_restorer()
    store.end += 1
    curio.run(restorer.restore)
    assert not store.written
    assert restorer.lost == {LOST, OLDER}


@pytest.mark.parametrize(
    "changes", [{"active": False}, {"position": Position(3, 3)}], ids=["idle", "era"]
)
def test_node_that_does_not_know_the_end_of_the_table_restores_nothing(changes):
    restorer, store, _ = make_restorer()
    vars(restorer.follower).update(changes)
    curio.run(restorer.restore)
    assert not store.written


def test_failed_write_is_logged_and_tried_again():
    restorer, store, events = make_restorer()
    store.error = LogError("refused", "append", "store")
    curio.run(restorer.restore)
    assert events == ["host_not_restored"]
    store.error = None
    curio.run(restorer.restore)
    assert store.written == [LOST, OLDER]


def test_reader_that_has_not_read_the_whole_table_takes_nothing_for_lost():
    """It has learned of the era from another reader and goes on from its position."""
    restorer, store, _ = make_restorer()
    changes = [(Position(3, 9), make_record(KEPT, 3))]
    restorer.observe(changes, Position(3, 10), is_whole=False)
    restorer.follower.position = Position(3, 3)
    assert not restorer.lost
    curio.run(restorer.restore)
    assert not store.written

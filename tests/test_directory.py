"""Newest configuration and host records; nothing steps back."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaywheel.errors import RecordError
from carawaywheel.mesh.replication.directory import (
    Directory,
    HostRecord,
    decode_record,
    encode_record,
)
from carawaywheel.mesh.replication.store import START, Position

ADDRESS = "10.0.0.1:80"


def make_record(address=ADDRESS, incarnation=1, sequence=1, phase=0, slots=5):
    return HostRecord("h", address, "a", "desk", incarnation, sequence, phase, slots)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (ADDRESS, b"\xc1"),
        (ADDRESS, msgspec.msgpack.encode(["h", ADDRESS])),
        (ADDRESS, encode_record(make_record(phase=7))),
        ("10.0.0.2:80", encode_record(make_record())),
        ("nowhere", encode_record(make_record(address="nowhere"))),
    ],
)
def test_record_that_cannot_be_used_names_its_host(key, value):
    with pytest.raises(RecordError) as error:
        decode_record(key, value)
    assert error.value.peer == key


@given(st.permutations([(i, s) for i in range(1, 4) for s in range(1, 4)]))
def test_records_in_any_order_leave_the_newest(revisions):
    directory = Directory()
    newest = (0, 0)
    for incarnation, sequence in revisions:
        record = make_record(incarnation=incarnation, sequence=sequence)
        newest = max(newest, record.revision)
        directory.merge(record)
        assert directory.hosts[ADDRESS].revision == newest


def test_changes_since_an_offset_leave_out_what_is_known():
    directory = Directory()
    for number in range(3):
        address = f"10.0.0.{number}:80"
        directory.merge(make_record(address))
        if number:
            directory.record_position(address, Position(1, 10 * number))
    changes = directory.changes_since(START)
    assert [position.offset for position, _ in changes] == [0, 10, 20]
    changes = directory.changes_since(Position(1, 11))
    assert [position.offset for position, _ in changes] == [20]
    assert directory.changes_since(Position(1, 21)) == []


def test_record_at_a_lower_offset_of_a_later_era_is_a_change():
    directory = Directory()
    directory.merge(make_record())
    directory.record_position(ADDRESS, Position(1, 20))
    known = Position(1, 21)
    assert directory.changes_since(known) == []
    directory.record_position(ADDRESS, Position(2, 3))
    directory.record_position(ADDRESS, Position(1, 30))
    changes = directory.changes_since(known)
    assert [position for position, _ in changes] == [Position(2, 3)]


@pytest.mark.parametrize(
    ("phase", "slots", "leaving"), [(0, 5, False), (1, 5, True), (2, 5, True)]
)
def test_record_tells_that_the_target_is_leaving(phase, slots, leaving):
    assert make_record(phase=phase, slots=slots).is_leaving is leaving
    assert not make_record(phase=phase, slots=0).is_leaving

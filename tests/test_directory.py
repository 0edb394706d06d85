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
            directory.record_offset(address, 10 * number)
    assert [offset for offset, _ in directory.changes_since(0)] == [0, 10, 20]
    assert [offset for offset, _ in directory.changes_since(11)] == [20]
    assert directory.changes_since(21) == []


@pytest.mark.parametrize(
    ("phase", "slots", "leaving"), [(0, 5, False), (1, 5, True), (2, 5, True)]
)
def test_record_tells_that_the_target_is_leaving(phase, slots, leaving):
    assert make_record(phase=phase, slots=slots).is_leaving is leaving
    assert not make_record(phase=phase, slots=0).is_leaving

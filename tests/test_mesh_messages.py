"""Messages between nodes that know eras of the store and nodes that do not."""

import msgspec
import pytest

from carawaywheel.mesh.evacuation import Evacuation
from carawaywheel.mesh.replication.directory import HostRecord
from carawaywheel.mesh.replication.messages import (
    MeshState,
    Query,
    Status,
    decode_message,
    encode,
    state_decoder,
)
from carawaywheel.mesh.replication.store import START, Position

RECORD = HostRecord("h", "10.0.0.1:80", "a", "desk", 1, 1, 0, 5)
ERA = 4
EVACUATIONS = [Evacuation("a", ERA, 6, True)]


class FormerStatus(msgspec.Struct, array_like=True, tag=2):
    """Status of a node that knows no eras."""

    sender: str
    in_touch: bool
    version: int
    hosts_offset: int
    since: int
    hosts: list[tuple[int, HostRecord]]


class FormerQuery(msgspec.Struct, array_like=True, tag=1):
    """Query of a node that knows no eras."""

    sender: str
    version: int
    hosts_offset: int


def test_former_nodes_read_messages_with_eras_and_evacuations():
    status = Status("s", True, 3, 9, 7, [(8, RECORD)], ERA, ERA, [ERA], EVACUATIONS)
    assert decode_message(encode(status)).evacuations == EVACUATIONS
    former = msgspec.msgpack.decode(encode(status), type=FormerStatus)
    assert (former.hosts_offset, former.since, former.hosts) == (9, 7, [(8, RECORD)])
    former_query = msgspec.msgpack.decode(
        encode(Query("s", 3, 9, ERA, EVACUATIONS)), type=FormerQuery
    )
    assert former_query.hosts_offset == 9


def test_messages_of_former_nodes_count_as_in_the_own_era():
    status = decode_message(encode(FormerStatus("s", True, 3, 9, 7, [(8, RECORD)])))
    assert status.position(ERA) == Position(ERA, 9)
    assert status.start(ERA) == Position(ERA, 7)
    assert status.changes(ERA) == [(Position(ERA, 8), RECORD)]
    query = decode_message(encode(FormerQuery("s", 3, 9)))
    assert query.position(ERA) == Position(ERA, 9)
    assert status.evacuations == query.evacuations == []
    state = MeshState(b"", [RECORD, RECORD], True, [8, 0], 9)
    state = state_decoder.decode(encode(state))
    assert state.position(ERA) == Position(ERA, 9)
    assert [position for position, _ in state.changes(ERA)] == [Position(ERA, 8), START]


@pytest.mark.parametrize(
    "position", [START, Position(2, 0), Position(2, 8)], ids=["none", "first", "later"]
)
def test_position_of_a_record_is_kept(position):
    """Offset 0 is a position too."""
    state = MeshState(b"", [RECORD], True, [position.offset], 9, ERA, [position.era])
    state = state_decoder.decode(encode(state))
    assert state.changes(ERA) == [(position, RECORD)]

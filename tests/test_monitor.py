"""What a node tells others of the hosts that it knows."""

from types import SimpleNamespace

from carawaywheel.clock import ManualClock
from carawaywheel.mesh.monitor import OWN_ORIGIN, PeerMonitor
from carawaywheel.mesh.replication.directory import Directory, HostRecord
from carawaywheel.mesh.replication.messages import state_decoder
from carawaywheel.mesh.replication.store import START, Position

OWN = "10.0.0.1:80"


def make_record(sequence, phase=0):
    return HostRecord("h", OWN, "a", "desk", 1, sequence, phase, 5)


def test_reader_tells_the_change_of_its_own_host():
    """Otherwise a follower takes the reader's position without having the change."""
    ignore = SimpleNamespace(
        write=lambda *arguments, **fields: None, set_candidates=lambda *arguments: None
    )
    monitor = PeerMonitor(OWN, Directory(), ignore, ignore, ManualClock(1.0))
    draining = make_record(2, phase=1)
    monitor.merge_hosts([(START, draining)], START, OWN_ORIGIN)
    monitor.merge_hosts([(Position(1, 7), draining)], Position(1, 8), "store")
    state = state_decoder.decode(monitor.encode_state(0, Position(1, 7)))
    assert state.hosts == [draining]
    assert state.offsets == [7]

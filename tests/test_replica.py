import pytest

from carawaywheel.clock import ManualClock
from carawaywheel.configuration import Configuration
from carawaywheel.events import EventBuffer
from carawaywheel.recorder import Recorder
from carawaywheel.records import KeyIssued
from carawaywheel.replica import MAX_SILENCE_SECONDS, ConfigurationReplica
from carawaywheel.summarizer import Summarizer

KEY_ID = "0123456789abcdef"


def make_replica(clock):
    buffer = EventBuffer("n1", 1 << 16)
    recorder = Recorder(buffer, Summarizer("n1", 1, 0.0), clock, "")
    return ConfigurationReplica(Configuration(""), b"secret", recorder, clock, 0.0)


@pytest.mark.proves("I5", "request: authenticate", "frozen and resumed")
def test_suspension_ends_only_by_the_response_to_a_later_request():
    """Guards against data that waited in a socket and is older than a withdrawal."""
    clock = ManualClock(100.0)
    replica = make_replica(clock)
    replica.mark_up_to_date(100.0)
    assert replica.is_fresh(clock.now())
    clock.advance(10.0)
    assert not replica.is_fresh(clock.now())
    replica.record_contact(clock.now())
    replica.mark_up_to_date(109.9)
    assert not replica.is_fresh(clock.now())
    replica.mark_up_to_date(clock.now())
    assert replica.is_fresh(clock.now())


def test_suspension_noticed_by_a_request_is_reported_to_the_lender():
    """Guards against a lender that continues because a request noticed it first."""
    clock = ManualClock(100.0)
    replica = make_replica(clock)
    suspensions = []
    replica.on_freeze = suspensions.append
    clock.advance(10.0)
    replica.is_fresh(clock.now())
    replica.tick(clock.now())
    assert suspensions == [110.0]


def test_isolated_node_is_not_fresh():
    """Guards against serving a key that was withdrawn while the node was isolated."""
    clock = ManualClock(100.0)
    replica = make_replica(clock)
    replica.has_peers = True
    replica.record_contact(100.0)
    for _ in range(6):
        assert replica.is_fresh(clock.now())
        clock.advance(MAX_SILENCE_SECONDS / 6 + 0.1)
    assert not replica.is_fresh(clock.now())


def test_withdrawals_of_another_node_are_merged():
    """Guards against a resumed node that ignores the withdrawals of its peer."""
    clock = ManualClock(100.0)
    source, destination = make_replica(clock), make_replica(clock)
    issued = KeyIssued("c", "okonkwo", KEY_ID, 0, "d" * 64, "bibb", "o", "r", 1.0)
    for replica in (source, destination):
        replica.configuration.apply(0, issued)
    assert not destination.view().keys[KEY_ID].withdrawn
    for entry in source.configuration.entries.values():
        source.configuration.store(entry._replace(withdrawn=True))
    destination.merge_withdrawn(source.withdrawn_entries(), clock.now())
    assert destination.view().keys[KEY_ID].withdrawn

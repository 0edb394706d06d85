import pytest

from carawaywheel.clock import ManualClock
from carawaywheel.configuration import Configuration
from carawaywheel.events import EventBuffer
from carawaywheel.recorder import Recorder
from carawaywheel.records import KeyIssued
from carawaywheel.replica import MAX_SILENCE_SECONDS, ConfigurationReplica
from carawaywheel.summarizer import Summarizer

KEY_ID = "0123456789abcdef"


def make_state(clock):
    buffer = EventBuffer("n1", 1 << 16)
    recorder = Recorder(buffer, Summarizer("n1", 1, 0.0), clock, "")
    return ConfigurationReplica(Configuration(""), b"secret", recorder, clock, 0.0)


@pytest.mark.proves("I5", "request: authenticate", "frozen and resumed")
def test_a_freeze_ends_only_by_an_answer_to_a_later_question():
    """Guards against news that waited in a socket and is older than a withdrawal."""
    clock = ManualClock(100.0)
    state = make_state(clock)
    state.mark_up_to_date(100.0)
    assert state.is_fresh(clock.now())
    clock.advance(10.0)
    assert not state.is_fresh(clock.now())
    state.record_contact(clock.now())
    state.mark_up_to_date(109.9)
    assert not state.is_fresh(clock.now())
    state.mark_up_to_date(clock.now())
    assert state.is_fresh(clock.now())


def test_a_freeze_is_told_to_the_lender_whoever_notices_it():
    """Guards against a lender that goes on because a request noticed the freeze."""
    clock = ManualClock(100.0)
    state = make_state(clock)
    noticed = []
    state.on_freeze = noticed.append
    clock.advance(10.0)
    state.is_fresh(clock.now())
    state.tick(clock.now())
    assert noticed == [110.0]


def test_a_node_cut_off_from_all_others_serves_no_key():
    """Guards against a key that is withdrawn behind the back of a lonely node."""
    clock = ManualClock(100.0)
    state = make_state(clock)
    state.has_peers = True
    state.record_contact(100.0)
    for _ in range(6):
        assert state.is_fresh(clock.now())
        clock.advance(MAX_SILENCE_SECONDS / 6 + 0.1)
    assert not state.is_fresh(clock.now())


def test_withdrawals_of_another_node_are_taken_over():
    """Guards against a resumed node that is told of a withdrawal in vain."""
    clock = ManualClock(100.0)
    teller, learner = make_state(clock), make_state(clock)
    issued = KeyIssued("c", "okonkwo", KEY_ID, 0, "d" * 64, "bibb", "o", "r", 1.0)
    for state in (teller, learner):
        state.configuration.apply(0, issued)
    assert not learner.view().keys[KEY_ID].withdrawn
    for entry in teller.configuration.entries.values():
        teller.configuration.store(entry._replace(withdrawn=True))
    learner.merge_withdrawn(teller.withdrawn_entries(), clock.now())
    assert learner.view().keys[KEY_ID].withdrawn

"""Late, foreign and duplicate heartbeats never make a target ready again."""

from carawaywheel.mesh.target import Heartbeat, LocalTarget, Phase

SERVICE, ADDRESS = "desk", "10.0.0.1:80"


def make_heartbeat(target_id="i-1", phase=Phase.READY, incarnation=100, sequence=1):
    return Heartbeat(target_id, SERVICE, ADDRESS, 10, phase, incarnation, sequence)


def make_target():
    return LocalTarget(SERVICE, ADDRESS)


def test_heartbeat_of_a_former_incarnation_is_ignored():
    target = make_target()
    assert target.receive(make_heartbeat("i-2", incarnation=200))
    assert not target.receive(make_heartbeat("i-1", incarnation=100, sequence=9))
    assert target.heartbeat.target_id == "i-2"


def test_draining_target_stays_draining_despite_a_later_ready_heartbeat():
    target = make_target()
    target.receive(make_heartbeat(sequence=1, phase=Phase.DRAINING))
    assert target.receive(make_heartbeat(sequence=2, phase=Phase.READY))
    assert not target.ready


def test_duplicate_sequence_number_is_ignored():
    target = make_target()
    target.receive(make_heartbeat(sequence=2))
    assert not target.receive(make_heartbeat(sequence=2, phase=Phase.DRAINING))
    assert target.ready


def test_deregistered_target_is_not_ready_before_its_next_incarnation():
    target = make_target()
    target.receive(make_heartbeat())
    target.deregister("i-1", 100)
    assert not target.receive(make_heartbeat(sequence=7))
    assert not target.ready
    assert target.receive(make_heartbeat(incarnation=300))
    assert target.ready


def test_deregistration_of_another_target_is_ignored():
    target = make_target()
    target.receive(make_heartbeat())
    target.deregister("i-9", 100)
    assert target.ready


def test_new_incarnation_with_the_same_id_starts_ready():
    target = make_target()
    target.receive(make_heartbeat(sequence=50, phase=Phase.DRAINING))
    assert target.receive(make_heartbeat(incarnation=101, sequence=1))
    assert target.ready


def test_heartbeat_of_another_service_or_address_is_ignored():
    target = make_target()
    assert not target.receive(make_heartbeat()._replace(service="yard"))
    assert not target.receive(make_heartbeat()._replace(address="10.0.0.1:81"))


def test_deregistration_before_any_heartbeat_is_remembered():
    """Guards against a node that forgets what it has confirmed."""
    target = make_target()
    target.deregister("i-1", 100)
    assert target.leaving
    assert not target.receive(make_heartbeat(sequence=7))
    assert not target.ready


def test_same_id_is_used_again_with_its_first_heartbeat():
    target = make_target()
    target.former_unknown = True
    target.deregister("i-1", 100)
    target.distrust()
    target.learn_former()
    assert target.receive(make_heartbeat(incarnation=101, sequence=1))
    assert target.ready and not target.leaving


def test_late_deregistration_of_a_former_incarnation_leaves_the_present_one():
    """Guards against a target that is no longer used though it never left."""
    target = make_target()
    target.receive(make_heartbeat(incarnation=200))
    target.deregister("i-1", 100)
    assert target.ready
    assert target.receive(make_heartbeat(incarnation=200, sequence=2))
    target.deregister("i-1", 200)
    target.deregister("i-1", 100)
    assert not target.receive(make_heartbeat(incarnation=200, sequence=3))


def test_ready_target_is_not_believed_before_the_former_record_is_known():
    """Guards against a late heartbeat that is quicker than the node's own record."""
    target = make_target()
    target.former_unknown = True
    assert not target.receive(make_heartbeat(sequence=3))
    assert not target.receive(make_heartbeat(sequence=2))
    assert target.heartbeat is None
    target.learn_former()
    assert target.ready and target.heartbeat.sequence == 3


def test_target_that_drains_is_believed_before_the_former_record_is_known():
    target = make_target()
    target.former_unknown = True
    assert target.receive(make_heartbeat(phase=Phase.DRAINING))
    target.learn_former()
    assert target.phase is Phase.DRAINING


def test_late_heartbeat_is_not_believed_once_the_former_record_tells_of_a_leaving():
    target = make_target()
    target.former_unknown = True
    target.receive(make_heartbeat(sequence=3))
    assert target.distrust()
    target.learn_former()
    assert target.heartbeat is None and target.leaving
    assert not target.receive(make_heartbeat(sequence=3))
    assert target.receive(make_heartbeat(sequence=4))


def test_deregistration_that_comes_before_the_former_record_is_kept():
    target = make_target()
    target.former_unknown = True
    target.receive(make_heartbeat(sequence=3))
    target.deregister("i-1", 100)
    target.learn_former()
    assert target.heartbeat is None and target.leaving


def test_former_record_that_comes_late_takes_back_only_a_first_heartbeat():
    """A record that only one other node knows may be told long after the start."""
    target = make_target()
    target.receive(make_heartbeat(sequence=1))
    assert target.distrust() and target.leaving
    assert not target.distrust()
    assert target.receive(make_heartbeat(sequence=2))
    assert not target.distrust() and target.ready
    target = make_target()
    target.receive(make_heartbeat(sequence=1))
    target.receive(make_heartbeat(sequence=2))
    assert not target.distrust() and target.ready


def test_late_heartbeat_after_a_restart_does_not_make_a_leaving_target_ready():
    """The former process of the node knew that the target was leaving."""
    target = make_target()
    target.was_leaving = True
    assert not target.receive(make_heartbeat(sequence=4))
    assert not target.receive(make_heartbeat(sequence=4))
    assert target.receive(make_heartbeat(sequence=5, phase=Phase.DRAINING))
    assert not target.ready


def test_target_that_stays_ready_is_used_from_its_second_heartbeat_on():
    target = make_target()
    target.was_leaving = True
    target.receive(make_heartbeat(incarnation=100, sequence=7))
    assert not target.receive(make_heartbeat(incarnation=200, sequence=1))
    assert target.receive(make_heartbeat(incarnation=200, sequence=2))
    assert target.ready


def test_incarnation_whose_responses_say_that_it_leaves_stays_leaving():
    target = make_target()
    target.receive(make_heartbeat(sequence=1))
    assert target.mark_leaving(target.heartbeat)
    assert not target.mark_leaving(target.heartbeat)
    target.receive(make_heartbeat(sequence=2))
    assert target.phase is Phase.DRAINING


def test_late_response_of_a_former_incarnation_says_nothing_of_the_present_one():
    target = make_target()
    former = make_heartbeat(incarnation=100)
    target.receive(make_heartbeat(incarnation=200))
    assert not target.mark_leaving(former)
    assert target.ready

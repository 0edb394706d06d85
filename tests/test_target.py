"""Heartbeats: late, foreign and repeated ones never bring a target back."""

from carawaywheel.mesh.target import Heartbeat, LocalTarget, Phase

SERVICE, ADDRESS = "desk", "10.0.0.1:80"


def beat(name="i-1", phase=Phase.READY, born=100, sequence=1):
    return Heartbeat(name, SERVICE, ADDRESS, 10, phase, born, sequence)


def make():
    return LocalTarget(SERVICE, ADDRESS)


def test_heartbeat_of_a_former_incarnation_changes_nothing():
    target = make()
    assert target.receive(beat("i-2", born=200))
    assert not target.receive(beat("i-1", born=100, sequence=9))
    assert target.heartbeat.target_id == "i-2"


def test_draining_binds_although_a_later_heartbeat_says_ready():
    target = make()
    target.receive(beat(sequence=1, phase=Phase.DRAINING))
    assert target.receive(beat(sequence=2, phase=Phase.READY))
    assert not target.ready


def test_repeated_sequence_is_ignored():
    target = make()
    target.receive(beat(sequence=2))
    assert not target.receive(beat(sequence=2, phase=Phase.DRAINING))
    assert target.ready


def test_target_that_left_stays_away_until_it_starts_again():
    target = make()
    target.receive(beat())
    target.deregister("i-1")
    assert not target.receive(beat(sequence=7))
    assert not target.ready
    assert target.receive(beat(born=300))
    assert target.ready


def test_departure_of_another_target_changes_nothing():
    target = make()
    target.receive(beat())
    target.deregister("i-9")
    assert target.ready


def test_same_id_with_a_new_start_counts_anew():
    target = make()
    target.receive(beat(sequence=50, phase=Phase.DRAINING))
    assert target.receive(beat(born=101, sequence=1))
    assert target.ready


def test_target_of_another_service_is_not_taken():
    target = make()
    assert not target.receive(beat()._replace(service="yard"))
    assert not target.receive(beat()._replace(address="10.0.0.1:81"))

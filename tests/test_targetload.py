"""Speed of the local target, as its responses report it."""

import random
from types import SimpleNamespace

import pytest

from bench.targetload import SCENARIOS, Simulation
from carawaywheel.clock import ManualClock
from carawaywheel.fairness import Ticket
from carawaywheel.mesh.execution import TargetRunner
from carawaywheel.mesh.journal import Journal
from carawaywheel.mesh.messages import ReportedLoad
from carawaywheel.mesh.settings import Bounds
from carawaywheel.mesh.shedding import AdmissionLevelTable
from carawaywheel.mesh.target import Heartbeat, LocalTarget, Phase
from carawaywheel.mesh.targetload import FADE_SECONDS, MAX_SLOWDOWN, TargetLoad
from carawaywheel.platform.headers import decode_target_headers
from carawaywheel.refusals import Importance

from .platform_harness import Platform, configuration


def reported(text):
    return decode_target_headers(200, [(b"x-server-load", text)])


@pytest.mark.parametrize(
    "text",
    [b"", b"1", b"1,2", b"1,2,x", b"1,2,10,0", b"1,2,10,-5", b"1,2,10,nan"]
    + [b"1,2,10,inf", b"1,2,10,", b"1,2,10,100,7", b"\xff,0,10,100"],
)
def test_malformed_load_is_ignored_and_marked(text):
    """Otherwise it is not counted, or ends the request."""
    assert reported(text).load is None and not reported(text).is_load_valid


def test_load_is_decoded_with_and_without_the_fourth_figure():
    assert reported(b"3,0,10").load == ReportedLoad(3, 0, 10, None)
    assert reported(b"3, 0, 10, 250").load == ReportedLoad(3, 0, 10, 2.5)
    assert decode_target_headers(200, []).is_load_valid


def report(load, slowdown, now, duration=0.1):
    load.record_response(ReportedLoad(1, 0, 10, slowdown), duration, now)


def test_slowdown_follows_the_reports_within_two_requests():
    """Guards against both extremes: following each figure, and a stale state."""
    load = TargetLoad()
    for index in range(20):
        report(load, 1.0, 1.0 + index * 0.01)
    report(load, 3.0, 1.2)
    assert 1.0 < load.current_slowdown(1.2) < 1.5
    for index in range(60):
        report(load, 3.0, 1.21 + index * 0.01, 0.3)
    assert 2.5 < load.current_slowdown(1.8) <= 3.0


def test_capacity_and_wait_follow_the_slowdown():
    load = TargetLoad()
    assert load.capacity(10, 0.0) is None and load.gauges(5, 10, 0.0) == []
    report(load, 1.0, 1.0, 0.1)
    assert load.capacity(10, 1.0) == pytest.approx(100.0)
    for index in range(100):
        report(load, 2.0, 1.01 + index * 0.01, 0.2)
    assert load.capacity(10, 2.0) == pytest.approx(50.0, rel=0.1)
    assert load.expected_wait(9, 10, 2.0) == 0.0
    assert load.expected_wait(14, 10, 2.0) == pytest.approx(0.1, rel=0.1)
    assert [gauge.value for gauge in load.gauges(14, 10, 2.0)][0] > 1.9


def test_absurd_and_old_reports_lose_their_effect():
    """A target that is kept without requests could never correct its figure."""
    load = TargetLoad()
    report(load, 1e9, 1.0)
    assert load.current_slowdown(1.0) == MAX_SLOWDOWN
    assert load.current_slowdown(1.0 + FADE_SECONDS) == 1.0
    assert load.pressure(0.5, 1.0) > 1.0 and load.pressure(3.0, 1.0) == 3.0
    report(load, None, 1.1)
    assert load.pressure(0.5, 1.1) == 0.5


def make_runner(clock):
    """Return a runner whose target runs 4 requests."""
    target = LocalTarget("desk", "10.0.0.1:80")
    target.heartbeat = Heartbeat("i-1", "desk", "10.0.0.1:80", 10, Phase.READY, 1, 1)
    settings = SimpleNamespace(
        bounds=Bounds(), service="desk", first_start=True, heartbeat=1.5
    )
    rng = random.Random(1)
    graph = SimpleNamespace(downstream_calls=lambda *arguments: {})
    runner = TargetRunner(
        settings,
        target,
        graph,
        AdmissionLevelTable(rng),
        Journal("n1"),
        clock,
        None,
        rng,
        None,
        None,
    )
    queue = runner.current_gate().queue
    for index in range(4):
        queue.offer(Ticket(str(index), "", Importance.NORMAL, 100.0), clock.now())
    return runner


def test_only_the_fourth_figure_changes_the_pressure_in_replies():
    """Other targets must be treated as before; malformed headers are counted."""
    clock = ManualClock(1.0)
    runner = make_runner(clock)
    usual = runner.build_reply("r", None).pressure
    for text in (b"9,9,10", b"9,9,10,x", b"9"):
        runner.record_load(reported(text), 0.9)
    assert runner.build_reply("r", None).pressure == usual > 0
    assert runner.journal.counters["load_header_invalid", ""] == 2
    runner.record_load(reported(b"9,9,10,300"), 0.9)
    assert runner.build_reply("r", None).pressure == pytest.approx(2 * usual, rel=0.01)
    runner.target.heartbeat = runner.target.heartbeat._replace(incarnation=2)
    runner.current_gate()
    assert runner.target_load.slowdown is None


def test_requests_are_served_whatever_load_the_target_reports():
    """Otherwise a malformed header of a target fails its responses."""
    with Platform() as platform:
        platform.publish(configuration(3))
        platform.start_host("h1", "desk")
        platform.wait_until_served("h1", "/read/x")
        for text in ("1,0,10,400", "1,0,10", "plenty", "1,0,10,-1"):
            platform.configure_target("h1", load=text)
            assert platform.send("h1", "/read/1").status == 200


def test_callers_gain_by_the_reported_slowdown_and_others_keep_what_they_had():
    """Otherwise the feature costs callers more than it gives them."""
    by_name = {scenario.name: scenario for scenario in SCENARIOS}

    def useful(name, policy):
        runs = [Simulation(by_name[name], policy, 0.8, seed).run() for seed in (7, 8)]
        return sum(result.useful for result in runs) / len(runs)

    assert useful("episodes", "speed") > useful("episodes", "slots") + 0.003
    assert useful("not reported", "speed") == useful("not reported", "slots")

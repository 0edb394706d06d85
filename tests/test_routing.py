import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carawaywheel.refusals import Outcome, Reason, Refusal
from carawaywheel.routing import Candidate, Router, TargetState
from carawaywheel.settings import RoutingSettings

SETTINGS = RoutingSettings()


def make_candidate(name, domain="a", state=TargetState.READY, cold_until=0.0):
    return Candidate(name, f"n-{name}", "svc", name, domain, 100, state, cold_until)


def make_router(*candidates):
    router = Router(SETTINGS, "a", random.Random(7))
    router.set_candidates(list(candidates), 0.0)
    return router


def fail(router, name, now, times=SETTINGS.eject_after):
    for _ in range(times):
        router.record_start(name, now)
        router.record_finish(name, now, Outcome.FAILED, 0.01, None)


def choose_repeatedly(router, now, times=400):
    names = []
    for _ in range(times):
        choice = router.choose("svc", now)
        names.append(choice.target_id)
    return names


@pytest.mark.parametrize("state", [TargetState.DRAINING, TargetState.LEFT])
def test_leaving_target_gets_no_new_requests(state):
    """Guards against requests that the shutdown of a target interrupts."""
    router = make_router(make_candidate("x", state=state), make_candidate("y"))
    assert set(choose_repeatedly(router, 0.0)) == {"y"}
    router.set_candidates([make_candidate("x", state=state)], 1.0)
    refusal = router.choose("svc", 1.0)
    assert isinstance(refusal, Refusal)
    assert (refusal.reason, refusal.step, refusal.peer) == (
        Reason.NO_TARGET,
        "routing",
        "svc",
    )
    assert refusal.retry_after > 0


def test_less_loaded_target_is_chosen():
    """Guards against requests to a full target while another one is idle."""
    router = make_router(make_candidate("x"), make_candidate("y"))
    for name, pressure in (("x", 0.9), ("y", 0.1)):
        router.record_start(name, 0.0)
        router.record_finish(name, 0.0, Outcome.OK, 0.01, pressure)
    assert set(choose_repeatedly(router, 0.1)) == {"y"}
    assert set(choose_repeatedly(router, SETTINGS.pressure_age + 0.1)) == {"x", "y"}


def record_responses(router, now, fault_shares, times=60):
    """Record responses, with an evenly spaced share of failures for each target."""
    accumulated = dict.fromkeys(fault_shares, 0.0)
    for _ in range(times):
        for name, share in fault_shares.items():
            accumulated[name] += share
            fault = accumulated[name] >= 1.0
            accumulated[name] -= fault
            router.record_finish(name, now, Outcome.OK, 0.1, 0.1, fault)


def test_target_that_fails_half_of_its_requests_is_avoided_temporarily():
    """Guards against a target that passes its health checks but fails requests."""
    others = (make_candidate("y", "b"), make_candidate("z", "b"))
    router = make_router(make_candidate("x"), *others)
    record_responses(router, 0.0, {"x": 0.5, "y": 0.0, "z": 0.0})
    assert "x" not in choose_repeatedly(router, 0.1)
    assert "x" in choose_repeatedly(router, 5.0)


def test_failure_downstream_of_all_targets_moves_no_traffic():
    """Guards against traffic that leaves the own failure domain without benefit."""
    router = make_router(make_candidate("x"), make_candidate("y", "b"))
    record_responses(router, 0.0, {"x": 0.5, "y": 0.5})
    assert set(choose_repeatedly(router, 0.1)) == {"x"}


def test_slow_target_is_avoided_although_it_reports_no_load():
    """Guards against a target that attracts requests by a false load report."""
    router = make_router(*(make_candidate(name) for name in "xyz"))
    for step in range(20):
        now = step / 10
        router.record_finish("x", now, Outcome.OK, 1.0, 0.0)
        router.record_finish("y", now, Outcome.OK, 0.1, 0.02)
        router.record_finish("z", now, Outcome.OK, 0.1, 0.02)
    assert "x" not in choose_repeatedly(router, now)
    assert "x" in choose_repeatedly(router, now + SETTINGS.latency_age)


@pytest.mark.known_red(21, always=True)
def test_target_is_used_again_soon_after_a_single_slow_response():
    """Guards against a cold target that a short stall keeps unused while it is cold."""
    router = make_router(make_candidate("x"), make_candidate("y"))
    for _ in range(60):
        for name in "xy":
            router.record_finish(name, 0.0, Outcome.OK, 0.005, 0.1)
    router.record_finish("x", 0.0, Outcome.OK, 0.3, 0.1)
    router.set_cold("x", 4.0, 0.2, 1.0)
    assert "x" in choose_repeatedly(router, 1.0)


def test_own_domain_is_kept_until_its_load_exceeds_the_margin():
    """Guards against needless cross-domain calls and an overloaded own domain."""
    router = make_router(make_candidate("x", "a"), make_candidate("y", "b"))
    router.record_finish("x", 0.0, Outcome.OK, 0.01, 0.5)
    router.record_finish("y", 0.0, Outcome.OK, 0.01, 0.3)
    assert set(choose_repeatedly(router, 0.0)) == {"x"}
    for _ in range(60):
        router.record_finish("x", 0.0, Outcome.OK, 0.01, 0.95)
        router.record_finish("y", 0.0, Outcome.OK, 0.01, 0.1)
    assert set(choose_repeatedly(router, 0.0)) == {"y"}


def test_ejected_target_returns_after_one_probe():
    """Guards against a burst of requests to a target that still fails."""
    router = make_router(*(make_candidate(name) for name in "xyz"))
    fail(router, "x", 0.0)
    assert "x" not in choose_repeatedly(router, 0.5)
    assert "x" in choose_repeatedly(router, 1.0)
    router.record_start("x", 1.0)
    assert isinstance(router.choose("svc", 1.1, {"y", "z"}), Refusal)
    router.record_finish("x", 1.2, Outcome.FAILED, 0.2, None)
    assert "x" not in choose_repeatedly(router, 3.1)
    assert "x" in choose_repeatedly(router, 3.2)
    router.record_start("x", 3.2)
    router.record_finish("x", 3.3, Outcome.OK, 0.01, 0.0)
    assert router.ejected_count("svc") == 0


def test_late_response_does_not_end_an_ejection():
    """Guards against an ejection ended by responses to requests sent before it."""
    router = make_router(*(make_candidate(name) for name in "xyz"))
    router.record_start("x", 0.0)
    fail(router, "x", 0.1)
    router.record_finish("x", 0.2, Outcome.OK, 0.2, 0.0)
    assert "x" not in choose_repeatedly(router, 0.3)


def test_silent_connection_ejects_unless_another_one_responds():
    """Guards against a hung host that stays in use.

    Guards as well against the ejection of a host that lost only one connection.
    """
    router = make_router(*(make_candidate(name) for name in "xyz"))
    router.record_finish("y", 4.9, Outcome.OK, 0.01, 0.0)
    router.record_silent_connection("y", 5.0)
    assert router.ejected_count("svc") == 0
    router.record_silent_connection("x", 5.0)
    assert "x" not in choose_repeatedly(router, 5.0)


def test_shedding_and_cancellation_never_eject():
    """Guards against ejection under overload, which shifts load to other targets."""
    router = make_router(*(make_candidate(name) for name in "xyz"))
    for outcome in (Outcome.SHED, Outcome.CANCELLED) * 20:
        router.record_finish("x", 0.0, outcome, 0.01, None)
    assert router.ejected_count("svc") == 0


def test_cancelled_probe_lets_another_probe_through():
    """Guards against a target that stays ejected after its probe is cancelled."""
    router = make_router(*(make_candidate(name) for name in "xyz"))
    fail(router, "x", 0.0)
    router.record_start("x", 2.0)
    router.record_finish("x", 2.1, Outcome.CANCELLED, 0.1, None)
    assert "x" in choose_repeatedly(router, 2.2)


def test_cold_target_gets_a_small_share_at_first():
    """Guards against an idle cold target that attracts all requests at once."""
    cold = make_candidate("x", state=TargetState.COLD, cold_until=10.0)
    router = make_router(cold, *(make_candidate(name) for name in "uvwyz"))
    counts = []
    for now in (0.0, 9.9):
        for name in "uvwyz":
            router.record_finish(name, now, Outcome.OK, 0.01, 0.5)
        counts.append(choose_repeatedly(router, now, 2000).count("x"))
    assert 0 < counts[0] < 0.4 * counts[1]


def choose_counts(router, now, names, times=2000, exclude=()):
    chosen = [router.choose("svc", now, exclude).target_id for _ in range(times)]
    return {name: chosen.count(name) / times for name in names}


def test_cold_target_gets_its_share_of_the_requests_of_a_warm_one():
    """Guards against senders that flood a cold target or never use it."""
    router = make_router(*(make_candidate(name) for name in "xyz"))

    def measure(now):
        # A target that is sent few requests reports a lower pressure than the others.
        for name, pressure in (("x", 0.1), ("y", 0.9), ("z", 0.9)):
            router.record_finish(name, now, Outcome.OK, 0.01, pressure)
        return choose_counts(router, now, "x")["x"]

    warm = measure(0.0)
    router.set_cold("x", 3.0, 0.25, 0.0)
    share, later = measure(0.0) / warm, measure(1.0) / warm
    assert 0.15 < share < 0.35
    assert 1.5 < later / share < 2.6
    assert measure(3.0) / warm > 0.8


def test_calls_leave_a_domain_whose_targets_are_all_cold():
    """Guards against refusals in the own domain while another one has capacity."""
    own = [make_candidate(name) for name in "xyz"]
    router = make_router(*own, *(make_candidate(name, "b") for name in "uv"))
    for name in "xyz":
        router.set_cold(name, 3.0, 0.1, 0.0)
    counts = choose_counts(router, 0.0, "xyzuv")
    assert counts["u"] + counts["v"] > 0.8
    assert sum(counts[name] for name in "xyz") > 0.05


def test_refused_call_goes_to_a_warm_target_of_another_domain():
    """Guards against four refusals by cold targets of which one was known."""
    own = [make_candidate(name) for name in "xyz"]
    router = make_router(*own, make_candidate("u", "b"))
    router.set_cold("x", 3.0, 0.9, 0.0)
    assert choose_counts(router, 0.0, "u", exclude=["x"])["u"] == 1.0
    assert router.has_warm_target("svc", 0.0, ["x", "u"])
    for name in "yzu":
        router.set_cold(name, 3.0, 0.9, 0.0)
    assert not router.has_warm_target("svc", 0.0, ["x"])
    assert isinstance(router.choose("svc", 0.0, ["x"]), Candidate)


def test_shares_of_cold_targets_are_relative_without_a_warm_one():
    """Guards against a service without targets, or an even load on uneven ones."""
    router = make_router(*(make_candidate(name) for name in "xy"))
    router.set_cold("x", 3.0, 0.01, 0.0)
    router.set_cold("y", 3.0, 0.04, 0.0)
    counts = choose_counts(router, 0.0, "xy")
    assert 0.0 < counts["x"] < 0.3


def test_target_that_reports_the_end_of_its_warm_up_is_used_fully():
    """Guards against a target that stays at a small share after a wrong assumption."""
    router = make_router(*(make_candidate(name) for name in "xy"))
    router.set_cold("x", 30.0, 0.01, 0.0)
    assert not router.has_warm_target("svc", 0.0, ["y"])
    router.set_cold("x", 1.0, 1.0, 1.0)
    assert router.has_warm_target("svc", 1.0, ["y"])
    assert choose_counts(router, 1.0, "x")["x"] > 0.4


def test_target_that_reports_a_long_warm_up_stays_usable():
    """Guards against an overflow when the share has doubled for many minutes."""
    router = make_router(*(make_candidate(name) for name in "xy"))
    router.set_cold("x", 1e9, 0.01, 0.0)
    assert choose_counts(router, 5000.0, "x")["x"] > 0.4
    assert not router.has_warm_target("svc", 5000.0, ["y"])


def test_replaced_target_starts_without_earlier_failures():
    """Guards against a new host that takes over the ejection of the old one."""
    router = make_router(*(make_candidate(name) for name in "xyz"))
    fail(router, "x", 0.0)
    replaced = make_candidate("x")._replace(address="elsewhere")
    router.set_candidates([replaced, make_candidate("y"), make_candidate("z")], 0.1)
    assert "x" in choose_repeatedly(router, 0.1)


steps = st.lists(
    st.tuples(
        st.sampled_from(["fail", "silent", "ok", "cancel", "start", "update"]),
        st.integers(0, 7),
        st.floats(0.0, 3.0),
    ),
    max_size=80,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(size=st.integers(1, 8), steps=steps)
def test_ejection_is_bounded_for_any_sequence_of_events(size, steps):
    """Guards against a service without usable targets because of ejections."""
    names = [str(number) for number in range(size)]
    router = make_router(*(make_candidate(name) for name in names))
    now, count = 0.0, size
    outcomes = {"ok": Outcome.OK, "cancel": Outcome.CANCELLED}
    for action, number, pause in steps:
        now += pause
        name = names[number % size]
        if action == "fail":
            fail(router, name, now)
        elif action == "silent":
            router.record_silent_connection(name, now)
        elif action == "start":
            router.record_start(name, now)
        elif action == "update":
            count = number % size + 1
            router.set_candidates([make_candidate(name) for name in names[:count]], now)
        else:
            router.record_finish(name, now, outcomes[action], 0.01, 0.5)
        assert isinstance(router.choose("svc", now), Candidate)
        assert router.ejected_count("svc") <= count * SETTINGS.eject_share
        ejector = router.pools["svc"].ejector
        ejected = sum(history.ejected for history in ejector.histories.values())
        assert ejected == router.ejected_count("svc")
        assert all(target.in_flight >= 0 for target in router.targets.values())

"""Retry times of refused requests: bounds, spread, and what callers get by them."""

import random

import pytest

from bench.returntimes import (
    MAX_OBJECTIVE_SHARE,
    RISE_RATE,
    SCENARIOS,
    ReturnTimes,
    play,
)


@pytest.mark.parametrize("missing_level", [0.0, 0.1, 0.5, 2.6])
@pytest.mark.parametrize("remaining", [0.0, 0.3, 2.0, 60.0])
@pytest.mark.parametrize("objective", [0.1, 1.0, 5.0])
def test_wait_is_bounded_by_remaining_time_and_objective(
    missing_level, remaining, objective
):
    """Guards against a retry for which the caller has no time left."""
    times = ReturnTimes(random.Random(1))
    longest = min(remaining / 3, MAX_OBJECTIVE_SHARE * objective)
    for _ in range(200):
        assert 0.0 <= times.assign(missing_level, remaining, objective) <= longest


def test_wait_without_remaining_time_is_not_negative():
    """Guards against a malformed Retry-After for a request that arrived late."""
    assert ReturnTimes(random.Random(1)).assign(1.0, -0.5, 1.0) == 0.0


def test_callers_return_after_the_level_has_risen_and_spread():
    """Guards against callers that return too early, or all at one moment."""
    times = ReturnTimes(random.Random(1))
    waits = [times.assign(0.1, 6.0, 4.0) for _ in range(1000)]
    assert min(waits) >= 0.1 / RISE_RATE
    assert max(waits) - min(waits) > 1.5
    waits = [times.assign(2.0, 6.0, 4.0) for _ in range(1000)]
    assert min(waits) >= 1.6
    assert max(waits) - min(waits) > 0.35


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_callers_gain_by_assigned_times(scenario):
    """Guards against times by which callers get less than by a constant time."""
    total, worst = play(scenario, "return times", 1.5, 7)
    former_total, former_worst = play(scenario, "constant", 1.5, 7)
    assert total.in_time > former_total.in_time
    assert total.refused_twice < former_total.refused_twice
    assert worst.in_time > former_worst.in_time

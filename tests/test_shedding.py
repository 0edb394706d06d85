"""Admission levels: an overloaded service lowers its level to shed low priorities."""

import random

import pytest

from carawaywheel.mesh.messages import ServiceDemand
from carawaywheel.mesh.shedding import (
    MIN_LEVEL,
    AdmissionLevel,
    AdmissionLevelTable,
    offered_load,
)

STEP_SECONDS = 0.05


def apply_load(level, load, seconds, now=0.0):
    for _ in range(int(seconds / STEP_SECONDS)):
        now += STEP_SECONDS
        level.update(load, now)
    return now


def test_overloaded_target_soon_sheds_the_lowest_priority():
    level = AdmissionLevel(3.0)
    apply_load(level, 1.8, 1.5)
    assert level.level < 2.2


def test_level_recovers_after_a_surge():
    level = AdmissionLevel(3.0)
    now = apply_load(level, 2.0, 4.0)
    apply_load(level, 0.3, 6.0, now)
    assert level.level == 3.0


def test_highest_priority_is_never_shed_completely():
    level = AdmissionLevel(3.0)
    apply_load(level, 5.0, 60.0)
    assert level.level == MIN_LEVEL


@pytest.mark.parametrize("delay", [0.5, 1.0])
@pytest.mark.parametrize("surge", [1.0, 1.5])
def test_level_converges_to_the_load_setpoint(delay, surge):
    # Slots that priorities 0 to 2 demand, of 155; a level takes effect after a delay.
    demands, limit = [107 * surge, 16 * surge, 110 * surge], 155
    level = AdmissionLevel(3.0)
    delayed_levels = [3.0] * int(delay / STEP_SECONDS)
    admitted_loads, now = [], 0.0
    for _ in range(int(20.0 / STEP_SECONDS)):
        now += STEP_SECONDS
        effective_level = delayed_levels.pop(0)
        slots = sum(
            demand * min(max(effective_level - priority, 0.0), 1.0)
            for priority, demand in enumerate(demands)
        )
        admitted_loads.append(slots / limit)
        level.update(offered_load(slots / 0.06, 0.06, 0, limit), now)
        delayed_levels.append(level.level)
    settled_loads = admitted_loads[int(8.0 / STEP_SECONDS) :]
    assert 0.8 < min(settled_loads) and max(settled_loads) < 1.05
    assert sum(settled_loads) / len(settled_loads) == pytest.approx(0.92, abs=0.03)


def test_level_at_its_maximum_follows_a_new_maximum():
    level = AdmissionLevel(1.0)
    level.set_max_level(3.0)
    assert level.level == 3.0


def test_requests_are_shed_by_the_lowest_level_of_their_call_chain():
    table = AdmissionLevelTable(random.Random(1))
    table.update(
        [ServiceDemand("desk", 1.0, 3.0), ServiceDemand("office", 4.0, 1.0)], 0.0
    )
    demands = {"desk": 1.0, "office": 4.0}
    assert table.admits(demands, 2, 0.1) == (False, "office", 1.0)
    assert table.admits(demands, 0, 0.1)[0]
    assert table.admits({"desk": 1.0}, 2, 0.1)[0]


def test_fractional_level_admits_a_share_of_a_priority():
    table = AdmissionLevelTable(random.Random(1))
    table.update([ServiceDemand("office", 1.0, 2.3)], 0.0)
    admitted = sum(table.admits({"office": 1.0}, 2, 0.1)[0] for _ in range(1000))
    assert admitted == pytest.approx(300, abs=50)


def test_level_without_new_reports_rises():
    table = AdmissionLevelTable(random.Random(1))
    table.update([ServiceDemand("office", 1.0, 1.0)], 0.0)
    assert table.level("office", 0.5) == 1.0
    assert table.level("office", 5.0) > 3.0


def test_service_without_reports_sheds_nothing():
    table = AdmissionLevelTable(random.Random(1))
    assert table.admits({"office": 1.0}, 9, 0.0)[0]


def make_rejecting_table(accepted, seed=1):
    """Return a table with reports of a service that rejects part of its requests."""
    table = AdmissionLevelTable(random.Random(seed))
    for index in range(20):
        table.update([ServiceDemand("office", 1.0, 3.0, accepted)], index * 0.01)
    return table


def test_request_whose_calls_would_be_rejected_fails_fast():
    """Otherwise the work above the rejected calls is wasted."""
    table = make_rejecting_table(0.45)
    demands = {"desk": 1.0, "office": 4.0}
    admitted_count = sum(not table.should_fail_fast(demands, 0.3) for _ in range(1000))
    assert 5 <= admitted_count <= 80, "a small share is admitted as probes"
    assert not table.should_fail_fast({"office": 1.0}, 0.3)


def test_few_rejections_cause_no_fail_fast():
    table = make_rejecting_table(0.9)
    assert not table.should_fail_fast({"desk": 1.0, "office": 8.0}, 0.3)


def test_success_probability_recovers_when_calls_are_accepted():
    table = make_rejecting_table(0.3)
    demands = {"office": 4.0}
    for index in range(20):
        table.update([ServiceDemand("office", 1.0, 3.0, 1.0)], 0.3 + index * 0.01)
    assert table.success_probability(demands, 0.5) > 0.9


def test_success_probability_recovers_without_new_reports():
    assert make_rejecting_table(0.3).success_probability({"office": 4.0}, 5.0) == 1.0

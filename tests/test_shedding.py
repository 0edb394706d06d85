"""Admission levels: a full service lowers its level, and low ranks are refused."""

import random

import pytest

from carawaywheel.mesh.messages import ServiceDemand
from carawaywheel.mesh.shedding import (
    MIN_LEVEL,
    AdmissionLevel,
    AdmissionLevelTable,
    offered_load,
)

STEP = 0.05


def run(level, occupancy, seconds, now=0.0):
    for _ in range(int(seconds / STEP)):
        now += STEP
        level.update(occupancy, now)
    return now


def test_full_target_refuses_the_lowest_rank_soon():
    level = AdmissionLevel(3.0)
    run(level, 1.8, 1.5)
    assert level.level < 2.2


def test_level_is_whole_again_after_a_surge():
    level = AdmissionLevel(3.0)
    now = run(level, 2.0, 4.0)
    run(level, 0.3, 6.0, now)
    assert level.level == 3.0


def test_most_important_requests_are_never_shut_out():
    level = AdmissionLevel(3.0)
    run(level, 5.0, 60.0)
    assert level.level == MIN_LEVEL


@pytest.mark.parametrize("delay", [0.5, 1.0])
@pytest.mark.parametrize("surge", [1.0, 1.5])
def test_level_settles_where_demand_fits(delay, surge):
    # Slots asked for by the ranks 0 to 2, of 155; the effect of the level is late.
    demands, limit = [107 * surge, 16 * surge, 110 * surge], 155
    level = AdmissionLevel(3.0)
    past = [3.0] * int(delay / STEP)
    admitted, now = [], 0.0
    for _ in range(int(20.0 / STEP)):
        now += STEP
        effective = past.pop(0)
        slots = sum(
            demand * min(max(effective - rank, 0.0), 1.0)
            for rank, demand in enumerate(demands)
        )
        admitted.append(slots / limit)
        level.update(offered_load(slots / 0.06, 0.06, 0, limit), now)
        past.append(level.level)
    settled = admitted[int(8.0 / STEP) :]
    assert 0.8 < min(settled) and max(settled) < 1.05
    assert sum(settled) / len(settled) == pytest.approx(0.92, abs=0.03)


def test_new_rank_keeps_an_open_level_open():
    level = AdmissionLevel(1.0)
    level.set_max_level(3.0)
    assert level.level == 3.0


def test_requests_are_refused_by_the_tightest_service_of_their_chain():
    table = AdmissionLevelTable(random.Random(1))
    table.update(
        [ServiceDemand("desk", 1.0, 3.0), ServiceDemand("office", 4.0, 1.0)], 0.0
    )
    demands = {"desk": 1.0, "office": 4.0}
    assert table.admits(demands, 2, 0.1) == (False, "office", 1.0)
    assert table.admits(demands, 0, 0.1)[0]
    assert table.admits({"desk": 1.0}, 2, 0.1)[0]


def test_share_of_a_rank_is_admitted():
    table = AdmissionLevelTable(random.Random(1))
    table.update([ServiceDemand("office", 1.0, 2.3)], 0.0)
    admitted = sum(table.admits({"office": 1.0}, 2, 0.1)[0] for _ in range(1000))
    assert admitted == pytest.approx(300, abs=50)


def test_level_that_nothing_renews_rises():
    table = AdmissionLevelTable(random.Random(1))
    table.update([ServiceDemand("office", 1.0, 1.0)], 0.0)
    assert table.level("office", 0.5) == 1.0
    assert table.level("office", 5.0) > 3.0


def test_unknown_service_refuses_nothing():
    table = AdmissionLevelTable(random.Random(1))
    assert table.admits({"office": 1.0}, 9, 0.0)[0]


def rejecting_table(accepted, seed=1):
    """Return a table that heard that a service rejects a part of its requests."""
    table = AdmissionLevelTable(random.Random(seed))
    for index in range(20):
        table.update([ServiceDemand("office", 1.0, 3.0, accepted)], index * 0.01)
    return table


def test_request_whose_calls_would_be_rejected_does_not_enter():
    """All work above the rejected call would be wasted."""
    table = rejecting_table(0.45)
    chain = {"desk": 1.0, "office": 4.0}
    entered = sum(not table.should_fail_fast(chain, 0.3) for _ in range(1000))
    assert 5 <= entered <= 80, "a few find out when it ends"
    assert not table.should_fail_fast({"office": 1.0}, 0.3)


def test_few_rejections_turn_no_chain_away():
    table = rejecting_table(0.9)
    assert not table.should_fail_fast({"desk": 1.0, "office": 8.0}, 0.3)


def test_chain_enters_again_when_its_calls_are_accepted():
    table = rejecting_table(0.3)
    chain = {"office": 4.0}
    for index in range(20):
        table.update([ServiceDemand("office", 1.0, 3.0, 1.0)], 0.3 + index * 0.01)
    assert table.success_probability(chain, 0.5) > 0.9


def test_chain_enters_again_when_nothing_is_heard():
    assert rejecting_table(0.3).success_probability({"office": 4.0}, 5.0) == 1.0

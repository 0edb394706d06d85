import random

import pytest

from carawaywheel.demand import DemandTable
from carawaywheel.levels import OverloadLevel, OverloadLevelTable, merge_levels
from carawaywheel.refusals import Importance, Ran, Reason
from carawaywheel.settings import LevelSettings

CRITICAL, NORMAL, SHEDDABLE = Importance


def make_table(pressure, admitted=2, **options):
    settings = LevelSettings(shed_from=1.25, shed_all=3.0, **options)
    table = OverloadLevelTable(settings)
    table.update("maps", [OverloadLevel("vault", admitted, pressure)], 0.0)
    return table


def refused_share(table, importance, now=0.0, account="a", route="maps"):
    rng = random.Random(4)
    checks = [table.check(route, importance, now, rng, account) for _ in range(2000)]
    return sum(check is not None for check in checks) / len(checks)


def test_importances_are_shed_in_order_and_in_proportion_to_pressure():
    """Guards against shedding that oscillates between all requests and none."""
    expected = [
        (1.0, (0.0, 0.0, 0.0)),
        (1.6875, (0.0, 0.0, 0.5)),
        (2.5625, (0.0, 0.5, 0.98)),
        (9.0, (0.0, 0.98, 0.98)),
    ]
    for pressure, shares in expected:
        table = make_table(pressure)
        for importance, share in zip(Importance, shares, strict=True):
            assert refused_share(table, importance) == pytest.approx(share, abs=0.04)


@pytest.mark.parametrize("pressure", [2.0, 3.2, 4.0, 9.0])
@pytest.mark.parametrize("admitted", [-1, 0, 2])
def test_critical_is_refused_only_when_all_others_are(pressure, admitted):
    """Guards against a probe of low importance that displaces a critical request."""
    table = make_table(pressure, admitted)
    critical = refused_share(table, CRITICAL)
    assert (critical > 0.0) == (admitted == -1 and pressure > 3.0)
    if critical > 0.0:
        assert refused_share(table, NORMAL) == refused_share(table, SHEDDABLE) == 1.0
        assert critical < 1.0


def test_refusal_names_the_overloaded_service_and_spares_other_routes():
    """Guards against a refusal that does not name the overloaded service."""
    table = make_table(9.0)
    table.update("maps", [OverloadLevel("desk", 2, 0.5)], 0.0)
    refusal = table.check("maps", SHEDDABLE, 0.0, random.Random(1))
    assert (refusal.reason, refusal.ran) == (Reason.OVERLOAD, Ran.NOT_RUN)
    assert (refusal.step, refusal.peer) == ("entry", "vault")
    assert refusal.retry_after > 0
    assert refused_share(table, SHEDDABLE, route="reports") == 0.0


def test_levels_decay_and_expire():
    """Guards against refusals that continue when no responses arrive."""
    table = make_table(9.0)
    early, late = (refused_share(table, NORMAL, now) for now in (0.1, 1.8))
    assert early == pytest.approx(0.9, abs=0.03)
    assert late < 0.05
    assert refused_share(table, SHEDDABLE, 2.0) == 0.0
    table.update("maps", [OverloadLevel("vault", 2, 0.5)], 3.0)
    assert refused_share(table, SHEDDABLE, 3.0) == 0.0


def test_one_level_under_load_does_not_shed():
    """Guards against a decision based on a single sample."""
    table = make_table(0.5)
    table.update("maps", [OverloadLevel("vault", 2, 6.0)], 0.1)
    assert refused_share(table, SHEDDABLE, 0.1) == 0.0


@pytest.mark.parametrize(("fair", "small_refused"), [(True, 0.03), (False, 0.6)])
def test_account_below_its_fair_share_is_spared(fair, small_refused):
    """Guards against refusals of a small account during the surge of a large one."""
    table = make_table(1.6875, fair=fair)
    rng = random.Random(2)
    refused = {"big": 0, "small": 0}
    for step in range(4000):
        now = step / 4000
        table.update("maps", [OverloadLevel("vault", 2, 1.6875)], now)
        account = "small" if step % 10 == 0 else "big"
        refusal = table.check("maps", SHEDDABLE, now, rng, account)
        refused[account] += refusal is not None
    assert refused["small"] / 400 <= small_refused
    total = sum(refused.values()) / 4000
    assert total == pytest.approx(0.5, abs=0.05)


def test_fair_reduction_is_max_min():
    """Guards against a reduction that does not add up to the requested share."""
    demand = DemandTable(2.0)
    for account, count in [("a", 10), ("b", 30), ("c", 60)]:
        for _ in range(count):
            demand.add(account, 0.0)
    shares = [demand.refused_share(name, 0.5, 0.0) for name in "abc"]
    assert shares == pytest.approx([0.0, 1 / 3, 2 / 3])
    assert demand.refused_share("unknown", 0.5, 0.0) == 0.0
    demand.add("b", 60.0)
    assert demand.refused_share("b", 0.5, 60.0) == pytest.approx(0.5)
    assert list(demand.counts) == ["b"]


def test_merge_keeps_the_most_loaded_node_of_each_service():
    """Guards against an idle node that hides a loaded one."""
    levels = [
        OverloadLevel("a", 1, 0.5),
        OverloadLevel("b", 1, 2.0),
        OverloadLevel("a", 2, 0.7),
    ]
    assert merge_levels(levels) == [
        OverloadLevel("a", 1, 0.7),
        OverloadLevel("b", 1, 2.0),
    ]

"""Learning which services a route leads to, without ids that link calls to requests."""

import random

import pytest

from carawaywheel.mesh.calls import Demand
from carawaywheel.mesh.chains import CallWeights, ChainTable


def test_calls_of_two_routes_at_one_target_are_told_apart():
    rng = random.Random(3)
    weights = CallWeights()
    now = 0.0
    for _ in range(200):
        now += 0.6
        orders, bundles = rng.randrange(0, 12), rng.randrange(0, 12)
        for _ in range(orders):
            weights.ran("order")
        for _ in range(bundles):
            weights.ran("bundle")
        for _ in range(2 * orders):
            weights.called("weir")
        weights.tick(now)
    assert weights.calls_of("order")["weir"] == pytest.approx(2.0, abs=0.1)
    assert weights.calls_of("bundle")["weir"] == pytest.approx(0.0, abs=0.1)


def test_calls_multiply_along_the_chain():
    weights = CallWeights()
    weights.weights = {"depth": {"roster": 1.0, "noise": 0.01}}
    chains = ChainTable()
    chains.learn("roster", [Demand("yard", 1.0, 3.0), Demand("office", 4.0, 1.0)])
    chains.learn("noise", [Demand("other", 1.0, 3.0)])
    below = chains.below(weights, "depth", "desk")
    assert below == {"desk": 1.0, "yard": 1.0, "office": 4.0}

"""Learning which services a route leads to, without ids that link calls to requests."""

import random

import pytest

from carawaywheel.mesh.callgraph import CallGraph, FanoutEstimator
from carawaywheel.mesh.messages import ServiceDemand


def test_calls_of_two_routes_at_one_target_are_told_apart():
    rng = random.Random(3)
    weights = FanoutEstimator()
    now = 0.0
    for _ in range(200):
        now += 0.6
        orders, bundles = rng.randrange(0, 12), rng.randrange(0, 12)
        for _ in range(orders):
            weights.record_request("order")
        for _ in range(bundles):
            weights.record_request("bundle")
        for _ in range(2 * orders):
            weights.record_call("weir")
        weights.update(now)
    assert weights.calls_per_request("order")["weir"] == pytest.approx(2.0, abs=0.1)
    assert weights.calls_per_request("bundle")["weir"] == pytest.approx(0.0, abs=0.1)


def test_calls_multiply_along_the_chain():
    weights = FanoutEstimator()
    weights.weights = {"depth": {"roster": 1.0, "noise": 0.01}}
    chains = CallGraph()
    chains.update(
        "roster", [ServiceDemand("yard", 1.0, 3.0), ServiceDemand("office", 4.0, 1.0)]
    )
    chains.update("noise", [ServiceDemand("other", 1.0, 3.0)])
    below = chains.downstream_calls(weights, "depth", "desk")
    assert below == {"desk": 1.0, "yard": 1.0, "office": 4.0}

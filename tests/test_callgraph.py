"""Learning the call graph without IDs that link calls to their requests."""

import random

import pytest

from carawaywheel.mesh.callgraph import CallGraph, FanoutEstimator
from carawaywheel.mesh.messages import ServiceDemand


def test_calls_are_attributed_to_the_route_that_causes_them():
    rng = random.Random(3)
    fanout = FanoutEstimator()
    now = 0.0
    for _ in range(200):
        now += 0.6
        order_count, bundle_count = rng.randrange(0, 12), rng.randrange(0, 12)
        for _ in range(order_count):
            fanout.record_request("order")
        for _ in range(bundle_count):
            fanout.record_request("bundle")
        for _ in range(2 * order_count):
            fanout.record_call("weir")
        fanout.update(now)
    assert fanout.calls_per_request("order")["weir"] == pytest.approx(2.0, abs=0.1)
    assert fanout.calls_per_request("bundle")["weir"] == pytest.approx(0.0, abs=0.1)


def test_downstream_calls_multiply_along_the_call_chain():
    fanout = FanoutEstimator()
    fanout.weights = {"depth": {"roster": 1.0, "noise": 0.01}}
    call_graph = CallGraph()
    call_graph.update(
        "roster", [ServiceDemand("yard", 1.0, 3.0), ServiceDemand("office", 4.0, 1.0)]
    )
    call_graph.update("noise", [ServiceDemand("other", 1.0, 3.0)])
    downstream = call_graph.downstream_calls(fanout, "depth", "desk")
    assert downstream == {"desk": 1.0, "yard": 1.0, "office": 4.0}

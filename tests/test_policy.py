"""Admission at the entry: routes, keys, and requests that would fail anyway."""

import json
import random

import pytest

from carawaywheel.http import Request
from carawaywheel.mesh.callgraph import CallGraph, FanoutEstimator
from carawaywheel.mesh.journal import Journal
from carawaywheel.mesh.messages import CallerMetadata, ServiceDemand
from carawaywheel.mesh.policy import FAIL_FAST_RETRY_SECONDS, AdmissionPolicy
from carawaywheel.mesh.requests import AdmittedRequest
from carawaywheel.mesh.settings import Bounds, HostSettings, Listeners, StoreSettings
from carawaywheel.mesh.shedding import AdmissionLevelTable
from carawaywheel.platform.configuration import decode_configuration
from carawaywheel.refusals import Ran, Reason, Refusal

from .platform_harness import HOST, KEY, configuration

NOW = 100.0
CONFIGURATION_JSON = json.dumps(configuration(1)).encode()
HOST_SETTINGS = HostSettings(
    "n1",
    "a",
    "desk",
    "10.0.0.1:80",
    Listeners("", "", "", "", "", "", ""),
    StoreSettings(""),
    Bounds(),
    1 << 28,
)


class PolicyFixture:
    """An admission policy with one configuration, a call graph and levels."""

    def __init__(self):
        self.call_graph = CallGraph()
        self.levels = AdmissionLevelTable(random.Random(1))
        journal = Journal("n1")
        self.policy = AdmissionPolicy(
            HOST_SETTINGS, FanoutEstimator(), self.call_graph, self.levels, journal
        )
        self.configuration = decode_configuration(CONFIGURATION_JSON)

    def report_demands(self, demands, route="r-read", times=20):
        for _ in range(times):
            self.call_graph.update(route, demands)
            self.levels.update(demands, NOW)

    def admit(self, path="/read/1", key=KEY, host=HOST, peer="10.0.0.9:1"):
        caller = CallerMetadata("id", host, key, 4.0, [])
        request = Request("GET", path, [])
        return self.policy.admit(self.configuration, peer, request, caller, NOW)


@pytest.mark.parametrize(
    "request_fields, reason",
    [
        ({"path": "/other/1"}, Reason.NO_ROUTE),
        ({"host": "other.example"}, Reason.NO_ROUTE),
        ({"key": "wrong"}, Reason.KEY_UNKNOWN),
        ({"key": ""}, Reason.KEY_MISSING),
    ],
)
def test_request_without_route_or_valid_key_is_refused(request_fields, reason):
    refusal = PolicyFixture().admit(**request_fields)
    assert isinstance(refusal, Refusal)
    assert (refusal.reason, refusal.ran) == (reason, Ran.NOT_RUN)


def test_call_of_the_local_target_is_identified_by_address_and_route():
    fixture = PolicyFixture()
    assert fixture.admit("/inner/1", key="", peer="10.0.0.1:9").from_target
    assert not fixture.admit("/inner/1", key="").from_target
    assert not fixture.admit(peer="10.0.0.1:9").from_target


def test_request_whose_calls_would_be_rejected_fails_fast_with_retry_after():
    """Otherwise it fails after seven hops, whose work is wasted."""
    fixture = PolicyFixture()
    fixture.report_demands(
        [ServiceDemand("desk", 1.0, 3.0), ServiceDemand("yard", 4.0, 3.0, 0.4)]
    )
    results = [fixture.admit() for _ in range(20)]
    refusals = [item for item in results if isinstance(item, Refusal)]
    assert len(refusals) >= 17
    expected = (Reason.OVERLOAD, Ran.NOT_RUN, FAIL_FAST_RETRY_SECONDS, "entry", "yard")
    assert {tuple(item[:5]) for item in refusals} == {expected}
    assert isinstance(fixture.admit("/order/1"), AdmittedRequest)


def test_call_of_a_target_is_not_shed():
    """The request for which it is made is already running."""
    fixture = PolicyFixture()
    fixture.report_demands([ServiceDemand("yard", 4.0, 0.4, 0.1)], "r-inner")
    assert isinstance(fixture.admit("/inner/1", "", peer="10.0.0.1:9"), AdmittedRequest)

"""What may enter: routes, keys, and requests that would be wasted work."""

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
SOURCE = json.dumps(configuration(1)).encode()
SETTINGS = HostSettings(
    "n1",
    "a",
    "desk",
    "10.0.0.1:80",
    Listeners("", "", "", "", "", "", ""),
    StoreSettings(""),
    Bounds(),
    1 << 28,
)


class Entry:
    """An entry with one configuration, and what it has learned."""

    def __init__(self):
        self.chains = CallGraph()
        self.levels = AdmissionLevelTable(random.Random(1))
        journal = Journal("n1")
        self.policy = AdmissionPolicy(
            SETTINGS, FanoutEstimator(), self.chains, self.levels, journal
        )
        self.configuration = decode_configuration(SOURCE)

    def hear(self, demands, route="r-read", times=20):
        for _ in range(times):
            self.chains.update(route, demands)
            self.levels.update(demands, NOW)

    def admit(self, path="/read/1", key=KEY, host=HOST, peer="10.0.0.9:1"):
        claims = CallerMetadata("id", host, key, 4.0, [])
        request = Request("GET", path, [])
        return self.policy.admit(self.configuration, peer, request, claims, NOW)


@pytest.mark.parametrize(
    "changes, reason",
    [
        ({"path": "/other/1"}, Reason.NO_ROUTE),
        ({"host": "other.example"}, Reason.NO_ROUTE),
        ({"key": "wrong"}, Reason.KEY_UNKNOWN),
        ({"key": ""}, Reason.KEY_MISSING),
    ],
)
def test_request_that_the_configuration_does_not_allow_is_refused(changes, reason):
    refusal = Entry().admit(**changes)
    assert isinstance(refusal, Refusal)
    assert (refusal.reason, refusal.ran) == (reason, Ran.NOT_RUN)


def test_call_of_the_local_target_is_told_by_its_address_and_route():
    entry = Entry()
    assert entry.admit("/inner/1", key="", peer="10.0.0.1:9").from_target
    assert not entry.admit("/inner/1", key="").from_target
    assert not entry.admit(peer="10.0.0.1:9").from_target


def test_request_whose_calls_would_be_rejected_is_refused_with_a_time():
    """It would end with a failure after seven hops of work for nothing."""
    entry = Entry()
    entry.hear([ServiceDemand("desk", 1.0, 3.0), ServiceDemand("yard", 4.0, 3.0, 0.4)])
    refusals = [entry.admit() for _ in range(20)]
    refused = [item for item in refusals if isinstance(item, Refusal)]
    assert len(refused) >= 17
    expected = (Reason.OVERLOAD, Ran.NOT_RUN, FAIL_FAST_RETRY_SECONDS, "entry", "yard")
    assert {tuple(item[:5]) for item in refused} == {expected}
    assert isinstance(entry.admit("/order/1"), AdmittedRequest)


def test_call_of_a_target_is_not_refused_for_pressure():
    """The work above it is under way."""
    entry = Entry()
    entry.hear([ServiceDemand("yard", 4.0, 0.4, 0.1)], "r-inner")
    assert isinstance(entry.admit("/inner/1", "", peer="10.0.0.1:9"), AdmittedRequest)

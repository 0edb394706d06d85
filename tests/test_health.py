"""Confirmation of heartbeats and deregistrations of the local target."""

import json

import curio
import pytest

from carawaywheel.http import Request
from carawaywheel.mesh.health import HeartbeatHandler
from carawaywheel.mesh.target import LocalTarget, Phase

SERVICE, ADDRESS = "desk", "10.0.0.1:80"
PATH = "/api/instances/i-1"
NOW = 1000.0


class Exchange:
    """Exchange that holds a body and keeps the status of the response."""

    def __init__(self, body):
        self.body = body
        self.status = 0

    async def read_body(self, limit):
        return self.body

    async def respond(self, status, headers, body):
        self.status = status


class Events(list):
    """Journal that keeps the names of events."""

    def write(self, event, **fields):
        self.append(event)


class Node:
    """A handler with the state that it publishes.

    Attributes:
        saved: Whether what it publishes is saved in time.
        published: Phases that it has published.
    """

    def __init__(self):
        self.saved = True
        self.published = []
        self.events = Events()
        self.target = LocalTarget(SERVICE, ADDRESS)
        self.handler = HeartbeatHandler(
            self.target, self.publish, self.is_saved, self.events, lambda: NOW
        )

    async def publish(self):
        self.published.append(self.target.phase)

    async def is_saved(self):
        return self.saved

    def send(self, method, document=None, body=b""):
        exchange = Exchange(json.dumps(document).encode() if document else body)
        curio.run(self.handler.handle, exchange, Request(method, PATH, []))
        return exchange.status


def heartbeat(sequence=1, phase="ready", born=900_000):
    return {
        "address": ADDRESS,
        "born": born,
        "info": {"service": SERVICE, "zone": "a", "capacity": 5},
        "status": {"phase": phase, "sequence": sequence},
    }


def test_deregistration_before_any_heartbeat_is_published():
    """Guards against a node that has just started and forgets what it confirms."""
    node = Node()
    assert node.send("DELETE", {"born": 900_000}) == 200
    assert node.published == [None] and node.target.leaving
    assert node.send("PUT", heartbeat()) == 200
    assert not node.target.ready and "heartbeat_late" in node.events
    assert node.send("PUT", heartbeat(born=900_001)) == 200
    assert node.target.ready


@pytest.mark.parametrize("body", [b"", b"{}", b'{"born": "x"}', b"\xff"])
def test_deregistration_without_an_incarnation_ends_the_one_that_is_known(body):
    node = Node()
    node.send("PUT", heartbeat(born=2_000_000))
    assert node.send("DELETE", body=body) == 200
    assert node.target.phase is Phase.GONE
    node.send("PUT", heartbeat(sequence=2, born=2_000_000))
    assert node.target.phase is Phase.GONE


def test_deregistration_without_an_incarnation_ends_all_that_have_begun():
    node = Node()
    assert node.send("DELETE") == 200
    node.send("PUT", heartbeat(born=int(NOW * 1000) - 1))
    assert not node.target.ready
    node.send("PUT", heartbeat(born=int(NOW * 1000) + 1))
    assert node.target.ready


@pytest.mark.parametrize(
    "request_", [("DELETE", None), ("PUT", heartbeat(2, "draining"))]
)
def test_leaving_that_is_not_saved_is_not_confirmed(request_):
    """Guards against a confirmation that the next process does not know of."""
    node = Node()
    node.send("PUT", heartbeat())
    node.saved = False
    assert node.send(*request_) == 503
    assert not node.target.ready and "leaving_not_saved" in node.events
    assert node.send(*request_) == 503
    node.saved = True
    assert node.send(*request_) == 200


def test_ready_heartbeat_does_not_wait_to_be_saved():
    node = Node()
    node.saved = False
    assert node.send("PUT", heartbeat()) == 200
    assert node.send("PUT", heartbeat(2)) == 200
    assert node.published == [Phase.READY]

"""Calls to the nodes beside other targets."""

import curio
import pytest

from carawaywheel.errors import PeerError
from carawaywheel.http import Request
from carawaywheel.mesh.frames import ResponseFrame
from carawaywheel.mesh.messages import Call, CallReply
from carawaywheel.mesh.peers import PeerClient

REPLY = CallReply("", "", None, 0.0, True, 1, [])
CALL = Call("id", "yard", "r-order", 5.0, 0, "", "desk", False, False, False, False, 1)


class AnsweringLink:
    """Link to a node that has run the call and exits before its response is fetched."""

    async def call(self, call, request, headers, body, target_rate, may_wait):
        return ResponseFrame(1, REPLY, 200, [], b"", "rest-1")


def test_call_whose_response_cannot_be_fetched_may_have_run(monkeypatch):
    """It was reported as not run, so that it could run a second time elsewhere."""
    client = PeerClient(1)

    async def get_link(address):
        return AnsweringLink()

    monkeypatch.setattr(client.link_pool, "get_link", get_link)
    request = Request("POST", "/order/1", [])
    with pytest.raises(PeerError) as failure:
        curio.run(client.call, "127.0.0.1:1", CALL, request, [], b"x")
    assert failure.value.maybe_sent

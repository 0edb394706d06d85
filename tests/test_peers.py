"""Calls to the nodes beside other targets."""

from types import SimpleNamespace

import curio
import pytest

from carawaywheel.connectionmonitor import ConnectionMonitor
from carawaywheel.errors import PeerError, ProtocolError
from carawaywheel.http import BodyBudget, Request
from carawaywheel.listener import Listener
from carawaywheel.mesh.frames import MAX_FRAME_BODY_BYTES, ResponseFrame
from carawaywheel.mesh.inbound import PeerHandler
from carawaywheel.mesh.messages import Call, CallReply, decode_warmup
from carawaywheel.mesh.peers import PeerClient
from carawaywheel.mesh.responses import BufferedResponse
from carawaywheel.mesh.warmupshare import WARM, WarmupReport
from carawaywheel.refusals import Ran, Reason, Refusal
from carawaywheel.sockets import open_listener

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


class ColdRunner:
    """Runner beside a cold target, which refuses calls that may not wait."""

    async def run(self, call, request, headers, body, may_wait, progress):
        if not may_wait:
            return Refusal(Reason.QUEUE_FULL, Ran.NOT_RUN, 0.3, "warm-up")
        return BufferedResponse(200, [], str(len(body)).encode())

    def build_reply(self, route, refusal):
        reason = (refusal.reason.value, refusal.ran.value) if refusal else ("", "")
        return REPLY._replace(reason=reason[0], ran=reason[1])

    def warmup_report(self):
        return WarmupReport(2.5, 0.125)

    def log_refused_call(self, call, refusal):
        pass


async def call_with_large_body(may_wait):
    monitor = SimpleNamespace(observe_caller=lambda peer, version: None)
    listener = Listener(
        "peers",
        open_listener("127.0.0.1", 0),
        PeerHandler(ColdRunner(), monitor, SimpleNamespace()),
        ConnectionMonitor(),
        10,
        BodyBudget(10_000_000),
    )
    task = await curio.spawn(listener.run, daemon=True)
    body = bytes(MAX_FRAME_BODY_BYTES + 1)
    response = await PeerClient(1).call(
        listener.address, CALL, Request("POST", "/x", []), [], body, None, may_wait
    )
    await task.cancel()
    return response


def test_call_with_a_large_body_carries_the_warm_up_as_well():
    """Guards against uploads that flood a cold target, or that are always refused."""
    waiting = curio.run(call_with_large_body, True)
    assert waiting.result.body == str(MAX_FRAME_BODY_BYTES + 1).encode()
    refused = curio.run(call_with_large_body, False)
    assert refused.result.reason is Reason.QUEUE_FULL
    assert waiting.warmup == refused.warmup == WarmupReport(2.5, 0.125)


@pytest.mark.parametrize("value", ["[1.0]", "[1.0,null]", "{", '["x",1.0]'])
def test_malformed_warm_up_is_a_protocol_error(value):
    with pytest.raises(ProtocolError, match="peer"):
        decode_warmup(value, "peer")


@pytest.mark.parametrize("figures", [(-1.0, 0.5), (1.0, 0.0), (1.0, 1.5)])
def test_unusable_warm_up_is_recognized(figures):
    """Guards against an error of the router, or a target that is never used again."""
    nan, inf = float("nan"), float("inf")
    assert not WarmupReport(*figures).is_valid
    assert not WarmupReport(inf, 0.5).is_valid
    assert not WarmupReport(1.0, nan).is_valid
    assert WarmupReport(1.0, 0.5).is_valid and WARM.is_valid

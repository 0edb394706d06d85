"""Links between nodes: multiplexing, framing, failure and cancellation of calls."""

from types import SimpleNamespace

import curio
import msgspec
import pytest
from curio import socket
from hypothesis import given
from hypothesis import strategies as st

from carawaywheel.errors import PeerError, ProtocolError
from carawaywheel.http import Request
from carawaywheel.mesh.frames import (
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
    CallFrame,
    CancelFrame,
    FrameDecoder,
    ResponseFrame,
    encode_frame,
)
from carawaywheel.mesh.journal import Journal
from carawaywheel.mesh.links import (
    FrameConnection,
    Link,
    LinkServer,
    result_from_frame,
)
from carawaywheel.mesh.messages import Call, CallReply
from carawaywheel.mesh.responses import BufferedResponse
from carawaywheel.mesh.warmupshare import WARM
from carawaywheel.refusals import Ran, Reason

CALL = Call("a1", "s", "r", 1.0, 1, "mill", "o", False, False, False, True, 3)
REPLY = CallReply("", "", None, 0.1, True, 3, [])


def make_call_frame(number, body=b""):
    return CallFrame(number, CALL, "GET", "/x", [(b"host", b"h")], body)


def make_response_frame(number):
    return ResponseFrame(number, REPLY, 200, [], str(number).encode(), "")


@given(st.lists(st.integers(1, 60), max_size=30))
def test_frames_are_decoded_from_any_split_of_the_bytes(sizes):
    frames = [
        make_call_frame(1, b"body"),
        CancelFrame(1),
        make_call_frame(2, bytes(300)),
    ]
    data = b"".join(map(encode_frame, frames))
    decoder = FrameDecoder("peer")
    decoded, offset = [], 0
    for size in [*sizes, len(data)]:
        decoded += decoder.feed(data[offset : offset + size])
        offset += size
    assert decoded == frames


@pytest.mark.parametrize(
    "data",
    [
        LENGTH_PREFIX.pack(MAX_FRAME_BYTES + 1),
        LENGTH_PREFIX.pack(3) + b"abc",
        LENGTH_PREFIX.pack(2) + b"\x91\x07",
    ],
)
def test_oversized_or_malformed_frame_is_rejected(data):
    with pytest.raises(ProtocolError, match="peer"):
        FrameDecoder("peer").feed(data)


async def send_while_blocked(count, size):
    local, remote = socket.socketpair()
    connection = FrameConnection(local, "peer")
    writer_task = await curio.spawn(connection.run_writes, daemon=True)
    received = []

    async def read():
        decoder = FrameDecoder("peer")
        while len(received) < count:
            await curio.sleep(0)
            received.extend(decoder.feed(await remote.recv(5000)))

    reader_task = await curio.spawn(read)
    for number in range(count):
        await connection.write(make_call_frame(number, bytes(size)))
        if number % 3 == 0:
            await curio.sleep(0)
    await curio.timeout_after(10.0, reader_task.join)
    await writer_task.cancel()
    return [frame.number for frame in received]


def test_frames_stay_in_order_with_a_slow_reader():
    assert curio.run(send_while_blocked, 200, 60_000) == list(range(200))


async def send_after_partial_write():
    local, remote = socket.socketpair()
    connection = FrameConnection(local, "peer")
    writer_task = await curio.spawn(connection.run_writes, daemon=True)
    await connection.write(make_call_frame(1, bytes(500_000)))
    for _ in range(3):
        await curio.sleep(0)
    # The rest of the first frame is queued; the socket accepts more bytes after this.
    data = remote._socket.recv(100_000)
    await connection.write(CancelFrame(1))
    decoder = FrameDecoder("peer")
    decoded = decoder.feed(data)
    while len(decoded) < 2:
        decoded += decoder.feed(await remote.recv(100_000))
    await writer_task.cancel()
    return [type(frame) for frame in decoded]


def test_frame_does_not_interleave_with_a_partly_sent_one():
    assert curio.run(send_after_partial_write) == [CallFrame, CancelFrame]


class FormerCallFrame(msgspec.Struct, array_like=True, tag=1):
    """The frame of versions that know no rate limits of targets."""

    number: int
    call: Call
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


def test_calls_pass_between_this_version_and_one_without_rate_limits():
    frame = make_call_frame(7)
    frame.target_rate = 8.0
    content = encode_frame(frame)[LENGTH_PREFIX.size :]
    former = msgspec.msgpack.decode(content, type=FormerCallFrame)
    assert (former.number, former.call) == (7, CALL)
    data = msgspec.msgpack.encode(former)
    (received,) = FrameDecoder("peer").feed(LENGTH_PREFIX.pack(len(data)) + data)
    assert received == make_call_frame(7)


class FormerResponseFrame(msgspec.Struct, array_like=True, tag=3):
    """The frame of versions that know no cold targets."""

    number: int
    reply: CallReply
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    rest: str


def test_frames_pass_between_this_version_and_one_without_cold_targets():
    """Guards against a rollout in which nodes reject each other's frames."""
    call = make_call_frame(7)
    call.may_wait = True
    former_call = msgspec.msgpack.decode(
        encode_frame(call)[LENGTH_PREFIX.size :], type=FormerCallFrame
    )
    assert former_call.number == 7
    response = make_response_frame(8)
    response.cold_remaining, response.cold_share = 2.5, 0.125
    content = encode_frame(response)[LENGTH_PREFIX.size :]
    former = msgspec.msgpack.decode(content, type=FormerResponseFrame)
    assert (former.number, former.reply) == (8, REPLY)
    data = msgspec.msgpack.encode(former)
    (received,) = FrameDecoder("peer").feed(LENGTH_PREFIX.pack(len(data)) + data)
    assert received == make_response_frame(8)


class SlowRunner:
    """Runs a call until it is told to end, and returns a large response."""

    def __init__(self):
        self.ended = curio.Event()

    async def run(
        self, call, request, headers, body, remembered_rate, may_wait, progress
    ):
        await self.ended.wait()
        return BufferedResponse(200, [], bytes(500_000))

    def build_reply(self, route, refusal):
        return REPLY

    def warmup_report(self):
        return WARM


async def start_call(local, remote):
    """Serve a link on which a call waits for its end.

    Returns:
        The server, the event that ends the call, and the task that serves the link.
    """
    runner = SlowRunner()
    monitor = SimpleNamespace(observe_caller=lambda peer, version: None)
    server = LinkServer(None, runner, monitor, SimpleNamespace(), None)
    server_task = await curio.spawn(server.serve, FrameConnection(local, "peer"))
    await curio.sleep(0)
    assert server.is_idle
    await remote.sendall(encode_frame(make_call_frame(1)))
    while not server.calls_in_progress:
        await curio.sleep(0)
    assert not server.is_idle
    return server, runner.ended, server_task


class FormerCancelFrame(msgspec.Struct, array_like=True, tag=2):
    number: int


def test_former_versions_read_a_cancel_frame_that_is_only_for_waiting_calls():
    content = msgspec.msgpack.encode(CancelFrame(3, True))
    former = msgspec.msgpack.decode(content, type=FormerCancelFrame)
    assert former == FormerCancelFrame(3)
    content = msgspec.msgpack.encode(former)
    assert msgspec.msgpack.decode(content, type=CancelFrame) == CancelFrame(3, False)


class StagedRunner(SlowRunner):
    """Runs calls that wait or have begun, by their numbers."""

    async def run(
        self, call, request, headers, body, remembered_rate, may_wait, progress
    ):
        progress.begun = headers == [(b"begun", b"1")]
        await self.ended.wait()
        return BufferedResponse(200, [], b"done")

    def build_reply(self, route, refusal):
        if refusal is None:
            return REPLY
        fields = refusal.reason.value, refusal.ran.value, refusal.retry_after
        return CallReply(*fields, 0.1, True, 3, [])


async def cancel_waiting_calls():
    local, remote = socket.socketpair()
    runner, journal = StagedRunner(), Journal("n")
    monitor = SimpleNamespace(observe_caller=lambda peer, version: None)
    server = LinkServer(None, runner, monitor, journal, None)
    await curio.spawn(server.serve, FrameConnection(remote, "peer"), daemon=True)
    link = Link(local, "peer")
    await curio.spawn(link.run, daemon=True)
    request = Request("GET", "/x", [])
    calls = [
        await curio.spawn(link.call, CALL, request, headers, b"")
        for headers in ([], [(b"begun", b"1")])
    ]
    while server.calls_in_progress < len(calls):
        await curio.sleep(0)
    await link.cancel_waiting()
    waiting = await calls[0].join()
    await runner.ended.set()
    return result_from_frame(waiting, "peer")[0], (await calls[1].join()).body


def test_only_calls_that_have_not_begun_are_refused_when_waiting_calls_are_cancelled():
    """Guards against a stop that cuts off calls in a queue without saying so."""
    refusal, body = curio.run(cancel_waiting_calls)
    assert (refusal.reason, refusal.ran) == (Reason.CANCELLED, Ran.NOT_RUN)
    assert body == b"done"


async def receive_response(remote, pause=0.0):
    """Receive one response, and wait for some time after it."""
    decoder, decoded = FrameDecoder("peer"), []
    while not decoded:
        decoded = decoder.feed(await remote.recv(100_000))
    await curio.sleep(pause)


async def serve_large_response():
    local, remote = socket.socketpair()
    server, ended, server_task = await start_call(local, remote)
    await ended.set()
    while server.calls_in_progress:
        await curio.sleep(0)
    states = [server.is_idle]
    await receive_response(remote)
    states.append(server.is_idle)
    await remote.close()
    await server_task.join()
    return states


def test_link_is_idle_only_when_the_whole_response_has_been_sent():
    """A node that exits before loses the response of a call that has run."""
    assert curio.run(serve_large_response) == [False, True]


async def connect_with_small_window():
    """Return both ends of a connection; the first one has the larger buffer."""
    async with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        remote = socket.socket()
        remote.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await remote.connect(listener.getsockname())
        local, _ = await listener.accept()
    local.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2_000_000)
    return local, remote


async def serve_slow_reader():
    local, remote = await connect_with_small_window()
    server, ended, server_task = await start_call(local, remote)
    await ended.set()
    (connection,) = server.connections
    while server.calls_in_progress or connection.has_unsent_bytes:
        await curio.sleep(0.01)
    states = [server.is_idle]
    await receive_response(remote, 0.1)
    states.append(server.is_idle)
    await remote.close()
    await server_task.join()
    return states


def test_link_is_not_idle_while_a_response_waits_in_the_kernel():
    """Guards against an exit that resets a link below the response of a call."""
    assert curio.run(serve_slow_reader) == [False, True]


async def receive_out_of_order():
    local, remote = socket.socketpair()
    link = Link(local, "peer")
    link_task = await curio.spawn(link.run, daemon=True)
    request = Request("GET", "/x", [])
    call_tasks = [
        await curio.spawn(link.call, CALL, request, [], b"") for _ in range(3)
    ]
    await curio.sleep(0)
    for number in (3, 1, 7, 2):
        await remote.sendall(encode_frame(make_response_frame(number)))
    bodies = [(await call_task.join()).body for call_task in call_tasks]
    await link_task.cancel()
    return bodies


def test_each_call_gets_its_own_response():
    assert curio.run(receive_out_of_order) == [b"1", b"2", b"3"]


async def break_link():
    local, remote = socket.socketpair()
    link = Link(local, "peer")
    await curio.spawn(link.run, daemon=True)
    call_task = await curio.spawn(link.call, CALL, Request("GET", "/x", []), [], b"")
    await curio.sleep(0)
    await remote.close()
    with pytest.raises(curio.TaskError) as error:
        await call_task.join()
    first_error = error.value.__cause__
    with pytest.raises(PeerError) as second_error:
        await link.call(CALL, Request("GET", "/x", []), [], b"")
    return first_error.maybe_sent, second_error.value.maybe_sent


def test_calls_in_flight_on_a_failed_link_are_maybe_sent_and_later_ones_not():
    assert curio.run(break_link) == (True, False)


async def cancel_call():
    local, remote = socket.socketpair()
    link = Link(local, "peer")
    await curio.spawn(link.run, daemon=True)
    call_task = await curio.spawn(link.call, CALL, Request("GET", "/x", []), [], b"")
    await curio.sleep(0)
    await call_task.cancel()
    frames = FrameDecoder("peer").feed(await remote.recv(10000))
    return frames[-1]


def test_cancelled_call_sends_a_cancel_frame():
    assert curio.run(cancel_call) == CancelFrame(1)

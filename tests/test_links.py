"""Links: frames of many calls share a connection and never mix."""

import curio
import pytest
from curio import socket
from hypothesis import given
from hypothesis import strategies as st

from carawaywheel.errors import PeerError, ProtocolError
from carawaywheel.http import Request
from carawaywheel.mesh.frames import (
    FRAME_BYTES_MAX,
    LENGTH_PREFIX,
    CallFrame,
    CancelFrame,
    FrameDecoder,
    ResponseFrame,
    encode_frame,
)
from carawaywheel.mesh.links import FrameConnection, Link
from carawaywheel.mesh.messages import Call, CallReply

CALL = Call("a1", "s", "r", 1.0, 1, "mill", "o", False, False, False, True, 3)
REPLY = CallReply("", "", None, 0.1, True, 3, [])


def call_frame(number, body=b""):
    return CallFrame(number, CALL, "GET", "/x", [(b"host", b"h")], body)


def answer_frame(number):
    return ResponseFrame(number, REPLY, 200, [], str(number).encode(), "")


@given(st.lists(st.integers(1, 60), max_size=30))
def test_frames_are_found_wherever_the_bytes_are_split(sizes):
    frames = [call_frame(1, b"body"), CancelFrame(1), call_frame(2, bytes(300))]
    data = b"".join(map(encode_frame, frames))
    buffer = FrameDecoder("peer")
    found, at = [], 0
    for size in [*sizes, len(data)]:
        found += buffer.feed(data[at : at + size])
        at += size
    assert found == frames


@pytest.mark.parametrize(
    "data",
    [
        LENGTH_PREFIX.pack(FRAME_BYTES_MAX + 1),
        LENGTH_PREFIX.pack(3) + b"abc",
        LENGTH_PREFIX.pack(2) + b"\x91\x07",
    ],
)
def test_bytes_that_are_no_frame_are_refused(data):
    with pytest.raises(ProtocolError, match="peer"):
        FrameDecoder("peer").feed(data)


async def send_while_blocked(count, size):
    left, right = socket.socketpair()
    channel = FrameConnection(left, "peer")
    writer = await curio.spawn(channel.run_writes, daemon=True)
    received = []

    async def read():
        buffer = FrameDecoder("peer")
        while len(received) < count:
            await curio.sleep(0)
            received.extend(buffer.feed(await right.recv(5000)))

    reader = await curio.spawn(read)
    for number in range(count):
        await channel.write(call_frame(number, bytes(size)))
        if number % 3 == 0:
            await curio.sleep(0)
    await curio.timeout_after(10.0, reader.join)
    await writer.cancel()
    return [frame.number for frame in received]


def test_frames_stay_in_order_while_the_other_side_reads_slowly():
    assert curio.run(send_while_blocked, 200, 60_000) == list(range(200))


async def send_into_a_gap():
    left, right = socket.socketpair()
    channel = FrameConnection(left, "peer")
    writer = await curio.spawn(channel.run_writes, daemon=True)
    await channel.write(call_frame(1, bytes(500_000)))
    for _ in range(3):
        await curio.sleep(0)
    # The rest of the first frame waits for the socket, which now takes some bytes.
    data = right._socket.recv(100_000)
    await channel.write(CancelFrame(1))
    buffer = FrameDecoder("peer")
    found = buffer.feed(data)
    while len(found) < 2:
        found += buffer.feed(await right.recv(100_000))
    await writer.cancel()
    return [type(frame) for frame in found]


def test_frame_does_not_cut_into_an_earlier_one():
    assert curio.run(send_into_a_gap) == [CallFrame, CancelFrame]


async def answers_out_of_order():
    left, right = socket.socketpair()
    link = Link(left, "peer")
    running = await curio.spawn(link.run, daemon=True)
    request = Request("GET", "/x", [])
    calls = [await curio.spawn(link.call, CALL, request, [], b"") for _ in range(3)]
    await curio.sleep(0)
    for number in (3, 1, 7, 2):
        await right.sendall(encode_frame(answer_frame(number)))
    found = [(await task.join()).body for task in calls]
    await running.cancel()
    return found


def test_each_call_gets_its_own_answer():
    assert curio.run(answers_out_of_order) == [b"1", b"2", b"3"]


async def broken_link():
    left, right = socket.socketpair()
    link = Link(left, "peer")
    await curio.spawn(link.run, daemon=True)
    task = await curio.spawn(link.call, CALL, Request("GET", "/x", []), [], b"")
    await curio.sleep(0)
    await right.close()
    with pytest.raises(curio.TaskError) as error:
        await task.join()
    failure = error.value.__cause__
    with pytest.raises(PeerError) as later:
        await link.call(CALL, Request("GET", "/x", []), [], b"")
    return failure.maybe_sent, later.value.maybe_sent


def test_calls_on_a_broken_link_may_have_run_and_later_ones_have_not():
    assert curio.run(broken_link) == (True, False)


async def cancelled_call():
    left, right = socket.socketpair()
    link = Link(left, "peer")
    await curio.spawn(link.run, daemon=True)
    task = await curio.spawn(link.call, CALL, Request("GET", "/x", []), [], b"")
    await curio.sleep(0)
    await task.cancel()
    frames = FrameDecoder("peer").feed(await right.recv(10000))
    return frames[-1]


def test_cancelled_call_is_cancelled_at_the_other_side():
    assert curio.run(cancelled_call) == CancelFrame(1)

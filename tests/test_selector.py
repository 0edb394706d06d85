import socket
import time

import curio
import pytest

from carawaywheel.http import open_connection, receive_when_ready
from carawaywheel.selector import (
    MAX_SKIPPED_POLLS,
    READ,
    WRITE,
    LazySelector,
    coalesced_timeout,
)


@pytest.fixture
def selector():
    selector = LazySelector()
    yield selector
    selector.close()


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    yield ours, theirs
    ours.close()
    theirs.close()


def poll(selector):
    """Poll with a timeout, which is never skipped."""
    return selector.select(0.02)


def test_socket_registered_again_reports_its_input(selector, pair):
    ours, theirs = pair
    selector.register(ours, READ, "first")
    selector.unregister(ours)
    selector.register(ours, READ, "second")
    theirs.send(b"x")
    ((key, events),) = poll(selector)
    assert (key.data, events) == ("second", READ)


def test_input_of_an_unregistered_socket_is_reported_once_registered_again(
    selector, pair
):
    ours, theirs = pair
    selector.register(ours, READ)
    selector.unregister(ours)
    theirs.send(b"x")
    assert poll(selector) == []
    started = time.monotonic()
    assert poll(selector) == []
    assert time.monotonic() - started > 0.01, (
        "the poll returned at once, so the idle socket is still watched"
    )
    selector.register(ours, READ, "later")
    assert [key.data for key, _ in poll(selector)] == ["later"]


def test_reused_descriptor_of_a_closed_socket_reports_the_new_socket(selector):
    ours, theirs = socket.socketpair()
    number = ours.fileno()
    selector.register(ours, READ, "closed")
    selector.unregister(ours)
    ours.close()
    theirs.close()
    ours, theirs = socket.socketpair()
    assert ours.fileno() == number
    selector.register(ours, READ, "new")
    theirs.send(b"x")
    assert [key.data for key, _ in poll(selector)] == ["new"]
    ours.close()
    theirs.close()


def test_modified_events_are_reported(selector, pair):
    ours, theirs = pair
    selector.register(ours, READ)
    selector.modify(ours, READ | WRITE, "both")
    assert [(key.data, events) for key, events in poll(selector)] == [("both", WRITE)]


def test_polls_are_skipped_only_a_few_times_in_a_row(selector, pair):
    ours, theirs = pair
    selector.register(ours, READ)
    theirs.send(b"x")
    polls = [selector.select(0) for _ in range(MAX_SKIPPED_POLLS + 1)]
    assert [bool(found) for found in polls] == [False] * MAX_SKIPPED_POLLS + [True]


def test_timeouts_end_at_a_multiple_of_the_timer_slack():
    assert coalesced_timeout(0.001, 5.0) == pytest.approx(0.01)
    assert coalesced_timeout(0.012, 5.005) == pytest.approx(0.015)


def test_curio_serves_connections_with_the_selector():
    """Lets a server and a client exchange many messages on one event loop."""

    async def echo(client, address):
        async with client:
            while data := await receive_when_ready(client, 100):
                await client.sendall(data)

    async def run():
        server = curio.tcp_server_socket("127.0.0.1", 0)
        port = server.getsockname()[1]
        task = await curio.spawn(curio.network.run_server, server, echo)
        answers = []
        for _ in range(3):
            sock = await open_connection("127.0.0.1", port)
            async with sock:
                for number in range(20):
                    await sock.sendall(b"%d" % number)
                    answers.append(int(await receive_when_ready(sock, 100)))
        await task.cancel()
        return answers

    assert curio.run(run, selector=LazySelector()) == list(range(20)) * 3

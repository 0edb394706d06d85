"""Requests that callers send before earlier ones are answered."""

import time

import curio
import pytest

from carawaywheel.errors import ProtocolError
from carawaywheel.http import BodyBudget
from carawaywheel.listener import HangupMonitor, Listener, RequestHandler
from carawaywheel.sockets import open_listener


class Sleeper(RequestHandler):
    """Answers after the time that the path names in milliseconds."""

    def __init__(self):
        self.running = 0
        self.most = 0
        self.began = []
        self.cancelled = []

    def may_overlap(self, request):
        return request.method == "GET" and "once" not in request.path

    async def handle(self, connection, request):
        self.running += 1
        self.most = max(self.most, self.running)
        self.began.append(request.path)
        try:
            body = await connection.read_body(100)
            await curio.sleep(int(request.path.split("/")[1]) / 1000)
            if "cut" in request.path:
                await connection.wait_for_earlier_responses()
                await connection.write(
                    connection.encode_head(200, [(b"content-length", b"9")])
                )
                raise ProtocolError("the answer was cut", "test", "test")
            await connection.respond(200, [], request.path.encode() + body)
        except curio.CancelledError:
            self.cancelled.append(request.path)
            raise
        finally:
            self.running -= 1


def get(*paths):
    return b"".join(b"GET %b HTTP/1.1\r\nhost: x\r\n\r\n" % p.encode() for p in paths)


def converse(script, seconds=3.0):
    """Run a script against a listener; return the handler and what was received."""
    handler = Sleeper()

    async def run():
        listener = Listener(
            "test",
            open_listener("127.0.0.1", 0),
            handler,
            HangupMonitor(),
            10,
            BodyBudget(999),
        )
        host, port = listener.address.split(":")
        tasks = [
            await curio.spawn(listener.run, daemon=True),
            await curio.spawn(listener.hangup_monitor.run, daemon=True),
        ]
        client = await curio.open_connection(host, int(port))
        result = await curio.ignore_after(seconds, script, client, listener)
        await client.close()
        await curio.sleep(0.3)
        for task in tasks:
            await task.cancel()
        return result

    return handler, curio.run(run)


async def receive(client, answers):
    """Return the bodies of some answers, or what came until the end."""
    data = b""
    while data.count(b"HTTP/1.1 200") < answers or not data.endswith(b"!"):
        part = await client.recv(10000)
        if not part:
            return data
        data += part
    return data


def bodies(data):
    return [
        part.partition(b"\r\n\r\n")[2].decode() for part in data.split(b"HTTP/1.1 ")[1:]
    ]


def test_requests_behind_a_slow_one_run_beside_it_and_answers_keep_their_order():
    """Guards against reads that miss their objective behind one another."""

    async def script(client, listener):
        await client.sendall(get("/300/a", "/1/b", "/200/c", "/100/d!"))
        started = time.monotonic()
        return bodies(await receive(client, 4)), time.monotonic() - started

    handler, (answers, seconds) = converse(script)
    assert answers == ["/300/a", "/1/b", "/200/c", "/100/d!"]
    assert handler.most == 4 and seconds < 0.55


def test_request_that_arrives_a_little_later_overlaps_from_then_on():
    async def script(client, listener):
        await client.sendall(get("/100/a"))
        await curio.sleep(0.03)
        await client.sendall(get("/200/b", "/200/c!"))
        return bodies(await receive(client, 3))

    handler, answers = converse(script)
    assert answers == ["/100/a", "/200/b", "/200/c!"] and handler.most == 2


def test_request_that_must_not_be_repeated_waits_for_earlier_ones():
    """Its caller sends it again if an earlier answer closes the connection."""

    async def script(client, listener):
        await client.sendall(get("/100/a", "/50/once", "/1/b!"))
        return bodies(await receive(client, 3))

    handler, answers = converse(script)
    assert answers == ["/100/a", "/50/once", "/1/b!"] and handler.most == 1


def test_request_with_a_body_keeps_its_place():
    async def script(client, listener):
        post = b"POST /1/p HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc"
        await client.sendall(get("/100/a", "/50/b") + post + get("/1/c!"))
        return bodies(await receive(client, 4))

    assert converse(script)[1] == ["/100/a", "/50/b", "/1/pabc", "/1/c!"]


def test_leaving_caller_cancels_all_of_them():
    async def script(client, listener):
        await client.sendall(get("/2000/a", "/2000/b", "/2000/c"))
        await curio.sleep(0.1)
        await client.close()

    handler, _ = converse(script)
    assert sorted(handler.cancelled) == ["/2000/a", "/2000/b", "/2000/c"]


def test_cut_answer_ends_the_connection_and_nothing_follows():
    """A later answer would be taken for the rest of the one that was cut."""

    async def script(client, listener):
        await client.sendall(get("/150/a", "/100/cut", "/1/c", "/300/d"))
        return bodies(await receive(client, 9))

    handler, answers = converse(script)
    assert answers == ["/150/a", ""]


def test_closing_listener_answers_what_was_read_and_says_close_once():
    async def script(client, listener):
        await client.sendall(get("/200/a", "/100/b", "/1/c"))
        await curio.sleep(0.05)
        listener.drain()
        return await receive(client, 9)

    _, data = converse(script)
    assert bodies(data) == ["/200/a", "/100/b", "/1/c"]
    assert data.count(b"connection: close") == 1
    assert b"connection: close" in data.split(b"HTTP/1.1 ")[3]


@pytest.mark.parametrize("bad", [b"nonsense\r\n\r\n", get("/1/a\x01")])
def test_bad_input_is_answered_after_earlier_requests(bad):
    async def script(client, listener):
        await client.sendall(get("/100/a", "/50/b") + bad)
        return await receive(client, 9)

    data = converse(script)[1]
    assert [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]] == [
        b"200",
        b"200",
        b"400",
    ]


def test_stop_does_not_wait_for_requests_that_overlap():
    """Curio cancels the newest task first and waits for its end.

    A request that waited for the turn of an earlier one, which is cancelled later, held
    up the end of the process until the earlier one was answered.
    """

    async def script(client, listener):
        await client.sendall(get("/3000/a", "/3000/b", "/3000/c"))
        await curio.sleep(0.1)

    async def run():
        sock = open_listener("127.0.0.1", 0)
        listener = Listener("test", sock, Sleeper(), HangupMonitor(), 10, BodyBudget(9))
        host, port = listener.address.split(":")
        await curio.spawn(listener.run, daemon=True)
        client = await curio.open_connection(host, int(port))
        await script(client, listener)
        return client

    started = time.monotonic()
    client = curio.run(run)
    client._socket.close()
    assert time.monotonic() - started < 1.0

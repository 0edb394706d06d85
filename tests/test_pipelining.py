"""HTTP pipelining: requests sent before the responses to earlier ones."""

import time

import curio
import pytest

from carawaywheel.errors import ProtocolError
from carawaywheel.http import BodyBudget
from carawaywheel.listener import HangupMonitor, Listener, RequestHandler
from carawaywheel.sockets import open_listener


class SleepingHandler(RequestHandler):
    """Responds after the time that the path gives in milliseconds."""

    def __init__(self):
        self.running = 0
        self.max_running = 0
        self.started = []
        self.cancelled = []

    def may_run_concurrently(self, request):
        return request.method == "GET" and "once" not in request.path

    async def handle(self, connection, request):
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self.started.append(request.path)
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


def run_script(script, seconds=3.0):
    """Run a script against a listener; return the handler and what was received."""
    handler = SleepingHandler()

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


async def receive(client, count):
    """Return the bytes of some responses, or those until the connection closed."""
    data = b""
    while data.count(b"HTTP/1.1 200") < count or not data.endswith(b"!"):
        part = await client.recv(10000)
        if not part:
            return data
        data += part
    return data


def bodies(data):
    return [
        part.partition(b"\r\n\r\n")[2].decode() for part in data.split(b"HTTP/1.1 ")[1:]
    ]


def test_pipelined_requests_run_concurrently_with_responses_in_order():
    """Guards against head-of-line blocking, by which reads miss their objective."""

    async def script(client, listener):
        await client.sendall(get("/300/a", "/1/b", "/200/c", "/100/d!"))
        started = time.monotonic()
        return bodies(await receive(client, 4)), time.monotonic() - started

    handler, (responses, seconds) = run_script(script)
    assert responses == ["/300/a", "/1/b", "/200/c", "/100/d!"]
    assert handler.max_running == 4 and seconds < 0.55


def test_pipelining_that_starts_later_is_detected():
    async def script(client, listener):
        await client.sendall(get("/100/a"))
        await curio.sleep(0.03)
        await client.sendall(get("/200/b", "/200/c!"))
        return bodies(await receive(client, 3))

    handler, responses = run_script(script)
    assert responses == ["/100/a", "/200/b", "/200/c!"] and handler.max_running == 2


def test_request_that_must_not_run_twice_waits_for_earlier_ones():
    """Guards against a second run: clients resend what follows a closing response."""

    async def script(client, listener):
        await client.sendall(get("/100/a", "/50/once", "/1/b!"))
        return bodies(await receive(client, 3))

    handler, responses = run_script(script)
    assert responses == ["/100/a", "/50/once", "/1/b!"] and handler.max_running == 1


def test_request_with_a_body_does_not_overlap():
    async def script(client, listener):
        post = b"POST /1/p HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc"
        await client.sendall(get("/100/a", "/50/b") + post + get("/1/c!"))
        return bodies(await receive(client, 4))

    assert run_script(script)[1] == ["/100/a", "/50/b", "/1/pabc", "/1/c!"]


def test_disconnect_cancels_all_pipelined_requests():
    async def script(client, listener):
        await client.sendall(get("/2000/a", "/2000/b", "/2000/c"))
        await curio.sleep(0.1)
        await client.close()

    handler, _ = run_script(script)
    assert sorted(handler.cancelled) == ["/2000/a", "/2000/b", "/2000/c"]


def test_truncated_response_closes_the_connection():
    """Guards against a later response that is read as the rest of a truncated one."""

    async def script(client, listener):
        await client.sendall(get("/150/a", "/100/cut", "/1/c", "/300/d"))
        return bodies(await receive(client, 9))

    handler, responses = run_script(script)
    assert responses == ["/150/a", ""]


def test_draining_listener_answers_read_requests_and_sends_close_once():
    async def script(client, listener):
        await client.sendall(get("/200/a", "/100/b", "/1/c"))
        await curio.sleep(0.05)
        listener.drain()
        return await receive(client, 9)

    _, data = run_script(script)
    assert bodies(data) == ["/200/a", "/100/b", "/1/c"]
    assert data.count(b"connection: close") == 1
    assert b"connection: close" in data.split(b"HTTP/1.1 ")[3]


@pytest.mark.parametrize("bad", [b"nonsense\r\n\r\n", get("/1/a\x01")])
def test_bad_input_is_answered_after_earlier_requests(bad):
    async def script(client, listener):
        await client.sendall(get("/100/a", "/50/b") + bad)
        return await receive(client, 9)

    data = run_script(script)[1]
    assert [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]] == [
        b"200",
        b"200",
        b"400",
    ]


def test_exit_does_not_wait_for_pipelined_requests():
    """Guards against a process whose exit is held up by a pipelined request.

    Curio cancels the newest task first and waits for its end. A request that waits for
    the response to an earlier one must not delay that until the earlier one, which is
    cancelled later, has ended.
    """

    async def script(client, listener):
        await client.sendall(get("/3000/a", "/3000/b", "/3000/c"))
        await curio.sleep(0.1)

    async def run():
        sock = open_listener("127.0.0.1", 0)
        listener = Listener(
            "test", sock, SleepingHandler(), HangupMonitor(), 10, BodyBudget(9)
        )
        host, port = listener.address.split(":")
        await curio.spawn(listener.run, daemon=True)
        client = await curio.open_connection(host, int(port))
        await script(client, listener)
        return client

    started = time.monotonic()
    client = curio.run(run)
    client._socket.close()
    assert time.monotonic() - started < 1.0

"""HTTP pipelining: requests sent before the responses to earlier ones."""

import time

import curio
import pytest

from carawaywheel.connectionmonitor import ConnectionMonitor
from carawaywheel.errors import ProtocolError
from carawaywheel.http import BodyBudget
from carawaywheel.lingering import IDLE_LINGER_SECONDS, LINGER_SECONDS
from carawaywheel.listener import Listener, RequestHandler
from carawaywheel.sockets import open_listener
from standins.pipeliner import PipeliningClient

# Many windows of a client with a small receive buffer; the send buffer holds the whole.
LARGE_BYTES = 300_000
# More than the send buffer holds.
HUGE_BYTES = 6_000_000


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
            content = request.path.encode() + body
            if "large" in request.path:
                content = content.ljust(LARGE_BYTES)
            if "huge" in request.path:
                content = content.ljust(HUGE_BYTES)
            await connection.respond(200, [], content)
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
            ConnectionMonitor(),
            10,
            BodyBudget(999),
        )
        host, port = listener.address.split(":")
        tasks = [
            await curio.spawn(listener.run, daemon=True),
            await curio.spawn(listener.monitor.run, daemon=True),
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


def test_request_behind_the_last_response_does_not_run():
    """Guards against a second run: the client sends it again after that response."""

    async def script(client, listener):
        await client.sendall(get("/200/large-a"))
        await curio.sleep(0.05)
        listener.drain()
        await curio.sleep(0.3)
        await client.sendall(get("/1/once"))
        return await receive(client, 9)

    handler, data = run_script(script)
    assert data.count(b"HTTP/1.1") == data.count(b"connection: close") == 1
    assert handler.started == ["/200/large-a"]


def test_draining_listener_announces_the_close_behind_what_it_has_read():
    """Guards against a request that runs although its client was told to resend it."""

    async def script(client, listener):
        await client.sendall(get("/200/a", "/200/b", "/1/once"))
        await curio.sleep(0.05)
        listener.drain()
        return await receive(client, 9)

    handler, data = run_script(script)
    responses = data.split(b"HTTP/1.1 ")[1:]
    assert [b"connection: close" in part for part in responses] == [False, False, True]
    assert bodies(data) == handler.started == ["/200/a", "/200/b", "/1/once"]


def test_request_behind_a_truncated_response_does_not_run():
    """Guards against foreign bytes that complete a response which broke off."""

    async def script(client, listener):
        await client.sendall(get("/100/a", "/150/cut", "/1/once"))
        return await receive(client, 9)

    handler, data = run_script(script)
    assert bodies(data) == ["/100/a", ""]
    assert handler.started == ["/100/a", "/150/cut"]


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


def run_slow_client(script, idle_seconds=60.0):
    """Run a script in a thread of its own, with the address of a listener.

    Args:
        script: Called with the address and the listener; returns a result.
        idle_seconds: Longest idle time of a connection.

    Returns:
        The handler and the result.
    """
    handler = SleepingHandler()

    async def run():
        sock = open_listener("127.0.0.1", 0)
        listener = Listener(
            "test", sock, handler, ConnectionMonitor(), 10, BodyBudget(99)
        )
        components = [
            (listener.run,),
            (listener.monitor.run,),
            (listener.run_idle_reaper, lambda: idle_seconds),
        ]
        for component in components:
            await curio.spawn(*component, daemon=True)
        await curio.sleep(0)
        return await curio.run_in_thread(script, listener.address, listener)

    return handler, curio.run(run)


@pytest.mark.parametrize(
    "name, size, pause",
    [
        ("large", LARGE_BYTES, 0.0),
        ("large", LARGE_BYTES, 0.02),
        ("huge", HUGE_BYTES, 0.0),
    ],
)
def test_request_that_crosses_the_close_cuts_off_no_response(name, size, pause):
    """Guards against a reset by unread input, which drops responses not yet received.

    The client sends further requests until it has read that the connection closes.
    """

    def script(address, listener):
        with PipeliningClient(address, pause) as client:
            client.send(get("/100/a"), get(f"/100/{name}"))
            time.sleep(0.05)
            listener.drain()
            time.sleep(0.2)
            client.send(get("/1/c"))
            time.sleep(0.1)
            client.send(get("/1/d"), get("/1/e"))
            return client.read_responses(), client.is_at_end()

    handler, (responses, ended) = run_slow_client(script)
    assert [(item.size, item.complete) for item in responses] == [
        (len("/100/a"), True),
        (size, True),
    ]
    assert responses[1].closes and ended
    assert handler.started == ["/100/a", f"/100/{name}"]


def test_client_that_never_closes_is_given_up():
    """Guards against connections that stay open until the idle limit, or for good."""

    def script(address, listener):
        with PipeliningClient(address) as client:
            client.send(get("/50/a"), get("/100/b"))
            time.sleep(0.02)
            listener.drain()
            responses = client.read_responses()
            time.sleep(LINGER_SECONDS + 0.5)
            return len(responses), len(listener.connections)

    assert run_slow_client(script)[1] == (2, 0)


def test_idle_limit_cuts_off_no_response_that_is_read_slowly():
    """Guards against an idle connection that is reset below an unread response."""

    def script(address, listener):
        with PipeliningClient(address, 0.01) as client:
            client.send(get("/1/large-a"))
            time.sleep(0.2)
            assert listener.connections
            time.sleep(1.5)
            client.send(get("/1/b"))
            time.sleep(1.0)
            first = client.read_response()
            return first.size, first.complete, client.read_response()

    handler, result = run_slow_client(script, 0.0)
    assert result == (LARGE_BYTES, True, None)
    assert handler.started == ["/1/large-a"]


def test_idle_connection_with_a_request_is_not_closed():
    """Guards against a request that is dropped though it came before the close."""

    async def run():
        handler = SleepingHandler()
        sock = open_listener("127.0.0.1", 0)
        listener = Listener(
            "test", sock, handler, ConnectionMonitor(), 10, BodyBudget(99)
        )
        await curio.spawn(listener.run, daemon=True)
        await curio.spawn(listener.monitor.run, daemon=True)
        client = await curio.open_connection(*sock.getsockname())
        await client.sendall(get("/1/a"))
        await client.recv(1000)
        await curio.sleep(0.05)
        client._socket.send(get("/1/b!"))
        listener.close_idle_connections()
        received = await receive(client, 1)
        listener.close_idle_connections()
        started = time.monotonic()
        ended = await client.recv(1000)
        await client.close()
        return bodies(received), ended, time.monotonic() - started

    received, ended, seconds = curio.run(run)
    assert received == ["/1/b!"] and ended == b""
    assert seconds < IDLE_LINGER_SECONDS


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
            "test", sock, SleepingHandler(), ConnectionMonitor(), 10, BodyBudget(9)
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

"""Listeners: an idle connection is closed, a busy or fresh one is not."""

from socket import IPPROTO_TCP, TCP_KEEPIDLE, TCP_USER_TIMEOUT

import curio

from carawaywheel.http import CALLER_KEEPALIVE, BodyBudget
from carawaywheel.listener import HangupMonitor, Listener, RequestHandler
from carawaywheel.sockets import open_listener


class Echo(RequestHandler):
    async def handle(self, connection, request):
        await connection.read_body(0)
        await connection.respond(200, [], request.path.encode())


async def swept(idle_seconds, wait):
    listener = Listener(
        "test",
        open_listener("127.0.0.1", 0),
        Echo(),
        HangupMonitor(),
        10,
        BodyBudget(0),
    )
    host, port = listener.address.split(":")
    tasks = [
        await curio.spawn(listener.run, daemon=True),
        await curio.spawn(listener.run_idle_reaper, lambda: idle_seconds, daemon=True),
    ]
    await curio.sleep(0)
    client = await curio.open_connection(host, int(port))
    await client.sendall(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
    assert b"200" in await client.recv(1000)
    end = await curio.ignore_after(wait, client.recv, 1000)
    for task in tasks:
        await task.cancel()
    await client.close()
    return end


def test_connection_that_stays_idle_is_closed():
    assert curio.run(swept, 0.5, 5.0) == b""


def test_connection_within_the_idle_time_is_kept():
    assert curio.run(swept, 60.0, 1.5) is None


def test_accepted_connection_notices_a_silent_caller():
    """Guards against connections that wait for a caller that is long gone."""

    class Options(RequestHandler):
        async def handle(self, connection, request):
            option = connection.sock.getsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT)
            idle = connection.sock.getsockopt(IPPROTO_TCP, TCP_KEEPIDLE)
            await connection.respond(200, [], f"{option} {idle}".encode())

    async def run():
        sock = open_listener("127.0.0.1", 0)
        listener = Listener("test", sock, Options(), HangupMonitor(), 10, BodyBudget(0))
        host, port = listener.address.split(":")
        task = await curio.spawn(listener.run, daemon=True)
        client = await curio.open_connection(host, int(port))
        await client.sendall(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
        answer = await client.recv(1000)
        await task.cancel()
        await client.close()
        return answer.partition(b"\r\n\r\n")[2].decode()

    expected = f"{CALLER_KEEPALIVE.user_timeout_ms} {CALLER_KEEPALIVE.idle_seconds}"
    assert curio.run(run) == expected

"""Idle reaper and socket options of listeners."""

from socket import IPPROTO_TCP, TCP_KEEPIDLE, TCP_USER_TIMEOUT

import curio

from carawaywheel.connectionmonitor import ConnectionMonitor
from carawaywheel.http import CALLER_KEEPALIVE, BodyBudget, ServerConnection
from carawaywheel.listener import Listener, RequestHandler
from carawaywheel.pipelining import Pipeline
from carawaywheel.sockets import open_listener
from standins.httpserver import set_reset_on_close


class EchoHandler(RequestHandler):
    async def handle(self, connection, request):
        await connection.read_body(0)
        await connection.respond(200, [], request.path.encode())


class RefusingHandler(RequestHandler):
    async def handle(self, connection, request):
        connection.close_if_body_unread()
        await connection.respond(503, [], b"refused")


async def receive_after_response(idle_seconds, wait):
    """Return what the client receives after a response; None if nothing in time."""
    listener = Listener(
        "test",
        open_listener("127.0.0.1", 0),
        EchoHandler(),
        ConnectionMonitor(),
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
    received = await curio.ignore_after(wait, client.recv, 1000)
    for task in tasks:
        await task.cancel()
    await client.close()
    return received


def test_idle_connection_is_closed():
    assert curio.run(receive_after_response, 0.5, 5.0) == b""


def test_connection_within_the_idle_timeout_is_kept():
    assert curio.run(receive_after_response, 60.0, 1.5) is None


def test_accepted_connection_has_keepalive_options():
    """Guards against connections to a caller that was lost without a reset."""

    class OptionsHandler(RequestHandler):
        async def handle(self, connection, request):
            option = connection.sock.getsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT)
            idle = connection.sock.getsockopt(IPPROTO_TCP, TCP_KEEPIDLE)
            await connection.respond(200, [], f"{option} {idle}".encode())

    async def run():
        sock = open_listener("127.0.0.1", 0)
        listener = Listener(
            "test", sock, OptionsHandler(), ConnectionMonitor(), 10, BodyBudget(0)
        )
        host, port = listener.address.split(":")
        task = await curio.spawn(listener.run, daemon=True)
        client = await curio.open_connection(host, int(port))
        await client.sendall(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
        response = await client.recv(1000)
        await task.cancel()
        await client.close()
        return response.partition(b"\r\n\r\n")[2].decode()

    expected = f"{CALLER_KEEPALIVE.user_timeout_ms} {CALLER_KEEPALIVE.idle_seconds}"
    assert curio.run(run) == expected


def test_refusal_reaches_a_client_that_still_sends_its_body():
    """The connection was reset, and the client could not tell that nothing had run."""
    body = bytes(8_000_000)

    async def run():
        sock = open_listener("127.0.0.1", 0)
        listener = Listener(
            "test", sock, RefusingHandler(), ConnectionMonitor(), 10, BodyBudget(0)
        )
        host, port = listener.address.split(":")
        task = await curio.spawn(listener.run, daemon=True)
        client = await curio.open_connection(host, int(port))
        head = f"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
        await client.sendall(head.encode())
        await client.sendall(body)
        received = b""
        while data := await client.recv(1000):
            received += data
        await task.cancel()
        await client.close()
        return received

    response = curio.run(run)
    assert response.startswith(b"HTTP/1.1 503") and response.endswith(b"refused")


def test_failed_pipelined_request_of_a_reset_connection_is_no_error():
    """Its task ended with a traceback in the log."""

    async def run():
        sock = open_listener("127.0.0.1", 0)
        monitor, budget = ConnectionMonitor(), BodyBudget(0)
        listener = Listener("test", sock, EchoHandler(), monitor, 10, budget)
        client = await curio.open_connection(*sock.getsockname())
        accepted, _ = await sock.accept()
        set_reset_on_close(client)
        await client.close()
        connection = ServerConnection(accepted, "client", budget)
        assert await connection.next_request() is None
        fd = accepted.fileno()
        listener.connections[fd] = connection
        pipeline = Pipeline(connection)
        await listener.finish_pipelined(pipeline.add(), pipeline, fd, False)
        await accepted.close()

    curio.run(run)

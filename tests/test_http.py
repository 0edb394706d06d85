import json

import curio
import pytest
from curio import socket

from carawaywheel import http
from carawaywheel.errors import ProtocolError
from carawaywheel.http import BodyBudget, ServerConnection
from carawaywheel.refusals import Ran, Reason, Refusal
from carawaywheel.serverexchange import json_body, refusal_body


def read(data, budget=None, limit=100):
    """Send bytes on a connection that stays open, and read a request with its body."""

    async def run():
        server_sock, client_sock = socket.socketpair()
        async with server_sock, client_sock:
            await client_sock.sendall(data)
            connection = ServerConnection(
                server_sock, "caller", budget or BodyBudget(1 << 20)
            )
            request = await connection.next_request()
            body = await connection.read_body(limit) if request else b""
            return request, body

    return curio.run(run)


def test_an_incomplete_head_times_out(monkeypatch):
    """Guards against clients that keep a connection open by sending single bytes."""
    monkeypatch.setattr(http, "HEAD_TIMEOUT_SECONDS", 0.01)
    with pytest.raises(ProtocolError, match="too slow"):
        read(b"GET / HTTP/1.1\r\nhost: a\r\n")


def test_an_incomplete_body_times_out(monkeypatch):
    """Guards against clients that hold a connection and its buffered body."""
    monkeypatch.setattr(http, "BODY_TIMEOUT_SECONDS", 0.01)
    with pytest.raises(ProtocolError, match="too slow"):
        read(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc")


def test_an_idle_connection_closes_without_an_error(monkeypatch):
    """Guards against idle connections that stay open forever."""
    monkeypatch.setattr(http, "IDLE_TIMEOUT_SECONDS", 0.01)
    assert read(b"") == (None, b"")


def test_bodies_of_all_connections_share_one_budget():
    """Guards against many connections that together exhaust the memory."""
    budget = BodyBudget(10)
    assert budget.reserve(8)
    with pytest.raises(ProtocolError, match="too many"):
        read(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc", budget)
    budget.release(8)
    request, body = read(
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc", budget
    )
    assert request is not None and body == b"abc"


@pytest.mark.parametrize("peer", ["10.0.0.1:80", 'Müller \x1f"\\'])
def test_body_of_a_refusal_is_ascii_as_before(peer):
    """Clients may read the body as ASCII, whatever the name in it."""
    refusal = Refusal(Reason.QUEUE_FULL, Ran.NOT_RUN, 0.35, "target", peer)
    body = refusal_body(refusal)
    assert body == json_body(json.loads(body))
    assert json.loads(body)["peer"] == peer


def test_second_content_length_is_rejected():
    """Two readers of the head could otherwise disagree where its body ends."""
    head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
    with pytest.raises(ProtocolError):
        read(head + b"content-length: 4\r\n\r\nabcd")


def test_read_of_a_socket_that_another_task_closes_is_an_os_error(monkeypatch):
    """Any other error would leave the connection's task without its clean-up."""

    async def run():
        sock, other = socket.socketpair()
        monkeypatch.setattr(http, "_read_wait", lambda fileno: sock.close())
        async with other:
            with pytest.raises(OSError):
                await http.receive_when_ready(sock, 1)

    curio.run(run)

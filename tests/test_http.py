import curio
import pytest
from curio import socket

from carawaywheel import http
from carawaywheel.errors import ProtocolError
from carawaywheel.http import BodyBudget, ServerConnection


def read(data, budget=None, limit=100):
    """Send bytes on a connection that stays open, and read a request with its body."""

    async def run():
        ours, theirs = socket.socketpair()
        async with ours, theirs:
            await theirs.sendall(data)
            connection = ServerConnection(ours, "caller", budget or BodyBudget(1 << 20))
            request = await connection.next_request()
            body = await connection.read_body(limit) if request else b""
            return request, body

    return curio.run(run)


def test_a_head_that_never_ends_is_given_up(monkeypatch):
    """Guards against callers that hold a connection with a byte now and then."""
    monkeypatch.setattr(http, "HEAD_TIMEOUT_SECONDS", 0.01)
    with pytest.raises(ProtocolError, match="too slow"):
        read(b"GET / HTTP/1.1\r\nhost: a\r\n")


def test_a_body_that_never_ends_is_given_up(monkeypatch):
    """Guards against callers that hold a connection and its memory."""
    monkeypatch.setattr(http, "BODY_TIMEOUT_SECONDS", 0.01)
    with pytest.raises(ProtocolError, match="too slow"):
        read(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc")


def test_a_silent_connection_ends_without_an_error(monkeypatch):
    """Guards against idle connections that stay open for ever."""
    monkeypatch.setattr(http, "IDLE_TIMEOUT_SECONDS", 0.01)
    assert read(b"") == (None, b"")


def test_all_bodies_share_one_budget():
    """Guards against many callers that fill the memory together."""
    budget = BodyBudget(10)
    assert budget.reserve(8)
    with pytest.raises(ProtocolError, match="too many"):
        read(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc", budget)
    budget.release(8)
    request, body = read(
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc", budget
    )
    assert request is not None and body == b"abc"

"""Connections to the local target are neither kept nor remembered without need."""

import curio
import pytest
from curio import socket

from carawaywheel.mesh.targetconnections import ConnectionObserver, TargetConnections


class Observer(ConnectionObserver):
    """Records what the connections show."""

    needs_witness = False

    def __init__(self):
        self.continuous = []

    def on_refused(self):
        raise AssertionError("a connection was refused")

    def on_connected(self, continuous):
        self.continuous.append(continuous)


async def open_target():
    """Return a listening socket and its address."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    host, port = listener.getsockname()
    return listener, f"{host}:{port}"


def test_closed_connections_are_forgotten_while_newer_ones_are_open():
    """Guards against a list that grows with each connection under constant load."""

    async def run():
        listener, address = await open_target()
        pool = TargetConnections(1.0, Observer())
        open_connection = await pool.connect(address)
        for _ in range(20):
            newer = await pool.connect(address)
            await pool.discard(open_connection)
            open_connection = newer
        count = len(pool.connections)
        await pool.discard(open_connection)
        await listener.close()
        return count, pool.observer.continuous

    count, continuous = curio.run(run)
    assert count <= 2
    assert continuous == [False] + [True] * 20


@pytest.mark.parametrize("needs_witness", [False, True])
def test_no_idle_connection_is_kept_after_a_failure_without_need(needs_witness):
    """Guards against a connection kept open beside a target that has no limit."""

    async def run():
        listener, address = await open_target()
        pool = TargetConnections(1.0, Observer())
        pool.observer.needs_witness = needs_witness
        connection = await pool.connect(address)
        await pool.release(connection)
        await pool.close_idle(address)
        is_kept = connection.sock._socket is not None
        await connection.sock.close()
        await listener.close()
        return is_kept

    assert curio.run(run) is needs_witness

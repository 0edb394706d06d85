"""Stand-in for a faulty network: a relay of TCP connections and UDP datagrams.

It relays to one address, on the same port number for both protocols, and can close
connections, stall, lose responses, and delay, duplicate or drop datagrams.
"""

import argparse
import json
from typing import Any

import curio
from curio import socket

from .httpserver import (
    Request,
    Response,
    bound_address,
    json_response,
    open_listener,
    serve,
    set_reset_on_close,
)

READ_CHUNK_BYTES = 65536


class RelaySettings:
    """Settings that ``POST /control`` can change, by their names.

    Attributes:
        upstream: ``HOST:PORT`` to relay to; if empty, new connections are closed.
        cut: Whether to close all connections, new ones too, and to drop datagrams.
        silent: Whether to keep all connections open, new ones too, and to discard
            their data and all datagrams.
        silent_old: Whether to discard the data of the connections that are open when
            this is set; later connections are relayed.
        lose_answers: Whether to discard what the upstream sends, in both protocols.
        lose_requests: Whether to discard what the clients of connections send.
        delay: Delay of each chunk of a connection and of each datagram in seconds.
        copies: How often each datagram is sent.
        drop_every: Drop each n-th datagram; 0 drops none.
    """

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.cut = False
        self.silent = False
        self.silent_old = False
        self.lose_answers = False
        self.lose_requests = False
        self.delay = 0.0
        self.copies = 1
        self.drop_every = 0


class RelayedConnection:
    """One relayed TCP connection."""

    def __init__(self, client: Any, upstream: Any) -> None:
        self.client = client
        self.upstream = upstream
        self.stalled = False


class Relay:
    """Relays connections and datagrams with the faults of its settings."""

    def __init__(self, upstream: str) -> None:
        self.settings = RelaySettings(upstream)
        self.connections: set[RelayedConnection] = set()
        self.upstream_sockets: dict[Any, Any] = {}
        self.counts = {"connections": 0, "datagrams": 0}

    async def control(self, request: Request) -> Response | None:
        """Change settings and return all, return the counters, or reset connections."""
        if request.path == "/counts":
            return json_response({**self.counts, "open": len(self.connections)})
        if request.path == "/reset":
            await self.reset_connections()
            return json_response({})
        changes = request.json()
        unknown = changes.keys() - vars(self.settings).keys()
        if unknown:
            return json_response({"error": f"unknown settings: {sorted(unknown)}"}, 400)
        await self.apply(changes)
        return json_response(vars(self.settings))

    async def apply(self, changes: dict[str, Any]) -> None:
        """Change settings by their names."""
        for name, value in changes.items():
            setattr(self.settings, name, value)
        if "silent_old" in changes:
            for connection in self.connections:
                connection.stalled = self.settings.silent_old
        if self.settings.cut:
            for connection in list(self.connections):
                await self.close(connection)

    async def run_connections(self, listener: Any) -> None:
        """Accept TCP connections until cancelled."""
        while True:
            client, _ = await listener.accept()
            await curio.spawn(self.relay_connection, client, daemon=True)

    async def relay_connection(self, client: Any) -> None:
        """Relay one TCP connection until both directions have ended."""
        self.counts["connections"] += 1
        host, _, port = self.settings.upstream.rpartition(":")
        if self.settings.cut or not host:
            await client.close()
            return
        try:
            upstream = await curio.open_connection(host, int(port))
        except OSError:
            await client.close()
            return
        connection = RelayedConnection(client, upstream)
        self.connections.add(connection)
        response_pump = await curio.spawn(
            self.pump, connection, upstream, client, True, daemon=True
        )
        async with client, upstream:
            await self.pump(connection, client, upstream, False)
            await response_pump.join()
        self.connections.discard(connection)

    async def pump(
        self,
        connection: RelayedConnection,
        reader: Any,
        writer: Any,
        from_upstream: bool,
    ) -> None:
        """Relay bytes in one direction until its end of file or an error."""
        try:
            while data := await reader.recv(READ_CHUNK_BYTES):
                settings = self.settings
                if settings.delay:
                    await curio.sleep(settings.delay)
                if not self.is_discarding(connection, from_upstream):
                    await writer.sendall(data)
            if not self.is_discarding(connection, from_upstream):
                await writer.shutdown(socket.SHUT_WR)
        except OSError:
            await self.close(connection)

    def is_discarding(self, connection: RelayedConnection, from_upstream: bool) -> bool:
        """Return whether the data of one direction of a connection is discarded."""
        settings = self.settings
        return (
            settings.silent
            or connection.stalled
            or (from_upstream and settings.lose_answers)
            or (not from_upstream and settings.lose_requests)
        )

    async def reset_connections(self) -> None:
        """Reset all open connections; later ones are relayed."""
        for connection in list(self.connections):
            connection.stalled = True
            self.connections.discard(connection)
            for sock in (connection.client, connection.upstream):
                set_reset_on_close(sock)
                await wake_reader(sock)

    async def close(self, connection: RelayedConnection) -> None:
        """Shut down both sides of a connection, which ends both of its pumps."""
        if connection not in self.connections:
            return
        self.connections.discard(connection)
        for sock in (connection.client, connection.upstream):
            try:
                await sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    async def run_datagrams(self, listener: Any) -> None:
        """Relay datagrams to the upstream until cancelled.

        Each sender gets a socket of its own, so that what the upstream sends back
        reaches that sender.
        """
        while True:
            data, sender = await listener.recvfrom(READ_CHUNK_BYTES)
            if sender not in self.upstream_sockets:
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.bind(("127.0.0.1", 0))
                self.upstream_sockets[sender] = sock
                await curio.spawn(
                    self.relay_responses, sock, listener, sender, daemon=True
                )
            host, _, port = self.settings.upstream.rpartition(":")
            if host:
                target = (host, int(port))
                await self.forward_datagram(
                    self.upstream_sockets[sender], data, target, False
                )

    async def relay_responses(self, sock: Any, listener: Any, sender: Any) -> None:
        """Relay datagrams from the upstream to one sender until cancelled."""
        while True:
            data, _ = await sock.recvfrom(READ_CHUNK_BYTES)
            await self.forward_datagram(listener, data, sender, True)

    async def forward_datagram(
        self, sock: Any, data: bytes, target: Any, from_upstream: bool
    ) -> None:
        """Forward one datagram: delayed, several times or not at all."""
        settings = self.settings
        self.counts["datagrams"] += 1
        number = self.counts["datagrams"]
        if settings.cut or settings.silent or (from_upstream and settings.lose_answers):
            return
        if settings.drop_every and number % settings.drop_every == 0:
            return
        for _ in range(settings.copies):
            if settings.delay:
                await curio.spawn(self.send_delayed, sock, data, target, daemon=True)
            else:
                await sock.sendto(data, target)

    async def send_delayed(self, sock: Any, data: bytes, target: Any) -> None:
        """Send a datagram after the configured delay."""
        await curio.sleep(self.settings.delay)
        await sock.sendto(data, target)


async def wake_reader(sock: Any) -> None:
    """Make the reader of a socket see its end, without telling the peer."""
    try:
        await sock.shutdown(socket.SHUT_RD)
    except OSError:
        # The peer has closed the connection.
        pass


async def run(options: argparse.Namespace) -> None:
    """Relay until the process ends."""
    relay = Relay(options.upstream)
    listener = open_listener(options.listen)
    address = bound_address(listener)
    host, _, port = address.rpartition(":")
    datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagram_socket.bind((host, int(port)))
    control_listener = open_listener("127.0.0.1:0")
    await curio.spawn(relay.run_connections, listener, daemon=True)
    await curio.spawn(relay.run_datagrams, datagram_socket, daemon=True)
    startup_info = {"address": address, "control": bound_address(control_listener)}
    print(json.dumps(startup_info), flush=True)
    await serve(control_listener, relay.control)


def main() -> None:
    """Run the relay from the command line."""
    parser = argparse.ArgumentParser(prog="standins.relay", description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0", help="HOST:PORT")
    parser.add_argument("--upstream", default="", help="HOST:PORT")
    curio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()

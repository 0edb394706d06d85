"""Stand-in for a bad network: a relay of TCP connections and UDP datagrams.

It stands before one address, under one port number for both protocols, and can cut
connections, fall silent, lose answers, delay, duplicate and drop.
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
)

READ_BYTES = 65536


class Behaviour:
    """What ``POST /control`` can change.

    Attributes:
        upstream: ``HOST:PORT`` to relay to; empty closes new connections.
        cut: Whether to close all connections and refuse new ones.
        silent: Whether to keep connections open and pass nothing on, new ones too.
        silent_old: Whether to pass nothing on over the connections that are open
            at the time of the change; later ones pass.
        lose_answers: Whether to pass on what is sent and to hold back all answers.
        delay: Seconds by which each part and each datagram is late.
        copies: Copies of each datagram that are sent.
        drop_every: Each datagram of this number is dropped; 0 drops none.
    """

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.cut = False
        self.silent = False
        self.silent_old = False
        self.lose_answers = False
        self.delay = 0.0
        self.copies = 1
        self.drop_every = 0


class Link:
    """One relayed TCP connection."""

    def __init__(self, client: Any, upstream: Any) -> None:
        self.client = client
        self.upstream = upstream
        self.silent = False


class Relay:
    """Passes on what comes, as its behaviour says."""

    def __init__(self, upstream: str) -> None:
        self.behaviour = Behaviour(upstream)
        self.links: set[Link] = set()
        self.senders: dict[Any, Any] = {}
        self.counts = {"connections": 0, "datagrams": 0}

    async def control(self, request: Request) -> Response | None:
        """Change the behaviour, or answer with the counts."""
        if request.path == "/counts":
            return json_response({**self.counts, "open": len(self.links)})
        wanted = request.json()
        unknown = wanted.keys() - vars(self.behaviour).keys()
        if unknown:
            return json_response({"error": f"unknown: {sorted(unknown)}"}, 400)
        for name, value in wanted.items():
            setattr(self.behaviour, name, value)
        if "silent_old" in wanted:
            for link in self.links:
                link.silent = self.behaviour.silent_old
        if self.behaviour.cut:
            for link in list(self.links):
                await self.close(link)
        return json_response(vars(self.behaviour))

    async def run_connections(self, listener: Any) -> None:
        """Accept TCP connections until cancelled."""
        while True:
            client, _ = await listener.accept()
            await curio.spawn(self.relay_connection, client, daemon=True)

    async def relay_connection(self, client: Any) -> None:
        """Relay one TCP connection until either side closes it."""
        self.counts["connections"] += 1
        host, _, port = self.behaviour.upstream.rpartition(":")
        if self.behaviour.cut or not host:
            await client.close()
            return
        try:
            upstream = await curio.open_connection(host, int(port))
        except OSError:
            await client.close()
            return
        link = Link(client, upstream)
        self.links.add(link)
        back = await curio.spawn(self.pump, link, upstream, client, True, daemon=True)
        async with client, upstream:
            await self.pump(link, client, upstream, False)
            await back.join()
        self.links.discard(link)

    async def pump(self, link: Link, source: Any, sink: Any, answers: bool) -> None:
        """Pass bytes on in one direction until the connection ends."""
        try:
            while data := await source.recv(READ_BYTES):
                behaviour = self.behaviour
                if behaviour.delay:
                    await curio.sleep(behaviour.delay)
                if not self.holds_back(link, answers):
                    await sink.sendall(data)
            if not self.holds_back(link, answers):
                await sink.shutdown(socket.SHUT_WR)
        except OSError:
            await self.close(link)

    def holds_back(self, link: Link, answers: bool) -> bool:
        """Return whether nothing passes in one direction of a connection."""
        behaviour = self.behaviour
        return behaviour.silent or link.silent or (answers and behaviour.lose_answers)

    async def close(self, link: Link) -> None:
        """Close both sides of a connection; both pumps end with it."""
        if link not in self.links:
            return
        self.links.discard(link)
        for sock in (link.client, link.upstream):
            try:
                await sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    async def run_datagrams(self, listener: Any) -> None:
        """Relay datagrams to the upstream until cancelled."""
        while True:
            data, sender = await listener.recvfrom(READ_BYTES)
            if sender not in self.senders:
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.bind(("127.0.0.1", 0))
                self.senders[sender] = sock
                await curio.spawn(
                    self.relay_answers, sock, listener, sender, daemon=True
                )
            host, _, port = self.behaviour.upstream.rpartition(":")
            if host:
                target = (host, int(port))
                await self.pass_datagram(self.senders[sender], data, target, False)

    async def relay_answers(self, sock: Any, listener: Any, sender: Any) -> None:
        """Relay the datagrams that come back for one sender until cancelled."""
        while True:
            data, _ = await sock.recvfrom(READ_BYTES)
            await self.pass_datagram(listener, data, sender, True)

    async def pass_datagram(
        self, sock: Any, data: bytes, target: Any, answers: bool
    ) -> None:
        """Pass one datagram on, late, several times or not at all."""
        behaviour = self.behaviour
        self.counts["datagrams"] += 1
        number = self.counts["datagrams"]
        if behaviour.cut or behaviour.silent or (answers and behaviour.lose_answers):
            return
        if behaviour.drop_every and number % behaviour.drop_every == 0:
            return
        for _ in range(behaviour.copies):
            if behaviour.delay:
                await curio.spawn(self.send_late, sock, data, target, daemon=True)
            else:
                await sock.sendto(data, target)

    async def send_late(self, sock: Any, data: bytes, target: Any) -> None:
        """Send a datagram after the delay."""
        await curio.sleep(self.behaviour.delay)
        await sock.sendto(data, target)


async def run(options: argparse.Namespace) -> None:
    """Relay until the process ends."""
    relay = Relay(options.upstream)
    listener = open_listener(options.listen)
    address = bound_address(listener)
    host, _, port = address.rpartition(":")
    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagrams.bind((host, int(port)))
    controls = open_listener("127.0.0.1:0")
    await curio.spawn(relay.run_connections, listener, daemon=True)
    await curio.spawn(relay.run_datagrams, datagrams, daemon=True)
    ready = {"address": address, "control": bound_address(controls)}
    print(json.dumps(ready), flush=True)
    await serve(controls, relay.control)


def main() -> None:
    """Run the relay from the command line."""
    parser = argparse.ArgumentParser(prog="standins.relay", description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0", help="HOST:PORT")
    parser.add_argument("--upstream", default="", help="HOST:PORT")
    curio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()

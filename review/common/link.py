"""A link between clients and a node: it delays bytes and has a small window."""

import asyncio
import socket
from typing import Any

# The first window of a TCP connection: ten segments.
WINDOW_BYTES = 14_600


class Link:
    """Relays connections to one address with a delay in each direction.

    At most one window of what the node sends is on the way at a time, as on a
    connection that carries little.

    Attributes:
        upstream: Address of the node.
        delay: Seconds that bytes are on the way.
    """

    def __init__(self, upstream: str, delay: float) -> None:
        self.upstream = upstream
        self.delay = delay
        self.tasks: set[Any] = set()

    async def start(self) -> int:
        """Listen on a free port of 127.0.0.1 and return it."""
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(256)
        listener.setblocking(False)
        self.keep(self.accept(listener))
        return int(listener.getsockname()[1])

    def keep(self, work: Any) -> None:
        """Run a task in the background."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def accept(self, listener: socket.socket) -> None:
        """Accept connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(listener)
            client.setblocking(False)
            self.keep(self.relay(client))

    async def relay(self, client: socket.socket) -> None:
        """Relay one connection until the node ends it."""
        loop = asyncio.get_running_loop()
        host, _, port = self.upstream.rpartition(":")
        node = socket.socket()
        # The kernel doubles the size that is set.
        node.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES // 2)
        node.setblocking(False)
        try:
            await loop.sock_connect(node, (host, int(port)))
        except OSError:
            node.close()
            client.close()
            return
        node.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        upward = asyncio.ensure_future(self.carry_requests(client, node))
        await self.carry_responses(node, client)
        upward.cancel()
        client.close()
        node.close()

    async def carry_requests(self, client: socket.socket, node: socket.socket) -> None:
        """Carry bytes from the client to the node."""
        loop = asyncio.get_running_loop()
        try:
            while data := await loop.sock_recv(client, 65536):
                self.keep(self.deliver(node, data))
            node.shutdown(socket.SHUT_WR)
        except OSError:
            return

    async def deliver(self, node: socket.socket, data: bytes) -> None:
        """Send bytes to the node after the delay."""
        await asyncio.sleep(self.delay)
        try:
            await asyncio.get_running_loop().sock_sendall(node, data)
        except OSError:
            return

    async def carry_responses(self, node: socket.socket, client: socket.socket) -> None:
        """Carry bytes from the node to the client, one window a round trip."""
        loop = asyncio.get_running_loop()
        try:
            while data := await loop.sock_recv(node, WINDOW_BYTES):
                await asyncio.sleep(self.delay)
                await loop.sock_sendall(client, data)
                await asyncio.sleep(self.delay)
        except OSError:
            return

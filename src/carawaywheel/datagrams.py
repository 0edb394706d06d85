"""UDP socket for authenticated messages between nodes."""

import functools
import socket as stdlib_socket
from abc import ABC, abstractmethod
from typing import Any

from curio import socket

from .signing import Signer

MAX_RECEIVED_BYTES = 8192
RECEIVE_BUFFER_BYTES = 1 << 20
# More than the nodes of a large mesh.
CACHED_ADDRESSES = 1024

Address = tuple[str, int]


class DatagramHandler(ABC):
    """Handles the messages of one kind."""

    @abstractmethod
    async def receive(self, data: bytes, sender: Address) -> None:
        """Handle the content of an authenticated datagram, without its kind byte."""


def free_port(host: str) -> int:
    """Return a port that is free for TCP, and most likely for UDP as well.

    Outgoing TCP connections occupy most of the ephemeral ports, so that a port chosen
    for UDP alone may be in use for TCP.
    """
    with stdlib_socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class DatagramSocket:
    """Sends and receives authenticated datagrams, dispatched by their first byte.

    Attributes:
        address: Address of the socket, as ``ip:port``.
        handlers: Handler of each kind of message, by kind byte.
        rejected: Datagrams with an invalid tag, an unknown kind or malformed content.
        bytes_sent: Bytes sent since the start.
        bytes_received: Bytes received since the start.
    """

    def __init__(self, host: str, port: int, signer: Signer) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.bind((host, port))
        bound = self.sock.getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        self.signer = signer
        self.handlers: dict[bytes, DatagramHandler] = {}
        self.rejected = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    async def run(self) -> None:
        """Receive datagrams until cancelled."""
        while True:
            try:
                datagram, sender = await self.sock.recvfrom(MAX_RECEIVED_BYTES)
            except OSError:
                # ICMP error: the receiver of an earlier datagram has closed its port.
                continue
            self.bytes_received += len(datagram)
            await self.dispatch(datagram, sender)

    async def dispatch(self, datagram: bytes, sender: Address) -> None:
        """Verify a datagram and pass it to the handler of its kind."""
        data = self.signer.verify_datagram(datagram)
        handler = self.handlers.get(data[:1]) if data else None
        if data is None or handler is None:
            self.rejected += 1
            return
        await handler.receive(data[1:], sender)

    async def send(self, kind: bytes, data: bytes, address: str) -> None:
        """Send a message; a datagram that cannot be sent is dropped."""
        datagram = self.signer.sign_datagram(kind + data)
        try:
            await self.sock.sendto(datagram, parse_address(address))
        except (OSError, ValueError):
            return
        self.bytes_sent += len(datagram)

    async def close(self) -> None:
        """Close the socket."""
        await self.sock.close()


@functools.lru_cache(maxsize=CACHED_ADDRESSES)
def parse_address(address: str) -> Address:
    """Return the host and port of an address.

    Raises:
        ValueError: If it has no port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def format_address(address: Any) -> str:
    """Return a socket address as ``ip:port``."""
    return f"{address[0]}:{address[1]}"

"""Opening the sockets of a node."""

from typing import Any

import curio

from .datagrams import DatagramSocket
from .signing import Signer

LISTEN_BACKLOG = 1024


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def open_listener(host: str, port: int) -> Any:
    """Return a listening TCP socket; port 0 takes one that is free.

    Raises:
        OSError: If the address cannot be used.
    """
    return curio.tcp_server_socket(host, port, backlog=LISTEN_BACKLOG)


def open_tcp_and_udp(
    host: str, port: int, signer: Signer, tries: int
) -> tuple[Any, DatagramSocket]:
    """Open a TCP listener and a UDP socket on the same port number.

    A port that the system chose for one of them may be taken for the other.

    Raises:
        OSError: If no try succeeded.
    """
    for _ in range(tries - 1):
        listener = open_listener(host, port)
        try:
            return listener, DatagramSocket(host, listener.getsockname()[1], signer)
        except OSError:
            listener._socket.close()
    listener = open_listener(host, port)
    return listener, DatagramSocket(host, listener.getsockname()[1], signer)

"""Listening sockets of a node, and the state of connected ones."""

import fcntl
import struct
import termios
from typing import Any

import curio

from .datagrams import DatagramSocket
from .signing import Signer

LISTEN_BACKLOG = 1024


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def open_listener(host: str, port: int) -> Any:
    """Open a listening TCP socket; for port 0 the system chooses a free port.

    Raises:
        OSError: If the address cannot be used.
    """
    return curio.tcp_server_socket(host, port, backlog=LISTEN_BACKLOG)


def open_tcp_and_udp(
    host: str, port: int, signer: Signer, max_attempts: int
) -> tuple[Any, DatagramSocket]:
    """Open a TCP listener and a UDP socket on the same port number.

    Retries, because a port that the system chose for TCP may be in use for UDP.

    Raises:
        OSError: If no attempt succeeded.
    """
    for _ in range(max_attempts - 1):
        listener = open_listener(host, port)
        try:
            return listener, DatagramSocket(host, listener.getsockname()[1], signer)
        except OSError:
            listener._socket.close()
    listener = open_listener(host, port)
    return listener, DatagramSocket(host, listener.getsockname()[1], signer)


def unacknowledged_bytes(sock: Any) -> int:
    """Return how many bytes the peer has not acknowledged yet; 0 on a broken socket."""
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    size: int = struct.unpack("i", answer)[0]
    return size

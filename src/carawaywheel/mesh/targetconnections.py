"""Connections to the local target, which show whether its process has been replaced."""

import socket
from abc import ABC, abstractmethod

from ..errors import PeerError
from ..pool import ClientConnection, ConnectionPool

# First byte of Linux's ``tcp_info``: state of the connection.
TCP_INFO_BYTES = 1
TCP_ESTABLISHED = 1


class ConnectionObserver(ABC):
    """Receives what connection attempts show of the target."""

    @property
    @abstractmethod
    def needs_witness(self) -> bool:
        """Whether to keep an idle connection to recognize the process by."""

    @abstractmethod
    def on_refused(self) -> None:
        """Note that a connection failed while none was open: the target has ended."""

    @abstractmethod
    def on_connected(self, continuous: bool) -> None:
        """Note that a connection was opened; nothing has been sent on it.

        Args:
            continuous: Whether an earlier connection is still open, so that the process
                is known to be the same. Otherwise another one may have taken its place,
                also under the same id.
        """


class TargetConnections(ConnectionPool):
    """Connection pool of the local target.

    The end of a process closes all its connections before the next process can listen
    on its address, so that one open connection shows that it still runs.

    Attributes:
        observer: Receives what connection attempts show.
        connections: Connections that may be open, in use or idle.
        witness: Idle connection that was open when the others were closed after a
            failed exchange; it is kept open until the next one is opened.
    """

    def __init__(self, connect_timeout: float, observer: ConnectionObserver) -> None:
        super().__init__(connect_timeout)
        self.observer = observer
        self.connections: list[ClientConnection] = []
        self.witness: ClientConnection | None = None

    async def connect(self, address: str) -> ClientConnection:
        """Open a new connection; see the base class."""
        try:
            connection = await super().connect(address)
        except PeerError:
            if not self.any_open():
                self.observer.on_refused()
            raise
        self.observer.on_connected(self.any_open())
        self.forget_closed()
        self.connections.append(connection)
        witness, self.witness = self.witness, None
        if witness is not None:
            await witness.sock.close()
        return connection

    async def close_idle(self, address: str) -> None:
        """Close the idle connections, but keep an open one as the witness if needed."""
        if self.witness is None and self.observer.needs_witness:
            idle = self.idle_connections.get(address)
            while idle and self.witness is None:
                connection = idle.pop()
                if is_open(connection):
                    self.witness = connection
                else:
                    await connection.sock.close()
        await super().close_idle(address)

    def forget_closed(self) -> None:
        """Forget the connections that this node has closed."""
        # One that is open keeps any_open() from reaching those before it.
        self.connections = [
            connection
            for connection in self.connections
            if connection.sock._socket is not None
        ]

    def any_open(self) -> bool:
        """Return whether a connection is open; forget those that are not."""
        while self.connections:
            if is_open(self.connections[-1]):
                return True
            self.connections.pop()
        return False


def is_open(connection: ClientConnection) -> bool:
    """Return whether neither side has closed a connection.

    Data that was received before the end does not hide it, unlike in a read.
    """
    sock = connection.sock._socket
    if sock is None:
        return False
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return False
    return bool(info[0] == TCP_ESTABLISHED)

"""Monitor of the connections that clients have opened."""

import select
from typing import Any, NamedTuple

import curio

from .clock import Clock, SystemClock
from .http import ServerConnection
from .lingering import LINGER_SECONDS, Linger
from .sockets import unacknowledged_bytes
from .ticks import sleep_until_tick

BUSY_POLL_SECONDS = 0.05
IDLE_POLL_SECONDS = 0.25
HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class LingeringConnection(NamedTuple):
    """A connection whose output has ended.

    Attributes:
        connection: The connection.
        linger: Decides when it is given up.
    """

    connection: ServerConnection
    linger: Linger


class ConnectionMonitor:
    """Watches the connections of all listeners for clients that come to an end.

    It cancels the tasks of connections that the client has closed: one epoll object
    watches all connections, so that a request in flight needs no second task that waits
    for the client to hang up. It ends the connections whose client does not close them
    after the last response.

    Attributes:
        tasks: Task that serves each connection, by file descriptor.
        busy: File descriptors of connections on which a request runs.
        hung_up: File descriptors of connections that the client has closed.
        lingering: Connections whose output has ended, by file descriptor.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or SystemClock()
        self.epoll = select.epoll()
        self.tasks: dict[int, Any] = {}
        self.busy: set[int] = set()
        self.hung_up: set[int] = set()
        self.lingering: dict[int, LingeringConnection] = {}

    def add(self, fd: int, task: Any) -> None:
        """Start to monitor a connection on behalf of the task that serves it."""
        self.tasks[fd] = task
        self.epoll.register(fd, HANGUP_EVENTS | select.EPOLLET)

    def remove(self, fd: int) -> None:
        """Stop monitoring a connection; must be called before it is closed."""
        self.epoll.unregister(fd)
        self.tasks.pop(fd, None)
        self.busy.discard(fd)
        self.hung_up.discard(fd)
        self.lingering.pop(fd, None)

    def linger(
        self, fd: int, connection: ServerConnection, seconds: float = LINGER_SECONDS
    ) -> None:
        """End the output of a connection; its input ends when the client had time.

        Args:
            fd: File descriptor of the connection.
            connection: The connection, whose task goes on to read.
            seconds: Time for a client that has received everything to close it.
        """
        if connection.end_output() and fd not in self.lingering:
            linger = Linger(self.clock.now(), seconds)
            self.lingering[fd] = LingeringConnection(connection, linger)

    async def run(self) -> None:
        """Poll for hang-ups and the ends of lingering until cancelled."""
        while True:
            idle = not self.busy and not self.lingering
            await sleep_until_tick(IDLE_POLL_SECONDS if idle else BUSY_POLL_SECONDS)
            await self.poll()
            self.end_lingering()

    async def poll(self) -> None:
        """Cancel the tasks whose client hung up while a request runs."""
        for fd, _ in self.epoll.poll(0):
            self.hung_up.add(fd)
        for fd in list(self.hung_up & self.busy):
            self.hung_up.discard(fd)
            await self.tasks[fd].cancel(blocking=False)

    def end_lingering(self) -> None:
        """End the input of connections whose client had enough time to close them."""
        now = self.clock.now()
        for fd, (connection, linger) in list(self.lingering.items()):
            received, connection.received = connection.received, False
            unacknowledged = unacknowledged_bytes(connection.sock)
            if linger.is_over(now, received, unacknowledged):
                del self.lingering[fd]
                connection.end_input()

    async def wait_for_lingering(self) -> None:
        """Wait until each connection that lingers now is closed or given up."""
        lingering = dict(self.lingering)
        while any(self.lingering.get(fd) is item for fd, item in lingering.items()):
            await curio.sleep(BUSY_POLL_SECONDS)

    async def cancel_busy(self) -> None:
        """Cancel the tasks of all connections on which a request runs."""
        for fd in list(self.busy):
            await self.tasks[fd].cancel(blocking=False)

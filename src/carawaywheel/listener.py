"""Accepting connections and noticing callers that go away."""

import select
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import curio
from loguru import logger

from .datagrams import format_address
from .errors import ProtocolError
from .http import (
    CALLER_KEEPALIVE,
    BodyBudget,
    Request,
    ServerConnection,
    set_socket_options,
)
from .pipelining import MAX_PIPELINED_REQUESTS, Pipeline, PipelinedExchange
from .serverexchange import ServerExchange

ACCEPT_RETRY_SECONDS = 0.05
HANGUP_INTERVAL_SECONDS = 0.05
IDLE_INTERVAL_SECONDS = 0.25
SWEEP_SECONDS = 1.0
HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class RequestHandler(ABC):
    """Handles the requests of one listener."""

    @abstractmethod
    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Answer one request on its connection.

        Raises:
            ProtocolError: If the exchange broke; the connection is then closed.
        """

    def may_overlap(self, request: Request) -> bool:
        """Return whether a request may run before earlier ones are answered.

        One that must not be repeated may not: the caller sends it again if an earlier
        answer closes the connection.
        """
        return False


class HangupMonitor:
    """Cancels the tasks of callers that closed their connection.

    One epoll object holds all connections, so that a request in flight needs
    no task of its own that waits for the caller to go away.
    """

    def __init__(self) -> None:
        self.poller = select.epoll()
        self.tasks: dict[int, Any] = {}
        self.busy: set[int] = set()
        self.hung_up: set[int] = set()

    def add(self, fd: int, task: Any) -> None:
        """Watch a connection on behalf of the task that serves it."""
        self.tasks[fd] = task
        self.poller.register(fd, HANGUP_EVENTS | select.EPOLLET)

    def remove(self, fd: int) -> None:
        """Stop watching a connection; must come before it is closed."""
        self.poller.unregister(fd)
        self.tasks.pop(fd, None)
        self.busy.discard(fd)
        self.hung_up.discard(fd)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            idle = not self.busy
            await curio.sleep(
                IDLE_INTERVAL_SECONDS if idle else HANGUP_INTERVAL_SECONDS
            )
            await self.poll()

    async def poll(self) -> None:
        """Cancel the tasks whose caller has gone while a request runs."""
        for fd, _ in self.poller.poll(0):
            self.hung_up.add(fd)
        for fd in list(self.hung_up & self.busy):
            self.hung_up.discard(fd)
            await self.tasks[fd].cancel(blocking=False)


class Listener:
    """A listening socket and the connections accepted on it.

    Attributes:
        address: IP address and port that callers use.
        connections: Open connections by file descriptor.
        idle: Connections on which no request runs, with the sweep that saw them first.
        sweeps: Sweeps so far; None without sweeps.
        closing: Whether every answer ends its connection.
    """

    def __init__(
        self,
        name: str,
        sock: Any,
        handler: RequestHandler,
        watch: HangupMonitor,
        limit: int,
        budget: BodyBudget,
    ) -> None:
        self.budget = budget
        self.name = name
        self.handler = handler
        self.watch = watch
        self.limit = limit
        # Accepted connections take over these options of the listening socket.
        set_socket_options(sock, CALLER_KEEPALIVE)
        self.sock = sock
        self.address = format_address(sock.getsockname())
        self.connections: dict[int, ServerConnection] = {}
        self.idle: dict[int, int] = {}
        self.sweeps: int | None = None
        self.closing = False
        self.on_protocol_error: Callable[[str], None] = lambda name: None

    async def run(self) -> None:
        """Accept connections until cancelled."""
        while True:
            try:
                client, address = await self.sock.accept()
            except OSError as error:
                # Out of file descriptors: the listener survives and tries again.
                logger.warning("cannot accept on {}: {}", self.name, error)
                await curio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            if len(self.connections) >= self.limit:
                await client.close()
                continue
            await curio.spawn(self.serve, client, address, daemon=True)

    async def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Serve one connection until it closes."""
        fd = sock.fileno()
        connection = ServerConnection(sock, f"{address[0]}:{address[1]}", self.budget)
        connection.last = self.closing
        connection.has_idle_reaper = self.sweeps is not None
        self.connections[fd] = connection
        self.watch.add(fd, await curio.current_task())
        try:
            await self.serve_requests(connection, fd)
        except (OSError, curio.CancelledError):
            # The caller has gone or the node is stopping: nobody reads an answer.
            pass
        except Exception:
            # A fault in the handling of one request must not end the node.
            logger.exception("request on {} from {} failed", self.name, connection.peer)
            self.on_protocol_error(self.name)
        finally:
            self.watch.remove(fd)
            self.idle.pop(fd, None)
            del self.connections[fd]
            await sock.close()

    async def serve_requests(self, connection: ServerConnection, fd: int) -> None:
        """Serve the requests of one connection, side by side where that is allowed."""
        line = Pipeline(connection)
        try:
            while True:
                if not line.turns:
                    self.idle[fd] = self.sweeps or 0
                request = await connection.next_request()
                self.idle.pop(fd, None)
                if request is None:
                    return
                if not await self.serve_next(connection, request, line, fd):
                    await line.wait()
                    return
        except ProtocolError as error:
            self.on_protocol_error(self.name)
            await line.wait()
            await self.answer_bad_input(connection, error)
        finally:
            connection.disconnected = True
            await line.cancel()

    async def serve_next(
        self, connection: ServerConnection, request: Request, line: Pipeline, fd: int
    ) -> bool:
        """Serve a request, or begin to; return whether another one may follow."""
        overlaps = connection.is_whole() and connection.is_pipelined()
        if overlaps and self.handler.may_overlap(request):
            await line.wait(MAX_PIPELINED_REQUESTS - 1)
            turn = line.add()
            turn.task = await curio.spawn(
                self.serve_turn, turn, request, line, fd, daemon=True
            )
            connection.finished = True
            return connection.reuse()
        await line.wait()
        await self.serve_one(connection, request, fd)
        if not connection.reuse():
            return False
        connection.look_ahead()
        return True

    async def serve_turn(
        self, turn: PipelinedExchange, request: Request, line: Pipeline, fd: int
    ) -> None:
        """Run the handler for a request that others of its connection overlap."""
        self.watch.busy.add(fd)
        whole = cancelled = False
        try:
            await self.handler.handle(turn, request)
            whole = turn.finished
        except curio.CancelledError:
            # Whoever cancelled it ends the connection.
            cancelled = True
            raise
        except (OSError, ProtocolError):
            self.on_protocol_error(self.name)
        except Exception:
            # A fault in the handling of one request must not end the node.
            logger.exception("request on {} from {} failed", self.name, turn.peer)
            self.on_protocol_error(self.name)
        finally:
            if not cancelled:
                await self.end_turn(turn, line, fd, whole)
            await line.finish(turn)
            if not line.turns and not turn.connection.disconnected:
                self.watch.busy.discard(fd)
                self.idle[fd] = self.sweeps or 0

    async def end_turn(
        self, turn: PipelinedExchange, line: Pipeline, fd: int, whole: bool
    ) -> None:
        """End the connection after its last answer, or after one that failed."""
        if not whole:
            await line.cancel(after=turn)
            await turn.wait_turn()
        if turn.connection.disconnected or fd not in self.connections:
            return
        if not whole or turn.last:
            turn.connection.disconnected = True
            turn.sock._socket.shutdown(socket.SHUT_RD)

    async def serve_one(
        self, connection: ServerConnection, request: Request, fd: int
    ) -> None:
        """Run the handler; a caller that goes away meanwhile cancels it."""
        self.idle.pop(fd, None)
        self.watch.busy.add(fd)
        try:
            await self.handler.handle(connection, request)
        finally:
            self.watch.busy.discard(fd)
            connection.release_body()

    async def answer_bad_input(
        self, connection: ServerConnection, error: ProtocolError
    ) -> None:
        """Tell the caller what was wrong, unless it is gone."""
        try:
            await connection.respond_input_error(error)
        except ProtocolError:
            self.on_protocol_error(self.name)

    def drain(self) -> None:
        """End each connection after its next answer; requests are still served."""
        self.closing = True
        for connection in self.connections.values():
            connection.last = True

    def close_idle_connections(self) -> None:
        """Wake the connections on which no request runs, so that they close."""
        for fd in self.idle:
            self.connections[fd].sock._socket.shutdown(socket.SHUT_RD)

    async def run_idle_reaper(self, idle_seconds: Callable[[], float]) -> None:
        """Close connections that stay idle for too long, until cancelled.

        Args:
            idle_seconds: Returns the longest time in seconds.
        """
        self.sweeps = 0
        while True:
            await curio.sleep(SWEEP_SECONDS)
            self.sweeps += 1
            oldest = self.sweeps - idle_seconds() / SWEEP_SECONDS
            for fd, since in list(self.idle.items()):
                if since < oldest:
                    self.connections[fd].sock._socket.shutdown(socket.SHUT_RD)

    async def close(self) -> None:
        """Stop listening."""
        await self.sock.close()

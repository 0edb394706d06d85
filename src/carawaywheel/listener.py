"""Listeners: accept connections, run request handlers, end connections."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import curio
from curio.io import Socket
from loguru import logger

from .connectionmonitor import ConnectionMonitor
from .datagrams import format_address
from .errors import ProtocolError
from .http import (
    CALLER_KEEPALIVE,
    BodyBudget,
    Request,
    ServerConnection,
    set_socket_options,
)
from .lingering import IDLE_LINGER_SECONDS
from .pipelining import MAX_PIPELINED_REQUESTS, Pipeline, PipelinedExchange
from .serverexchange import ServerExchange
from .ticks import sleep_until_tick

ACCEPT_RETRY_SECONDS = 0.05
REAPER_INTERVAL_SECONDS = 1.0


class RequestHandler(ABC):
    """Handles the requests of one listener."""

    @abstractmethod
    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Handle one request and send its response.

        Raises:
            ProtocolError: If the exchange failed; the connection is then closed.
        """

    def may_run_concurrently(self, request: Request) -> bool:
        """Return whether a pipelined request may run before earlier ones end.

        Requests that must not run twice may not: a client sends them again if an
        earlier response closes the connection.
        """
        return False


class Listener:
    """A listening socket and the connections accepted on it.

    Attributes:
        address: IP address and port that clients connect to.
        connections: Open connections by file descriptor.
        idle_since: Reaper tick at which each idle connection became idle, by file
            descriptor.
        reaper_ticks: Ticks of the idle reaper so far; None if it does not run.
        draining: Whether connections close after their next response.
        on_protocol_error: Called with the listener's name after each failed exchange.
    """

    def __init__(
        self,
        name: str,
        sock: Any,
        handler: RequestHandler,
        monitor: ConnectionMonitor,
        max_connections: int,
        budget: BodyBudget,
    ) -> None:
        self.budget = budget
        self.name = name
        self.handler = handler
        self.monitor = monitor
        self.max_connections = max_connections
        # Accepted connections inherit these options from the listening socket.
        set_socket_options(sock, CALLER_KEEPALIVE)
        self.sock = sock
        self.address = format_address(sock.getsockname())
        self.connections: dict[int, ServerConnection] = {}
        self.idle_since: dict[int, int] = {}
        self.reaper_ticks: int | None = None
        self.draining = False
        self.on_protocol_error: Callable[[str], None] = lambda name: None

    async def run(self) -> None:
        """Accept connections until cancelled."""
        while True:
            try:
                client, address = await self.sock.accept()
            except OSError as error:
                # For example, too many open files; the listener must keep running.
                logger.warning(
                    "listener {}: accept failed, retrying: {}", self.name, error
                )
                await curio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            if len(self.connections) >= self.max_connections:
                await client.close()
                continue
            await curio.spawn(self.serve(client, address), daemon=True)

    async def serve(self, sock: Any, address: tuple[str, int]) -> None:
        """Serve one connection until it closes."""
        fd = sock.fileno()
        connection = ServerConnection(sock, f"{address[0]}:{address[1]}", self.budget)
        connection.close_after_response = self.draining
        connection.has_idle_reaper = self.reaper_ticks is not None
        self.connections[fd] = connection
        connection.task = await curio.current_task()
        self.monitor.add(fd, connection.task)
        try:
            await self.serve_connection(connection, fd)
            self.monitor.linger(fd, connection)
            await connection.discard_input()
        except (OSError, curio.CancelledError):
            # The client disconnected or the node is stopping: no response is read.
            pass
        except Exception:
            # An unexpected error in one request must not stop the node.
            logger.exception(
                "listener {}: request from {} failed", self.name, connection.peer
            )
            self.on_protocol_error(self.name)
        finally:
            self.monitor.remove(fd)
            self.idle_since.pop(fd, None)
            del self.connections[fd]
            await sock.close()

    async def serve_connection(self, connection: ServerConnection, fd: int) -> None:
        """Serve the requests of one connection, some pipelined ones concurrently.

        A request runs concurrently only if the handler allows it to overlap.
        """
        pipeline = Pipeline(connection)
        try:
            while True:
                if not pipeline.pending and not connection.closing:
                    self.idle_since[fd] = self.reaper_ticks or 0
                request = await connection.next_request()
                self.idle_since.pop(fd, None)
                if request is None:
                    return
                if not await self.serve_next(connection, request, pipeline, fd):
                    await pipeline.wait_for_responses()
                    return
        except ProtocolError as error:
            await pipeline.wait_for_responses()
            if connection.closing and not connection.response_started:
                # What arrives behind the last response is not served.
                return
            self.on_protocol_error(self.name)
            await self.send_input_error(connection, error)
        finally:
            connection.disconnected = True
            await pipeline.cancel()

    async def serve_next(
        self,
        connection: ServerConnection,
        request: Request,
        pipeline: Pipeline,
        fd: int,
    ) -> bool:
        """Serve a request, or start it if it is pipelined.

        A request that crosses a response that closes the connection is not served: its
        client sends it again.

        Returns:
            Whether another request may follow on the connection.
        """
        if connection.closing:
            return False
        pipeline.note_request()
        overlaps = connection.is_complete_without_body() and connection.is_pipelined()
        if overlaps and self.handler.may_run_concurrently(request):
            await pipeline.wait_for_responses(MAX_PIPELINED_REQUESTS - 1)
            if connection.closing:
                return False
            exchange = pipeline.add()
            exchange.task = await curio.spawn(
                self.serve_pipelined, exchange, request, pipeline, fd, daemon=True
            )
            connection.response_finished = True
            # While connections close, its response is the last one.
            return not connection.close_after_response and (
                connection.prepare_next_request()
            )
        if pipeline.pending:
            await pipeline.wait_for_responses()
            if connection.closing:
                return False
        await self.serve_exclusively(connection, request, fd)
        if not connection.prepare_next_request():
            return False
        connection.detect_pipelining()
        return True

    async def serve_pipelined(
        self, exchange: PipelinedExchange, request: Request, pipeline: Pipeline, fd: int
    ) -> None:
        """Run the handler for a request that overlaps with others of its connection."""
        self.monitor.busy.add(fd)
        complete = cancelled = False
        try:
            await self.handler.handle(exchange, request)
            complete = exchange.response_finished
        except curio.CancelledError:
            # The task that cancelled it closes the connection.
            cancelled = True
            raise
        except (OSError, ProtocolError):
            self.on_protocol_error(self.name)
        except Exception:
            # An unexpected error in one request must not stop the node.
            logger.exception(
                "listener {}: request from {} failed", self.name, exchange.peer
            )
            self.on_protocol_error(self.name)
        finally:
            if not cancelled:
                await self.finish_pipelined(exchange, pipeline, fd, complete)
            await pipeline.finish(exchange)
            if not pipeline.pending and not exchange.connection.disconnected:
                self.monitor.busy.discard(fd)
                if not exchange.connection.closing:
                    self.idle_since[fd] = self.reaper_ticks or 0

    async def finish_pipelined(
        self, exchange: PipelinedExchange, pipeline: Pipeline, fd: int, complete: bool
    ) -> None:
        """Close the connection if this was its last response or if it failed.

        After a failure the requests behind it are cancelled, as the client could not
        tell their responses from the rest of the truncated one.
        """
        connection = exchange.connection
        if not complete:
            connection.closing = exchange.closing = True
            await pipeline.cancel(after=exchange)
            await exchange.wait_for_earlier_responses()
        if exchange.closing and self.connections.get(fd) is connection:
            self.monitor.linger(fd, connection)

    async def serve_exclusively(
        self, connection: ServerConnection, request: Request, fd: int
    ) -> None:
        """Run the handler for a request that no other request overlaps."""
        self.idle_since.pop(fd, None)
        self.monitor.busy.add(fd)
        try:
            await self.handler.handle(connection, request)
        finally:
            self.monitor.busy.discard(fd)
            connection.release_body()

    async def send_input_error(
        self, connection: ServerConnection, error: ProtocolError
    ) -> None:
        """Send an error response for malformed input, if the client is still there."""
        try:
            await connection.respond_input_error(error)
        except ProtocolError:
            self.on_protocol_error(self.name)

    def drain(self) -> None:
        """Close each connection after its next response; requests are still served."""
        self.draining = True
        for connection in self.connections.values():
            connection.close_after_response = True

    def close_idle_connections(self) -> None:
        """Close the idle connections on which nothing has arrived."""
        for fd in list(self.idle_since):
            self.close_idle(fd)

    def close_idle(self, fd: int) -> None:
        """Close an idle connection, unless a request has arrived on it."""
        connection = self.connections[fd]
        if not connection.has_unread_input():
            del self.idle_since[fd]
            self.monitor.linger(fd, connection, IDLE_LINGER_SECONDS)

    async def run_idle_reaper(self, idle_seconds: Callable[[], float]) -> None:
        """Close connections that are idle for too long, until cancelled.

        Args:
            idle_seconds: Returns the longest idle time in seconds.
        """
        self.reaper_ticks = 0
        while True:
            await sleep_until_tick(REAPER_INTERVAL_SECONDS)
            self.reaper_ticks += 1
            min_tick = self.reaper_ticks - idle_seconds() / REAPER_INTERVAL_SECONDS
            for fd, since in list(self.idle_since.items()):
                if since < min_tick:
                    self.close_idle(fd)

    async def close(self) -> None:
        """Stop listening; connections that clients have already opened are served.

        ``run`` must have ended before.
        """
        while (accepted := accept_available(self.sock)) is not None:
            await curio.spawn(self.serve, *accepted, daemon=True)
        await self.sock.close()


def accept_available(sock: Any) -> tuple[Any, tuple[str, int]] | None:
    """Accept a connection that a client has opened; return None if there is none."""
    try:
        client, address = sock._socket.accept()
    except OSError:
        return None
    return Socket(client), address

"""HTTP pipelining: requests that arrive before the responses to earlier ones are sent.

They run concurrently, and their responses are sent in the order of the requests.
"""

from typing import Any

import curio

from .http import ServerConnection
from .serverexchange import ServerExchange

# Further requests of the connection wait in the socket buffer.
MAX_PIPELINED_REQUESTS = 32


class PipelinedExchange(ServerExchange):
    """A pipelined request, whose response waits for those to earlier requests.

    Attributes:
        connection: Connection that the request arrived on.
        previous: Request before this one; None if its response was sent.
        done: Set when the response was sent or no longer can be.
        is_newest: Whether no later request was read.
        task: Task that runs the request.
    """

    def __init__(
        self, connection: ServerConnection, previous: "PipelinedExchange | None"
    ) -> None:
        super().__init__(connection.sock, connection.peer)
        self.connection = connection
        self.previous = previous
        self.is_head_request = connection.is_head_request
        self.done = curio.Event()
        self.is_newest = True
        self.task: Any = None

    @property
    def close_after_response(self) -> bool:  # type: ignore[override]
        """Whether the connection closes after this response."""
        return self.connection.close_after_response and self.is_newest

    def announce_close(self) -> None:
        """Note that this response announces the close; see the base class."""
        self.closing = self.connection.closing = True

    async def read_body(self, limit: int) -> bytes:
        """Return no body, as pipelined requests have none; see the base class."""
        return b""

    def close_if_body_unread(self) -> None:
        """Do nothing, as the request has no body; see the base class."""

    async def wait_for_earlier_responses(self) -> None:
        """Wait for the responses to earlier requests; see the base class."""
        if self.previous is not None:
            await self.previous.done.wait()
            self.previous = None


class Pipeline:
    """Requests of one connection that run concurrently.

    Attributes:
        pending: Requests whose response was not sent, oldest first.
    """

    def __init__(self, connection: ServerConnection) -> None:
        self.connection = connection
        self.pending: list[PipelinedExchange] = []

    def note_request(self) -> None:
        """Note that a request was read, whose response is now the last one."""
        if self.pending:
            self.pending[-1].is_newest = False

    def add(self) -> PipelinedExchange:
        """Add the request that was read last and return its exchange."""
        exchange = PipelinedExchange(
            self.connection, self.pending[-1] if self.pending else None
        )
        self.pending.append(exchange)
        return exchange

    async def finish(self, exchange: PipelinedExchange) -> None:
        """Remove a request whose response is done, so that the next one can be sent."""
        self.pending.remove(exchange)
        await exchange.done.set()

    async def wait_for_responses(self, max_pending: int = 0) -> None:
        """Wait until at most a number of requests are pending."""
        while len(self.pending) > max_pending:
            await self.pending[0].done.wait()

    async def cancel(self, after: PipelinedExchange | None = None) -> None:
        """Cancel the pending requests, or only those after one of them."""
        start = self.pending.index(after) + 1 if after is not None else 0
        for exchange in self.pending[start:]:
            if exchange.task is not None:
                await exchange.task.cancel(blocking=False)

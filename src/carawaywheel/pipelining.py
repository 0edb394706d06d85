"""Requests that arrive before earlier ones of their connection were answered.

They run side by side, and their answers are sent in the order of the requests.
"""

from typing import Any

import curio

from .http import ServerConnection
from .serverexchange import ServerExchange

# Requests of one connection that run at once; more wait in the socket.
MAX_PIPELINED_REQUESTS = 32


class PipelinedExchange(ServerExchange):
    """A request whose answer waits for those to earlier requests.

    Attributes:
        connection: The connection.
        earlier: The request before it, None if that was answered.
        done: Set when the answer was sent or can't be any more.
        task: Task that runs the request.
    """

    def __init__(
        self, connection: ServerConnection, earlier: "PipelinedExchange | None"
    ) -> None:
        super().__init__(connection.sock, connection.peer)
        self.connection = connection
        self.earlier = earlier
        self.without_body = connection.without_body
        self.done = curio.Event()
        self.newest = True
        self.task: Any = None
        if earlier is not None:
            earlier.newest = False

    @property
    def last(self) -> bool:  # type: ignore[override]
        """Whether the connection closes after this answer."""
        return self.connection.last and self.newest

    async def read_body(self, limit: int) -> bytes:
        """Return no body, as only requests without one overlap; see the base class."""
        return b""

    def close_if_body_unread(self) -> None:
        """Do nothing, as the request was read; see the base class."""

    async def wait_turn(self) -> None:
        """Wait for the answers to earlier requests; see the base class."""
        if self.earlier is not None:
            await self.earlier.done.wait()
            self.earlier = None


class Pipeline:
    """Requests of one connection that run side by side.

    Attributes:
        turns: Those of them that are not answered, oldest first.
    """

    def __init__(self, connection: ServerConnection) -> None:
        self.connection = connection
        self.turns: list[PipelinedExchange] = []

    def add(self) -> PipelinedExchange:
        """Add the request that was read last."""
        turn = PipelinedExchange(
            self.connection, self.turns[-1] if self.turns else None
        )
        self.turns.append(turn)
        return turn

    async def finish(self, turn: PipelinedExchange) -> None:
        """Let the next answer be sent."""
        self.turns.remove(turn)
        await turn.done.set()

    async def wait(self, most: int = 0) -> None:
        """Wait until at most some requests are not answered."""
        while len(self.turns) > most:
            await self.turns[0].done.wait()

    async def cancel(self, after: PipelinedExchange | None = None) -> None:
        """Cancel the requests that are not answered, or only those after one."""
        start = self.turns.index(after) + 1 if after is not None else 0
        for turn in self.turns[start:]:
            if turn.task is not None:
                await turn.task.cancel(blocking=False)

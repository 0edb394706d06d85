"""Readiness checks of the platform and heartbeats of the local target."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from ..errors import ProtocolError
from ..http import Request
from ..listener import RequestHandler
from ..platform.heartbeats import (
    HEARTBEAT_RESPONSE,
    READINESS_PATH,
    decode_deregistration,
    decode_heartbeat,
    target_id_from_path,
)
from ..serverexchange import JSON_HEADER, ServerExchange
from .journal import Journal
from .target import LocalTarget, Phase

MAX_HEARTBEAT_BYTES = 64 * 1024


class ReadinessHandler(RequestHandler):
    """Responds to the platform's readiness checks of this node.

    Attributes:
        find_obstacle: Returns why the node is not ready, as the JSON object to
            respond; empty if it is ready.
    """

    def __init__(self, find_obstacle: Callable[[], dict[str, Any]]) -> None:
        self.find_obstacle = find_obstacle

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Handle one request; see the base class."""
        await connection.read_body(0)
        if request.path != READINESS_PATH:
            await connection.respond(404, [JSON_HEADER], b"{}")
            return
        obstacle = self.find_obstacle()
        content = msgspec.json.encode(obstacle)
        await connection.respond(503 if obstacle else 200, [JSON_HEADER], content)


class HeartbeatHandler(RequestHandler):
    """Receives the heartbeats of the local target.

    That the target leaves is confirmed once it is known outside of this process, as
    the confirmation binds the next process, too.

    Attributes:
        on_change: Awaited when the state of the target that others know has changed.
        wait_until_saved: Returns whether what was published last is known outside of
            this process, after some time for it.
        time_of_day: Returns the Unix time in seconds.
    """

    def __init__(
        self,
        target: LocalTarget,
        on_change: Callable[[], Awaitable[None]],
        wait_until_saved: Callable[[], Awaitable[bool]],
        journal: Journal,
        time_of_day: Callable[[], float] = time.time,
    ) -> None:
        self.target = target
        self.on_change = on_change
        self.wait_until_saved = wait_until_saved
        self.journal = journal
        self.time_of_day = time_of_day

    async def handle(self, connection: ServerExchange, request: Request) -> None:
        """Handle one request; see the base class."""
        body = await connection.read_body(MAX_HEARTBEAT_BYTES)
        previous_state = self.published_state()
        if request.method == "DELETE" and target_id_from_path(request.path):
            is_leaving = self.deregister(request.path, body)
        elif request.method == "PUT":
            is_leaving = self.receive(request.path, body)
        else:
            await connection.respond(404, [JSON_HEADER], b"{}")
            return
        if self.published_state() != previous_state:
            self.journal.write("target", target=str(self.target.heartbeat))
            await self.on_change()
        if is_leaving and not await self.wait_until_saved():
            self.journal.write("leaving_not_saved", path=request.path)
            await connection.respond(503, [JSON_HEADER], b"{}")
            return
        await connection.respond(200, [JSON_HEADER], HEARTBEAT_RESPONSE)

    def deregister(self, path: str, body: bytes) -> bool:
        """Apply a deregistration; return whether the target is leaving.

        Without an incarnation in it, the present one of this id is meant, or else any
        that has begun until now.
        """
        target_id = target_id_from_path(path)
        incarnation = None
        try:
            incarnation = decode_deregistration(path, body)
        except ProtocolError as error:
            self.journal.write("deregistration_invalid", error=str(error))
        if incarnation is None:
            incarnation = self.target.incarnation_of(target_id)
        if incarnation is None:
            incarnation = int(self.time_of_day() * 1000)
        self.target.deregister(target_id, incarnation)
        self.journal.write("deregistered", target=target_id, incarnation=incarnation)
        return self.target.leaving

    def receive(self, path: str, body: bytes) -> bool:
        """Apply a heartbeat; return whether it says that the target is leaving.

        A malformed or late one is logged and ignored.
        """
        try:
            heartbeat = decode_heartbeat(path, body)
        except ProtocolError as error:
            self.journal.write("heartbeat_invalid", error=str(error))
            return False
        if not self.target.receive(heartbeat):
            self.journal.write("heartbeat_late", target=str(heartbeat))
        return heartbeat.phase is not Phase.READY and self.target.leaving

    def published_state(self) -> tuple[object, ...]:
        """Return the state of the target that is published to other nodes."""
        heartbeat = self.target.heartbeat
        if heartbeat is None:
            return (self.target.leaving,)
        return (
            heartbeat.target_id,
            heartbeat.incarnation,
            heartbeat.phase,
            heartbeat.slots,
        )

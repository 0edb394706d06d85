"""Stand-in for a server of the platform, with its check-ins."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from .messages import Exchange, HttpListener, Message, encode_response, send

SIGNATURE = "digest-of-the-server"
# Requests that wait while all slots are taken.
QUEUE_LENGTH = 8
CHECK_IN_SECONDS = 1.0


class Server:
    """One lifetime of a server.

    Attributes:
        identity: Its id.
        born_ms: Its start by the time of day of its machine, in Unix milliseconds.
        slots: Requests that it runs at the same time.
        work: Seconds that a request takes.
        phase: Phase in its check-ins.
        sequence: Number of its last check-in.
        running: Attempt ids that run now.
        checks_in: Whether it sends check-ins by itself.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        address: str,
        control: str,
        record: Callable[..., None],
        born_ms: int | None = None,
        slots: int = 4,
        work: float = 0.02,
    ) -> None:
        self.identity = identity
        self.service = service
        self.address = address
        self.control = control
        self.record = record
        self.born_ms = int(time.time() * 1000) if born_ms is None else born_ms
        self.slots = slots
        self.work = work
        self.phase = "ready"
        self.sequence = 0
        self.running: set[str] = set()
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.listener = HttpListener(address, self.handle)
        self.check_ins: asyncio.Task[None] | None = None
        self.checks_in = True

    async def start(self, interval: float = 0.5) -> None:
        """Listen, and check in at intervals."""
        await self.listener.start()
        self.record("server starts", server=self.identity, born_ms=self.born_ms)
        self.check_ins = asyncio.ensure_future(self.run_check_ins(interval))

    async def crash(self) -> None:
        """End at once."""
        self.stop_check_ins()
        await self.listener.close()
        self.record("server ends", server=self.identity)

    def stop_check_ins(self) -> None:
        """Send no further check-ins.

        A cancellation alone may be lost: ``asyncio.wait_for`` drops it if the
        connection fails at the same moment.
        """
        self.checks_in = False
        if self.check_ins is not None:
            self.check_ins.cancel()

    async def run_check_ins(self, interval: float) -> None:
        """Check in at intervals until told to stop."""
        while self.checks_in:
            await self.check_in()
            await asyncio.sleep(interval)

    def next_check_in(self) -> bytes:
        """Return the body of the next check-in."""
        self.sequence += 1
        info = {"service": self.service, "version": "v1", "zone": "a"}
        status = {"phase": self.phase, "sequence": self.sequence, "warmup_left_s": 0}
        document = {
            "address": self.address,
            "born": self.born_ms,
            "info": {**info, "capacity": self.slots},
            "status": status,
        }
        return json.dumps(document).encode()

    async def check_in(self) -> bool:
        """Check in now; return whether it was confirmed within a second."""
        answer = await self.deliver(self.next_check_in())
        return answer.status == 200

    async def deliver(self, body: bytes) -> Exchange:
        """Send a check-in, which may have been held up on its way."""
        headers = [("host", self.control), ("content-type", "application/json")]
        path = f"/api/instances/{self.identity}"
        return await send(self.control, "PUT", path, headers, body, CHECK_IN_SECONDS)

    async def deregister(self) -> bool:
        """Say that the server leaves; return whether that was confirmed."""
        self.stop_check_ins()
        headers = [("host", self.control)]
        path = f"/api/instances/{self.identity}"
        answer = await send(
            self.control, "DELETE", path, headers, b"", CHECK_IN_SECONDS
        )
        return answer.status == 200

    async def handle(self, message: Message, _: Any) -> bytes | None:
        """Handle one request."""
        attempt = message.header("x-attempt-id")
        stated = [("x-attempt-id", attempt)]
        load = f"{len(self.running)},{self.waiting},{self.slots}"
        stated.append(("x-server-load", load))
        expected = message.header("x-expected-instance")
        if expected not in ("", self.identity):
            stated.append(("x-instance-id", self.identity))
            return encode_response(421, stated, b"")
        if message.first[1] == "/healthz":
            stated.append(("x-instance-id", self.identity))
            status = 200 if self.phase == "ready" else 503
            return encode_response(status, stated, b"")
        if self.waiting >= QUEUE_LENGTH:
            return encode_response(503, [*stated, ("x-not-executed", "1")], b"")
        return await self.run(message, attempt, stated)

    async def run(
        self, message: Message, attempt: str, stated: list[tuple[str, str]]
    ) -> bytes:
        """Run a request once a slot is free."""
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running.add(attempt)
        tenant = message.header("x-tenant")
        path = message.first[1]
        self.record("run", server=self.identity, id=attempt, path=path, tenant=tenant)
        ended = "dropped"
        try:
            await asyncio.sleep(self.work)
            ended = "done"
        finally:
            self.running.discard(attempt)
            self.free.release()
            self.record("run ends", server=self.identity, id=attempt, how=ended)
        headers = [*stated, ("x-response-signature", SIGNATURE)]
        body = f"{self.identity} {attempt}".encode()
        return encode_response(200, headers, body)

"""Stand-in for an application endpoint, with its check-ins.

Each request may ask by its query for work (``work``, in seconds), for a size of the
response (``bytes``). A faulty endpoint breaks responses off that ask for it by the byte
after which they end (``cut``). What the endpoint does is appended to a file, a JSON
document a line.
"""

import argparse
import asyncio
import hashlib
import json
import os
import time
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from .wire import Message, Reply, exchange, serve

CHECK_IN_SECONDS = 1.0
HEARTBEAT_SECONDS = 1.5
RETRY_SECONDS = 0.3


def signature(body: bytes) -> str:
    """Return the digest by which a client checks a body."""
    return hashlib.sha256(body).hexdigest()


class Endpoint:
    """An endpoint beside a node.

    Attributes:
        leaving: Whether it has begun to leave.
        sequence: Number of its newest check-in.
        late: Check-in that was sent and has not arrived yet; empty for none.
    """

    def __init__(self, options: Any) -> None:
        self.options = options
        self.born = int(time.time() * 1000)
        self.leaving = False
        self.sequence = 0
        self.late = b""
        self.file = open(options.record, "a", buffering=1)

    def note(self, event: str, **fields: Any) -> None:
        """Append a line to the record."""
        line = {"at": time.time(), "endpoint": self.options.id, "event": event}
        self.file.write(json.dumps({**line, **fields}) + "\n")

    async def handle(self, request: Message) -> Reply:
        """Handle one request."""
        url = urlsplit(request.first[1])
        if url.path == "/control":
            return self.control(json.loads(request.body))
        attempt = request.headers.get("x-attempt-id", "")
        headers = {"x-attempt-id": attempt}
        if request.headers.get("x-expected-instance") != self.options.id:
            return Reply(421, headers, b"")
        return await self.run(request, attempt, url.path, dict(parse_qsl(url.query)))

    async def run(
        self, request: Message, attempt: str, path: str, query: dict[str, str]
    ) -> Reply:
        """Run a request and return its response."""
        self.note(
            "run",
            id=attempt,
            method=request.first[0],
            path=path,
            body=len(request.body),
            caller=request.headers.get("x-caller-service"),
            tenant=request.headers.get("x-tenant"),
            deadline=request.headers.get("x-deadline-ms"),
        )
        try:
            await asyncio.sleep(float(query.get("work", "0.02")))
        except asyncio.CancelledError:
            self.note("dropped", id=attempt)
            raise
        document = {"id": attempt, "endpoint": self.options.id, "path": path}
        body = json.dumps(document).encode().ljust(int(query.get("bytes", "200")))
        cut = int(query["cut"]) if self.options.faulty and "cut" in query else None
        self.note("answered", id=attempt, bytes=len(body), cut=cut)
        headers = {
            "x-attempt-id": attempt,
            "x-response-signature": signature(body),
        }
        return Reply(200, headers, body, cut)

    def control(self, command: dict[str, Any]) -> Reply:
        """Carry out a command of the script."""
        if command.get("hold_up"):
            self.late = self.check_in()
            self.note("check-in sent that arrives late", sequence=self.sequence)
        if command.get("leave"):
            self.leaving = True
            asyncio.get_running_loop().create_task(
                self.leave(command["stays_s"], command["late_s"])
            )
        return Reply(200, {}, b"{}")

    def check_in(self) -> bytes:
        """Return the next check-in."""
        self.sequence += 1
        document = {
            "address": self.options.address,
            "born": self.born,
            "info": {
                "service": self.options.service,
                "version": "v1",
                "zone": self.options.zone,
                "capacity": self.options.slots,
            },
            "status": {
                "phase": "ready",
                "sequence": self.sequence,
                "warmup_left_s": 0,
            },
        }
        return json.dumps(document).encode()

    async def send(self, method: str, body: bytes) -> bool:
        """Send a check-in or a deregistration; return whether it is confirmed."""
        path = f"/api/instances/{self.options.id}"
        headers = {"content-type": "application/json"}
        response = await exchange(
            self.options.control, method, path, headers, body, CHECK_IN_SECONDS
        )
        return 200 <= response.status < 300

    async def run_check_ins(self) -> None:
        """Send check-ins until the endpoint leaves."""
        while not self.leaving:
            body = self.check_in()
            confirmed = await self.send("PUT", body)
            self.note("check-in", sequence=self.sequence, confirmed=confirmed)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def leave(self, stays_s: float, late_s: float) -> None:
        """Deregister without a notice, serve on for some time, and exit.

        Args:
            stays_s: Seconds for which the endpoint serves after the confirmation.
            late_s: Seconds after the confirmation at which the late check-in arrives.
        """
        own = json.dumps({"born": self.born}).encode()
        while not await self.send("DELETE", own):
            await asyncio.sleep(RETRY_SECONDS)
        self.note("leaving confirmed")
        await asyncio.sleep(late_s)
        confirmed = await self.send("PUT", self.late)
        self.note("late check-in arrived", confirmed=confirmed)
        await asyncio.sleep(stays_s - late_s)
        self.note("exit")
        os._exit(0)


async def run(options: Any) -> None:
    """Serve and check in until the process ends."""
    endpoint = Endpoint(options)
    server = asyncio.ensure_future(serve(options.address, endpoint.handle))
    await asyncio.sleep(0.2)
    check_ins = asyncio.ensure_future(endpoint.run_check_ins())
    await server
    await check_ins


def main() -> None:
    """Run the endpoint."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("id", "service", "zone", "address", "control", "record"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, default=60)
    parser.add_argument("--faulty", action="store_true", help="breaks responses off")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()

"""Stand-in for a target on the platform, with its heartbeats and its own calls.

It reports what it ran, so that tests judge from what targets and callers saw.
"""

import argparse
import json
import time
from typing import Any

import curio

from .caller import request as send
from .httpserver import (
    Request,
    Response,
    announce_address,
    json_response,
    open_listener,
    serve,
    single_chunk,
)

CONTROL_PATH = "/control"
RUNS_PATH = "/runs"
DIGEST = "digest-of-the-target"


class Endpoint:
    """A target.

    Attributes:
        identity: Its id.
        phase: What its heartbeats say; ``gone`` after it said that it leaves.
        work: Seconds that a request takes.
        mode: How answers are spoiled; empty for not at all.
        runs: Headers and path of all requests that ran.
    """

    def __init__(self, options: Any) -> None:
        self.options = options
        self.identity = options.id
        self.born = int(time.time() * 1000)
        self.phase = "ready"
        self.work = options.work
        self.mode = ""
        self.sequence = 0
        self.running = 0
        self.most = 0
        self.rejected = 0
        self.runs: list[dict[str, Any]] = []

    async def handle(self, request: Request) -> Response | None:
        """Answer one request."""
        if request.path == CONTROL_PATH:
            return await self.control(request.json())
        if request.path == RUNS_PATH:
            return json_response(
                {"runs": self.runs, "most": self.most, "rejected": self.rejected}
            )
        headers = request.headers
        if headers.get("x-expected-instance") not in (None, self.identity):
            return json_response({}, 421)
        if self.mode == "shed":
            self.rejected += 1
            body = b""
            return Response(503, [("x-not-executed", "1")], single_chunk(body), 0)
        return await self.work_on(request)

    async def work_on(self, request: Request) -> Response | None:
        """Run a request."""
        run = {"path": request.path, "at": time.time(), "headers": request.headers}
        run["body"] = len(request.body)
        run["done"] = False
        self.runs.append(run)
        self.running += 1
        self.most = max(self.most, self.running)
        try:
            called = not self.options.call or await self.call()
            await curio.sleep(self.work)
        finally:
            self.running -= 1
        run["done"] = True
        return self.answer(request, "" if called else "fail")

    async def call(self) -> bool:
        """Make the call that a request needs; return whether it succeeded."""
        host, path = self.options.call.split("/", 1)
        headers = [
            ("host", host),
            ("x-attempt-id", f"call-{self.identity}-{len(self.runs)}"),
        ]
        own = self.options.address.rpartition(":")[0]
        answer = await send(
            self.options.outbound, "GET", f"/{path}", headers, source=own
        )
        return answer.status == 200 and answer.complete

    def answer(self, request: Request, mode: str) -> Response | None:
        """Return the answer to a request, spoiled as the mode says."""
        mode = mode or self.mode
        content = json.dumps({"id": self.identity, "path": request.path}).encode()
        content = content.ljust(self.options.bytes)
        headers = [
            ("x-attempt-id", request.headers.get("x-attempt-id", "")),
            ("x-response-signature", DIGEST),
        ]
        if mode == "lost":
            return None
        if mode == "cut":
            return Response(200, headers, single_chunk(content), len(content), False, 3)
        if mode == "cut-late":
            stop = len(content) - 1
            return Response(
                200, headers, single_chunk(content), len(content), False, stop
            )
        if mode == "crossed":
            headers[0] = ("x-attempt-id", "another")
        if mode == "fail":
            return Response(500, headers, single_chunk(b"failed"), 6)
        return Response(200, headers, single_chunk(content), len(content))

    async def control(self, order: dict[str, Any]) -> Response:
        """Take an order of a test."""
        self.mode = order.get("mode", self.mode)
        self.work = order.get("work", self.work)
        self.identity = order.get("identity", self.identity)
        if "phase" in order:
            self.phase = order["phase"]
            await self.beat()
        return json_response({"running": self.running})

    async def beat(self) -> None:
        """Send a heartbeat, or say that the target leaves."""
        self.sequence += 1
        path = f"/api/instances/{self.identity}"
        if self.phase == "gone":
            await send(self.options.control, "DELETE", path, [])
            return
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
                "phase": self.phase,
                "sequence": self.sequence,
                "warmup_left_s": 0,
            },
        }
        body = json.dumps(document).encode()
        await send(self.options.control, "PUT", path, [], body)

    async def run_beats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            if self.phase != "gone":
                try:
                    await self.beat()
                except OSError:
                    # The node is away for a moment.
                    pass
            await curio.sleep(self.options.heartbeat)


async def run(options: Any) -> None:
    """Serve until the process ends."""
    listener = open_listener(options.address)
    announce_address(listener)
    endpoint = Endpoint(options)
    async with curio.TaskGroup() as group:
        await group.spawn(serve, listener, endpoint.handle)
        await group.spawn(endpoint.run_beats)


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", default="a")
    parser.add_argument("--address", required=True)
    parser.add_argument("--control", required=True)
    parser.add_argument("--outbound", required=True)
    parser.add_argument("--slots", type=int, default=10)
    parser.add_argument("--work", type=float, default=0.01)
    parser.add_argument("--bytes", type=int, default=0)
    parser.add_argument("--call", default="")
    parser.add_argument("--heartbeat", type=float, default=0.3)
    curio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()

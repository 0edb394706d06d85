"""Stand-in for a target on the platform, with its heartbeats and sub-calls.

It reports the requests that it ran, so that tests check what targets and callers
observed rather than what nodes report. With ``--record`` it also writes them to a file,
with the heartbeats that its node has acknowledged.
"""

import argparse
import json
import math
import os
import time
from collections import deque
from pathlib import Path
from typing import Any

import curio

from .caller import request as send_request
from .httpserver import (
    EndlessBytes,
    Request,
    Response,
    announce_address,
    json_response,
    open_listener,
    serve,
    single_chunk,
)

CONTROL_PATH = "/control"
FILLER_BYTES = 16384
RUNS_PATH = "/runs"
RESPONSE_SIGNATURE = "digest-of-the-target"
HEALTH_PATH = "/h"


class TargetInstance:
    """A target.

    Attributes:
        identity: Instance id.
        phase: Phase in its heartbeats; ``gone`` once it has deregistered.
        service_time: Seconds that a request takes.
        response_bytes: Size of the body of its responses, if larger than the usual one.
        call: Host and path of the sub-call of each request; empty for none.
        call_delay: Seconds between the start of a request and its sub-call.
        mode: Fault of its responses; empty for none.
        rate_limit: Rate limit that its responses state; empty for none.
        deadly: Prefix of the paths of requests that end the process as it begins to run
            them; empty for none.
        load: Load that its responses report, as the text of the header; empty for none.
        leaving: Whether its responses say that it is leaving.
        silent: Whether it sends no heartbeats by itself.
        tells_start: Whether its deregistration tells when it started.
        held: Heartbeat that was held up on its way; empty for none.
        acknowledged: Whether its last heartbeat or deregistration was acknowledged.
        max_running: Highest number of requests that ran at the same time.
        rejected: Requests that were shed.
        runs: Path, headers and state of all requests that ran.
        cold_until: Monotonic time until which it is cold, in seconds.
        cold_limit: Requests that it takes in any second while it is cold; above that
            the process ends. 0 for no limit.
        tells_warmup: Whether its heartbeats tell how long it stays cold.
        received: Monotonic times of the requests of the last second.
        most_while_cold: Highest number of requests in any second that ended while it
            was cold.
    """

    def __init__(self, options: Any) -> None:
        self.options = options
        self.identity = options.id
        self.started_at_ms = int(time.time() * 1000)
        self.phase = "ready"
        self.service_time = options.work
        self.response_bytes = options.bytes
        self.call = options.call
        self.call_delay = 0.0
        self.mode = ""
        self.rate_limit = ""
        self.load = ""
        self.deadly = options.deadly
        self.leaving = False
        self.silent = False
        self.tells_start = True
        self.held = b""
        self.acknowledged = False
        self.sequence = 0
        self.running = 0
        self.max_running = 0
        self.rejected = 0
        self.runs: list[dict[str, Any]] = []
        self.cold_until = time.monotonic() + options.warmup
        self.cold_limit = options.cold_limit
        self.tells_warmup = True
        self.received: deque[float] = deque()
        self.most_while_cold = 0
        self.record_file = Path(options.record).open("a") if options.record else None

    def record(self, event: str, **fields: Any) -> None:
        """Write one event to the record file, with its time in Unix seconds."""
        if self.record_file is not None:
            line = {"event": event, "at": time.time(), "target": self.identity}
            self.record_file.write(json.dumps({**line, **fields}) + "\n")
            self.record_file.flush()

    async def handle(self, request: Request) -> Response | EndlessBytes | None:
        """Handle one request."""
        if request.path == CONTROL_PATH:
            return await self.control(request.json())
        if request.path == RUNS_PATH:
            return json_response(
                {
                    "runs": self.runs,
                    "most": self.max_running,
                    "rejected": self.rejected,
                    "most_while_cold": self.most_while_cold,
                }
            )
        headers = request.headers
        stated = [attempt_header(request), *self.stated_headers()]
        if headers.get("x-expected-instance") not in (None, self.identity):
            return Response(421, stated, single_chunk(b""), 0)
        self.count_request()
        if request.path == HEALTH_PATH:
            return self.health_response(stated)
        if self.mode == "shed":
            self.rejected += 1
            self.record("shed", id=request.headers.get("x-attempt-id", ""))
            rejection = [*stated, ("x-not-executed", "1")]
            return Response(503, rejection, single_chunk(b""), 0)
        return await self.run_request(request)

    def count_request(self) -> None:
        """Count a request; end the process if it is over the limit while cold."""
        now = time.monotonic()
        self.received.append(now)
        while self.received[0] <= now - 1.0:
            self.received.popleft()
        if now >= self.cold_until:
            return
        count = len(self.received)
        self.most_while_cold = max(self.most_while_cold, count)
        self.record("cold", count=count)
        if self.cold_limit and count > self.cold_limit:
            self.record("overrun", count=count)
            os._exit(1)

    @property
    def cold_remaining(self) -> float:
        """Seconds for which the target stays cold; 0 when warm."""
        return max(0.0, self.cold_until - time.monotonic())

    def health_response(self, stated: list[tuple[str, str]]) -> Response:
        """Return the response to a health check."""
        self.record("health")
        headers = [*stated, ("x-instance-id", self.identity)]
        remaining = math.ceil(1000 * self.cold_remaining)
        if remaining:
            headers.append(("x-warmup-ms", str(remaining)))
        return Response(200, headers, single_chunk(b""), 0)

    def stated_headers(self) -> list[tuple[str, str]]:
        """Return the headers by which responses tell the state of the target."""
        headers = []
        if self.rate_limit:
            headers.append(("server-limit", self.rate_limit))
        if self.load:
            headers.append(("x-server-load", self.load))
        if self.leaving:
            headers.append(("server-leaving", "1"))
        return headers

    async def run_request(self, request: Request) -> Response | EndlessBytes | None:
        """Run a request with its sub-call and return the response."""
        run = {"path": request.path, "at": time.time(), "headers": request.headers}
        run["body"] = len(request.body)
        run["done"] = False
        self.runs.append(run)
        attempt_id = request.headers.get("x-attempt-id", "")
        self.record("run", id=attempt_id, path=request.path, mode=self.mode)
        if self.deadly and request.path.startswith(self.deadly):
            os._exit(1)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            call_succeeded = not self.call or await self.make_call()
            extra_time = float(request.query.get("work", "0"))
            await curio.sleep(self.service_time + extra_time)
            run["done"] = True
        finally:
            self.running -= 1
            self.record("end", id=attempt_id, done=run["done"])
        return self.make_response(request, "" if call_succeeded else "fail")

    async def make_call(self) -> bool:
        """Make the sub-call of a request; return whether it succeeded."""
        await curio.sleep(self.call_delay)
        host, path = self.call.split("/", 1)
        headers = [
            ("host", host),
            ("x-attempt-id", f"call-{self.identity}-{len(self.runs)}"),
        ]
        own_ip = self.options.address.rpartition(":")[0]
        response = await send_request(
            self.options.outbound, "GET", f"/{path}", headers, source=own_ip
        )
        return response.status == 200 and response.complete

    def make_response(
        self, request: Request, mode: str
    ) -> Response | EndlessBytes | None:
        """Return the response to a request, with the fault of a mode.

        ``lost`` sends nothing, ``cut`` and ``cut-late`` truncate the body after 3
        bytes and before its last byte, ``crossed`` carries the id of another attempt,
        ``anonymous`` carries none, ``fail`` is a 500, and ``endless-`` with a part of
        a message sends this part without end.
        """
        mode = mode or self.mode
        content = json.dumps({"id": self.identity, "path": request.path}).encode()
        content = content.ljust(int(request.query.get("bytes", self.response_bytes)))
        headers = [
            attempt_header(request),
            ("x-response-signature", RESPONSE_SIGNATURE),
            *self.stated_headers(),
        ]
        if mode == "lost":
            return None
        if mode == "cut":
            return Response(200, headers, single_chunk(content), len(content), False, 3)
        if mode == "cut-late":
            truncate_after = len(content) - 1
            return Response(
                200, headers, single_chunk(content), len(content), False, truncate_after
            )
        if mode.startswith("endless-"):
            return endless_response(mode.removeprefix("endless-"), headers)
        if mode == "crossed":
            headers[0] = ("x-attempt-id", "another")
        if mode == "anonymous":
            del headers[0]
        if mode == "fail":
            return Response(500, headers, single_chunk(b"failed"), 6)
        return Response(200, headers, single_chunk(content), len(content))

    async def control(self, settings: dict[str, Any]) -> Response:
        """Apply the settings of a control request; a new phase is sent at once.

        ``hold`` prepares a heartbeat that is held up until ``release``.
        """
        self.mode = settings.get("mode", self.mode)
        self.rate_limit = settings.get("rate_limit", self.rate_limit)
        self.load = settings.get("load", self.load)
        self.leaving = settings.get("leaving", self.leaving)
        self.service_time = settings.get("work", self.service_time)
        self.response_bytes = settings.get("bytes", self.response_bytes)
        self.call = settings.get("call", self.call)
        self.call_delay = settings.get("call_delay", self.call_delay)
        self.identity = settings.get("identity", self.identity)
        self.silent = settings.get("silent", self.silent)
        self.tells_start = settings.get("tells_start", self.tells_start)
        self.tells_warmup = settings.get("tells_warmup", self.tells_warmup)
        if "cold" in settings:
            self.cold_until = time.monotonic() + settings["cold"]
            self.record("turned_cold")
        if "hold" in settings:
            self.held = self.next_heartbeat()
        if "phase" in settings:
            self.phase = settings["phase"]
            await self.send_heartbeat()
        if "release" in settings:
            await self.send_state("PUT", self.held)
        return json_response(
            {"running": self.running, "acknowledged": self.acknowledged}
        )

    async def send_heartbeat(self) -> None:
        """Send a heartbeat, or deregister in phase ``gone``."""
        if self.phase != "gone":
            await self.send_state("PUT", self.next_heartbeat())
        elif self.tells_start:
            own = json.dumps({"born": self.started_at_ms}).encode()
            await self.send_state("DELETE", own)
        else:
            await self.send_state("DELETE", b"")

    def next_heartbeat(self) -> bytes:
        """Return the next heartbeat."""
        self.sequence += 1
        document: dict[str, Any] = {
            "address": self.options.announce or self.options.address,
            "born": self.started_at_ms,
            "info": {
                "service": self.options.service,
                "version": "v1",
                "zone": self.options.zone,
                "capacity": self.options.slots,
            },
            "status": {
                "phase": self.phase,
                "sequence": self.sequence,
            },
        }
        if self.tells_warmup:
            document["status"]["warmup_left_s"] = self.cold_remaining
        return json.dumps(document).encode()

    async def send_state(self, method: str, body: bytes) -> None:
        """Send a heartbeat or a deregistration to the node."""
        path = f"/api/instances/{self.identity}"
        phase, sent = self.phase, time.time()
        response = await send_request(self.options.control, method, path, [], body)
        self.acknowledged = response.complete and 200 <= response.status < 300
        if self.acknowledged:
            self.record("acknowledged", phase=phase, sent=sent)

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled, but none in phase ``gone``."""
        await curio.sleep(self.options.heartbeat_delay)
        while True:
            if self.phase != "gone" and not self.silent:
                try:
                    await self.send_heartbeat()
                except OSError:
                    # The node is unreachable; the next heartbeat tries again.
                    pass
            await curio.sleep(self.options.heartbeat)


def attempt_header(request: Request) -> tuple[str, str]:
    """Return the header with the id of the attempt that a response belongs to."""
    return "x-attempt-id", request.headers.get("x-attempt-id", "")


def endless_response(part: str, headers: list[tuple[str, str]]) -> EndlessBytes:
    """Return a response of which one part never ends.

    Args:
        part: The part, or ``trickle`` for a head that comes byte by byte.
        headers: Headers of the response.
    """
    head = "HTTP/1.1 200 OK\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    chunked = head + "transfer-encoding: chunked\r\n\r\n"
    filler = b"x" * FILLER_BYTES
    chunk = b"%x\r\n%b\r\n" % (len(filler), filler)
    return {
        "header": EndlessBytes(f"{head}x-fill: ".encode(), filler, 0.0),
        "trickle": EndlessBytes(f"{head}x-fill: ".encode(), b"x", 0.01),
        "chunks": EndlessBytes(chunked.encode(), chunk, 0.0),
        "extension": EndlessBytes(f"{chunked}1;x=".encode(), filler, 0.0),
        "trailers": EndlessBytes(f"{chunked}0\r\n".encode(), b"x: y\r\n" * 2000, 0.0),
        "unframed": EndlessBytes(f"{head}\r\n".encode(), filler, 0.0),
        "garbage": EndlessBytes(b"\x00\x01", filler, 0.0),
    }[part]


async def run(options: Any) -> None:
    """Serve until the process ends."""
    listener = open_listener(options.address)
    announce_address(listener)
    target = TargetInstance(options)
    async with curio.TaskGroup() as group:
        await group.spawn(serve, listener, target.handle)
        await group.spawn(target.run_heartbeats)


def main() -> None:
    """Run the target stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", default="a")
    parser.add_argument("--address", required=True)
    parser.add_argument("--announce", default="", help="address told to the node")
    parser.add_argument("--control", required=True)
    parser.add_argument("--outbound", required=True)
    parser.add_argument("--slots", type=int, default=10)
    parser.add_argument("--work", type=float, default=0.01)
    parser.add_argument("--bytes", type=int, default=0)
    parser.add_argument("--call", default="")
    parser.add_argument("--record", default="", help="file for runs and heartbeats")
    parser.add_argument("--deadly", default="", help="paths that end the process")
    parser.add_argument("--heartbeat", type=float, default=0.3)
    parser.add_argument("--heartbeat-delay", type=float, default=0.0)
    parser.add_argument("--warmup", type=float, default=0.0, help="seconds after start")
    parser.add_argument("--cold-limit", type=int, default=0, help="per second")
    curio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()

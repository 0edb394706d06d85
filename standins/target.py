"""Stand-in for a target: an HTTP service with a service time and faults on demand."""

import argparse
import hashlib
import json
import time
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

import curio

from .caller import request as send_request
from .httpserver import (
    Request,
    Response,
    announce_address,
    bound_address,
    json_response,
    open_listener,
    serve,
    single_chunk,
    wait_for_signal,
)

ANNOUNCE_INTERVAL_SECONDS = 1.0
ANNOUNCE_TIMEOUT_SECONDS = 2.0
DRAIN_TIMEOUT_SECONDS = 30.0
DRAIN_IDLE_SECONDS = 0.3
COLD_SLOWDOWN = 2.0
CHUNK_BYTES = 16384
KEY_PREFIX = "cw_"
MAX_LITERAL_RUN_ID_BYTES = 256


def patterned_bytes(size: int) -> bytes:
    """Return bytes that count up modulo 251, so that a shifted body is detected."""
    cycle = bytes(range(251))
    return (cycle * (size // 251 + 1))[:size]


async def patterned_chunks(size: int) -> AsyncIterator[bytes]:
    """Yield the bytes of ``patterned_bytes(size)`` in chunks."""
    block = patterned_bytes(CHUNK_BYTES + 251)
    for start in range(0, size, CHUNK_BYTES):
        shift = start % 251
        yield block[shift : shift + min(CHUNK_BYTES, size - start)]


class Settings:
    """Settings that ``POST /control`` can change, by their names.

    Attributes:
        service_time: Service time of each request in seconds.
        shed: Whether requests beyond the slots are shed with 503; otherwise all
            requests slow down.
        lie_load: Load to announce instead of the actual one, or None.
        lie_health: State to announce instead of the actual one, or None.
        freeze: Seconds during which the target neither responds nor announces; 0 for
            none.
        cut_answers: Responses left to abort halfway through with a TCP reset.
        short_answers: Responses left to close one byte before their end.
        drain: Whether to announce draining.
    """

    def __init__(self, service_time: float, shed: bool) -> None:
        self.service_time = service_time
        self.shed = shed
        self.lie_load: float | None = None
        self.lie_health: str | None = None
        self.freeze = 0.0
        self.cut_answers = 0
        self.short_answers = 0
        self.drain = False

    def update(self, changes: dict[str, Any]) -> None:
        """Change settings by name.

        Raises:
            KeyError: If a name is unknown.
        """
        for name, value in changes.items():
            if name not in vars(self):
                raise KeyError(name)
            setattr(self, name, value)


class TargetStandIn:
    """The target with its settings, counters and announcements."""

    def __init__(self, options: argparse.Namespace, address: str) -> None:
        self.options = options
        self.address = address
        self.target_id = options.target_id or f"{options.service}-{address}"
        self.settings = Settings(options.service_time, options.shed)
        self.started_at = time.monotonic()
        self.frozen_until = 0.0
        self.state = "ready"
        self.running = 0
        self.max_concurrency = 0
        self.counts: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.completed: Counter[str] = Counter()
        self.leaked_values: list[str] = []

    async def handle(self, request: Request) -> Response | None:
        """Handle one request; ``/control`` and ``/counts`` work while frozen too."""
        if request.path == "/control":
            return self.control(request)
        if request.path == "/counts":
            return self.counts_response()
        await self.wait_until_thawed()
        return await self.serve_request(request)

    def control(self, request: Request) -> Response:
        """Apply changed settings and return all settings."""
        changes = request.json()
        try:
            self.settings.update(changes)
        except KeyError as error:
            return json_response({"error": f"unknown setting {error}"}, 400)
        if "freeze" in changes:
            self.frozen_until = time.monotonic() + self.settings.freeze
        if "drain" in changes and self.state != "left":
            self.state = "draining" if self.settings.drain else "ready"
        return json_response(vars(self.settings))

    def counts_response(self) -> Response:
        """Return the counters and the keys that this target received."""
        document = {
            "target_id": self.target_id,
            "runs": dict(self.runs),
            "completed": dict(self.completed),
            "largest_concurrency": self.max_concurrency,
            "running": self.running,
            "leaked": self.leaked_values,
            "state": self.state,
            **{name: self.counts[name] for name in ("requests", "shed", "cancelled")},
            "expired": self.counts["expired"],
        }
        return json_response(document)

    async def wait_until_thawed(self) -> None:
        """Return as soon as the target is not frozen."""
        while (left := self.frozen_until - time.monotonic()) > 0:
            await curio.sleep(left)

    async def serve_request(self, request: Request) -> Response | None:
        """Run one request, unless it is shed or would miss its deadline."""
        self.counts["requests"] += 1
        self.record_leaked_keys(request)
        if self.settings.shed and self.running >= self.options.slots:
            self.counts["shed"] += 1
            document = {"service": self.options.service, "shed": True}
            return json_response(document, 503)
        if self.misses_deadline(request):
            self.counts["expired"] += 1
            document = {"service": self.options.service, "expired": True}
            return json_response(document, 504)
        request_run_id = run_id(request)
        self.runs[request_run_id] += 1
        self.running += 1
        self.max_concurrency = max(self.max_concurrency, self.running)
        try:
            await curio.sleep(self.service_time())
            calls = await self.make_calls(request)
            await self.wait_until_thawed()
        except curio.CancelledError:
            self.counts["cancelled"] += 1
            raise
        finally:
            self.running -= 1
        self.completed[request_run_id] += 1
        return self.apply_fault(self.make_response(request, calls))

    def record_leaked_keys(self, request: Request) -> None:
        """Record header values that contain a caller's key."""
        for value in request.headers.values():
            if any(word.startswith(KEY_PREFIX) for word in value.split()):
                self.leaked_values.append(value)

    def misses_deadline(self, request: Request) -> bool:
        """Return whether the remaining deadline is shorter than the service time."""
        deadline = request.headers.get("x-deadline-ms", "")
        return deadline.isdigit() and int(deadline) / 1000 < self.service_time()

    def service_time(self) -> float:
        """Return the service time in seconds at the current concurrency."""
        overload = max(1.0, self.running / self.options.slots)
        left = self.cold_start_left()
        return self.settings.service_time * overload * (1 + COLD_SLOWDOWN * left)

    def cold_start_left(self) -> float:
        """Return the remaining fraction of the cold start, from 1 down to 0."""
        if self.options.cold_start <= 0:
            return 0.0
        age = time.monotonic() - self.started_at
        return max(0.0, 1 - age / self.options.cold_start)

    async def make_calls(self, request: Request) -> list[dict[str, Any]]:
        """Make the sub-calls through the local node, one after the other."""
        request_id = request.headers.get("x-request-id", "")
        results = []
        for path in self.options.calls:
            headers = [("x-request-id", request_id)]
            response = await send_request(self.options.node, "GET", path, headers)
            result = {
                "path": path,
                "status": response.status,
                "whole": response.complete,
            }
            response_id = response.headers.get("x-request-id", "")
            results.append(
                {
                    **result,
                    "reason": response.refusal_reason(),
                    "answer_id": response_id,
                }
            )
        return results

    def make_response(self, request: Request, calls: list[dict[str, Any]]) -> Response:
        """Return the response to a request; 502 if one of its sub-calls failed."""
        headers = [("x-request-id", request.headers.get("x-request-id", "none"))]
        succeeded = all(call["whole"] and call["status"] < 400 for call in calls)
        chunked = request.query.get("chunked") == "1"
        if succeeded and "size" in request.query:
            size = int(request.query["size"])
            headers.append(("content-type", "application/octet-stream"))
            return Response(200, headers, patterned_chunks(size), size, chunked)
        document = {
            "service": self.options.service,
            "request_id": request.headers.get("x-request-id"),
            "headers": sorted(request.headers),
            "body_length": len(request.body),
            "calls": calls,
        }
        body = json.dumps(document).encode()
        headers.append(("content-type", "application/json"))
        status = 200 if succeeded else 502
        return Response(status, headers, single_chunk(body), len(body), chunked)

    def apply_fault(self, response: Response) -> Response:
        """Truncate the response if the settings say so."""
        if self.settings.cut_answers > 0:
            self.settings.cut_answers -= 1
            return response._replace(truncate_after=response.size // 2, reset=True)
        if self.settings.short_answers > 0:
            self.settings.short_answers -= 1
            return response._replace(truncate_after=max(0, response.size - 1))
        return response

    def announcement(self) -> dict[str, Any]:
        """Return the announcement of the target to its node."""
        load = self.running / self.options.slots
        settings = self.settings
        lie_about_state = settings.lie_health is not None and self.state != "left"
        return {
            "target_id": self.target_id,
            "service": self.options.service,
            "address": self.address,
            "slots": self.options.slots,
            "connections": self.options.connections,
            "cold_start": self.options.cold_start * self.cold_start_left(),
            "state": settings.lie_health if lie_about_state else self.state,
            "load": load if settings.lie_load is None else settings.lie_load,
        }

    async def announce(self) -> None:
        """Send one announcement; a failure is left to the next announcement."""
        if not self.options.announce:
            return
        address, path = split_url(self.options.announce)
        body = json.dumps(self.announcement()).encode()
        headers = [("content-type", "application/json")]
        await send_request(
            address, "POST", path, headers, body, ANNOUNCE_TIMEOUT_SECONDS
        )

    async def run_announcements(self) -> None:
        """Send announcements until cancelled, but none while frozen."""
        while True:
            await self.wait_until_thawed()
            await self.announce()
            await curio.sleep(ANNOUNCE_INTERVAL_SECONDS)

    async def drain(self) -> None:
        """Announce draining, wait for running requests, then announce ``left``."""
        self.state = "draining"
        await self.announce()
        deadline = time.monotonic() + DRAIN_TIMEOUT_SECONDS
        idle_since = time.monotonic()
        while time.monotonic() < min(deadline, idle_since + DRAIN_IDLE_SECONDS):
            await curio.sleep(0.02)
            if self.running:
                idle_since = time.monotonic()
        self.state = "left"
        await self.announce()


def run_id(request: Request) -> str:
    """Return the name under which runs of a request are counted.

    It is the dispatch id, or else a short body as text or the digest of a long one.
    """
    if "x-dispatch-id" in request.headers:
        return request.headers["x-dispatch-id"]
    if 0 < len(request.body) <= MAX_LITERAL_RUN_ID_BYTES:
        return request.body.decode(errors="replace")
    return hashlib.sha256(request.body).hexdigest() if request.body else "empty"


def split_url(url: str) -> tuple[str, str]:
    """Return the ``HOST:PORT`` and the path of an ``http`` URL."""
    address, _, path = url.removeprefix("http://").partition("/")
    return address, f"/{path}"


async def run(options: argparse.Namespace) -> None:
    """Serve until SIGTERM, then drain."""
    listener = open_listener(options.listen)
    target = TargetStandIn(options, bound_address(listener))
    await curio.spawn(serve, listener, target.handle, daemon=True)
    announce_address(listener)
    announcer = await curio.spawn(target.run_announcements, daemon=True)
    await wait_for_signal()
    await announcer.cancel()
    await target.drain()


def main() -> None:
    """Run the target stand-in from the command line."""
    parser = argparse.ArgumentParser(prog="standins.target", description=__doc__)
    parser.add_argument("--service", required=True)
    parser.add_argument("--listen", default="127.0.0.1:0", help="HOST:PORT")
    parser.add_argument("--announce", default="", help="URL to announce to")
    parser.add_argument("--target-id", default="", help="default: SERVICE-HOST:PORT")
    parser.add_argument("--slots", type=int, default=10)
    parser.add_argument("--connections", type=int, default=100)
    parser.add_argument("--service-time", type=float, default=0.01, help="seconds")
    parser.add_argument("--cold-start", type=float, default=0.0, help="seconds")
    parser.add_argument(
        "--shed", action="store_true", help="respond 503 beyond the slots"
    )
    parser.add_argument("--calls", default="", help="PATH,... of the sub-calls")
    parser.add_argument("--node", default="", help="URL of the node's caller listener")
    options = parser.parse_args()
    options.calls = [path for path in options.calls.split(",") if path]
    options.node = split_url(options.node)[0]
    curio.run(run, options)


if __name__ == "__main__":
    main()

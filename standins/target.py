"""Stand-in for a target: an HTTP service that takes time and can misbehave."""

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

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 2.0
DRAIN_LIMIT_S = 30.0
DRAIN_QUIET_S = 0.3
COLD_SLOWDOWN = 2.0
PART_BYTES = 16384
KEY_PREFIX = "cw_"
MAX_BODY_NAME_BYTES = 256


def patterned_bytes(size: int) -> bytes:
    """Return bytes that count up modulo 251, so that a shifted body is noticed."""
    cycle = bytes(range(251))
    return (cycle * (size // 251 + 1))[:size]


async def patterned_chunks(size: int) -> AsyncIterator[bytes]:
    """Yield a patterned body of ``size`` bytes in parts."""
    block = patterned_bytes(PART_BYTES + 251)
    for start in range(0, size, PART_BYTES):
        shift = start % 251
        yield block[shift : shift + min(PART_BYTES, size - start)]


class Settings:
    """What ``POST /control`` can change.

    Attributes:
        service_time: Seconds of service for each request.
        shed: Whether requests over the slots are shed with 503; otherwise all
            requests slow down.
        lie_load: Load to announce instead of the true one, or None.
        lie_health: State to announce instead of the true one, or None.
        freeze: Seconds for which nothing is answered or announced; 0 is off.
        cut_answers: Answers still to cut in the middle with a reset.
        short_answers: Answers still to close one byte short.
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

    def update(self, wanted: dict[str, Any]) -> None:
        """Change settings by name.

        Raises:
            KeyError: If a name is unknown.
        """
        for name, value in wanted.items():
            if name not in vars(self):
                raise KeyError(name)
            setattr(self, name, value)


class TargetStandIn:
    """The target: its settings, counts and announcements."""

    def __init__(self, options: argparse.Namespace, address: str) -> None:
        self.options = options
        self.address = address
        self.target_id = options.target_id or f"{options.service}-{address}"
        self.settings = Settings(options.service_time, options.shed)
        self.started = time.monotonic()
        self.frozen_until = 0.0
        self.state = "ready"
        self.running = 0
        self.largest = 0
        self.counts: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.completed: Counter[str] = Counter()
        self.leaked: list[str] = []

    async def handle(self, request: Request) -> Response | None:
        """Answer one request."""
        if request.path == "/control":
            return self.control(request)
        if request.path == "/counts":
            return self.count_response()
        await self.wait_while_frozen()
        return await self.serve_request(request)

    def control(self, request: Request) -> Response:
        """Apply the changes that a test asks for."""
        wanted = request.json()
        try:
            self.settings.update(wanted)
        except KeyError as error:
            return json_response({"error": f"unknown setting {error}"}, 400)
        if "freeze" in wanted:
            self.frozen_until = time.monotonic() + self.settings.freeze
        if "drain" in wanted and self.state != "left":
            self.state = "draining" if self.settings.drain else "ready"
        return json_response(vars(self.settings))

    def count_response(self) -> Response:
        """Answer with what this target has seen."""
        document = {
            "target_id": self.target_id,
            "runs": dict(self.runs),
            "completed": dict(self.completed),
            "largest_concurrency": self.largest,
            "running": self.running,
            "leaked": self.leaked,
            "state": self.state,
            **{name: self.counts[name] for name in ("requests", "shed", "cancelled")},
            "expired": self.counts["expired"],
        }
        return json_response(document)

    async def wait_while_frozen(self) -> None:
        """Return when the target is not frozen."""
        while (left := self.frozen_until - time.monotonic()) > 0:
            await curio.sleep(left)

    async def serve_request(self, request: Request) -> Response | None:
        """Run one request, unless it is shed or cannot meet its deadline."""
        self.counts["requests"] += 1
        self.note_leaks(request)
        if self.settings.shed and self.running >= self.options.slots:
            self.counts["shed"] += 1
            document = {"service": self.options.service, "shed": True}
            return json_response(document, 503)
        if self.misses_deadline(request):
            self.counts["expired"] += 1
            document = {"service": self.options.service, "expired": True}
            return json_response(document, 504)
        body_name = name_of_body(request)
        self.runs[body_name] += 1
        self.running += 1
        self.largest = max(self.largest, self.running)
        try:
            await curio.sleep(self.service_time())
            calls = await self.make_calls(request)
            await self.wait_while_frozen()
        except curio.CancelledError:
            self.counts["cancelled"] += 1
            raise
        finally:
            self.running -= 1
        self.completed[body_name] += 1
        return self.misbehave(self.answer(request, calls))

    def note_leaks(self, request: Request) -> None:
        """Keep header values that hold a caller's key."""
        for value in request.headers.values():
            if any(word.startswith(KEY_PREFIX) for word in value.split()):
                self.leaked.append(value)

    def misses_deadline(self, request: Request) -> bool:
        """Return whether the deadline comes before the end of the service time."""
        deadline = request.headers.get("x-deadline-ms", "")
        return deadline.isdigit() and int(deadline) / 1000 < self.service_time()

    def service_time(self) -> float:
        """Return the service time in seconds at the present concurrency."""
        crowding = max(1.0, self.running / self.options.slots)
        share = self.cold_share()
        return self.settings.service_time * crowding * (1 + COLD_SLOWDOWN * share)

    def cold_share(self) -> float:
        """Return the part of the cold start that is left, from 1 to 0."""
        if self.options.cold_start <= 0:
            return 0.0
        age = time.monotonic() - self.started
        return max(0.0, 1 - age / self.options.cold_start)

    async def make_calls(self, request: Request) -> list[dict[str, Any]]:
        """Call the services below through the local node, one after the other."""
        request_id = request.headers.get("x-request-id", "")
        made = []
        for path in self.options.calls:
            headers = [("x-request-id", request_id)]
            answer = await send_request(self.options.node, "GET", path, headers)
            result = {"path": path, "status": answer.status, "whole": answer.complete}
            answer_id = answer.headers.get("x-request-id", "")
            made.append(
                {**result, "reason": answer.refusal_reason(), "answer_id": answer_id}
            )
        return made

    def answer(self, request: Request, calls: list[dict[str, Any]]) -> Response:
        """Return the answer; 502 if a call below failed."""
        headers = [("x-request-id", request.headers.get("x-request-id", "none"))]
        good = all(call["whole"] and call["status"] < 400 for call in calls)
        chunked = request.query.get("chunked") == "1"
        if good and "size" in request.query:
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
        status = 200 if good else 502
        return Response(status, headers, single_chunk(body), len(body), chunked)

    def misbehave(self, response: Response) -> Response:
        """Cut or shorten the answer if the settings ask for it."""
        if self.settings.cut_answers > 0:
            self.settings.cut_answers -= 1
            return response._replace(truncate_after=response.size // 2, reset=True)
        if self.settings.short_answers > 0:
            self.settings.short_answers -= 1
            return response._replace(truncate_after=max(0, response.size - 1))
        return response

    def announcement(self) -> dict[str, Any]:
        """Return what this target tells its node."""
        load = self.running / self.options.slots
        settings = self.settings
        lies = settings.lie_health is not None and self.state != "left"
        return {
            "target_id": self.target_id,
            "service": self.options.service,
            "address": self.address,
            "slots": self.options.slots,
            "connections": self.options.connections,
            "cold_start": self.options.cold_start * self.cold_share(),
            "state": settings.lie_health if lies else self.state,
            "load": load if settings.lie_load is None else settings.lie_load,
        }

    async def announce(self) -> None:
        """Tell the node once; a node that is away is told again next time."""
        if not self.options.announce:
            return
        address, path = split_url(self.options.announce)
        body = json.dumps(self.announcement()).encode()
        headers = [("content-type", "application/json")]
        await send_request(address, "POST", path, headers, body, ANNOUNCE_TIMEOUT_S)

    async def announce_regularly(self) -> None:
        """Announce for ever, but not while frozen."""
        while True:
            await self.wait_while_frozen()
            await self.announce()
            await curio.sleep(ANNOUNCE_INTERVAL_S)

    async def drain(self) -> None:
        """Announce draining, finish the requests, and announce having left."""
        self.state = "draining"
        await self.announce()
        end = time.monotonic() + DRAIN_LIMIT_S
        quiet_since = time.monotonic()
        while time.monotonic() < min(end, quiet_since + DRAIN_QUIET_S):
            await curio.sleep(0.02)
            if self.running:
                quiet_since = time.monotonic()
        self.state = "left"
        await self.announce()


def name_of_body(request: Request) -> str:
    """Return the dispatch id of a request, or else a digest of its body."""
    if "x-dispatch-id" in request.headers:
        return request.headers["x-dispatch-id"]
    if 0 < len(request.body) <= MAX_BODY_NAME_BYTES:
        return request.body.decode(errors="replace")
    return hashlib.sha256(request.body).hexdigest() if request.body else "empty"


def split_url(url: str) -> tuple[str, str]:
    """Return the address and the path of a URL."""
    address, _, path = url.removeprefix("http://").partition("/")
    return address, f"/{path}"


async def run(options: argparse.Namespace) -> None:
    """Serve until SIGTERM, then drain."""
    listener = open_listener(options.listen)
    target = TargetStandIn(options, bound_address(listener))
    await curio.spawn(serve, listener, target.handle, daemon=True)
    announce_address(listener)
    announcer = await curio.spawn(target.announce_regularly, daemon=True)
    await wait_for_signal()
    await announcer.cancel()
    await target.drain()


def main() -> None:
    """Run the target stand-in from the command line."""
    parser = argparse.ArgumentParser(prog="standins.target", description=__doc__)
    parser.add_argument("--service", required=True)
    parser.add_argument("--listen", default="127.0.0.1:0", help="HOST:PORT")
    parser.add_argument("--announce", default="", help="URL of the node")
    parser.add_argument("--target-id", default="", help="default from the address")
    parser.add_argument("--slots", type=int, default=10)
    parser.add_argument("--connections", type=int, default=100)
    parser.add_argument("--service-time", type=float, default=0.01, help="seconds")
    parser.add_argument("--cold-start", type=float, default=0.0, help="seconds")
    parser.add_argument("--shed", action="store_true", help="503 over the slots")
    parser.add_argument("--calls", default="", help="PATH,... on the node")
    parser.add_argument("--node", default="", help="URL of the caller listener")
    options = parser.parse_args()
    options.calls = [path for path in options.calls.split(",") if path]
    options.node = split_url(options.node)[0]
    curio.run(run, options)


if __name__ == "__main__":
    main()

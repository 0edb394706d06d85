"""Stand-in for the platform's append-only log.

It promises no conditional append and no removal of repeated appends, keeps records
for a limited time, and can be told to be down, to be slow, to forget records or to
lose the answer to an append that took effect.
"""

import argparse
import base64
import time
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

import curio

from .httpserver import (
    Request,
    Response,
    announce_address,
    json_response,
    open_listener,
    serve,
)

DEFAULT_LIMIT = 1000
CONTROL_PATH = "/control"
COUNTS_PATH = "/counts"


class Stored(NamedTuple):
    """A stored record.

    Attributes:
        offset: Place in the stream, from 0.
        time: Monotonic time of the append in seconds.
        data: Raw bytes.
    """

    offset: int
    time: float
    data: bytes


class Stream:
    """One stream of records."""

    def __init__(self) -> None:
        self.records: deque[Stored] = deque()
        self.end = 0
        self.changed = curio.Event()

    @property
    def first(self) -> int:
        """Oldest retained offset; the end of the stream if nothing is retained."""
        return self.records[0].offset if self.records else self.end

    def append(self, data: bytes, now: float) -> int:
        """Store a record and return its offset."""
        offset = self.end
        self.records.append(Stored(offset, now, data))
        self.end += 1
        return offset

    def forget(self, expired: Callable[[Stored], bool]) -> None:
        """Remove records from the start of the stream while they are expired."""
        while self.records and expired(self.records[0]):
            self.records.popleft()

    def read(self, start: int, limit: int) -> list[Stored]:
        """Return up to ``limit`` retained records from ``start`` on."""
        skip = max(0, start - self.first)
        size = len(self.records)
        return [self.records[i] for i in range(skip, min(size, skip + limit))]

    async def wake(self) -> None:
        """Wake all long polls on this stream."""
        changed = self.changed
        self.changed = curio.Event()
        await changed.set()


class LogStandIn:
    """The log: its streams and the faults that it is told to show."""

    def __init__(self, retention: float | None, control: bool) -> None:
        self.retention = retention
        self.control_allowed = control
        self.streams: dict[str, Stream] = {}
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0
        self.counts = {"appends": 0, "reads": 0, "lost_answers": 0, "refused": 0}

    def stream(self, name: str) -> Stream:
        """Return a stream, pruned; an unknown name makes an empty stream."""
        stream = self.streams.setdefault(name, Stream())
        if self.retention is not None:
            oldest = time.monotonic() - self.retention
            stream.forget(lambda stored: stored.time < oldest)
        return stream

    async def handle(self, request: Request) -> Response | None:
        """Answer one request; None closes the connection without an answer."""
        if request.path == CONTROL_PATH and self.control_allowed:
            return await self.control(request)
        if request.path == COUNTS_PATH:
            return json_response(self.counts)
        if self.down:
            self.counts["refused"] += 1
            return None
        if self.delay > 0:
            await curio.sleep(self.delay)
        parts = request.path.strip("/").split("/")
        if len(parts) != 3 or parts[0] != "streams" or parts[2] != "records":
            return json_response({"error": "no such path"}, 404)
        if request.method == "POST":
            return await self.append(parts[1], request.body)
        return await self.read(parts[1], request.query)

    async def append(self, name: str, data: bytes) -> Response | None:
        """Store a record and answer with its offset, unless the answer is lost."""
        if self.down:
            return None
        stream = self.stream(name)
        offset = stream.append(data, time.monotonic())
        self.counts["appends"] += 1
        await stream.wake()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            self.counts["lost_answers"] += 1
            return None
        return json_response({"offset": offset})

    async def read(self, name: str, query: dict[str, str]) -> Response | None:
        """Answer with retained records, waiting for the first one if asked to."""
        try:
            start = int(query.get("from", "0"))
            limit = int(query.get("limit", str(DEFAULT_LIMIT)))
            wait = float(query.get("wait", "0"))
        except ValueError:
            return json_response({"error": "bad query"}, 400)
        self.counts["reads"] += 1
        await curio.ignore_after(wait, self.wait_for_records, name, start)
        if self.down:
            return None
        stream = self.stream(name)
        found = stream.read(start, limit)
        following = found[-1].offset + 1 if found else max(start, stream.first)
        records = [[s.offset, base64.b64encode(s.data).decode()] for s in found]
        document = {"first": stream.first, "next": following, "records": records}
        return json_response(document)

    async def wait_for_records(self, name: str, start: int) -> None:
        """Return when a stream has a record at or after ``start``."""
        while self.stream(name).end <= start and not self.down:
            await self.stream(name).changed.wait()

    async def control(self, request: Request) -> Response:
        """Apply the faults that a test asks for."""
        wanted: dict[str, Any] = request.json()
        self.down = bool(wanted.get("down", self.down))
        self.delay = float(wanted.get("delay", self.delay))
        self.lose_answers = int(wanted.get("lose_answers", self.lose_answers))
        self.retention = wanted.get("retention", self.retention)
        for name, offset in wanted.get("forget_before", {}).items():
            self.forget_before(name, offset)
        if self.down:
            for stream in self.streams.values():
                await stream.wake()
        return json_response({"down": self.down, "delay": self.delay})

    def forget_before(self, name: str, offset: int) -> None:
        """Remove the records of a stream below an offset."""
        self.stream(name).forget(lambda stored: stored.offset < offset)


async def run(options: argparse.Namespace) -> None:
    """Serve the log until the process ends."""
    log = LogStandIn(options.retention, options.control)
    listener = open_listener(options.listen)
    announce_address(listener)
    await serve(listener, log.handle)


def main() -> None:
    """Run the log stand-in from the command line."""
    parser = argparse.ArgumentParser(prog="standins.log", description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0", help="HOST:PORT")
    parser.add_argument("--retention", type=float, help="seconds; default unlimited")
    parser.add_argument("--control", action="store_true", help="allow POST /control")
    curio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()

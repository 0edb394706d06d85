"""Stand-in for the platform's append-only log.

Like the platform's log, it has no conditional append and does not deduplicate appends,
and it keeps records for a limited time. On demand it is unavailable or slow, evicts
records, or loses the response to an append that took effect.
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

DEFAULT_READ_LIMIT = 1000
CONTROL_PATH = "/control"
COUNTS_PATH = "/counts"


class StoredRecord(NamedTuple):
    """A record of a stream.

    Attributes:
        offset: Offset in the stream, from 0.
        time: Monotonic time of the append in seconds.
        data: Content.
    """

    offset: int
    time: float
    data: bytes


class Stream:
    """One append-only stream of records."""

    def __init__(self) -> None:
        self.records: deque[StoredRecord] = deque()
        self.end_offset = 0
        self.appended = curio.Event()

    @property
    def first_offset(self) -> int:
        """Oldest retained offset; the end of the stream if no record is retained."""
        return self.records[0].offset if self.records else self.end_offset

    def append(self, data: bytes, now: float) -> int:
        """Append a record and return its offset."""
        offset = self.end_offset
        self.records.append(StoredRecord(offset, now, data))
        self.end_offset += 1
        return offset

    def evict(self, is_expired: Callable[[StoredRecord], bool]) -> None:
        """Remove records from the start of the stream up to the first unexpired one."""
        while self.records and is_expired(self.records[0]):
            self.records.popleft()

    def read(self, start: int, limit: int) -> list[StoredRecord]:
        """Return up to ``limit`` retained records from offset ``start`` on."""
        skip = max(0, start - self.first_offset)
        size = len(self.records)
        return [self.records[i] for i in range(skip, min(size, skip + limit))]

    async def wake_readers(self) -> None:
        """Wake all long polls on this stream."""
        appended = self.appended
        self.appended = curio.Event()
        await appended.set()


class LogStandIn:
    """The log with its streams and injected faults."""

    def __init__(self, retention: float | None, control: bool) -> None:
        self.retention = retention
        self.control_allowed = control
        self.streams: dict[str, Stream] = {}
        self.down = False
        self.delay = 0.0
        self.responses_to_lose = 0
        self.counts = {"appends": 0, "reads": 0, "lost_answers": 0, "refused": 0}

    def stream(self, name: str) -> Stream:
        """Return a stream without expired records; create it if it is unknown."""
        stream = self.streams.setdefault(name, Stream())
        if self.retention is not None:
            oldest = time.monotonic() - self.retention
            stream.evict(lambda record: record.time < oldest)
        return stream

    async def handle(self, request: Request) -> Response | None:
        """Handle one request; None closes the connection without a response."""
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
            return json_response({"error": "path is not /streams/NAME/records"}, 404)
        if request.method == "POST":
            return await self.append(parts[1], request.body)
        return await self.read(parts[1], request.query)

    async def append(self, name: str, data: bytes) -> Response | None:
        """Append a record and return its offset, unless the response is to be lost."""
        if self.down:
            return None
        stream = self.stream(name)
        offset = stream.append(data, time.monotonic())
        self.counts["appends"] += 1
        await stream.wake_readers()
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            self.counts["lost_answers"] += 1
            return None
        return json_response({"offset": offset})

    async def read(self, name: str, query: dict[str, str]) -> Response | None:
        """Return retained records; wait up to ``wait`` seconds for the first one."""
        try:
            start = int(query.get("from", "0"))
            limit = int(query.get("limit", str(DEFAULT_READ_LIMIT)))
            wait = float(query.get("wait", "0"))
        except ValueError:
            return json_response({"error": "from, limit and wait must be numbers"}, 400)
        self.counts["reads"] += 1
        await curio.ignore_after(wait, self.wait_for_records, name, start)
        if self.down:
            return None
        stream = self.stream(name)
        found = stream.read(start, limit)
        next_offset = found[-1].offset + 1 if found else max(start, stream.first_offset)
        records = [[r.offset, base64.b64encode(r.data).decode()] for r in found]
        document = {
            "first": stream.first_offset,
            "next": next_offset,
            "records": records,
        }
        return json_response(document)

    async def wait_for_records(self, name: str, start: int) -> None:
        """Wait until a stream has a record from ``start`` on, or the log is down."""
        while self.stream(name).end_offset <= start and not self.down:
            await self.stream(name).appended.wait()

    async def control(self, request: Request) -> Response:
        """Inject the faults of a control request."""
        settings: dict[str, Any] = request.json()
        self.down = bool(settings.get("down", self.down))
        self.delay = float(settings.get("delay", self.delay))
        self.responses_to_lose = int(
            settings.get("lose_answers", self.responses_to_lose)
        )
        self.retention = settings.get("retention", self.retention)
        for name, offset in settings.get("forget_before", {}).items():
            self.evict_before(name, offset)
        if self.down:
            for stream in self.streams.values():
                await stream.wake_readers()
        return json_response({"down": self.down, "delay": self.delay})

    def evict_before(self, name: str, offset: int) -> None:
        """Remove the records of a stream below an offset."""
        self.stream(name).evict(lambda record: record.offset < offset)


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
    parser.add_argument("--retention", type=float, help="seconds; default: unlimited")
    parser.add_argument("--control", action="store_true", help="allow POST /control")
    curio.run(run, parser.parse_args())


if __name__ == "__main__":
    main()

"""Structured log: one JSON line for each decision, bounded and never blocking."""

import bisect
import os
import time
from collections import Counter
from typing import Any

import msgspec
from loguru import logger

STANDARD_OUTPUT = 1
# Lines of one event in a second; the rest are counted, which bounds the volume at
# about 250 KB a second for ten kinds of events.
MAX_LINES_PER_SECOND = 100
# Bytes held while the reader of standard output is slow.
MAX_BUFFER_BYTES = 256 * 1024

# Upper bounds of the histogram of answers, in seconds: from one hop to a time limit.
LATENCY_BUCKETS_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0)

encode = msgspec.json.encode


class Histogram:
    """Times of one kind, by upper bounds.

    Attributes:
        counts: Times in each bucket; the last one has no bound.
        total: Sum of all times in seconds.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_SECONDS) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Count a time."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self.total += seconds


class Journal:
    """Collects lines and writes what standard output takes.

    Attributes:
        node_id: Node that writes.
        counters: How often each event happened, with its outcome.
        answers: Times to an answer, by route.
        dropped: Lines that were not written, by event.
    """

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self.counters: Counter[tuple[str, str]] = Counter()
        self.latencies: dict[str, Histogram] = {}
        self.dropped: Counter[str] = Counter()
        self.lines_by_event: Counter[str] = Counter()
        self.current_second = 0
        self.lines: list[bytes] = []
        self.buffered_bytes = 0

    def install(self) -> None:
        """Send the lines of the other modules here as well."""
        os.set_blocking(STANDARD_OUTPUT, False)
        logger.remove()
        logger.add(
            lambda message: self.write("message", text=message.record["message"]),
            level="INFO",
        )

    def count(self, event: str, outcome: str = "") -> None:
        """Count an event that needs no line."""
        self.counters[event, outcome] += 1

    def observe(self, route: str, seconds: float) -> None:
        """Count an answer in the histogram of its route."""
        histogram = self.latencies.get(route)
        if histogram is None:
            histogram = self.latencies[route] = Histogram()
        histogram.observe(seconds)

    def write(self, event: str, **fields: Any) -> None:
        """Count an event and add a line, unless there are too many in this second."""
        self.count(event, str(fields.get("reason", "")))
        now = time.time()
        if int(now) != self.current_second:
            self.current_second = int(now)
            self.lines_by_event.clear()
        self.lines_by_event[event] += 1
        if (
            self.lines_by_event[event] > MAX_LINES_PER_SECOND
            or self.buffered_bytes > MAX_BUFFER_BYTES
        ):
            self.dropped[event] += 1
            return
        line = encode({"time": round(now, 3), "node": self.node_id, "event": event})
        if fields:
            line = line[:-1] + b"," + encode(fields)[1:]
        self.lines.append(line + b"\n")
        self.buffered_bytes += len(line) + 1

    def flush(self) -> None:
        """Write what standard output takes without waiting."""
        if self.dropped:
            dropped, self.dropped = dict(self.dropped), Counter()
            self.write("lines_dropped", events=dropped)
        if not self.lines:
            return
        data = b"".join(self.lines)
        try:
            sent = os.write(STANDARD_OUTPUT, data)
        except BlockingIOError:
            sent = 0
        rest = data[sent:]
        self.lines = [rest] if rest else []
        self.buffered_bytes = len(rest)

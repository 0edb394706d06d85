"""Structured log and event counters.

Each decision is logged as one JSON line. The log is bounded and never blocks.
"""

import bisect
import os
import time
from collections import Counter
from typing import Any

import msgspec
from loguru import logger

STANDARD_OUTPUT = 1
# Further lines of the same event are only counted, which bounds the volume at about
# 250 KB per second for ten kinds of events.
MAX_LINES_PER_SECOND = 100
# Lines are dropped when a slow reader of standard output leaves more bytes buffered.
MAX_BUFFER_BYTES = 256 * 1024

# Upper bounds of the latency buckets, from the latency of one hop to a timeout.
LATENCY_BUCKETS_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0)

encode = msgspec.json.encode


class Histogram:
    """Latency histogram.

    Attributes:
        counts: Observations in each bucket; the last one has no upper bound.
        total: Sum of all observations in seconds.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_SECONDS) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Add an observation."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self.total += seconds


class Journal:
    """Counts events, buffers log lines and writes them without blocking.

    Attributes:
        node_id: Id of the node that writes.
        counters: Count of each pair of event and outcome.
        latencies: Response latencies by route.
        dropped: Lines dropped since the last report of drops, by event.
        lines_by_event: Lines in the current second, by event.
        current_second: Unix second to which ``lines_by_event`` refers.
        lines: Encoded lines that are not written yet.
        buffered_bytes: Total size of these lines.
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
        """Redirect the messages of other modules to this journal."""
        os.set_blocking(STANDARD_OUTPUT, False)
        logger.remove()
        logger.add(
            lambda message: self.write("message", text=message.record["message"]),
            level="INFO",
        )

    def count(self, event: str, outcome: str = "") -> None:
        """Count an event without a log line."""
        self.counters[event, outcome] += 1

    def observe(self, route: str, seconds: float) -> None:
        """Add a response latency to the histogram of its route."""
        histogram = self.latencies.get(route)
        if histogram is None:
            histogram = self.latencies[route] = Histogram()
        histogram.observe(seconds)

    def write(self, event: str, **fields: Any) -> None:
        """Count an event and log a line unless a bound is exceeded."""
        self.count(event, str(fields.get("reason", "")))
        now = time.time()
        if int(now) != self.current_second:
            self.current_second = int(now)
            self.lines_by_event.clear()
        count = self.lines_by_event[event] = self.lines_by_event.get(event, 0) + 1
        if count > MAX_LINES_PER_SECOND or self.buffered_bytes > MAX_BUFFER_BYTES:
            self.dropped[event] += 1
            return
        line = encode(
            {"time": round(now, 3), "node": self.node_id, "event": event, **fields}
        )
        self.lines.append(line + b"\n")
        self.buffered_bytes += len(line) + 1

    def flush(self) -> None:
        """Write as many lines as standard output accepts without blocking."""
        if self.dropped:
            dropped, self.dropped = dict(self.dropped), Counter()
            self.write("lines_dropped", events=dropped)
        if not self.lines:
            return
        data = b"".join(self.lines)
        try:
            written = os.write(STANDARD_OUTPUT, data)
        except BlockingIOError:
            written = 0
        remaining = data[written:]
        self.lines = [remaining] if remaining else []
        self.buffered_bytes = len(remaining)

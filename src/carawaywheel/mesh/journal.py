"""Structured log: one JSON line for each decision, bounded and never blocking."""

import os
import time
from collections import Counter
from typing import Any

import msgspec
from loguru import logger

STANDARD_OUTPUT = 1
# Lines of one event in a second; the rest are counted, which bounds the volume at
# about 250 KB a second for ten kinds of events.
LINES_PER_SECOND = 100
# Bytes held while the reader of standard output is slow.
BUFFER_BYTES = 256 * 1024

encode = msgspec.json.encode


class Journal:
    """Collects lines and writes what standard output takes.

    Attributes:
        node_id: Node that writes.
        counters: How often each event happened, with its outcome.
        dropped: Lines that were not written, by event.
    """

    def __init__(self, node_id: str) -> None:
        self.node_id = node_id
        self.counters: Counter[tuple[str, str]] = Counter()
        self.dropped: Counter[str] = Counter()
        self.written: Counter[str] = Counter()
        self.second = 0
        self.lines: list[bytes] = []
        self.held = 0

    def attach(self) -> None:
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

    def write(self, event: str, **fields: Any) -> None:
        """Add a line, unless there are too many of its kind in this second."""
        now = time.time()
        if int(now) != self.second:
            self.second = int(now)
            self.written.clear()
        self.written[event] += 1
        if self.written[event] > LINES_PER_SECOND or self.held > BUFFER_BYTES:
            self.dropped[event] += 1
            return
        line = encode({"time": round(now, 3), "node": self.node_id, "event": event})
        if fields:
            line = line[:-1] + b"," + encode(fields)[1:]
        self.lines.append(line + b"\n")
        self.held += len(line) + 1

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
        self.held = len(rest)

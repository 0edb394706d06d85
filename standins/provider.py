"""Stand-in for the platform's metadata store: logs, and tables of newest values.

It can be told to be down, to be slow, to lose the answers of writes that took effect,
and to drop the history that readers follow.
"""

import argparse
import base64
import json
import struct
from collections.abc import AsyncIterator
from typing import Any

import curio

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
COUNTS_PATH = "/counts"
HISTORY_GONE = 410


class Topic:
    """Records of one topic.

    Attributes:
        records: All records by offset.
        first: First offset that is kept.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.changed = curio.Event()

    async def append(self, records: list[bytes]) -> int:
        """Add records and wake the readers."""
        offset = len(self.records)
        self.records += records
        changed, self.changed = self.changed, curio.Event()
        await changed.set()
        return offset

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key."""
        found = {}
        for offset, record in enumerate(self.records):
            split = 1 + record[0]
            found[record[1:split].decode()] = (offset, record[split:])
        return {key: item for key, item in found.items() if item[1]}


class Provider:
    """The store.

    Attributes:
        down: Whether all calls but those of the operator are refused.
        lose: Writes whose answer is still to be lost.
        delay: Seconds before each answer.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.down = False
        self.lose = 0
        self.delay = 0.0
        self.calls = 0

    async def handle(self, request: Request) -> Response | None:
        """Answer one call."""
        if request.path == CONTROL_PATH:
            return await self.control(request.json())
        if request.path == COUNTS_PATH:
            return json_response({"calls": self.calls})
        self.calls += 1
        if self.down:
            return json_response({}, 503)
        await curio.sleep(self.delay)
        topic = self.topics.setdefault(request.query["topic"], Topic())
        if request.path == "/api/log-append":
            return await self.append(topic, request.body)
        if request.path == "/api/log-newest":
            return self.newest(topic)
        if request.path == "/api/log-read":
            return await self.read(topic, request.query)
        return json_response({}, 404)

    async def control(self, order: dict[str, Any]) -> Response:
        """Take an order of a test; ``put`` writes as the operator does."""
        self.down = order.get("down", self.down)
        self.lose = order.get("lose", self.lose)
        self.delay = order.get("delay", self.delay)
        if "put" in order:
            key = order["key"].encode()
            value = json.dumps(order["put"]).encode()
            topic = self.topics.setdefault(order["topic"], Topic())
            await topic.append([bytes([len(key)]) + key + value])
        if "compact" in order:
            topic = self.topics[order["compact"]]
            topic.first = len(topic.records)
        return json_response({})

    async def append(self, topic: Topic, body: bytes) -> Response | None:
        """Add the records of a call."""
        records = list(split_records(body))
        offset = await topic.append(records)
        if self.lose > 0:
            self.lose -= 1
            return None
        return json_response({"offset": offset, "end_offset": len(topic.records)})

    def newest(self, topic: Topic) -> Response:
        """Return the newest record of each key."""
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in topic.newest().items()
        ]
        end = len(topic.records)
        return json_response({"items": items, "has_more": False, "end_offset": end})

    async def read(self, topic: Topic, query: dict[str, str]) -> Response:
        """Return records from an offset on, waiting for one if there is none."""
        start = int(query["from"])
        if start < topic.first:
            return json_response({"first_offset": topic.first}, HISTORY_GONE)
        if start >= len(topic.records):
            wait = int(query.get("wait_ms", "0")) / 1000
            await curio.ignore_after(wait, topic.changed.wait)
        content = struct.pack(">QQ", len(topic.records), topic.first)
        for record in topic.records[start:]:
            content += struct.pack(">I", len(record)) + record
        return Response(200, [], raw(content), len(content))


def raw(content: bytes) -> AsyncIterator[bytes]:
    """Return a body of raw bytes."""
    return single_chunk(content)


def split_records(body: bytes) -> list[bytes]:
    """Split the records of an append."""
    records = []
    while body:
        (size,) = struct.unpack_from(">I", body)
        records.append(body[4 : 4 + size])
        body = body[4 + size :]
    return records


async def run(address: str) -> None:
    """Serve until the process ends."""
    listener = open_listener(address)
    announce_address(listener)
    await serve(listener, Provider().handle)


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    curio.run(run, parser.parse_args().listen)


if __name__ == "__main__":
    main()

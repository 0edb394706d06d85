"""Stand-in for the platform's metadata store: logs, and tables of latest values.

On demand it is unavailable or slow, loses the responses to writes that took effect,
drops the history that readers follow, or comes back from a copy that lacks the last
records.
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
HISTORY_GONE_STATUS = 410
TOPIC_CHANGED_STATUS = 412
ERA_HEADER = "Store-Era"


class Topic:
    """The log of one topic.

    Attributes:
        records: All records by offset, also those that readers no longer get.
        first_offset: Oldest offset that can be read.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first_offset = 0
        self.appended = curio.Event()

    async def append(self, records: list[bytes]) -> int:
        """Append records, wake the readers and return the first new offset."""
        offset = len(self.records)
        self.records += records
        await self.wake()
        return offset

    async def wake(self) -> None:
        """Wake the waiting readers."""
        appended, self.appended = self.appended, curio.Event()
        await appended.set()

    def latest_values(self) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the latest record of each key.

        A record is the length of the key in one byte, the key and the value; an
        empty value deletes the key.
        """
        latest = {}
        for offset, record in enumerate(self.records):
            key_end = 1 + record[0]
            latest[record[1:key_end].decode()] = (offset, record[key_end:])
        return {key: item for key, item in latest.items() if item[1]}


class MetadataStore:
    """The metadata store with its injected faults.

    Attributes:
        down: Whether all API calls get 503; control requests are still served.
        responses_to_lose: Appends left whose response is lost.
        delay: Delay of each API call in seconds.
        calls: API calls so far.
        era: Rises by one each time the store comes back from a copy.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.down = False
        self.responses_to_lose = 0
        self.delay = 0.0
        self.calls = 0
        self.era = 1

    async def handle(self, request: Request) -> Response | None:
        """Handle one request."""
        if request.path == CONTROL_PATH:
            return await self.control(request.json())
        if request.path == COUNTS_PATH:
            return json_response({"calls": self.calls})
        response = await self.handle_call(request)
        if response is not None:
            response.headers.append((ERA_HEADER, str(self.era)))
        return response

    async def handle_call(self, request: Request) -> Response | None:
        """Handle a call of the API."""
        self.calls += 1
        if self.down:
            return json_response({}, 503)
        await curio.sleep(self.delay)
        topic = self.topics.setdefault(request.query["topic"], Topic())
        if request.path == "/api/log-append":
            return await self.append(topic, request.query, request.body)
        if request.path == "/api/log-newest":
            return self.read_latest(topic)
        if request.path == "/api/log-read":
            return await self.read(topic, request.query)
        return json_response({}, 404)

    async def control(self, settings: dict[str, Any]) -> Response:
        """Inject faults, write a value as the operator does, or drop the history.

        ``put`` writes a JSON value under ``key`` in ``topic``, and ``remove`` a record
        without a value under the key that it names; ``compact`` names a
        topic whose records up to now can no longer be read; ``restore`` brings the
        store back from a copy that lacks the last records of topics, as many as it
        names for each.
        """
        self.down = settings.get("down", self.down)
        self.responses_to_lose = settings.get("lose", self.responses_to_lose)
        self.delay = settings.get("delay", self.delay)
        if "put" in settings:
            key = settings["key"].encode()
            value = json.dumps(settings["put"]).encode()
            topic = self.topics.setdefault(settings["topic"], Topic())
            await topic.append([bytes([len(key)]) + key + value])
        if "remove" in settings:
            key = settings["remove"].encode()
            topic = self.topics.setdefault(settings["topic"], Topic())
            await topic.append([bytes([len(key)]) + key])
        if "compact" in settings:
            topic = self.topics[settings["compact"]]
            topic.first_offset = len(topic.records)
        if "restore" in settings:
            await self.restore(settings["restore"])
        return json_response({})

    async def restore(self, lost: dict[str, int]) -> None:
        """Come back without the last records of topics; waiting reads get no answer."""
        self.era += 1
        for name, count in lost.items():
            topic = self.topics[name]
            del topic.records[len(topic.records) - count :]
        for topic in self.topics.values():
            await topic.wake()

    async def append(
        self, topic: Topic, query: dict[str, str], body: bytes
    ) -> Response | None:
        """Append the records of a request body, if the topic ends where it must."""
        end_offset = len(topic.records)
        if int(query.get("at", end_offset)) != end_offset:
            return json_response({"end_offset": end_offset}, TOPIC_CHANGED_STATUS)
        records = list(split_records(body))
        offset = await topic.append(records)
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            return None
        return json_response({"offset": offset, "end_offset": len(topic.records)})

    def read_latest(self, topic: Topic) -> Response:
        """Return the latest value of each key."""
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in topic.latest_values().items()
        ]
        end_offset = len(topic.records)
        return json_response(
            {"items": items, "has_more": False, "end_offset": end_offset}
        )

    async def read(self, topic: Topic, query: dict[str, str]) -> Response | None:
        """Return records from an offset on; wait for one if there is none yet.

        The body starts with the end offset and the first offset; each record follows
        its length. An offset before the first one, or beyond the end, gets a 410 with
        the first offset.
        """
        start = int(query["from"])
        if not topic.first_offset <= start <= len(topic.records):
            return json_response(
                {"first_offset": topic.first_offset}, HISTORY_GONE_STATUS
            )
        if start >= len(topic.records):
            wait = int(query.get("wait_ms", "0")) / 1000
            era = self.era
            await curio.ignore_after(wait, topic.appended.wait)
            if self.era != era:
                return None
        content = struct.pack(">QQ", len(topic.records), topic.first_offset)
        for record in topic.records[start:]:
            content += struct.pack(">I", len(record)) + record
        return Response(200, [], raw_body(content), len(content))


def raw_body(content: bytes) -> AsyncIterator[bytes]:
    """Return the content as a response body of one chunk."""
    return single_chunk(content)


def split_records(body: bytes) -> list[bytes]:
    """Split the body of an append, where each record follows its length."""
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
    await serve(listener, MetadataStore().handle)


def main() -> None:
    """Run the metadata store stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    curio.run(run, parser.parse_args().listen)


if __name__ == "__main__":
    main()

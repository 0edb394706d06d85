"""Stand-in for the platform's metadata store: the calls that a node makes."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from .messages import HttpListener, Message, encode_response

HISTORY_GONE = 410
TOPIC_CHANGED = 412
OPERATOR_TOPIC = "keyed.op"
JSON = [("content-type", "application/json")]


class Topic:
    """Log of one topic with a single partition."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.appended = asyncio.Event()

    def append(self, records: list[bytes]) -> int:
        """Append records, wake the readers and return the first offset."""
        offset = len(self.records)
        self.records += records
        appended, self.appended = self.appended, asyncio.Event()
        appended.set()
        return offset

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key."""
        newest = {}
        for offset, record in enumerate(self.records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (offset, record[end:])
        return {key: item for key, item in newest.items() if item[1]}


class Store:
    """The store.

    Attributes:
        topics: Topics by name.
    """

    def __init__(self, address: str) -> None:
        self.topics: dict[str, Topic] = {}
        self.listener = HttpListener(address, self.handle)

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def publish(self, configuration: dict) -> None:
        """Write the configuration as the operator does."""
        value = json.dumps(configuration).encode()
        self.topic(OPERATOR_TOPIC).append([b"\x06config" + value])

    async def handle(self, message: Message, _: asyncio.StreamWriter) -> bytes | None:
        """Handle one call."""
        url = urlsplit(message.first[1])
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        topic = self.topic(query.get("topic", ""))
        if url.path == "/api/log-append":
            return self.append(topic, query, message.body)
        if url.path == "/api/log-newest":
            return self.read_newest(topic)
        if url.path == "/api/log-read":
            return await self.read(topic, query)
        return json_response(404, {})

    def append(self, topic: Topic, query: dict[str, str], body: bytes) -> bytes:
        """Append the records of a body, each behind its length."""
        end = len(topic.records)
        if int(query.get("at", end)) != end:
            return json_response(TOPIC_CHANGED, {"end_offset": end})
        records = []
        while body:
            (size,) = struct.unpack_from(">I", body)
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        offset = topic.append(records)
        end = len(topic.records)
        return json_response(200, {"offset": offset, "end_offset": end})

    def read_newest(self, topic: Topic) -> bytes:
        """Return the newest record of each key."""
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in topic.newest().items()
        ]
        content = {"items": items, "has_more": False}
        return json_response(200, {**content, "end_offset": len(topic.records)})

    async def read(self, topic: Topic, query: dict[str, str]) -> bytes:
        """Return records from an offset on; wait if there is none yet."""
        start = int(query["from"])
        if start > len(topic.records):
            return json_response(HISTORY_GONE, {"first_offset": 0})
        if start == len(topic.records):
            wait = min(30.0, int(query.get("wait_ms", "0")) / 1000)
            appended = asyncio.ensure_future(topic.appended.wait())
            await asyncio.wait([appended], timeout=wait)
            appended.cancel()
        content = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[start:]:
            content += struct.pack(">I", len(record)) + record
        return encode_response(200, [], content)


def json_response(status: int, content: dict) -> bytes:
    """Encode a response with a JSON object."""
    return encode_response(status, JSON, json.dumps(content).encode())

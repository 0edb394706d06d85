"""Stand-in for the platform's store: a log with tables of newest values."""

import argparse
import asyncio
import base64
import json
import struct
from urllib.parse import parse_qsl, urlsplit

from .wire import Message, Reply, serve

JSON = {"content-type": "application/json"}
OFFSETS = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
MAX_ITEMS = 500


class Store:
    """Topics of one partition; nothing that was acknowledged is lost.

    Attributes:
        topics: Records of each topic by offset.
    """

    def __init__(self) -> None:
        self.topics: dict[str, list[bytes]] = {}
        self.appended = asyncio.Event()

    async def handle(self, request: Message) -> Reply:
        """Handle one call."""
        url = urlsplit(request.first[1])
        query = dict(parse_qsl(url.query))
        records = self.topics.setdefault(query.get("topic", ""), [])
        if url.path == "/api/log-append":
            return self.append(records, query, request.body)
        if url.path == "/api/log-newest":
            return self.read_newest(records, query.get("after", ""))
        if url.path == "/api/log-read":
            return await self.read(records, query)
        return json_reply(404, {})

    def append(self, records: list[bytes], query: dict[str, str], body: bytes) -> Reply:
        """Append the records of a call, if the partition ends where it must."""
        offset = len(records)
        if int(query.get("at", offset)) != offset:
            return json_reply(412, {"end_offset": offset})
        while body:
            (size,) = LENGTH.unpack_from(body)
            records.append(body[LENGTH.size : LENGTH.size + size])
            body = body[LENGTH.size + size :]
        self.appended.set()
        self.appended = asyncio.Event()
        return json_reply(200, {"offset": offset, "end_offset": len(records)})

    def read_newest(self, records: list[bytes], after: str) -> Reply:
        """Return the newest record of each key, in pages."""
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = offset, record[end:]
        keys = sorted(key for key, item in newest.items() if item[1] and key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:MAX_ITEMS]
        ]
        document = {
            "items": items,
            "has_more": len(keys) > MAX_ITEMS,
            "end_offset": len(records),
        }
        return json_reply(200, document)

    async def read(self, records: list[bytes], query: dict[str, str]) -> Reply:
        """Return records from an offset on, as soon as there is one."""
        start = int(query["from"])
        if start > len(records):
            return json_reply(410, {"first_offset": 0})
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get("wait_ms", "0")) / 1000
        while start >= len(records) and loop.time() < ends_at:
            try:
                async with asyncio.timeout_at(ends_at):
                    await self.appended.wait()
            except TimeoutError:
                break
        content = OFFSETS.pack(len(records), 0)
        for record in records[start:]:
            content += LENGTH.pack(len(record)) + record
        return Reply(200, {}, content)


def json_reply(status: int, document: object) -> Reply:
    """Return a response with a JSON body."""
    return Reply(status, JSON, json.dumps(document).encode())


def main() -> None:
    """Run the store."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    asyncio.run(serve(parser.parse_args().listen, Store().handle))


if __name__ == "__main__":
    main()

"""Calls to the platform's metadata store."""

import base64
import struct
from urllib.parse import quote

import curio
import msgspec

from ..errors import LogError, PeerError
from ..mesh.store import KeyValue, Store, TablePage
from ..pool import ConnectionPool, Response

CONFIGURATION_TABLE = "keyed.op"
HOST_TABLE = "keyed.hosts"
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MILLISECONDS = 1000
OK = 200
OFFSET_EXPIRED_STATUS = 410
LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")


class WireItem(msgspec.Struct):
    """A key with its newest value in base64."""

    key: str
    value: str = ""


class WireNewest(msgspec.Struct):
    """Newest records of a topic; ``has_more`` says that ``after`` must follow."""

    items: list[WireItem]
    end_offset: int
    has_more: bool = False


decoder = msgspec.json.Decoder(WireNewest)


class MetadataStore(Store):
    """The platform's store, reached over HTTP.

    Attributes:
        address: IP address and port.
        timeout: Seconds to wait for an answer beyond the time of a long poll.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self.address = address
        self.timeout = timeout
        self.pool = ConnectionPool()

    async def read_all(self, table: str) -> TablePage:
        """Read the newest value of each key; see the base class."""
        target = f"/api/log-newest?topic={table}&part=0"
        items: list[KeyValue] = []
        position: int | None = None
        after = ""
        while True:
            answer, content = await self.request("GET", target + after, b"", 0.0)
            self.check_status(answer, "read newest")
            page = self.decode_page(content)
            for item in page.items:
                items.append(KeyValue(item.key, base64.b64decode(item.value)))
            # Pages are no snapshot: changes since the first one are read again.
            position = page.end_offset if position is None else position
            if not page.has_more or not page.items:
                return TablePage(items, position)
            after = f"&after={quote(page.items[-1].key, safe='')}"

    async def poll_changes(
        self, table: str, offset: int, wait: float
    ) -> TablePage | None:
        """Wait for changes after a position; see the base class."""
        target = f"/api/log-read?topic={table}&part=0&from={offset}"
        target += f"&wait_ms={int(wait * MILLISECONDS)}"
        answer, content = await self.request("GET", target, b"", wait)
        if answer.status == OFFSET_EXPIRED_STATUS:
            return None
        self.check_status(answer, "read changes")
        return self.decode_records(content, offset)

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write the value of a key; see the base class."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = LENGTH.pack(len(content)) + content
        target = f"/api/log-append?topic={table}&part=0"
        answer, _ = await self.request("POST", target, body, 0.0)
        self.check_status(answer, "append")

    async def request(
        self, method: str, target: str, body: bytes, wait: float
    ) -> tuple[Response, bytes]:
        """Send one request to the store.

        Raises:
            LogError: If it failed or did not answer in time.
        """
        headers = [
            (b"host", self.address.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        step = f"{method} {target.partition('?')[0]}"
        try:
            return await curio.timeout_after(
                wait + self.timeout,
                self.pool.request,
                self.address,
                method,
                target,
                headers,
                body,
                MAX_RESPONSE_BYTES,
            )
        except curio.TaskTimeout as error:
            raise LogError("no answer in time", step, self.address, True) from error
        except PeerError as error:
            raise LogError(
                error.message, step, self.address, error.maybe_sent
            ) from error

    def check_status(self, answer: Response, step: str) -> None:
        """Raise LogError unless a call succeeded."""
        if answer.status != OK:
            raise LogError(f"status {answer.status}", step, self.address, True)

    def decode_page(self, content: bytes) -> WireNewest:
        """Decode a page of newest records."""
        try:
            return decoder.decode(content)
        except (msgspec.DecodeError, ValueError) as error:
            raise LogError(str(error), "read newest", self.address, True) from error

    def decode_records(self, content: bytes, position: int) -> TablePage:
        """Decode records; the first 16 bytes hold the end and the first offset."""
        if len(content) < OFFSETS.size:
            return TablePage([], position)
        items = []
        at = OFFSETS.size
        while at + LENGTH.size <= len(content):
            (size,) = LENGTH.unpack_from(content, at)
            record = content[at + LENGTH.size : at + LENGTH.size + size]
            at += LENGTH.size + size
            position += 1
            if record:
                split = 1 + record[0]
                key = record[1:split].decode("utf-8", "replace")
                items.append(KeyValue(key, record[split:]))
        return TablePage(items, position)

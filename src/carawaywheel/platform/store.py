"""HTTP client of the platform's metadata store."""

import base64
import struct
from urllib.parse import quote

import curio
import msgspec

from ..errors import LogError, PeerError
from ..mesh.replication.store import KeyValue, Store, TablePage
from ..pool import ConnectionPool, Response

CONFIGURATION_TABLE = "keyed.op"
HOST_TABLE = "keyed.hosts"
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MILLISECONDS_PER_SECOND = 1000
ERA_HEADER = b"store-era"
OK_STATUS = 200
OFFSET_EXPIRED_STATUS = 410
TABLE_CHANGED_STATUS = 412
LENGTH_PREFIX = struct.Struct(">I")
OFFSETS_HEADER = struct.Struct(">QQ")


class WireItem(msgspec.Struct):
    """Key with its newest value in base64."""

    key: str
    value: str = ""
    offset: int = 0


class WireNewest(msgspec.Struct):
    """Page of the newest records of a topic.

    With ``has_more``, the next page begins after the last key of this one.
    """

    items: list[WireItem]
    end_offset: int
    has_more: bool = False


decoder = msgspec.json.Decoder(WireNewest)


class MetadataStore(Store):
    """The platform's metadata store, accessed over HTTP.

    Attributes:
        address: IP address and port.
        timeout: Seconds to wait for a response, in addition to the wait of a long poll.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self.address = address
        self.timeout = timeout
        self.pool = ConnectionPool()

    async def read_all(self, table: str) -> TablePage:
        """Read the newest value of each key of a table; see the base class."""
        request_target = f"/api/log-newest?topic={table}&part=0"
        items: list[WireItem] = []
        first: TablePage | None = None
        after = ""
        while True:
            response, content = await self.request(
                "GET", request_target + after, b"", 0.0
            )
            self.check_status(response, "read newest")
            page = self.decode_page(content)
            items += page.items
            # The pages are not one snapshot; starting from the offset of the first page
            # reads the changes made in the meantime again.
            first = first or TablePage([], page.end_offset, self.decode_era(response))
            if not page.has_more or not page.items:
                return first._replace(items=list(map(self.decode_item, items)))
            after = f"&after={quote(page.items[-1].key, safe='')}"

    async def poll_changes(
        self, table: str, offset: int, wait: float
    ) -> TablePage | None:
        """Long-poll for changes from an offset on; see the base class."""
        request_target = f"/api/log-read?topic={table}&part=0&from={offset}"
        request_target += f"&wait_ms={int(wait * MILLISECONDS_PER_SECOND)}"
        response, content = await self.request("GET", request_target, b"", wait)
        if response.status == OFFSET_EXPIRED_STATUS:
            return None
        self.check_status(response, "read changes")
        page = self.decode_records(content, offset)
        return page._replace(era=self.decode_era(response))

    async def put(self, table: str, key: str, value: bytes) -> int:
        """Write the value of a key; see the base class."""
        response = await self.append(table, key, value)
        self.check_status(response, "append")
        return self.decode_era(response)

    async def put_at(self, table: str, key: str, value: bytes, offset: int) -> bool:
        """Write the value of a key unless the table has changed; see the base class."""
        response = await self.append(table, key, value, f"&at={offset}")
        if response.status == TABLE_CHANGED_STATUS:
            return False
        self.check_status(response, "append")
        return True

    async def append(
        self, table: str, key: str, value: bytes, condition: str = ""
    ) -> Response:
        """Append a record to a table.

        Raises:
            LogError: If the request failed or timed out; ``peer`` holds the address of
                the store.
        """
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = LENGTH_PREFIX.pack(len(content)) + content
        request_target = f"/api/log-append?topic={table}&part=0{condition}"
        response, _ = await self.request("POST", request_target, body, 0.0)
        return response

    async def request(
        self, method: str, request_target: str, body: bytes, wait: float
    ) -> tuple[Response, bytes]:
        """Send one request to the store.

        Raises:
            LogError: If the request failed or timed out; ``peer`` holds the address of
                the store.
        """
        headers = [
            (b"host", self.address.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        step = f"{method} {request_target.partition('?')[0]}"
        try:
            return await curio.timeout_after(
                wait + self.timeout,
                self.pool.request,
                self.address,
                method,
                request_target,
                headers,
                body,
                MAX_RESPONSE_BYTES,
            )
        except curio.TaskTimeout as error:
            raise LogError(
                "request to the store timed out", step, self.address, True
            ) from error
        except PeerError as error:
            raise LogError(
                error.message, step, self.address, error.maybe_sent
            ) from error

    def check_status(self, response: Response, step: str) -> None:
        """Check the status of a response.

        Raises:
            LogError: If the status is not 200.
        """
        if response.status != OK_STATUS:
            raise LogError(
                f"expected status 200, got {response.status}",
                step,
                self.address,
                True,
            )

    def decode_era(self, response: Response) -> int:
        """Decode the era of the store from the head of a response.

        Raises:
            LogError: If it is not a number; ``peer`` holds the address of the store.
        """
        value = response.header(ERA_HEADER)
        if value and not (value.isascii() and value.isdecimal()):
            message = f"expected the number of an era, got {value!r}"
            raise LogError(message, "read era", self.address, True)
        return int(value or 0)

    def decode_page(self, content: bytes) -> WireNewest:
        """Decode a page of newest records.

        Raises:
            LogError: If the page is malformed.
        """
        try:
            return decoder.decode(content)
        except (msgspec.DecodeError, ValueError) as error:
            raise LogError(str(error), "read newest", self.address, True) from error

    def decode_item(self, item: WireItem) -> KeyValue:
        """Decode a key with its value.

        Raises:
            LogError: If the value is not base64; the step names the key.
        """
        try:
            value = base64.b64decode(item.value, validate=True)
        except ValueError as error:
            step = f"decode value of {item.key}"
            raise LogError(str(error), step, self.address, True) from error
        return KeyValue(item.key, value, item.offset)

    def decode_records(self, content: bytes, offset: int) -> TablePage:
        """Decode a batch of records, each preceded by its length in four bytes.

        The batch begins with 16 bytes that hold the end offset and the first offset. A
        record holds the length of its key in one byte, the key and the value.

        Args:
            content: The batch.
            offset: Offset of its first record.
        """
        if len(content) < OFFSETS_HEADER.size:
            return TablePage([], offset)
        items = []
        cursor = OFFSETS_HEADER.size
        while cursor + LENGTH_PREFIX.size <= len(content):
            (size,) = LENGTH_PREFIX.unpack_from(content, cursor)
            record = content[
                cursor + LENGTH_PREFIX.size : cursor + LENGTH_PREFIX.size + size
            ]
            cursor += LENGTH_PREFIX.size + size
            if record:
                value_start = 1 + record[0]
                key = record[1:value_start].decode("utf-8", "replace")
                items.append(KeyValue(key, record[value_start:], offset))
            offset += 1
        return TablePage(items, offset)

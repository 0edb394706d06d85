"""Interface of the platform's append-only log, and its HTTP client."""

import base64
import json
from abc import ABC, abstractmethod
from typing import Any, NamedTuple
from urllib.parse import quote

import curio

from .errors import LogError, PeerError
from .pool import ConnectionPool

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
LONG_POLL_MARGIN_SECONDS = 3.0
OK_STATUS = 200


class RecordBatch(NamedTuple):
    """Records read from a stream.

    Attributes:
        first_offset: Oldest offset that the log still has.
        next_offset: Offset to read from next.
        records: Offsets and data, in offset order.
    """

    first_offset: int
    next_offset: int
    records: list[tuple[int, bytes]]


class LogService(ABC):
    """Append-only streams with offsets and limited retention."""

    @abstractmethod
    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raises:
            LogError: If the append failed; ``outcome_unknown`` says whether it may
                have taken effect.
        """

    @abstractmethod
    async def read(
        self, stream: str, offset: int, limit: int, wait: float
    ) -> RecordBatch:
        """Read records, starting at an offset.

        Args:
            stream: Name of the stream.
            offset: First offset to read; offsets that the log dropped are skipped.
            limit: Maximum number of records.
            wait: Seconds to wait for a record when there is none.

        Raises:
            LogError: If the read failed or timed out.
        """


class HttpLogService(LogService):
    """Client of a log service over HTTP.

    Attributes:
        address: IP address and port of the log service.
        timeout: Seconds to wait for a response.
    """

    def __init__(self, address: str, timeout: float) -> None:
        self.address = address
        self.timeout = timeout
        self.pool = ConnectionPool()

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset; see the base class."""
        target = f"/streams/{quote(stream)}/records"
        response = await self.request("append", "POST", target, data, self.timeout)
        return parse_integer(response, "offset", "append", self.address)

    async def read(
        self, stream: str, offset: int, limit: int, wait: float
    ) -> RecordBatch:
        """Read records, starting at an offset; see the base class."""
        target = f"/streams/{quote(stream)}/records?from={offset}&limit={limit}"
        target += f"&wait={wait:g}"
        timeout = wait + max(self.timeout, LONG_POLL_MARGIN_SECONDS)
        response = await self.request("read", "GET", target, b"", timeout)
        return parse_batch(response, self.address)

    async def request(
        self, step: str, method: str, target: str, body: bytes, timeout: float
    ) -> Any:
        """Send one request to the log and decode its JSON response."""
        headers = [
            (b"host", self.address.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        try:
            response, content = await curio.timeout_after(
                timeout,
                self.pool.request,
                self.address,
                method,
                target,
                headers,
                body,
                MAX_RESPONSE_BYTES,
            )
        except curio.TaskTimeout as error:
            raise LogError(
                f"no response within {timeout:g} s", step, self.address, True
            ) from error
        except PeerError as error:
            raise LogError(
                error.message, step, self.address, error.maybe_sent
            ) from error
        if response.status != OK_STATUS:
            raise LogError(
                f"unexpected status {response.status}", step, self.address, True
            )
        return parse_json(content, step, self.address)


def parse_json(content: bytes, step: str, address: str) -> Any:
    """Decode a response of the log.

    Raises:
        LogError: If the response is not JSON.
    """
    try:
        return json.loads(content)
    except ValueError as error:
        raise LogError("the response is not JSON", step, address, True) from error


def parse_integer(response: Any, name: str, step: str, address: str) -> int:
    """Return an integer field of a response of the log.

    Raises:
        LogError: If the field is missing or has another type.
    """
    value = response.get(name) if isinstance(response, dict) else None
    if not isinstance(value, int):
        raise LogError(f"the response has no integer {name!r}", step, address, True)
    return value


def parse_batch(response: Any, address: str) -> RecordBatch:
    """Decode a response to a read.

    Raises:
        LogError: If a field is missing or malformed.
    """
    first = parse_integer(response, "first", "read", address)
    next_offset = parse_integer(response, "next", "read", address)
    try:
        records = [
            (int(offset), base64.b64decode(data, validate=True))
            for offset, data in response["records"]
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise LogError(
            "the field 'records' is malformed", "read", address, True
        ) from error
    return RecordBatch(first, next_offset, records)


def encode_batch(batch: RecordBatch) -> dict[str, Any]:
    """Return records in the JSON form of a response to a read."""
    records = [
        [offset, base64.b64encode(data).decode()] for offset, data in batch.records
    ]
    return {"first": batch.first_offset, "next": batch.next_offset, "records": records}

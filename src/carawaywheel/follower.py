"""Follows a stream of the log, directly or through a peer that reads it.

A node that does not read the log requests records from a peer when gossip reports a
newer position, and at intervals. If no peer has recent records, it reads the log.
"""

import json
import math
from abc import ABC, abstractmethod
from collections import deque

import curio
from loguru import logger

from .clock import Clock
from .control import ControlClient
from .errors import LogError
from .logservice import LogService, RecordBatch, parse_batch
from .signing import Signer
from .sources import NO_HINT, PositionHint, RecordSources

RETRY_SECONDS = 0.25
MAX_RECORDS_PER_READ = 500
MAX_CACHED_RECORDS = 4096
RELAY_TIMEOUT_SECONDS = 1.0
PEER_POLL_INTERVAL_SECONDS = 10.0
HINT_POLL_INTERVAL_SECONDS = 0.25
# Age of the records, in long polls, above which a read does not wait for new ones.
MAX_LONG_POLL_AGE = 2.0
# If the records of a peer are older, the next source is asked.
MAX_RELAY_AGE_SECONDS = 10.0


class RecordSink(ABC):
    """Receives the records of a stream in offset order."""

    @abstractmethod
    def start_at(self, offset: int) -> None:
        """Handle the oldest offset that the log still has; older ones were dropped."""

    @abstractmethod
    def apply(self, offset: int, data: bytes) -> None:
        """Apply one record."""

    @abstractmethod
    def mark_end_reached(self, asked_at: float) -> None:
        """Record that all records up to the end of the stream were applied.

        Args:
            asked_at: Time in seconds at which the log was asked for its end.
        """


class StreamCache:
    """The newest records of a stream, cached for peers that do not read the log.

    Attributes:
        first_offset: Oldest cached offset.
        next_offset: Offset after the newest cached one.
        log_first_offset: Oldest offset that the log had at the last read.
        read_at: Time at which the log was last asked, in seconds.
    """

    def __init__(self) -> None:
        self.records: deque[tuple[int, bytes]] = deque(maxlen=MAX_CACHED_RECORDS)
        self.first_offset = 0
        self.next_offset = 0
        self.log_first_offset = 0
        self.read_at = float("-inf")

    def add(self, batch: RecordBatch, read_at: float) -> None:
        """Add a batch of records that was read from the log or a peer."""
        if batch.first_offset > self.next_offset:
            self.records.clear()
            self.first_offset = batch.first_offset
        self.records.extend(batch.records)
        if self.records and len(self.records) == MAX_CACHED_RECORDS:
            self.first_offset = self.records[0][0]
        self.next_offset = max(self.next_offset, batch.next_offset)
        self.log_first_offset = batch.first_offset
        self.read_at = max(self.read_at, read_at)

    def covers(self, offset: int) -> bool:
        """Return whether all records starting at an offset are cached."""
        return self.first_offset <= offset or offset >= self.next_offset

    def records_from(self, offset: int, limit: int) -> list[tuple[int, bytes]]:
        """Return at most ``limit`` cached records, starting at an offset."""
        records = []
        for record in reversed(self.records):
            if record[0] < offset:
                break
            records.append(record)
        records.reverse()
        return records[:limit]


class StreamFollower:
    """Follows one stream and passes its records to a sink.

    Attributes:
        position: Offset of the next record to read.
        cache: Newest records, for peers.
        log_down: Whether the last read of the log failed.
        last_peer_request_at: Time in seconds of the last request to a peer.
        required_position: Position up to which a caller waits for the records.
        records_applied: Event set, and replaced, when records were applied.
    """

    def __init__(
        self,
        stream: str,
        sink: RecordSink,
        log: LogService,
        sources: RecordSources,
        signer: Signer,
        clock: Clock,
        long_poll_seconds: float,
        has_position_hint: bool,
    ) -> None:
        """Create a follower.

        Args:
            stream: Name of the stream.
            sink: Receives the records.
            log: The platform's log.
            sources: Chooses the peers to read from.
            signer: Signs requests to peers.
            clock: Clock.
            long_poll_seconds: Seconds that a read of the log waits for a record.
            has_position_hint: Whether gossip reports the newest position of this
                stream.
        """
        self.has_position_hint = has_position_hint
        self.last_peer_request_at = float("-inf")
        self.required_position = 0
        self.long_poll_seconds = long_poll_seconds
        self.stream = stream
        self.sink = sink
        self.log = log
        self.sources = sources
        self.clock = clock
        self.control_client = ControlClient(signer)
        self.position = 0
        self.cache = StreamCache()
        self.log_down = False
        self.records_applied = curio.Event()

    @property
    def age(self) -> float:
        """Seconds since the log was asked for the newest records of this node."""
        return self.clock.now() - self.cache.read_at

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            if not await self.poll():
                await curio.sleep(RETRY_SECONDS)

    async def poll(self) -> bool:
        """Read once, from the log if this node is a reader, else from a peer.

        Returns:
            Whether the read succeeded or was not due yet.
        """
        readers = self.sources.reader_addresses()
        if readers is None:
            return (
                await self.poll_log(self.log_wait_seconds())
                or await self.poll_any_peer()
            )
        hint = self.sources.newest_position() if self.has_position_hint else NO_HINT
        if self.required_position > hint.position:
            hint = PositionHint(self.required_position, "")
        if not self.should_poll_peer(hint):
            await curio.sleep(HINT_POLL_INTERVAL_SECONDS)
            return True
        self.last_peer_request_at = self.clock.now()
        for address in [*self.preferred_peers(hint), *readers]:
            if await self.poll_peer(address, hint):
                return True
        return await self.poll_log(0.0)

    def log_wait_seconds(self) -> float:
        """Return how many seconds the next read of the log waits for a record.

        Changes may be refused until the end of the stream is known, so a node that
        starts or was suspended learns it without a wait.
        """
        if self.age > MAX_LONG_POLL_AGE * self.long_poll_seconds:
            return 0.0
        return self.long_poll_seconds

    async def poll_any_peer(self) -> bool:
        """Read what a peer has while the log does not respond; always return False."""
        hint = self.sources.newest_position() if self.has_position_hint else NO_HINT
        for address in self.preferred_peers(hint):
            await self.poll_peer(address, hint)
        return False

    def should_poll_peer(self, hint: PositionHint) -> bool:
        """Return whether to request records from a peer now."""
        if hint.position > self.position:
            return True
        return (
            self.clock.now() - self.last_peer_request_at >= PEER_POLL_INTERVAL_SECONDS
        )

    def preferred_peers(self, hint: PositionHint) -> list[str]:
        """Return the peers to ask before the readers, to spread the load."""
        if hint.position > self.position and hint.address:
            return [hint.address]
        return self.sources.random_peer()

    async def poll_log(self, wait: float) -> bool:
        """Read from the log, waiting at most ``wait`` seconds; return success."""
        asked_at = self.clock.now()
        try:
            batch = await self.log.read(
                self.stream, self.position, MAX_RECORDS_PER_READ, wait
            )
        except LogError as error:
            self.report_log_state(True, error)
            return False
        self.report_log_state(False, None)
        await self.apply_batch(batch, asked_at)
        return True

    def report_log_state(self, down: bool, error: LogError | None) -> None:
        """Write a log line when the log service becomes unavailable or available."""
        if down and not self.log_down:
            logger.warning(
                "log service is unavailable for stream {}: {}", self.stream, error
            )
        if self.log_down and not down:
            logger.info("log service is available again for stream {}", self.stream)
        self.log_down = down

    async def poll_peer(self, address: str, hint: PositionHint) -> bool:
        """Read from a peer; return whether its records are recent enough."""
        target = f"/streams/{self.stream}?from={self.position}"
        content = await self.control_client.request(
            address, "GET", target, RELAY_TIMEOUT_SECONDS
        )
        if content is None:
            return False
        try:
            age = await self.apply_relayed(json.loads(content), address)
        except (LogError, ValueError):
            return False
        return age <= MAX_RELAY_AGE_SECONDS and self.position >= hint.position

    async def apply_relayed(self, response: object, address: str) -> float:
        """Apply records from a peer; return their age in seconds.

        Old records are better than none at a node that starts. They keep their age, so
        they never count as recent however often they are relayed.
        """
        age = response.get("age") if isinstance(response, dict) else None
        if not isinstance(age, int | float) or not age >= 0:
            return math.inf
        await self.apply_batch(parse_batch(response, address), self.clock.now() - age)
        return age

    async def apply_batch(self, batch: RecordBatch, asked_at: float) -> None:
        """Pass records to the sink and wake the callers that wait for them."""
        if batch.first_offset > self.position:
            self.position = batch.first_offset
        self.sink.start_at(batch.first_offset)
        for offset, data in batch.records:
            if offset >= self.position:
                self.sink.apply(offset, data)
                self.position = offset + 1
        self.cache.add(batch, asked_at)
        if self.position >= batch.next_offset:
            self.sink.mark_end_reached(asked_at)
        if batch.records:
            applied_event = self.records_applied
            self.records_applied = curio.Event()
            await applied_event.set()

    async def read_through(self, offset: int, timeout: float) -> bool:
        """Wait until a record was applied; return False at the timeout, in seconds."""
        self.required_position = max(self.required_position, offset + 1)
        deadline = self.clock.now() + timeout
        while self.position <= offset:
            remaining = deadline - self.clock.now()
            if remaining <= 0:
                return False
            try:
                await curio.timeout_after(remaining, self.records_applied.wait)
            except curio.TaskTimeout:
                return False
        return True

    def cached_batch(self, offset: int, limit: int) -> RecordBatch | None:
        """Return records for a peer, or None if some of them are not cached."""
        if not self.cache.covers(offset):
            return None
        records = self.cache.records_from(offset, limit)
        next_offset = (
            records[-1][0] + 1 if records else max(offset, self.cache.next_offset)
        )
        return RecordBatch(self.cache.log_first_offset, next_offset, records)

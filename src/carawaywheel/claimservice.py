"""Service that claims non-idempotent requests through the log.

A claim is appended before the request runs, and the request runs only if its claim
is the first one. Claims streams are read only up to the claims of this node.
"""

import hashlib
from collections import deque
from typing import Any

import curio

from .claims import ClaimTable, claim_id
from .contexts import random_id
from .errors import LogError, RecordError
from .logservice import LogService
from .records import ClaimMade, ClaimReleased, decode, encode
from .refusals import Ran, Reason, Refusal

STREAM_COUNT = 16
READ_LIMIT_RECORDS = 1000
STEP = "claim"
RELEASE_INTERVAL_SECONDS = 0.5
MAX_PENDING_RELEASES = 10_000
MAX_KEY_CHARACTERS = 256


class AcquiredClaim:
    """A claim that owns its claim id, or whose append may have taken effect.

    Attributes:
        claim_id: Claim id of the request.
        change_id: Change id of the claim record.
        stream: Name of the claims stream.
    """

    def __init__(self, claim_id: str, change_id: str, stream: str) -> None:
        self.claim_id = claim_id
        self.change_id = change_id
        self.stream = stream


class ClaimStream:
    """One claims stream and the part of it that this node has read.

    Attributes:
        name: Name of the stream.
        table: Owners of claim ids.
        lock: Serializes the reads.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.table = ClaimTable()
        self.lock = curio.Lock()


class ClaimService:
    """Appends claims and determines which of them come first in the log.

    Attributes:
        streams: Claims streams by name.
        pending_releases: Claims that are still to be released, oldest first.
        release_lock: Serializes the releases.
    """

    def __init__(self, node_id: str, log: LogService, secret: bytes) -> None:
        self.node_id = node_id
        self.log = log
        self.secret = secret
        self.streams: dict[str, ClaimStream] = {}
        self.release_lock = curio.Lock()
        self.pending_releases: deque[AcquiredClaim] = deque(maxlen=MAX_PENDING_RELEASES)

    async def claim(
        self, account: str, route: str, idempotency_key: str
    ) -> AcquiredClaim | Refusal:
        """Claim a request before it runs.

        Returns:
            The claim if it is the first one; a refusal otherwise. The refusal for an
            unavailable log states that the request has not run.
        """
        if len(idempotency_key) > MAX_KEY_CHARACTERS:
            return Refusal(Reason.BAD_REQUEST, Ran.NOT_RUN, None, STEP, route)
        claim = claim_id(account, route, idempotency_key)
        stream = self.stream_of(claim)
        change_id = random_id()
        record = ClaimMade(claim, change_id, self.node_id)
        claimed = AcquiredClaim(claim, change_id, stream.name)
        try:
            offset = await self.log.append(stream.name, encode(record, self.secret))
            await self.read_through(stream, offset)
        except (LogError, curio.CancelledError) as error:
            # The append may have taken effect, and the request will not run.
            self.schedule_release(claimed)
            if isinstance(error, curio.CancelledError):
                raise
            return Refusal(Reason.LOG_UNAVAILABLE, Ran.NOT_RUN, 1.0, STEP, route)
        if stream.table.owner(claim) == change_id:
            return claimed
        return Refusal(Reason.DUPLICATE, Ran.UNKNOWN, None, STEP, route)

    def schedule_release(self, claimed: AcquiredClaim) -> None:
        """Schedule the release of a claim, so that its caller can retry."""
        self.pending_releases.append(claimed)

    async def run(self) -> None:
        """Append scheduled releases until cancelled; failed ones are retried."""
        while True:
            await curio.sleep(RELEASE_INTERVAL_SECONDS)
            await self.append_releases()

    async def append_releases(self) -> None:
        """Append the scheduled releases; they stay scheduled if the log fails."""
        async with self.release_lock:
            while self.pending_releases and await self.release(
                self.pending_releases[0]
            ):
                self.pending_releases.popleft()

    async def release(self, claimed: AcquiredClaim) -> bool:
        """Release the claim of a request that has provably not run.

        Returns:
            Whether the release was appended. Until then, a retry of the request is
            refused as a duplicate.
        """
        record = ClaimReleased(claimed.claim_id, claimed.change_id)
        try:
            await self.log.append(claimed.stream, encode(record, self.secret))
        except LogError:
            return False
        return True

    def stream_of(self, claim_id: str) -> ClaimStream:
        """Return the stream of a claim id."""
        number = hashlib.sha256(claim_id.encode()).digest()[0] % STREAM_COUNT
        name = f"claims-{number}"
        if name not in self.streams:
            self.streams[name] = ClaimStream(name)
        return self.streams[name]

    async def read_through(self, stream: ClaimStream, offset: int) -> None:
        """Read a stream through the record at an offset.

        Raises:
            LogError: If the log fails, or ends before the record.
        """
        async with stream.lock:
            while stream.table.position <= offset:
                position = stream.table.position
                batch = await self.log.read(
                    stream.name, position, READ_LIMIT_RECORDS, 0.0
                )
                self.apply_records(stream.table, batch.records)
                if not batch.records:
                    raise LogError("stream ends before the claim", "read", stream.name)
                stream.table.evict_before(batch.first_offset)

    def apply_records(
        self, table: ClaimTable, records: list[tuple[int, bytes]]
    ) -> None:
        """Apply records to a table; malformed ones are skipped."""
        for offset, data in records:
            record: Any = None
            try:
                record = decode(data, self.secret)
            except RecordError:
                table.skip(offset)
                continue
            table.apply(offset, record)

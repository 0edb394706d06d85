"""Claiming requests that must not be repeated, through the log.

A claim is appended before the request runs, and the request runs only if its
claim is the first one. The streams are read only as far as claims need it.
"""

import hashlib
from collections import deque
from typing import Any

import curio

from .claims import ClaimTable, claim_id
from .contexts import new_id
from .errors import LogError, RecordError
from .logs import LogService
from .records import ClaimMade, ClaimReleased, decode, encode
from .refusals import Ran, Reason, Refusal

STREAMS = 16
READ_LIMIT = 1000
STEP = "claim"
RELEASE_INTERVAL_SECONDS = 0.5
MAX_PENDING_RELEASES = 10_000
MAX_KEY_CHARACTERS = 256


class AcquiredClaim:
    """A claim that won.

    Attributes:
        claim_id: Id of the claim.
        change_id: Id of the append.
        stream: Stream that holds it.
    """

    def __init__(self, claim_id: str, change_id: str, stream: str) -> None:
        self.claim_id = claim_id
        self.change_id = change_id
        self.stream = stream


class ClaimStream:
    """One claims stream, read as far as this node has needed it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.table = ClaimTable()
        self.lock = curio.Lock()


class ClaimService:
    """Appends claims and decides them in the order of the log.

    Attributes:
        streams: Claims streams by name.
        abandoned: Claims that are still to be released.
    """

    def __init__(self, node_id: str, log: LogService, secret: bytes) -> None:
        self.node_id = node_id
        self.log = log
        self.secret = secret
        self.streams: dict[str, ClaimStream] = {}
        self.abandoned: deque[AcquiredClaim] = deque(maxlen=MAX_PENDING_RELEASES)

    async def claim(
        self, account: str, route: str, idempotency_key: str
    ) -> AcquiredClaim | Refusal:
        """Claim a request before it runs.

        Returns:
            The claim if it is the first one; a refusal otherwise. A refusal for an
            unreachable log says "not run": the claim alone runs nothing.
        """
        if len(idempotency_key) > MAX_KEY_CHARACTERS:
            return Refusal(Reason.BAD_REQUEST, Ran.NOT_RUN, None, STEP, route)
        claim = claim_id(account, route, idempotency_key)
        stream = self.stream_of(claim)
        change_id = new_id()
        record = ClaimMade(claim, change_id, self.node_id)
        claimed = AcquiredClaim(claim, change_id, stream.name)
        try:
            offset = await self.log.append(stream.name, encode(record, self.secret))
            await self.read_through(stream, offset)
        except (LogError, curio.CancelledError) as error:
            # The append may have taken effect, and the request will not run.
            self.abandon(claimed)
            if isinstance(error, curio.CancelledError):
                raise
            return Refusal(Reason.LOG_UNAVAILABLE, Ran.NOT_RUN, 1.0, STEP, route)
        if stream.table.owner(claim) == change_id:
            return claimed
        return Refusal(Reason.DUPLICATE, Ran.UNKNOWN, None, STEP, route)

    def abandon(self, claimed: AcquiredClaim) -> None:
        """Release a claim once the log answers, so that its caller can try again."""
        self.abandoned.append(claimed)

    async def run(self) -> None:
        """Append the releases that are due until cancelled."""
        while True:
            await curio.sleep(RELEASE_INTERVAL_SECONDS)
            while self.abandoned and await self.release(self.abandoned[0]):
                self.abandoned.popleft()

    async def release(self, claimed: AcquiredClaim) -> bool:
        """Release the claim of a request that has provably not run.

        Returns:
            Whether the log took the release. Until then a repetition of the request
            is refused as a duplicate.
        """
        record = ClaimReleased(claimed.claim_id, claimed.change_id)
        try:
            await self.log.append(claimed.stream, encode(record, self.secret))
        except LogError:
            return False
        return True

    def stream_of(self, claim: str) -> ClaimStream:
        """Return the stream that holds a claim id."""
        number = hashlib.sha256(claim.encode()).digest()[0] % STREAMS
        name = f"claims-{number}"
        if name not in self.streams:
            self.streams[name] = ClaimStream(name)
        return self.streams[name]

    async def read_through(self, stream: ClaimStream, offset: int) -> None:
        """Read a stream until a record was taken.

        Raises:
            LogError: If the log failed.
        """
        async with stream.lock:
            while stream.table.position <= offset:
                position = stream.table.position
                batch = await self.log.read(stream.name, position, READ_LIMIT, 0.0)
                self.apply_records(stream.table, batch.records)
                if not batch.records:
                    raise LogError("the claim is missing", "read", stream.name)
                stream.table.evict_before(batch.first)

    def apply_records(
        self, table: ClaimTable, records: list[tuple[int, bytes]]
    ) -> None:
        """Apply records to a table; malformed ones are passed over."""
        for offset, data in records:
            record: Any = None
            try:
                record = decode(data, self.secret)
            except RecordError:
                table.skip(offset)
                continue
            table.apply(offset, record)

"""Idempotency claims, which let a non-idempotent request run at most once.

A claim is appended to the log before its request runs. The first claim of a claim id,
in the order of offsets, owns the id. A rejected claim stays rejected, because its
caller has been told so, and a released claim stays released. Duplicated and delayed
appends therefore have no effect.
"""

import hashlib
from collections import OrderedDict
from typing import NamedTuple

from .records import ClaimMade, ClaimReleased, Record

CLAIM_ID_HEX_DIGITS = 40


class ClaimState(NamedTuple):
    """State of one claim id.

    Attributes:
        owner: Change id of the claim that owns the id, or empty.
        node_id: Node id of the owner, or empty.
        rejected: Change ids that were rejected or released.
        last_offset: Offset of the newest record about this claim id.
    """

    owner: str = ""
    node_id: str = ""
    rejected: tuple[str, ...] = ()
    last_offset: int = 0


NO_CLAIM = ClaimState()


def claim_id(account: str, route: str, idempotency_key: str) -> str:
    """Return the claim id of a request.

    Each field is hashed with its length, so that requests whose concatenated fields
    are equal get different ids.
    """
    hasher = hashlib.sha256()
    for field in (account, route, idempotency_key):
        data = field.encode("utf-8", "surrogatepass")
        hasher.update(len(data).to_bytes(8, "big"))
        hasher.update(data)
    return hasher.hexdigest()[:CLAIM_ID_HEX_DIGITS]


class ClaimTable:
    """Owners of claim ids, from the records of one claims stream.

    Attributes:
        position: Offset of the next record to read.
        claims: States by claim id, in the order of their newest records.
    """

    def __init__(self) -> None:
        self.position = 0
        self.claims: OrderedDict[str, ClaimState] = OrderedDict()

    def skip(self, offset: int) -> None:
        """Skip a record that could not be decoded."""
        self.position = max(self.position, offset + 1)

    def apply(self, offset: int, record: Record) -> ClaimState | None:
        """Apply one record; records must be applied in the order of their offsets.

        Returns:
            The state of the claim id, or None if the record is not about a claim or
            was read before.
        """
        if offset < self.position:
            return None
        self.position = offset + 1
        if not isinstance(record, ClaimMade | ClaimReleased):
            return None
        state = self.claims.get(record.claim_id, NO_CLAIM)
        if isinstance(record, ClaimMade):
            state = apply_claim(state, record)
        else:
            state = apply_release(state, record.change_id)
        state = state._replace(last_offset=offset)
        self.claims[record.claim_id] = state
        self.claims.move_to_end(record.claim_id)
        return state

    def owner(self, claim_id: str) -> str | None:
        """Return the change id of the claim that owns the claim id, or None."""
        return self.claims.get(claim_id, NO_CLAIM).owner or None

    def evict_before(self, before_offset: int) -> int:
        """Evict the claim ids whose newest record is before an offset.

        An evicted claim id can be claimed again, so the offset must be older than the
        promised lifetime of idempotency keys.

        Returns:
            The number of evicted claim ids.
        """
        count = 0
        while self.claims:
            oldest = next(iter(self.claims))
            if self.claims[oldest].last_offset >= before_offset:
                break
            del self.claims[oldest]
            count += 1
        return count

    def __len__(self) -> int:
        return len(self.claims)


def apply_claim(state: ClaimState, record: ClaimMade) -> ClaimState:
    """Return the state after a claim, which is rejected if the id has an owner."""
    if record.change_id == state.owner or record.change_id in state.rejected:
        return state
    if state.owner:
        return state._replace(rejected=(*state.rejected, record.change_id))
    return state._replace(owner=record.change_id, node_id=record.node_id)


def apply_release(state: ClaimState, change_id: str) -> ClaimState:
    """Return the state after a release, which may precede its claim in the log."""
    if change_id not in state.rejected:
        state = state._replace(rejected=(*state.rejected, change_id))
    if change_id == state.owner:
        state = state._replace(owner="", node_id="")
    return state

"""Idempotency claims: a request that must not be repeated runs at most once.

A claim is appended before its request runs. The first claim of a claim id in offset
order owns it. A claim that lost stays lost, because its caller has been told so, and
a released claim stays released. Repeated and late appends therefore change nothing.
"""

import hashlib
from collections import OrderedDict
from typing import NamedTuple

from .records import ClaimMade, ClaimReleased, Record

CLAIM_ID_HEX_DIGITS = 40


class ClaimState(NamedTuple):
    """State of one claim id.

    Attributes:
        owner: Change id of the claim that owns it, empty after a release.
        node_id: Node of the owner.
        spent: Change ids that have lost or were released.
        newest: Offset of the newest record of this claim id.
    """

    owner: str = ""
    node_id: str = ""
    spent: tuple[str, ...] = ()
    newest: int = 0


NO_CLAIM = ClaimState()


def claim_id(account: str, route: str, idempotency_key: str) -> str:
    """Return the claim id of a request.

    The lengths keep apart requests whose joined fields are equal.
    """
    state = hashlib.sha256()
    for field in (account, route, idempotency_key):
        data = field.encode("utf-8", "surrogatepass")
        state.update(len(data).to_bytes(8, "big"))
        state.update(data)
    return state.hexdigest()[:CLAIM_ID_HEX_DIGITS]


class ClaimTable:
    """Owners of claim ids, folded from one claims stream.

    Attributes:
        position: Offset of the next record to read.
        claims: Claims by id, ordered by their newest record.
    """

    def __init__(self) -> None:
        self.position = 0
        self.claims: OrderedDict[str, ClaimState] = OrderedDict()

    def skip(self, offset: int) -> None:
        """Pass over a record that could not be decoded."""
        self.position = max(self.position, offset + 1)

    def apply(self, offset: int, record: Record) -> ClaimState | None:
        """Apply the record at an offset; records must come in the order of offsets.

        Returns:
            The state of the claim id, or None if the record is not about a claim or
            has been read before.
        """
        if offset < self.position:
            return None
        self.position = offset + 1
        if not isinstance(record, ClaimMade | ClaimReleased):
            return None
        claim = self.claims.get(record.claim_id, NO_CLAIM)
        if isinstance(record, ClaimMade):
            claim = apply_claim(claim, record)
        else:
            claim = apply_release(claim, record.change_id)
        claim = claim._replace(newest=offset)
        self.claims[record.claim_id] = claim
        self.claims.move_to_end(record.claim_id)
        return claim

    def owner(self, claim_id: str) -> str | None:
        """Return the change id of the claim that owns a claim id, or None."""
        return self.claims.get(claim_id, NO_CLAIM).owner or None

    def evict_before(self, before_offset: int) -> int:
        """Forget claim ids whose newest record is before an offset.

        A claim id that is forgotten can be claimed again, so the offset must be older
        than the time for which idempotency keys are promised.

        Returns:
            The number of claim ids forgotten.
        """
        count = 0
        while self.claims:
            oldest = next(iter(self.claims))
            if self.claims[oldest].newest >= before_offset:
                break
            del self.claims[oldest]
            count += 1
        return count

    def __len__(self) -> int:
        return len(self.claims)


def apply_claim(claim: ClaimState, record: ClaimMade) -> ClaimState:
    """Return the state after a claim was made."""
    if record.change_id == claim.owner or record.change_id in claim.spent:
        return claim
    if claim.owner:
        return claim._replace(spent=(*claim.spent, record.change_id))
    return claim._replace(owner=record.change_id, node_id=record.node_id)


def apply_release(claim: ClaimState, change_id: str) -> ClaimState:
    """Return the state after a release, which may be read before its claim."""
    if change_id not in claim.spent:
        claim = claim._replace(spent=(*claim.spent, change_id))
    if change_id == claim.owner:
        claim = claim._replace(owner="", node_id="")
    return claim

"""Records about slots in the shares stream, and what makes a claim valid."""

from enum import Enum
from typing import NamedTuple


class ClaimBasis(Enum):
    """Evidence on which a slot is claimed."""

    FREE = "free"
    RESTARTED = "restarted"
    RELEASED = "released"
    FORGOTTEN = "forgotten"
    LAPSED = "lapsed"


class SlotClaim(NamedTuple):
    """Record: a node takes a slot for a new term.

    Attributes:
        slot: Slot.
        domain: Failure domain of the slot and of the node.
        term: One above the term before; the first valid claim of a term wins.
        holder: Node id.
        incarnation: Incarnation of the node.
        address: Peer address of the node; belongs to one host at a time.
        kind: Evidence that the former holder lends no more.
        notice: For a lapsed lease, the number of the notice in the former term. A
            claim whose append was delayed must not rest on a later notice.
    """

    slot: int
    domain: str
    term: int
    holder: str
    incarnation: int
    address: str
    kind: ClaimBasis
    notice: int = 0


class SlotRelease(NamedTuple):
    """Record: the holder has stopped to lend from a slot."""

    slot: int
    domain: str
    term: int
    holder: str
    incarnation: int


class TakeoverNotice(NamedTuple):
    """Record: a node will claim a slot after a lease time unless its holder objects.

    A holder that reads the log objects. One that does not read it stops when its
    lease lapses, which is before the claim.
    """

    slot: int
    domain: str
    term: int
    claimant: str
    incarnation: int


class TakeoverObjection(NamedTuple):
    """Record: the holder of a slot is alive, which voids a notice."""

    slot: int
    domain: str
    term: int
    holder: str
    incarnation: int


class ForgetNode(NamedTuple):
    """Record: an operator declares that a node has gone for good."""

    node: str
    incarnation: int


SlotRecord = SlotClaim | SlotRelease | TakeoverNotice | TakeoverObjection | ForgetNode


class SlotState(NamedTuple):
    """What the log says about one slot of one failure domain.

    Attributes:
        claim: The valid claim of the newest term.
        released: Whether its holder has released it.
        forgotten: Whether an operator has declared its holder gone.
        notice: A notice that is not voided, or None.
        notices: Number of notices in this term.
        read_at: Time in seconds at which this node read the claim.
        notice_at: Time in seconds at which this node read the notice.
    """

    claim: SlotClaim
    released: bool
    forgotten: bool
    notice: TakeoverNotice | None
    notices: int
    read_at: float
    notice_at: float


def is_by_holder(record: SlotRelease | TakeoverObjection, claim: SlotClaim) -> bool:
    """Tell whether a record is by the holder, in the term of the claim."""
    return record.term == claim.term and (record.holder, record.incarnation) == (
        claim.holder,
        claim.incarnation,
    )


def is_valid(claim: SlotClaim, state: SlotState | None) -> bool:
    """Tell whether the log holds the evidence for a claim."""
    if state is None:
        return claim.kind is ClaimBasis.FREE and claim.term == 1
    former = state.claim
    if claim.term != former.term + 1:
        return False
    if claim.kind is ClaimBasis.RESTARTED:
        same = (claim.holder, claim.address) == (former.holder, former.address)
        return same and claim.incarnation > former.incarnation
    if claim.kind is ClaimBasis.RELEASED:
        return state.released
    if claim.kind is ClaimBasis.FORGOTTEN:
        return state.forgotten
    if claim.kind is not ClaimBasis.LAPSED or state.notice is None:
        return False
    return claim.notice == state.notices

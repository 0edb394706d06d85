"""Records about slots in the shares stream, and the validity rules of claims."""

from enum import Enum
from typing import NamedTuple


class ClaimBasis(Enum):
    """Evidence on which a claim rests.

    FREE: the slot has never been claimed. RESTARTED: the holder itself claims it again
    under a higher incarnation. RELEASED: the holder has released it. FORGOTTEN: an
    operator has declared the holder gone. LAPSED: the holder has not objected to a
    notice for the time of a lease.
    """

    FREE = "free"
    RESTARTED = "restarted"
    RELEASED = "released"
    FORGOTTEN = "forgotten"
    LAPSED = "lapsed"


class SlotClaim(NamedTuple):
    """Record: a node claims a slot for a new term.

    Attributes:
        slot: Slot.
        domain: Failure domain of the slot and of the node.
        term: Successor of the previous term; the first valid claim of a term wins.
        holder: Node id.
        incarnation: Incarnation of the node.
        address: Peer address of the node; belongs to one host at a time.
        kind: Evidence that the previous holder has stopped lending.
        notice_number: For a lapsed lease, the number of the notice in the previous
            term. Keeps a claim whose append was delayed from resting on a later notice.
    """

    slot: int
    domain: str
    term: int
    holder: str
    incarnation: int
    address: str
    kind: ClaimBasis
    notice_number: int = 0


class SlotRelease(NamedTuple):
    """Record: the holder of a slot has stopped lending from it."""

    slot: int
    domain: str
    term: int
    holder: str
    incarnation: int


class TakeoverNotice(NamedTuple):
    """Record: a node will claim a slot after one lease time unless the holder objects.

    A holder that reads the log objects. A holder that does not stops lending when its
    lease expires, which is before the claim.
    """

    slot: int
    domain: str
    term: int
    claimant: str
    incarnation: int


class TakeoverObjection(NamedTuple):
    """Record: the holder of a slot is alive, which cancels a notice."""

    slot: int
    domain: str
    term: int
    holder: str
    incarnation: int


class ForgetNode(NamedTuple):
    """Record: an operator has declared a node permanently gone."""

    node: str
    incarnation: int


SlotRecord = SlotClaim | SlotRelease | TakeoverNotice | TakeoverObjection | ForgetNode


class SlotState(NamedTuple):
    """State of one slot of one failure domain, according to the log.

    Attributes:
        claim: The valid claim of the newest term.
        released: Whether the holder has released the slot.
        forgotten: Whether an operator has declared the holder gone.
        notice: The notice in force, or None.
        notice_count: Number of notices in this term.
        claim_read_at: Time in seconds at which this node read the claim.
        notice_read_at: Time in seconds at which this node read the notice.
    """

    claim: SlotClaim
    released: bool
    forgotten: bool
    notice: TakeoverNotice | None
    notice_count: int
    claim_read_at: float
    notice_read_at: float


def is_from_holder(record: SlotRelease | TakeoverObjection, claim: SlotClaim) -> bool:
    """Return whether a record is from the holder, in the term of its claim."""
    return record.term == claim.term and (record.holder, record.incarnation) == (
        claim.holder,
        claim.incarnation,
    )


def is_valid_claim(claim: SlotClaim, state: SlotState | None) -> bool:
    """Return whether the log contains the evidence for a claim."""
    if state is None:
        return claim.kind is ClaimBasis.FREE and claim.term == 1
    previous = state.claim
    if claim.term != previous.term + 1:
        return False
    if claim.kind is ClaimBasis.RESTARTED:
        same_node = (claim.holder, claim.address) == (previous.holder, previous.address)
        return same_node and claim.incarnation > previous.incarnation
    if claim.kind is ClaimBasis.RELEASED:
        return state.released
    if claim.kind is ClaimBasis.FORGOTTEN:
        return state.forgotten
    if claim.kind is not ClaimBasis.LAPSED or state.notice is None:
        return False
    return claim.notice_number == state.notice_count

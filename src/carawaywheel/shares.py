"""Wire messages and partitioning rules of fleet-wide rate limits.

The rate limit of a client account is split between the failure domains. In each
domain one node, the lender, owns the token bucket of the domain's share
(``lenders``). Nodes that need tokens borrow them for a short time (``borrowers``).
Accounts are hashed to slots; claims in the log elect the lender of each slot
(``slots``).
"""

import enum
import hashlib
import math
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from .errors import ProtocolError
from .settings import ShareSettings

# The node that grants a loan or lease waits longer than the node that uses it, so
# that it has expired by both clocks. Two clocks with an error of 1% differ by 2%; the
# rest covers coarse clock readings.
CLOCK_DRIFT_MARGIN = 1.1

REQUEST_TAG = b"\x01"
GRANT_TAG = b"\x02"


class GrantStatus(enum.IntEnum):
    """Status of a grant."""

    GRANTED = 0
    EXHAUSTED = 1
    NOT_HOLDER = 2


class TokenRequest(NamedTuple):
    """A borrower's request for tokens, with its report on the current loan.

    Attributes:
        borrower: Node id of the borrower.
        incarnation: Incarnation of the borrower.
        sequence: Sequence number of the request, for this lender and account. The
            successor of the last number continues the loan; a gap starts a new one.
        account: Client account.
        term: Term under which, according to the borrower, the lender holds the slot.
        wanted: Tokens requested in total, ``urgent`` included.
        urgent: Tokens requested for callers that are waiting.
        spent: Tokens spent since the last request.
        returned: Unspent tokens returned to the lender.
        is_final: Whether the borrower holds no tokens and expects no grant.
    """

    borrower: str
    incarnation: int
    sequence: int
    account: str
    term: int
    wanted: int
    urgent: int
    spent: int
    returned: int
    is_final: bool


class TokenGrant(NamedTuple):
    """A lender's response to one request.

    Attributes:
        sequence: Sequence number of the request.
        account: Client account.
        term: Term under which the lender holds the slot.
        tokens: Tokens lent.
        valid_for: Validity of the loan in seconds, from when the request was sent.
        renewed: Whether the validity also applies to tokens the borrower holds.
        report_promptly: Whether to report spent tokens at once, because unreported
            ones keep the bucket from refilling.
        status: Whether the lender is out of tokens or does not hold the slot.
        retry_after: Seconds until the borrower should ask again.
    """

    sequence: int
    account: str
    term: int
    tokens: int
    valid_for: float
    renewed: bool
    report_promptly: bool
    status: GrantStatus
    retry_after: float


class DomainLimit(NamedTuple):
    """One failure domain's share of an account's rate limit.

    Attributes:
        rate: Tokens per second.
        burst: Maximum number of tokens in the bucket and in loans together.
    """

    rate: float
    burst: float


encoder = msgspec.msgpack.Encoder()
request_decoder = msgspec.msgpack.Decoder(TokenRequest)
grant_decoder = msgspec.msgpack.Decoder(TokenGrant)


def encode_message(message: TokenRequest | TokenGrant) -> bytes:
    """Encode a message as a tag byte followed by msgpack."""
    tag = REQUEST_TAG if isinstance(message, TokenRequest) else GRANT_TAG
    return tag + encoder.encode(message)


def decode_message(data: bytes) -> TokenRequest | TokenGrant:
    """Decode the message in a datagram.

    Raises:
        ProtocolError: If the tag is unknown or the body is malformed.
    """
    tag = data[:1]
    body = data[1:]
    try:
        if tag == REQUEST_TAG:
            return request_decoder.decode(body)
        if tag == GRANT_TAG:
            return grant_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ProtocolError(f"malformed share message: {error}", "decode") from error
    raise ProtocolError(f"unknown tag of a share message: {tag!r}", "decode")


def stable_hash(*words: str) -> int:
    """Return a 64-bit hash of words that is equal on every node."""
    data = "\x00".join(words).encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def hash_slot(account: str, settings: ShareSettings) -> int:
    """Return the slot of an account."""
    return stable_hash("slot", account) % settings.slots


def domain_limit(
    account: str, rate: float, burst: float, domain: str, domains: Sequence[str]
) -> DomainLimit:
    """Split an account's rate limit and return the share of one failure domain.

    Each share gets a whole number of burst tokens; the fraction goes to the domain
    that ranks first. If the burst is smaller than the number of domains, only some of
    them get a share: fractions of a token would have to be collected from several
    lenders.

    Args:
        account: Client account.
        rate: Tokens per second over the fleet.
        burst: Burst over the fleet, in tokens.
        domain: Failure domain whose share is returned.
        domains: All failure domains of the fleet.
    """
    ranked = sorted(domains, key=lambda name: stable_hash("part", account, name))
    whole = math.floor(burst)
    count = max(1, min(len(ranked), whole))
    rank = ranked.index(domain)
    if rank >= count:
        return DomainLimit(0.0, 0.0)
    tokens = float(whole // count)
    if rank < whole % count:
        tokens += 1
    if rank == 0:
        tokens += burst - whole
    return DomainLimit(rate / count, tokens)

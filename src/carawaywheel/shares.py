"""Messages and common rules of fleet-wide rates.

Each client account is divided into parts, one for each failure domain. The lender
of a part (``lenders``) lends its tokens for a short time to the nodes that need
them (``borrowers``). Who is the lender is settled by claims in the log (``slots``).
"""

import enum
import hashlib
import math
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from .errors import ProtocolError
from .settings import ShareSettings

# A loan or lease that one clock ends must have ended by every other clock too. Two
# clocks with an error of 1% differ by 2%; the rest covers coarser clock readings.
CLOCK_DRIFT_MARGIN = 1.1

REQUEST_TAG = b"\x01"
GRANT_TAG = b"\x02"


class GrantStatus(enum.IntEnum):
    """What a lender says besides the number of tokens."""

    GRANTED = 0
    EXHAUSTED = 1
    NOT_HOLDER = 2


class TokenRequest(NamedTuple):
    """A borrower's request for tokens and its account of the former ones.

    Attributes:
        borrower: Node id of the borrower.
        incarnation: Incarnation of the borrower.
        sequence: Number of the request to this lender for this account. A number
            that is one above the last one continues the loan; a gap starts anew.
        account: Client account.
        term: Term under which the borrower believes that the lender holds the slot.
        wanted: Tokens wanted, those for waiting callers included.
        urgent: Tokens wanted for callers that wait.
        spent: Tokens spent since the last request.
        returned: Tokens that are given back, no longer held by the borrower.
        settles: Whether the borrower holds nothing and expects no answer.
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
    """A lender's answer to one request.

    Attributes:
        sequence: Number of the request.
        account: Client account.
        term: Term under which the lender holds the slot.
        tokens: Tokens lent.
        valid_for: Seconds that the loan is valid, from when the request was sent.
        renewed: Whether tokens that the borrower still holds are valid as long.
        prompt: Whether to report spent tokens at once, because they hold up the
            bucket.
        status: Whether the lender has run out or does not hold the slot.
        retry_after: Seconds until it makes sense to ask again.
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
    """Rate and burst of one failure domain's part of an account.

    Attributes:
        rate: Tokens each second.
        burst: Most tokens in existence.
    """

    rate: float
    burst: float


encoder = msgspec.msgpack.Encoder()
request_decoder = msgspec.msgpack.Decoder(TokenRequest)
grant_decoder = msgspec.msgpack.Decoder(TokenGrant)


def encode_message(message: TokenRequest | TokenGrant) -> bytes:
    """Return a message as a tag byte and msgpack."""
    tag = REQUEST_TAG if isinstance(message, TokenRequest) else GRANT_TAG
    return tag + encoder.encode(message)


def decode_message(data: bytes) -> TokenRequest | TokenGrant:
    """Return the message in a datagram.

    Raises:
        ProtocolError: If the data is not a valid message.
    """
    tag = data[:1]
    body = data[1:]
    try:
        if tag == REQUEST_TAG:
            return request_decoder.decode(body)
        if tag == GRANT_TAG:
            return grant_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ProtocolError(f"invalid share message: {error}", "decode") from error
    raise ProtocolError("unknown kind of share message", "decode")


def stable_hash(*words: str) -> int:
    """Return a hash of words that is the same on every node."""
    data = "\x00".join(words).encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def hash_slot(account: str, settings: ShareSettings) -> int:
    """Return the slot that an account belongs to."""
    return stable_hash("slot", account) % settings.slots


def domain_limit(
    account: str, rate: float, burst: float, domain: str, domains: Sequence[str]
) -> DomainLimit:
    """Divide an account and return the part of one failure domain.

    The bursts are whole tokens, but for the first one. An account whose burst is
    smaller than the number of domains has parts in some of them only. Otherwise its
    tokens would be fractions that a node had to collect from several lenders.

    Args:
        account: Client account.
        rate: Tokens each second over the fleet.
        burst: Burst over the fleet, in tokens.
        domain: Failure domain that is asked about.
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

"""Borrower-side state of loans, of lenders and of the demand for tokens."""

import math
from typing import NamedTuple

from .shares import TokenRequest


class LenderRef(NamedTuple):
    """Reference to the lender of a slot.

    Attributes:
        node: Node id of the lender.
        domain: Failure domain of the slot.
        term: Term of the lender's claim.
    """

    node: str
    domain: str
    term: int


class PendingRequest(NamedTuple):
    """A request that waits for its grant.

    Attributes:
        request: The request; retransmitted unchanged.
        sent_at: Time in seconds of the first transmission. The validity of the loan
            counts from here, since the lender counts from a later time.
        resend_at: Time in seconds of the next retransmission.
        transmissions: Number of times that it was sent.
    """

    request: TokenRequest
    sent_at: float
    resend_at: float
    transmissions: int


class LenderHealth:
    """Reachability of one lender node, over all accounts.

    Attributes:
        timeouts: Consecutive requests that timed out.
        backoff_until: Time in seconds until which no further request is sent.
    """

    def __init__(self) -> None:
        self.timeouts = 0
        self.backoff_until = -math.inf


class BorrowedLoan:
    """Tokens of one account borrowed from one lender.

    Attributes:
        lender: The lender.
        health: Reachability of the lender's node.
        sequence: Sequence number of the last request.
        pending: The request that waits for its grant, or None.
        held: Unspent tokens.
        valid_until: Time in seconds at which the unspent tokens expire.
        spent: Tokens spent since the last request.
        report_promptly: Whether the lender wants reports of spent tokens at once.
        refused_until: Time in seconds until which the lender has refused requests.
        next_prefetch_at: Time in seconds of the earliest request that no caller waits
            for.
    """

    def __init__(self, lender: LenderRef, health: LenderHealth, sequence: int) -> None:
        self.lender = lender
        self.health = health
        self.sequence = sequence
        self.pending: PendingRequest | None = None
        self.held = 0
        self.valid_until = -math.inf
        self.spent = 0
        self.report_promptly = False
        self.refused_until = -math.inf
        self.next_prefetch_at = -math.inf

    def has_usable_token(self, now: float) -> bool:
        """Return whether an unexpired token can be spent."""
        return self.held > 0 and now < self.valid_until

    def expire(self, now: float) -> None:
        """Drop expired tokens; the lender writes them off on its own clock."""
        if now < self.valid_until or not (self.held or self.spent):
            return
        self.held = 0
        self.spent = 0
        # The gap in the sequence numbers ends the loan at the lender.
        self.sequence += 1

    def can_request(self, now: float) -> bool:
        """Return whether neither a refusal nor a backoff blocks requests."""
        return now >= self.refused_until and now >= self.health.backoff_until

    def requested_tokens(self) -> int:
        """Return the tokens requested and likely to arrive; 0 after a timeout."""
        if self.pending is None or self.health.timeouts:
            return 0
        return self.pending.request.wanted


class AccountDemand:
    """Demand for tokens of one account at this node.

    Attributes:
        loans: Loans of the account, with the own domain's lender first.
        waiting: Number of callers that wait for a token.
        weight: Exponentially decaying count of calls.
        updated_at: Time in seconds of the last call.
    """

    def __init__(self, loans: list[BorrowedLoan], now: float) -> None:
        self.loans = loans
        self.waiting = 0
        self.weight = 0.0
        self.updated_at = now

    def record_call(self, now: float, window: float) -> None:
        """Count one call at ``now``; ``window`` is the decay time in seconds."""
        elapsed = max(0.0, now - self.updated_at)
        self.weight = self.weight * math.exp(-elapsed / window) + 1
        self.updated_at = now

    def rate(self, now: float, window: float) -> float:
        """Return the calls per second, averaged over ``window`` seconds."""
        elapsed = max(0.0, now - self.updated_at)
        return self.weight * math.exp(-elapsed / window) / window

    def is_idle(self) -> bool:
        """Return whether nothing is due until the next call."""
        if self.waiting:
            return False
        return not any(loan.pending or loan.held or loan.spent for loan in self.loans)

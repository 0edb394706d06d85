"""Loans of one node and the demand for them."""

import math
from typing import NamedTuple

from .shares import TokenRequest


class LenderRef(NamedTuple):
    """The holder of a slot, as a borrower addresses it.

    Attributes:
        node: Node id of the lender.
        domain: Failure domain of the slot.
        term: Term of the lender's claim.
    """

    node: str
    domain: str
    term: int


class PendingRequest(NamedTuple):
    """A request that has not been answered.

    Attributes:
        request: The request; repeated as it is.
        sent_at: Time in seconds at which it was first sent. A loan is valid from
            then on, since the lender counts from a later time.
        resend_at: Time in seconds at which to repeat it.
        tries: Number of times that it was sent.
    """

    request: TokenRequest
    sent_at: float
    resend_at: float
    tries: int


class LenderHealth:
    """Silence of one lender node, over all accounts.

    Attributes:
        failures: Requests in a row that were not answered in time.
        silent_until: Time in seconds until which the lender is not asked.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.backoff_until = -math.inf


class BorrowedLoan:
    """Loan of one account from one lender.

    Attributes:
        ref: The lender.
        health: Silence of the lender's node.
        sequence: Number of the last request.
        pending: The request that is not answered, or None.
        held: Tokens held.
        valid_until: Time in seconds at which the held tokens expire.
        spent: Tokens spent since the last request.
        prompt: Whether the lender wants to hear of spent tokens at once.
        closed_until: Time in seconds until which the lender has no tokens.
        ask_at: Time in seconds before which it is not asked ahead of demand.
    """

    def __init__(self, ref: LenderRef, health: LenderHealth, sequence: int) -> None:
        self.ref = ref
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
        """Tell whether a token can be spent."""
        return self.held > 0 and now < self.valid_until

    def expire(self, now: float) -> None:
        """Drop tokens whose time is over; the lender has written them off too."""
        if now < self.valid_until or not (self.held or self.spent):
            return
        self.held = 0
        self.spent = 0
        # A gap in the numbers tells the lender that the loan is not continued.
        self.sequence += 1

    def can_request(self, now: float) -> bool:
        """Tell whether the lender may have tokens and seems to be reachable."""
        return now >= self.refused_until and now >= self.health.backoff_until

    def requested_tokens(self) -> int:
        """Return the tokens that a responsive lender was asked for."""
        if self.pending is None or self.health.failures:
            return 0
        return self.pending.request.wanted


class AccountDemand:
    """Demand for one account at this node.

    Attributes:
        lanes: Loans, the lender of the own domain first.
        waiting: Callers that wait for a token.
        weight: Calls, each weighted by its age.
        updated_at: Time in seconds of the last call.
    """

    def __init__(self, lanes: list[BorrowedLoan], now: float) -> None:
        self.loans = lanes
        self.waiting = 0
        self.weight = 0.0
        self.updated_at = now

    def record_call(self, now: float, window: float) -> None:
        """Count one call."""
        elapsed = max(0.0, now - self.updated_at)
        self.weight = self.weight * math.exp(-elapsed / window) + 1
        self.updated_at = now

    def rate(self, now: float, window: float) -> float:
        """Return the calls each second, averaged over ``window`` seconds."""
        elapsed = max(0.0, now - self.updated_at)
        return self.weight * math.exp(-elapsed / window) / window

    def is_idle(self) -> bool:
        """Tell whether nothing is left to do until the next call."""
        if self.waiting:
            return False
        return not any(lane.pending or lane.held or lane.spent for lane in self.loans)

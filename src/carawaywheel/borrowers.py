"""Borrower side of fleet-wide rate limits.

Charges requests to client accounts at the node that received them, with tokens
borrowed from lenders on other nodes.
"""

import math
from typing import NamedTuple

from .loans import AccountDemand, BorrowedLoan, LenderHealth, LenderRef, PendingRequest
from .refusals import Reason, Refusal
from .settings import ShareSettings
from .shares import GrantStatus, TokenGrant, TokenRequest, hash_slot, stable_hash

STEP = "shares"
# Share of the loan time that remains when a loan is renewed. Leaves time for one
# retransmission of a lost request.
RENEW_BEFORE_END_SHARE = 0.25


class Acquired(NamedTuple):
    """A token was acquired for a request.

    Attributes:
        domain: Failure domain of the lender of the token.
    """

    domain: str


class NeedsTokens(NamedTuple):
    """No token is held; one has to be requested from a lender first.

    The caller of ``Borrower.acquire`` sends the requests that
    ``Borrower.due_requests`` returns, waits for a grant or a timeout, and then calls
    ``acquire`` again with ``waited``, or ``cancel_wait``.

    Attributes:
        retry_at: Time in seconds by which to call ``acquire`` again.
    """

    retry_at: float


class Borrower:
    """Borrows tokens from lenders and spends them on requests.

    Attributes:
        settings: Settings of fleet-wide rate limits.
        node: Id of this node.
        incarnation: Incarnation of this node.
        domain: Failure domain of this node.
        lenders: Lenders by slot.
        lender_health: Reachability of lenders by node id.
        demands: Demand by account.
        active: Demand of the accounts for which requests may be due.
        sequence_floor: Highest sequence number of a dropped loan. New loans start
            above it, since the lender may still have the old numbers.
    """

    def __init__(
        self, settings: ShareSettings, node: str, incarnation: int, domain: str
    ) -> None:
        self.settings = settings
        self.node = node
        self.incarnation = incarnation
        self.domain = domain
        self.lenders: dict[int, list[LenderRef]] = {}
        self.lender_health: dict[str, LenderHealth] = {}
        self.demands: dict[str, AccountDemand] = {}
        self.active: dict[str, AccountDemand] = {}
        self.sequence_floor = 0

    def set_lenders(self, slot: int, lenders: list[LenderRef]) -> None:
        """Set the lenders of a slot and drop the loans from replaced lenders."""
        self.lenders[slot] = lenders
        for account, demand in self.demands.items():
            if hash_slot(account, self.settings) == slot:
                previous = {loan.lender: loan for loan in demand.loans}
                for lender, loan in previous.items():
                    if lender not in lenders:
                        self.sequence_floor = max(self.sequence_floor, loan.sequence)
                demand.loans = self.make_loans(account, lenders, previous)

    def remove_account(self, account: str) -> None:
        """Drop an account with its tokens; unknown accounts are ignored."""
        demand = self.demands.pop(account, None)
        self.active.pop(account, None)
        for loan in demand.loans if demand is not None else []:
            self.sequence_floor = max(self.sequence_floor, loan.sequence)

    def make_loans(
        self,
        account: str,
        lenders: list[LenderRef],
        previous: dict[LenderRef, BorrowedLoan],
    ) -> list[BorrowedLoan]:
        """Return a loan for each lender, with the own domain's lender first."""

        def order(lender: LenderRef) -> tuple[bool, int]:
            # Spreads the requests of different borrowers over the other domains.
            return lender.domain != self.domain, stable_hash(
                account, self.node, lender.domain
            )

        loans = []
        for lender in sorted(lenders, key=order):
            health = self.lender_health.setdefault(lender.node, LenderHealth())
            loans.append(
                previous.get(lender)
                or BorrowedLoan(lender, health, self.sequence_floor + 1)
            )
        return loans

    def activate_demand(self, account: str, now: float) -> AccountDemand:
        """Return the demand for an account, created if needed, and mark it active."""
        demand = self.demands.get(account)
        if demand is None:
            lenders = self.lenders.get(hash_slot(account, self.settings), [])
            demand = AccountDemand(self.make_loans(account, lenders, {}), now)
            self.demands[account] = demand
        self.active[account] = demand
        return demand

    def acquire(
        self, account: str, now: float, waited: bool = False
    ) -> Acquired | NeedsTokens | Refusal:
        """Charge one request to an account.

        The token that expires first is spent first.

        Args:
            account: Client account.
            now: Time in seconds.
            waited: Whether an earlier call for the same request returned
                ``NeedsTokens``.

        Returns:
            ``Acquired``; ``NeedsTokens`` if a lender can still be asked; or a refusal
            if every lender has refused or is unreachable.
        """
        demand = self.activate_demand(account, now)
        if waited:
            demand.waiting = max(0, demand.waiting - 1)
        else:
            demand.record_call(now, self.settings.demand_window)
        best: BorrowedLoan | None = None
        for loan in demand.loans:
            if loan.has_usable_token(now):
                if best is None or loan.valid_until < best.valid_until:
                    best = loan
        if best is not None:
            best.held -= 1
            best.spent += 1
            return Acquired(best.lender.domain)
        if any(loan.can_request(now) for loan in demand.loans):
            demand.waiting += 1
            return NeedsTokens(now + self.settings.reply_timeout)
        return self.build_refusal(demand, now)

    def build_refusal(self, demand: AccountDemand, now: float) -> Refusal:
        """Return the refusal for an account for which no lender can be asked."""
        refusing = [loan for loan in demand.loans if now < loan.refused_until]
        if refusing:
            retry_after = min(loan.refused_until for loan in refusing) - now
            return Refusal(Reason.RATE_EXCEEDED, retry_after=retry_after, step=STEP)
        retry_after = self.settings.ask_interval
        return Refusal(Reason.PEER_FAILED, retry_after=retry_after, step=STEP)

    def cancel_wait(self, account: str) -> None:
        """Record that a waiting caller no longer needs a token."""
        demand = self.demands.get(account)
        if demand is not None:
            demand.waiting = max(0, demand.waiting - 1)

    def refund(self, account: str, now: float) -> bool:
        """Refund the token of a request that was refused without having run.

        Tokens already reported as spent, or of an expired loan, are not refunded:
        the lender may have issued new ones in their place.

        Returns:
            Whether a token was refunded.
        """
        demand = self.demands.get(account)
        if demand is None:
            return False
        for loan in demand.loans:
            if loan.spent and now < loan.valid_until:
                loan.spent -= 1
                loan.held += 1
                self.active[account] = demand
                return True
        return False

    def due_requests(
        self, now: float, account: str | None = None
    ) -> list[tuple[LenderRef, TokenRequest]]:
        """Return the requests to send now, with their lenders.

        Must be called for an account after ``acquire`` returned ``NeedsTokens`` and
        after ``handle_grant``, and for all accounts at least every 50 ms.

        Args:
            now: Time in seconds.
            account: The only account to consider, or None for all.
        """
        out: list[tuple[LenderRef, TokenRequest]] = []
        if account is not None:
            demand = self.active.get(account)
            if demand is not None:
                self.plan_requests(account, demand, now, out)
            return out
        for name, demand in list(self.active.items()):
            self.plan_requests(name, demand, now, out)
            if demand.is_idle() and self.prefetch_tokens(demand, now) == 0:
                del self.active[name]
        return out

    def plan_requests(
        self,
        account: str,
        demand: AccountDemand,
        now: float,
        out: list[tuple[LenderRef, TokenRequest]],
    ) -> None:
        """Append the due requests of one account to ``out``."""
        for loan in demand.loans:
            loan.expire(now)
            if loan.pending is not None:
                self.retransmit(loan, now, out)
        prefetch = self.prefetch_tokens(demand, now)
        self.request_missing(account, demand, prefetch, now, out)
        for loan in demand.loans:
            if loan.pending is None:
                self.renew_or_return(account, loan, prefetch, now, out)

    def prefetch_tokens(self, demand: AccountDemand, now: float) -> int:
        """Return the number of tokens to hold ahead of demand."""
        rate = demand.rate(now, self.settings.demand_window)
        if rate < self.settings.ahead_floor:
            return 0
        return math.ceil(rate * self.settings.ahead_time)

    def retransmit(
        self, loan: BorrowedLoan, now: float, out: list[tuple[LenderRef, TokenRequest]]
    ) -> None:
        """Retransmit an unanswered request, or drop it when its loan has expired."""
        pending = loan.pending
        if pending is None:
            return
        if now >= pending.sent_at + self.settings.loan_time:
            loan.pending = None
            loan.held = 0
            loan.spent = 0
            loan.sequence += 1
        elif now >= pending.resend_at:
            health = loan.health
            health.timeouts += 1
            backoff = self.settings.reply_timeout * 2.0 ** min(health.timeouts, 10)
            backoff = min(backoff, self.settings.silence_max)
            health.backoff_until = max(health.backoff_until, now + backoff)
            resend_delay = self.settings.reply_timeout * 2.0**pending.transmissions
            loan.pending = pending._replace(
                resend_at=now + resend_delay, transmissions=pending.transmissions + 1
            )
            out.append((loan.lender, pending.request))

    def request_missing(
        self,
        account: str,
        demand: AccountDemand,
        prefetch: int,
        now: float,
        out: list[tuple[LenderRef, TokenRequest]],
    ) -> None:
        """Request the missing tokens from the first available lender.

        Without waiting callers, tokens are requested once less than a third of the
        prefetched amount is left. If the lender has timed out before, the next one is
        asked as well.
        """
        held = sum(loan.held for loan in demand.loans)
        expected = sum(loan.requested_tokens() for loan in demand.loans)
        urgent = demand.waiting - held - expected
        if urgent <= 0 and (held + expected) * 3 >= prefetch:
            return
        wanted = max(urgent, demand.waiting + prefetch - held - expected)
        for loan in demand.loans:
            if loan.pending is not None or not loan.can_request(now):
                continue
            if urgent <= 0 and now < loan.next_prefetch_at:
                continue
            self.add_request(account, loan, max(0, urgent), wanted, loan.held, now, out)
            if not loan.health.timeouts:
                return

    def renew_or_return(
        self,
        account: str,
        loan: BorrowedLoan,
        prefetch: int,
        now: float,
        out: list[tuple[LenderRef, TokenRequest]],
    ) -> None:
        """Renew or return tokens that expire soon, and report spent ones."""
        remaining = loan.valid_until - now
        if loan.held and remaining < self.settings.loan_time * RENEW_BEFORE_END_SHARE:
            keep = min(loan.held, prefetch)
            wanted = prefetch - keep if loan.can_request(now) else 0
            self.add_request(account, loan, 0, wanted, keep, now, out)
        elif loan.spent and not loan.held and loan.report_promptly:
            self.add_request(account, loan, 0, 0, 0, now, out)

    def add_request(
        self,
        account: str,
        loan: BorrowedLoan,
        urgent: int,
        wanted: int,
        keep: int,
        now: float,
        out: list[tuple[LenderRef, TokenRequest]],
    ) -> None:
        """Append the next request of a loan, returning all but ``keep`` tokens."""
        loan.sequence += 1
        is_final = wanted == 0 and keep == 0
        request = TokenRequest(
            self.node,
            self.incarnation,
            loan.sequence,
            account,
            loan.lender.term,
            wanted,
            urgent,
            loan.spent,
            loan.held - keep,
            is_final,
        )
        loan.spent = 0
        loan.held = keep
        loan.next_prefetch_at = now + self.settings.ask_interval
        if not is_final:
            resend_at = now + self.settings.reply_timeout
            loan.pending = PendingRequest(request, now, resend_at, 1)
        out.append((loan.lender, request))

    def handle_grant(self, lender: str, grant: TokenGrant, now: float) -> None:
        """Handle a grant.

        Args:
            lender: Node id of the lender.
            grant: The grant; ignored unless it answers the pending request.
            now: Time in seconds.
        """
        demand = self.demands.get(grant.account)
        for loan in demand.loans if demand is not None else []:
            if loan.lender.node == lender and loan.lender.term == grant.term:
                if loan.pending and loan.pending.request.sequence == grant.sequence:
                    self.apply_grant(loan, loan.pending, grant, now)
                    self.clear_other_refusals(demand, loan, grant, now)

    def apply_grant(
        self, loan: BorrowedLoan, pending: PendingRequest, grant: TokenGrant, now: float
    ) -> None:
        """Update a loan from the grant for its pending request."""
        loan.pending = None
        loan.health.timeouts = 0
        loan.health.backoff_until = -math.inf
        if grant.status == GrantStatus.NOT_HOLDER:
            loan.held = 0
            loan.spent = 0
            loan.sequence += 1
            loan.refused_until = now + grant.retry_after
            return
        if grant.status == GrantStatus.EXHAUSTED:
            loan.refused_until = now + grant.retry_after
        if not grant.renewed or now >= loan.valid_until:
            loan.held = 0
            loan.spent = 0
        valid_for = min(grant.valid_for, self.settings.loan_time)
        loan.held += grant.tokens
        loan.valid_until = pending.sent_at + valid_for
        loan.report_promptly = grant.report_promptly
        loan.expire(now)

    def clear_other_refusals(
        self,
        demand: AccountDemand | None,
        loan: BorrowedLoan,
        grant: TokenGrant,
        now: float,
    ) -> None:
        """Clear the refusals of the other lenders when one has tokens to spare."""
        if (
            demand is None
            or grant.status != GrantStatus.GRANTED
            or grant.report_promptly
        ):
            return
        for other in demand.loans:
            if other is not loan:
                other.refused_until = min(other.refused_until, now)

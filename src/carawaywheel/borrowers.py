"""Borrower of tokens: charges client accounts at the node where a caller asks."""

import math
from typing import NamedTuple

from .loans import AccountDemand, BorrowedLoan, LenderHealth, LenderRef, PendingRequest
from .refusals import Reason, Refusal
from .settings import ShareSettings
from .shares import GrantStatus, TokenGrant, TokenRequest, hash_slot, stable_hash

STEP = "shares"
# Share of the loan time before the end of a loan at which it is renewed. Leaves time
# to repeat a lost request once.
RENEW_BEFORE_END_SHARE = 0.25


class Acquired(NamedTuple):
    """A request was charged.

    Attributes:
        domain: Failure domain whose part paid.
    """

    domain: str


class NeedsTokens(NamedTuple):
    """No token is held; a lender has to be asked first.

    The caller of ``Borrower.take`` sends ``Borrower.requests``, waits for a grant
    or a time-out and calls ``take`` again with ``waited``, or calls ``give_up``.

    Attributes:
        retry_at: Time in seconds at which to call ``take`` again at the latest.
    """

    retry_at: float


class Borrower:
    """Borrows tokens from the lenders and spends them on callers' requests.

    Attributes:
        settings: Settings of fleet-wide rates.
        node: Id of this node.
        incarnation: Incarnation of this node.
        domain: Failure domain of this node.
        refs: Lenders by slot.
        healths: Silence of lenders by node.
        demands: Demand by account.
        active: Accounts for which there may be something to send.
        floor: Highest sequence number of the lanes that were dropped. New lanes
            start above it, since a lender may remember the former numbers.
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

    def set_lenders(self, slot: int, refs: list[LenderRef]) -> None:
        """Set the lenders of a slot; loans from a replaced lender are dropped."""
        self.lenders[slot] = refs
        for account, demand in self.demands.items():
            if hash_slot(account, self.settings) == slot:
                former = {lane.ref: lane for lane in demand.loans}
                for ref, lane in former.items():
                    if ref not in refs:
                        self.sequence_floor = max(self.sequence_floor, lane.sequence)
                demand.loans = self.make_loans(account, refs, former)

    def remove_account(self, account: str) -> None:
        """Forget an account and its tokens; unknown ones are ignored."""
        demand = self.demands.pop(account, None)
        self.active.pop(account, None)
        for lane in demand.loans if demand is not None else []:
            self.sequence_floor = max(self.sequence_floor, lane.sequence)

    def make_loans(
        self, account: str, refs: list[LenderRef], former: dict[LenderRef, BorrowedLoan]
    ) -> list[BorrowedLoan]:
        """Return a lane for each lender, the own domain's first."""

        def order(ref: LenderRef) -> tuple[bool, int]:
            # Borrowers differ in the order in which they ask the other domains.
            return ref.domain != self.domain, stable_hash(
                account, self.node, ref.domain
            )

        lanes = []
        for ref in sorted(refs, key=order):
            health = self.lender_health.setdefault(ref.node, LenderHealth())
            lanes.append(
                former.get(ref) or BorrowedLoan(ref, health, self.sequence_floor + 1)
            )
        return lanes

    def activate_demand(self, account: str, now: float) -> AccountDemand:
        """Return the demand for an account and mark it as active."""
        demand = self.demands.get(account)
        if demand is None:
            refs = self.lenders.get(hash_slot(account, self.settings), [])
            demand = AccountDemand(self.make_loans(account, refs, {}), now)
            self.demands[account] = demand
        self.active[account] = demand
        return demand

    def acquire(
        self, account: str, now: float, waited: bool = False
    ) -> Acquired | NeedsTokens | Refusal:
        """Charge one request to an account.

        Args:
            account: Client account.
            now: Time in seconds.
            waited: Whether the same request was told ``NeedsTokens`` before.

        Returns:
            ``Taken``; ``NeedsTokens`` if a lender has to be asked first; or a
            refusal if every lender that can be reached has said no.
        """
        demand = self.activate_demand(account, now)
        if waited:
            demand.waiting = max(0, demand.waiting - 1)
        else:
            demand.record_call(now, self.settings.demand_window)
        best: BorrowedLoan | None = None
        for lane in demand.loans:
            if lane.has_usable_token(now):
                if best is None or lane.valid_until < best.valid_until:
                    best = lane
        if best is not None:
            best.held -= 1
            best.spent += 1
            return Acquired(best.ref.domain)
        if any(lane.can_request(now) for lane in demand.loans):
            demand.waiting += 1
            return NeedsTokens(now + self.settings.reply_timeout)
        return self.refuse(demand, now)

    def refuse(self, demand: AccountDemand, now: float) -> Refusal:
        """Return the refusal for an account for which no lender has tokens."""
        closed = [lane for lane in demand.loans if now < lane.refused_until]
        if closed:
            retry_after = min(lane.refused_until for lane in closed) - now
            return Refusal(Reason.RATE_EXCEEDED, retry_after=retry_after, step=STEP)
        retry_after = self.settings.ask_interval
        return Refusal(Reason.PEER_FAILED, retry_after=retry_after, step=STEP)

    def cancel_wait(self, account: str) -> None:
        """Take note that a caller that waited for a token has gone."""
        demand = self.demands.get(account)
        if demand is not None:
            demand.waiting = max(0, demand.waiting - 1)

    def refund(self, account: str, now: float) -> bool:
        """Take back the charge of a request that was refused as not run.

        A token whose spending was reported, or whose loan has expired, stays spent:
        the lender may have made another one in its place.

        Returns:
            Whether the token can be spent again.
        """
        demand = self.demands.get(account)
        if demand is None:
            return False
        for lane in demand.loans:
            if lane.spent and now < lane.valid_until:
                lane.spent -= 1
                lane.held += 1
                self.active[account] = demand
                return True
        return False

    def due_requests(
        self, now: float, account: str | None = None
    ) -> list[tuple[LenderRef, TokenRequest]]:
        """Return the requests to send now.

        To be called for the account after ``take`` returned ``NeedsTokens`` and
        after ``receive``, and for all accounts at least every 50 ms.

        Args:
            now: Time in seconds.
            account: The only account to look at, or None for all.
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
        """Append the requests for one account."""
        for lane in demand.loans:
            lane.expire(now)
            if lane.pending is not None:
                self.retransmit(lane, now, out)
        goal = self.prefetch_tokens(demand, now)
        self.request_missing(account, demand, goal, now, out)
        for lane in demand.loans:
            if lane.pending is None:
                self.renew_or_return(account, lane, goal, now, out)

    def prefetch_tokens(self, demand: AccountDemand, now: float) -> int:
        """Return the tokens to hold ahead of demand."""
        rate = demand.rate(now, self.settings.demand_window)
        if rate < self.settings.ahead_floor:
            return 0
        return math.ceil(rate * self.settings.ahead_time)

    def retransmit(
        self, lane: BorrowedLoan, now: float, out: list[tuple[LenderRef, TokenRequest]]
    ) -> None:
        """Repeat an unanswered request, or give it up when its loan is over."""
        pending = lane.pending
        if pending is None:
            return
        if now >= pending.sent_at + self.settings.loan_time:
            lane.pending = None
            lane.held = 0
            lane.spent = 0
            lane.sequence += 1
        elif now >= pending.resend_at:
            health = lane.health
            health.failures += 1
            pause = self.settings.reply_timeout * 2.0 ** min(health.failures, 10)
            pause = min(pause, self.settings.silence_max)
            health.backoff_until = max(health.backoff_until, now + pause)
            wait = self.settings.reply_timeout * 2.0**pending.tries
            lane.pending = pending._replace(
                resend_at=now + wait, tries=pending.tries + 1
            )
            out.append((lane.ref, pending.request))

    def request_missing(
        self,
        account: str,
        demand: AccountDemand,
        goal: int,
        now: float,
        out: list[tuple[LenderRef, TokenRequest]],
    ) -> None:
        """Ask the first lender that may have tokens for what is missing."""
        held = sum(lane.held for lane in demand.loans)
        expected = sum(lane.requested_tokens() for lane in demand.loans)
        urgent = demand.waiting - held - expected
        if urgent <= 0 and (held + expected) * 3 >= goal:
            return
        wanted = max(urgent, demand.waiting + goal - held - expected)
        for lane in demand.loans:
            if lane.pending is not None or not lane.can_request(now):
                continue
            if urgent <= 0 and now < lane.next_prefetch_at:
                continue
            self.add_request(account, lane, max(0, urgent), wanted, lane.held, now, out)
            if not lane.health.failures:
                return

    def renew_or_return(
        self,
        account: str,
        lane: BorrowedLoan,
        goal: int,
        now: float,
        out: list[tuple[LenderRef, TokenRequest]],
    ) -> None:
        """Renew or return tokens before they expire and report spent ones."""
        left = lane.valid_until - now
        if lane.held and left < self.settings.loan_time * RENEW_BEFORE_END_SHARE:
            keep = min(lane.held, goal)
            wanted = goal - keep if lane.can_request(now) else 0
            self.add_request(account, lane, 0, wanted, keep, now, out)
        elif lane.spent and not lane.held and lane.report_promptly:
            self.add_request(account, lane, 0, 0, 0, now, out)

    def add_request(
        self,
        account: str,
        lane: BorrowedLoan,
        urgent: int,
        wanted: int,
        keep: int,
        now: float,
        out: list[tuple[LenderRef, TokenRequest]],
    ) -> None:
        """Build the next request of a lane and give back all but ``keep`` tokens."""
        lane.sequence += 1
        settles = wanted == 0 and keep == 0
        request = TokenRequest(
            self.node,
            self.incarnation,
            lane.sequence,
            account,
            lane.ref.term,
            wanted,
            urgent,
            lane.spent,
            lane.held - keep,
            settles,
        )
        lane.spent = 0
        lane.held = keep
        lane.next_prefetch_at = now + self.settings.ask_interval
        if not settles:
            resend_at = now + self.settings.reply_timeout
            lane.pending = PendingRequest(request, now, resend_at, 1)
        out.append((lane.ref, request))

    def handle_grant(self, lender: str, grant: TokenGrant, now: float) -> None:
        """Take in a lender's answer.

        Args:
            lender: Node id of the lender.
            grant: Its answer; one to a former request is ignored.
            now: Time in seconds.
        """
        demand = self.demands.get(grant.account)
        for lane in demand.loans if demand is not None else []:
            if lane.ref.node == lender and lane.ref.term == grant.term:
                if lane.pending and lane.pending.request.sequence == grant.sequence:
                    self.apply_grant(lane, lane.pending, grant, now)
                    self.retry_other_lenders(demand, lane, grant, now)

    def apply_grant(
        self, lane: BorrowedLoan, pending: PendingRequest, grant: TokenGrant, now: float
    ) -> None:
        """Add granted tokens to a lane."""
        lane.pending = None
        lane.health.failures = 0
        lane.health.backoff_until = -math.inf
        if grant.status == GrantStatus.NOT_HOLDER:
            lane.held = 0
            lane.spent = 0
            lane.sequence += 1
            lane.refused_until = now + grant.retry_after
            return
        if grant.status == GrantStatus.EXHAUSTED:
            lane.refused_until = now + grant.retry_after
        if not grant.renewed or now >= lane.valid_until:
            lane.held = 0
            lane.spent = 0
        valid_for = min(grant.valid_for, self.settings.loan_time)
        lane.held += grant.tokens
        lane.valid_until = pending.sent_at + valid_for
        lane.report_promptly = grant.report_promptly
        lane.expire(now)

    def retry_other_lenders(
        self,
        demand: AccountDemand | None,
        lane: BorrowedLoan,
        grant: TokenGrant,
        now: float,
    ) -> None:
        """Ask the other lenders again once one of them has tokens to spare."""
        if (
            demand is None
            or grant.status != GrantStatus.GRANTED
            or grant.report_promptly
        ):
            return
        for other in demand.loans:
            if other is not lane:
                other.refused_until = min(other.refused_until, now)

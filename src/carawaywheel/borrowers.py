"""Borrower of tokens: charges client accounts at the node where a caller asks."""

import math
from typing import NamedTuple

from .lanes import Demand, Health, Lane, LenderRef, Pending
from .refusals import Reason, Refusal
from .settings import ShareSettings
from .shares import GrantStatus, ShareGrant, ShareRequest, digest, slot_of

STEP = "shares"
# Share of the loan time before the end of a loan at which it is renewed. Leaves time
# to repeat a lost request once.
RENEW_SHARE = 0.25


class Taken(NamedTuple):
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
        self.refs: dict[int, list[LenderRef]] = {}
        self.healths: dict[str, Health] = {}
        self.demands: dict[str, Demand] = {}
        self.active: dict[str, Demand] = {}
        self.floor = 0

    def set_lenders(self, slot: int, refs: list[LenderRef]) -> None:
        """Set the lenders of a slot; loans from a replaced lender are dropped."""
        self.refs[slot] = refs
        for account, demand in self.demands.items():
            if slot_of(account, self.settings) == slot:
                former = {lane.ref: lane for lane in demand.lanes}
                for ref, lane in former.items():
                    if ref not in refs:
                        self.floor = max(self.floor, lane.sequence)
                demand.lanes = self.make_lanes(account, refs, former)

    def remove_account(self, account: str) -> None:
        """Forget an account and its tokens; unknown ones are ignored."""
        demand = self.demands.pop(account, None)
        self.active.pop(account, None)
        for lane in demand.lanes if demand is not None else []:
            self.floor = max(self.floor, lane.sequence)

    def make_lanes(
        self, account: str, refs: list[LenderRef], former: dict[LenderRef, Lane]
    ) -> list[Lane]:
        """Return a lane for each lender, the own domain's first."""

        def order(ref: LenderRef) -> tuple[bool, int]:
            # Borrowers differ in the order in which they ask the other domains.
            return ref.domain != self.domain, digest(account, self.node, ref.domain)

        lanes = []
        for ref in sorted(refs, key=order):
            health = self.healths.setdefault(ref.node, Health())
            lanes.append(former.get(ref) or Lane(ref, health, self.floor + 1))
        return lanes

    def demand_of(self, account: str, now: float) -> Demand:
        """Return the demand for an account and mark it as active."""
        demand = self.demands.get(account)
        if demand is None:
            refs = self.refs.get(slot_of(account, self.settings), [])
            demand = Demand(self.make_lanes(account, refs, {}), now)
            self.demands[account] = demand
        self.active[account] = demand
        return demand

    def take(
        self, account: str, now: float, waited: bool = False
    ) -> Taken | NeedsTokens | Refusal:
        """Charge one request to an account.

        Args:
            account: Client account.
            now: Time in seconds.
            waited: Whether the same request was told ``NeedsTokens`` before.

        Returns:
            ``Taken``; ``NeedsTokens`` if a lender has to be asked first; or a
            refusal if every lender that can be reached has said no.
        """
        demand = self.demand_of(account, now)
        if waited:
            demand.waiting = max(0, demand.waiting - 1)
        else:
            demand.note(now, self.settings.demand_window)
        best: Lane | None = None
        for lane in demand.lanes:
            if lane.usable(now):
                if best is None or lane.valid_until < best.valid_until:
                    best = lane
        if best is not None:
            best.held -= 1
            best.spent += 1
            return Taken(best.ref.domain)
        if any(lane.open(now) for lane in demand.lanes):
            demand.waiting += 1
            return NeedsTokens(now + self.settings.reply_timeout)
        return self.refuse(demand, now)

    def refuse(self, demand: Demand, now: float) -> Refusal:
        """Return the refusal for an account for which no lender has tokens."""
        closed = [lane for lane in demand.lanes if now < lane.closed_until]
        if closed:
            retry_after = min(lane.closed_until for lane in closed) - now
            return Refusal(Reason.RATE_EXCEEDED, retry_after=retry_after, step=STEP)
        retry_after = self.settings.ask_interval
        return Refusal(Reason.PEER_FAILED, retry_after=retry_after, step=STEP)

    def give_up(self, account: str) -> None:
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
        for lane in demand.lanes:
            if lane.spent and now < lane.valid_until:
                lane.spent -= 1
                lane.held += 1
                self.active[account] = demand
                return True
        return False

    def requests(
        self, now: float, account: str | None = None
    ) -> list[tuple[LenderRef, ShareRequest]]:
        """Return the requests to send now.

        To be called for the account after ``take`` returned ``NeedsTokens`` and
        after ``receive``, and for all accounts at least every 50 ms.

        Args:
            now: Time in seconds.
            account: The only account to look at, or None for all.
        """
        out: list[tuple[LenderRef, ShareRequest]] = []
        if account is not None:
            demand = self.active.get(account)
            if demand is not None:
                self.plan(account, demand, now, out)
            return out
        for name, demand in list(self.active.items()):
            self.plan(name, demand, now, out)
            if demand.idle() and self.goal(demand, now) == 0:
                del self.active[name]
        return out

    def plan(
        self,
        account: str,
        demand: Demand,
        now: float,
        out: list[tuple[LenderRef, ShareRequest]],
    ) -> None:
        """Append the requests for one account."""
        for lane in demand.lanes:
            lane.expire(now)
            if lane.pending is not None:
                self.repeat(lane, now, out)
        goal = self.goal(demand, now)
        self.ask(account, demand, goal, now, out)
        for lane in demand.lanes:
            if lane.pending is None:
                self.tidy(account, lane, goal, now, out)

    def goal(self, demand: Demand, now: float) -> int:
        """Return the tokens to hold ahead of demand."""
        rate = demand.rate(now, self.settings.demand_window)
        if rate < self.settings.ahead_floor:
            return 0
        return math.ceil(rate * self.settings.ahead_time)

    def repeat(
        self, lane: Lane, now: float, out: list[tuple[LenderRef, ShareRequest]]
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
            health.silent_until = max(health.silent_until, now + pause)
            wait = self.settings.reply_timeout * 2.0**pending.tries
            lane.pending = pending._replace(
                resend_at=now + wait, tries=pending.tries + 1
            )
            out.append((lane.ref, pending.request))

    def ask(
        self,
        account: str,
        demand: Demand,
        goal: int,
        now: float,
        out: list[tuple[LenderRef, ShareRequest]],
    ) -> None:
        """Ask the first lender that may have tokens for what is missing."""
        held = sum(lane.held for lane in demand.lanes)
        expected = sum(lane.expected() for lane in demand.lanes)
        urgent = demand.waiting - held - expected
        if urgent <= 0 and (held + expected) * 3 >= goal:
            return
        wanted = max(urgent, demand.waiting + goal - held - expected)
        for lane in demand.lanes:
            if lane.pending is not None or not lane.open(now):
                continue
            if urgent <= 0 and now < lane.ask_at:
                continue
            self.send(account, lane, max(0, urgent), wanted, lane.held, now, out)
            if not lane.health.failures:
                return

    def tidy(
        self,
        account: str,
        lane: Lane,
        goal: int,
        now: float,
        out: list[tuple[LenderRef, ShareRequest]],
    ) -> None:
        """Renew or return tokens before they expire and report spent ones."""
        left = lane.valid_until - now
        if lane.held and left < self.settings.loan_time * RENEW_SHARE:
            keep = min(lane.held, goal)
            wanted = goal - keep if lane.open(now) else 0
            self.send(account, lane, 0, wanted, keep, now, out)
        elif lane.spent and not lane.held and lane.prompt:
            self.send(account, lane, 0, 0, 0, now, out)

    def send(
        self,
        account: str,
        lane: Lane,
        urgent: int,
        wanted: int,
        keep: int,
        now: float,
        out: list[tuple[LenderRef, ShareRequest]],
    ) -> None:
        """Build the next request of a lane and give back all but ``keep`` tokens."""
        lane.sequence += 1
        settles = wanted == 0 and keep == 0
        request = ShareRequest(
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
        lane.ask_at = now + self.settings.ask_interval
        if not settles:
            resend_at = now + self.settings.reply_timeout
            lane.pending = Pending(request, now, resend_at, 1)
        out.append((lane.ref, request))

    def receive(self, lender: str, grant: ShareGrant, now: float) -> None:
        """Take in a lender's answer.

        Args:
            lender: Node id of the lender.
            grant: Its answer; one to a former request is ignored.
            now: Time in seconds.
        """
        demand = self.demands.get(grant.account)
        for lane in demand.lanes if demand is not None else []:
            if lane.ref.node == lender and lane.ref.term == grant.term:
                if lane.pending and lane.pending.request.sequence == grant.sequence:
                    self.accept(lane, lane.pending, grant, now)
                    self.reopen(demand, lane, grant, now)

    def accept(
        self, lane: Lane, pending: Pending, grant: ShareGrant, now: float
    ) -> None:
        """Add granted tokens to a lane."""
        lane.pending = None
        lane.health.failures = 0
        lane.health.silent_until = -math.inf
        if grant.status == GrantStatus.NOT_HOLDER:
            lane.held = 0
            lane.spent = 0
            lane.sequence += 1
            lane.closed_until = now + grant.retry_after
            return
        if grant.status == GrantStatus.EXHAUSTED:
            lane.closed_until = now + grant.retry_after
        if not grant.renewed or now >= lane.valid_until:
            lane.held = 0
            lane.spent = 0
        valid_for = min(grant.valid_for, self.settings.loan_time)
        lane.held += grant.tokens
        lane.valid_until = pending.sent_at + valid_for
        lane.prompt = grant.prompt
        lane.expire(now)

    def reopen(
        self, demand: Demand | None, lane: Lane, grant: ShareGrant, now: float
    ) -> None:
        """Ask the other lenders again once one of them has tokens to spare."""
        if demand is None or grant.status != GrantStatus.GRANTED or grant.prompt:
            return
        for other in demand.lanes:
            if other is not lane:
                other.closed_until = min(other.closed_until, now)

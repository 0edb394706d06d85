"""Lender of tokens: the owner of the parts of the accounts in its slots."""

import heapq
import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from .buckets import TOLERANCE_TOKENS, TokenBucket
from .settings import ShareSettings
from .shares import (
    CLOCK_DRIFT_MARGIN,
    DomainLimit,
    GrantStatus,
    TokenGrant,
    TokenRequest,
    domain_limit,
    hash_slot,
)

BorrowerKey = tuple[str, int]


class GrantedLoan:
    """Tokens that one borrower may hold.

    Attributes:
        sequence: Last request of the borrower.
        grant: Answer to that request.
        outstanding: Tokens lent and not reported as spent or returned.
        expires_at: Time in seconds from which on the borrower can spend none.
    """

    def __init__(self, sequence: int, expires_at: float) -> None:
        self.sequence = sequence
        self.grant: TokenGrant | None = None
        self.outstanding = 0
        self.expires_at = expires_at


class HeldSlot(NamedTuple):
    """A slot that this node holds.

    Attributes:
        term: Term of the claim.
        ready_at: Time in seconds from which on tokens are lent.
        lease_until: Time in seconds at which the lease lapses.
    """

    term: int
    ready_at: float
    lease_until: float


class LenderAccount:
    """Part of one account: a bucket and the loans made from it.

    The tokens in the bucket and in loans together never exceed the part's burst:
    the bucket's own burst is what the outstanding loans leave of it.

    Attributes:
        slot: Slot of the account.
        part: Rate by the lender's clock and burst of the part.
        bucket: Tokens that are not lent.
        loans: Loans by borrower and incarnation.
        outstanding: Sum of all loans, abandoned ones included.
        expiries: Heap of times and borrowers; a time may be out of date.
        abandoned: Heap of times and tokens of loans that were not continued.
        pause: Seconds for which borrowers that are turned down stay away.
        refusals: Requests turned down since the pause was set.
        counted_at: Time in seconds at which the pause was set.
    """

    def __init__(self, slot: int, part: DomainLimit, start: float) -> None:
        self.slot = slot
        self.limit = part
        self.bucket = TokenBucket(part.rate, part.burst, start, level=0.0)
        self.loans: dict[BorrowerKey, GrantedLoan] = {}
        self.outstanding = 0
        self.expiries: list[tuple[float, BorrowerKey]] = []
        self.abandoned: list[tuple[float, int]] = []
        self.retry_delay = 0.01
        self.refusal_count = 0
        self.retry_delay_set_at = start

    def resize(self, now: float) -> None:
        """Fit the bucket to what the outstanding loans leave of the burst."""
        room = max(0.0, self.limit.burst - self.outstanding)
        self.bucket.reconfigure(self.limit.rate, room, now)

    def expire(self, now: float) -> None:
        """Write off loans that have expired; their tokens are not refunded."""
        before = self.outstanding
        while self.abandoned and self.abandoned[0][0] <= now:
            self.outstanding -= heapq.heappop(self.abandoned)[1]
        while self.expiries and self.expiries[0][0] <= now:
            key = heapq.heappop(self.expiries)[1]
            loan = self.loans[key]
            if loan.expires_at > now:
                heapq.heappush(self.expiries, (loan.expires_at, key))
            else:
                self.outstanding -= loan.outstanding
                del self.loans[key]
        if self.outstanding != before:
            self.resize(now)

    def open_loan(
        self, key: BorrowerKey, sequence: int, expires_at: float
    ) -> GrantedLoan:
        """Start a loan; tokens of a former one stay lent until they expire."""
        former = self.loans.get(key)
        loan = GrantedLoan(sequence, expires_at)
        if former is None:
            heapq.heappush(self.expiries, (expires_at, key))
        elif former.outstanding:
            entry = (former.expires_at, former.outstanding)
            heapq.heappush(self.abandoned, entry)
        self.loans[key] = loan
        return loan

    def settle(self, loan: GrantedLoan, spent: int, returned: int, now: float) -> None:
        """Take note of tokens of a loan that were spent or returned."""
        spent = max(0, min(spent, loan.outstanding))
        returned = max(0, min(returned, loan.outstanding - spent))
        loan.outstanding -= spent + returned
        self.outstanding -= spent + returned
        self.resize(now)
        if returned:
            self.bucket.refund(returned, now)

    def lend(self, loan: GrantedLoan, tokens: int, now: float) -> None:
        """Move tokens from the bucket to a loan."""
        self.bucket.take(tokens, now)
        loan.outstanding += tokens
        self.outstanding += tokens
        self.resize(now)


class Lender:
    """Lends the tokens of the accounts in the slots that this node holds.

    Attributes:
        settings: Settings of fleet-wide rates.
        domain: Failure domain of this node.
        domains: All failure domains; each account is divided among them.
        rng: Source of the spread of pauses.
        slots: Slots that this node holds.
        accounts: Parts by account, whether this node holds the slot or not.
        paused: Whether the process was frozen and has not read the log since.
    """

    def __init__(
        self,
        settings: ShareSettings,
        domain: str,
        domains: Sequence[str],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.domain = domain
        self.domains = tuple(domains)
        self.rng = rng
        self.slots: dict[int, HeldSlot] = {}
        self.accounts: dict[str, LenderAccount] = {}
        self.paused = False
        self.paused_at = 0.0

    def set_account(self, account: str, rate: float, burst: float, now: float) -> None:
        """Add an account or change its rate and burst.

        An account that is added starts with a bucket that is empty for one loan
        time, since this node may have had it before and lent its tokens.

        Args:
            account: Client account.
            rate: Tokens each second over the fleet.
            burst: Burst over the fleet, in tokens.
            now: Time in seconds.
        """
        whole = domain_limit(account, rate, burst, self.domain, self.domains)
        # The bucket fills by a clock that may run fast.
        part = DomainLimit(whole.rate / (1 + self.settings.drift), whole.burst)
        entry = self.accounts.get(account)
        if entry is None:
            slot = hash_slot(account, self.settings)
            start = now + self.settings.loan_time * CLOCK_DRIFT_MARGIN
            if slot in self.slots:
                start = max(start, self.slots[slot].ready_at)
            self.accounts[account] = LenderAccount(slot, part, start)
            return
        entry.expire(now)
        entry.limit = part
        entry.resize(now)

    def remove_account(self, account: str) -> None:
        """Forget an account; unknown ones are ignored."""
        self.accounts.pop(account, None)

    def acquire_slot(
        self,
        slot: int,
        now: float,
        ready_at: float,
        term: int = 1,
        lease_until: float | None = None,
    ) -> None:
        """Start to hold a slot, with empty buckets.

        Args:
            slot: Slot.
            now: Time in seconds.
            ready_at: Time in seconds from which on tokens may be lent. Loans of the
                former holder have expired by then.
            term: Term of the claim.
            lease_until: Time in seconds at which the lease lapses; one lease time
                after ``now`` by default.
        """
        if lease_until is None:
            lease_until = now + self.settings.lease_time
        self.slots[slot] = HeldSlot(term, ready_at, lease_until)
        for account, entry in self.accounts.items():
            if entry.slot == slot:
                self.accounts[account] = LenderAccount(slot, entry.limit, ready_at)

    def extend_lease(self, slot: int, lease_until: float) -> None:
        """Set the time in seconds at which a held slot's lease lapses."""
        held = self.slots.get(slot)
        if held is not None:
            self.slots[slot] = held._replace(lease_until=lease_until)

    def release_slot(self, slot: int) -> None:
        """Stop to hold a slot; must precede the release record in the log."""
        self.slots.pop(slot, None)

    def pause(self, now: float = 0.0) -> None:
        """Lend nothing until ``resume``, after a gap in the process's run.

        The slots may have been given to another node during the gap.

        Args:
            now: Time in seconds at which the gap was noticed.
        """
        self.paused = True
        self.paused_at = now

    def resume(self, asked_at: float = math.inf) -> None:
        """Lend again if the log has been read up to a position of after the gap.

        Args:
            asked_at: Time in seconds at which the log was asked for its end.
        """
        if asked_at >= self.paused_at:
            self.paused = False

    def may_lend(self, slot: int, term: int, now: float) -> bool:
        """Tell whether tokens of a slot may be lent at ``now``."""
        held = self.slots.get(slot)
        if held is None or self.paused or held.term != term:
            return False
        return held.ready_at <= now < held.lease_until

    def handle_request(self, request: TokenRequest, now: float) -> TokenGrant | None:
        """Answer one request.

        ``now`` must be read after the request was received. A process that is
        frozen between the two would otherwise lend after its lease has lapsed.

        Returns:
            The answer, or None if the borrower expects none.
        """
        entry = self.accounts.get(request.account)
        if entry is None or not self.may_lend(entry.slot, request.term, now):
            return self.build_refusal(request)
        entry.expire(now)
        key = (request.borrower, request.incarnation)
        loan = entry.loans.get(key)
        if loan is not None and request.sequence <= loan.sequence:
            return loan.grant if request.sequence == loan.sequence else None
        expires_at = now + self.settings.loan_time * CLOCK_DRIFT_MARGIN
        renewed = loan is not None and request.sequence == loan.sequence + 1
        if loan is None or not renewed:
            loan = entry.open_loan(key, request.sequence, expires_at)
        else:
            entry.settle(loan, request.spent, request.returned, now)
            loan.sequence = request.sequence
            loan.expires_at = expires_at
        loan.grant = None
        if not request.is_final:
            loan.grant = self.build_grant(entry, loan, request, renewed, now)
        return loan.grant

    def build_grant(
        self,
        entry: LenderAccount,
        loan: GrantedLoan,
        request: TokenRequest,
        renewed: bool,
        now: float,
    ) -> TokenGrant:
        """Lend tokens for a request and describe the loan."""
        urgent = max(0, request.urgent)
        level = int(entry.bucket.available(now) + TOLERANCE_TOKENS)
        tokens = min(urgent, level)
        # Only a share of what is left is lent ahead of demand, so that the last
        # tokens of a small burst go to the nodes where callers wait.
        ahead = int((level - tokens) * self.settings.ahead_share)
        tokens += max(0, min(request.wanted - urgent, ahead))
        if tokens:
            entry.lend(loan, tokens, now)
        status = GrantStatus.GRANTED
        retry_after = 0.0
        if tokens < urgent:
            status = GrantStatus.EXHAUSTED
            retry_after = self.retry_delay_for(entry, now)
        prompt = self.needs_prompt_reports(entry)
        return TokenGrant(
            request.sequence,
            request.account,
            request.term,
            tokens,
            self.settings.loan_time,
            renewed,
            prompt,
            status,
            retry_after,
        )

    def needs_prompt_reports(self, entry: LenderAccount) -> bool:
        """Tell whether loans that are spent but not reported hold up the bucket."""
        part = entry.limit
        if part.burst < part.rate * self.settings.loan_time * CLOCK_DRIFT_MARGIN:
            return True
        return entry.bucket.level < part.burst * self.settings.prompt_share

    def retry_delay_for(self, entry: LenderAccount, now: float) -> float:
        """Return the seconds after which a borrower that was turned down may ask.

        This is the time until the next token while few borrowers ask. The pause
        grows with the refusals each second, so that an account over its rate does
        not make every node ask this lender all the time.
        """
        longest = self.settings.pause_max
        if entry.limit.rate <= 0:
            return longest
        entry.refusal_count += 1
        elapsed = now - entry.retry_delay_set_at
        if elapsed >= self.settings.pause_window:
            load = entry.refusal_count / elapsed / self.settings.refusals_per_second
            pause = entry.retry_delay * min(2.0, max(0.5, load))
            entry.retry_delay = min(longest, max(self.settings.pause_min, pause))
            entry.refusal_count = 0
            entry.retry_delay_set_at = now
        missing = max(0.0, 1 - entry.bucket.level) / entry.limit.rate
        # Pauses differ, so that the borrowers do not come back at the same time.
        return max(missing, entry.retry_delay * self.rng.uniform(0.5, 1.5))

    def build_refusal(self, request: TokenRequest) -> TokenGrant | None:
        """Answer for a slot that this node may not lend from."""
        if request.is_final:
            return None
        return TokenGrant(
            request.sequence,
            request.account,
            request.term,
            0,
            0.0,
            False,
            False,
            GrantStatus.NOT_HOLDER,
            self.settings.ask_interval,
        )

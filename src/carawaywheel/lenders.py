"""Lender side of fleet-wide rate limits.

A lender owns the token buckets of the accounts in the slots that it holds, for its
failure domain, and lends the tokens to borrowers on all nodes.
"""

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
    """Tokens of one account lent to one borrower.

    Attributes:
        sequence: Sequence number of the borrower's last request.
        grant: Grant for that request, sent again for a retransmission.
        outstanding: Tokens lent and not yet reported as spent or returned.
        expires_at: Time in seconds from which the borrower can no longer spend them.
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
        ready_at: Time in seconds from which tokens may be lent.
        lease_until: Time in seconds at which the lease expires.
    """

    term: int
    ready_at: float
    lease_until: float


class LenderAccount:
    """Token bucket of one account and the loans made from it.

    Tokens in the bucket and in loans together never exceed the burst of the limit:
    the capacity of the bucket is the burst less the outstanding loans.

    Attributes:
        slot: Slot of the account.
        limit: Limit of this failure domain, its rate reduced for clock drift.
        bucket: Tokens that are not lent.
        loans: Loans by borrower and incarnation.
        outstanding: Tokens in all loans, abandoned ones included.
        expiries: Heap of expiry times and borrowers; a time may be out of date.
        abandoned: Heap of expiry times and tokens of loans that their borrower did
            not continue.
        retry_delay: Average delay in seconds before refused borrowers ask again.
        refusal_count: Requests refused since the retry delay was set.
        retry_delay_set_at: Time in seconds at which the retry delay was set.
    """

    def __init__(self, slot: int, limit: DomainLimit, start: float) -> None:
        self.slot = slot
        self.limit = limit
        self.bucket = TokenBucket(limit.rate, limit.burst, start, level=0.0)
        self.loans: dict[BorrowerKey, GrantedLoan] = {}
        self.outstanding = 0
        self.expiries: list[tuple[float, BorrowerKey]] = []
        self.abandoned: list[tuple[float, int]] = []
        self.retry_delay = 0.01
        self.refusal_count = 0
        self.retry_delay_set_at = start

    def resize(self, now: float) -> None:
        """Set the capacity of the bucket to the burst less the outstanding loans."""
        capacity = max(0.0, self.limit.burst - self.outstanding)
        self.bucket.reconfigure(self.limit.rate, capacity, now)

    def expire(self, now: float) -> None:
        """Write off expired loans; their tokens are not refunded."""
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
        """Start a loan; tokens of an earlier one stay outstanding until they expire."""
        previous = self.loans.get(key)
        loan = GrantedLoan(sequence, expires_at)
        if previous is None:
            heapq.heappush(self.expiries, (expires_at, key))
        elif previous.outstanding:
            remainder = (previous.expires_at, previous.outstanding)
            heapq.heappush(self.abandoned, remainder)
        self.loans[key] = loan
        return loan

    def settle(self, loan: GrantedLoan, spent: int, returned: int, now: float) -> None:
        """Deduct the spent and returned tokens that a borrower reported."""
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
    """Lends tokens of the accounts in the slots that this node holds.

    Attributes:
        settings: Settings of fleet-wide rate limits.
        domain: Failure domain of this node.
        domains: All failure domains; the limit of each account is split among them.
        rng: Source of the jitter of retry delays.
        slots: Slots that this node holds.
        accounts: All accounts, whether this node holds their slots or not.
        paused: Whether the process was suspended and has not read the log since.
        paused_at: Time in seconds at which the suspension was noticed.
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

        The bucket of a new account stays empty for one loan time, since this node may
        have lent its tokens before the account was removed.

        Args:
            account: Client account.
            rate: Tokens per second over the fleet.
            burst: Burst over the fleet, in tokens.
            now: Time in seconds.
        """
        nominal = domain_limit(account, rate, burst, self.domain, self.domains)
        # Compensates for a clock of this host that runs fast.
        limit = DomainLimit(nominal.rate / (1 + self.settings.drift), nominal.burst)
        entry = self.accounts.get(account)
        if entry is None:
            slot = hash_slot(account, self.settings)
            start = now + self.settings.loan_time * CLOCK_DRIFT_MARGIN
            if slot in self.slots:
                start = max(start, self.slots[slot].ready_at)
            self.accounts[account] = LenderAccount(slot, limit, start)
            return
        entry.expire(now)
        entry.limit = limit
        entry.resize(now)

    def remove_account(self, account: str) -> None:
        """Remove an account; unknown accounts are ignored."""
        self.accounts.pop(account, None)

    def acquire_slot(
        self,
        slot: int,
        now: float,
        ready_at: float,
        term: int = 1,
        lease_until: float | None = None,
    ) -> None:
        """Start holding a slot, with empty buckets.

        Args:
            slot: Slot.
            now: Time in seconds.
            ready_at: Time in seconds from which tokens may be lent. Loans of the
                previous holder have expired by then.
            term: Term of the claim.
            lease_until: Time in seconds at which the lease expires; one lease time
                after ``now`` by default.
        """
        if lease_until is None:
            lease_until = now + self.settings.lease_time
        self.slots[slot] = HeldSlot(term, ready_at, lease_until)
        for name, account in self.accounts.items():
            if account.slot == slot:
                self.accounts[name] = LenderAccount(slot, account.limit, ready_at)

    def extend_lease(self, slot: int, lease_until: float) -> None:
        """Set the time in seconds at which the lease of a held slot expires."""
        held = self.slots.get(slot)
        if held is not None:
            self.slots[slot] = held._replace(lease_until=lease_until)

    def release_slot(self, slot: int) -> None:
        """Stop holding a slot; must be called before the release is appended."""
        self.slots.pop(slot, None)

    def pause(self, now: float = 0.0) -> None:
        """Stop lending until ``resume``, after the process was suspended.

        Another node may have taken over the slots in the meantime.

        Args:
            now: Time in seconds at which the suspension was noticed.
        """
        self.paused = True
        self.paused_at = now

    def resume(self, asked_at: float = math.inf) -> None:
        """Lend again if the log was read to an end looked up after the suspension.

        Args:
            asked_at: Time in seconds at which the end of the log was requested.
        """
        if asked_at >= self.paused_at:
            self.paused = False

    def may_lend(self, slot: int, term: int, now: float) -> bool:
        """Return whether tokens of a slot may be lent at ``now``, under a term."""
        held = self.slots.get(slot)
        if held is None or self.paused or held.term != term:
            return False
        return held.ready_at <= now < held.lease_until

    def handle_request(self, request: TokenRequest, now: float) -> TokenGrant | None:
        """Handle one request of a borrower.

        ``now`` must be read after the request was received. Otherwise a process that
        is suspended in between would lend after its lease has expired.

        Returns:
            The grant, or None if the borrower expects none or the request is older
            than the last one.
        """
        account = self.accounts.get(request.account)
        if account is None or not self.may_lend(account.slot, request.term, now):
            return self.build_refusal(request)
        account.expire(now)
        key = (request.borrower, request.incarnation)
        loan = account.loans.get(key)
        if loan is not None and request.sequence <= loan.sequence:
            return loan.grant if request.sequence == loan.sequence else None
        expires_at = now + self.settings.loan_time * CLOCK_DRIFT_MARGIN
        renewed = loan is not None and request.sequence == loan.sequence + 1
        if loan is None or not renewed:
            loan = account.open_loan(key, request.sequence, expires_at)
        else:
            account.settle(loan, request.spent, request.returned, now)
            loan.sequence = request.sequence
            loan.expires_at = expires_at
        loan.grant = None
        if not request.is_final:
            loan.grant = self.build_grant(account, loan, request, renewed, now)
        return loan.grant

    def build_grant(
        self,
        account: LenderAccount,
        loan: GrantedLoan,
        request: TokenRequest,
        renewed: bool,
        now: float,
    ) -> TokenGrant:
        """Lend tokens for a request and build the grant."""
        urgent = max(0, request.urgent)
        level = int(account.bucket.available(now) + TOLERANCE_TOKENS)
        tokens = min(urgent, level)
        # Only a share of the remaining tokens is lent ahead of demand, so that the last
        # tokens of a small burst go to nodes where callers wait.
        prefetched = int((level - tokens) * self.settings.ahead_share)
        tokens += max(0, min(request.wanted - urgent, prefetched))
        if tokens:
            account.lend(loan, tokens, now)
        status = GrantStatus.GRANTED
        retry_after = 0.0
        if tokens < urgent:
            status = GrantStatus.EXHAUSTED
            retry_after = self.retry_delay_for(account, now)
        report_promptly = self.needs_prompt_reports(account)
        return TokenGrant(
            request.sequence,
            request.account,
            request.term,
            tokens,
            self.settings.loan_time,
            renewed,
            report_promptly,
            status,
            retry_after,
        )

    def needs_prompt_reports(self, account: LenderAccount) -> bool:
        """Return whether unreported spending keeps the bucket from refilling."""
        limit = account.limit
        if limit.burst < limit.rate * self.settings.loan_time * CLOCK_DRIFT_MARGIN:
            return True
        return account.bucket.level < limit.burst * self.settings.prompt_share

    def retry_delay_for(self, account: LenderAccount, now: float) -> float:
        """Return the seconds that a refused borrower must wait before it asks again.

        With few refusals, this is the time until the next token. The delay grows with
        the rate of refusals, so that an account over its limit does not draw constant
        requests from every node.
        """
        max_delay = self.settings.pause_max
        if account.limit.rate <= 0:
            return max_delay
        account.refusal_count += 1
        elapsed = now - account.retry_delay_set_at
        if elapsed >= self.settings.pause_window:
            load = account.refusal_count / elapsed / self.settings.refusals_per_second
            delay = account.retry_delay * min(2.0, max(0.5, load))
            account.retry_delay = min(max_delay, max(self.settings.pause_min, delay))
            account.refusal_count = 0
            account.retry_delay_set_at = now
        token_delay = max(0.0, 1 - account.bucket.level) / account.limit.rate
        # The jitter keeps borrowers from asking again at the same time.
        return max(token_delay, account.retry_delay * self.rng.uniform(0.5, 1.5))

    def build_refusal(self, request: TokenRequest) -> TokenGrant | None:
        """Return the refusal for a slot from which this node may not lend."""
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

"""Retry budgets and the rule that decides whether an attempt is repeated."""

import random
from typing import NamedTuple

from .refusals import Ran, Reason, Refusal
from .settings import RetrySettings

WINDOW_BUCKETS = 10
MAX_DOUBLINGS = 16

RETRYABLE = frozenset(
    {
        Reason.OVERLOAD,
        Reason.QUEUE_FULL,
        Reason.NO_TARGET,
        Reason.TARGET_SHED,
        Reason.TARGET_FAILED,
        Reason.PEER_FAILED,
        Reason.STALE_NODE,
        Reason.SHUTTING_DOWN,
    }
)


class AttemptBudget:
    """Attempts that remain for a request and everything below it.

    The first attempt of a call is free; each repetition spends one.

    Attributes:
        attempts: Attempts that may still be made.
    """

    def __init__(self, attempts: int) -> None:
        self.attempts = max(0, attempts)

    def try_spend(self) -> bool:
        """Take one attempt for a repetition; return False if none remains."""
        if not self.attempts:
            return False
        self.attempts -= 1
        return True

    def reserve(self) -> int:
        """Take half of the remaining attempts, at least one, for a sub-call.

        Returns:
            The number taken; 0 if none remains.
        """
        taken = (self.attempts + 1) // 2
        self.attempts -= taken
        return taken

    def release(self, unused: int, taken: int | None = None) -> None:
        """Return attempts that a sub-call did not spend.

        Call this once for each `reserve` and never when the answer was lost: the
        sub-call may still be spending what it was given.

        Args:
            unused: Attempts that the answer says were not spent.
            taken: Attempts that were reserved; more than these are not accepted.
        """
        if taken is not None:
            unused = min(unused, taken)
        self.attempts += max(0, unused)


class RetryBudget:
    """Bounds the retries to one service by a share of its first attempts.

    Both are counted in a ring of buckets, so memory is constant. Retries are
    counted over at least the window and first attempts over at most the window, so
    the bound holds over any window of the set length.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self.settings = settings
        self.bucket_time = settings.service_window / WINDOW_BUCKETS
        self.size = WINDOW_BUCKETS + 1
        self.firsts = [0] * self.size
        self.retries = [0] * self.size
        self.newest = 0

    def record_first_attempt(self, now: float) -> None:
        """Count a first attempt at ``now``, in seconds."""
        self._advance(now)
        self.firsts[self.newest % self.size] += 1

    def try_retry(self, now: float) -> bool:
        """Count a retry at ``now``, in seconds; return False if none is left."""
        self._advance(now)
        oldest = (self.newest + 1) % self.size
        firsts = sum(self.firsts) - self.firsts[oldest]
        allowed = max(self.settings.service_floor, self._share(firsts))
        if sum(self.retries) >= allowed:
            return False
        self.retries[self.newest % self.size] += 1
        return True

    def record_retry(self, now: float) -> None:
        """Count a retry that another node decided on, at ``now``, in seconds."""
        self._advance(now)
        self.retries[self.newest % self.size] += 1

    def _share(self, firsts: int) -> int:
        return int(firsts * self.settings.service_share)

    def _advance(self, now: float) -> None:
        bucket = int(now / self.bucket_time)
        steps = min(bucket - self.newest, self.size)
        if steps <= 0:
            return
        for passed in range(bucket - steps + 1, bucket + 1):
            self.firsts[passed % self.size] = 0
            self.retries[passed % self.size] = 0
        self.newest = bucket


class RetryDecision(NamedTuple):
    """Whether an attempt is repeated.

    Attributes:
        retry: Whether to repeat it; the budgets are then already charged.
        delay: Seconds to wait before the repetition.
        refusal: The refusal to pass on when the attempt is not repeated.
    """

    retry: bool
    delay: float
    refusal: Refusal


def is_retryable(refusal: Refusal, idempotent: bool) -> bool:
    """Return whether a repetition is safe and may help.

    Args:
        refusal: How the last attempt ended. ``NOT_RUN`` must rest on proof.
        idempotent: Whether the request may run more than once.
    """
    if refusal.reason not in RETRYABLE:
        return False
    return idempotent or refusal.ran is Ran.NOT_RUN


def backoff_delay(
    settings: RetrySettings, retries_made: int, rng: random.Random
) -> float:
    """Return a random pause in seconds that doubles on average with each retry."""
    longest = settings.backoff_base * 2 ** min(retries_made, MAX_DOUBLINGS)
    return rng.uniform(0.0, min(longest, settings.backoff_max))


def decide_retry(
    settings: RetrySettings,
    refusal: Refusal,
    idempotent: bool,
    retries_made: int,
    remaining: float,
    expected_latency: float,
    chain: AttemptBudget,
    service: RetryBudget,
    now: float,
    rng: random.Random,
) -> RetryDecision:
    """Decide whether an attempt is repeated and charge the budgets if so.

    Args:
        settings: Settings of retries.
        refusal: How the last attempt ended.
        idempotent: Whether the request may run more than once.
        retries_made: Repetitions of this call before this one.
        remaining: Seconds left until the deadline.
        expected_latency: Seconds that an attempt usually takes.
        chain: Attempts left for the request.
        service: Retries left for the service.
        now: Time in seconds.
        rng: Source of the jitter.

    Returns:
        The decision, with the refusal to pass on when it is negative.
    """
    if not is_retryable(refusal, idempotent):
        return RetryDecision(False, 0.0, refusal)
    delay = backoff_delay(settings, retries_made, rng)
    if refusal.reason is Reason.NO_TARGET:
        # Other refusals name one target, and another one may do at once.
        delay = max(delay, refusal.retry_after or 0.0)
    if delay + expected_latency >= remaining:
        return RetryDecision(False, 0.0, refusal)
    if not chain.attempts or not service.try_retry(now):
        return RetryDecision(False, 0.0, refusal)
    chain.try_spend()
    return RetryDecision(True, delay, refusal)

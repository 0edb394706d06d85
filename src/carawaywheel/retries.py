"""Retry budgets and the decision whether an attempt is retried."""

import random
from typing import NamedTuple

from .refusals import Ran, Reason, Refusal
from .settings import RetrySettings

WINDOW_BUCKETS = 10
# Largest exponent of the exponential backoff.
MAX_DOUBLINGS = 16

RETRYABLE_REASONS = frozenset(
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
    """Retry attempts that remain for a request and all of its sub-calls.

    The first attempt of a call is free; each retry spends one.

    Attributes:
        attempts: Attempts that may still be made.
    """

    def __init__(self, attempts: int) -> None:
        self.attempts = max(0, attempts)

    def try_spend(self) -> bool:
        """Spend one attempt on a retry; return False if none remains."""
        if not self.attempts:
            return False
        self.attempts -= 1
        return True

    def reserve(self) -> int:
        """Reserve half of the remaining attempts, rounded up, for a sub-call.

        Returns:
            The number reserved; 0 if none remains.
        """
        reserved = (self.attempts + 1) // 2
        self.attempts -= reserved
        return reserved

    def release(self, unused: int, reserved: int | None = None) -> None:
        """Return attempts that a sub-call did not spend.

        Call this at most once for each ``reserve``, and never if the response was
        lost: the sub-call may still be spending its attempts.

        Args:
            unused: Attempts that were not spent according to the response.
            reserved: Attempts that were reserved for the sub-call, an upper bound of
                ``unused``; None for no bound.
        """
        if reserved is not None:
            unused = min(unused, reserved)
        self.attempts += max(0, unused)


class RetryBudget:
    """Retry budget of one service: retries are a bounded share of first attempts.

    Both are counted in a ring buffer of time buckets, so memory use is constant.
    Retries are counted over at least the window and first attempts over at most the
    window, so the bound holds over any window of the configured length.

    Attributes:
        bucket_seconds: Length of a bucket, in seconds.
        bucket_count: Number of buckets in the ring.
        first_attempts: First attempts in each bucket.
        retries: Retries in each bucket.
        newest_bucket: Number of the present bucket since time 0.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self.settings = settings
        self.bucket_seconds = settings.service_window / WINDOW_BUCKETS
        self.bucket_count = WINDOW_BUCKETS + 1
        self.first_attempts = [0] * self.bucket_count
        self.retries = [0] * self.bucket_count
        self.newest_bucket = 0

    def record_first_attempt(self, now: float) -> None:
        """Count a first attempt at ``now``, in seconds."""
        self._advance(now)
        self.first_attempts[self.newest_bucket % self.bucket_count] += 1

    def try_retry(self, now: float) -> bool:
        """Count a retry at ``now``, in seconds; return False if the budget is spent."""
        self._advance(now)
        oldest = (self.newest_bucket + 1) % self.bucket_count
        first_attempts = sum(self.first_attempts) - self.first_attempts[oldest]
        allowed = max(self.settings.service_floor, self._retries_for(first_attempts))
        if sum(self.retries) >= allowed:
            return False
        self.retries[self.newest_bucket % self.bucket_count] += 1
        return True

    def record_retry(self, now: float) -> None:
        """Count a retry at ``now``, in seconds, that another node decided to make."""
        self._advance(now)
        self.retries[self.newest_bucket % self.bucket_count] += 1

    def _retries_for(self, first_attempts: int) -> int:
        return int(first_attempts * self.settings.service_share)

    def _advance(self, now: float) -> None:
        bucket = int(now / self.bucket_seconds)
        steps = min(bucket - self.newest_bucket, self.bucket_count)
        if steps <= 0:
            return
        for new_bucket in range(bucket - steps + 1, bucket + 1):
            self.first_attempts[new_bucket % self.bucket_count] = 0
            self.retries[new_bucket % self.bucket_count] = 0
        self.newest_bucket = bucket


class RetryDecision(NamedTuple):
    """Decision whether a failed attempt is retried.

    Attributes:
        retry: Whether to retry it; the budgets are charged already in that case.
        delay: Seconds to wait before the retry.
        refusal: The refusal to return to the caller if there is no retry.
    """

    retry: bool
    delay: float
    refusal: Refusal


def is_retryable(refusal: Refusal, idempotent: bool) -> bool:
    """Return whether a retry is safe and may succeed.

    Args:
        refusal: How the last attempt ended. Its ``NOT_RUN`` must be certain.
        idempotent: Whether the request may run more than once.
    """
    if refusal.reason not in RETRYABLE_REASONS:
        return False
    return idempotent or refusal.ran is Ran.NOT_RUN


def backoff_delay(
    settings: RetrySettings, retries_made: int, rng: random.Random
) -> float:
    """Return an exponential backoff with full jitter, in seconds."""
    longest_delay = settings.backoff_base * 2 ** min(retries_made, MAX_DOUBLINGS)
    return rng.uniform(0.0, min(longest_delay, settings.backoff_max))


def decide_retry(
    settings: RetrySettings,
    refusal: Refusal,
    idempotent: bool,
    retries_made: int,
    remaining: float,
    expected_latency: float,
    attempt_budget: AttemptBudget,
    retry_budget: RetryBudget,
    now: float,
    rng: random.Random,
) -> RetryDecision:
    """Decide whether an attempt is retried, and charge the budgets if so.

    Args:
        settings: Settings of retries.
        refusal: How the last attempt ended.
        idempotent: Whether the request may run more than once.
        retries_made: Earlier retries of this call.
        remaining: Seconds left until the deadline.
        expected_latency: Seconds that an attempt usually takes.
        attempt_budget: Attempts left for the request.
        retry_budget: Retries left for the service.
        now: Time in seconds.
        rng: Random source of the jitter.

    Returns:
        The decision, with the refusal to return to the caller if it is negative.
    """
    if not is_retryable(refusal, idempotent):
        return RetryDecision(False, 0.0, refusal)
    delay = backoff_delay(settings, retries_made, rng)
    if refusal.reason is Reason.NO_TARGET:
        # Only this refusal is about the whole service. Others are about one target,
        # and another target may accept the request at once.
        delay = max(delay, refusal.retry_after or 0.0)
    if delay + expected_latency >= remaining:
        return RetryDecision(False, 0.0, refusal)
    if not attempt_budget.attempts or not retry_budget.try_retry(now):
        return RetryDecision(False, 0.0, refusal)
    attempt_budget.try_spend()
    return RetryDecision(True, delay, refusal)

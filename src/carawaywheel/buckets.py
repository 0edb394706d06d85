"""Token bucket in continuous time, which uses the caller's clock."""

TOLERANCE_TOKENS = 1e-9


class TokenBucket:
    """Token bucket that refills at a constant rate up to its capacity.

    Attributes:
        rate: Refill rate in tokens per second.
        burst: Capacity in tokens.
        level: Tokens in the bucket at ``updated_at``.
        updated_at: Time of the last refill, in seconds.
    """

    def __init__(
        self, rate: float, burst: float, now: float, level: float | None = None
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst if level is None else min(level, burst)
        self.updated_at = now

    def available(self, now: float) -> float:
        """Refill the bucket and return the tokens in it at ``now``.

        A time before the last refill adds nothing, so that clock readings that arrive
        out of order cannot refill the bucket twice.
        """
        elapsed = now - self.updated_at
        if elapsed > 0:
            self.level = min(self.burst, self.level + self.rate * elapsed)
            self.updated_at = now
        return self.level

    def take(self, n: float, now: float) -> bool:
        """Take ``n`` tokens if the bucket holds that many.

        Returns:
            Whether the tokens were taken; if not, none is.
        """
        if self.available(now) + TOLERANCE_TOKENS < n:
            return False
        self.level = max(0.0, self.level - n)
        return True

    def refund(self, n: float, now: float) -> None:
        """Put back ``n`` tokens that were taken but not spent."""
        self.level = min(self.burst, self.available(now) + n)

    def reconfigure(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst as of ``now``; tokens above the burst are dropped."""
        self.available(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

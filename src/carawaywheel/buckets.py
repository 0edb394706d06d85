"""Token bucket in continuous time, driven by the caller's clock."""

TOLERANCE_TOKENS = 1e-9


class TokenBucket:
    """Token bucket that fills at a steady rate up to a burst.

    Attributes:
        rate: Tokens made each second.
        burst: Most tokens that the bucket holds.
        level: Tokens held at the time of the last call.
        updated_at: Time of the last call, in seconds.
    """

    def __init__(
        self, rate: float, burst: float, now: float, level: float | None = None
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst if level is None else min(level, burst)
        self.updated_at = now

    def available(self, now: float) -> float:
        """Return the tokens held at ``now``.

        A time before the last call makes no tokens, so that a clock that is read
        out of order cannot fill the bucket twice.
        """
        elapsed = now - self.updated_at
        if elapsed > 0:
            self.level = min(self.burst, self.level + self.rate * elapsed)
            self.updated_at = now
        return self.level

    def take(self, n: float, now: float) -> bool:
        """Take ``n`` tokens if the bucket holds them.

        Returns:
            Whether the tokens were taken; nothing changes if not.
        """
        if self.available(now) + TOLERANCE_TOKENS < n:
            return False
        self.level = max(0.0, self.level - n)
        return True

    def refund(self, n: float, now: float) -> None:
        """Put back ``n`` tokens that were taken and not spent."""
        self.level = min(self.burst, self.available(now) + n)

    def reconfigure(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst from ``now`` on; a lower burst drops tokens."""
        self.available(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

"""Rate limits that targets state in their responses.

The node beside a target forwards all requests to it and enforces the limit. The nodes
that receive the responses remember it and repeat it in their calls, so that a node that
restarts beside its target knows the limit before the first response.
"""

import math
from typing import NamedTuple

from ..buckets import TokenBucket
from ..refusals import Importance

# Capacity of the bucket in seconds of the limit, small beside the seconds over which
# targets count.
BURST_SECONDS = 0.25
MIN_BURST_TOKENS = 2.0
# A target that takes nothing would never state that its limit has ended.
MIN_RATE = 0.5
# Part of the bucket that is kept for more important requests than the last class.
RESERVED_SHARE = 0.25
# Responses without a limit that were sent before it may arrive after the first one that
# states it.
LIFT_SECONDS = 0.5
# Time constant of the smoothed arrivals; a limit may be a few requests a second.
ARRIVALS_TIME_CONSTANT_SECONDS = 1.0
# Time for which other nodes remember a limit: longer than a node takes to restart.
REMEMBERED_SECONDS = 15.0


def parse_rate(text: str) -> float | None:
    """Return a stated rate in requests per second; None if it is not a valid one."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None


class TargetRateLimit:
    """Rate limit of one incarnation of the local target.

    Attributes:
        bucket: Requests that the target takes now; None while it states no limit.
        stated_at: Time at which the limit was stated last, in seconds.
        arrivals: Smoothed arrivals per second.
        trusts_peers: Whether to apply a limit that another node remembers. It may be
            that of a former incarnation if this process has known one.
    """

    def __init__(self, trusts_peers: bool = True) -> None:
        self.bucket: TokenBucket | None = None
        self.stated_at = 0.0
        self.arrivals = 0.0
        self.trusts_peers = trusts_peers

    @property
    def rate(self) -> float | None:
        """Requests per second; None if there is no limit."""
        return self.bucket.rate if self.bucket is not None else None

    def record_response(self, rate: float | None, now: float) -> bool:
        """Apply the limit that a response states; return whether it changed.

        Args:
            rate: Requests per second; None if the response states no limit.
            now: Time in seconds.
        """
        self.trusts_peers = False
        if rate is not None:
            return self.set_rate(rate, now)
        if self.bucket is None or now - self.stated_at < LIFT_SECONDS:
            return False
        self.bucket = None
        return True

    def assume(self, rate: float, now: float) -> bool:
        """Apply a limit that another node remembers, unless the target has responded.

        Returns:
            Whether the limit changed.
        """
        if not self.trusts_peers or (self.rate is not None and self.rate <= rate):
            return False
        return self.set_rate(rate, now)

    def set_rate(self, rate: float, now: float) -> bool:
        """Set the limit in requests per second; return whether it changed."""
        self.stated_at = now
        rate = max(rate, MIN_RATE)
        if rate == self.rate:
            return False
        burst = max(MIN_BURST_TOKENS, rate * BURST_SECONDS)
        if self.bucket is None:
            # Nearly empty: a former process of this node may have used the rest.
            self.bucket = TokenBucket(rate, burst, now, 1.0)
        else:
            self.bucket.reconfigure(rate, burst, now)
        return True

    def allows(self, importance: Importance, now: float) -> bool:
        """Return whether the target takes a request of an importance now."""
        bucket = self.bucket
        if bucket is None:
            return True
        reserved = 0.0
        if importance is Importance.SHEDDABLE:
            reserved = RESERVED_SHARE * bucket.burst
        return bucket.available(now) >= 1.0 + reserved

    def take(self, importance: Importance, now: float) -> bool:
        """Count a request about to be sent; return False if it is over the limit."""
        if not self.allows(importance, now):
            return False
        return self.bucket is None or self.bucket.take(1.0, now)

    def record_arrivals(self, count: int, elapsed: float) -> float:
        """Count arrivals, and return their rate as a share of the limit.

        Args:
            count: Requests that arrived.
            elapsed: Seconds in which they arrived.

        Returns:
            The share; 0 without a limit.
        """
        gain = min(1.0, elapsed / ARRIVALS_TIME_CONSTANT_SECONDS)
        self.arrivals += gain * (count / elapsed - self.arrivals)
        return self.arrivals / self.bucket.rate if self.bucket is not None else 0.0

    def pressure(self, now: float) -> float:
        """Return the used part of the bucket, from 0 to 1; 0 without a limit."""
        if self.bucket is None:
            return 0.0
        return 1.0 - self.bucket.available(now) / self.bucket.burst


class RememberedRate(NamedTuple):
    """A rate limit in a response that this node received.

    Attributes:
        rate: Requests per second.
        stated_at: Time of the response, in seconds.
    """

    rate: float
    stated_at: float


class RememberedRates:
    """Rate limits of the targets beside other nodes, to be repeated in calls.

    Attributes:
        rates: Limit of the target beside each node, by address of the node.
    """

    def __init__(self) -> None:
        self.rates: dict[str, RememberedRate] = {}

    def record_response(self, address: str, rate: float | None, now: float) -> None:
        """Note the limit that a response states, or that it states none."""
        if rate is None:
            self.rates.pop(address, None)
        else:
            self.rates[address] = RememberedRate(rate, now)

    def rate(self, address: str, now: float) -> float | None:
        """Return the limit of the target beside a node; None if none is known."""
        remembered = self.rates.get(address)
        if remembered is None:
            return None
        if now - remembered.stated_at > REMEMBERED_SECONDS:
            del self.rates[address]
            return None
        return remembered.rate

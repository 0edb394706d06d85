"""Share of a warm target's requests that a cold target is to be sent.

The node beside a cold target controls the share by the arrivals that it sees, and
reports it in its replies. One node owns the figure, so that the senders need no
agreement.
"""

from typing import NamedTuple

from .warmup import WarmupLimit

INTERVAL_SECONDS = 0.25
# Arrivals per place that the share is controlled to. An unused place serves no request,
# whereas a refusal costs one hop of about a millisecond.
ARRIVALS_PER_PLACE = 1.2
# Share before any arrival was seen while the target was warm.
INITIAL_SHARE = 0.2
# Lower bound, so that a target that is reported as cold is still sent requests.
MIN_SHARE = 0.005
# Bound on the change in one interval. Most senders learn a share much later than after
# one interval, since a cold target replies to only a dozen requests per second.
MAX_STEP = 1.5
# Time constant of the smoothed arrivals while warm.
WARM_TIME_CONSTANT_SECONDS = 5.0
# Time without arrivals that does not count as a low rate: the senders may have been
# told to send nothing, or the target did not run.
MAX_PAUSE_SECONDS = 2.0


class WarmupReport(NamedTuple):
    """What a reply tells of the warm-up of a target.

    Attributes:
        remaining: Seconds for which the target stays cold; 0 when it is warm.
        share: Share of a warm target's requests that it is to be sent, above 0 to 1.
    """

    remaining: float
    share: float

    @property
    def is_valid(self) -> bool:
        """Whether a router can use the figures."""
        return 0.0 <= self.remaining < float("inf") and 0.0 < self.share <= 1.0


WARM = WarmupReport(0, 1)


class WarmupShare:
    """Controls the share of requests that the local target is sent while it is cold.

    Attributes:
        share: Share of a warm target's requests that it is to be sent.
        count: Arrivals since the last update.
        updated_at: Time of the last update, in seconds.
        cold: Whether the target was cold at the last update.
        warm_rate: Smoothed arrivals per second while the target was warm; None before
            the first ones.
    """

    def __init__(self, now: float) -> None:
        self.share = INITIAL_SHARE
        self.count = 0
        self.updated_at = now
        self.cold = False
        self.warm_rate: float | None = None

    def record_arrival(self) -> None:
        """Count a request that a sender has sent, whether or not it is refused."""
        self.count += 1

    def report(self, warmup: WarmupLimit, now: float) -> WarmupReport:
        """Return the figures for a reply.

        Args:
            warmup: Request limit of the local target.
            now: Time in seconds.
        """
        if not warmup.enabled:
            return WARM
        cold = warmup.is_cold(now)
        self.update(warmup.settings.limit, cold, now)
        return WarmupReport(warmup.remaining(now), self.share) if cold else WARM

    def update(self, limit: int, cold: bool, now: float) -> None:
        """Update the share if an interval has passed or the target has become cold.

        Args:
            limit: Requests per second that the target takes while it is cold.
            cold: Whether the target is cold.
            now: Time in seconds.
        """
        elapsed = now - self.updated_at
        if cold is not self.cold:
            if cold:
                self._start(limit)
            # The arrivals until now belong to the former state.
            self.count = 0
            self.updated_at = now
        elif elapsed >= INTERVAL_SECONDS:
            rate = self.count / elapsed
            if cold:
                self._adjust(limit, rate)
            elif elapsed <= MAX_PAUSE_SECONDS:
                self._record_warm_rate(rate, elapsed)
            self.count = 0
            self.updated_at = now
        self.cold = cold

    def _start(self, limit: int) -> None:
        """Set the share for a target that has become cold."""
        self.share = INITIAL_SHARE
        if self.warm_rate:
            self._set(ARRIVALS_PER_PLACE * limit / self.warm_rate)

    def _adjust(self, limit: int, rate: float) -> None:
        """Move the share towards the one at which arrivals match the limit."""
        step = MAX_STEP
        if rate > 0.0:
            step = min(MAX_STEP, ARRIVALS_PER_PLACE * limit / rate)
        self._set(self.share * max(step, 1.0 / MAX_STEP))

    def _set(self, share: float) -> None:
        self.share = min(1.0, max(MIN_SHARE, share))

    def _record_warm_rate(self, rate: float, elapsed: float) -> None:
        if self.warm_rate is None:
            self.warm_rate = rate
            return
        gain = min(1.0, elapsed / WARM_TIME_CONSTANT_SECONDS)
        self.warm_rate += gain * (rate - self.warm_rate)

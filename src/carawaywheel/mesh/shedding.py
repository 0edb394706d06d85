"""Admission levels: the ranks that a service takes, and refusal where chains begin.

A level is a number of ranks: at 2.4 a service takes ranks 0 and 1 and four tenths of
rank 2. The node beside a target moves its level so that the target stays just below
full; answers carry the levels back to the nodes at which requests enter.
"""

import random

from .messages import ServiceDemand

# Demand as a share of the limit that is aimed at; the rest absorbs the variance of
# arrivals.
LOAD_SETPOINT = 0.92
# Time constant of the mean load, in seconds: a few service times.
LOAD_TIME_CONSTANT_SECONDS = 0.25
# Ranks a second that the level moves for each unit of load off the aim. Stable while
# this times the delay of the loop, a second or so for a deep chain, stays near one.
LEVEL_GAIN = 1.0
# Load that a queue as long as a fifth of the limit adds, so that it drains.
FULL_QUEUE_LOAD = 0.3
FULL_QUEUE_SHARE = 0.2
# Load above the aim that counts, so that one clump does not shut a service.
MAX_EXCESS_LOAD = 1.0
# Level below which no answer can lower it: most of rank 0 is always let through.
MIN_LEVEL = 0.4
# Share of an answer's level in the mean at a node.
REPORT_SMOOTHING = 0.25
# Seconds after which a level that nothing renews begins to rise.
REPORT_FRESH_SECONDS = 1.0
# Chance of a whole answer below which a request is not worth the work that it causes
# above the calls that fail.
MIN_SUCCESS_PROBABILITY = 0.2
# Part of the requests with less of a chance that enter all the same.
PROBE_SHARE = 0.03
# Calls for each request below which a service's level does not count.
MIN_CALLS_PER_REQUEST = 0.1


def offered_load(
    arrivals: float, service_time: float, queued: int, limit: int
) -> float:
    """Return the demand on a target as a share of its limit.

    What is asked for is told from the arrivals, because the queue goes on growing for
    as long as the level takes to have an effect.

    Args:
        arrivals: Requests a second.
        service_time: Seconds that one of them holds a slot.
        queued: Requests that wait for a slot.
        limit: Slots in use at most.
    """
    waiting = min(1.0, queued / (FULL_QUEUE_SHARE * limit))
    return arrivals * service_time / limit + FULL_QUEUE_LOAD * waiting


class AdmissionLevel:
    """Level of one target, moved by the demand on it.

    Attributes:
        level: Ranks that are taken.
        top: Level at which every rank is taken.
        load: Smoothed demand as a share of the limit.
    """

    def __init__(self, max_level: float) -> None:
        self.max_level = max_level
        self.level = max_level
        self.load = 0.0
        self.updated_at: float | None = None

    def set_max_level(self, top: float) -> None:
        """Change the number of ranks."""
        if top != self.max_level:
            at_top = self.level >= self.max_level
            self.max_level = top
            self.level = top if at_top else min(self.level, top)

    def update(self, load: float, now: float) -> None:
        """Move the level by the load at ``now``, in seconds."""
        if self.updated_at is None:
            self.updated_at = now
        elapsed = min(now - self.updated_at, LOAD_TIME_CONSTANT_SECONDS)
        self.updated_at = now
        self.load += elapsed / LOAD_TIME_CONSTANT_SECONDS * (load - self.load)
        excess = min(self.load - LOAD_SETPOINT, MAX_EXCESS_LOAD)
        self.level -= LEVEL_GAIN * excess * elapsed
        self.level = min(max(self.level, MIN_LEVEL), self.max_level)


class ReportedLevel:
    """What answers told of a service.

    Attributes:
        level: Smoothed level.
        accepted: Smoothed share of requests that its targets do not reject.
        heard_at: Time of the newest answer, in seconds.
    """

    __slots__ = ("level", "accept_ratio", "updated_at")

    def __init__(self, level: float, accept_ratio: float, updated_at: float) -> None:
        self.level = level
        self.accept_ratio = accept_ratio
        self.updated_at = updated_at


class AdmissionLevelTable:
    """Levels of all services that a node has heard of."""

    def __init__(self, rng: random.Random) -> None:
        self.reports: dict[str, ReportedLevel] = {}
        self.rng = rng

    def update(self, demands: list[ServiceDemand], now: float) -> None:
        """Take the levels that an answer carries."""
        for item in demands:
            heard = self.reports.get(item.service)
            if heard is None:
                self.reports[item.service] = ReportedLevel(
                    item.level, item.accept_ratio, now
                )
                continue
            known = self.level(item.service, now)
            heard.level = known + REPORT_SMOOTHING * (item.level - known)
            known = self.accept_ratio(item.service, now)
            heard.accept_ratio = known + REPORT_SMOOTHING * (item.accept_ratio - known)
            heard.updated_at = now

    def level(self, service: str, now: float) -> float:
        """Return the level of a service; infinite if nothing was heard of it."""
        heard = self.reports.get(service)
        if heard is None:
            return float("inf")
        age = now - heard.updated_at - REPORT_FRESH_SECONDS
        return heard.level + LEVEL_GAIN * age if age > 0 else heard.level

    def accept_ratio(self, service: str, now: float) -> float:
        """Return the share of requests that the targets of a service accept."""
        heard = self.reports.get(service)
        if heard is None:
            return 1.0
        age = now - heard.updated_at - REPORT_FRESH_SECONDS
        return (
            min(1.0, heard.accept_ratio + LEVEL_GAIN * age)
            if age > 0
            else heard.accept_ratio
        )

    def success_probability(self, demands: dict[str, float], now: float) -> float:
        """Return the chance that no call of a request is rejected.

        Args:
            demands: Calls to each service that it leads to.
            now: Time in seconds.
        """
        chance = 1.0
        for service, calls in demands.items():
            accepted = self.accept_ratio(service, now)
            if accepted < 1.0:
                chance *= accepted**calls
        return chance

    def should_fail_fast(self, demands: dict[str, float], now: float) -> bool:
        """Decide whether a request should not enter as its calls would be rejected.

        A few enter in any case, to find out when that ends.
        """
        if self.success_probability(demands, now) >= MIN_SUCCESS_PROBABILITY:
            return False
        return self.rng.random() >= PROBE_SHARE

    def admits(
        self, demands: dict[str, float], priority: int, now: float
    ) -> tuple[bool, str, float]:
        """Decide whether a request may enter.

        Args:
            demands: Calls to each service that it leads to.
            priority: Its rank.
            now: Time in seconds.

        Returns:
            Whether it may enter, the service that decided, and its level.
        """
        lowest = float("inf")
        tightest = ""
        for service, calls in demands.items():
            if calls < MIN_CALLS_PER_REQUEST:
                continue
            level = self.level(service, now)
            if level < lowest:
                lowest, tightest = level, service
        share = lowest - priority
        return share >= 1.0 or self.rng.random() < share, tightest, lowest

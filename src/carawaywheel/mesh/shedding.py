"""Load shedding by admission levels, at the node where a request enters.

A level is a threshold on priorities: at 2.4 a service admits priorities 0 and 1 and
four tenths of priority 2. The node beside a target controls its level so that the
target stays just below its limit. Replies carry the levels back to the nodes at which
requests enter, so that a request is shed before any work is spent on it.
"""

import random

from .messages import ServiceDemand

# Offered load, as a share of the limit, that the level is controlled to; the rest
# absorbs the variance of arrivals.
LOAD_SETPOINT = 0.92
# Time constant of the smoothed load: a few service times.
LOAD_TIME_CONSTANT_SECONDS = 0.25
# Change of the level per second for each unit of load off the setpoint. The control
# loop is stable while the product of this gain and the loop's delay, about a second for
# a deep call chain, is near one.
LEVEL_GAIN = 1.0
# Load added for a full queue, so that it drains; a queue counts as full from a fifth
# of the limit.
FULL_QUEUE_LOAD = 0.3
FULL_QUEUE_SHARE = 0.2
# Bound on the load above the setpoint, so that after one burst a service does not shed
# almost everything.
MAX_EXCESS_LOAD = 1.0
# Lowest level: part of priority 0 is always admitted.
MIN_LEVEL = 0.4
# Weight of one reply in the moving averages of a node.
REPORT_SMOOTHING = 0.25
# Age of a report from which its level begins to rise.
REPORT_FRESH_SECONDS = 1.0
# Probability of success below which a request is refused, because the upstream work
# for the calls that fail would be wasted.
MIN_SUCCESS_PROBABILITY = 0.2
# Share of such requests that is admitted all the same, as probes.
PROBE_SHARE = 0.03
# Mean calls per request below which the level of a service does not count.
MIN_CALLS_PER_REQUEST = 0.1


def offered_load(
    arrivals: float, service_time: float, queued: int, limit: int
) -> float:
    """Return the load offered to a target as a share of its limit.

    It is computed from the arrivals, because the queue goes on growing until a change
    of the level takes effect.

    Args:
        arrivals: Requests per second.
        service_time: Mean seconds that a request holds a slot.
        queued: Requests that wait for a slot.
        limit: Concurrency limit of the target.
    """
    queue_fill = min(1.0, queued / (FULL_QUEUE_SHARE * limit))
    return arrivals * service_time / limit + FULL_QUEUE_LOAD * queue_fill


class AdmissionLevel:
    """Admission level of one target, controlled by the load offered to it.

    Attributes:
        level: Current level: priorities below it are admitted, the last one in part.
        max_level: Level at which every priority is admitted.
        load: Smoothed load as a share of the limit.
    """

    def __init__(self, max_level: float) -> None:
        self.max_level = max_level
        self.level = max_level
        self.load = 0.0
        self.updated_at: float | None = None

    def set_max_level(self, max_level: float) -> None:
        """Set the level that admits every priority; a level at the old one follows."""
        if max_level != self.max_level:
            was_at_max = self.level >= self.max_level
            self.max_level = max_level
            self.level = max_level if was_at_max else min(self.level, max_level)

    def update(self, load: float, now: float) -> None:
        """Update the level with the load at ``now``, in seconds."""
        if self.updated_at is None:
            self.updated_at = now
        elapsed = min(now - self.updated_at, LOAD_TIME_CONSTANT_SECONDS)
        self.updated_at = now
        self.load += elapsed / LOAD_TIME_CONSTANT_SECONDS * (load - self.load)
        excess = min(self.load - LOAD_SETPOINT, MAX_EXCESS_LOAD)
        self.level -= LEVEL_GAIN * excess * elapsed
        self.level = min(max(self.level, MIN_LEVEL), self.max_level)


class ReportedLevel:
    """What replies reported about a service.

    Attributes:
        level: Smoothed admission level.
        accept_ratio: Smoothed share of requests that its targets accept.
        updated_at: Time of the newest reply, in seconds.
    """

    __slots__ = ("level", "accept_ratio", "updated_at")

    def __init__(self, level: float, accept_ratio: float, updated_at: float) -> None:
        self.level = level
        self.accept_ratio = accept_ratio
        self.updated_at = updated_at


class AdmissionLevelTable:
    """Admission levels of services, as replies reported them.

    Attributes:
        reports: Newest report of each service, by its name.
    """

    def __init__(self, rng: random.Random) -> None:
        self.reports: dict[str, ReportedLevel] = {}
        self.rng = rng

    def update(self, demands: list[ServiceDemand], now: float) -> None:
        """Update the reports from the demands in a reply."""
        for demand in demands:
            report = self.reports.get(demand.service)
            if report is None:
                self.reports[demand.service] = ReportedLevel(
                    demand.level, demand.accept_ratio, now
                )
                continue
            current = self.level(demand.service, now)
            report.level = current + REPORT_SMOOTHING * (demand.level - current)
            current = self.accept_ratio(demand.service, now)
            report.accept_ratio = current + REPORT_SMOOTHING * (
                demand.accept_ratio - current
            )
            report.updated_at = now

    def level(self, service: str, now: float) -> float:
        """Return the level of a service; infinite if it was never reported."""
        report = self.reports.get(service)
        if report is None:
            return float("inf")
        age = now - report.updated_at - REPORT_FRESH_SECONDS
        return report.level + LEVEL_GAIN * age if age > 0 else report.level

    def accept_ratio(self, service: str, now: float) -> float:
        """Return the share of requests that the targets of a service accept."""
        report = self.reports.get(service)
        if report is None:
            return 1.0
        age = now - report.updated_at - REPORT_FRESH_SECONDS
        return (
            min(1.0, report.accept_ratio + LEVEL_GAIN * age)
            if age > 0
            else report.accept_ratio
        )

    def success_probability(self, demands: dict[str, float], now: float) -> float:
        """Return the probability that no call of a request is rejected.

        Args:
            demands: Calls to each service that it leads to.
            now: Time in seconds.
        """
        probability = 1.0
        for service, calls in demands.items():
            accepted = self.accept_ratio(service, now)
            if accepted < 1.0:
                probability *= accepted**calls
        return probability

    def should_fail_fast(self, demands: dict[str, float], now: float) -> bool:
        """Decide whether a request is refused because its calls would be rejected.

        A small share is admitted as probes, to detect when the rejections end.

        Args:
            demands: Calls to each service that it leads to.
            now: Time in seconds.
        """
        if self.success_probability(demands, now) >= MIN_SUCCESS_PROBABILITY:
            return False
        return self.rng.random() >= PROBE_SHARE

    def admits(
        self, demands: dict[str, float], priority: int, now: float
    ) -> tuple[bool, str, float]:
        """Decide whether a request is admitted.

        Args:
            demands: Calls to each service that it leads to.
            priority: Its priority; 0 is shed last.
            now: Time in seconds.

        Returns:
            Whether it is admitted, the service with the lowest level, and that level.
        """
        lowest_level = float("inf")
        lowest_service = ""
        for service, calls in demands.items():
            if calls < MIN_CALLS_PER_REQUEST:
                continue
            level = self.level(service, now)
            if level < lowest_level:
                lowest_level, lowest_service = level, service
        admitted_share = lowest_level - priority
        return (
            admitted_share >= 1.0 or self.rng.random() < admitted_share,
            lowest_service,
            lowest_level,
        )

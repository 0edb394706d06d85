"""Speed of the local target, from the load that its responses report.

A target may report how long work currently takes on its machine. The same number of
requests then means a longer wait, before the number itself rises.
"""

import math

from .messages import ReportedLoad
from .metrics import Gauge

# Bounds of the time over which the reported slowdown is smoothed: it changes many times
# a second, and a request of some seconds must not hide the present state.
MIN_SMOOTHING_SECONDS = 0.05
MAX_SMOOTHING_SECONDS = 1.0
# Weight of one response in the moving average of the service time.
SERVICE_TIME_SMOOTHING = 0.1
# Bounds of the reported slowdown. A single absurd figure must neither keep all requests
# from a target nor draw all of them to it.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 4.0
# Part of the slowdown that counts in the pressure. Senders hear of it late, and it may
# have ended when a request is run. With the whole of it, bench/targetload.py gives
# fewer responses in time than without any where machines slow down for seconds, at 92%
# of the capacity.
PRESSURE_WEIGHT = 0.5
# Occupancy from which on the slowdown does not count, fading from 1 on: the slots are
# full, and with a long queue it tells little about the time at which a request is run.
MAX_WEIGHED_OCCUPANCY = 2.0
# Time after the last report over which the slowdown fades to the usual one, as long as
# the reported load fades at the senders.
FADE_SECONDS = 2.0


class TargetLoad:
    """What the node beside a target knows of the target's speed.

    Attributes:
        slowdown: Smoothed ratio of the time that work takes now to the usual time; None
            if the target does not report it.
        reported_at: Time of the last report in seconds.
        usual_service_time: Smoothed time of a request without the slowdown, in seconds;
            None before the first response.
    """

    def __init__(self) -> None:
        self.slowdown: float | None = None
        self.reported_at = 0.0
        self.usual_service_time: float | None = None

    def record_response(
        self, load: ReportedLoad, duration: float | None, now: float
    ) -> None:
        """Record a response.

        Args:
            load: Load that it reports.
            duration: Seconds that the target took; None if it rejected the request.
            now: Time in seconds.
        """
        if load.slowdown is None:
            self.slowdown = self.usual_service_time = None
            return
        reported = min(max(load.slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        if self.slowdown is None:
            self.slowdown = reported
        else:
            gain = 1.0 - math.exp((self.reported_at - now) / self.smoothing_seconds)
            self.slowdown += gain * (reported - self.slowdown)
        self.reported_at = now
        if duration is None:
            return
        usual = duration / self.slowdown
        if self.usual_service_time is None:
            self.usual_service_time = usual
        self.usual_service_time += SERVICE_TIME_SMOOTHING * (
            usual - self.usual_service_time
        )

    @property
    def smoothing_seconds(self) -> float:
        """Time constant of the slowdown in seconds: about the duration of a request."""
        seconds = (self.usual_service_time or 0.0) * (self.slowdown or 1.0)
        return min(max(seconds, MIN_SMOOTHING_SECONDS), MAX_SMOOTHING_SECONDS)

    def current_slowdown(self, now: float) -> float:
        """Return the slowdown; 1 if the target does not report it."""
        if self.slowdown is None:
            return 1.0
        weight = max(0.0, 1.0 - (now - self.reported_at) / FADE_SECONDS)
        return 1.0 + weight * (self.slowdown - 1.0)

    def capacity(self, slots: int, now: float) -> float | None:
        """Return the requests per second that the target can finish; None if unknown.

        Args:
            slots: Requests that it may run concurrently.
            now: Time in seconds.
        """
        if not self.usual_service_time:
            return None
        return slots / (self.usual_service_time * self.current_slowdown(now))

    def expected_wait(self, requests: int, slots: int, now: float) -> float | None:
        """Return the seconds until one more request gets a slot; None if unknown.

        Args:
            requests: Requests that run and wait.
            slots: Requests that may run concurrently.
            now: Time in seconds.
        """
        capacity = self.capacity(slots, now)
        if capacity is None:
            return None
        return max(0, requests + 1 - slots) / capacity

    def pressure(self, occupancy: float, now: float) -> float:
        """Return the load that senders compare, in which a slow target counts for more.

        Args:
            occupancy: Requests that run and wait, as a share of the limit.
            now: Time in seconds.
        """
        room = min(max(MAX_WEIGHED_OCCUPANCY - occupancy, 0.0), 1.0)
        excess = self.current_slowdown(now) - 1.0
        return occupancy * (1.0 + PRESSURE_WEIGHT * room * excess)

    def gauges(self, requests: int, slots: int, now: float) -> list[Gauge]:
        """Return the gauges of a target that reports its slowdown, and else none.

        Args:
            requests: Requests that run and wait.
            slots: Requests that may run concurrently.
            now: Time in seconds.
        """
        capacity = self.capacity(slots, now)
        wait = self.expected_wait(requests, slots, now)
        if capacity is None or wait is None:
            return []
        return [
            Gauge(
                "carawaywheel_target_slowdown",
                "Time that work takes now at the target, relative to the usual time.",
                {},
                self.current_slowdown(now),
            ),
            Gauge(
                "carawaywheel_target_capacity",
                "Requests per second that the target can finish now.",
                {},
                capacity,
            ),
            Gauge(
                "carawaywheel_target_wait_seconds",
                "Expected seconds until one more request runs at the target.",
                {},
                wait,
            ),
        ]

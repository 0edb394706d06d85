"""Choice of hosts and retries of one node in the policy bench."""

import random

from bench.hosts import Host
from bench.kernel import Kernel
from bench.model import (
    COLD_LOAD_SHARE,
    COLD_SECONDS,
    FAILED_PRESSURE,
    MEMBERSHIP_DELAY_SECONDS,
    AttemptResult,
)
from carawaywheel.refusals import Reason
from carawaywheel.settings import LevelSettings, RetrySettings, RoutingSettings


class HostSelector:
    """Choice of a host by one node: two random hosts, the less loaded one.

    Attributes:
        running: Requests in flight from this node, by host.
        pressure: Load carried on the last answer and its time, by host.
        failures: Consecutive failures, by host.
        ejected_until: End of the last ejection in seconds, by host.
    """

    def __init__(self, kernel: Kernel, rng: random.Random) -> None:
        self.kernel = kernel
        self.rng = rng
        self.in_flight: dict[Host, int] = {}
        self.pressure: dict[Host, tuple[float, float]] = {}
        self.consecutive_failures: dict[Host, int] = {}
        self.ejected_until: dict[Host, float] = {}

    def choose(self, hosts: list[Host], tried: set[Host]) -> Host | None:
        """Choose a host that was not tried before, or None."""
        now = self.kernel.now
        known = [h for h in hosts if not h.known_dead and h not in tried]
        usable = [h for h in known if self.ejected_until.get(h, 0.0) <= now] or known
        if not usable:
            return None
        pair = self.rng.sample(usable, min(2, len(usable)))
        return min(pair, key=self.load)

    def load(self, host: Host) -> float:
        """Return the load of a host as this node knows it."""
        own = self.in_flight.get(host, 0) / host.service.slots
        pressure, at = self.pressure.get(host, (0.0, 0.0))
        is_fresh = self.kernel.now - at < LevelSettings().max_age
        cold_left = max(0.0, host.cold_until - self.kernel.now)
        slow_start = 1.0 - (1.0 - COLD_LOAD_SHARE) * cold_left / COLD_SECONDS
        return (own + pressure * is_fresh) / slow_start

    def record_finish(self, host: Host, answer: AttemptResult) -> None:
        """Learn from an answer; eject a host after consecutive failures."""
        self.in_flight[host] -= 1
        refusal = answer.refusal
        self.pressure[host] = (answer.pressure, self.kernel.now)
        if refusal is None or refusal.reason is not Reason.PEER_FAILED:
            self.consecutive_failures[host] = 0
            return
        self.pressure[host] = (FAILED_PRESSURE, self.kernel.now)
        self.consecutive_failures[host] = self.consecutive_failures.get(host, 0) + 1
        if self.consecutive_failures[host] >= RoutingSettings().eject_after:
            self.ejected_until[host] = self.kernel.now + MEMBERSHIP_DELAY_SECONDS


class RetryBudget:
    """Retries of one node to one service as a share of first attempts."""

    def __init__(self, settings: RetrySettings) -> None:
        self.settings = settings
        self.tokens = float(settings.service_floor)

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        most = 10.0 * self.settings.service_floor
        self.tokens = min(most, self.tokens + self.settings.service_share)

    def try_acquire(self) -> bool:
        """Take a retry if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

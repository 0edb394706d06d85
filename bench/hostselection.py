"""Host selection and retry budget of a node in the policy bench."""

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
    """Selects the less loaded of two random hosts (power of two choices).

    Attributes:
        in_flight: Number of requests in flight from this node, by host.
        pressure: Load reported with the last result and its time, by host.
        consecutive_failures: Number of consecutive failures, by host.
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
        """Select a host that was not tried before; return None if there is none.

        Ejected hosts are used only if all remaining hosts are ejected.
        """
        now = self.kernel.now
        known = [h for h in hosts if not h.known_dead and h not in tried]
        usable = [h for h in known if self.ejected_until.get(h, 0.0) <= now] or known
        if not usable:
            return None
        candidates = self.rng.sample(usable, min(2, len(usable)))
        return min(candidates, key=self.load)

    def load(self, host: Host) -> float:
        """Return the load of a host as seen by this node.

        The load of a cold host counts for more, so that it gets fewer requests.
        """
        own_load = self.in_flight.get(host, 0) / host.service.slots
        pressure, reported_at = self.pressure.get(host, (0.0, 0.0))
        is_fresh = self.kernel.now - reported_at < LevelSettings().max_age
        cold_left = max(0.0, host.cold_until - self.kernel.now)
        slow_start = 1.0 - (1.0 - COLD_LOAD_SHARE) * cold_left / COLD_SECONDS
        return (own_load + pressure * is_fresh) / slow_start

    def record_finish(self, host: Host, result: AttemptResult) -> None:
        """Update the state of a host; eject it after consecutive failures."""
        self.in_flight[host] -= 1
        refusal = result.refusal
        self.pressure[host] = (result.pressure, self.kernel.now)
        if refusal is None or refusal.reason is not Reason.PEER_FAILED:
            self.consecutive_failures[host] = 0
            return
        self.pressure[host] = (FAILED_PRESSURE, self.kernel.now)
        self.consecutive_failures[host] = self.consecutive_failures.get(host, 0) + 1
        if self.consecutive_failures[host] >= RoutingSettings().eject_after:
            self.ejected_until[host] = self.kernel.now + MEMBERSHIP_DELAY_SECONDS


class RetryBudget:
    """Bounds the retries of one node to one service to a share of first attempts.

    Attributes:
        tokens: Retries that may be made now.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self.settings = settings
        self.tokens = float(settings.service_floor)

    def record_first_attempt(self) -> None:
        """Add the share of a retry that a first attempt earns, up to a bound."""
        max_tokens = 10.0 * self.settings.service_floor
        self.tokens = min(max_tokens, self.tokens + self.settings.service_share)

    def try_acquire(self) -> bool:
        """Acquire a retry; return whether the budget allowed one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

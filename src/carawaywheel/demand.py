"""Demand of client accounts as seen by one node, and its fair reduction."""

import math

REFRESH_INTERVAL = 0.1
LEAST_DEMAND = 0.01


class Demand:
    """Recent requests by account, with older ones decayed.

    Attributes:
        window: Time constant of the decay in seconds.
        values: Decayed number of requests and the time it is valid at, by account.
        snapshot: Decayed numbers at the last refresh; comparing accounts at one
            moment keeps the reduction from depending on the refresh interval.
    """

    def __init__(self, window: float) -> None:
        self.window = window
        self.values: dict[str, tuple[float, float]] = {}
        self.snapshot: dict[str, float] = {}
        self.ordered: list[float] = []
        self.total = 0.0
        self.added = 0
        self.refreshed_at = float("-inf")

    def add(self, account: str, now: float) -> None:
        """Count a request of an account."""
        self.values[account] = (self.value(account, now) + 1.0, now)
        self.added += 1

    def value(self, account: str, now: float) -> float:
        """Return the decayed number of requests of an account."""
        value, at = self.values.get(account, (0.0, now))
        return value * math.exp((at - now) / self.window)

    def refused_share(self, account: str, share: float, now: float) -> float:
        """Divide a reduction of the whole demand fairly (max-min) among accounts.

        Args:
            account: The account that asks.
            share: Share of the whole demand that is to be refused, 0 to 1.
            now: Time in seconds.

        Returns:
            The share of this account's requests to refuse. It is 0 for an account
            that asks for less than its fair share of what passes.
        """
        is_old = now - self.refreshed_at >= REFRESH_INTERVAL
        if is_old or self.added >= self.total:
            self._refresh(now)
        mine = self.snapshot.get(account, 0.0)
        if mine <= 0.0:
            return 0.0
        return max(0.0, 1.0 - self._cap(1.0 - share) / mine)

    def _refresh(self, now: float) -> None:
        decayed = {name: (self.value(name, now), now) for name in self.values}
        self.values = {n: v for n, v in decayed.items() if v[0] > LEAST_DEMAND}
        self.snapshot = {name: value for name, (value, _) in self.values.items()}
        self.ordered = sorted(self.snapshot.values())
        self.added = 0
        self.total = sum(self.ordered)
        self.refreshed_at = now

    def _cap(self, passing_share: float) -> float:
        """Return the demand above which accounts are reduced (water filling)."""
        left = passing_share * self.total
        count = len(self.ordered)
        for place, value in enumerate(self.ordered):
            even = left / (count - place)
            if value >= even:
                return even
            left -= value
        return math.inf

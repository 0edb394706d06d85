"""Demand of client accounts as seen by one node, and its max-min fair reduction."""

import math

REFRESH_INTERVAL_SECONDS = 0.1
# Decayed number of requests below which an account is no longer tracked.
MIN_TRACKED_COUNT = 0.01


class DemandTable:
    """Exponentially decayed number of recent requests of each account.

    Attributes:
        window: Time constant of the decay, in seconds.
        counts: Decayed number of requests, and the time in seconds at which it is
            valid, by account.
        snapshot: Decayed numbers at the last refresh. All accounts are compared at
            the same time, so the reduction does not depend on the refresh interval.
        sorted_counts: Numbers of the snapshot in ascending order.
        total: Sum of the snapshot.
        added_since_refresh: Requests counted since the last refresh.
        refreshed_at: Time of the last refresh, in seconds.
    """

    def __init__(self, window: float) -> None:
        self.window = window
        self.counts: dict[str, tuple[float, float]] = {}
        self.snapshot: dict[str, float] = {}
        self.sorted_counts: list[float] = []
        self.total = 0.0
        self.added_since_refresh = 0
        self.refreshed_at = float("-inf")

    def add(self, account: str, now: float) -> None:
        """Count a request of an account at ``now``, in seconds."""
        self.counts[account] = (self.decayed_count(account, now) + 1.0, now)
        self.added_since_refresh += 1

    def decayed_count(self, account: str, now: float) -> float:
        """Return the decayed number of requests of an account."""
        count, counted_at = self.counts.get(account, (0.0, now))
        return count * math.exp((counted_at - now) / self.window)

    def refused_share(self, account: str, share: float, now: float) -> float:
        """Divide a reduction of the whole demand fairly (max-min) among accounts.

        Args:
            account: Account of a new request.
            share: Share of the whole demand that is to be refused, 0 to 1.
            now: Time in seconds.

        Returns:
            The share of this account's requests to refuse. It is 0 for an account
            whose demand is below its fair share of the admitted requests.
        """
        is_outdated = now - self.refreshed_at >= REFRESH_INTERVAL_SECONDS
        if is_outdated or self.added_since_refresh >= self.total:
            self._refresh(now)
        own_count = self.snapshot.get(account, 0.0)
        if own_count <= 0.0:
            return 0.0
        return max(0.0, 1.0 - self._fair_cap(1.0 - share) / own_count)

    def _refresh(self, now: float) -> None:
        decayed = {
            account: (self.decayed_count(account, now), now) for account in self.counts
        }
        self.counts = {
            account: entry
            for account, entry in decayed.items()
            if entry[0] > MIN_TRACKED_COUNT
        }
        self.snapshot = {account: count for account, (count, _) in self.counts.items()}
        self.sorted_counts = sorted(self.snapshot.values())
        self.added_since_refresh = 0
        self.total = sum(self.sorted_counts)
        self.refreshed_at = now

    def _fair_cap(self, admitted_share: float) -> float:
        """Return the count above which accounts are reduced, by water filling.

        It is infinite if no account needs to be reduced.
        """
        remaining = admitted_share * self.total
        account_total = len(self.sorted_counts)
        for index, count in enumerate(self.sorted_counts):
            equal_part = remaining / (account_total - index)
            if count >= equal_part:
                return equal_part
            remaining -= count
        return math.inf

"""Concurrency limit of one target, from the node's own measurements."""

from abc import ABC, abstractmethod

from .refusals import Outcome


class ConcurrencyLimit(ABC):
    """Number of requests that a target may work on at once."""

    @abstractmethod
    def limit(self, now: float) -> int:
        """Return the present limit in slots, at least 1."""

    @abstractmethod
    def record(
        self, now: float, latency: float, outcome: Outcome, in_flight: int
    ) -> None:
        """Learn from a finished request.

        Args:
            now: Time at which it finished, in seconds.
            latency: Seconds that it occupied a slot.
            outcome: How it ended.
            in_flight: Requests in flight just before, with this one.
        """


class FixedLimit(ConcurrencyLimit):
    """Limit that never changes."""

    def __init__(self, slots: int) -> None:
        self.slots = slots

    def limit(self, now: float) -> int:
        """Return the fixed number of slots."""
        return self.slots

    def record(
        self, now: float, latency: float, outcome: Outcome, in_flight: int
    ) -> None:
        """Ignore the finished request."""

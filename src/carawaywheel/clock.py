"""Monotonic clock with an abstract base class, so that tests can control the time."""

import functools
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of monotonic time."""

    @abstractmethod
    def now(self) -> float:
        """Return the time in seconds since an arbitrary origin."""


class SystemClock(Clock):
    """Clock of the host.

    It continues while the host is suspended, so that the leases of a suspended holder
    expire.
    """

    # Seconds since boot, including time while suspended. Called so often that a Python
    # function around the system call would take as long as the call.
    now = staticmethod(functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME))


class ManualClock(Clock):
    """Clock that changes only when it is advanced, for tests and simulations."""

    def __init__(self, start: float = 0.0) -> None:
        self.time = start

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.time

    def advance(self, seconds: float) -> float:
        """Advance the clock.

        Args:
            seconds: Time by which to advance the clock, not negative.

        Returns:
            The new time in seconds.

        Raises:
            ValueError: If ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError(f"cannot turn a monotonic clock back by {-seconds} s")
        self.time += seconds
        return self.time

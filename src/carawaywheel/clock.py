"""Runtime clock, behind an abstract base class so that tests can pause it."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of monotonic time."""

    @abstractmethod
    def now(self) -> float:
        """Return the time in seconds since an arbitrary origin."""


class SystemClock(Clock):
    """Clock of the host.

    Runs during suspend, so that a lease lapses while its holder is suspended.
    """

    def now(self) -> float:
        """Return the seconds since boot, including time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Paused clock that only moves when it is advanced."""

    def __init__(self, start: float = 0.0) -> None:
        self.time = start

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.time

    def advance(self, seconds: float) -> float:
        """Move the clock forward.

        Args:
            seconds: How far to move, not negative.

        Returns:
            The new time in seconds.

        Raises:
            ValueError: If ``seconds`` is negative.
        """
        if seconds < 0:
            raise ValueError(f"cannot move the clock back by {-seconds} s")
        self.time += seconds
        return self.time

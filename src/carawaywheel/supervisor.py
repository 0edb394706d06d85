"""Supervision of the components that run in the background of a node."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

import curio

from .clock import Clock

# Pause before a failed component runs again. It doubles with each failure up to the
# maximum, so that a component that fails at once costs little processor time.
MIN_RESTART_SECONDS = 0.1
MAX_RESTART_SECONDS = 2.0
# Time after which a component that runs counts as recovered.
RECOVERED_SECONDS = 10.0

Component = Callable[[], Awaitable[None]]


class Supervisor(ABC):
    """Restarts components that end, so that an error in one does not stop the others.

    Attributes:
        failures: Number of failures of each component, by its name.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.failures: dict[str, int] = {}

    async def run(self, component: Component) -> None:
        """Run a component until cancelled; restart it whenever it ends.

        Args:
            component: Must be able to run again after an error.
        """
        delay = MIN_RESTART_SECONDS
        while True:
            started_at = self.clock.now()
            await self.attempt(component)
            if self.clock.now() - started_at > RECOVERED_SECONDS:
                delay = MIN_RESTART_SECONDS
            await curio.sleep(delay)
            delay = min(delay * 2, MAX_RESTART_SECONDS)

    async def attempt(self, component: Component) -> bool:
        """Run a component once; log an unexpected error.

        Returns:
            Whether it ended without an error.
        """
        try:
            await component()
        except curio.CancelledError:
            raise
        except Exception as error:
            name = component_name(component)
            self.failures[name] = self.failures.get(name, 0) + 1
            self.report_failure(name, error)
            return False
        return True

    @abstractmethod
    def report_failure(self, name: str, error: Exception) -> None:
        """Log the unexpected error with which a component ended."""


def component_name(component: Component) -> str:
    """Return the name of a component for logs."""
    function = getattr(component, "func", component)
    return str(getattr(function, "__qualname__", function))

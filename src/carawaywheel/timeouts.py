"""Timeout of a block for the path of every request."""

import time
from typing import Any

from curio.time import _TimeoutAfter
from curio.traps import _set_timeout


class Timeout(_TimeoutAfter):
    """``curio.timeout_after`` for a task that is known already.

    curio asks its kernel for the task and the time, and each such call runs through
    all coroutines on the path of a request.
    """

    def __init__(self, seconds: float, task: Any) -> None:
        """Create a timeout.

        Args:
            seconds: Time for the block, in seconds.
            task: curio task that runs the block.
        """
        super().__init__(seconds)
        self.task = task

    async def __aenter__(self) -> "Timeout":
        """Start the timeout."""
        self._clock += time.monotonic()
        self._deadlines = self.task._deadlines
        self._deadlines.append(self._clock)
        self._prior = await _set_timeout(self._clock)
        return self

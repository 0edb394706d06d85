"""Discrete-event simulation kernel of the policy bench, on a manual clock."""

import heapq
from collections.abc import Generator
from typing import Any

from carawaywheel.clock import ManualClock

Process = Generator[Any, Any, Any]


class Future:
    """Value that one process can wait for; only the first value set counts."""

    def __init__(self, kernel: "Kernel") -> None:
        self.kernel = kernel
        self.done = False
        self.value: Any = None
        self.waiter: Process | None = None

    def set(self, value: Any) -> None:
        """Set the value unless one is set already, and resume the waiting process."""
        if self.done:
            return
        self.done = True
        self.value = value
        if self.waiter is not None:
            self.kernel.schedule(0.0, self.waiter, value)


class Kernel:
    """Runs processes: generators that yield seconds to sleep or a future to await.

    Events at the same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.events: list[tuple[float, int, Process, Any]] = []
        self.event_count = 0

    @property
    def now(self) -> float:
        """Simulated time in seconds."""
        return self.clock.time

    def spawn(self, process: Process) -> None:
        """Start a process at the current time."""
        self.schedule(0.0, process, None)

    def schedule(self, delay: float, process: Process, value: Any) -> None:
        """Resume a process after a delay in seconds."""
        self.event_count += 1
        heapq.heappush(
            self.events, (self.now + delay, self.event_count, process, value)
        )

    def set_later(self, future: Future, delay: float, value: Any) -> None:
        """Set the value of a future after a delay in seconds."""
        self.schedule(delay, _set_future(future, value), None)

    def run(self, until: float) -> None:
        """Handle all events up to a time in seconds and set the clock to it."""
        while self.events and self.events[0][0] <= until:
            event_time, _, process, value = heapq.heappop(self.events)
            self.clock.time = event_time
            try:
                yielded = process.send(value)
            except StopIteration:
                continue
            if isinstance(yielded, Future):
                self._wait(process, yielded)
            else:
                self.schedule(yielded, process, None)
        self.clock.time = until

    def _wait(self, process: Process, future: Future) -> None:
        if future.done:
            self.schedule(0.0, process, future.value)
        else:
            future.waiter = process


def _set_future(future: Future, value: Any) -> Process:
    future.set(value)
    return
    yield  # Never reached; makes this function a generator.

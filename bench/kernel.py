"""Discrete-event kernel of the policy bench: generators on a paused clock."""

import heapq
from collections.abc import Generator
from typing import Any

from carawaywheel.clock import ManualClock

Process = Generator[Any, Any, Any]


class Future:
    """Value that a process waits for; the first value counts."""

    def __init__(self, kernel: "Kernel") -> None:
        self.kernel = kernel
        self.done = False
        self.value: Any = None
        self.waiter: Process | None = None

    def set(self, value: Any) -> None:
        """Set the value unless there is one, and resume the process that waits."""
        if self.done:
            return
        self.done = True
        self.value = value
        if self.waiter is not None:
            self.kernel.schedule(0.0, self.waiter, value)


class Kernel:
    """Runs processes, which yield seconds to sleep or a future to wait for."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.events: list[tuple[float, int, Process, Any]] = []
        self.event_count = 0

    @property
    def now(self) -> float:
        """Present time in seconds."""
        return self.clock.time

    def spawn(self, process: Process) -> None:
        """Start a process at the present time."""
        self.schedule(0.0, process, None)

    def schedule(self, delay: float, process: Process, value: Any) -> None:
        """Resume a process after a delay in seconds."""
        self.event_count += 1
        heapq.heappush(
            self.events, (self.now + delay, self.event_count, process, value)
        )

    def set_later(self, future: Future, delay: float, value: Any) -> None:
        """Set a future after a delay in seconds."""
        self.schedule(delay, _set_future(future, value), None)

    def run(self, until: float) -> None:
        """Run until a time in seconds."""
        while self.events and self.events[0][0] <= until:
            at, _, process, value = heapq.heappop(self.events)
            self.clock.time = at
            try:
                wanted = process.send(value)
            except StopIteration:
                continue
            if isinstance(wanted, Future):
                self._wait(process, wanted)
            else:
                self.schedule(wanted, process, None)
        self.clock.time = until

    def _wait(self, process: Process, future: Future) -> None:
        if future.done:
            self.schedule(0.0, process, future.value)
        else:
            future.waiter = process


def _set_future(future: Future, value: Any) -> Process:
    future.set(value)
    return
    yield

"""Detection of times in which the whole process stood still.

Requests that arrived meanwhile waited unread, so the time that their senders gave them
has partly passed. Nothing tells how long each of them waited; the length of the stall
is an upper bound.
"""

from .clock import Clock
from .ticks import sleep_until_tick

TICK_SECONDS = 0.1
# Longest gap between two ticks that a busy event loop explains.
MAX_GAP_SECONDS = 0.5
# Time after a stall in which input that arrived during it may still be read.
CATCH_UP_SECONDS = 0.2


class StallDetector:
    """Tells how long input may have waited because the process stood still.

    Attributes:
        ticked_at: Time of the last tick, in seconds.
        stall: Length of the last stall, in seconds.
        resumed_at: Time at which that stall was noticed, in seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.ticked_at = clock.now()
        self.stall = 0.0
        self.resumed_at = float("-inf")

    def tick(self) -> None:
        """Note that the process runs."""
        now = self.clock.now()
        gap = now - self.ticked_at
        if gap > MAX_GAP_SECONDS:
            self.stall, self.resumed_at = gap, now
        self.ticked_at = now

    def input_age(self) -> float:
        """Return the longest time for which input that is read now may have waited.

        Returns:
            Seconds; 0 unless the process stood still a moment ago.
        """
        now = self.clock.now()
        gap = now - self.ticked_at
        if gap > MAX_GAP_SECONDS:
            return gap
        return self.stall if now - self.resumed_at < CATCH_UP_SECONDS else 0.0

    async def run(self) -> None:
        """Tick until cancelled."""
        self.ticked_at = self.clock.now()
        while True:
            await sleep_until_tick(TICK_SECONDS)
            self.tick()

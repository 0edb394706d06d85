"""Sleeping until ticks that the timers of a process share.

Most of the cost of a timer that finds nothing to do is waking the process. Timers that
wake at shared ticks wake it together.
"""

import math
import os
import time

import curio

from .selector import TIMER_SLACK_SECONDS

# Divides the intervals of all periodic components.
TICK_SECONDS = 0.05
# Spreads the ticks of processes on one machine.
PHASE_SECONDS = os.getpid() * TIMER_SLACK_SECONDS % TICK_SECONDS


async def sleep_until_tick(interval: float) -> None:
    """Sleep until the last shared tick within an interval.

    Args:
        interval: Longest time to sleep in seconds, at least ``TICK_SECONDS``.
    """
    await curio.sleep(seconds_until_tick(interval, time.monotonic()))


def seconds_until_tick(interval: float, now: float) -> float:
    """Return the time until the last shared tick within an interval.

    Args:
        interval: Longest time in seconds, at least ``TICK_SECONDS``.
        now: Time in seconds.
    """
    end = now + interval - PHASE_SECONDS
    return math.floor(end / TICK_SECONDS) * TICK_SECONDS + PHASE_SECONDS - now

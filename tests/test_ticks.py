import pytest

from carawaywheel.ticks import PHASE_SECONDS, TICK_SECONDS, seconds_until_tick


@pytest.mark.parametrize("interval", [0.05, 0.25, 0.3, 1.0])
def test_timers_wake_together_and_never_after_their_interval(interval):
    """A timer that wakes late would break a time bound; one off the ticks, alone."""
    for step in range(1000):
        now = 500.0 + step * 0.00137
        wait = seconds_until_tick(interval, now)
        assert interval - TICK_SECONDS - 1e-6 < wait <= interval + 1e-6
        ticks = (now + wait - PHASE_SECONDS) / TICK_SECONDS
        assert ticks == pytest.approx(round(ticks), abs=1e-6)

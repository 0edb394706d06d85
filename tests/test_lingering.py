"""When a connection whose output has ended is given up."""

from carawaywheel.clock import ManualClock
from carawaywheel.lingering import (
    LINGER_SECONDS,
    MAX_LINGER_SECONDS,
    STALL_SECONDS,
    Linger,
)

STEP = 0.1


def seconds_open(observe, linger_seconds=LINGER_SECONDS):
    """Return for how long a connection stays open.

    Args:
        observe: Returns for the seconds since the output ended whether the client has
            sent bytes, and how many it has not acknowledged.
        linger_seconds: Time for a client that has received everything.
    """
    clock = ManualClock(50.0)
    linger = Linger(clock.now(), linger_seconds)
    while not linger.is_over(clock.now(), *observe(clock.now() - 50.0)):
        clock.advance(STEP)
    return clock.now() - 50.0


def is_close(seconds, expected):
    return abs(seconds - expected) < 2 * STEP


def test_client_that_has_everything_and_does_not_close_is_given_up_soon():
    assert is_close(seconds_open(lambda now: (False, 0)), LINGER_SECONDS)
    assert is_close(seconds_open(lambda now: (False, 0), 0.4), 0.4)


def test_client_that_reads_slowly_gets_its_response_to_the_end():
    """It was given up one second after the last byte was handed to the kernel."""
    seconds = seconds_open(lambda now: (False, max(0, 5000 - int(now) * 1000)))
    assert is_close(seconds, 5.0 + LINGER_SECONDS)


def test_client_that_still_sends_has_not_seen_the_close():
    seconds = seconds_open(lambda now: (now < 3.0, 0))
    assert is_close(seconds, 3.0 + LINGER_SECONDS)


def test_client_that_receives_nothing_is_given_up():
    """Otherwise it would keep its connection until the process ends."""
    assert is_close(seconds_open(lambda now: (False, 5000)), STALL_SECONDS)


def test_client_that_sends_without_end_is_given_up():
    assert is_close(seconds_open(lambda now: (True, 0)), MAX_LINGER_SECONDS)


def test_client_that_receives_without_end_is_given_up():
    seconds = seconds_open(lambda now: (False, 1 + int(now * 10)))
    assert is_close(seconds, MAX_LINGER_SECONDS)

from carawaywheel.clock import ManualClock
from carawaywheel.stalls import CATCH_UP_SECONDS, StallDetector


def test_input_is_fresh_while_the_process_runs():
    clock = ManualClock(10.0)
    detector = StallDetector(clock)
    for _ in range(20):
        clock.advance(0.1)
        assert detector.input_age() == 0.0
        detector.tick()


def test_input_read_after_a_stall_may_be_as_old_as_the_stall():
    """The tick and the reads run in any order once the process continues."""
    clock = ManualClock(10.0)
    detector = StallDetector(clock)
    clock.advance(3.0)
    assert detector.input_age() == 3.0
    detector.tick()
    assert detector.input_age() == 3.0
    clock.advance(2 * CATCH_UP_SECONDS)
    detector.tick()
    assert detector.input_age() == 0.0

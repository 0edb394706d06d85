from carawaywheel.mesh.silence import (
    MIN_OVERTAKING,
    MIN_PATIENCE_SECONDS,
    SilenceDetector,
)


def test_first_response_of_a_route_may_take_any_time():
    assert SilenceDetector().patience("r") == float("inf")


def test_patience_follows_the_usual_time_of_the_route():
    detector = SilenceDetector()
    for _ in range(50):
        detector.record_response(detector.record_request(), "slow", 2.0)
        detector.record_response(detector.record_request(), "fast", 0.01)
    assert detector.patience("fast") == MIN_PATIENCE_SECONDS
    assert 2.0 < detector.patience("slow") < 3.0


def test_patience_grows_when_the_target_turns_slow():
    """A target that turns slow must not have all of its requests broken off."""
    detector = SilenceDetector()
    for _ in range(50):
        detector.record_response(detector.record_request(), "r", 0.5)
    for _ in range(5):
        detector.record_time("r", 1.5)
    assert detector.patience("r") > 3.0


def test_request_is_overtaken_by_answers_to_later_ones_only():
    detector = SilenceDetector()
    early = detector.record_request()
    waiting = detector.record_request()
    detector.record_response(early, "r", 0.1)
    for _ in range(MIN_OVERTAKING):
        assert not detector.is_overtaken(waiting)
        detector.record_response(detector.record_request(), "r", 0.1)
    assert detector.is_overtaken(waiting)

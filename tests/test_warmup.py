"""A cold target never gets more requests in any second than it takes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaywheel.mesh.warmup import WINDOW_SECONDS, WarmupLimit, WarmupSettings

SETTINGS = WarmupSettings(3.0, 3.1, 1.5, 8.0)
LIMIT = 12


def make_limit(now=0.0, restarted=False):
    return WarmupLimit(SETTINGS, now, restarted)


def send(limit, now, count=1000):
    """Send as many of some waiting requests as allowed; return their number."""
    sent = min(limit.free(now), count)
    for _ in range(sent):
        limit.record_send(now)
    return sent


def most_in_window(times, seconds=1.0):
    """Return the highest number of times within any window."""
    return max(
        (sum(start <= at < start + seconds for at in times) for start in times),
        default=0,
    )


def test_burst_uses_the_whole_limit_and_the_next_waits_for_the_window():
    limit = make_limit()
    limit.set_cold(3.0, 0.0)
    assert SETTINGS.limit == LIMIT
    assert send(limit, 0.0) == LIMIT
    assert limit.wait(1, 0.2) == pytest.approx(WINDOW_SECONDS - 0.2)
    assert limit.wait(LIMIT + 1, 0.2) == pytest.approx(2 * WINDOW_SECONDS - 0.2)
    assert limit.wait(90, 0.2) == pytest.approx(2.8)
    assert send(limit, 1.0) == 0
    assert send(limit, 1.06) == LIMIT


def test_sends_before_the_target_became_cold_count():
    """Guards against a limit on top of what a warm target got in the last second."""
    limit = make_limit()
    assert send(limit, 0.0, 30) == 30
    limit.set_cold(3.0, 0.1)
    assert limit.free(0.1) == 0
    assert limit.free(WINDOW_SECONDS) == LIMIT


def test_restarted_node_assumes_the_sends_of_its_former_process():
    limit = make_limit(5.0, restarted=True)
    limit.set_cold(8.0, 5.1)
    assert limit.free(6.0) == 0
    assert limit.free(6.06) == LIMIT


def test_rejected_send_does_not_count_but_older_ones_do():
    """Guards against sends that left the log before a newer one was forgotten."""
    limit = make_limit()
    for number in range(30):
        limit.record_send(0.01 * number)
    limit.forget_send(0.29)
    limit.set_cold(3.0, 0.3)
    assert limit.free(0.3) == 0
    limit = make_limit()
    limit.set_cold(3.0, 0.0)
    send(limit, 0.0, 4)
    limit.forget_send(0.0)
    assert limit.free(0.0) == LIMIT - 3


def test_late_heartbeat_does_not_end_an_assumption():
    """A heartbeat of the former process may arrive after the target has restarted."""
    limit = make_limit()
    limit.assume_cold(0.0, "refused")
    limit.set_cold(0.5, 0.5)
    assert limit.remaining(0.5) == pytest.approx(2.5)
    limit.set_cold(4.5, 2.0)
    assert limit.remaining(2.0) == pytest.approx(2.5)
    limit.set_cold(3.1, 3.1)
    assert not limit.is_cold(3.1)


def test_health_check_determines_the_state_unless_an_event_followed():
    limit = make_limit()
    limit.assume_cold(0.0, "refused")
    events = limit.events
    assert limit.confirm(0.0, 0.1, events)
    assert not limit.is_cold(0.1)
    limit.assume_cold(0.2, "refused")
    assert not limit.confirm(0.0, 0.3, events)
    assert limit.is_cold(0.3)


def test_absent_target_stays_cold_until_its_warm_up_after_its_return():
    """Guards against a target that starts late after it refused connections."""
    limit = make_limit()
    limit.mark_absent(0.0, "refused")
    assert limit.is_cold(60.0)
    assert limit.mark_present(60.0)
    assert not limit.mark_present(60.1)
    assert limit.remaining(60.0) == pytest.approx(3.0)


def test_service_without_a_rate_has_no_limit():
    limit = WarmupLimit(WarmupSettings(), 0.0, restarted=True)
    limit.mark_absent(0.0, "refused")
    assert not limit.is_cold(0.0)
    assert limit.free(0.0) > 1000
    assert limit.wait(99, 0.0) == 0.0


def test_higher_limit_counts_sends_that_the_log_has_no_more():
    limit = make_limit()
    send(limit, 0.0, 40)
    limit.configure(SETTINGS._replace(slack=30.0))
    limit.set_cold(3.0, 0.1)
    assert limit.free(0.1) == 0


@given(st.lists(st.tuples(st.floats(0.0, 0.6), st.integers(0, 15)), max_size=60))
def test_no_window_exceeds_the_limit(steps):
    limit = make_limit()
    limit.set_cold(1e9, 0.0)
    now, times = 0.0, []
    for pause, count in steps:
        now += pause
        times += [now] * send(limit, now, count)
    assert most_in_window(times) <= LIMIT


@given(
    st.lists(st.floats(0.0, 1.0), max_size=20),
    st.integers(1, 30),
)
def test_expected_wait_is_the_time_at_which_a_request_may_be_sent(pauses, position):
    limit = make_limit()
    limit.set_cold(1e6, 0.0)
    now = 0.0
    for pause in pauses:
        now += pause
        send(limit, now, 1)
    expected = now + limit.wait(position, now)
    sent = 0
    while sent < position:
        wait = limit.wait(1, now)
        now += wait + 1e-9 if wait else 0.0
        sent += send(limit, now, 1)
    assert now == pytest.approx(expected, abs=1e-6)

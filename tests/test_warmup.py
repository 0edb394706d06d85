"""A cold target never gets more requests in any second than it takes."""

import threading

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaywheel.mesh.warmup import WINDOW_SECONDS, WarmupLimit, WarmupSettings

from .platform_harness import Platform, configuration, wait

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


@pytest.fixture
def platform():
    services = [
        {"name": name, "health_path": "/h", "warmup_s": 3.0, "warmup_per_s": 3.1}
        for name in ("desk", "yard")
    ]
    with Platform() as platform:
        platform.publish(configuration(3, services=services))
        platform.start_host("h1", "desk")
        platform.start_host("h2", "yard")
        platform.wait_until_served("h1", "/inner/first")
        yield platform


class Load:
    """Threads that send reads for the target of h2 until they are stopped."""

    def __init__(self, platform, count=24):
        self.platform = platform
        self.stopped = threading.Event()
        self.statuses = []
        self.threads = [
            threading.Thread(target=self.run, daemon=True) for _ in range(count)
        ]

    def run(self):
        while not self.stopped.is_set():
            try:
                status = self.platform.send("h1", "/inner/x", deadline_ms=2000).status
            except OSError:
                status = 0
            self.statuses.append(status)
            if status != 200:
                wait(0.05)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exception):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def start_cold_target(platform, *arguments):
    platform.start_endpoint(
        "h2", "yard", "--warmup", "3", "--cold-limit", str(LIMIT), *arguments
    )


def check_target(platform, least):
    """Check that the target has not ended, and how much of the limit was used."""
    assert platform.processes["target-h2"].process.poll() is None
    most = platform.target_state("h2")["most_while_cold"]
    assert least <= most <= LIMIT


@pytest.mark.parametrize("is_loaded", [True, False])
def test_target_that_restarts_cold_under_its_id_is_not_overrun(platform, is_loaded):
    """No heartbeat tells of it in time, and an idle node sees no refused connection."""
    with Load(platform):
        wait(1.0)
        if is_loaded:
            platform.processes["target-h2"].kill()
            wait(0.3)
            start_cold_target(platform, "--heartbeat-delay", "4")
            wait(4.0)
    if not is_loaded:
        platform.processes["target-h2"].kill()
        start_cold_target(platform, "--heartbeat-delay", "4")
        with Load(platform):
            wait(3.5)
    check_target(platform, LIMIT // 2)
    reasons = {line["reason"] for line in platform.log_lines("h2", "target_cold")}
    assert ("refused" if is_loaded else "reconnected") in reasons
    platform.wait_for(lambda: platform.log_lines("h2", "target_warm"), "is warm")


def test_target_is_not_overrun_when_the_node_beside_it_is_killed(platform):
    """The new process does not know what the former one sent in the last second."""
    platform.processes["target-h2"].kill()
    with Load(platform):
        start_cold_target(platform, "--warmup", "8")
        wait(1.5)
        platform.processes["h2"].kill()
        platform.start_node("h2", "yard")
        wait(6.0)
    check_target(platform, LIMIT // 2)


def test_health_check_ends_an_assumption_that_does_not_hold(platform):
    """Guards against a warm target that gets 12 requests a second until a heartbeat."""
    platform.configure_target("h2", silent=True)
    platform.processes["h2"].kill()
    platform.start_node("h2", "yard")
    platform.configure_target("h2", silent=False)
    platform.wait_until_served("h1", "/inner/x")
    with Load(platform):
        wait(2.0)
    (line, *_) = platform.log_lines("h2", "target_warm")
    assert line["origin"] == "health check"
    assert platform.log_lines("h2", "health_check_failed") == []

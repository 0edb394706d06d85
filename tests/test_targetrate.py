"""Rate limits that targets state: the bucket, and real nodes between stand-ins."""

import threading
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaywheel.mesh.targetrate import RememberedRates, TargetRateLimit, parse_rate
from carawaywheel.refusals import Importance

from .platform_harness import Platform, configuration, wait

# The bound of the users' pages: over 4 s at most one and a half times the limit and 5.
WINDOW_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


def most_in_window(times):
    """Return the highest number of times within any window."""
    times = sorted(times)
    return max(
        sum(start <= other < start + WINDOW_SECONDS for other in times)
        for start in times
    )


@given(
    rate=st.floats(0.0, 200.0),
    restart_at=st.floats(0.0, 8.0),
    down=st.floats(0.0, 2.0),
    demand=st.integers(1, 40),
)
def test_no_window_exceeds_the_limit_over_a_restart(rate, restart_at, down, demand):
    """Each process starts with what the callers remember."""
    remembered = RememberedRates()
    limit = TargetRateLimit()
    limit.record_response(rate, 0.0)
    remembered.record_response("h2", rate, 0.0)
    sent = []
    restarted = False
    for step in range(200):
        now = 0.05 * step
        if not restarted and now >= restart_at + down:
            restarted, limit = True, TargetRateLimit()
        if restart_at <= now < restart_at + down:
            continue
        limit.assume(remembered.rate("h2", now), now)
        sent += [now] * sum(limit.take(Importance.NORMAL, now) for _ in range(demand))
    allowed = ALLOWED_FACTOR * rate * WINDOW_SECONDS + ALLOWED_EXTRA
    assert most_in_window([0.0, *sent]) - 1 <= allowed
    assert len(sent) >= 0.9 * (10.0 - down) * min(rate, 20.0 * demand) - 2


@given(
    changes=st.lists(
        st.tuples(st.integers(1, 60), st.floats(0.0, 100.0)), min_size=1, max_size=5
    )
)
def test_no_window_exceeds_a_limit_that_rises_and_falls(changes):
    limit = TargetRateLimit()
    rates, sent = [], []
    for steps, rate in changes:
        for _ in range(steps):
            now = 0.05 * len(rates)
            limit.record_response(rate, now)
            taken = sum(limit.take(Importance.NORMAL, now) for _ in range(20))
            rates.append(rate)
            sent.append(taken)
    window = int(WINDOW_SECONDS / 0.05)
    for start in range(len(rates)):
        allowed = ALLOWED_FACTOR * 0.05 * sum(rates[start : start + window])
        assert sum(sent[start : start + window]) <= allowed + ALLOWED_EXTRA + 1


def test_target_that_takes_nothing_is_asked_now_and_then():
    """Otherwise no response would tell that its limit has ended."""
    limit = TargetRateLimit()
    limit.record_response(0.0, 0.0)
    taken = [now for now in range(30) if limit.take(Importance.NORMAL, float(now))]
    assert 10 <= len(taken) <= 17


def test_limit_ends_once_responses_no_longer_state_it():
    limit = TargetRateLimit()
    limit.record_response(5.0, 0.0)
    assert not limit.record_response(None, 0.2)
    assert limit.rate == 5.0
    assert limit.record_response(None, 0.8)
    assert limit.rate is None and limit.take(Importance.SHEDDABLE, 0.8)


def test_limit_that_a_peer_remembers_gives_way_to_the_target():
    limit = TargetRateLimit()
    assert limit.assume(5.0, 0.0)
    assert not limit.assume(9.0, 0.1)
    limit.record_response(None, 1.0)
    assert limit.rate is None
    assert not limit.assume(5.0, 1.1)


def test_remembered_limit_is_forgotten():
    remembered = RememberedRates()
    remembered.record_response("h2", 5.0, 0.0)
    assert remembered.rate("h2", 5.0) == 5.0
    assert remembered.rate("h2", 60.0) is None
    remembered.record_response("h2", 5.0, 61.0)
    remembered.record_response("h2", None, 62.0)
    assert remembered.rate("h2", 62.0) is None


def test_last_class_leaves_part_of_the_limit_to_the_others():
    limit = TargetRateLimit()
    limit.record_response(8.0, 0.0)
    assert not limit.take(Importance.SHEDDABLE, 0.0)
    assert limit.take(Importance.CRITICAL, 0.0)
    assert limit.take(Importance.SHEDDABLE, 1.0)


@pytest.mark.parametrize("text", ["", "many", "nan", "inf", "-1", "1,5"])
def test_limit_that_is_no_number_is_no_limit(text):
    assert parse_rate(text) is None


class Senders:
    """Threads that send reads to nodes until they are stopped, and heed Retry-After."""

    def __init__(self, platform, names, count, path="/inner"):
        self.platform = platform
        self.path = path
        self.stopped = threading.Event()
        self.statuses = []
        self.threads = [
            threading.Thread(target=self.run, args=(name, index), daemon=True)
            for name in names
            for index in range(count)
        ]

    def run(self, name, index):
        number = 0
        while not self.stopped.is_set():
            number += 1
            try:
                response = self.platform.send(
                    name, f"{self.path}/{name}-{index}-{number}"
                )
                self.statuses.append(response.status)
                wait(float(response.headers.get("retry-after", 0.0)))
            except OSError:
                # The node is being restarted.
                wait(0.05)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exception):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


@pytest.fixture
def platform():
    with Platform() as platform:
        platform.publish(configuration(3))
        for name, service in (("h1", "desk"), ("h2", "yard"), ("h3", "desk")):
            platform.start_host(name, service)
        for name in ("h1", "h3"):
            platform.wait_until_served(name, "/inner/first")
        yield platform


def check_limit(platform, rate, since):
    times = [run["at"] for run in platform.runs("h2", "/inner/") if run["at"] >= since]
    allowed = ALLOWED_FACTOR * rate * WINDOW_SECONDS + ALLOWED_EXTRA
    assert most_in_window(times) <= allowed
    return times


def test_target_gets_no_more_requests_than_the_limit_it_stated(platform):
    """Two nodes send; the limit holds for both together and ends when it is lifted."""
    platform.configure_target("h2", rate_limit="8.0")
    with Senders(platform, ("h1", "h3"), 4) as senders:
        platform.wait_for(
            lambda: platform.log_lines("h2", "target_rate_limit"), "is known"
        )
        since = time.time() + 0.5
        wait(4.5)
        times = check_limit(platform, 8.0, since)
        assert len(times) >= 0.8 * 8.0 * 4.0
        assert set(senders.statuses) <= {200, 503}
        platform.configure_target("h2", rate_limit="")
        lifted = len(platform.runs("h2"))
        platform.wait_for(lambda: len(platform.runs("h2")) > lifted + 100, "is lifted")


def test_limit_of_a_target_holds_after_its_node_was_killed(platform):
    platform.configure_target("h2", rate_limit="8.0")
    with Senders(platform, ("h1", "h3"), 4):
        platform.wait_for(
            lambda: platform.log_lines("h2", "target_rate_limit"), "is known"
        )
        since = time.time() + 0.5
        wait(1.0)
        platform.processes["h2"].kill()
        platform.start_node("h2", "yard")
        restarted = len(platform.runs("h2"))
        platform.wait_for(lambda: len(platform.runs("h2")) > restarted, "serves again")
        wait(3.0)
        check_limit(platform, 8.0, since)
    origins = [line["origin"] for line in platform.log_lines("h2", "target_rate_limit")]
    assert "peer" in origins


def test_other_targets_take_what_a_limited_one_does_not(platform):
    platform.start_host("h4", "yard")
    platform.configure_target("h2", rate_limit="2.0")
    platform.wait_for(
        lambda: platform.send("h1", "/inner/x") and platform.runs("h4"), "h4 is used"
    )
    with Senders(platform, ("h1",), 2) as senders:
        wait(3.0)
    refused = [status for status in senders.statuses if status != 200]
    assert len(refused) <= 0.02 * len(senders.statuses)


def test_requests_whose_calls_exceed_a_limit_are_shed_at_the_entry(platform):
    """Refusing the calls alone would waste the work of the requests that make them."""
    platform.configure_target("h1", call="mesh.example/inner/called")
    platform.configure_target("h3", call="mesh.example/inner/called")
    platform.configure_target("h2", rate_limit="10.0")
    with Senders(platform, ("h1", "h3"), 8, "/read"):
        platform.wait_for(
            lambda: [
                line
                for line in platform.log_lines("h1", "shed")
                if line["service"] == "yard"
            ],
            "requests are shed",
        )


def test_malformed_limit_is_logged_and_changes_nothing(platform):
    platform.configure_target("h2", rate_limit="plenty")
    assert platform.send("h1", "/inner/x").status == 200
    (line, *_) = platform.wait_for(
        lambda: platform.log_lines("h2", "rate_limit_invalid"), "is logged"
    )
    assert line["stated"] == "plenty"

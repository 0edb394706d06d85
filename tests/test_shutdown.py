"""Graceful stops of mesh nodes, as callers and targets see them."""

import signal

import pytest

from .platform_harness import Platform, configuration, route

GRACE_SECONDS = 6.0


@pytest.fixture
def platform():
    with Platform() as platform:
        routes = [
            route("order", "non_idempotent", "yard", 0, timeout_s=9.0),
            route("inner", "idempotent", "yard", 2),
        ]
        platform.publish(configuration(3, routes))
        platform.start_host("h1", "desk")
        platform.start_host("h2", "yard")
        platform.wait_until_served("h1", "/inner/x")
        yield platform


def stop(platform, name):
    """Stop a node and wait until it has exited within the grace time."""
    platform.processes[name].signal(signal.SIGTERM)
    assert platform.processes[name].process.wait(GRACE_SECONDS) == 0


def test_request_that_outlasts_the_grace_time_is_logged(platform):
    platform.configure_target("h2", work=9.0)
    platform.send_in_background("h1", "/order/1", "POST", deadline_ms=9000)
    (run,) = platform.wait_for(lambda: platform.runs("h2", "/order/1"), "it runs")
    stop(platform, "h1")
    (line,) = platform.log_lines("h1", "cut_off")
    assert line["request"] == run["headers"]["x-attempt-id"]
    assert line["ran"] == "unknown"

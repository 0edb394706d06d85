"""End-to-end tests of mesh nodes as real processes with platform stand-ins."""

import json
import resource
import signal
import time
from pathlib import Path

import pytest

from .failing_node import COMPONENTS
from .platform_harness import Platform, configuration, route, wait


@pytest.fixture
def platform():
    with Platform() as platform:
        platform.publish(configuration(3))
        yield platform


def resident_megabytes(platform, name):
    """Return the resident memory of a node in megabytes."""
    pid = platform.processes[name].process.pid
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / (1 << 20)


def wait_until_known(platform, *names):
    """Wait until h1 knows that the targets of hosts are ready."""

    def known():
        lines = platform.log_lines("h1", "host")
        ready = {line["id"] for line in lines if line["phase"] == 0}
        return ready.issuperset(names)

    platform.wait_for(known, f"{names} are known")


def start_two_hosts(platform, *yard_arguments):
    platform.start_host("h1", "desk")
    platform.start_host("h2", "yard", *yard_arguments)
    platform.wait_until_served("h1", "/inner/x")
    platform.wait_until_served("h1", "/read/x")


def test_request_is_served_over_two_nodes(platform):
    start_two_hosts(platform)
    response = platform.send("h1", "/order/7?q=1", "POST", b"two crews")
    assert response.status == 200 and response.complete
    assert response.headers["x-response-signature"]
    (run,) = platform.runs("h2", "/order/7")
    assert run["body"] == 9
    assert run["headers"]["x-tenant"] == "mill"
    assert run["headers"]["x-caller-service"] == "desk"
    assert run["headers"]["x-expected-instance"] == "i-h2"
    assert "authorization" not in run["headers"]
    assert "x-cw-call" not in run["headers"]


def test_clients_need_a_key_and_calls_of_targets_do_not(platform):
    platform.start_host("h1", "desk", "--call", "mesh.example/inner/deep")
    platform.start_host("h2", "yard")
    platform.wait_until_served("h1", "/read/x")
    (run, *_) = platform.runs("h2", "/inner/deep")
    assert run["headers"]["x-caller-service"] == "desk"
    assert platform.send("h1", "/order/1", "POST", key="").status == 401
    assert platform.send("h1", "/order/1", "POST", key="wrong").status == 401
    assert platform.send("h1", "/nothing/1").status == 404


def test_non_idempotent_request_with_lost_response_is_not_retried(platform):
    start_two_hosts(platform)
    platform.start_host("h3", "yard")
    wait_until_known(platform, "h3")
    for name in ("h2", "h3"):
        platform.configure_target(name, mode="lost")
    response = platform.send("h1", "/order/1", "POST")
    assert response.status == 502
    runs = platform.runs("h2", "/order/1") + platform.runs("h3", "/order/1")
    assert len(runs) == 1


@pytest.mark.parametrize("mode", ["lost", "cut", "crossed"])
def test_idempotent_request_with_bad_response_is_retried(platform, mode):
    start_two_hosts(platform)
    platform.start_host("h3", "desk")
    wait_until_known(platform, "h3")
    platform.configure_target("h3", mode=mode)
    for index in range(12):
        response = platform.send("h1", f"/read/{index}")
        assert response.status == 200 and response.complete
        assert json.loads(response.body)["id"] == "i-h1"


def test_idempotent_request_with_error_of_leaf_target_is_retried(platform):
    """A target that fails half of its requests still passes its health checks."""
    start_two_hosts(platform)
    platform.start_host("h3", "desk")
    wait_until_known(platform, "h3")
    platform.configure_target("h3", mode="fail")
    responses = [platform.send("h2", f"/read/{index}") for index in range(16)]
    assert [response.status for response in responses] == [200] * 16
    assert 1 <= len(platform.runs("h3", "/read/")) <= 8


def test_request_fails_fast_while_its_calls_are_rejected(platform):
    """Otherwise each request is executed and then fails at its calls."""
    platform.start_host("h1", "desk", "--call", "mesh.example/inner/1")
    platform.start_host("h2", "yard")
    platform.wait_until_served("h1", "/read/1")

    def refused():
        response = platform.send("h1", "/read/2")
        return response.status == 503 and float(response.headers["retry-after"]) > 1

    platform.configure_target("h2", mode="shed")
    platform.wait_for(refused, "refused at the entry", 20.0)
    refusal, *_ = platform.wait_for(
        lambda: platform.log_lines("h1", "hopeless"), "is logged"
    )
    assert refusal["service"] == "yard" and refusal["accepted"] < 0.5
    platform.configure_target("h2", mode="none")
    platform.wait_until_served("h1", "/read/3", 20.0)


def test_bad_response_is_never_forwarded_as_complete(platform):
    start_two_hosts(platform)
    for mode in ("cut", "crossed", "lost"):
        platform.configure_target("h2", mode=mode)
        response = platform.send("h1", "/order/1", "POST")
        assert response.status in (502, 504)
        assert "x-response-signature" not in response.headers


def test_target_that_replaced_another_runs_none_of_its_requests(platform):
    start_two_hosts(platform, "--slots", "4", "--work", "0.5")
    responses = [
        platform.send_in_background("h1", f"/order/{i}", "POST") for i in range(12)
    ]
    platform.wait_for(lambda: len(platform.runs("h2", "/order/")) >= 3, "three run")
    platform.configure_target("h2", identity="i-other")
    results = [response.result(8.0) for response in responses]
    assert {response.status for response in results} <= {200, 503}
    refused = [response for response in results if response.status == 503]
    assert refused
    assert {json.loads(response.body)["ran"] for response in refused} == {"not_run"}
    ran = {run["path"] for run in platform.runs("h2", "/order/")}
    assert len(ran) + len(refused) == 12
    assert peak_active_requests(platform, "h2") == 3
    assert not platform.log_lines("h2", "call_failed")


def test_retries_after_rejections_count_against_the_retry_budget(platform):
    start_two_hosts(platform)
    for name in ("h3", "h4", "h5"):
        platform.start_host(name, "yard")
    wait_until_known(platform, "h3", "h4", "h5")
    for name in ("h2", "h3", "h4", "h5"):
        platform.configure_target(name, mode="shed")
    for index in range(60):
        platform.send("h1", f"/inner/{index}")
    arrivals = sum(platform.rejected_count(name) for name in ("h2", "h3", "h4", "h5"))
    # The service gets no client requests, so only the retry slack allows retries.
    assert arrivals - 60 <= 48


def test_requests_queued_for_a_draining_target_are_refused(platform):
    """Requests still queued when the target stops would be cut off."""
    start_two_hosts(platform, "--slots", "4", "--work", "0.5")
    responses = [
        platform.send_in_background("h1", f"/order/{i}", "POST") for i in range(12)
    ]
    platform.wait_for(lambda: len(platform.runs("h2", "/order/")) == 3, "three run")
    platform.configure_target("h2", phase="draining")
    drained_at = time.time()
    results = [response.result(8.0).status for response in responses]
    assert sorted(results) == [200] * 3 + [503] * 9
    assert all(run["at"] < drained_at + 0.1 for run in platform.runs("h2", "/order/"))


def test_unreachable_target_gets_no_requests(platform):
    """Otherwise each request waits for a connection that cannot be opened."""
    start_two_hosts(platform)
    platform.start_host("h3", "yard")
    wait_until_known(platform, "h3")
    platform.wait_until_served("h3", "/order/1")
    platform.processes["target-h2"].kill()
    results = [platform.send("h1", f"/order/{i}", "POST").status for i in range(30)]
    assert results == [200] * 30
    for name, event in (("h2", "target_unreachable"), ("h1", "host_suspended")):
        platform.wait_for(
            lambda name=name, event=event: platform.log_lines(name, event),
            f"{name} logs {event}",
            2.0,
        )


def test_draining_target_gets_no_new_requests(platform):
    start_two_hosts(platform)
    platform.start_host("h3", "yard")
    wait_until_known(platform, "h3")
    platform.configure_target("h2", phase="draining")
    runs_before = len(platform.runs("h2"))
    for index in range(10):
        assert platform.send("h1", f"/order/{index}", "POST").status == 200
    assert len(platform.runs("h2")) == runs_before


def test_draining_takes_effect_while_the_store_is_down(platform):
    start_two_hosts(platform)
    platform.control(platform.store_address, {"down": True})
    platform.configure_target("h2", phase="draining")
    runs_before = len(platform.runs("h2"))
    response = platform.send("h1", "/order/1", "POST")
    assert response.status == 503
    assert json.loads(response.body)["ran"] == "not_run"
    assert len(platform.runs("h2")) == runs_before


def test_newer_configuration_applies_and_older_is_ignored(platform):
    start_two_hosts(platform)
    routes = [route("read", "idempotent", "desk", 1)]
    platform.publish(configuration(9, routes))
    platform.wait_for(
        lambda: platform.send("h1", "/order/1", "POST").status == 404, "r9 is in force"
    )
    platform.publish(configuration(8))
    platform.publish({"version": "r10", "virtual_hosts": 7})
    platform.wait_for(
        lambda: platform.log_lines("h1", "configuration_invalid"), "r10 is read"
    )
    assert platform.send("h1", "/order/1", "POST").status == 404
    assert platform.send("h1", "/read/1").status == 200


def test_compacted_store_loses_no_configuration_change(platform):
    start_two_hosts(platform)
    platform.publish(configuration(4))
    platform.control(platform.store_address, {"compact": "keyed.op"})
    platform.publish(configuration(5, [route("read", "idempotent", "desk", 1)]))
    platform.wait_for(
        lambda: platform.send("h1", "/order/1", "POST").status == 404, "r5 is in force"
    )


def test_node_restarted_while_the_store_is_down_gets_state_from_peers(platform):
    start_two_hosts(platform)
    platform.control(platform.store_address, {"down": True})
    platform.processes["h2"].kill()
    platform.start_node("h2", "yard")
    platform.wait_for(
        lambda: platform.send("h1", "/order/1", "POST").status == 200,
        "the restarted node serves",
        8.0,
    )
    assert platform.readiness_status("h2") == 200


def test_node_without_configuration_is_not_ready_and_refuses():
    with Platform() as platform:
        platform.start_node("h1", "desk")
        platform.wait_for(
            lambda: platform.readiness_status("h1") == 503, "the node listens"
        )
        response = platform.send("h1", "/read/1")
        assert response.status == 503
        assert json.loads(response.body)["ran"] == "not_run"


def test_unreadable_first_configuration_is_reported_by_all_nodes():
    """Otherwise the nodes that do not read the store serve nothing without a reason."""
    names = ("h1", "h2", "h3", "h4")
    with Platform() as platform:
        platform.publish({"version": "r9", "virtual_hosts": 7})
        for name in names:
            platform.start_host(name, "desk")
        for name in names:
            body = platform.wait_for(
                lambda name=name: (
                    (body := platform.readiness(name)[1]).get("version") == 9 and body
                ),
                f"{name} tells why it is not ready",
                20.0,
            )
            assert "$.virtual_hosts" in body["error"]
        platform.publish(configuration(10))
        platform.wait_until_served("h1", "/read/x")
        assert platform.readiness("h1") == (200, {})
        for name in names:
            (line,) = platform.wait_for(
                lambda name=name: platform.log_lines(name, "configuration_invalid"),
                f"{name} has written its log",
            )
            assert line["version"] == 9


def test_graceful_stop_completes_requests_in_flight(platform):
    start_two_hosts(platform)
    platform.configure_target("h2", work=1.5)
    responses = [
        platform.send_in_background("h1", f"/order/{index}", "POST")
        for index in range(5)
    ]
    platform.wait_for(lambda: len(platform.runs("h2", "/order/")) == 5, "all run")
    for name in ("h1", "h2"):
        platform.processes[name].signal(signal.SIGTERM)
    platform.wait_for(
        lambda: platform.readiness_status("h1") != 200, "h1 is not ready", 1.0
    )
    assert [response.result(8.0).status for response in responses] == [200] * 5
    assert platform.processes["h1"].process.wait(7.0) == 0
    assert platform.processes["h2"].process.wait(7.0) == 0


def test_hangup_signal_reloads_without_breaking_requests(platform):
    start_two_hosts(platform)
    platform.configure_target("h2", work=0.8)
    response = platform.send_in_background("h1", "/order/1", "POST")
    platform.wait_for(lambda: platform.runs("h2", "/order/"), "it runs")
    platform.processes["h1"].signal(signal.SIGHUP)
    platform.wait_for(
        lambda: platform.log_lines("h1", "reload"), "the reload is logged"
    )
    assert response.result(8.0).status == 200


def test_malformed_settings_file_keeps_the_previous_settings(platform):
    start_two_hosts(platform)
    (platform.work_dir / "h1.toml").write_text("node_name = 7")
    platform.processes["h1"].signal(signal.SIGHUP)
    platform.wait_for(lambda: platform.log_lines("h1", "reload_failed"), "it is logged")
    assert platform.send("h1", "/read/1").status == 200


def test_client_disconnect_cancels_the_request(platform):
    start_two_hosts(platform)
    platform.configure_target("h2", work=3.0)
    platform.send("h1", "/inner/long", timeout=0.3)
    platform.wait_for(lambda: platform.runs("h2", "/inner/long"), "it ran")
    platform.wait_for(
        lambda: active_requests(platform, "h2") == 0, "it was cancelled", 1.5
    )
    assert not platform.runs("h2", "/inner/long")[0]["done"]


def active_requests(platform, name):
    """Return the number of requests in progress at a target."""
    import curio

    from standins.caller import request

    address = platform.address(name, "app")
    response = curio.run(request, address, "POST", "/control", [], b"{}", 5.0)
    return json.loads(response.body)["running"]


def test_concurrent_requests_at_a_target_are_limited_by_its_slots(platform):
    start_two_hosts(platform, "--slots", "4", "--work", "0.2")
    responses = [
        platform.send_in_background("h1", f"/inner/{index}") for index in range(12)
    ]
    assert {response.result(8.0).status for response in responses} == {200}
    assert peak_active_requests(platform, "h2") <= 3


def peak_active_requests(platform, name):
    """Return the highest number of concurrent requests at a target."""
    import curio

    from standins.caller import request

    address = platform.address(name, "app")
    response = curio.run(request, address, "GET", "/runs", [], b"", 5.0)
    return json.loads(response.body)["most"]


def test_route_timeout_is_enforced(platform):
    routes = [route("read", "idempotent", "desk", 1, timeout_s=0.5)]
    platform.publish(configuration(7, routes))
    platform.start_host("h1", "desk", "--work", "3")
    response = platform.wait_for(
        lambda: (
            (result := platform.send("h1", "/read/1", timeout=1.2)).status == 504
            and result
        ),
        "the time limit is kept",
    )
    assert json.loads(response.body)["ran"] == "unknown"


def test_logs_of_both_nodes_record_a_refused_request(platform):
    start_two_hosts(platform)
    platform.configure_target("h2", mode="shed")
    response = platform.send("h1", "/order/1", "POST")
    assert json.loads(response.body)["reason"] == "target_shed"

    def refused():
        lines = platform.log_lines("h1", "refused")
        return [refusal for refusal in lines if refusal["reason"] == "target_shed"]

    (refusal,) = platform.wait_for(refused, "the refusal is logged")
    assert refusal["ran"] == "not_run" and refusal["status"] == 503

    def turned_away():
        lines = platform.log_lines("h2", "turned_away")
        return [item for item in lines if item["request"] == refusal["request"]]

    platform.wait_for(turned_away, "the node beside the target logged it, too")


def test_large_body_and_large_response_arrive_complete(platform):
    start_two_hosts(platform, "--bytes", "1500000")
    body = bytes(2_000_000)
    response = platform.send("h1", "/bundle/1", "POST", body)
    assert response.status == 200 and response.complete
    assert len(response.body) == 1_500_000
    assert platform.runs("h2", "/bundle/1")[0]["body"] == len(body)
    small = platform.send("h1", "/bundle/2", "POST", b"x")
    assert small.status == 200 and len(small.body) == 1_500_000


def test_truncated_large_response_is_not_forwarded_as_complete(platform):
    start_two_hosts(platform, "--bytes", "1500000")
    platform.configure_target("h2", mode="cut-late")
    response = platform.send("h1", "/bundle/1", "POST", b"x")
    assert not (response.status == 200 and response.complete)


def test_broken_download_is_repeated_only_before_it_reaches_the_caller(platform):
    """A second response after the first bytes of another one would corrupt a file."""
    routes = [
        route("file", "download", "desk", 1),
        route("read", "idempotent", "desk", 1),
    ]
    platform.publish(configuration(4, routes))
    for name in ("h1", "h2"):
        platform.start_host(name, "desk", "--bytes", "1500000")
    platform.wait_until_served("h1", "/file/x")
    wait_until_known(platform, "h2")
    platform.configure_target("h2", mode="cut")
    for index in range(8):
        response = platform.send("h1", f"/file/early/{index}")
        assert response.status == 200 and response.complete
        assert len(response.body) == 1_500_000
    assert platform.runs("h2", "/file/early/")
    for name in ("h1", "h2"):
        platform.configure_target(name, mode="cut-late")
    for index in range(4):
        path = f"/file/late/{index}"
        assert not platform.send("h1", path).complete
        assert len(platform.runs("h1", path) + platform.runs("h2", path)) == 1


def test_body_over_the_limit_is_refused(platform):
    limits = {"max_body_bytes": 1000}
    platform.publish(configuration(4, limits=limits))
    start_two_hosts(platform)
    assert platform.send("h1", "/bundle/1", "POST", bytes(5000)).status == 413


def test_killed_node_fails_only_its_own_requests(platform):
    start_two_hosts(platform)
    platform.start_host("h3", "yard")
    wait_until_known(platform, "h3")
    platform.processes["h2"].kill()
    statuses = [platform.send("h1", f"/inner/{index}").status for index in range(20)]
    assert statuses.count(200) >= 19


def test_errors_in_background_components_stop_neither_node_nor_requests(platform):
    """One unexpected error must not take the whole process down."""
    platform.start_host("h1", "desk")
    platform.start_node("h2", "yard", program="tests.failing_node")
    platform.start_endpoint("h2", "yard", "--work", "0.4")
    platform.wait_until_served("h1", "/inner/x")
    responses = []

    def all_failed():
        responses.append(platform.send("h1", f"/order/{len(responses)}", "POST"))
        failed = {line["part"] for line in platform.log_lines("h2", "part_failed")}
        return len(failed) >= len(COMPONENTS)

    platform.wait_for(all_failed, "every component has failed once", 20.0)
    assert platform.processes["h2"].process.poll() is None
    for response in responses:
        assert response.complete and response.status in (200, 503)
    served = sum(response.status == 200 for response in responses)
    assert served >= len(responses) - 1
    assert platform.wait_until_served("h1", "/inner/y", 5.0)
    assert platform.wait_until_served("h2", "/inner/z", 5.0)


@pytest.mark.parametrize("part", ["header", "trickle", "extension", "garbage"])
def test_bytes_without_end_instead_of_a_response_are_cut_off(platform, part):
    start_two_hosts(platform)
    platform.configure_target("h2", mode=f"endless-{part}")
    started_at = time.monotonic()
    response = platform.send("h1", "/order/1", "POST", deadline_ms=1500)
    assert response.status in (502, 504) and response.complete
    assert "x-response-signature" not in response.headers
    assert time.monotonic() - started_at < 2.5
    assert len(platform.runs("h2", "/order/1")) == 1
    assert resident_megabytes(platform, "h2") < 100
    platform.configure_target("h2", mode="none")
    assert platform.wait_until_served("h1", "/inner/y", 5.0)


@pytest.mark.parametrize("part", ["chunks", "trailers", "unframed"])
def test_body_without_end_is_never_complete(platform, part):
    start_two_hosts(platform)
    platform.configure_target("h2", mode=f"endless-{part}")
    response = platform.send("h1", "/order/1", "POST", deadline_ms=1500)
    assert response.status in (502, 504) or not response.complete
    assert response.seconds < 2.5
    for name in ("h1", "h2"):
        assert resident_megabytes(platform, name) < 100
    platform.configure_target("h2", mode="none")
    assert platform.wait_until_served("h1", "/inner/y", 5.0)


def test_response_without_an_id_on_a_used_connection_is_not_forwarded(platform):
    """It may be a late second copy of the response to an earlier request."""
    start_two_hosts(platform)
    assert platform.send("h1", "/order/1", "POST").status == 200
    platform.configure_target("h2", mode="anonymous")
    response = platform.send("h1", "/order/2", "POST")
    assert response.status == 502
    assert "x-response-signature" not in response.headers


@pytest.mark.parametrize("paused", ["h1", "h2"])
def test_paused_node_runs_no_request_whose_deadline_has_passed(platform, paused):
    """The time that the caller gave has passed while the request waited unread."""
    start_two_hosts(platform)
    assert platform.send("h1", "/order/1", "POST").status == 200
    platform.processes[paused].signal(signal.SIGSTOP)
    response = platform.send_in_background("h1", "/order/2", "POST", deadline_ms=1000)
    wait(2.0)
    platform.processes[paused].signal(signal.SIGCONT)
    assert response.result(8.0).status in (502, 503, 504)
    assert platform.wait_until_served("h1", "/inner/y", 5.0)
    assert not platform.runs("h2", "/order/2")

"""The mesh node as a real process between stand-ins of the platform."""

import json
import signal
import time

import pytest

from .platform_harness import Platform, configuration, route


@pytest.fixture
def platform():
    with Platform() as platform:
        platform.publish(configuration(3))
        yield platform


def start_pair(platform, *yard):
    platform.start_host("h1", "desk")
    platform.start_host("h2", "yard", *yard)
    platform.wait_served("h1", "/inner/x")
    platform.wait_served("h1", "/read/x")


def test_request_is_served_over_two_nodes(platform):
    start_pair(platform)
    answer = platform.send("h1", "/order/7?q=1", "POST", b"two crews")
    assert answer.status == 200 and answer.whole
    assert answer.headers["x-response-signature"]
    (run,) = platform.runs("h2", "/order/7")
    assert run["body"] == 9
    assert run["headers"]["x-tenant"] == "mill"
    assert run["headers"]["x-caller-service"] == "desk"
    assert run["headers"]["x-expected-instance"] == "i-h2"
    assert "authorization" not in run["headers"]
    assert "x-cw-call" not in run["headers"]


def test_calls_of_a_target_need_no_key_and_clients_do(platform):
    platform.start_host("h1", "desk", "--call", "mesh.example/inner/deep")
    platform.start_host("h2", "yard")
    platform.wait_served("h1", "/read/x")
    (run, *_) = platform.runs("h2", "/inner/deep")
    assert run["headers"]["x-caller-service"] == "desk"
    assert platform.send("h1", "/order/1", "POST", key="").status == 401
    assert platform.send("h1", "/order/1", "POST", key="wrong").status == 401
    assert platform.send("h1", "/nothing/1").status == 404


def test_lost_answer_of_an_order_is_not_repeated(platform):
    start_pair(platform)
    platform.start_host("h3", "yard")
    platform.wait_for(lambda: len(platform.log("h1", "host")) >= 3, "h3 is known")
    for name in ("h2", "h3"):
        platform.order(name, mode="lost")
    answer = platform.send("h1", "/order/1", "POST")
    assert answer.status == 502
    runs = platform.runs("h2", "/order/1") + platform.runs("h3", "/order/1")
    assert len(runs) == 1


@pytest.mark.parametrize("mode", ["lost", "cut", "crossed"])
def test_spoiled_answer_of_a_read_is_repeated_and_arrives_whole(platform, mode):
    start_pair(platform)
    platform.start_host("h3", "desk")
    platform.wait_for(lambda: platform.log("h1", "host")[2:], "h3 is known")
    platform.order("h3", mode=mode)
    for index in range(12):
        answer = platform.send("h1", f"/read/{index}")
        assert answer.status == 200 and answer.whole
        assert json.loads(answer.body)["id"] == "i-h1"


def test_failed_read_of_a_target_without_calls_is_repeated(platform):
    """A target that fails half of its requests passes its health checks."""
    start_pair(platform)
    platform.start_host("h3", "desk")
    platform.wait_for(lambda: platform.log("h1", "host")[2:], "h3 is known")
    platform.order("h3", mode="fail")
    answers = [platform.send("h2", f"/read/{index}") for index in range(16)]
    assert [answer.status for answer in answers] == [200] * 16
    assert 1 <= len(platform.runs("h3", "/read/")) <= 8


def test_request_whose_calls_are_rejected_is_refused_before_it_runs(platform):
    """Its target would work on it and fail, again and again."""
    platform.start_host("h1", "desk", "--call", "mesh.example/inner/1")
    platform.start_host("h2", "yard")
    platform.wait_served("h1", "/read/1")

    def refused():
        answer = platform.send("h1", "/read/2")
        return answer.status == 503 and float(answer.headers["retry-after"]) > 1

    platform.order("h2", mode="shed")
    platform.wait_for(refused, "refused at the entry", 20.0)
    line, *_ = platform.wait_for(lambda: platform.log("h1", "hopeless"), "is logged")
    assert line["service"] == "yard" and line["accepted"] < 0.5
    platform.order("h2", mode="none")
    platform.wait_served("h1", "/read/3", 20.0)


def test_spoiled_answer_never_looks_whole(platform):
    start_pair(platform)
    for mode in ("cut", "crossed", "lost"):
        platform.order("h2", mode=mode)
        answer = platform.send("h1", "/order/1", "POST")
        assert answer.status in (502, 504)
        assert "x-response-signature" not in answer.headers


def test_address_that_belongs_to_another_target_runs_nothing(platform):
    start_pair(platform, "--slots", "4", "--work", "0.5")
    answers = [platform.send_later("h1", f"/order/{i}", "POST") for i in range(12)]
    platform.wait_for(lambda: len(platform.runs("h2", "/order/")) == 3, "three run")
    platform.order("h2", identity="i-other")
    found = [answer.result(8.0) for answer in answers]
    assert {answer.status for answer in found} <= {200, 503}
    refused = [answer for answer in found if answer.status == 503]
    assert refused
    assert {json.loads(answer.body)["ran"] for answer in refused} == {"not_run"}
    assert not platform.log("h2", "call_failed")


def test_rejections_of_targets_count_as_repeats(platform):
    start_pair(platform)
    for name in ("h3", "h4", "h5"):
        platform.start_host(name, "yard")
    platform.wait_for(lambda: platform.log("h1", "host")[4:], "all are known")
    for name in ("h2", "h3", "h4", "h5"):
        platform.order(name, mode="shed")
    for index in range(60):
        platform.send("h1", f"/inner/{index}")
    arrivals = sum(platform.rejected(name) for name in ("h2", "h3", "h4", "h5"))
    # No client asked for this service, so the slack alone allows repeats.
    assert arrivals - 60 <= 48


def test_requests_that_wait_for_a_leaving_target_go_elsewhere(platform):
    """A queue longer than the time until the target ends would run into its end."""
    start_pair(platform, "--slots", "4", "--work", "0.5")
    answers = [platform.send_later("h1", f"/order/{i}", "POST") for i in range(12)]
    platform.wait_for(lambda: len(platform.runs("h2", "/order/")) == 3, "three run")
    platform.order("h2", phase="draining")
    told = time.time()
    found = [answer.result(8.0).status for answer in answers]
    assert sorted(found) == [200] * 3 + [503] * 9
    assert all(run["at"] < told + 0.1 for run in platform.runs("h2", "/order/"))


def test_target_that_accepts_no_connection_is_left_alone(platform):
    """Each request would wait for a connection that never opens."""
    start_pair(platform)
    platform.start_host("h3", "yard")
    platform.wait_for(lambda: platform.log("h1", "host")[2:], "h3 is known")
    platform.wait_served("h3", "/order/1")
    platform.programs["target-h2"].kill()
    found = [platform.send("h1", f"/order/{i}", "POST").status for i in range(30)]
    assert found == [200] * 30
    assert platform.log("h2", "target_unreachable")
    assert platform.log("h1", "host_suspended")


def test_draining_target_receives_nothing_new(platform):
    start_pair(platform)
    platform.start_host("h3", "yard")
    platform.wait_for(lambda: platform.log("h1", "host")[2:], "h3 is known")
    platform.order("h2", phase="draining")
    before = len(platform.runs("h2"))
    for index in range(10):
        assert platform.send("h1", f"/order/{index}", "POST").status == 200
    assert len(platform.runs("h2")) == before


def test_draining_binds_while_the_store_is_down(platform):
    start_pair(platform)
    platform.control(platform.store, {"down": True})
    platform.order("h2", phase="draining")
    before = len(platform.runs("h2"))
    answer = platform.send("h1", "/order/1", "POST")
    assert answer.status == 503
    assert json.loads(answer.body)["ran"] == "not_run"
    assert len(platform.runs("h2")) == before


def test_newer_configuration_is_in_force_and_older_never_returns(platform):
    start_pair(platform)
    routes = [route("read", "idempotent", "desk", 1)]
    platform.publish(configuration(9, routes))
    platform.wait_for(
        lambda: platform.send("h1", "/order/1", "POST").status == 404, "r9 is in force"
    )
    platform.publish(configuration(8))
    platform.publish({"version": "r10", "virtual_hosts": 7})
    platform.wait_for(
        lambda: platform.log("h1", "configuration_invalid"), "r10 is read"
    )
    assert platform.send("h1", "/order/1", "POST").status == 404
    assert platform.send("h1", "/read/1").status == 200


def test_dropped_history_of_the_store_loses_no_change(platform):
    start_pair(platform)
    platform.publish(configuration(4))
    platform.control(platform.store, {"compact": "keyed.op"})
    platform.publish(configuration(5, [route("read", "idempotent", "desk", 1)]))
    platform.wait_for(
        lambda: platform.send("h1", "/order/1", "POST").status == 404, "r5 is in force"
    )


def test_node_that_restarts_while_the_store_is_down_is_told_by_others(platform):
    start_pair(platform)
    platform.control(platform.store, {"down": True})
    platform.programs["h2"].kill()
    platform.start_node("h2", "yard")
    platform.wait_for(
        lambda: platform.send("h1", "/order/1", "POST").status == 200,
        "the restarted node serves",
        8.0,
    )
    assert platform.is_ready("h2") == 200


def test_node_without_a_configuration_is_not_ready_and_says_not_run():
    with Platform() as platform:
        platform.start_node("h1", "desk")
        platform.wait_for(lambda: platform.is_ready("h1") == 503, "the node listens")
        answer = platform.send("h1", "/read/1")
        assert answer.status == 503
        assert json.loads(answer.body)["ran"] == "not_run"


def test_graceful_stop_cuts_off_no_request(platform):
    start_pair(platform)
    platform.order("h2", work=1.5)
    answers = [
        platform.send_later("h1", f"/order/{index}", "POST") for index in range(5)
    ]
    platform.wait_for(lambda: len(platform.runs("h2", "/order/")) == 5, "all run")
    for name in ("h1", "h2"):
        platform.programs[name].signal(signal.SIGTERM)
    platform.wait_for(lambda: platform.is_ready("h1") != 200, "h1 is not ready", 1.0)
    assert [answer.result(8.0).status for answer in answers] == [200] * 5
    assert platform.programs["h1"].process.wait(7.0) == 0
    assert platform.programs["h2"].process.wait(7.0) == 0


def test_hangup_signal_reloads_and_cuts_nothing(platform):
    start_pair(platform)
    platform.order("h2", work=0.8)
    answer = platform.send_later("h1", "/order/1", "POST")
    platform.wait_for(lambda: platform.runs("h2", "/order/"), "it runs")
    platform.programs["h1"].signal(signal.SIGHUP)
    platform.wait_for(lambda: platform.log("h1", "reload"), "the reload is logged")
    assert answer.result(8.0).status == 200


def test_malformed_settings_file_keeps_what_the_node_had(platform):
    start_pair(platform)
    (platform.path / "h1.toml").write_text("node_name = 7")
    platform.programs["h1"].signal(signal.SIGHUP)
    platform.wait_for(lambda: platform.log("h1", "reload_failed"), "it is logged")
    assert platform.send("h1", "/read/1").status == 200


def test_leaving_client_cancels_the_run(platform):
    start_pair(platform)
    platform.order("h2", work=3.0)
    platform.send("h1", "/inner/long", timeout=0.3)
    platform.wait_for(lambda: platform.runs("h2", "/inner/long"), "it ran")
    platform.wait_for(lambda: running(platform, "h2") == 0, "it was cancelled", 1.5)
    assert not platform.runs("h2", "/inner/long")[0]["done"]


def running(platform, name):
    """Return the requests that a target works on."""
    import curio

    from standins.caller import request

    address = platform.address(name, "app")
    answer = curio.run(request, address, "POST", "/control", [], b"{}", 5.0)
    return json.loads(answer.body)["running"]


def test_slots_bound_the_requests_at_a_target(platform):
    start_pair(platform, "--slots", "4", "--work", "0.2")
    answers = [platform.send_later("h1", f"/inner/{index}") for index in range(12)]
    assert {answer.result(8.0).status for answer in answers} == {200}
    assert running_most(platform, "h2") <= 3


def running_most(platform, name):
    """Return the most requests that a target worked on at once."""
    import curio

    from standins.caller import request

    address = platform.address(name, "app")
    answer = curio.run(request, address, "GET", "/runs", [], b"", 5.0)
    return json.loads(answer.body)["most"]


def test_time_limit_of_a_route_is_answered_in_time(platform):
    routes = [route("read", "idempotent", "desk", 1, timeout_s=0.5)]
    platform.publish(configuration(7, routes))
    platform.start_host("h1", "desk", "--work", "3")
    answer = platform.wait_for(
        lambda: (
            (found := platform.send("h1", "/read/1", timeout=1.2)).status == 504
            and found
        ),
        "the time limit is kept",
    )
    assert json.loads(answer.body)["ran"] == "unknown"


def test_metrics_and_logs_lead_to_a_refused_request(platform):
    start_pair(platform)
    platform.order("h2", mode="shed")
    answer = platform.send("h1", "/order/1", "POST")
    assert json.loads(answer.body)["reason"] == "target_shed"

    def refused():
        lines = platform.log("h1", "refused")
        return [line for line in lines if line["reason"] == "target_shed"]

    (line,) = platform.wait_for(refused, "the refusal is logged")
    assert line["ran"] == "not_run" and line["status"] == 503

    def turned_away():
        lines = platform.log("h2", "turned_away")
        return [item for item in lines if item["request"] == line["request"]]

    platform.wait_for(turned_away, "the node beside the target logged it, too")


def test_large_body_and_large_answer_arrive_whole(platform):
    start_pair(platform, "--bytes", "1500000")
    body = bytes(2_000_000)
    answer = platform.send("h1", "/bundle/1", "POST", body)
    assert answer.status == 200 and answer.whole
    assert len(answer.body) == 1_500_000
    assert platform.runs("h2", "/bundle/1")[0]["body"] == len(body)
    small = platform.send("h1", "/bundle/2", "POST", b"x")
    assert small.status == 200 and len(small.body) == 1_500_000


def test_large_answer_that_is_cut_does_not_look_whole(platform):
    start_pair(platform, "--bytes", "1500000")
    platform.order("h2", mode="cut-late")
    answer = platform.send("h1", "/bundle/1", "POST", b"x")
    assert not (answer.status == 200 and answer.whole)


def test_body_over_the_limit_is_refused(platform):
    limits = {"max_body_bytes": 1000}
    platform.publish(configuration(4, limits=limits))
    start_pair(platform)
    assert platform.send("h1", "/bundle/1", "POST", bytes(5000)).status == 413


def test_killed_node_costs_its_requests_only(platform):
    start_pair(platform)
    platform.start_host("h3", "yard")
    platform.wait_for(lambda: platform.log("h1", "host")[2:], "h3 is known")
    platform.programs["h2"].kill()
    statuses = [platform.send("h1", f"/inner/{index}").status for index in range(20)]
    assert statuses.count(200) >= 19

import base64
import json
import signal
import subprocess
import sys

import curio
import pytest

from standins import caller
from standins.target import patterned_bytes

TIMEOUT_SECONDS = 20


@pytest.fixture
def start():
    """Start stand-ins as processes and kill them after the test."""
    processes = []

    def start_standin(module, *arguments):
        command = [sys.executable, "-m", f"standins.{module}", *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        processes.append(process)
        return process, json.loads(process.stdout.readline())["address"]

    yield start_standin
    for process in processes:
        process.kill()
        process.wait()
        process.stdout.close()


def send_request(address, method, path, body=b"", headers=()):
    return curio.run(
        caller.request, address, method, path, list(headers), body, TIMEOUT_SECONDS
    )


def control(address, **settings):
    response = send_request(address, "POST", "/control", json.dumps(settings).encode())
    assert response.status == 200


def read_log(address, query):
    return json.loads(send_request(address, "GET", f"/streams/s/records?{query}").body)


def test_a_lost_response_leaves_the_record_and_retries_are_not_deduplicated(start):
    """Guards against a stand-in with guarantees that the platform's log lacks."""
    _, address = start("log", "--control")
    control(address, lose_answers=1)
    path = "/streams/s/records"
    append_headers = [("x-append-id", "1")]
    assert (
        send_request(address, "POST", path, b"a", append_headers).status
        == caller.NO_RESPONSE
    )
    assert json.loads(
        send_request(address, "POST", path, b"a", append_headers).body
    ) == {"offset": 1}
    batch = read_log(address, "from=0&limit=9")
    assert [base64.b64decode(data) for _, data in batch["records"]] == [b"a", b"a"]
    assert batch["next"] == 2


def test_evicted_records_are_reported_by_the_first_offset(start):
    """Guards against readers that cannot detect that they missed records."""
    _, address = start("log", "--control")
    for data in (b"a", b"b", b"c"):
        send_request(address, "POST", "/streams/s/records", data)
    control(address, forget_before={"s": 2})
    batch = read_log(address, "from=0&limit=1")
    assert batch["first"] == 2
    assert batch["records"] == [[2, base64.b64encode(b"c").decode()]]
    assert read_log(address, "from=3")["next"] == 3


def test_a_long_poll_ends_with_a_record_and_is_closed_when_the_log_goes_down(start):
    """Guards against a long poll that hides an outage of the log until its timeout."""
    _, address = start("log", "--control")
    path = f"/streams/s/records?from=0&wait={TIMEOUT_SECONDS}"

    async def poll_while(method, other_path, body):
        poll = await curio.spawn(caller.request, address, "GET", path)
        counts = b""
        while b'"reads": 1' not in counts:
            counts = (await caller.request(address, "GET", "/counts")).body
        await caller.request(address, method, other_path, [], body)
        return await poll.join()

    closed = curio.run(
        curio.timeout_after,
        TIMEOUT_SECONDS,
        poll_while,
        "POST",
        "/control",
        b'{"down": true}',
    )
    assert closed.status == caller.NO_RESPONSE
    assert send_request(address, "GET", path).status == caller.NO_RESPONSE
    control(address, down=False)
    _, address = start("log")
    response = curio.run(
        curio.timeout_after,
        TIMEOUT_SECONDS,
        poll_while,
        "POST",
        "/streams/s/records",
        b"a",
    )
    assert json.loads(response.body)["next"] == 1


def test_a_target_counts_runs_and_leaked_keys_and_sends_complete_bodies(start):
    """Guards against duplicate runs and leaked keys that other tests cannot detect."""
    _, address = start("target", "--service", "mapdesk", "--service-time", "0")
    headers = [("x-dispatch-id", "d1"), ("authorization", "Bearer cw_k")]
    send_request(address, "POST", "/x", b"", headers)
    send_request(address, "POST", "/x", b"", headers)
    for chunked in (0, 1):
        response = send_request(address, "GET", f"/x?size=100000&chunked={chunked}")
        assert response.complete and response.body == patterned_bytes(100000)
    counts = json.loads(send_request(address, "GET", "/counts").body)
    assert counts["runs"]["d1"] == 2
    assert counts["leaked"] == ["Bearer cw_k", "Bearer cw_k"]


@pytest.mark.parametrize("chunked", [0, 1])
@pytest.mark.parametrize("fault", ["cut_answers", "short_answers"])
def test_a_truncated_response_is_never_complete(start, fault, chunked):
    """Guards against a client that takes a truncated response for a complete one."""
    _, address = start("target", "--service", "mapdesk", "--service-time", "0")
    control(address, **{fault: 1})
    path = f"/x?size=1000&chunked={chunked}"
    assert not send_request(address, "GET", path).complete
    assert send_request(address, "GET", path).complete


def test_a_full_target_sheds_and_a_disconnected_client_cancels_its_request(start):
    """Guards against slots that stay occupied by requests of disconnected clients."""
    shed = ("--slots", "1", "--shed", "--service-time", str(TIMEOUT_SECONDS))
    _, address = start("target", "--service", "mapdesk", *shed)

    async def scenario():
        first = await curio.spawn(caller.request, address, "GET", "/x")
        while (await counts())["running"] == 0:
            pass
        assert (await caller.request(address, "GET", "/x")).status == 503
        await first.cancel()
        while (await counts())["cancelled"] == 0:
            pass
        assert (await counts())["running"] == 0

    async def counts():
        return json.loads((await caller.request(address, "GET", "/counts")).body)

    curio.run(curio.timeout_after, TIMEOUT_SECONDS, scenario)


def test_sigterm_announces_draining_finishes_requests_and_announces_left(start):
    """Guards against a target that aborts its running requests when it stops."""
    _, log = start("log")
    announce = f"http://{log}/streams/s/records"
    options = ("--announce", announce, "--service-time", "0.5")
    process, address = start("target", "--service", "mapdesk", *options)

    async def scenario():
        running = await curio.spawn(caller.request, address, "GET", "/x")
        path = f"/streams/s/records?from=0&wait={TIMEOUT_SECONDS}"
        await caller.request(log, "GET", path)
        counts = b""
        while b'"running": 1' not in counts:
            counts = (await caller.request(address, "GET", "/counts")).body
        process.send_signal(signal.SIGTERM)
        return await running.join()

    assert curio.run(curio.timeout_after, TIMEOUT_SECONDS, scenario).complete
    assert process.wait(TIMEOUT_SECONDS) == 0
    records = [json.loads(base64.b64decode(d)) for _, d in read_log(log, "")["records"]]
    states = list(dict.fromkeys(record["state"] for record in records))
    assert states == ["ready", "draining", "left"]
    assert records[0]["address"] == address


def test_the_load_generator_counts_responses_and_sends_the_key(start):
    """Guards against refusals and truncated responses that are not counted."""
    _, address = start("target", "--service", "mapdesk", "--service-time", "0")
    control(address, cut_answers=1)
    arguments = ["--node", address, "--path", "/x", "--rate", "50", "--seconds", "1"]
    command = [sys.executable, "-m", "standins.caller", *arguments]
    result = subprocess.run(
        [*command, "--key-env", "K", "--retries", "1"],
        env={"K": "cw_k"},
        capture_output=True,
        check=True,
        timeout=TIMEOUT_SECONDS,
    )
    summary = json.loads(result.stdout)
    assert (summary["whole"], summary["retries"]) == (50, 1)
    assert summary["by_status"] == {"200": 50, "cut": 1}
    counts = json.loads(send_request(address, "GET", "/counts").body)
    assert len(counts["leaked"]) == 51


def test_a_target_passes_its_request_id_to_sub_calls_and_fails_when_they_fail(start):
    """Guards against call chains that lose the request id or hide a failed sub-call."""
    callee_options = ("--service", "sonar-vault", "--service-time", "0")
    _, callee = start("target", *callee_options)
    caller_options = (
        "--calls",
        "/a,/b",
        "--node",
        f"http://{callee}",
        "--service-time",
        "0",
    )
    _, address = start("target", "--service", "survey-desk", *caller_options)
    headers = [("x-request-id", "r1")]
    response = send_request(address, "GET", "/x", b"", headers)
    calls = json.loads(response.body)["calls"]
    observed = [(call["path"], call["status"], call["answer_id"]) for call in calls]
    assert observed == [("/a", 200, "r1"), ("/b", 200, "r1")]
    control(callee, cut_answers=1)
    assert send_request(address, "GET", "/x", b"", headers).status == 502


def test_a_target_announces_the_configured_false_load_and_state(start):
    """Guards against tests of false announcements that run with true ones."""
    _, log = start("log")
    announce = ("--announce", f"http://{log}/streams/s/records")
    _, address = start("target", "--service", "mapdesk", *announce)
    control(address, lie_load=7.5, lie_health="draining")
    offset = 0
    for _ in range(3):
        batch = read_log(log, f"from={offset}&wait={TIMEOUT_SECONDS}")
        offset = batch["next"]
    announcement = json.loads(base64.b64decode(batch["records"][-1][1]))
    assert announcement["load"] == 7.5
    assert announcement["state"] == "draining"


def test_a_frozen_target_sends_no_response_until_it_thaws(start):
    """Guards against tests of frozen targets that run with a responsive one."""
    _, address = start("target", "--service", "mapdesk", "--service-time", "0")
    control(address, freeze=TIMEOUT_SECONDS)

    frozen = curio.run(caller.request, address, "GET", "/x", [], b"", 0.2)
    assert frozen.status == caller.NO_RESPONSE
    control(address, freeze=0)
    assert send_request(address, "GET", "/x").complete

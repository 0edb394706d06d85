import base64
import json
import signal
import subprocess
import sys

import curio
import pytest

from standins import caller
from standins.target import patterned_bytes

REACH_S = 20


@pytest.fixture
def start():
    """Start stand-ins as processes and end them after the test."""
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


def ask(address, method, path, body=b"", headers=()):
    return curio.run(
        caller.request, address, method, path, list(headers), body, REACH_S
    )


def control(address, **wanted):
    answer = ask(address, "POST", "/control", json.dumps(wanted).encode())
    assert answer.status == 200


def read_log(address, query):
    return json.loads(ask(address, "GET", f"/streams/s/records?{query}").body)


def test_a_lost_answer_still_leaves_the_record_and_the_log_removes_no_repeat(start):
    """Guards against a log that is kinder than the platform's."""
    _, address = start("log", "--control")
    control(address, lose_answers=1)
    path = "/streams/s/records"
    identity = [("x-append-id", "1")]
    assert ask(address, "POST", path, b"a", identity).status == caller.NO_RESPONSE
    assert json.loads(ask(address, "POST", path, b"a", identity).body) == {"offset": 1}
    found = read_log(address, "from=0&limit=9")
    assert [base64.b64decode(data) for _, data in found["records"]] == [b"a", b"a"]
    assert found["next"] == 2


def test_forgotten_records_are_reported_by_the_first_offset(start):
    """Guards against a reader that cannot tell that it missed records."""
    _, address = start("log", "--control")
    for data in (b"a", b"b", b"c"):
        ask(address, "POST", "/streams/s/records", data)
    control(address, forget_before={"s": 2})
    found = read_log(address, "from=0&limit=1")
    assert found["first"] == 2
    assert found["records"] == [[2, base64.b64encode(b"c").decode()]]
    assert read_log(address, "from=3")["next"] == 3


def test_a_long_poll_ends_with_a_record_and_is_cut_when_the_log_goes_down(start):
    """Guards against a poll that hides an outage of the log until it ends."""
    _, address = start("log", "--control")
    path = f"/streams/s/records?from=0&wait={REACH_S}"

    async def poll_while(method, other_path, body):
        poll = await curio.spawn(caller.request, address, "GET", path)
        counts = b""
        while b'"reads": 1' not in counts:
            counts = (await caller.request(address, "GET", "/counts")).body
        await caller.request(address, method, other_path, [], body)
        return await poll.join()

    cut = curio.run(
        curio.timeout_after, REACH_S, poll_while, "POST", "/control", b'{"down": true}'
    )
    assert cut.status == caller.NO_RESPONSE
    assert ask(address, "GET", path).status == caller.NO_RESPONSE
    control(address, down=False)
    _, address = start("log")
    answer = curio.run(
        curio.timeout_after, REACH_S, poll_while, "POST", "/streams/s/records", b"a"
    )
    assert json.loads(answer.body)["next"] == 1


def test_a_target_counts_runs_and_leaked_keys_and_sends_whole_bodies(start):
    """Guards against double runs and leaked keys that no test would notice."""
    _, address = start("target", "--service", "mapdesk", "--service-time", "0")
    headers = [("x-dispatch-id", "d1"), ("authorization", "Bearer cw_k")]
    ask(address, "POST", "/x", b"", headers)
    ask(address, "POST", "/x", b"", headers)
    for chunked in (0, 1):
        answer = ask(address, "GET", f"/x?size=100000&chunked={chunked}")
        assert answer.complete and answer.body == patterned_bytes(100000)
    counts = json.loads(ask(address, "GET", "/counts").body)
    assert counts["runs"]["d1"] == 2
    assert counts["leaked"] == ["Bearer cw_k", "Bearer cw_k"]


@pytest.mark.parametrize("chunked", [0, 1])
@pytest.mark.parametrize("fault", ["cut_answers", "short_answers"])
def test_a_broken_answer_is_never_whole(start, fault, chunked):
    """Guards against a client that takes part of an answer for all of it."""
    _, address = start("target", "--service", "mapdesk", "--service-time", "0")
    control(address, **{fault: 1})
    path = f"/x?size=1000&chunked={chunked}"
    assert not ask(address, "GET", path).complete
    assert ask(address, "GET", path).complete


def test_a_full_target_sheds_and_a_client_that_goes_away_is_cancelled(start):
    """Guards against a target whose slots stay taken by callers that are gone."""
    shed = ("--slots", "1", "--shed", "--service-time", str(REACH_S))
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

    curio.run(curio.timeout_after, REACH_S, scenario)


def test_sigterm_announces_draining_finishes_requests_and_announces_left(start):
    """Guards against a target that cuts off its requests when it stops."""
    _, log = start("log")
    announce = f"http://{log}/streams/s/records"
    options = ("--announce", announce, "--service-time", "0.5")
    process, address = start("target", "--service", "mapdesk", *options)

    async def scenario():
        running = await curio.spawn(caller.request, address, "GET", "/x")
        path = f"/streams/s/records?from=0&wait={REACH_S}"
        await caller.request(log, "GET", path)
        counts = b""
        while b'"running": 1' not in counts:
            counts = (await caller.request(address, "GET", "/counts")).body
        process.send_signal(signal.SIGTERM)
        return await running.join()

    assert curio.run(curio.timeout_after, REACH_S, scenario).complete
    assert process.wait(REACH_S) == 0
    records = [json.loads(base64.b64decode(d)) for _, d in read_log(log, "")["records"]]
    states = list(dict.fromkeys(record["state"] for record in records))
    assert states == ["ready", "draining", "left"]
    assert records[0]["address"] == address


def test_the_load_generator_counts_answers_and_sends_the_key(start):
    """Guards against a load whose refusals and lost answers go uncounted."""
    _, address = start("target", "--service", "mapdesk", "--service-time", "0")
    control(address, cut_answers=1)
    arguments = ["--node", address, "--path", "/x", "--rate", "50", "--seconds", "1"]
    command = [sys.executable, "-m", "standins.caller", *arguments]
    result = subprocess.run(
        [*command, "--key-env", "K", "--retries", "1"],
        env={"K": "cw_k"},
        capture_output=True,
        check=True,
        timeout=REACH_S,
    )
    summary = json.loads(result.stdout)
    assert (summary["whole"], summary["retries"]) == (50, 1)
    assert summary["by_status"] == {"200": 50, "cut": 1}
    counts = json.loads(ask(address, "GET", "/counts").body)
    assert len(counts["leaked"]) == 51


def test_a_target_echoes_its_request_id_on_calls_and_fails_when_they_fail(start):
    """Guards against call chains that lose their context or hide a refusal."""
    below = ("--service", "sonar-vault", "--service-time", "0")
    _, callee = start("target", *below)
    above = ("--calls", "/a,/b", "--node", f"http://{callee}", "--service-time", "0")
    _, address = start("target", "--service", "survey-desk", *above)
    headers = [("x-request-id", "r1")]
    answer = ask(address, "GET", "/x", b"", headers)
    calls = json.loads(answer.body)["calls"]
    seen = [(call["path"], call["status"], call["answer_id"]) for call in calls]
    assert seen == [("/a", 200, "r1"), ("/b", 200, "r1")]
    control(callee, cut_answers=1)
    assert ask(address, "GET", "/x", b"", headers).status == 502


def test_a_lying_target_announces_what_it_is_told_to(start):
    """Guards against tests of misleading reports that never mislead."""
    _, log = start("log")
    announce = ("--announce", f"http://{log}/streams/s/records")
    _, address = start("target", "--service", "mapdesk", *announce)
    control(address, lie_load=7.5, lie_health="draining")
    offset = 0
    for _ in range(3):
        records = read_log(log, f"from={offset}&wait={REACH_S}")
        offset = records["next"]
    found = json.loads(base64.b64decode(records["records"][-1][1]))
    assert found["load"] == 7.5
    assert found["state"] == "draining"


def test_a_frozen_target_answers_nothing_until_it_thaws(start):
    """Guards against tests of silent targets whose target is not silent."""
    _, address = start("target", "--service", "mapdesk", "--service-time", "0")
    control(address, freeze=REACH_S)

    frozen = curio.run(caller.request, address, "GET", "/x", [], b"", 0.2)
    assert frozen.status == caller.NO_RESPONSE
    control(address, freeze=0)
    assert ask(address, "GET", "/x").complete

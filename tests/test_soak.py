"""The soak's schedule, and its promises on records made by hand."""

import hashlib
import json
import math
import time

import h11
import pytest

from soak.client import encode_request, find_fault
from soak.installation import RESTART_SECONDS, Installation
from soak.judge import Judge
from soak.promises import COLD_LIMIT
from soak.record import (
    ANSWERED,
    CLOSED,
    STORE,
    Attempt,
    Evacuation,
    Lifetime,
    Publication,
    Record,
)
from soak.schedule import DOMAIN_KINDS, KINDS, draw_schedule
from standins.endpoint import RESPONSE_SIGNATURE

HOSTS = ["h1", "h2", "h3", "h4"]
NOW = 1000.0


@pytest.fixture
def record():
    record = Record()
    for host in HOSTS:
        record.lifetimes.append(Lifetime(host, 1, NOW - 100))
    return record


def add_attempt(record, kind="non_idempotent", at=NOW, seconds=0.1, **fields):
    attempt = Attempt(f"a{len(record.attempts)}", "h1", kind, "/order/1")
    attempt.lifetime, attempt.sent_at, attempt.ended_at = 1, at, at + seconds
    attempt.outcome = ANSWERED
    for name, value in fields.items():
        setattr(attempt, name, value)
    record.attempts[attempt.id] = attempt
    return attempt


def event(name, at, target="i-h2-1", **fields):
    return json.dumps({"event": name, "at": at, "target": target, **fields}) + "\n"


def judge(record, directory, events=()):
    """Return the names of the promises that a record breaks."""
    (directory / "h2.runs").write_text("".join(events))
    judge = Judge(record, directory, HOSTS)
    judge.finish()
    return [violation.promise for violation in judge.violations]


def run_of(attempt, at=None, done=True, **fields):
    at = attempt.sent_at if at is None else at
    events = [event("run", at, id=attempt.id, mode="", **fields)]
    return events + [event("end", at + 0.05, id=attempt.id)] * done


def test_a_seed_that_failed_plays_the_same_schedule_again():
    schedules = [draw_schedule(seed, 60, HOSTS) for seed in (1, 1, 2)]
    assert schedules[0] == schedules[1] != schedules[2]


def test_no_kind_of_disturbance_is_never_drawn():
    drawn = {
        action.kind for seed in range(40) for action in draw_schedule(seed, 60, HOSTS)
    }
    assert drawn == set(KINDS)


def test_answered_request_breaks_no_promise(record, tmp_path):
    attempt = add_attempt(record, status=200)
    assert judge(record, tmp_path, run_of(attempt)) == []


def test_order_that_runs_twice_is_found(record, tmp_path):
    attempt = add_attempt(record, status=200)
    events = run_of(attempt) + run_of(attempt, target="i-h2-2")
    assert judge(record, tmp_path, events) == ["runs at most once"]


def test_request_that_no_client_sent_is_found(record, tmp_path):
    events = [event("run", NOW, id="foreign", mode="")]
    assert judge(record, tmp_path, events) == ["runs at most once"]


def test_success_of_another_request_is_found(record, tmp_path):
    attempt = add_attempt(record, status=200, fault="body of another request")
    assert judge(record, tmp_path, run_of(attempt)) == ["whole answers"]


def test_success_that_no_target_ran_is_found(record, tmp_path):
    add_attempt(record, status=200)
    assert judge(record, tmp_path) == ["whole answers"]


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refused_request_that_ran_is_found(record, tmp_path, status):
    attempt = add_attempt(record, status=status)
    assert judge(record, tmp_path, run_of(attempt)) == ["refused means not run"]


def test_refused_request_that_runs_later_is_found(record, tmp_path):
    attempt = add_attempt(record, status=503)
    path = tmp_path / "h2.runs"
    path.write_text("")
    judge = Judge(record, tmp_path, HOSTS)
    judge.check(NOW + 10)
    path.write_text("".join(run_of(attempt, at=NOW + 5)))
    judge.check(NOW + 10)
    assert [item.promise for item in judge.violations] == ["refused means not run"]


def cut_off_in_stop(record, sent_after_stop=4.0, **fields):
    record.lifetimes[0].stopped_at = NOW
    record.lifetimes[0].ended_at = NOW + 5.4
    at = NOW + sent_after_stop
    return add_attempt(record, at=at, outcome=CLOSED, seconds=0.5, **fields)


def test_request_cut_off_in_a_planned_stop_is_found(record, tmp_path):
    attempt = cut_off_in_stop(record)
    promises = judge(record, tmp_path, run_of(attempt, done=False))
    assert promises == ["nothing is cut off"]


def test_request_that_no_target_got_is_no_loss_in_a_stop(record, tmp_path):
    cut_off_in_stop(record)
    assert judge(record, tmp_path) == []


def test_request_cut_off_without_a_stop_is_found(record, tmp_path):
    attempt = add_attempt(record, outcome=CLOSED)
    assert judge(record, tmp_path, run_of(attempt)) == ["nothing is cut off"]


def test_fault_of_a_target_that_did_not_run_it_excuses_no_cut(record, tmp_path):
    attempt = cut_off_in_stop(record)
    record.begin("h1", "target-kill", NOW + 3).end = NOW + 4.2
    assert judge(record, tmp_path, run_of(attempt)) == ["nothing is cut off"]


def test_fault_of_the_target_excuses_a_cut_in_a_stop(record, tmp_path):
    attempt = cut_off_in_stop(record)
    record.begin("h2", "target-kill", NOW + 3).end = NOW + 4.2
    assert judge(record, tmp_path, run_of(attempt)) == []


def test_early_request_whose_target_works_too_long_is_excused(record, tmp_path):
    attempt = cut_off_in_stop(record, sent_after_stop=2.9)
    attempt.ended_at = NOW + 5.4
    assert judge(record, tmp_path, run_of(attempt, done=False)) == []


def test_process_that_outlives_its_grace_time_is_found(record, tmp_path):
    record.lifetimes[0].stopped_at = NOW
    record.lifetimes[0].running_at = NOW + 6.01
    record.lifetimes[0].ended_at = NOW + 6.03
    assert judge(record, tmp_path) == ["gone within the grace time"]


def test_late_look_at_a_process_that_is_gone_is_no_outliving(record, tmp_path):
    record.lifetimes[0].stopped_at = NOW
    record.lifetimes[0].running_at = NOW + 5.4
    record.lifetimes[0].ended_at = NOW + 6.5
    assert judge(record, tmp_path) == []


def test_process_that_ends_by_itself_is_found(record, tmp_path):
    record.lifetimes[0].ended_at = NOW
    assert judge(record, tmp_path) == ["no end by itself"]


@pytest.mark.parametrize(
    ("change", "restarts"),
    [({}, True), ({"killed": True}, False), ({"stopped_at": 1.0}, False)],
)
def test_host_is_not_left_without_a_node_that_ended_by_itself(
    record, tmp_path, change, restarts
):
    installation = Installation(record, tmp_path, HOSTS)
    lifetime = record.lifetimes[0]
    assert not installation.ended_by_itself(lifetime)
    lifetime.ended_at = time.time() - RESTART_SECONDS - 1
    for name, value in change.items():
        setattr(lifetime, name, value)
    assert installation.ended_by_itself(lifetime) == restarts


def test_stop_that_ends_in_a_crash_is_found(record, tmp_path):
    record.lifetimes[0].stopped_at = NOW
    record.lifetimes[0].ended_at = NOW + 3
    record.lifetimes[0].status = 1
    assert judge(record, tmp_path) == ["no end by itself"]


@pytest.mark.parametrize("reached", [False, True])
def test_sigterm_may_end_a_start_only_before_clients_reach_it(
    record, tmp_path, reached
):
    record.lifetimes[0].stopped_at = NOW
    record.lifetimes[0].ended_at = NOW + 0.1
    record.lifetimes[0].status = -15
    if reached:
        add_attempt(record, at=NOW - 1, outcome=CLOSED)
    assert judge(record, tmp_path) == ["no end by itself"] * reached


def test_memory_over_the_bound_is_found(record, tmp_path):
    record.lifetimes[0].memory = 151 << 20
    assert judge(record, tmp_path) == ["memory"]


def test_request_for_a_drained_target_is_found(record, tmp_path):
    attempt = add_attempt(record, status=200)
    events = [event("acknowledged", NOW - 2.3, phase="draining"), *run_of(attempt)]
    assert judge(record, tmp_path, events) == ["nothing for a drained target"]


def test_request_within_the_drain_time_is_allowed(record, tmp_path):
    attempt = add_attempt(record, status=200)
    events = [event("acknowledged", NOW - 1.9, phase="draining"), *run_of(attempt)]
    assert judge(record, tmp_path, events) == []


def add_versions(record, *confirmed):
    for version, at in enumerate(confirmed, start=1):
        publication = Publication(version, at - 0.01)
        publication.confirmed_at = at
        record.publications.append(publication)


def probe(record, version, status, at=NOW, **fields):
    return add_attempt(
        record, "idempotent", at=at, status=status, version=version, **fields
    )


def test_route_of_an_older_configuration_is_found(record, tmp_path):
    add_versions(record, NOW - 50, NOW - 2.1)
    events = run_of(probe(record, 1, 200))
    assert judge(record, tmp_path, events) == ["configuration"]


def test_configuration_that_is_late_is_found(record, tmp_path):
    add_versions(record, NOW - 50, NOW - 2.1)
    probe(record, 2, 404)
    assert judge(record, tmp_path) == ["configuration"]


def test_node_out_of_touch_may_have_an_older_configuration(record, tmp_path):
    add_versions(record, NOW - 50, NOW - 2.1)
    record.begin(STORE, "store-down", NOW - 4).end = NOW - 1
    assert judge(record, tmp_path, run_of(probe(record, 1, 200))) == []


def test_configuration_that_goes_back_is_found(record, tmp_path):
    add_versions(record, NOW - 50, NOW - 1)
    events = run_of(probe(record, 2, 200, at=NOW - 0.5))
    events += run_of(probe(record, 1, 200))
    assert judge(record, tmp_path, events) == ["configuration"]


def test_withdrawn_key_after_a_start_without_the_store_is_found(record, tmp_path):
    add_versions(record, NOW - 50, NOW - 20)
    record.begin(STORE, "store-down", NOW - 10)
    record.lifetimes.append(Lifetime("h1", 2, NOW - 1))
    attempt = probe(record, 1, 200, withdrawn_key=True, lifetime=2)
    assert judge(record, tmp_path, run_of(attempt)) == ["configuration"]


def test_denied_request_that_all_configurations_allow_is_found(record, tmp_path):
    add_attempt(record, status=404)
    assert judge(record, tmp_path) == ["configuration"]


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ({"id": "other"}, "answer to the attempt other"),
        ({"signature": ""}, "success without the signature"),
        ({"path": "/order/2"}, "body of another request"),
        ({"cut": 30}, "not whole"),
        ({"size": 200}, "of 300 bytes"),
    ],
)
def test_answer_that_is_not_the_whole_one_is_found(change, fault):
    attempt = Attempt("a1", "h1", "upload", "/order/1?bytes=300&work=0")
    attempt.status = 200
    body = json.dumps({"id": "i", "path": change.get("path", "/order/1")}).encode()
    body = body.ljust(change.get("size", 300))[: change.get("cut")]
    headers = {
        "x-attempt-id": change.get("id", "a1"),
        "x-response-signature": change.get("signature", RESPONSE_SIGNATURE),
    }
    assert fault in find_fault(attempt, headers, body)


def test_whole_answer_has_no_fault():
    attempt = Attempt("a1", "h1", "upload", "/order/1?bytes=300&work=0")
    attempt.status = 200
    body = json.dumps({"id": "i", "path": "/order/1"}).encode().ljust(300)
    headers = {"x-response-signature": RESPONSE_SIGNATURE, "x-attempt-id": "a1"}
    assert find_fault(attempt, headers, body) == ""


def test_upload_is_sent_with_its_whole_body():
    attempt = Attempt("a1", "h1", "upload", "/bundle/a1")
    data = encode_request(h11.Connection(h11.CLIENT), attempt, "key")
    head, _, body = data.partition(b"\r\n\r\n")
    assert f"content-length: {len(body)}".encode() in head.lower()
    assert len(body) > 1 << 14
    assert attempt.ended_at == math.inf


def cold(at, count, target="i-h2-1"):
    return event("cold", at, target, count=count)


def beat(sent, at):
    return event("acknowledged", at, phase="ready", sent=sent)


def test_cold_target_that_gets_too_much_is_found_once(record, tmp_path):
    """Guards against a limit that is not judged; the limit itself is allowed."""
    assert COLD_LIMIT == 12
    events = [cold(NOW, 12), cold(NOW + 0.1, 13), cold(NOW + 0.2, 14)]
    assert judge(record, tmp_path, events) == ["limit of a cold target"]


def test_target_that_turns_cold_is_excused_only_until_its_next_heartbeat(
    record, tmp_path
):
    """Guards against an excuse that a heartbeat from before the turn ends, or none."""
    events = [event("turned_cold", NOW), beat(NOW - 0.1, NOW + 0.2), cold(NOW + 1, 30)]
    assert judge(record, tmp_path, events) == []
    events += [beat(NOW + 1.1, NOW + 1.2), cold(NOW + 1.25, 13)]
    assert judge(record, tmp_path, events) == []
    events += [cold(NOW + 1.35, 13)]
    assert judge(record, tmp_path, events) == ["limit of a cold target"]


@pytest.mark.parametrize(
    ("kind", "excused"),
    [("target-link", False), ("target-link-delay-ends", True)],
)
def test_only_the_end_of_a_delay_excuses_too_much_for_a_cold_target(
    record, tmp_path, kind, excused
):
    """Guards against an excuse by faults of the link that hold nothing back."""
    record.begin("h2", kind, NOW - 1.2).end = NOW - 0.9
    found = ["limit of a cold target"] * (not excused)
    assert judge(record, tmp_path, [cold(NOW, 13)]) == found


def add_evacuation(record, confirmed_at, ended_at=math.inf):
    record.zones = dict(zip(HOSTS, "abac", strict=True))
    evacuation = Evacuation("b")
    evacuation.confirmed_at = confirmed_at
    evacuation.removed_at = evacuation.ended_at = ended_at
    record.evacuations.append(evacuation)


@pytest.mark.parametrize("kind", ["run", "health", "shed"])
def test_request_for_an_evacuated_domain_is_found(record, tmp_path, kind):
    """Guards against requests that reach a target without being run."""
    add_evacuation(record, NOW - 5.2)
    attempt = add_attempt(record, status=200)
    events = run_of(attempt)
    events += [event(kind, NOW, id="call-i-h4-1-7", mode="")] * (kind != "run")
    found = judge(record, tmp_path, events)
    assert found == ["nothing for an evacuated domain"] * (1 + (kind != "run"))


@pytest.mark.parametrize(
    ("confirmed", "ended", "zone"),
    [(-5.05, math.inf, "b"), (-9, -0.01, "b"), (-9, math.inf, "a")],
)
def test_request_before_or_after_an_evacuation_or_elsewhere_is_allowed(
    record, tmp_path, confirmed, ended, zone
):
    """Guards against false alarms within five seconds, after the removal, elsewhere."""
    add_evacuation(record, NOW + confirmed, NOW + ended)
    record.evacuations[0].zone = zone
    found = judge(record, tmp_path, run_of(add_attempt(record, status=200)))
    assert "nothing for an evacuated domain" not in found


@pytest.mark.parametrize("places", [["h1"], ["h2"], ["h1", "h2"]])
def test_evacuation_binds_unless_sender_and_node_of_the_target_are_out_of_touch(
    record, tmp_path, places
):
    """Guards against an excuse by one node where the other one knew."""
    add_evacuation(record, NOW - 6)
    for place in places:
        record.begin(place, "store-link", NOW - 9)
    events = run_of(add_attempt(record, status=200))
    found = ["nothing for an evacuated domain"] * (len(places) == 1)
    assert judge(record, tmp_path, events) == found


@pytest.mark.parametrize(
    ("run_at", "fault", "found"),
    [
        (1, "", False),
        (6, "", True),
        (11.9, "target-kill", False),
        (13.1, "target-kill", True),
        (-1, "", True),
    ],
)
def test_target_that_is_not_used_after_an_evacuation_is_found(
    record, tmp_path, run_at, fault, found
):
    """Guards against a domain that stays unused; the time begins anew after a fault."""
    add_evacuation(record, NOW - 8, NOW)
    add_attempt(record, status=503, at=NOW + 20)
    if fault:
        record.begin("h2", fault, NOW + 4).end = NOW + 5
    events = run_of(add_attempt(record, status=200, at=NOW + run_at))
    promises = judge(record, tmp_path, events)
    assert ("served again after an evacuation" in promises) == found


def test_run_of_thirty_seconds_has_both_disturbances_of_domains():
    """Guards against short runs that test neither cold targets nor evacuations."""
    for seed in range(20):
        kinds = {action.kind for action in draw_schedule(seed, 30, HOSTS)}
        assert kinds >= set(DOMAIN_KINDS)


def test_disturbances_of_domains_leave_the_schedule_of_known_seeds(tmp_path):
    """Guards against seeds of known failures that no longer play them."""
    schedule = draw_schedule(1, 45, [f"h{number}" for number in range(1, 9)])
    others = [action for action in schedule if action.kind not in DOMAIN_KINDS]
    text = "\n".join(map(str, others))
    assert hashlib.sha256(text.encode()).hexdigest()[:16] == "e10905bacf6bfb0a"

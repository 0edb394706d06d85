"""Evacuated failure domains: order of records, and real nodes under failures."""

import signal
import time

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaywheel.mesh.evacuation import Evacuation, Evacuations
from carawaywheel.mesh.messages import (
    CALL_HEADER,
    REPLY_HEADER,
    Call,
    decode_reply,
    encode_header,
)
from carawaywheel.mesh.replication.store import Position
from standins.caller import request

from .platform_harness import Platform, configuration, wait
from .test_replication import wait_for_readers

# Bound of the platform from the confirmed write to the last request.
EVACUATE_SECONDS = 5.0


def page_of(history, end):
    """Return the whole table before an offset of its history."""
    newest = {each.domain: each for each in history[:end]}
    return [each for each in newest.values() if each.active], Position(1, end)


@given(st.data())
def test_records_and_whole_reads_in_any_order_agree(data):
    """Guards against nodes that disagree for ever after late or repeated messages."""
    step = st.tuples(st.sampled_from("ab"), st.booleans())
    steps = data.draw(st.lists(step, min_size=2, max_size=5))
    history = [
        Evacuation(domain, 1, offset, active)
        for offset, (domain, active) in enumerate(steps)
    ]
    ends = data.draw(st.lists(st.integers(1, len(history)), max_size=2))
    messages = [("record", each) for each in history] + [("whole", end) for end in ends]
    results = []
    for _ in range(2):
        evacuations = Evacuations()
        order = data.draw(st.permutations(messages + messages[:1]))
        for kind, value in order:
            if kind == "record":
                evacuations.merge(value)
            else:
                evacuations.apply_page(*page_of(history, value), True)
        results.append((evacuations.newest, evacuations.active))
    assert results[0] == results[1]
    assert results[0][1] == {each.domain for each in page_of(history, len(history))[0]}


@given(st.data())
def test_records_of_several_eras_in_any_order_agree(data):
    record = st.builds(
        Evacuation, st.just("a"), st.integers(0, 2), st.integers(0, 4), st.booleans()
    )
    records = data.draw(st.lists(record, min_size=1, max_size=8))
    results = []
    for _ in range(2):
        evacuations = Evacuations()
        evacuations.merge_all(data.draw(st.permutations(records + records[:2])))
        results.append(evacuations.newest)
    assert results[0] == results[1]


def test_removal_that_only_a_whole_read_shows_ends_the_evacuation():
    """Guards against an evacuation for ever after the history was dropped."""
    evacuations = Evacuations()
    begun = Evacuation("a", 1, 3, True)
    # A reader that has restarted hears of the evacuation only after the read.
    evacuations.apply_page([], Position(1, 9), True)
    evacuations.merge(begun)
    assert not evacuations.active
    evacuations.merge(Evacuation("a", 1, 9, True))
    assert evacuations.active == {"a"}
    evacuations.apply_page([], Position(1, 9), True)
    assert evacuations.active == {"a"}


def test_copy_of_the_store_that_lacks_the_record_does_not_end_the_evacuation():
    evacuations = Evacuations()
    evacuations.merge(Evacuation("a", 1, 3, True))
    (change,) = evacuations.apply_page([], Position(2, 3), True)
    assert change.note and not change.switched
    assert evacuations.active == {"a"}
    evacuations.apply_page([Evacuation("a", 2, 3, False)], Position(2, 4), False)
    assert not evacuations.active


def test_removal_in_a_restored_store_that_holds_the_record():
    """Guards against an evacuation that stays with the era that is gone."""
    evacuations = Evacuations()
    evacuations.merge(Evacuation("a", 1, 3, True))
    evacuations.apply_page([Evacuation("a", 2, 3, True)], Position(2, 4), True)
    evacuations.apply_page([], Position(2, 6), True)
    assert not evacuations.active


@pytest.mark.parametrize("restarted", [False, True])
def test_copy_of_the_store_that_lacks_the_removal_restores_nothing(restarted):
    """Guards against a revoked evacuation that an older copy brings back."""
    evacuations = Evacuations()
    evacuations.merge(Evacuation("a", 1, 3, True))
    evacuations.merge(Evacuation("a", 1, 4, False))
    if restarted:
        former, evacuations = evacuations, Evacuations()
        evacuations.merge_all(former.known())
    copy = Evacuation("a", 2, 3, True)
    (change,) = evacuations.apply_page([copy], Position(2, 4), True)
    assert change.note
    assert not evacuations.active
    evacuations.apply_page([Evacuation("a", 2, 4, True)], Position(2, 5), False)
    assert evacuations.active == {"a"}


@pytest.fixture
def platform():
    """Four hosts in three domains; "a" and "b" hold all targets of "yard"."""
    with Platform() as platform:
        platform.publish(configuration(3))
        hosts = {"h1": "a", "h2": "b", "h3": "c", "h4": "a"}
        platform.zones.update(hosts)
        for name in hosts:
            platform.start_host(name, "desk" if name in ("h3", "h4") else "yard")
        for name in hosts:
            platform.wait_until_served(name, "/inner/first")
            platform.wait_until_served(name, "/read/first")
        platform.wait_for(
            lambda: all(
                {line["host"] for line in platform.log_lines(name, "host")}
                >= {platform.address(other, "inbound") for other in hosts}
                for name in hosts
            ),
            "all nodes know all hosts",
        )
        yield platform


def evacuate(platform, domain):
    """Evacuate a domain; return the time at which the store has confirmed it."""
    command = {"topic": "keyed.op", "key": f"evacuate/{domain}", "put": {}}
    platform.control(platform.store_address, command)
    return time.time()


def revoke(platform, domain):
    command = {"topic": "keyed.op", "remove": f"evacuate/{domain}"}
    platform.control(platform.store_address, command)


def send_to_all(platform, path="/inner/x", count=8, names=("h1", "h2", "h3", "h4")):
    """Send requests to some nodes; return the statuses of the responses."""
    return {platform.send(name, path).status for name in names for _ in range(count)}


def runs_since(platform, name, since):
    return [run for run in platform.runs(name) if run["at"] > since]


def call_as_former_node(platform, name):
    """Call a node as one that knows of no evacuation; return its reply."""
    call = Call("c1", "yard", "r-inner", 2.0, 2, "", "desk", *[False] * 3, True, 3)
    headers = [(CALL_HEADER.decode(), encode_header(call).decode())]
    address = platform.address(name, "inbound")
    response = curio.run(request, address, "GET", "/inner/c", headers, b"", 3.0)
    assert response.status == 503
    return decode_reply(response.headers[REPLY_HEADER.decode()], name)


def wait_until_known(platform, name, domain, active, seconds=EVACUATE_SECONDS):
    def is_known():
        lines = platform.log_lines(name, "evacuation")
        states = [line["active"] for line in lines if line["domain"] == domain]
        return states and states[-1] is active

    platform.wait_for(is_known, f"{name} knows of {domain}: {active}", seconds)


def test_evacuation_outlasts_a_lost_store_and_a_restarted_node(platform):
    """A node starts within it while the store is away; the end shows in no history."""
    evacuate(platform, "a")
    for name in platform.hosts:
        wait_until_known(platform, name, "a", True, 1.5)
    known_at = time.time()
    platform.control(platform.store_address, {"down": True})
    platform.processes["h1"].kill()
    wait(2.0)
    platform.start_node("h1", "yard")
    platform.wait_until_served("h1", "/inner/x")
    assert send_to_all(platform) == {200}
    assert send_to_all(platform, "/read/x") == {200}
    # Its candidates lack the target, so that nobody was refused.
    assert not platform.log_lines("h1", "turned_away")
    reply = call_as_former_node(platform, "h1")
    assert (reply.reason, reply.ran, reply.serving) == ("no_target", "not_run", True)
    platform.control(platform.store_address, {"down": False, "compact": "keyed.op"})
    wait(2.5)
    assert send_to_all(platform) == {200}
    assert not runs_since(platform, "h1", known_at)
    assert not runs_since(platform, "h4", known_at)
    platform.control(platform.store_address, {"down": True})
    wait(0.5)
    # Control requests of the stand-in work meanwhile; its readers miss the removal.
    revoke(platform, "a")
    platform.control(platform.store_address, {"compact": "keyed.op"})
    platform.control(platform.store_address, {"down": False})
    platform.wait_for(
        lambda: (
            send_to_all(platform, count=2) == {200}
            and runs_since(platform, "h1", known_at)
        ),
        "the target of h1 is used again",
        8.0,
    )


def test_calls_that_run_complete_and_those_that_wait_go_elsewhere(platform):
    """Guards against calls cut off at their target, and calls that run there late."""
    for name in ("h1", "h2"):
        platform.configure_target(name, work=1.5)
    # Each target has 10 slots, of which 9 are used; the other calls wait.
    sent = [
        platform.send_in_background("h1", f"/order/{number}", "POST", b"x")
        for number in range(24)
    ]
    platform.wait_for(lambda: len(platform.runs("h1", "/order/")) == 9, "nine run")
    evacuate(platform, "a")
    wait_until_known(platform, "h1", "a", True, 1.5)
    known_at = time.time()
    platform.configure_target("h2", work=0.0)
    assert [future.result(8.0).status for future in sent] == [200] * 24
    assert not runs_since(platform, "h1", known_at)
    assert [run["done"] for run in platform.runs("h1", "/order/")] == [True] * 9
    repeats = platform.log_lines("h1", "repeat")
    # Without these lines no call has waited, and the test has shown nothing.
    refused = [line for line in repeats if line["step"] == "evacuation"]
    assert refused
    # Before a slot is free, at which time they would be refused in any case.
    assert all(line["time"] < known_at + 0.5 for line in refused)


def test_two_domains_at_once_leave_a_service_without_targets(platform):
    """Requests for it are refused as not run, and those of "c" still serve others."""
    evacuate(platform, "a")
    evacuate(platform, "b")
    for name in platform.hosts:
        wait_until_known(platform, name, "a", True, 1.5)
        wait_until_known(platform, name, "b", True, 1.5)
    known_at = time.time()
    for name in platform.hosts:
        assert platform.readiness_status(name) == 200
        response = platform.send(name, "/order/1", "POST", b"x")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        (line,) = platform.wait_for(
            lambda name=name: platform.log_lines(name, "refused")[-1:],
            "the refusal is logged",
        )
        assert line["ran"] == "not_run"
    assert send_to_all(platform, "/read/x", 2) == {200}
    assert not any(
        runs_since(platform, name, known_at) for name in platform.hosts if name != "h3"
    )
    revoke(platform, "b")
    for name in platform.hosts:
        wait_until_known(platform, name, "b", False, 1.5)
    assert send_to_all(platform, count=2) == {200}
    assert runs_since(platform, "h2", known_at)
    assert not runs_since(platform, "h1", known_at)


def test_evacuation_arrives_although_both_readers_lose_the_store(platform):
    """They are killed as it is written, so that only the next readers can learn it."""
    readers = wait_for_readers(platform, tuple(platform.hosts))
    for name in readers:
        platform.processes[name].signal(signal.SIGKILL)
    written_at = evacuate(platform, "a")
    for name in set(platform.hosts) - set(readers):
        wait_until_known(platform, name, "a", True)
    assert time.time() - written_at < EVACUATE_SECONDS

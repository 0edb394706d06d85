"""Evacuated failure domains: order of records, and real nodes under failures."""

import signal
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaywheel.mesh.evacuation import Evacuation, Evacuations
from carawaywheel.mesh.replication.store import Position

from .platform_harness import Platform, configuration, wait
from .test_replication import wait_for_readers

# Bound of the platform from the confirmed write to the last request.
EVACUATE_SECONDS = 5.0
NAMES = ("h1", "h2", "h3", "h4")
BEGUN = Evacuation("a", 1, 3, True)


def known(*records):
    """Return the state of a node that was told records."""
    evacuations = Evacuations()
    evacuations.merge_all(records)
    return evacuations


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
    # Records of a domain that no whole read holds, in several eras.
    order = st.tuples(st.integers(0, 2), st.integers(0, 4), st.booleans())
    others = [Evacuation("c", *each) for each in data.draw(st.lists(order, max_size=3))]
    told = [*history, *ends, *others]
    results = []
    for _ in range(2):
        evacuations = Evacuations()
        for each in data.draw(st.permutations(told + told[:1])):
            if isinstance(each, Evacuation):
                evacuations.merge(each)
            else:
                evacuations.apply_page(*page_of(history, each), True)
        results.append((evacuations.newest, evacuations.active))
    assert results[0] == results[1]
    assert results[0][1] - {"c"} == {
        each.domain for each in page_of(history, len(history))[0]
    }


def test_removal_that_only_a_whole_read_shows_ends_the_evacuation():
    """Guards against an evacuation for ever after the history was dropped."""
    evacuations = Evacuations()
    # A reader that has restarted hears of the evacuation only after the read.
    evacuations.apply_page([], Position(1, 9), True)
    evacuations.merge(BEGUN)
    assert not evacuations.active
    evacuations.merge(Evacuation("a", 1, 9, True))
    assert evacuations.active == {"a"}
    evacuations.apply_page([], Position(1, 9), True)
    assert evacuations.active == {"a"}


def test_copy_of_the_store_that_lacks_the_record_does_not_end_the_evacuation():
    evacuations = known(BEGUN)
    (change,) = evacuations.apply_page([], Position(2, 3), True)
    assert change.note and evacuations.active == {"a"}
    evacuations.apply_page([Evacuation("a", 2, 3, False)], Position(2, 4), False)
    assert not evacuations.active


def test_removal_in_a_restored_store_that_holds_the_record():
    """Guards against an evacuation that stays with the era that is gone."""
    evacuations = known(BEGUN)
    evacuations.apply_page([Evacuation("a", 2, 3, True)], Position(2, 4), True)
    evacuations.apply_page([], Position(2, 6), True)
    assert not evacuations.active


@pytest.mark.parametrize("restarted", [False, True])
def test_copy_of_the_store_that_lacks_the_removal_restores_nothing(restarted):
    """Guards against a revoked evacuation that an older copy brings back."""
    evacuations = known(BEGUN, Evacuation("a", 1, 4, False))
    if restarted:
        evacuations = known(*evacuations.known())
    copy = Evacuation("a", 2, 3, True)
    (change,) = evacuations.apply_page([copy], Position(2, 4), True)
    assert change.note and not evacuations.active
    evacuations.apply_page([Evacuation("a", 2, 4, True)], Position(2, 5), False)
    assert evacuations.active == {"a"}


def test_node_that_starts_recognizes_each_evacuation_in_a_copy_of_the_store():
    """Guards against an evacuation revoked long ago that a new reader brings back."""
    later = [Evacuation("a", 1, 4 + n, n % 2 == 1) for n in range(3)]
    former = known(BEGUN, *later)
    evacuations = known(*former.history())
    assert not evacuations.active
    copy = Evacuation("a", 2, 3, True)
    (change,) = evacuations.apply_page([copy], Position(2, 4), True)
    assert change.note and not evacuations.active


@pytest.fixture
def platform():
    """Four hosts in three domains; "a" and "b" hold all targets of "yard"."""
    with Platform() as platform:
        platform.publish(configuration(3))
        platform.zones.update(zip(NAMES, "abca", strict=True))
        for name in NAMES:
            platform.start_host(name, "desk" if name in ("h3", "h4") else "yard")
        for name in NAMES:
            platform.wait_until_served(name, "/inner/first")
        # Until the first records of all hosts have reached all nodes.
        wait(1.0)
        yield platform


def evacuate(platform, domain, active=True):
    """Begin or end an evacuation; return the time at which the store confirms it."""
    key = f"evacuate/{domain}"
    command = {"key": key, "put": {}} if active else {"remove": key}
    platform.control(platform.store_address, {"topic": "keyed.op", **command})
    return time.time()


def send_to_all(platform, path="/inner/x", count=8):
    """Send requests to all nodes; return the statuses of the responses."""
    return {platform.send(name, path).status for name in NAMES for _ in range(count)}


def runs_since(platform, name, since):
    return [run for run in platform.runs(name) if run["at"] > since]


def wait_until_known(platform, domain, active, names=NAMES, seconds=1.5):
    """Wait until nodes know an evacuation or its end; return the time."""

    def is_known(name):
        lines = platform.log_lines(name, "evacuation")
        states = [line["active"] for line in lines if line["domain"] == domain]
        return states[-1:] == [active]

    platform.wait_for(lambda: all(map(is_known, names)), "all know", seconds)
    return time.time()


def test_evacuation_outlasts_a_lost_store_and_a_restarted_node(platform):
    """A node starts within it while the store is away; the end shows in no history."""
    evacuate(platform, "a")
    known_at = wait_until_known(platform, "a", True)
    platform.control(platform.store_address, {"down": True})
    platform.processes["h1"].kill()
    wait(2.0)
    platform.start_node("h1", "yard")
    platform.wait_until_served("h1", "/inner/x")
    assert send_to_all(platform) == {200}
    assert send_to_all(platform, "/read/x") == {200}
    # Its candidates lack the target, so that nobody was refused.
    assert not platform.log_lines("h1", "turned_away")
    platform.control(platform.store_address, {"down": False, "compact": "keyed.op"})
    wait(2.5)
    assert send_to_all(platform) == {200}
    assert not any(runs_since(platform, name, known_at) for name in ("h1", "h4"))
    platform.control(platform.store_address, {"down": True})
    # Until no read waits for the removal, whose history is gone afterwards.
    wait(1.2)
    evacuate(platform, "a", False)
    platform.control(platform.store_address, {"compact": "keyed.op"})
    platform.control(platform.store_address, {"down": False})
    wait_until_known(platform, "a", False, NAMES, EVACUATE_SECONDS)
    assert send_to_all(platform) == {200}
    assert runs_since(platform, "h1", known_at)


def test_calls_that_run_complete_and_those_that_wait_go_elsewhere(platform):
    """Guards against calls cut off at their target, and calls that run there late."""
    for name in ("h1", "h2"):
        platform.configure_target(name, work=1.5)
    # Each target has 10 slots, of which 9 are used; the other calls wait.
    paths = [f"/order/{number}" for number in range(24)]
    sent = [platform.send_in_background("h1", path, "POST", b"x") for path in paths]
    platform.wait_for(lambda: len(platform.runs("h1", "/order/")) == 9, "nine run")
    evacuate(platform, "a")
    known_at = wait_until_known(platform, "a", True, ["h1"])
    platform.configure_target("h2", work=0.0)
    assert [future.result(8.0).status for future in sent] == [200] * 24
    assert not runs_since(platform, "h1", known_at)
    assert [run["done"] for run in platform.runs("h1", "/order/")] == [True] * 9
    repeats = platform.log_lines("h1", "repeat")
    refused = [line["time"] for line in repeats if line["step"] == "evacuation"]
    # Some calls have waited, and none until a slot was free.
    assert refused and max(refused) < known_at + 0.5


def test_two_domains_at_once_leave_a_service_without_targets(platform):
    """Requests for it are refused as not run, and those of "c" still serve others."""
    evacuate(platform, "a")
    evacuate(platform, "b")
    wait_until_known(platform, "a", True)
    known_at = wait_until_known(platform, "b", True)
    for name in NAMES:
        assert platform.readiness_status(name) == 200
        response = platform.send(name, "/order/1", "POST", b"x")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
    assert send_to_all(platform, "/read/x", 2) == {200}
    assert all(platform.log_lines(n, "refused")[-1]["ran"] == "not_run" for n in NAMES)
    assert not any(runs_since(platform, name, known_at) for name in ("h1", "h2", "h4"))
    evacuate(platform, "b", False)
    wait_until_known(platform, "b", False)
    assert send_to_all(platform, count=2) == {200}
    assert runs_since(platform, "h2", known_at)
    assert not runs_since(platform, "h1", known_at)


def test_evacuation_arrives_although_both_readers_lose_the_store(platform):
    """They are killed as it is written, so that only the next readers can learn it."""
    readers = wait_for_readers(platform, NAMES)
    for name in readers:
        platform.processes[name].signal(signal.SIGKILL)
    written_at = evacuate(platform, "a")
    left = set(NAMES) - set(readers)
    known_at = wait_until_known(platform, "a", True, left, EVACUATE_SECONDS)
    assert known_at - written_at < EVACUATE_SECONDS

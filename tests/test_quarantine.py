"""Requests that crash their targets: the suspects, the reports, and real nodes."""

import random
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaywheel.clock import ManualClock
from carawaywheel.http import Request
from carawaywheel.mesh.crashreports import MAX_REPORTS, CrashReporter
from carawaywheel.mesh.quarantine import (
    MAX_CRASHES,
    MAX_SUSPECTS,
    QUARANTINE_SECONDS,
    Quarantine,
    request_fingerprint,
)

from .platform_harness import Platform, configuration, wait

DEADLY, OTHER = b"deadly", b"other"
# The bound of the users' pages: retries after the third crash, once that has had time
# to become known.
ALLOWED_LATER = 3
STABLE_SECONDS = 3.0


def crash_times(quarantine, fingerprint, count, now=0.0):
    for index in range(count):
        quarantine.record_crash(f"i{index}/1", [fingerprint], now)


def test_request_is_quarantined_after_three_crashes():
    quarantine = Quarantine()
    crash_times(quarantine, DEADLY, MAX_CRASHES - 1)
    assert not quarantine.remaining(DEADLY, 1.0)
    assert quarantine.record_crash("last", [DEADLY, OTHER], 1.0) == [DEADLY]
    assert quarantine.remaining(DEADLY, 1.0) == QUARANTINE_SECONDS
    assert not quarantine.remaining(OTHER, 1.0)


def test_report_of_one_crash_that_comes_again_counts_once():
    quarantine = Quarantine()
    for now in range(5):
        quarantine.record_crash("i1/1", [DEADLY], float(now))
    assert not quarantine.remaining(DEADLY, 5.0)


def test_request_that_got_a_response_is_cleared_of_the_crashes_before_it():
    quarantine = Quarantine()
    crash_times(quarantine, OTHER, MAX_CRASHES - 1)
    quarantine.exonerate(OTHER, quarantine.blamed_crashes(OTHER), 0.0)
    crash_times(quarantine, OTHER, MAX_CRASHES)
    assert not quarantine.remaining(OTHER, 1.0)


def test_quarantine_ends_and_doubles_with_a_further_crash():
    quarantine = Quarantine()
    crash_times(quarantine, DEADLY, MAX_CRASHES)
    assert not quarantine.remaining(DEADLY, QUARANTINE_SECONDS)
    quarantine.record_crash("again", [DEADLY], QUARANTINE_SECONDS)
    remaining = quarantine.remaining(DEADLY, QUARANTINE_SECONDS)
    assert remaining == 2 * QUARANTINE_SECONDS


def test_number_of_suspects_is_bounded():
    quarantine = Quarantine()
    crash_times(quarantine, DEADLY, MAX_CRASHES)
    for index in range(MAX_SUSPECTS + 10):
        quarantine.record_crash("i/1", [index.to_bytes(4)], 0.0)
        assert len(quarantine.suspects) <= MAX_SUSPECTS
    assert quarantine.remaining(DEADLY, 1.0)
    quarantine.forget_old(10_000.0)
    assert not quarantine.suspects


@given(
    events=st.lists(
        st.tuples(st.booleans(), st.integers(0, 4), st.sampled_from([DEADLY, OTHER])),
        max_size=20,
    ),
    seed=st.integers(0, 1000),
)
def test_nodes_agree_in_whatever_order_reports_arrive(events, seed):
    nodes = [Quarantine(), Quarantine()]
    orders = [events, random.Random(seed).sample(events * 2, 2 * len(events))]
    for quarantine, order in zip(nodes, orders, strict=True):
        for is_crash, crash, fingerprint in order:
            if is_crash:
                quarantine.record_crash(f"i{crash}/1", [fingerprint], 0.0)
            else:
                quarantine.exonerate(fingerprint, [f"i{crash}/1"], 0.0)
    for fingerprint in (DEADLY, OTHER):
        blamed = [quarantine.blamed_crashes(fingerprint) for quarantine in nodes]
        assert blamed[0] == blamed[1]


def test_fingerprint_tells_path_caller_and_body():
    def fingerprint(route="r", account="mill", target="/a", body=b""):
        return request_fingerprint(route, account, Request("GET", target, []), body)

    others = [
        fingerprint(account="dam"),
        fingerprint(target="/b"),
        fingerprint(body=b"x"),
        fingerprint(body=b"y"),
        fingerprint(route="s"),
    ]
    assert fingerprint() == fingerprint()
    assert len({fingerprint(), *others}) == 6
    with_headers = Request("GET", "/a", [(b"x-attempt-id", b"2")])
    assert request_fingerprint("r", "mill", with_headers, b"") == fingerprint()


class FakeNetwork:
    """Datagram sockets of nodes; some datagrams are lost."""

    def __init__(self, loss):
        self.loss = loss
        self.rng = random.Random(1)
        self.reporters = {}

    def add(self, name, clock):
        node = FakeSocket(self, name)
        directory = FakeDirectory(self)
        reporter = CrashReporter(
            Quarantine(), node, directory, f"{name}:1", FakeJournal(), clock
        )
        self.reporters[name] = reporter
        return reporter


class FakeSocket:
    address = "x:7"

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.handlers = {}

    async def send(self, kind, data, address):
        if self.network.rng.random() >= self.network.loss:
            receiver = self.network.reporters[address.partition(":")[0]]
            await receiver.receive(data, (self.name, 7))


class FakeDirectory:
    def __init__(self, network):
        self.network = network

    @property
    def hosts(self):
        return {f"{name}:1": None for name in self.network.reporters}


class FakeJournal:
    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append(event)

    def count(self, event, outcome=""):
        self.events.append(event)


def run_to_end(coroutine):
    with pytest.raises(StopIteration) as end:
        coroutine.send(None)
    return end.value.value


def repeat_reports(network, clock, seconds):
    for _ in range(int(seconds / 0.2)):
        clock.advance(0.2)
        for reporter in list(network.reporters.values()):
            for report in reporter.reports:
                run_to_end(reporter.repeat(report, clock.now()))


def test_reports_reach_all_nodes_despite_lost_datagrams():
    clock = ManualClock(0.0)
    network = FakeNetwork(loss=0.2)
    reporters = [network.add(f"n{index}", clock) for index in range(6)]
    for index in range(MAX_CRASHES):
        run_to_end(reporters[index].report_crash(f"i{index}/1", [DEADLY, OTHER]))
    run_to_end(reporters[5].exonerate(OTHER))
    repeat_reports(network, clock, STABLE_SECONDS)
    for reporter in reporters:
        assert reporter.quarantine.remaining(DEADLY, clock.now()) > 0
        assert not reporter.quarantine.remaining(OTHER, clock.now())


def test_node_that_starts_later_learns_of_the_quarantine():
    """Two of the nodes that reported a crash are gone by then."""
    clock = ManualClock(0.0)
    network = FakeNetwork(loss=0.0)
    for index in range(MAX_CRASHES):
        reporter = network.add(f"n{index}", clock)
        run_to_end(reporter.report_crash("i/0", []))
    for index in range(MAX_CRASHES):
        reporter = network.reporters[f"n{index}"]
        run_to_end(reporter.report_crash(f"i{index}/1", [DEADLY]))
    del network.reporters["n0"], network.reporters["n1"]
    clock.advance(10.0)
    started = network.add("n9", clock)
    repeat_reports(network, clock, STABLE_SECONDS)
    assert started.quarantine.remaining(DEADLY, clock.now()) > 0


def test_reports_of_crashes_outlast_those_of_responses():
    clock = ManualClock(0.0)
    reporter = FakeNetwork(0.0).add("n1", clock)
    run_to_end(reporter.report_crash("i0/1", [DEADLY]))
    for index in range(MAX_REPORTS + 5):
        fingerprint = index.to_bytes(4)
        crash_times(reporter.quarantine, fingerprint, MAX_CRASHES)
        run_to_end(reporter.exonerate(fingerprint))
    assert len(reporter.reports) == MAX_REPORTS
    assert reporter.reports[0].message.crashes


def test_malformed_report_is_logged():
    clock = ManualClock(0.0)
    reporter = FakeNetwork(0.0).add("n1", clock)
    for data in (b"", b"\xc1", b"\x91\x05"):
        run_to_end(reporter.receive(data, ("n2", 7)))
    assert reporter.journal.events == ["crash_report_invalid"] * 3


HOSTS = ("h2", "h3", "h4", "h5")


@pytest.fixture
def platform():
    with Platform() as platform:
        platform.publish(configuration(3))
        platform.start_host("h1", "desk")
        for name in HOSTS:
            platform.start_host(name, "yard", "--deadly", "/inner/deadly")
        platform.wait_until_served("h1", "/inner/first")
        platform.deaths = 0
        yield platform


def restart_dead_targets(platform):
    """Start the targets that have ended again, and count them."""
    for name in HOSTS:
        if platform.processes[f"target-{name}"].process.poll() is not None:
            platform.deaths += 1
            platform.start_endpoint(name, "yard", "--deadly", "/inner/deadly")


def send_deadly(platform, name):
    """Send the deadly request once to a node, and one that is not; return both."""
    deadly = platform.send(name, "/inner/deadly")
    restart_dead_targets(platform)
    return deadly, platform.send(name, f"/inner/other-{time.monotonic_ns()}")


def test_request_that_crashed_three_targets_is_sent_to_no_more(platform):
    """It comes from clients of all nodes."""
    started = time.monotonic()
    while platform.deaths < MAX_CRASHES and time.monotonic() - started < 20.0:
        send_deadly(platform, "h1")
    wait(STABLE_SECONDS)
    known = platform.deaths
    for name in ("h1", *HOSTS) * 2:
        deadly, other = send_deadly(platform, name)
    assert platform.deaths - known <= ALLOWED_LATER
    assert deadly.status == 503 and float(deadly.headers["retry-after"]) > 0
    assert other.status == 200
    (line, *_) = platform.wait_for(
        lambda: platform.log_lines("h1", "quarantined"), "is logged"
    )
    assert len(line["crashes"]) == MAX_CRASHES


def test_node_that_restarts_knows_the_request_that_crashes_targets(platform):
    started = time.monotonic()
    while platform.deaths < MAX_CRASHES and time.monotonic() - started < 20.0:
        send_deadly(platform, "h1")
    platform.processes["h1"].kill()
    platform.start_node("h1", "desk")
    platform.wait_until_served("h1", "/inner/again")
    wait(STABLE_SECONDS)
    known = platform.deaths
    for _ in range(5):
        send_deadly(platform, "h1")
    assert platform.deaths == known


def test_slow_and_failing_requests_are_not_quarantined(platform):
    for name in HOSTS:
        platform.configure_target(name, mode="fail")
    failed = [platform.send("h1", "/inner/failing").status for _ in range(5)]
    assert failed == [500] * 5
    for name in HOSTS:
        platform.configure_target(name, mode="")
    slow = [
        platform.send("h1", "/inner/slow?work=1", deadline_ms=300).status
        for _ in range(5)
    ]
    assert slow == [504] * 5
    assert platform.send("h1", "/inner/slow?work=1").status == 200
    assert platform.send("h1", "/inner/failing").status == 200


def test_lost_responses_of_a_target_that_lives_blame_no_request(platform):
    for name in HOSTS:
        platform.configure_target(name, mode="lost")
    for _ in range(4):
        platform.send("h1", "/inner/lost")
    for name in HOSTS:
        platform.configure_target(name, mode="")
    assert platform.send("h1", "/inner/lost").status == 200
    assert not any(platform.log_lines(name, "target_crashed") for name in HOSTS)

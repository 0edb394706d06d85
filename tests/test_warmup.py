"""A cold target never gets more requests in any second than it takes."""

import random
import threading
from types import SimpleNamespace

import curio
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from carawaywheel.admission import Admitted
from carawaywheel.clock import ManualClock
from carawaywheel.errors import ProtocolError
from carawaywheel.fairness import Ticket
from carawaywheel.mesh.callgraph import CallGraph
from carawaywheel.mesh.configuration import Service
from carawaywheel.mesh.execution import TargetRunner
from carawaywheel.mesh.journal import Journal
from carawaywheel.mesh.settings import Bounds
from carawaywheel.mesh.shedding import AdmissionLevelTable
from carawaywheel.mesh.target import Heartbeat, LocalTarget, Phase
from carawaywheel.mesh.warmup import WINDOW_SECONDS, WarmupLimit, WarmupSettings
from carawaywheel.mesh.warmupenforcer import WarmupEnforcer
from carawaywheel.platform.headers import decode_health_headers
from carawaywheel.platform.heartbeats import decode_heartbeat
from carawaywheel.platform.settings import read_host_settings
from carawaywheel.refusals import Importance, Outcome, Reason
from standins.platform import HostAddresses

from .platform_harness import Platform, configuration, wait

SETTINGS = WarmupSettings(3.0, 3.1, 1.5, 8.0)
LIMIT = 12


def make_limit(now=0.0, restarted=False):
    return WarmupLimit(SETTINGS, now, restarted)


def send(limit, now, count=1000):
    """Send as many of some waiting requests as allowed; return their number."""
    sent = min(limit.free(now), count)
    for _ in range(sent):
        limit.record_send(now)
    return sent


def most_in_window(times, seconds=1.0):
    """Return the highest number of times within any window."""
    return max(
        (sum(start <= at < start + seconds for at in times) for start in times),
        default=0,
    )


def test_burst_uses_the_whole_limit_and_the_next_waits_for_the_window():
    limit = make_limit()
    limit.set_cold(3.0, 0.0)
    assert SETTINGS.limit == LIMIT
    assert send(limit, 0.0) == LIMIT
    assert limit.wait(1, 0.2) == pytest.approx(WINDOW_SECONDS - 0.2)
    assert limit.wait(LIMIT + 1, 0.2) == pytest.approx(2 * WINDOW_SECONDS - 0.2)
    assert limit.wait(90, 0.2) == pytest.approx(2.8)
    assert send(limit, 1.0) == 0
    assert send(limit, 1.06) == LIMIT


def test_sends_before_the_target_became_cold_count():
    """Guards against a limit on top of what a warm target got in the last second."""
    limit = make_limit()
    assert send(limit, 0.0, 30) == 30
    limit.set_cold(3.0, 0.1)
    assert limit.free(0.1) == 0
    assert limit.free(WINDOW_SECONDS) == LIMIT


def test_restarted_node_assumes_the_sends_of_its_former_process():
    limit = make_limit(5.0, restarted=True)
    limit.set_cold(8.0, 5.1)
    assert limit.free(6.0) == 0
    assert limit.free(6.06) == LIMIT


def test_rejected_send_does_not_count_but_older_ones_do():
    """Guards against sends that left the log before a newer one was forgotten."""
    limit = make_limit()
    for number in range(30):
        limit.record_send(0.01 * number)
    limit.forget_send(0.29)
    limit.set_cold(3.0, 0.3)
    assert limit.free(0.3) == 0
    limit = make_limit()
    limit.set_cold(3.0, 0.0)
    send(limit, 0.0, 4)
    limit.forget_send(0.0)
    assert limit.free(0.0) == LIMIT - 3


def test_late_heartbeat_does_not_end_an_assumption():
    """A heartbeat of the former process may arrive after the target has restarted."""
    limit = make_limit()
    limit.assume_cold(0.0, "refused")
    limit.set_cold(0.5, 0.5)
    assert limit.remaining(0.5) == pytest.approx(2.5)
    limit.set_cold(4.5, 2.0)
    assert limit.remaining(2.0) == pytest.approx(2.5)
    limit.set_cold(3.1, 3.1)
    assert not limit.is_cold(3.1)


def test_health_check_determines_the_state_unless_an_event_followed():
    limit = make_limit()
    limit.assume_cold(0.0, "refused")
    events = limit.events
    assert limit.confirm(0.0, 0.1, events)
    assert not limit.is_cold(0.1)
    limit.assume_cold(0.2, "refused")
    assert not limit.confirm(0.0, 0.3, events)
    assert limit.is_cold(0.3)


def test_absent_target_stays_cold_until_its_warm_up_after_its_return():
    """Guards against a target that starts late after it refused connections."""
    limit = make_limit()
    limit.mark_absent(0.0, "refused")
    assert limit.is_cold(60.0)
    assert limit.mark_present(60.0)
    assert not limit.mark_present(60.1)
    assert limit.remaining(60.0) == pytest.approx(3.0)


def test_absent_target_that_takes_nothing_while_cold_is_used_again():
    """Guards against a target that gets no connection, and so stays absent for ever."""
    limit = WarmupLimit(WarmupSettings(3.0, 0.5, 1.5, 0.0), 0.0)
    assert limit.settings.limit == 0
    limit.mark_absent(0.0, "refused")
    assert limit.free(2.9) == 0
    assert limit.free(3.1) > 0
    assert limit.mark_present(3.1)
    assert limit.free(6.0) == 0
    assert limit.free(6.2) > 0


def test_service_without_a_rate_has_no_limit():
    limit = WarmupLimit(WarmupSettings(), 0.0, restarted=True)
    limit.mark_absent(0.0, "refused")
    assert not limit.is_cold(0.0)
    assert limit.free(0.0) > 1000
    assert limit.wait(99, 0.0) == 0.0


def test_target_that_started_before_its_limit_was_known_is_cold():
    """Guards against a burst at a target that started just before the configuration."""
    limit = WarmupLimit(WarmupSettings(), 0.0)
    limit.assume_cold(0.0, "started")
    assert not limit.is_cold(0.1)
    limit.configure(SETTINGS)
    assert limit.is_cold(0.5) and not limit.is_cold(3.0)
    assert not limit.set_cold(0.5, 0.5) and limit.is_cold(0.5)


def test_higher_limit_counts_sends_that_the_log_has_no_more():
    limit = make_limit()
    send(limit, 0.0, 40)
    limit.configure(SETTINGS._replace(slack=30.0))
    limit.set_cold(3.0, 0.1)
    assert limit.free(0.1) == 0


@given(st.lists(st.tuples(st.floats(0.0, 0.6), st.integers(0, 15)), max_size=60))
def test_no_window_exceeds_the_limit(steps):
    limit = make_limit()
    limit.set_cold(1e9, 0.0)
    now, times = 0.0, []
    for pause, count in steps:
        now += pause
        times += [now] * send(limit, now, count)
    assert most_in_window(times) <= LIMIT


@given(
    st.lists(st.floats(0.0, 1.0), max_size=20),
    st.integers(1, 30),
)
def test_expected_wait_is_the_time_at_which_a_request_may_be_sent(pauses, position):
    limit = make_limit()
    limit.set_cold(1e6, 0.0)
    now = 0.0
    for pause in pauses:
        now += pause
        send(limit, now, 1)
    expected = now + limit.wait(position, now)
    sent = 0
    while sent < position:
        wait = limit.wait(1, now)
        now += wait + 1e-9 if wait else 0.0
        sent += send(limit, now, 1)
    assert now == pytest.approx(expected, abs=1e-6)


def decode(warmup):
    status = f'{{"phase":"ready","sequence":1{warmup}}}'
    info = '{"service":"s","zone":"a","capacity":9}'
    body = f'{{"address":"a:1","info":{info},"status":{status}}}'
    return decode_heartbeat("/api/instances/i-1", body.encode())


def test_malformed_warm_up_times_are_rejected():
    """Guards against a malformed time that makes a cold target warm."""
    assert decode("").warmup_remaining is None
    assert decode(',"warmup_left_s":0').warmup_remaining == 0
    for text in ("-0.1", '"1"', "NaN", "1e999"):
        with pytest.raises(ProtocolError):
            decode(f',"warmup_left_s":{text}')
    for value in (b"-1", b"soon", b"nan", b"inf"):
        assert decode_health_headers([(b"x-warmup-ms", value)]).warmup_remaining is None


def test_response_of_a_warm_target_tells_no_warm_up_time():
    """Guards against a warm target that counts as cold after its health check."""
    metadata = decode_health_headers([(b"x-instance-id", b"i-1")])
    assert metadata == ("i-1", 0.0)


class Process:
    """A process of the target, with the requests that it received."""

    def __init__(self, born, cold_until):
        self.born = born
        self.cold_until = cold_until
        self.sequence = 0
        self.arrivals = []
        self.is_connected = False


class Machine:
    """A node and its target, which restarts under the same id at any time.

    Heartbeats arrive in any order, at any time or not at all.
    """

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.process = Process(1, 103.0)
        self.is_running = True
        self.heartbeats = []
        self.last_send_at = 0.0
        self.start_node(True)
        self.heartbeat()
        self.deliver(0)

    def start_node(self, first_start):
        node = SimpleNamespace(first_start=first_start, heartbeat=1.5, bounds=Bounds())
        self.enforcer = WarmupEnforcer(node, Journal("h1"), self.clock)
        self.enforcer.configure(node, Service("desk", "/h", 9, 3.0, 3.1))
        self.target = LocalTarget("desk", "a:1")
        self.target.on_heartbeat = self.enforcer.receive_heartbeat
        self.process.is_connected = False

    def connect(self):
        """Open a connection unless one is open; return whether the target accepts."""
        if not self.is_running:
            self.enforcer.on_refused()
        elif not self.process.is_connected:
            self.process.is_connected = True
            self.enforcer.on_connected(False)
        return self.is_running

    def receive(self, delay):
        """Count a request that arrives after a delay since it was recorded."""
        self.last_send_at = self.clock.now()
        at = self.last_send_at + delay
        self.process.arrivals.append((at, at < self.process.cold_until))

    def advance(self, seconds):
        self.clock.advance(seconds)
        self.enforcer.observe(self.clock.now())

    def send(self, count, delay):
        for number in range(count if self.target.ready else 0):
            name = str(number)
            self.enforcer.admitted(name)
            if self.connect() and self.enforcer.take(name, self.clock.now()):
                self.receive(delay)
                self.enforcer.record_response()
            self.enforcer.ended(name)

    def check_health(self, is_lost):
        now = self.clock.now()
        if not self.target.ready or not self.enforcer.health_check_due:
            return
        if not self.connect() or not self.enforcer.take_health_check("h", now):
            return
        self.receive(0.0)
        if not is_lost:
            remaining = max(0.0, self.process.cold_until - now)
            self.enforcer.confirm(remaining, self.enforcer.limit.events)

    def crash(self, is_noticed):
        self.is_running = False
        if is_noticed:
            self.connect()

    def restart(self):
        self.process = Process(self.process.born + 1, self.clock.now() + 3.0)
        self.is_running = True

    def become_cold_and_tell(self, seconds):
        if not self.is_running:
            return
        self.clock.advance(0.04)
        self.process.cold_until = self.clock.now() + seconds
        self.heartbeat()
        self.deliver(-1)
        self.send(12, 0.0)

    def warm_up(self):
        """Let a target become warm and serve; a later heartbeat is on its way."""
        if not self.is_running:
            return
        self.clock.advance(4.0)
        self.heartbeat()
        self.deliver(-1)
        self.send(30, 0.0)
        self.heartbeat()

    def heartbeat(self):
        if not self.is_running:
            return
        process = self.process
        process.sequence += 1
        remaining = max(0.0, process.cold_until - self.clock.now())
        fields = (60, Phase.READY, process.born, process.sequence, remaining)
        self.heartbeats.append(Heartbeat("i-1", "desk", "a:1", *fields))

    def deliver(self, index):
        if not self.heartbeats:
            return
        self.target.receive(self.heartbeats.pop(index % len(self.heartbeats)))

    def restart_node(self, is_told):
        self.start_node(False)
        if self.is_running and is_told:
            self.heartbeat()
            self.deliver(-1)

    def evacuate(self):
        self.enforcer.assume_cold("evacuation ends")

    def fail_exchange(self):
        if self.target.ready:
            self.enforcer.record_failure()

    def check_process(self):
        arrivals = self.process.arrivals
        for at, is_cold in arrivals:
            if is_cold:
                assert sum(at - 1.0 < other <= at for other, _ in arrivals) <= LIMIT

    def idle_limit_has_capacity(self):
        now = self.clock.now()
        if now - self.last_send_at > WINDOW_SECONDS and self.target.ready:
            recent = now - self.enforcer.limit.log[-1] if self.enforcer.limit.log else 9
            assert recent <= WINDOW_SECONDS or self.enforcer.free(now) >= LIMIT - 1


FLAGGED = ("crash", "restart_node", "check_health")
EVENTS = [
    *[("send", count, delay) for count in (30, 12, 1) for delay in (0.0, 0.04)],
    *[("advance", seconds) for seconds in (4.0, 1.0, 0.97, 0.3, 0.02)],
    *[("deliver", index) for index in (0, 1, -1)],
    *[("become_cold_and_tell", seconds) for seconds in (5.0, 0.1)],
    *[(name, flag) for name in FLAGGED for flag in (True, False)],
    *[(name,) for name in ("restart", "warm_up") * 2],
    *[(name,) for name in ("heartbeat", "evacuate", "fail_exchange")],
]
CRASH, RESTART = ("crash", False), ("restart",)
BURST, LATE_HEARTBEAT = ("send", 30, 0.0), ("deliver", -1)
SERVED = [("warm_up",), ("advance", 4.0)]


@settings(max_examples=200, deadline=None)
@example([("advance", 4.0), RESTART, BURST])
@example([*SERVED, CRASH, RESTART, BURST])
@example([*SERVED, CRASH, RESTART, BURST, LATE_HEARTBEAT, BURST])
@example([*SERVED, ("crash", True), ("advance", 4.0), RESTART, BURST])
@example([*SERVED, ("become_cold_and_tell", 5.0), ("restart_node", True), BURST])
@example([("warm_up",), ("become_cold_and_tell", 5.0), BURST])
@example([("send", 12, 0.04), ("advance", 1.0), BURST])
@given(st.lists(st.sampled_from(EVENTS), min_size=100, max_size=100))
def test_no_order_of_events_overruns_a_cold_target(events):
    machine = Machine()
    for name, *arguments in events:
        getattr(machine, name)(*arguments)
        machine.check_process()
        machine.idle_limit_has_capacity()


def make_runner(slots=60, remaining=3.0):
    """Return a runner beside a target that has told how long it stays cold."""
    clock, rng = ManualClock(100.0), random.Random(1)
    node = SimpleNamespace(
        service="desk", first_start=True, heartbeat=1.5, bounds=Bounds()
    )
    target = LocalTarget("desk", "a:1")
    levels, journal = AdmissionLevelTable(rng), Journal("h1")
    parts = (node, target, CallGraph(), levels, journal, clock, None, rng, None, None)
    runner = TargetRunner(*parts)
    runner.configure(node, Service("desk", "/h", 9, 3.0, 3.1))
    fields = (slots, Phase.READY, 1, 1, remaining)
    target.receive(Heartbeat("i-1", "desk", "a:1", *fields))
    return runner, clock


@pytest.mark.parametrize("remaining", [None, 0.0, 3.0])
@pytest.mark.parametrize("restricts_targets", [False, True])
def test_only_a_target_that_may_be_restricted_waits_for_a_configuration(
    remaining, restricts_targets
):
    """Guards against refused calls where the platform knows of no cold targets.

    Its targets tell a warm-up time all the same.
    """
    runner, _ = make_runner(remaining=remaining)
    runner.awaits_configuration = True
    runner.settings.bounds = Bounds(restricts_targets=restricts_targets)
    assert (runner.current_gate() is None) is restricts_targets


def make_ticket(name, importance=Importance.NORMAL, deadline=110.0):
    return Ticket(name, "mill", importance, deadline)


def test_queue_of_a_cold_target_admits_by_importance_and_deadline():
    """Guards against waiting calls that no release of a slot admits."""
    runner, clock = make_runner()
    queue = runner.current_gate().queue
    for number in range(LIMIT):
        name = f"first-{number}"
        assert isinstance(queue.offer(make_ticket(name), 100.0).decision, Admitted)
        assert runner.warmup_enforcer.take(name, 100.0)
        queue.finish(name, 100.0, Outcome.OK, 0.0)
    late = queue.offer(make_ticket("late", deadline=101.0), 100.0).decision
    assert late.reason is Reason.DEADLINE
    for number in range(LIMIT):
        ticket = make_ticket(str(number))
        assert queue.expected_wait(ticket, 100.1) == pytest.approx(0.95)
        queue.offer(ticket, 100.1)
    queue.offer(make_ticket("order", Importance.CRITICAL), 100.1)
    assert not queue.poll(101.0).admitted
    admitted = queue.poll(101.06).admitted
    assert len(admitted) == LIMIT and admitted[0].request_id == "order"
    assert queue.waiting.keys() == {str(LIMIT - 1)}


def test_call_that_another_target_may_take_does_not_wait_for_a_cold_one():
    runner, clock = make_runner()

    async def run():
        gate = runner.current_gate()
        for number in range(LIMIT):
            assert (
                await runner.acquire_slot(gate, make_ticket(str(number)), False) is None
            )
            runner.warmup_enforcer.take(str(number), 100.0)
        return await runner.acquire_slot(gate, make_ticket("other"), False)

    refusal = curio.run(run)
    assert (refusal.reason, refusal.step) == (Reason.QUEUE_FULL, "warm-up")
    assert refusal.retry_after == pytest.approx(WINDOW_SECONDS)


def test_waiting_calls_leave_a_target_that_becomes_cold():
    """Guards against calls that wait for seconds while other targets are warm."""
    runner, clock = make_runner(slots=2, remaining=0.0)

    async def run():
        gate = runner.current_gate()
        await runner.acquire_slot(gate, make_ticket("running"), True)
        for _ in range(LIMIT):
            runner.warmup.record_send(100.0)
        waiting = await curio.spawn(runner.acquire_slot, gate, make_ticket("a"), False)
        patient = await curio.spawn(runner.acquire_slot, gate, make_ticket("b"), True)
        await curio.sleep(0)
        assert gate.queue.queued == 2
        runner.assume_cold("evacuation ends")
        for seconds in (0.0, 0.09, 0.02):
            await runner.refuse_rerouted(gate, clock.advance(seconds))
        refusal = await waiting.join()
        assert gate.queue.waiting.keys() == {"b"}
        await patient.cancel()
        return refusal

    assert curio.run(run).step == "warm-up"


@pytest.mark.parametrize("is_evacuated", [False, True])
def test_calls_that_wait_for_a_former_incarnation_leave_as_well(is_evacuated):
    """Guards against calls that wait for a cold target after its replacement."""
    runner, clock = make_runner()

    async def run():
        gate = runner.current_gate()
        for number in range(LIMIT):
            await runner.acquire_slot(gate, make_ticket(str(number)), True)
            runner.warmup_enforcer.take(str(number), 100.0)
        # While one is due, calls that another target may take wait for its result.
        runner.warmup_enforcer.expect_health_check()
        calls = [
            await curio.spawn(runner.acquire_slot, gate, make_ticket(name), may_wait)
            for name, may_wait in (("a", False), ("b", True))
        ]
        await curio.sleep(0)
        assert gate.queue.queued == 2
        restarted = runner.target.heartbeat._replace(incarnation=2)
        assert runner.target.receive(restarted)
        assert runner.current_gate() is not gate
        runner.evacuated = is_evacuated
        await runner.poll_replaced_gates(clock.advance(0.2))
        assert gate.queue.waiting.keys() == (set() if is_evacuated else {"b"})
        refusals = [await calls[0].join()]
        if is_evacuated:
            refusals.append(await calls[1].join())
        else:
            await calls[1].cancel()
        return {refusal.step for refusal in refusals}

    assert curio.run(run) == {"evacuation" if is_evacuated else "warm-up"}


@pytest.mark.parametrize(
    ("status", "headers", "error"),
    [
        (None, [], "timed out"),
        (503, [(b"x-instance-id", b"i-1")], "the status is 503"),
        (200, [(b"x-instance-id", b"i-2")], "the target is 'i-2'"),
        (
            200,
            [(b"x-instance-id", b"i-1"), (b"x-warmup-ms", b"soon")],
            "the warm-up time is not valid",
        ),
        (200, [(b"x-instance-id", b"i-1"), (b"x-warmup-ms", b"500")], None),
    ],
)
def test_health_check_that_determines_nothing_is_logged(status, headers, error):
    """Guards against a state that stays assumed without a log line that tells why."""
    runner, _ = make_runner()
    errors = []
    runner.journal.write = lambda event, **fields: errors.append(
        (event, fields.get("error"))
    )

    async def receive_head():
        if status is None:
            await curio.sleep(10)
        return SimpleNamespace(status=status, headers=headers)

    async def do_nothing(*_):
        pass

    async def connect(*_):
        return SimpleNamespace(send=do_nothing, receive_head=receive_head)

    runner.connect = connect
    runner.drain_response = runner.pool.discard = do_nothing

    async def run():
        gate, ticket = runner.current_gate(), make_ticket("check")
        gate.queue.admit_ahead(ticket, 100.0)
        await runner.health_checker.run(gate, ticket, runner.target.heartbeat, "/h")
        return gate.queue.in_flight

    assert curio.run(run) == 0
    expected = [("health_check_failed", error)] if error else []
    assert [line for line in errors if line[0] == "health_check_failed"] == expected


@pytest.fixture
def platform():
    services = [
        {"name": name, "health_path": "/h", "warmup_s": 3.0, "warmup_per_s": 3.1}
        for name in ("desk", "yard")
    ]
    with Platform() as platform:
        platform.publish(configuration(3, services=services))
        platform.start_host("h1", "desk")
        platform.start_host("h2", "yard")
        platform.wait_until_served("h1", "/inner/first")
        yield platform


class Load:
    """Threads that send reads for the target of h2 until they are stopped."""

    def __init__(self, platform, count=24):
        self.platform = platform
        self.stopped = threading.Event()
        self.statuses = []
        self.threads = [
            threading.Thread(target=self.run, daemon=True) for _ in range(count)
        ]

    def run(self):
        while not self.stopped.is_set():
            try:
                status = self.platform.send("h1", "/inner/x", deadline_ms=2000).status
            except OSError:
                status = 0
            self.statuses.append(status)
            if status != 200:
                wait(0.05)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exception):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def start_cold_target(platform, *arguments):
    platform.start_endpoint(
        "h2", "yard", "--warmup", "3", "--cold-limit", str(LIMIT), *arguments
    )


def check_target(platform, least):
    """Check that the target has not ended, and how much of the limit was used."""
    assert platform.processes["target-h2"].process.poll() is None
    most = platform.target_state("h2")["most_while_cold"]
    assert least <= most <= LIMIT


@pytest.mark.parametrize("is_loaded", [True, False])
def test_target_that_restarts_cold_under_its_id_is_not_overrun(platform, is_loaded):
    """No heartbeat tells of it in time, and an idle node sees no refused connection."""
    with Load(platform):
        wait(1.0)
        if is_loaded:
            platform.processes["target-h2"].kill()
            wait(0.3)
            start_cold_target(platform, "--heartbeat-delay", "4")
            wait(4.0)
    if not is_loaded:
        platform.processes["target-h2"].kill()
        start_cold_target(platform, "--heartbeat-delay", "4")
        with Load(platform):
            wait(3.5)
    check_target(platform, LIMIT // 2)
    reasons = {line["reason"] for line in platform.log_lines("h2", "target_cold")}
    assert ("refused" if is_loaded else "reconnected") in reasons
    platform.wait_for(lambda: platform.log_lines("h2", "target_warm"), "is warm")


def test_target_is_not_overrun_when_the_node_beside_it_is_killed(platform):
    """The new process does not know what the former one sent in the last second."""
    platform.processes["target-h2"].kill()
    with Load(platform):
        start_cold_target(platform, "--warmup", "8")
        wait(1.5)
        platform.processes["h2"].kill()
        platform.start_node("h2", "yard")
        wait(6.0)
    check_target(platform, LIMIT // 2)


def test_health_check_ends_an_assumption_that_does_not_hold(platform):
    """Guards against a warm target that gets 12 requests a second until a heartbeat."""
    platform.configure_target("h2", silent=True)
    platform.processes["h2"].kill()
    platform.start_node("h2", "yard")
    platform.configure_target("h2", silent=False)
    platform.wait_until_served("h1", "/inner/x")
    with Load(platform):
        wait(2.0)
    (line, *_) = platform.log_lines("h2", "target_warm")
    assert line["origin"] == "health check"
    assert platform.log_lines("h2", "health_check_failed") == []


def test_settings_file_tells_whether_targets_may_be_restricted(tmp_path):
    path = tmp_path / "boot.toml"
    content = HostAddresses(5, 20000).boot_file(
        "h1", "desk", "127.0.0.1:1", "127.0.0.1:2"
    )
    lines = content.splitlines(keepends=True)
    older = "".join(line for line in lines if not line.startswith("warmup_"))
    path.write_text(older)
    assert read_host_settings(str(path)).bounds.restricts_targets is False
    path.write_text(older.replace("[bounds]\n", "[bounds]\nwarmup_slack = 4\n"))
    bounds = read_host_settings(str(path)).bounds
    assert bounds.restricts_targets and bounds.warmup_slack == 4
    assert bounds.warmup_overage == Bounds().warmup_overage

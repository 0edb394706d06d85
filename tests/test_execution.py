"""Calls that are queued for a target, admitted to it or refused."""

import random
from types import SimpleNamespace
from unittest.mock import AsyncMock

import curio

from carawaywheel.admission import AdmissionQueue, Admitted, Queued
from carawaywheel.clock import ManualClock
from carawaywheel.fairness import Ticket
from carawaywheel.http import Request
from carawaywheel.limits import FixedLimit
from carawaywheel.mesh.callgraph import CallGraph
from carawaywheel.mesh.execution import TargetRunner, equal_part, queue_importance
from carawaywheel.mesh.journal import Journal
from carawaywheel.mesh.messages import Call
from carawaywheel.mesh.requests import CallProgress
from carawaywheel.mesh.settings import Bounds, HostSettings, Listeners, StoreSettings
from carawaywheel.mesh.shedding import AdmissionLevelTable
from carawaywheel.mesh.target import Heartbeat, LocalTarget, Phase
from carawaywheel.refusals import Importance, Outcome, Ran, Reason
from carawaywheel.settings import AdmissionSettings
from carawaywheel.stalls import StallDetector


def make_call(priority, from_target=False):
    return Call(
        "a", "s", "r", 1.0, priority, "", "o", from_target, False, False, True, 1
    )


def test_calls_of_targets_queue_with_the_second_priority():
    queue = AdmissionQueue(
        AdmissionSettings(fair=False), FixedLimit(1), 10, random.Random(1)
    )

    def offer(request_id, call, account):
        ticket = Ticket(request_id, account, queue_importance(call), 100.0)
        return queue.offer(ticket, 0.0).decision

    assert isinstance(offer("running", make_call(1), "mill"), Admitted)
    assert isinstance(offer("read", make_call(1), "mill"), Queued)
    for index in range(3):
        offer(f"call-{index}", make_call(2, from_target=True), "")
    offer("order", make_call(0), "county")
    admission_order = []
    running_id = "running"
    for _ in range(5):
        queue_changes = queue.finish(running_id, 0.1, Outcome.OK, 0.05)
        running_id = queue_changes.admitted[0].request_id
        admission_order.append(running_id)
    assert admission_order == ["order", "read", "call-0", "call-1", "call-2"]


def test_priority_beyond_the_last_importance_maps_to_the_last():
    assert queue_importance(make_call(7)) is Importance.SHEDDABLE
    assert queue_importance(make_call(0)) is Importance.CRITICAL


def test_parts_of_the_retry_slack_add_up_to_it():
    """Rounded down, the slack of 213 left 2 for each of 71 targets and 0 for 300."""
    for total in (0, 1, 149, 213):
        for count in (1, 3, 71, 300):
            parts = [equal_part(total, count, index) for index in range(count)]
            assert sum(parts) == total
            assert max(parts) - min(parts) <= 1


def make_runner(slots):
    """Return a runner whose target is ready."""
    address = "127.0.0.1:1"
    store, bounds = StoreSettings(""), Bounds()
    listen = Listeners(*[""] * 7)
    settings = HostSettings("n", "a", "s", address, listen, store, bounds, 0)
    clock, rng = ManualClock(10.0), random.Random(1)
    target = LocalTarget("s", address)
    target.receive(Heartbeat("i", "s", address, slots, Phase.READY, 1, 1))
    reporter = SimpleNamespace(quarantine=SimpleNamespace(suspects={}))
    state = settings, target, CallGraph(), AdmissionLevelTable(rng), Journal("n")
    runner = TargetRunner(*state, clock, StallDetector(clock), rng, None, reporter)
    runner.configure(settings, None)
    return runner


async def refuse_waiting_calls():
    """Refuse the calls that wait, while one is in the queue and one connects."""
    runner = make_runner(1)
    opened = curio.Event()

    async def acquire(peer):
        await opened.wait()

    runner.pool = SimpleNamespace(acquire=acquire, release=AsyncMock())
    tasks = [
        await curio.spawn(runner.run, make_call(1), SimpleNamespace(), [], b"")
        for _ in range(2)
    ]
    while runner.gate is None or not runner.gate.queue.queued:
        await curio.sleep(0)
    await runner.refuse_waiting()
    await opened.set()
    return [await task.join() for task in tasks]


def test_calls_that_have_not_begun_when_the_node_exits_are_refused_as_not_run():
    """Guards against calls that are cut off in the queue, and ones begun too late."""
    for refusal in curio.run(refuse_waiting_calls):
        assert (refusal.reason, refusal.ran) == (Reason.SHUTTING_DOWN, Ran.NOT_RUN)


async def cancel_before_the_first_step():
    """Cancel a call whose task has not run yet, as for two frames of one read."""
    runner, connection = make_runner(1), SimpleNamespace(send=AsyncMock())
    runner.pool = SimpleNamespace(
        acquire=AsyncMock(return_value=connection), release=AsyncMock()
    )
    progress = CallProgress()
    call = runner.run(
        make_call(1), Request("GET", "/x", []), [], b"", progress=progress
    )
    task = await curio.spawn(call)
    await task.cancel()
    return runner, connection, progress, task


def test_call_that_is_cancelled_before_it_runs_is_not_sent_to_the_target():
    """Guards against a call that runs and whose caller never gets an answer."""
    runner, connection, progress, task = curio.run(cancel_before_the_first_step)
    assert isinstance(task.exception, curio.CancelledError)
    connection.send.assert_not_awaited()
    assert not progress.begun
    runner.pool.release.assert_awaited_once_with(connection)
    assert not runner.gate.queue.running


def test_evacuation_that_begins_while_a_connection_opens_keeps_the_call_back():
    """Guards against a request to the target up to 0.3 s after all nodes know."""
    runner = make_runner(5)

    async def acquire(peer):
        runner.on_evacuation_changed(True)

    runner.pool = SimpleNamespace(acquire=acquire, release=AsyncMock())
    refusal = curio.run(runner.run, make_call(1), SimpleNamespace(), [], b"")
    assert (refusal.step, refusal.ran) == ("evacuation", Ran.NOT_RUN)
    runner.pool.release.assert_awaited_once()
    assert not runner.gate.queue.running
    runner.pool = None
    refusal = curio.run(runner.run, make_call(1), SimpleNamespace(), [], b"")
    assert (refusal.step, refusal.ran) == ("evacuation", Ran.NOT_RUN)
    # Otherwise all nodes would probe all hosts of the domain.
    assert runner.build_reply("r", refusal).serving

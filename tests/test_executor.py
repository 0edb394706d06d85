import random

import curio

from carawaywheel.admission import AdmissionQueue, Ticket
from carawaywheel.clock import ManualClock
from carawaywheel.executor import AdmissionGate
from carawaywheel.limits import FixedLimit
from carawaywheel.refusals import Importance, Outcome, Reason, Refusal
from carawaywheel.routing import TargetState
from carawaywheel.settings import AdmissionSettings
from carawaywheel.targets import LocalTarget

TARGET = LocalTarget("t", "s", "127.0.0.1:1", 1, 7, 0.0, TargetState.READY, 0.0)


def make_gate(clock, slots=1):
    queue = AdmissionQueue(
        AdmissionSettings(), FixedLimit(slots), slots, random.Random(1)
    )
    return AdmissionGate(TARGET, queue, clock)


def ticket(name, deadline=50.0, importance=Importance.NORMAL):
    return Ticket(name, "account", importance, deadline)


def test_a_request_that_is_admitted_before_it_waits_is_not_lost():
    """Guards against a lost wake-up.

    Waking other requests gives way to tasks that may admit this request before it
    waits.
    """
    gate = make_gate(ManualClock(0.0))
    notify_waiters = gate.notify_waiters

    async def notify_and_release_slot(changes):
        await notify_waiters(changes)
        if "b" in gate.queue.waiting:
            await gate.release("a", Outcome.OK, 0.01)

    async def run():
        assert await gate.acquire(ticket("a")) is None
        gate.notify_waiters = notify_and_release_slot
        return await curio.timeout_after(2.0, gate.acquire, ticket("b"))

    assert curio.run(run) is None
    assert not gate.wake_events


def test_an_expired_request_in_the_queue_is_refused_as_not_run():
    """Guards against a request that stays queued after its deadline."""
    clock = ManualClock(0.0)
    gate = make_gate(clock)

    async def run():
        await gate.acquire(ticket("a"))
        task = await curio.spawn(gate.acquire, ticket("b", deadline=5.0))
        await curio.sleep(0)
        clock.advance(6.0)
        await gate.poll()
        return await curio.timeout_after(2.0, task.join)

    refusal = curio.run(run)
    assert isinstance(refusal, Refusal) and refusal.reason is Reason.DEADLINE
    assert not gate.wake_events and not gate.refusals


def test_a_cancelled_request_leaves_the_queue():
    """Guards against a slot that is granted to a request whose caller disconnected."""
    gate = make_gate(ManualClock(0.0))

    async def run():
        await gate.acquire(ticket("a"))
        waiting = [await curio.spawn(gate.acquire, ticket(name)) for name in "bc"]
        await curio.sleep(0)
        await waiting[0].cancel()
        await gate.release("a", Outcome.OK, 0.01)
        return await curio.timeout_after(2.0, waiting[1].join)

    assert curio.run(run) is None
    assert set(gate.queue.running) == {"c"}

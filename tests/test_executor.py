import random
from types import SimpleNamespace
from unittest.mock import AsyncMock, Mock

import curio

from carawaywheel.admission import AdmissionQueue, Ticket
from carawaywheel.clock import ManualClock
from carawaywheel.executor import AdmissionGate
from carawaywheel.limits import FixedLimit
from carawaywheel.refusals import Importance, Outcome, Ran, Reason, Refusal
from carawaywheel.routing import TargetState
from carawaywheel.settings import AdmissionSettings
from carawaywheel.shutdown import Shutdown
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


class SimulatedStop:
    """A stop of a node with one request at work and one that waits."""

    def __init__(self):
        self.gate = make_gate(ManualClock(0.0))
        self.intake = SimpleNamespace(in_flight=0, closed=False)
        settings = SimpleNamespace(node_id="n", leave_wait=0.0, stop_grace=0.02)
        executor = SimpleNamespace(gate=self.gate, shutting_down=False)
        parts = [SimpleNamespace(leave=AsyncMock()), SimpleNamespace(), None, None]
        parts[1].release_slots = AsyncMock()
        supervisor = SimpleNamespace(attempt=lambda component: component())
        self.shutdown = Shutdown(
            settings, self.intake, executor, [], *parts, supervisor, Mock()
        )

    async def wait(self):
        """Wait in the queue; return the refusal."""
        self.intake.in_flight += 1
        refusal = await self.gate.acquire(ticket("waiting"))
        self.intake.in_flight -= 1
        return refusal

    async def run(self):
        """Stop the node; return the refusal of the request that waits."""
        await self.gate.acquire(ticket("at work"))
        self.intake.in_flight += 1
        task = await curio.spawn(self.wait)
        await curio.sleep(0)
        await self.shutdown.run()
        return task.terminated and await task.join()


def test_requests_that_wait_at_the_end_of_the_grace_time_are_refused_as_not_run():
    """Guards against requests that a stop cuts off in the queue without an answer."""
    refusal = curio.run(SimulatedStop().run)
    assert (refusal.reason, refusal.ran) == (Reason.SHUTTING_DOWN, Ran.NOT_RUN)

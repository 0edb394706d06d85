"""Share of its calls that a target with its queue accepts, as replies report it."""

import random
from types import SimpleNamespace

import curio
import pytest

from carawaywheel.clock import ManualClock
from carawaywheel.http import Request
from carawaywheel.mesh.callgraph import CallGraph
from carawaywheel.mesh.execution import TargetRunner
from carawaywheel.mesh.messages import Call
from carawaywheel.mesh.quarantine import Quarantine
from carawaywheel.mesh.shedding import AdmissionLevelTable
from carawaywheel.mesh.target import Heartbeat, LocalTarget, Phase
from carawaywheel.platform.headers import decode_target_headers
from carawaywheel.stalls import StallDetector

from .test_policy import HOST_SETTINGS

SERVICE = HOST_SETTINGS.service
SLOTS = 5
SERVICE_SECONDS = 0.5
CALL_SECONDS = 1.0
STEP_SECONDS = 0.025
# One of the slots is kept free.
CAPACITY = 4 / SERVICE_SECONDS
CALLS = {SERVICE: 4.0}
FLAGS = (False, False, True)
RESPONSE_HEADERS = [(b"x-response-signature", b"d")]


class SlowTarget:
    """Connections to a target that answers each call after the service time."""

    def __init__(self, clock):
        self.clock = clock
        self.address = HOST_SETTINGS.target_address
        self.running = []

    async def acquire(self, address):
        return self

    async def release(self, connection):
        pass

    discard = release

    async def send(self, *request):
        pass

    async def receive_response(self, call, connection):
        ended = curio.Event()
        self.running.append((self.clock.now() + SERVICE_SECONDS, ended))
        await ended.wait()
        return CompleteResponse(), decode_target_headers(200, RESPONSE_HEADERS)

    async def end_calls(self):
        now = self.clock.now()
        for ends_at, ended in self.running:
            if ends_at <= now:
                await ended.set()
        self.running = [call for call in self.running if call[0] > now]


class CompleteResponse:
    """Response without a body."""

    status = 200
    headers = RESPONSE_HEADERS

    def buffered_chunk(self):
        return b""

    async def next_chunk(self):
        return b""


class Fixture:
    """A node beside a slow target, and an entry node that learns from its replies."""

    def __init__(self):
        self.clock = ManualClock(10.0)
        local_target = LocalTarget(SERVICE, HOST_SETTINGS.target_address)
        local_target.receive(
            Heartbeat("i", SERVICE, local_target.address, SLOTS, Phase.READY, 1, 1)
        )
        self.entry = AdmissionLevelTable(random.Random(1))
        self.runner = TargetRunner(
            HOST_SETTINGS,
            local_target,
            CallGraph(),
            AdmissionLevelTable(random.Random(1)),
            SimpleNamespace(write=lambda *event, **fields: None),
            self.clock,
            StallDetector(self.clock),
            random.Random(1),
            None,
            SimpleNamespace(quarantine=Quarantine()),
        )
        self.target = SlowTarget(self.clock)
        self.runner.pool = self.runner.receiver = self.target

    async def play(self, load, seconds, from_target=True):
        """Offer calls at a multiple of the capacity."""
        call = Call("a", SERVICE, "r", CALL_SECONDS, 1, "", "o", from_target, *FLAGS, 1)
        request = Request("GET", "/x", [])
        tasks = []
        for step in range(1, int(seconds / STEP_SECONDS) + 1):
            self.clock.advance(STEP_SECONDS)
            self.runner.stalls.tick()
            while len(tasks) < step * STEP_SECONDS * load * CAPACITY:
                tasks.append(await curio.spawn(self.runner.run, call, request, [], b""))
            await self.target.end_calls()
            await self.runner.gate.poll()
            await curio.sleep(0)
            reply = self.runner.build_reply("r", None)
            self.entry.update(reply.demands, self.clock.now())
        for task in tasks:
            await task.cancel()

    def share_refused(self):
        now = self.clock.now()
        return sum(self.entry.should_fail_fast(CALLS, now) for _ in range(200)) / 200


@pytest.fixture
def fixture():
    fixture = Fixture()
    fixture.runner.current_gate()
    return fixture


@pytest.mark.parametrize("load", [2.0, 5.0])
def test_request_is_refused_while_its_calls_expire_in_the_queue(fixture, load):
    """Otherwise it runs and fails: its calls have next to no chance of a slot."""
    curio.run(fixture.play, load, 6.0)
    assert fixture.share_refused() > 0.9
    curio.run(fixture.play, 0.5, 12.0)
    assert fixture.share_refused() == 0.0


def test_calls_within_capacity_all_count_as_accepted(fixture):
    curio.run(fixture.play, 0.9, 10.0)
    assert fixture.runner.accept_ratio == 1.0


def test_expired_requests_of_clients_do_not_count_as_refused_calls(fixture):
    """Otherwise a surge of low priorities takes all work from the targets above."""
    curio.run(fixture.play, 3.0, 6.0, False)
    assert fixture.runner.accept_ratio == 1.0

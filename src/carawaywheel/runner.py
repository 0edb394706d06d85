"""Running a call at the local target, whichever node it comes from."""

from typing import NamedTuple

import curio

from .attempts import AttemptState, AttemptTable
from .clock import Clock
from .contexts import RequestContext, ResponseMetadata
from .executor import AdmissionGate, Execution, TargetExecutor
from .http import Request
from .recorder import Recorder
from .refusals import Outcome, Ran, Reason, Refusal

STEP = "peer"


class LocalCall(NamedTuple):
    """A call at the local target, of which the answer's head has arrived.

    Attributes:
        context: Context of the call.
        info: What the node that asked is told of the answer.
        execution: The request at the target; None if it did not get there.
        gate: The gate that it passed, or None.
        latency: Seconds until the head of the answer.
        known: Whether the attempt was seen before and belongs to another call.
    """

    context: RequestContext
    info: ResponseMetadata
    execution: Execution | None
    gate: AdmissionGate | None
    latency: float
    known: bool


class CallRunner:
    """Admits calls, runs them at the local target and ends them.

    Attributes:
        attempts: Attempts that this node has seen.
    """

    def __init__(
        self, server: TargetExecutor, recorder: Recorder, clock: Clock
    ) -> None:
        self.server = server
        self.recorder = recorder
        self.clock = clock
        self.attempts = AttemptTable(clock.now())

    async def open(
        self, context: RequestContext, request: Request, body: bytes
    ) -> LocalCall:
        """Run a call until the head of its answer has arrived or it is refused.

        The result must be given to `close`; a cancelled call closes itself.
        """
        if not self.attempts.begin(context.attempt_id):
            ran = Ran.UNKNOWN
            if self.attempts.states[context.attempt_id] is AttemptState.FENCED:
                ran = Ran.NOT_RUN
            refusal = Refusal(Reason.DUPLICATE, ran, None, STEP, context.service)
            return self.refused(context, refusal, context.attempts, True)
        self.recorder.received(context)
        try:
            return await self.run(context, request, body)
        except BaseException:
            self.attempts.finish(context.attempt_id, self.clock.now())
            raise

    async def run(
        self, context: RequestContext, request: Request, body: bytes
    ) -> LocalCall:
        """Admit a call and send it to the target."""
        deadline = self.clock.now() + context.remaining
        gate = await self.admit(context, deadline)
        if isinstance(gate, Refusal):
            return self.refused(context, gate, context.attempts, False)
        self.recorder.admitted(context)
        execution = self.server.begin(context, deadline)
        started = self.clock.now()
        try:
            refusal = await self.send(execution, gate, request, body)
        except BaseException:
            await self.release(context, execution, gate, self.clock.now() - started)
            raise
        latency = self.clock.now() - started
        # The unused attempts go back with the head and cannot be spent any more.
        unused = execution.flight.budget.attempts
        execution.flight.budget.attempts = 0
        info = self.make_info(context, gate, unused, refusal, execution)
        return LocalCall(context, info, execution, gate, latency, False)

    async def admit(
        self, context: RequestContext, deadline: float
    ) -> AdmissionGate | Refusal:
        """Wait for admission until the deadline."""
        remaining = max(0.0, deadline - self.clock.now())
        try:
            return await curio.timeout_after(
                remaining, self.server.admit, context, context.attempt_id, deadline
            )
        except curio.TaskTimeout:
            service = context.service
            return Refusal(Reason.DEADLINE, Ran.NOT_RUN, None, "admission", service)

    async def send(
        self, execution: Execution, gate: AdmissionGate, request: Request, body: bytes
    ) -> Refusal | None:
        """Send a request to the target until the deadline."""
        remaining = max(0.0, execution.flight.deadline - self.clock.now())
        try:
            return await curio.timeout_after(
                remaining, self.server.send, execution, gate, request, body
            )
        except curio.TaskTimeout:
            execution.outcome = Outcome.TIMEOUT
            service = execution.flight.context.service
            return Refusal(Reason.DEADLINE, Ran.UNKNOWN, None, "target", service)

    def refused(
        self, context: RequestContext, refusal: Refusal, unused: int, known: bool
    ) -> LocalCall:
        """Return a call that did not get to the target."""
        info = self.make_info(context, self.server.gate, unused, refusal, None)
        return LocalCall(context, info, None, None, 0.0, known)

    def make_info(
        self,
        context: RequestContext,
        gate: AdmissionGate | None,
        unused: int,
        refusal: Refusal | None,
        execution: Execution | None,
    ) -> ResponseMetadata:
        """Describe an answer to the node that asked."""
        levels = []
        pressure = 0.0
        if gate is not None:
            own = gate.queue.overload_level(context.service, self.clock.now())
            pressure = own.pressure
            levels.append(own)
        if execution is not None:
            levels += execution.flight.levels.values()
        return ResponseMetadata(context.attempt_id, unused, levels, refusal, pressure)

    async def close(self, running: LocalCall, whole: bool) -> None:
        """End a call.

        Args:
            running: What `open` returned.
            whole: Whether the whole answer was passed on.
        """
        context = running.context
        refusal = running.info.refusal
        self.recorder.answered(context)
        if refusal is not None:
            self.recorder.shed(context, refusal)
        elif whole:
            self.recorder.ended(context, None)
        if running.execution is not None and running.gate is not None:
            if refusal is None and running.execution.outcome is not Outcome.SHED:
                outcome = Outcome.OK if whole else Outcome.FAILED
                running.execution.outcome = outcome
            await self.release(
                context, running.execution, running.gate, running.latency
            )
        if not running.known:
            self.attempts.finish(context.attempt_id, self.clock.now())

    async def release(
        self,
        context: RequestContext,
        execution: Execution,
        gate: AdmissionGate,
        latency: float,
    ) -> None:
        """Give back the connection and the slot of a call."""
        await self.server.end(execution)
        await gate.release(context.attempt_id, execution.outcome, latency)

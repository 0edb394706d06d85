"""Runs calls at the local target, whether they come from this node or from a peer."""

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
    """A call at the local target that was refused or whose response head has arrived.

    Attributes:
        context: Context of the call.
        metadata: Metadata that the calling node receives with the response.
        execution: Execution at the target; None if the call did not reach it.
        gate: Admission gate that admitted the call; None if it was refused.
        latency: Seconds from admission to the response head.
        is_duplicate: Whether the attempt arrived before, so that its state belongs to
            another call.
    """

    context: RequestContext
    metadata: ResponseMetadata
    execution: Execution | None
    gate: AdmissionGate | None
    latency: float
    is_duplicate: bool


class CallRunner:
    """Admits calls to the local target and runs them there.

    Attributes:
        attempts: Attempts that this node has seen.
    """

    def __init__(
        self, executor: TargetExecutor, recorder: Recorder, clock: Clock
    ) -> None:
        self.executor = executor
        self.recorder = recorder
        self.clock = clock
        self.attempts = AttemptTable(clock.now())

    async def open(
        self, context: RequestContext, request: Request, body: bytes
    ) -> LocalCall:
        """Run a call until its response head arrives or it is refused.

        The result must be passed to ``close``; a cancelled call needs no ``close``.
        """
        if not self.attempts.begin(context.attempt_id):
            ran = Ran.UNKNOWN
            if self.attempts.states[context.attempt_id] is AttemptState.FENCED:
                ran = Ran.NOT_RUN
            refusal = Refusal(Reason.DUPLICATE, ran, None, STEP, context.service)
            return self.refused_call(context, refusal, context.attempts, True)
        self.recorder.record_request_received(context)
        try:
            return await self.run(context, request, body)
        except BaseException:
            self.attempts.finish(context.attempt_id, self.clock.now())
            raise

    async def run(
        self, context: RequestContext, request: Request, body: bytes
    ) -> LocalCall:
        """Admit a call, register it as in flight and send it to the target."""
        if context.remaining <= 0:
            late = Refusal(Reason.DEADLINE, Ran.NOT_RUN, None, STEP, context.service)
            return self.refused_call(context, late, context.attempts, False)
        deadline = self.clock.now() + context.remaining
        gate = await self.admit(context, deadline)
        if isinstance(gate, Refusal):
            return self.refused_call(context, gate, context.attempts, False)
        self.recorder.record_admission(context)
        execution = self.executor.register(context, deadline)
        started = self.clock.now()
        try:
            refusal = await self.send(execution, gate, request, body)
        except BaseException:
            await self.release(context, execution, gate, self.clock.now() - started)
            raise
        latency = self.clock.now() - started
        # Unused attempts are returned with the response head, so none may be spent
        # while the body is streamed.
        unused = execution.in_flight_request.budget.attempts
        execution.in_flight_request.budget.attempts = 0
        metadata = self.response_metadata(context, gate, unused, refusal, execution)
        return LocalCall(context, metadata, execution, gate, latency, False)

    async def admit(
        self, context: RequestContext, deadline: float
    ) -> AdmissionGate | Refusal:
        """Wait for admission until the deadline.

        Returns:
            The gate that admitted the call, or the refusal.
        """
        remaining = max(0.0, deadline - self.clock.now())
        try:
            return await curio.timeout_after(
                remaining, self.executor.admit, context, context.attempt_id, deadline
            )
        except curio.TaskTimeout:
            service = context.service
            return Refusal(Reason.DEADLINE, Ran.NOT_RUN, None, "admission", service)

    async def send(
        self, execution: Execution, gate: AdmissionGate, request: Request, body: bytes
    ) -> Refusal | None:
        """Send a request to the target and wait for the response head.

        Returns:
            None if the head arrived, or the refusal, also if the deadline passed.
        """
        remaining = max(0.0, execution.in_flight_request.deadline - self.clock.now())
        try:
            return await curio.timeout_after(
                remaining, self.executor.send, execution, gate, request, body
            )
        except curio.TaskTimeout:
            execution.outcome = Outcome.TIMEOUT
            service = execution.in_flight_request.context.service
            return Refusal(Reason.DEADLINE, Ran.UNKNOWN, None, "target", service)

    def refused_call(
        self, context: RequestContext, refusal: Refusal, unused: int, is_duplicate: bool
    ) -> LocalCall:
        """Return a call that was refused before it reached the target."""
        metadata = self.response_metadata(
            context, self.executor.gate, unused, refusal, None
        )
        return LocalCall(context, metadata, None, None, 0.0, is_duplicate)

    def response_metadata(
        self,
        context: RequestContext,
        gate: AdmissionGate | None,
        unused: int,
        refusal: Refusal | None,
        execution: Execution | None,
    ) -> ResponseMetadata:
        """Return the metadata that goes to the calling node with the response."""
        levels = []
        pressure = 0.0
        if gate is not None:
            target_level = gate.queue.overload_level(context.service, self.clock.now())
            pressure = target_level.pressure
            levels.append(target_level)
        if execution is not None:
            levels += execution.in_flight_request.levels.values()
        return ResponseMetadata(context.attempt_id, unused, levels, refusal, pressure)

    async def close(self, call: LocalCall, complete: bool) -> None:
        """End a call and release its connection and its slot.

        Args:
            call: Result of ``open``.
            complete: Whether the whole response was sent to the calling node.
        """
        context = call.context
        refusal = call.metadata.refusal
        self.recorder.record_response_sent(context)
        if refusal is not None:
            self.recorder.record_shed(context, refusal)
        elif complete:
            self.recorder.record_attempt_end(context, None)
        if call.execution is not None and call.gate is not None:
            if refusal is None and call.execution.outcome is not Outcome.SHED:
                outcome = Outcome.OK if complete else Outcome.FAILED
                call.execution.outcome = outcome
            await self.release(context, call.execution, call.gate, call.latency)
        if not call.is_duplicate:
            self.attempts.finish(context.attempt_id, self.clock.now())

    async def release(
        self,
        context: RequestContext,
        execution: Execution,
        gate: AdmissionGate,
        latency: float,
    ) -> None:
        """Release the target connection and the admission slot of a call."""
        await self.executor.finish(execution)
        await gate.release(context.attempt_id, execution.outcome, latency)

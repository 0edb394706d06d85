"""Client side of a call: sends a request to a node beside a target of the service.

A failed attempt is retried only if it is known not to have run or if the request is
idempotent, and only within the retry budgets.
"""

import json
import random
from typing import NamedTuple

import curio

from .attempts import AttemptState
from .clock import Clock
from .contexts import RequestContext, ResponseMetadata, random_id
from .errors import PeerError, ProtocolError
from .events import EventKind
from .headers import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    DIGEST_HEADER,
    SIGNATURE_HEADER,
    forwarded_request_headers,
)
from .http import Headers, Request
from .levels import OverloadLevel
from .pool import ClientConnection, ConnectionPool, Response
from .recorder import Recorder
from .refusals import Outcome, Ran, Reason, Refusal
from .retries import AttemptBudget, RetryBudget, RetryDecision, decide_retry
from .routing import Candidate, Router
from .runner import CallRunner, LocalCall
from .settings import RetrySettings
from .signing import (
    Signer,
    body_digest,
    context_to_sign,
    decode_response_metadata,
    encode_header,
)

SILENCE_TIMEOUT_SECONDS = 1.0
ATTEMPT_QUERY_TIMEOUT_SECONDS = 1.0
LATE_HEAD_TIMEOUT_SECONDS = 0.25
MAX_CONTROL_BODY_BYTES = 4096
LATENCY_SMOOTHING = 0.1
# Covers clocks of two hosts whose rates differ by up to 2%.
UPTIME_MARGIN = 1.1
BODY_METHODS = ("POST", "PUT", "PATCH")

# Outcome under which a refusal is reported to the router; FAILED for other reasons.
OUTCOME_BY_REASON = {
    Reason.OVERLOAD: Outcome.SHED,
    Reason.QUEUE_FULL: Outcome.SHED,
    Reason.DEADLINE: Outcome.SHED,
    Reason.TARGET_SHED: Outcome.SHED,
    Reason.CANCELLED: Outcome.CANCELLED,
}


class CallProgress:
    """Progress of a call over its attempts, which determines whether it may have run.

    Attributes:
        may_have_run: Whether an earlier attempt may have run.
        attempt_pending: Whether an attempt was sent whose result is not known yet.
        levels: Overload levels that the last refusal carried.
    """

    def __init__(self) -> None:
        self.levels: list[OverloadLevel] = []
        self.may_have_run = False
        self.attempt_pending = False

    @property
    def ran(self) -> Ran:
        """Whether the request may have run, if the call ends now."""
        if self.may_have_run or self.attempt_pending:
            return Ran.UNKNOWN
        return Ran.NOT_RUN

    def record_refusal(self, refusal: Refusal) -> None:
        """Record that an attempt ended with a refusal instead of a response."""
        self.attempt_pending = False
        if refusal.ran is Ran.UNKNOWN:
            self.may_have_run = True


class Call(NamedTuple):
    """A request to be sent to a service.

    Attributes:
        context: Context of the request; each attempt sets its own id, remaining time
            and attempt count.
        deadline: Deadline on the local clock, in seconds.
        idempotent: Whether the request may run more than once.
        request: Request from the caller or from the local target.
        body: Whole body of the request.
        budget: Attempts left for the request and all calls downstream of it.
        progress: Progress over the attempts.
    """

    context: RequestContext
    deadline: float
    idempotent: bool
    request: Request
    body: bytes
    budget: AttemptBudget
    progress: CallProgress


class RelayedResponse(NamedTuple):
    """A response whose head has arrived, with the attempt that it belongs to.

    Attributes:
        response: Head and body stream of the response.
        metadata: Metadata that the responding node sent with the response.
        candidate: Target that responded.
        started: Time at which the attempt began, in seconds.
        local_call: Call at the local target; None if a peer responded.
    """

    response: Response
    metadata: ResponseMetadata
    candidate: Candidate
    started: float
    local_call: LocalCall | None = None


class Relay:
    """Sends calls to peers or to the local target, with retries.

    Attributes:
        budgets: Retry budget of each service, by name.
        service_latency: Smoothed latency of each service in seconds, by name.
    """

    def __init__(
        self,
        settings: RetrySettings,
        router: Router,
        signer: Signer,
        runner: CallRunner,
        node_id: str,
        recorder: Recorder,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.runner = runner
        self.node_id = node_id
        self.settings = settings
        self.router = router
        self.signer = signer
        self.recorder = recorder
        self.clock = clock
        self.rng = rng
        self.pool = ConnectionPool()
        self.budgets: dict[str, RetryBudget] = {}
        self.service_latency: dict[str, float] = {}

    async def call(self, call: Call) -> RelayedResponse | Refusal:
        """Send a request, with retries where these are safe and within budget.

        Returns:
            The response, which the caller must end with ``finish``, or the refusal
            to return to the caller. A refusal is "not run" only if no attempt may have
            run.
        """
        service = call.context.service
        budget = self.budgets.setdefault(service, RetryBudget(self.settings))
        budget.record_first_attempt(self.clock.now())
        self.recorder.summarizer.record_attempt(service, False)
        tried: list[str] = []
        while True:
            result = await self.send_attempt(call, tried)
            if not isinstance(result, Refusal):
                return result
            call.progress.record_refusal(result)
            decision = self.retry_decision(call, result, len(tried), budget)
            if not decision.retry:
                return decision.refusal._replace(ran=call.progress.ran)
            self.record_retry(call, result)
            await curio.sleep(decision.delay)

    def retry_decision(
        self, call: Call, refusal: Refusal, attempts_made: int, budget: RetryBudget
    ) -> RetryDecision:
        """Decide whether to retry after a refused attempt."""
        now = self.clock.now()
        return decide_retry(
            self.settings,
            refusal,
            call.idempotent,
            max(0, attempts_made - 1),
            call.deadline - now,
            self.service_latency.get(call.context.service, 0.0),
            call.budget,
            budget,
            now,
            self.rng,
        )

    def record_retry(self, call: Call, refusal: Refusal) -> None:
        """Record a retry."""
        self.recorder.increment("retry")
        self.recorder.request_event(
            EventKind.RETRY, call.context, reason=refusal.reason, detail=refusal.peer
        )
        self.recorder.summarizer.record_attempt(call.context.service, True)

    async def send_attempt(
        self, call: Call, tried: list[str]
    ) -> RelayedResponse | Refusal:
        """Send one attempt, preferably to a target that was not tried before."""
        now = self.clock.now()
        service = call.context.service
        candidate = self.router.choose(service, now, tried)
        if isinstance(candidate, Refusal) and tried:
            candidate = self.router.choose(service, now)
        if isinstance(candidate, Refusal):
            return candidate
        tried.append(candidate.target_id)
        self.router.record_start(candidate.target_id, now)
        reserved = call.budget.reserve()
        try:
            result = await self.run_attempt(call, candidate, reserved, now)
        except BaseException:
            self.router.record_finish(
                candidate.target_id, self.clock.now(), Outcome.CANCELLED, 0.0, None
            )
            raise
        if isinstance(result, Refusal):
            self.report_refusal(candidate, result, now)
        return result

    def report_refusal(
        self, candidate: Candidate, refusal: Refusal, started: float
    ) -> None:
        """Report the refusal of an attempt to the router."""
        now = self.clock.now()
        outcome = OUTCOME_BY_REASON.get(refusal.reason, Outcome.FAILED)
        self.router.record_finish(
            candidate.target_id, now, outcome, now - started, None
        )

    async def run_attempt(
        self, call: Call, candidate: Candidate, reserved: int, started: float
    ) -> RelayedResponse | Refusal:
        """Run one attempt at a peer or at the local target."""
        address = candidate.address
        context = call.context._replace(
            attempt_id=random_id(),
            remaining=max(0.0, call.deadline - started),
            attempts=reserved,
        )
        if candidate.node_id == self.node_id:
            return await self.run_local_attempt(call, context, candidate, started)
        try:
            connection = await self.pool.acquire(address)
        except PeerError as error:
            call.budget.release(reserved, reserved)
            return Refusal(Reason.PEER_FAILED, Ran.NOT_RUN, None, error.step, address)
        parent_id = call.context.attempt_id if context.depth > 1 else ""
        self.recorder.record_request_sent(context, candidate, parent_id)
        call.progress.attempt_pending = True
        try:
            response = await self.send(connection, call, context, candidate)
        except PeerError as error:
            await self.pool.discard(connection)
            return Refusal(Reason.PEER_FAILED, Ran.UNKNOWN, None, error.step, address)
        except BaseException:
            await self.pool.discard(connection)
            raise
        if isinstance(response, Refusal):
            await self.pool.discard(connection)
            if response.ran is Ran.NOT_RUN:
                call.budget.release(reserved, reserved)
            return response
        return await self.check_response(
            call, context, candidate, reserved, response, started
        )

    async def run_local_attempt(
        self,
        call: Call,
        context: RequestContext,
        candidate: Candidate,
        started: float,
    ) -> RelayedResponse | Refusal:
        """Run one attempt at the local target, without a connection to this node."""
        parent_id = call.context.attempt_id if context.depth > 1 else ""
        self.recorder.record_request_sent(context, candidate, parent_id)
        call.progress.attempt_pending = True
        local_call = await self.runner.open(context, call.request, call.body)
        metadata = local_call.metadata
        call.budget.release(metadata.attempts_unused, context.attempts)
        if metadata.refusal is not None or local_call.execution is None:
            call.progress.levels = metadata.levels
            await self.runner.close(local_call, False)
            return metadata.refusal or Refusal(Reason.TARGET_FAILED, Ran.UNKNOWN)
        response = local_call.execution.response
        assert response is not None
        return RelayedResponse(response, metadata, candidate, started, local_call)

    async def send(
        self,
        connection: ClientConnection,
        call: Call,
        context: RequestContext,
        candidate: Candidate,
    ) -> Response | Refusal:
        """Send a request and wait for the response head.

        If the connection stays silent, queries the peer on a new connection for the
        state of the attempt, to detect a connection that was lost without a reset.
        """
        headers = self.peer_headers(call, context, candidate.address)
        request = call.request
        sent_at = self.clock.now()
        await connection.send(request.method, request.target, headers, call.body)
        while True:
            try:
                return await curio.timeout_after(
                    SILENCE_TIMEOUT_SECONDS, connection.receive_head
                )
            except curio.TaskTimeout:
                state = await self.query_attempt_state(
                    candidate.address, context.attempt_id, sent_at
                )
            if state is AttemptState.RUNNING:
                continue
            if state is AttemptState.FINISHED:
                response = await self.receive_late_head(connection)
                if response is not None:
                    return response
            self.router.record_silent_connection(candidate.target_id, self.clock.now())
            self.recorder.increment("connection.silent")
            ran = Ran.NOT_RUN if state is AttemptState.FENCED else Ran.UNKNOWN
            return Refusal(
                Reason.PEER_FAILED, ran, None, "wait for answer", candidate.address
            )

    async def receive_late_head(self, connection: ClientConnection) -> Response | None:
        """Wait briefly for the response head of an attempt that has finished."""
        try:
            return await curio.timeout_after(
                LATE_HEAD_TIMEOUT_SECONDS, connection.receive_head
            )
        except curio.TaskTimeout:
            return None

    async def query_attempt_state(
        self, address: str, attempt_id: str, sent_at: float
    ) -> AttemptState | None:
        """Query a peer for the state of an attempt.

        Returns:
            The state; None if the peer does not respond, or if its process started
            after the attempt was sent, as an earlier process may have run it.
        """
        target = f"/attempts/{attempt_id}"
        headers = self.signer.control_headers("POST", target, b"", address)
        try:
            _, content = await curio.timeout_after(
                ATTEMPT_QUERY_TIMEOUT_SECONDS,
                self.query_on_new_connection,
                address,
                target,
                headers,
            )
            status = json.loads(content)
            if status["uptime"] <= (self.clock.now() - sent_at) * UPTIME_MARGIN:
                return None
            return AttemptState(status["state"])
        except (PeerError, curio.TaskTimeout, ValueError, KeyError, TypeError):
            return None

    async def query_on_new_connection(
        self, address: str, target: str, headers: Headers
    ) -> tuple[Response, bytes]:
        """Send a query on a new connection, as pooled ones may be lost as well."""
        connection = await self.pool.connect(address)
        try:
            await connection.send("POST", target, headers, b"")
            response = await connection.receive_head()
            return response, await response.read(MAX_CONTROL_BODY_BYTES)
        finally:
            await self.pool.discard(connection)

    def peer_headers(
        self, call: Call, context: RequestContext, address: str
    ) -> Headers:
        """Return the headers of a request to a peer."""
        encoded = encode_header(context)
        method = call.request.method
        target = call.request.target.encode("latin-1")
        headers = forwarded_request_headers(call.request.headers)
        headers.append((b"host", address.encode()))
        headers.append((CONTEXT_HEADER, encoded))
        digest = body_digest(call.body)
        signed = context_to_sign(encoded.decode(), digest)
        headers.append(
            (SIGNATURE_HEADER, self.signer.sign(method.encode(), target, signed))
        )
        if digest:
            headers.append((DIGEST_HEADER, digest.encode()))
        if call.body or method in BODY_METHODS:
            headers.append((b"content-length", str(len(call.body)).encode()))
        return headers

    async def check_response(
        self,
        call: Call,
        context: RequestContext,
        candidate: Candidate,
        reserved: int,
        response: Response,
        started: float,
    ) -> RelayedResponse | Refusal:
        """Check a response from a peer; return it, or the refusal that it carries."""
        address = candidate.address
        try:
            metadata = decode_response_metadata(response.header(ANSWER_HEADER), address)
        except ProtocolError as error:
            await self.pool.discard(response.connection)
            return Refusal(Reason.PEER_FAILED, Ran.UNKNOWN, None, error.step, address)
        if metadata.attempt_id != context.attempt_id:
            await self.pool.discard(response.connection)
            return Refusal(
                Reason.PEER_FAILED, Ran.UNKNOWN, None, "match answer", address
            )
        self.recorder.record_response_received(context, candidate)
        call.budget.release(metadata.attempts_unused, reserved)
        relayed = RelayedResponse(response, metadata, candidate, started)
        if metadata.refusal is None:
            return relayed
        call.progress.levels = metadata.levels
        await self.drain_refusal(relayed)
        return metadata.refusal

    async def drain_refusal(self, relayed: RelayedResponse) -> None:
        """Read the body of a refusal, so that its connection can be reused."""
        connection = relayed.response.connection
        try:
            await relayed.response.read(MAX_CONTROL_BODY_BYTES)
        except PeerError:
            await self.pool.discard(connection)
            return
        await self.pool.release(connection)

    async def finish(self, relayed: RelayedResponse, outcome: Outcome) -> None:
        """End a call: release or close its connection and report to the router.

        Args:
            relayed: Result of ``call``.
            outcome: How the call ended.
        """
        now = self.clock.now()
        latency = now - relayed.started
        self.router.record_finish(
            relayed.candidate.target_id,
            now,
            outcome,
            latency,
            relayed.metadata.pressure,
        )
        if outcome is Outcome.OK:
            self.record_latency(relayed.candidate.service, latency)
        if relayed.local_call is not None:
            await self.runner.close(relayed.local_call, outcome is Outcome.OK)
        elif relayed.response.complete:
            await self.pool.release(relayed.response.connection)
        else:
            await self.pool.discard(relayed.response.connection)

    def record_latency(self, service: str, latency: float) -> None:
        """Update the smoothed latency of a service, which retry decisions use."""
        mean = self.service_latency.get(service, latency)
        self.service_latency[service] = mean + LATENCY_SMOOTHING * (latency - mean)

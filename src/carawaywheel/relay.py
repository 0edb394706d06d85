"""Sending a request to the node beside a target of its service.

A failed attempt is repeated only with proof that it did not run or when the
request is idempotent, and only within its budgets.
"""

import json
import random
from typing import NamedTuple

import curio

from .attempts import AttemptState
from .clock import Clock
from .contexts import RequestContext, ResponseMetadata, new_id
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
    decode_answer,
    encode_header,
    signed_context,
)

SILENCE_SECONDS = 1.0
CHECK_TIMEOUT_SECONDS = 1.0
LAST_LOOK_SECONDS = 0.25
CHECK_LIMIT_BYTES = 4096
LATENCY_GAIN = 0.1
# Clocks of two hosts may run at rates that differ by 2%.
UPTIME_MARGIN = 1.1
BODY_METHODS = ("POST", "PUT", "PATCH")

# What a refusal tells the router about the target that it came from.
OUTCOME_BY_REASON = {
    Reason.OVERLOAD: Outcome.SHED,
    Reason.QUEUE_FULL: Outcome.SHED,
    Reason.DEADLINE: Outcome.SHED,
    Reason.TARGET_SHED: Outcome.SHED,
    Reason.CANCELLED: Outcome.CANCELLED,
}


class CallProgress:
    """Whether a request may have run at a target.

    Attributes:
        may_have_run: Whether an earlier attempt may have run.
        in_doubt: Whether an attempt is under way.
        levels: Levels that refusals carried.
    """

    def __init__(self) -> None:
        self.levels: list[OverloadLevel] = []
        self.may_have_run = False
        self.in_doubt = False

    @property
    def ran(self) -> Ran:
        """What may be said of the request if it ends now."""
        if self.may_have_run or self.in_doubt:
            return Ran.UNKNOWN
        return Ran.NOT_RUN

    def note(self, refusal: Refusal) -> None:
        """Note the end of an attempt that brought no answer."""
        self.in_doubt = False
        if refusal.ran is Ran.UNKNOWN:
            self.may_have_run = True


class Call(NamedTuple):
    """A request on its way to a service.

    Attributes:
        context: Context without the fields of one attempt.
        deadline: Deadline on the local clock, in seconds.
        idempotent: Whether the request may run more than once.
        request: The request of the caller or of the local target.
        body: Its whole body.
        budget: Attempts left for the request and everything below it.
        progress: Whether the request may have run.
    """

    context: RequestContext
    deadline: float
    idempotent: bool
    request: Request
    body: bytes
    budget: AttemptBudget
    progress: CallProgress


class RelayedResponse(NamedTuple):
    """An answer whose head has arrived from a peer.

    Attributes:
        response: The head and the stream of the body.
        info: What the peer says of the answer.
        candidate: The target that answered.
        started: Time at which the attempt began, in seconds.
        local_call: The call at the local target; None if a peer answered.
    """

    response: Response
    info: ResponseMetadata
    candidate: Candidate
    started: float
    local_call: LocalCall | None = None


class Relay:
    """Sends requests to peers and repeats them within their budgets."""

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
        self.latency: dict[str, float] = {}

    async def call(self, call: Call) -> RelayedResponse | Refusal:
        """Send a request, repeating it where that is safe and allowed.

        Returns:
            The answer of a peer, to be ended with `end`, or the refusal to pass
            on. A refusal says "not run" only if no attempt may have run.
        """
        service = call.context.service
        budget = self.budgets.setdefault(service, RetryBudget(self.settings))
        budget.record_first_attempt(self.clock.now())
        self.recorder.summary.record_attempt(service, False)
        tried: list[str] = []
        while True:
            result = await self.attempt(call, tried)
            if not isinstance(result, Refusal):
                return result
            call.progress.note(result)
            decision = self.decide(call, result, len(tried), budget)
            if not decision.retry:
                return decision.refusal._replace(ran=call.progress.ran)
            self.note_retry(call, result)
            await curio.sleep(decision.delay)

    def decide(
        self, call: Call, refusal: Refusal, tries: int, budget: RetryBudget
    ) -> RetryDecision:
        """Decide whether to repeat an attempt."""
        now = self.clock.now()
        return decide_retry(
            self.settings,
            refusal,
            call.idempotent,
            max(0, tries - 1),
            call.deadline - now,
            self.latency.get(call.context.service, 0.0),
            call.budget,
            budget,
            now,
            self.rng,
        )

    def note_retry(self, call: Call, refusal: Refusal) -> None:
        """Record that an attempt is repeated."""
        self.recorder.count("retry")
        self.recorder.request_event(
            EventKind.RETRY, call.context, reason=refusal.reason, detail=refusal.peer
        )
        self.recorder.summary.record_attempt(call.context.service, True)

    async def attempt(self, call: Call, tried: list[str]) -> RelayedResponse | Refusal:
        """Send a request once, to a target that was not tried before if any."""
        now = self.clock.now()
        service = call.context.service
        candidate = self.router.choose(service, now, tried)
        if isinstance(candidate, Refusal) and tried:
            candidate = self.router.choose(service, now)
        if isinstance(candidate, Refusal):
            return candidate
        tried.append(candidate.target_id)
        self.router.record_start(candidate.target_id, now)
        taken = call.budget.reserve()
        try:
            result = await self.exchange(call, candidate, taken, now)
        except BaseException:
            self.router.record_finish(
                candidate.target_id, self.clock.now(), Outcome.CANCELLED, 0.0, None
            )
            raise
        if isinstance(result, Refusal):
            self.note_refused(candidate, result, now)
        return result

    def note_refused(
        self, candidate: Candidate, refusal: Refusal, started: float
    ) -> None:
        """Tell the router of an attempt that brought no answer."""
        now = self.clock.now()
        outcome = OUTCOME_BY_REASON.get(refusal.reason, Outcome.FAILED)
        self.router.record_finish(
            candidate.target_id, now, outcome, now - started, None
        )

    async def exchange(
        self, call: Call, candidate: Candidate, taken: int, started: float
    ) -> RelayedResponse | Refusal:
        """Run one attempt on a connection to a peer."""
        address = candidate.address
        context = call.context._replace(
            attempt_id=new_id(),
            remaining=max(0.0, call.deadline - started),
            attempts=taken,
        )
        if candidate.node_id == self.node_id:
            return await self.run_locally(call, context, candidate, started)
        try:
            connection = await self.pool.acquire(address)
        except PeerError as error:
            call.budget.release(taken, taken)
            return Refusal(Reason.PEER_FAILED, Ran.NOT_RUN, None, error.step, address)
        parent_id = call.context.attempt_id if context.depth > 1 else ""
        self.recorder.sent(context, candidate, parent_id)
        call.progress.in_doubt = True
        try:
            answer = await self.send(connection, call, context, candidate)
        except PeerError as error:
            await self.pool.discard(connection)
            return Refusal(Reason.PEER_FAILED, Ran.UNKNOWN, None, error.step, address)
        except BaseException:
            await self.pool.discard(connection)
            raise
        if isinstance(answer, Refusal):
            await self.pool.discard(connection)
            if answer.ran is Ran.NOT_RUN:
                call.budget.release(taken, taken)
            return answer
        return await self.take_answer(call, context, candidate, taken, answer, started)

    async def run_locally(
        self,
        call: Call,
        context: RequestContext,
        candidate: Candidate,
        started: float,
    ) -> RelayedResponse | Refusal:
        """Run one attempt at the local target, without a connection."""
        parent_id = call.context.attempt_id if context.depth > 1 else ""
        self.recorder.sent(context, candidate, parent_id)
        call.progress.in_doubt = True
        running = await self.runner.open(context, call.request, call.body)
        info = running.info
        call.budget.release(info.attempts_unused, context.attempts)
        if info.refusal is not None or running.execution is None:
            call.progress.levels = info.levels
            await self.runner.close(running, False)
            return info.refusal or Refusal(Reason.TARGET_FAILED, Ran.UNKNOWN)
        answer = running.execution.response
        assert answer is not None
        return RelayedResponse(answer, info, candidate, started, running)

    async def send(
        self,
        connection: ClientConnection,
        call: Call,
        context: RequestContext,
        candidate: Candidate,
    ) -> Response | Refusal:
        """Send a request and wait for the head of the answer.

        A silent connection is noticed by asking the peer on another one whether
        the attempt arrived.
        """
        headers = self.peer_headers(call, context, candidate.address)
        request = call.request
        sent_at = self.clock.now()
        await connection.send(request.method, request.target, headers, call.body)
        while True:
            try:
                return await curio.timeout_after(
                    SILENCE_SECONDS, connection.receive_head
                )
            except curio.TaskTimeout:
                state = await self.ask_state(
                    candidate.address, context.attempt_id, sent_at
                )
            if state is AttemptState.RUNNING:
                continue
            if state is AttemptState.FINISHED:
                answer = await self.last_look(connection)
                if answer is not None:
                    return answer
            self.router.record_silent_connection(candidate.target_id, self.clock.now())
            self.recorder.count("connection.silent")
            ran = Ran.NOT_RUN if state is AttemptState.FENCED else Ran.UNKNOWN
            return Refusal(
                Reason.PEER_FAILED, ran, None, "wait for answer", candidate.address
            )

    async def last_look(self, connection: ClientConnection) -> Response | None:
        """Return the answer of a finished attempt if it is just arriving."""
        try:
            return await curio.timeout_after(LAST_LOOK_SECONDS, connection.receive_head)
        except curio.TaskTimeout:
            return None

    async def ask_state(
        self, address: str, attempt_id: str, sent_at: float
    ) -> AttemptState | None:
        """Ask a peer for the state of an attempt.

        Returns:
            The state; None if the peer does not answer or if its process is younger
            than the attempt, for an earlier one may have run it.
        """
        target = f"/attempts/{attempt_id}"
        headers = self.signer.control_headers("POST", target, b"", address)
        try:
            _, content = await curio.timeout_after(
                CHECK_TIMEOUT_SECONDS,
                self.ask_on_new_connection,
                address,
                target,
                headers,
            )
            found = json.loads(content)
            if found["uptime"] <= (self.clock.now() - sent_at) * UPTIME_MARGIN:
                return None
            return AttemptState(found["state"])
        except (PeerError, curio.TaskTimeout, ValueError, KeyError, TypeError):
            return None

    async def ask_on_new_connection(
        self, address: str, target: str, headers: Headers
    ) -> tuple[Response, bytes]:
        """Send a question on a connection of its own, for pooled ones may be lost."""
        connection = await self.pool.connect(address)
        try:
            await connection.send("POST", target, headers, b"")
            answer = await connection.receive_head()
            return answer, await answer.read(CHECK_LIMIT_BYTES)
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
        signed = signed_context(encoded.decode(), digest)
        headers.append(
            (SIGNATURE_HEADER, self.signer.sign(method.encode(), target, signed))
        )
        if digest:
            headers.append((DIGEST_HEADER, digest.encode()))
        if call.body or method in BODY_METHODS:
            headers.append((b"content-length", str(len(call.body)).encode()))
        return headers

    async def take_answer(
        self,
        call: Call,
        context: RequestContext,
        candidate: Candidate,
        taken: int,
        answer: Response,
        started: float,
    ) -> RelayedResponse | Refusal:
        """Check an answer and return it, or the refusal that it carries."""
        address = candidate.address
        try:
            info = decode_answer(answer.header(ANSWER_HEADER), address)
        except ProtocolError as error:
            await self.pool.discard(answer.connection)
            return Refusal(Reason.PEER_FAILED, Ran.UNKNOWN, None, error.step, address)
        if info.attempt_id != context.attempt_id:
            await self.pool.discard(answer.connection)
            return Refusal(
                Reason.PEER_FAILED, Ran.UNKNOWN, None, "match answer", address
            )
        self.recorder.completed(context, candidate)
        call.budget.release(info.attempts_unused, taken)
        exchange = RelayedResponse(answer, info, candidate, started)
        if info.refusal is None:
            return exchange
        call.progress.levels = info.levels
        await self.drain(exchange)
        return info.refusal

    async def drain(self, exchange: RelayedResponse) -> None:
        """Read the body of a refusal, so that its connection can be used again."""
        connection = exchange.response.connection
        try:
            await exchange.response.read(CHECK_LIMIT_BYTES)
        except PeerError:
            await self.pool.discard(connection)
            return
        await self.pool.release(connection)

    async def end(self, exchange: RelayedResponse, outcome: Outcome) -> None:
        """End an exchange: keep or close its connection and tell the router."""
        now = self.clock.now()
        latency = now - exchange.started
        self.router.record_finish(
            exchange.candidate.target_id, now, outcome, latency, exchange.info.pressure
        )
        if outcome is Outcome.OK:
            self.learn_latency(exchange.candidate.service, latency)
        if exchange.local_call is not None:
            await self.runner.close(exchange.local_call, outcome is Outcome.OK)
        elif exchange.response.complete:
            await self.pool.release(exchange.response.connection)
        else:
            await self.pool.discard(exchange.response.connection)

    def learn_latency(self, service: str, latency: float) -> None:
        """Follow the usual latency of a service, for the decision to repeat."""
        known = self.latency.get(service, latency)
        self.latency[service] = known + LATENCY_GAIN * (latency - known)

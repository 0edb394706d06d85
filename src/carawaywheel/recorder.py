"""Counters, events and outcome counts of a node, recorded in one place."""

import time
from collections import Counter
from typing import Any

import curio
import statsd

from .clock import Clock
from .contexts import RequestContext
from .events import EventBuffer, EventKind
from .refusals import Importance, Ran, Reason, Refusal
from .routing import Candidate
from .summaries import CountingPoint, OutcomeKey
from .summarizer import Summarizer
from .views import Route

FLUSH_INTERVAL_SECONDS = 1.0
KEY_REFUSAL_REASONS = (Reason.KEY_MISSING, Reason.KEY_UNKNOWN, Reason.KEY_WITHDRAWN)


class Recorder:
    """Records events, outcome counts and statsd counters of a node.

    Attributes:
        event_buffer: Events, for the timeline.
        summarizer: Outcome counts, for the overload report.
        pending_counters: Counters since the last flush.
        cumulative_counters: Counters from the start to the last flush.
    """

    def __init__(
        self, buffer: EventBuffer, summarizer: Summarizer, clock: Clock, address: str
    ) -> None:
        """Create a recorder.

        Args:
            buffer: Buffer for the events.
            summarizer: Summarizer for the outcome counts.
            clock: Monotonic clock.
            address: IP address and port of the statsd server; empty for none.
        """
        self.event_buffer = buffer
        self.summarizer = summarizer
        self.clock = clock
        self.pending_counters: Counter[str] = Counter()
        self.cumulative_counters: Counter[str] = Counter()
        self.statsd_client = open_statsd(address)

    def wall_time(self) -> float:
        """Return the wall clock in seconds since the epoch, as operators read it."""
        return time.time()

    def increment(self, name: str, amount: int = 1) -> None:
        """Increment a statsd counter."""
        self.pending_counters[name] += amount

    def event(self, kind: EventKind, **fields: Any) -> None:
        """Record an event with fields of ``Event``."""
        self.event_buffer.append(kind, self.wall_time(), self.clock.now(), **fields)

    def state_event(self, kind: EventKind, detail: str) -> None:
        """Record a state change."""
        self.event(kind, detail=detail)

    def request_event(
        self, kind: EventKind, context: RequestContext, **fields: Any
    ) -> None:
        """Record an event of a request, with fields from its context."""
        self.event(
            kind,
            request_id=context.root_id,
            account=context.account,
            service=context.service,
            key_id=context.key_id,
            importance=context.importance,
            **fields,
        )

    def attempt_event(
        self, kind: EventKind, context: RequestContext, **fields: Any
    ) -> None:
        """Record an event of an attempt at the local target."""
        self.request_event(
            kind,
            context,
            attempt_id=context.attempt_id,
            target=self.event_buffer.node_id,
            **fields,
        )

    def record_request_sent(
        self, context: RequestContext, candidate: Candidate, parent_id: str
    ) -> None:
        """Record that a request was sent to a peer.

        Args:
            context: Context of the attempt.
            candidate: Selected target.
            parent_id: Attempt that made the sub-call; empty for a caller's request.
        """
        self.request_event(
            EventKind.SENT,
            context,
            attempt_id=context.attempt_id,
            parent_id=parent_id,
            target=candidate.target_id,
        )

    def record_request_received(self, context: RequestContext) -> None:
        """Record that a request was received from a peer."""
        self.increment("peer.requests")
        self.attempt_event(EventKind.RECEIVED, context)

    def record_response_sent(self, context: RequestContext) -> None:
        """Record that a response is sent to the peer that sent the request."""
        self.attempt_event(EventKind.ANSWERED, context)

    def record_response_received(
        self, context: RequestContext, candidate: Candidate
    ) -> None:
        """Record that a response was received from a peer."""
        self.request_event(
            EventKind.COMPLETED,
            context,
            attempt_id=context.attempt_id,
            target=candidate.target_id,
        )

    def record_early_refusal(
        self, root_id: str, route: Route | None, refusal: Refusal
    ) -> None:
        """Record the refusal of a request that was not authenticated."""
        self.increment(f"refused.{refusal.reason.value}")
        kind = EventKind.REQUEST_REFUSED
        if refusal.reason in KEY_REFUSAL_REASONS:
            kind = EventKind.KEY_REFUSED
        self.event(
            kind,
            request_id=root_id,
            service=route.service if route else "",
            key_id=refusal.peer if kind is EventKind.KEY_REFUSED else "",
            importance=route.importance if route else None,
            reason=refusal.reason,
            ran=refusal.ran,
            detail=refusal.step,
        )
        self.count_outcome(
            CountingPoint.ENTRY,
            route.service if route else "",
            route.importance if route else Importance.NORMAL,
            "",
            root_id,
            refusal,
            False,
        )

    def count_outcome(
        self,
        place: CountingPoint,
        service: str,
        importance: Importance,
        account: str,
        request_id: str,
        refusal: Refusal | None,
        in_rate: bool,
    ) -> None:
        """Count the outcome of a request for the overload report."""
        key = OutcomeKey(
            place,
            service,
            importance,
            refusal.reason if refusal else None,
            refusal.peer if refusal else "",
            account,
            in_rate,
            refusal is not None and refusal.ran is Ran.UNKNOWN,
        )
        self.summarizer.record_outcome(
            key, self.wall_time(), self.clock.now(), request_id
        )

    def count_request_end(
        self,
        place: CountingPoint,
        context: RequestContext,
        refusal: Refusal | None,
        in_rate: bool,
    ) -> None:
        """Count the outcome of a request whose context is known."""
        self.count_outcome(
            place,
            context.service,
            context.importance,
            context.account,
            context.root_id,
            refusal,
            in_rate,
        )

    def record_refusal(
        self, context: RequestContext, refusal: Refusal, in_rate: bool
    ) -> None:
        """Record that the entry refused a request."""
        self.increment(f"refused.{refusal.reason.value}")
        self.request_event(
            EventKind.REQUEST_REFUSED,
            context,
            reason=refusal.reason,
            ran=refusal.ran,
            detail=f"{refusal.step} {refusal.peer}",
        )
        self.count_request_end(CountingPoint.ENTRY, context, refusal, in_rate)

    def record_shed(self, context: RequestContext, refusal: Refusal) -> None:
        """Record that this node refused an attempt at the local target."""
        self.increment(f"shed.{refusal.reason.value}")
        self.attempt_event(
            EventKind.SHED,
            context,
            reason=refusal.reason,
            ran=refusal.ran,
            detail=refusal.step,
        )
        self.record_attempt_end(context, refusal)

    def record_finished(
        self, context: RequestContext, status: int, at_entry: bool
    ) -> None:
        """Record that a response was forwarded completely."""
        self.increment("entry.answers" if at_entry else "entry.subcall_answers")
        detail = f"status {status}"
        self.request_event(EventKind.REQUEST_FINISHED, context, detail=detail)
        if at_entry:
            self.count_request_end(
                CountingPoint.ENTRY, context, None, bool(context.account)
            )

    def record_admission(self, context: RequestContext) -> None:
        """Record that an attempt was admitted to the local target."""
        self.summarizer.record_admission(context.service, context.importance)

    def record_attempt_end(
        self, context: RequestContext, refusal: Refusal | None
    ) -> None:
        """Count the outcome of an attempt at the local target."""
        self.count_request_end(
            CountingPoint.TARGET, context, refusal, bool(context.account)
        )

    async def run(self) -> None:
        """Flush the counters at intervals until cancelled."""
        while True:
            await curio.sleep(FLUSH_INTERVAL_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Send the counters to statsd over UDP, without waiting for the server."""
        counters, self.pending_counters = self.pending_counters, Counter()
        self.cumulative_counters.update(counters)
        if self.statsd_client is None or not counters:
            return
        with self.statsd_client.pipeline() as pipeline:
            for name, amount in counters.items():
                pipeline.incr(name, amount)


def open_statsd(address: str) -> Any:
    """Return a non-blocking statsd client, or None if the address is empty."""
    if not address:
        return None
    host, _, port = address.rpartition(":")
    client = statsd.StatsClient(host, int(port), prefix="carawaywheel")
    client._sock.setblocking(False)
    return client

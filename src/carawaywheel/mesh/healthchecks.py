"""Health checks of the local target, which tell whether it is cold."""

from typing import TYPE_CHECKING

import curio

from ..errors import PeerError
from ..executor import AdmissionGate
from ..fairness import Ticket
from ..platform.headers import decode_health_headers, encode_health_headers
from ..refusals import Importance, Outcome, Refusal
from .target import Heartbeat

if TYPE_CHECKING:
    from .execution import TargetRunner

# Health checks of targets take a few milliseconds.
TIMEOUT_SECONDS = 0.5
HEALTHY_STATUS = 200


class HealthChecker:
    """Sends a health check if it may end a cold state that is only assumed.

    Attributes:
        runner: Runner of the calls to the target. A health check takes one of its
            slots.
        is_checking: Whether a health check is in progress.
    """

    def __init__(self, runner: "TargetRunner") -> None:
        self.runner = runner
        self.is_checking = False

    @property
    def is_due(self) -> bool:
        """Whether calls wait whose number a health check might raise."""
        runner = self.runner
        enforcer = runner.warmup_enforcer
        if not enforcer.health_check_due or self.is_checking:
            return False
        if runner.gate is None or runner.warmup.absent:
            return False
        return bool(runner.gate.queue.queued or enforcer.unsent)

    async def start_if_due(self, gate: AdmissionGate, now: float) -> None:
        """Start a health check if one is due and the target may be sent one now."""
        runner = self.runner
        service, heartbeat = runner.service, runner.target.heartbeat
        if not self.is_due or service is None or heartbeat is None:
            return
        if runner.warmup.free(now) <= 0 or runner.current_gate() is not gate:
            return
        queue = gate.queue
        sent = queue.in_flight - len(runner.warmup_enforcer.unsent)
        if sent >= queue.limit.limit(now):
            return
        ticket = Ticket(
            str(next(runner.ticket_ids)), "", Importance.CRITICAL, now + TIMEOUT_SECONDS
        )
        queue.admit_ahead(ticket, now)
        self.is_checking = True
        await curio.spawn(
            self.run, gate, ticket, heartbeat, service.health_path, daemon=True
        )

    async def run(
        self, gate: AdmissionGate, ticket: Ticket, heartbeat: Heartbeat, path: str
    ) -> None:
        """Run a health check that holds a slot, and release the slot at its end."""
        runner = self.runner
        started_at = runner.clock.now()
        events = runner.warmup.events
        try:
            await curio.timeout_after(
                TIMEOUT_SECONDS, self.check, ticket, heartbeat, path
            )
        except curio.TaskTimeout:
            self.log_failure("wait for response", "timed out")
        finally:
            self.is_checking = False
            if events == runner.warmup.events:
                runner.warmup_enforcer.health_check_due = False
            latency = runner.clock.now() - started_at
            await gate.release(ticket.request_id, Outcome.CANCELLED, latency)

    async def check(self, ticket: Ticket, heartbeat: Heartbeat, path: str) -> None:
        """Send a health check and apply its response."""
        runner = self.runner
        enforcer = runner.warmup_enforcer
        connection = await runner.connect(ticket, True, enforcer.take_health_check)
        if isinstance(connection, Refusal):
            return
        events = runner.warmup.events
        try:
            headers = encode_health_headers(runner.target.address)
            await connection.send("GET", path, headers, b"")
            response = await connection.receive_head()
            enforcer.record_response()
            await runner.drain_response(connection, response)
        except PeerError as error:
            self.log_failure(error.step, str(error))
            await runner.pool.discard(connection)
            return
        except BaseException:
            await runner.pool.discard(connection)
            raise
        metadata = decode_health_headers(response.headers)
        remaining = metadata.warmup_remaining
        if response.status != HEALTHY_STATUS:
            problem = f"the status is {response.status}"
        elif metadata.target_id != heartbeat.target_id:
            problem = f"the target is {metadata.target_id!r}"
        elif remaining is None:
            problem = "the warm-up time is not valid"
        else:
            enforcer.confirm(remaining, events)
            return
        self.log_failure("read response", problem)

    def log_failure(self, step: str, error: str) -> None:
        """Log that a health check has not determined the state of the target."""
        self.runner.journal.write("health_check_failed", step=step, error=error)

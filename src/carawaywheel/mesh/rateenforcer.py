"""Enforcement of the rate limit that the local target states."""

from ..clock import Clock
from ..refusals import Importance, Ran, Reason, Refusal
from .journal import Journal
from .targetrate import TargetRateLimit, parse_rate

STEP = "target rate"
# Retry-After of a call over the limit, if no other target takes it.
RETRY_AFTER_SECONDS = 0.3
MAX_LOGGED_CHARACTERS = 80


class RateEnforcer:
    """Refuses calls over the rate limit of the local target, and logs its changes.

    Attributes:
        limit: Rate limit of the present incarnation.
    """

    def __init__(self, journal: Journal, clock: Clock) -> None:
        self.journal = journal
        self.clock = clock
        self.limit = TargetRateLimit()

    def start_incarnation(self) -> None:
        """Forget the limit of a former incarnation, also at other nodes."""
        self.limit = TargetRateLimit(trusts_peers=False)

    def check(
        self, importance: Importance, remembered_rate: float | None
    ) -> Refusal | None:
        """Refuse a call that the target does not take now, before it waits for a slot.

        Args:
            importance: Importance of the call.
            remembered_rate: Limit that the calling node remembers, in requests per
                second; None if it remembers none.
        """
        now = self.clock.now()
        former = self.limit.rate
        if remembered_rate is not None and self.limit.assume(remembered_rate, now):
            self.log_change(former, "peer")
        return None if self.limit.allows(importance, now) else self.refuse()

    def take(self, importance: Importance) -> Refusal | None:
        """Count a call that is about to be sent, or refuse it."""
        taken = self.limit.take(importance, self.clock.now())
        return None if taken else self.refuse()

    def refuse(self) -> Refusal:
        """Return the refusal of a call for which another target may have room."""
        self.journal.count("over_target_rate")
        return Refusal(Reason.QUEUE_FULL, Ran.NOT_RUN, RETRY_AFTER_SECONDS, STEP)

    def record_response(self, attempt_id: str, text: str) -> None:
        """Apply the limit that a response states.

        Args:
            attempt_id: Id of the attempt that it responds to.
            text: The limit as stated; empty if the response states none.
        """
        rate = parse_rate(text) if text else None
        if text and rate is None:
            # The limit that was stated before stays in force.
            self.journal.write(
                "rate_limit_invalid",
                request=attempt_id,
                stated=text[:MAX_LOGGED_CHARACTERS],
            )
            return
        former = self.limit.rate
        if self.limit.record_response(rate, self.clock.now()):
            self.log_change(former, "target")

    def log_change(self, former: float | None, origin: str) -> None:
        """Log a change of the limit."""
        self.journal.write(
            "target_rate_limit", rate=self.limit.rate, former=former, origin=origin
        )

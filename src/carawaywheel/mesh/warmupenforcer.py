"""Enforcement of the request limit of the local target while it is cold."""

from ..admission import Pacing
from ..clock import Clock
from ..refusals import Ran, Reason, Refusal
from .configuration import Service
from .journal import Journal
from .settings import HostSettings
from .target import Heartbeat
from .targetconnections import ConnectionObserver
from .warmup import UNLIMITED, WarmupLimit, WarmupSettings

STEP = "warm-up"
# Longest wait of a call that another target may take at once.
MAX_REROUTED_WAIT_SECONDS = 0.1
# Heartbeats that are overdue before a failed exchange shows an absent target.
OVERDUE_HEARTBEATS = 2
# With a lower limit a health check would take too large a part of it.
MIN_LIMIT_FOR_HEALTH_CHECK = 4

REFUSED = "refused"
RECONNECTED = "reconnected"
OVERDUE = "overdue"
STARTED = "started"


class WarmupEnforcer(Pacing, ConnectionObserver):
    """Paces and counts the requests to the local target, and logs its state.

    Attributes:
        limit: Request limit of the target.
        unsent: Calls that hold a slot and have not been sent yet, by ticket id. The
            limit must have capacity for them.
        health_check_due: Whether a health check may determine an assumed state.
        heartbeat_at: Arrival of the newest heartbeat, in seconds; None before that.
        heartbeat_interval: Seconds between heartbeats.
        overdue: Whether the target is absent because it stopped responding.
        cold_since: Time from which it has been cold, in seconds; None when warm.
        origin: What the state is known from.
        logged: State and origin that were logged last.
    """

    def __init__(self, settings: HostSettings, journal: Journal, clock: Clock) -> None:
        self.journal = journal
        self.clock = clock
        self.limit = WarmupLimit(
            WarmupSettings(), clock.now(), restarted=not settings.first_start
        )
        self.unsent: set[str] = set()
        self.health_check_due = False
        self.heartbeat_at: float | None = None
        self.heartbeat_interval = settings.heartbeat
        self.overdue = False
        self.cold_since: float | None = None
        self.origin = ""
        self.logged: tuple[bool, str, str] = (False, "", "")

    def configure(self, settings: HostSettings, service: Service | None) -> None:
        """Apply the settings of the node and of the service of its target."""
        self.heartbeat_interval = settings.heartbeat
        bounds = settings.bounds
        duration = service.warmup_duration if service else 0.0
        rate = service.warmup_rate if service else 0.0
        self.limit.configure(
            WarmupSettings(duration, rate, bounds.warmup_overage, bounds.warmup_slack)
        )
        self.observe(self.clock.now())

    def free(self, now: float) -> int:
        """Return the number of calls that may be admitted now; see the base class."""
        if not self.limit.is_cold(now):
            return UNLIMITED
        return max(0, self.limit.free(now) - len(self.unsent) - self.reserved)

    def wait(self, position: int, now: float) -> float:
        """Return the expected wait in seconds; see the base class."""
        return self.limit.wait(position + len(self.unsent) + self.reserved, now)

    def admitted(self, request_id: str) -> None:
        """Reserve capacity for an admitted call until it is sent or has ended."""
        self.unsent.add(request_id)

    def ended(self, request_id: str) -> None:
        """Release the capacity of a call that was not sent."""
        self.unsent.discard(request_id)

    @property
    def reserved(self) -> int:
        """Requests of the limit that are kept for a health check."""
        return int(self.health_check_due)

    def take(self, request_id: str, now: float) -> bool:
        """Count a call that is sent next; return False if it is over the limit."""
        limit = self.limit
        if limit.is_cold(now) and limit.free(now) <= self.reserved:
            return False
        self.unsent.discard(request_id)
        limit.record_send(now)
        return True

    def take_health_check(self, request_id: str, now: float) -> bool:
        """Count a health check that is sent next; return False if over the limit."""
        if self.limit.free(now) <= 0:
            return False
        self.health_check_due = False
        self.unsent.discard(request_id)
        self.limit.record_send(now)
        return True

    def refuse(self, now: float) -> Refusal:
        """Return the refusal of a call for which another target may have capacity."""
        self.journal.count("over_warmup_limit")
        return Refusal(Reason.QUEUE_FULL, Ran.NOT_RUN, self.wait(1, now), STEP)

    def receive_heartbeat(self, heartbeat: Heartbeat, is_first: bool) -> None:
        """Apply a heartbeat.

        Args:
            heartbeat: The heartbeat, newer than all that were received before.
            is_first: Whether it is the first one of its incarnation.
        """
        now = self.clock.now()
        self.heartbeat_at = now
        remaining = heartbeat.warmup_remaining
        if remaining is not None:
            if self.limit.set_cold(now + remaining, now):
                self.origin = "heartbeat"
            if remaining > 0:
                self.health_check_due = False
            self.observe(now)
        elif is_first:
            self.assume_cold(STARTED)

    def assume_cold(self, reason: str) -> None:
        """Assume that the target is cold from now on."""
        now = self.clock.now()
        self.limit.assume_cold(now, reason)
        self.expect_health_check()
        self.observe(now)

    def expect_health_check(self) -> None:
        """Let a health check determine the assumed state, if the limit leaves room."""
        limit = self.limit.settings.limit
        self.health_check_due = limit >= MIN_LIMIT_FOR_HEALTH_CHECK

    @property
    def needs_witness(self) -> bool:
        """Whether the target has a limit while it is cold; see the base class."""
        return self.limit.enabled

    def on_refused(self) -> None:
        """Note that the target has ended; see the base class."""
        now = self.clock.now()
        self.limit.mark_absent(now, REFUSED)
        self.observe(now)

    def on_connected(self, continuous: bool) -> None:
        """Note that the target accepts connections; see the base class."""
        if self.limit.absent and not self.overdue:
            self.return_target()
        elif not continuous:
            # Also at the first connection: the process that sent the first heartbeat
            # may have ended since.
            self.assume_cold(RECONNECTED)

    def record_failure(self) -> None:
        """Note that an exchange failed, which may show that the target is absent."""
        now = self.clock.now()
        if self.heartbeat_at is None or not self.limit.enabled:
            return
        if now - self.heartbeat_at <= OVERDUE_HEARTBEATS * self.heartbeat_interval:
            return
        self.overdue = True
        self.limit.mark_absent(now, OVERDUE)
        self.observe(now)

    def record_response(self) -> None:
        """Note that the target responds."""
        if self.limit.absent:
            self.return_target()

    def return_target(self) -> None:
        """Note that an absent target is present again; it may have restarted."""
        now = self.clock.now()
        self.overdue = False
        self.limit.mark_present(now)
        self.expect_health_check()
        self.observe(now)

    def confirm(self, remaining: float, events: int) -> None:
        """Apply the response to a health check.

        Args:
            remaining: Seconds for which the target stays cold.
            events: ``limit.events`` when the health check was sent.
        """
        now = self.clock.now()
        if self.limit.confirm(remaining, now, events):
            self.origin = "health check"
            self.observe(now)

    def observe(self, now: float) -> None:
        """Log a change of the state."""
        cold = self.limit.is_cold(now)
        if not cold:
            self.cold_since = None
            self.health_check_due = False
            if self.logged[0]:
                self.journal.write("target_warm", origin=self.origin)
            self.logged = (False, "", "")
            return
        if self.cold_since is None:
            self.cold_since = now
        origin = "assumed" if self.limit.assumed else self.origin
        state = (True, origin, self.limit.assumed)
        if state != self.logged:
            self.logged = state
            self.journal.write(
                "target_cold",
                remaining=round(self.limit.remaining(now), 3),
                origin=origin,
                reason=self.limit.assumed,
            )

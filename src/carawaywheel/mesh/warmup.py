"""Request limit of a target that is cold, and what is known of whether it is.

A cold target crashes if it gets too many requests in any sliding second. All requests
to it pass through the node beside it, which alone enforces the limit.
"""

import math
from collections import deque
from typing import NamedTuple

# A send is recorded before it leaves the socket, so that intervals vary on the
# receiving side.
WINDOW_SECONDS = 1.05
# Returned as the number of requests that a warm target takes.
UNLIMITED = 1_000_000
# Bounds the memory of the log, whatever is configured; a lower limit is safe.
MAX_LIMIT = 10_000
# Send times that are kept while there is no limit, for one that is configured later.
MIN_LOG_LENGTH = 16


class WarmupSettings(NamedTuple):
    """Request limit of the cold targets of a service.

    Attributes:
        duration: Seconds for which a target stays cold after its start.
        rate: Requests per second; 0 for no limit.
        overage: Factor on the rate.
        slack: Requests per second in addition to the rate.
    """

    duration: float = 0.0
    rate: float = 0.0
    overage: float = 1.5
    slack: float = 8.0

    @property
    def limit(self) -> int:
        """Requests that a cold target takes in any second; 0 for no limit."""
        if self.rate <= 0:
            return 0
        return math.floor(min(self.rate * self.overage + self.slack, MAX_LIMIT))


class WarmupLimit:
    """Request limit of the local target while it is cold.

    The state is either reported by a heartbeat, or held: assumed after an event, or
    reported by a health check. A heartbeat may have been sent before that event and
    arrive seconds after it. It can therefore prolong a held state, but not end it.

    Attributes:
        settings: Limit of the service.
        log: Times of the last sends in seconds, oldest first. Sends to a warm target
            are recorded too, because those in the second before it becomes cold count.
        cold_until: Time until which the target is cold, in seconds.
        held_until: Time before which no heartbeat ends the cold state.
        absent: Whether the target has been found not to respond. It may start at any
            time, so that the cold state does not end before it responds again.
        assumed: Reason for which the state is assumed; empty if it was reported.
        assumed_at: Time of the last assumption, in seconds.
        events: Number of assumptions so far, by which a health check that was sent
            before the last one is recognized.
    """

    def __init__(
        self, settings: WarmupSettings, now: float, restarted: bool = False
    ) -> None:
        """Create the limit of a target that counts as warm.

        Args:
            settings: Limit of the service.
            now: Time in seconds.
            restarted: Whether a former process of the node may have sent requests
                within the last second. As many as allowed are assumed.
        """
        self.settings = settings
        self.log: deque[float] = deque(maxlen=log_length(settings))
        self.cold_until = float("-inf")
        self.held_until = float("-inf")
        self.absent = False
        self.assumed = ""
        self.assumed_at = float("-inf")
        self.events = 0
        if restarted:
            self.fill_log(now)

    @property
    def enabled(self) -> bool:
        """Whether the service has a limit."""
        return self.settings.rate > 0

    def configure(self, settings: WarmupSettings) -> None:
        """Apply other settings from now on."""
        length = log_length(settings)
        if length != self.log.maxlen:
            # The sends before the oldest known one are not known, but are not newer.
            was_full = len(self.log) == self.log.maxlen
            self.log = deque(self.log, maxlen=length)
            if was_full:
                self.fill_log(self.log[0])
        self.settings = settings
        if self.assumed:
            self.hold_cold()

    def fill_log(self, at: float) -> None:
        """Fill the log with sends at a time not after its oldest one."""
        while len(self.log) < (self.log.maxlen or 0):
            self.log.appendleft(at)

    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold, or assumed to be."""
        # The usual case first: this is asked several times for each request.
        if now < self.cold_until:
            return self.settings.rate > 0
        # Only a request shows that an absent target has come back, so that a limit of 0
        # must not keep all of them away.
        return self.absent and self.settings.limit > 0

    def remaining(self, now: float) -> float:
        """Return the seconds for which the target stays cold; 0 when it is warm."""
        if not self.is_cold(now):
            return 0.0
        if self.absent:
            return max(self.settings.duration, self.cold_until - now)
        return self.cold_until - now

    def free(self, now: float) -> int:
        """Return the number of requests that may be sent now."""
        if not self.is_cold(now):
            return UNLIMITED
        return max(0, self.settings.limit - self.count_recent(now))

    def wait(self, position: int, now: float) -> float:
        """Return the seconds until a waiting request may be sent.

        Args:
            position: Position among the waiting requests, from 1.
            now: Time in seconds.
        """
        limit, remaining = self.settings.limit, self.remaining(now)
        if remaining == 0.0 or position <= 0:
            return 0.0
        if limit <= 0:
            return remaining
        rounds, place = divmod(position - 1, limit)
        # Place 0 of the first round needs all but ``limit - 1`` sends to have expired.
        recent = self.count_recent(now)
        expiring = recent + place + 1 - limit
        seconds = 0.0
        if expiring > 0:
            seconds = self.log[len(self.log) - recent + expiring - 1] - now
            seconds += WINDOW_SECONDS
        return min(max(0.0, seconds) + rounds * WINDOW_SECONDS, remaining)

    def count_recent(self, now: float) -> int:
        """Return the number of sends that count now, up to the length of the log."""
        oldest = now - WINDOW_SECONDS
        count = 0
        for at in reversed(self.log):
            if at <= oldest:
                break
            count += 1
        return count

    def record_send(self, now: float) -> None:
        """Record a request that is about to be sent, whatever the state."""
        self.log.append(now)

    def forget_send(self, at: float) -> None:
        """Forget a send, since another target had the address and rejected it.

        Args:
            at: Time that was recorded.
        """
        was_full = len(self.log) == self.log.maxlen
        try:
            self.log.remove(at)
        except ValueError:
            return
        if was_full and self.log:
            # An older send that the log has no more may still count.
            self.log.appendleft(self.log[0])

    def set_cold(self, until: float, now: float) -> bool:
        """Apply what a heartbeat reports.

        Args:
            until: Time until which the target is cold; not after ``now`` when warm.
            now: Time of arrival, in seconds.

        Returns:
            Whether the state is the reported one, since none is held.
        """
        if self.absent or now < self.held_until:
            self.cold_until = max(self.cold_until, until)
            return False
        self.cold_until = until
        self.assumed = ""
        return True

    def assume_cold(self, now: float, reason: str) -> None:
        """Assume that the target is cold after an event, such as a possible restart."""
        self.events += 1
        self.assumed = reason
        self.assumed_at = now
        self.hold_cold()

    def hold_cold(self) -> None:
        """Hold the cold state for the duration of a warm-up since the last event."""
        until = self.assumed_at + self.settings.duration
        self.cold_until = max(self.cold_until, until)
        self.held_until = self.cold_until

    def mark_absent(self, now: float, reason: str) -> None:
        """Note that the target does not respond; it may have ended."""
        self.assume_cold(now, reason)
        self.absent = True

    def mark_present(self, now: float) -> bool:
        """Note that the target responds; it has started before.

        Returns:
            Whether it was absent.
        """
        if not self.absent:
            return False
        self.absent = False
        self.assume_cold(now, self.assumed)
        return True

    def confirm(self, remaining: float, now: float, events: int) -> bool:
        """Apply the response to a health check.

        Args:
            remaining: Seconds for which the target stays cold.
            now: Time in seconds.
            events: ``events`` when the health check was sent.

        Returns:
            Whether the response is newer than the last assumption.
        """
        if events != self.events or self.absent:
            return False
        self.cold_until = self.held_until = now + remaining
        self.assumed = ""
        return True


def log_length(settings: WarmupSettings) -> int:
    """Return the number of send times to keep."""
    return max(settings.limit, MIN_LOG_LENGTH)

"""Attempts that a node has seen, so that none runs twice.

A caller node that lost an answer may ask whether an attempt arrived. If it did
not, the attempt is fenced: should it arrive later it is refused, which makes the
answer "not run" true.
"""

import enum
from collections import deque

FORGET_SECONDS = 120.0


class AttemptState(enum.Enum):
    """State of one attempt at this node."""

    RUNNING = "running"
    FINISHED = "finished"
    FENCED = "fenced"


class AttemptTable:
    """Attempts by id, kept for a limited time after their end.

    Attributes:
        states: State of each known attempt.
        started_at: Time since which attempts are known, in seconds.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.states: dict[str, AttemptState] = {}
        self.expiry: deque[tuple[float, str]] = deque()

    def begin(self, attempt_id: str) -> bool:
        """Note the arrival of an attempt.

        Returns:
            False if it arrived before or was fenced; it must not run then.
        """
        if attempt_id in self.states:
            return False
        self.states[attempt_id] = AttemptState.RUNNING
        return True

    def finish(self, attempt_id: str, now: float) -> None:
        """Note the end of an attempt."""
        self.states[attempt_id] = AttemptState.FINISHED
        self.expiry.append((now + FORGET_SECONDS, attempt_id))

    def fence(self, attempt_id: str, now: float) -> AttemptState:
        """Return the state of an attempt; one that is unknown is fenced."""
        state = self.states.get(attempt_id)
        if state is not None:
            return state
        self.states[attempt_id] = AttemptState.FENCED
        self.expiry.append((now + FORGET_SECONDS, attempt_id))
        return AttemptState.FENCED

    def expire(self, now: float) -> None:
        """Forget attempts that ended long ago."""
        while self.expiry and self.expiry[0][0] <= now:
            _, attempt_id = self.expiry.popleft()
            self.states.pop(attempt_id, None)

"""Attempts that a node has received, so that none runs twice.

A node that lost the response to an attempt may ask whether the attempt arrived. If it
did not, it is fenced: it is refused should it arrive later, so that the reply "not run"
remains true.
"""

import enum
from collections import deque

# Time for which an attempt is remembered after its end.
RETENTION_SECONDS = 120.0


class AttemptState(enum.Enum):
    """State of an attempt at this node."""

    RUNNING = "running"
    FINISHED = "finished"
    FENCED = "fenced"


class AttemptTable:
    """States of attempts, kept for a limited time after their end.

    Attributes:
        started_at: Time since which attempts are recorded, in seconds.
        states: State of each known attempt by its id.
        expiry_queue: Time in seconds at which each ended attempt is removed, and its
            id, earliest first.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.states: dict[str, AttemptState] = {}
        self.expiry_queue: deque[tuple[float, str]] = deque()

    def begin(self, attempt_id: str) -> bool:
        """Record the arrival of an attempt.

        Returns:
            Whether it may run; False if it arrived before or was fenced.
        """
        if attempt_id in self.states:
            return False
        self.states[attempt_id] = AttemptState.RUNNING
        return True

    def finish(self, attempt_id: str, now: float) -> None:
        """Record the end of an attempt."""
        self.states[attempt_id] = AttemptState.FINISHED
        self.expiry_queue.append((now + RETENTION_SECONDS, attempt_id))

    def fence(self, attempt_id: str, now: float) -> AttemptState:
        """Return the state of an attempt, which is fenced if it is unknown."""
        state = self.states.get(attempt_id)
        if state is not None:
            return state
        self.states[attempt_id] = AttemptState.FENCED
        self.expiry_queue.append((now + RETENTION_SECONDS, attempt_id))
        return AttemptState.FENCED

    def expire(self, now: float) -> None:
        """Remove the attempts whose retention time has passed."""
        while self.expiry_queue and self.expiry_queue[0][0] <= now:
            _, attempt_id = self.expiry_queue.popleft()
            self.states.pop(attempt_id, None)

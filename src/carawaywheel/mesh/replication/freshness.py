"""Bound on the age of the configuration that a node uses.

Each successful read of the table confirms that nothing newer was there at that time,
and readers tell the age of their confirmation with each status. A node whose last
confirmation is too old does not have to find out what failed: it asks other readers,
and then the store itself. So the time until a change is in force does not depend on
which component is lost, how, or at what moment.
"""

import enum
import math
import random
from typing import NamedTuple

# A reader polls for a second, and its status may be lost once if there are two readers.
REPLACE_READERS_SECONDS = 1.4
# Time between two changes of readers: a query, a read of the store, and a status.
REPLACE_AGAIN_SECONDS = 0.5
READ_STORE_SECONDS = 1.6
# Spreads the reads of nodes that lost the same readers.
READ_SPREAD_SECONDS = 0.1
MIN_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 8.0


class Step(enum.Enum):
    """What a node does to confirm its configuration."""

    NONE = "none"
    REPLACE_READERS = "replace readers"
    READ_STORE = "read store"


class Report(NamedTuple):
    """Confirmation that another node has told.

    Attributes:
        version: Newest version in the store.
        confirmed_at: Local time of the confirmation in seconds.
    """

    version: int
    confirmed_at: float


class Freshness:
    """Decides when a node has to confirm its configuration, and how.

    Attributes:
        confirmed_at: Time in seconds at which nothing newer was in the store; minus
            infinity before the first confirmation.
        reports: Confirmations of versions that this node does not have yet, by sender.
        replace_due_at: Time in seconds from which readers may be replaced.
        read_due_at: Time in seconds from which the store may be read.
        backoff: Seconds until the next read of the store if the last one failed.
        is_stale: Whether a step has been due since the last confirmation.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        self.rng = rng
        self.reports: dict[str, Report] = {}
        self.confirmed_at = -math.inf
        self.restart(now)

    def restart(self, at: float) -> None:
        """Wait for the next confirmation, as if the last one had been at a time."""
        self.replace_due_at = at + REPLACE_READERS_SECONDS
        spread = self.rng.uniform(0.0, READ_SPREAD_SECONDS)
        self.read_due_at = at + READ_STORE_SECONDS + spread
        self.backoff = MIN_BACKOFF_SECONDS
        self.is_stale = False

    def confirm(self, at: float) -> None:
        """Note that the store held nothing newer at a time."""
        if at > self.confirmed_at:
            self.confirmed_at = at
            self.restart(at)

    def record_report(
        self, sender: str, version: int, known_version: int, at: float
    ) -> None:
        """Note a confirmation that another node has told.

        Args:
            sender: Address of the node.
            version: Version that the store has confirmed to it.
            known_version: Version that this node knows.
            at: Local time of the confirmation in seconds.
        """
        if version <= known_version:
            self.reports.pop(sender, None)
            self.confirm(at)
        else:
            self.reports[sender] = Report(version, at)

    def apply_reports(self, known_version: int) -> None:
        """Use the confirmations of versions that this node has learned meanwhile."""
        for sender, report in list(self.reports.items()):
            if report.version <= known_version:
                del self.reports[sender]
                self.confirm(report.confirmed_at)

    def due_at(self) -> float:
        """Return the time in seconds at which the next step may be due."""
        return min(self.replace_due_at, self.read_due_at)

    def next_step(self, now: float) -> Step:
        """Return the step that is due now, once."""
        self.is_stale = self.is_stale or now >= self.due_at()
        if now >= self.read_due_at:
            self.read_due_at = now + self.backoff
            self.backoff = min(self.backoff * 2, MAX_BACKOFF_SECONDS)
            return Step.READ_STORE
        if now >= self.replace_due_at:
            self.replace_due_at = now + REPLACE_AGAIN_SECONDS
            return Step.REPLACE_READERS
        return Step.NONE

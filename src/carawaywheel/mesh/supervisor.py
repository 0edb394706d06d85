"""Supervision of the components of a mesh node."""

from ..clock import Clock
from ..supervisor import Supervisor
from .journal import Journal


class JournalSupervisor(Supervisor):
    """Supervisor that writes failures to the journal."""

    def __init__(self, journal: Journal, clock: Clock) -> None:
        super().__init__(clock)
        self.journal = journal

    def report_failure(self, name: str, error: Exception) -> None:
        """Log the error of a component; see the base class."""
        self.journal.write("part_failed", part=name, error=repr(error))

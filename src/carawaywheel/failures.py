"""Record of the errors with which parts of a node ended."""

from loguru import logger

from .clock import Clock
from .recorder import Recorder
from .supervisor import Supervisor


class RecordingSupervisor(Supervisor):
    """Supervisor that logs failures with their traceback and counts them."""

    def __init__(self, recorder: Recorder, clock: Clock) -> None:
        super().__init__(clock)
        self.recorder = recorder

    def report_failure(self, name: str, error: Exception) -> None:
        """Log and count the error of a part; see the base class."""
        self.recorder.increment("part_failed")
        logger.opt(exception=error).error("part {} failed", name)

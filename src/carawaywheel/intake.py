"""The intake of a node: whether it takes new requests, and how many are in flight."""

from collections.abc import Iterator
from contextlib import contextmanager

from .refusals import Ran, Reason, Refusal

# The usual least value of the header; another node can take the request at once.
RETRY_AFTER_SECONDS = 1.0


class Intake:
    """Counts the requests in flight and refuses new ones once it is closed.

    Attributes:
        closed: Whether new requests are refused.
        in_flight: Requests that were taken and have not ended.
    """

    def __init__(self) -> None:
        self.closed = False
        self.in_flight = 0

    @contextmanager
    def take(self) -> Iterator[None]:
        """Count a request as in flight until the context ends."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    def refusal(self, step: str) -> Refusal:
        """Return the refusal of a request that came too late.

        Args:
            step: The processing step that refused it.
        """
        return Refusal(Reason.SHUTTING_DOWN, Ran.NOT_RUN, RETRY_AFTER_SECONDS, step)

"""Overload levels, carried on answers."""

from typing import NamedTuple


class Level(NamedTuple):
    """Overload level of one service as seen by one of its nodes.

    Attributes:
        service: Name of the service.
        importance_admitted: Highest number of an importance class that is
            admitted at present; -1 if none is.
        pressure: Demand over capacity: below 1 free slots, above 1 queueing.
    """

    service: str
    importance_admitted: int
    pressure: float

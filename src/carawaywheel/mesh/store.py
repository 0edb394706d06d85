"""The platform's store as the node uses it, behind an abstract base class."""

from abc import ABC, abstractmethod
from typing import NamedTuple


class KeyValue(NamedTuple):
    """The newest value of a key.

    Attributes:
        key: The key.
        value: The value; empty if the key was dropped.
    """

    key: str
    value: bytes


class TablePage(NamedTuple):
    """Values read from a table.

    Attributes:
        items: Values, oldest first.
        position: Position from which later changes can be read.
    """

    items: list[KeyValue]
    offset: int


class Store(ABC):
    """Tables of keys whose newest values are kept for ever."""

    @abstractmethod
    async def read_all(self, table: str) -> TablePage:
        """Read the newest value of each key.

        Raises:
            LogError: If the store failed or did not answer in time.
        """

    @abstractmethod
    async def poll_changes(
        self, table: str, offset: int, wait: float
    ) -> TablePage | None:
        """Wait for changes after a position.

        Returns:
            The changes; None if they are not kept any more.

        Raises:
            LogError: If the store failed or did not answer in time.
        """

    @abstractmethod
    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write the value of a key.

        Raises:
            LogError: If the store failed; ``unknown`` says whether the write may
                have taken effect.
        """

"""Abstract base class of the platform's key-value store."""

from abc import ABC, abstractmethod
from typing import NamedTuple


class Position(NamedTuple):
    """Position in a table; later ones compare greater.

    Attributes:
        era: Era of the store: it rises when the store comes back from a copy, which
            gives offsets out again. 0 if it is not known.
        offset: Offset in the history of this era.
    """

    era: int
    offset: int


START = Position(0, 0)


class KeyValue(NamedTuple):
    """Key with its newest value.

    Attributes:
        key: The key.
        value: The value; empty if the key was deleted.
        offset: Offset of the change in its table.
    """

    key: str
    value: bytes
    offset: int


class TablePage(NamedTuple):
    """Values read from a table at one offset.

    Attributes:
        items: Keys with their values, oldest first.
        offset: Offset from which later changes can be read.
        era: Era of the store in which the offsets hold; 0 if it does not tell.
        is_whole: Whether these are the newest values of all keys.
    """

    items: list[KeyValue]
    offset: int
    era: int = 0
    is_whole: bool = False


class Store(ABC):
    """Tables of keys; the newest value of each key never expires."""

    @abstractmethod
    async def read_all(self, table: str) -> TablePage:
        """Read the newest value of each key of a table.

        Raises:
            LogError: If the store failed or timed out.
        """

    @abstractmethod
    async def poll_changes(
        self, table: str, offset: int, wait: float
    ) -> TablePage | None:
        """Long-poll for changes from an offset on.

        Args:
            table: Name of the table.
            offset: Offset of the first change to return.
            wait: Seconds to wait for a change.

        Returns:
            The changes; None if the store does not have this offset.

        Raises:
            LogError: If the store failed or timed out.
        """

    @abstractmethod
    async def put(self, table: str, key: str, value: bytes) -> int:
        """Write the value of a key.

        Returns:
            The era of the store in which it was written; 0 if the store does not tell.

        Raises:
            LogError: If the store failed; ``outcome_unknown`` tells whether the write
                may have taken effect.
        """

    @abstractmethod
    async def put_at(self, table: str, key: str, value: bytes, offset: int) -> bool:
        """Write the value of a key unless the table has changed.

        Args:
            table: Name of the table.
            key: The key.
            value: The value.
            offset: Offset at which the table must end.

        Returns:
            Whether it was written.

        Raises:
            LogError: If the store failed; ``outcome_unknown`` tells whether the write
                may have taken effect.
        """

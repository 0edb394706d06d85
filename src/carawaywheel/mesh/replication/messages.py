"""Messages by which nodes learn changes of the shared state from readers.

Eras stand at the end of each message: nodes that know none leave them out, and ignore
them.
"""

import msgspec

from ..evacuation import Evacuation
from .directory import HostRecord
from .store import START, Position

# Host records in one datagram; it must fit into a network packet. Larger changes are
# fetched over HTTP.
MAX_DATAGRAM_HOSTS = 8


class Query(msgspec.Struct, array_like=True, tag=1):
    """Query of a follower for changes since what it knows.

    Attributes:
        sender: Address of the follower.
        version: Version of its configuration; 0 for none.
        hosts_offset: Offset in the store up to which it knows all host records.
        era: Era of this offset; 0 if the sender does not tell.
        evacuations: Evacuations that it knows.
        asked_at: Time by its own clock in seconds; 0 if it does not tell.
    """

    sender: str
    version: int
    hosts_offset: int
    era: int = 0
    evacuations: list[Evacuation] = []
    asked_at: float = 0.0

    def position(self, default_era: int) -> Position:
        """Return the position up to which the sender knows all host records.

        Args:
            default_era: Era of the offsets of a sender that tells none.
        """
        return Position(self.era or default_era, self.hosts_offset)


class Status(msgspec.Struct, array_like=True, tag=2):
    """State of a reader: the reply to a query, also sent at each change.

    Attributes:
        sender: Address of the reader.
        in_touch: Whether it has heard from the store within the last seconds.
        version: Version of its configuration.
        hosts_offset: Offset in the store up to which it knows all host records.
        since: Offset from which on ``hosts`` holds all changes.
        hosts: Records with their offsets.
        era: Era of ``hosts_offset``; 0 if the sender does not tell.
        since_era: Era of ``since``; 0 if the sender does not tell.
        eras: Eras of the offsets of the records, in the same order.
        evacuations: Evacuations that the sender knows.
        age: Seconds since the sender has read that the store holds nothing newer than
            this version; infinite if it never has, None from nodes that do not tell.
        confirmed_at: Time of that read in seconds by the clock of the receiver, or
            earlier; None if the receiver has not told its time.
    """

    sender: str
    in_touch: bool
    version: int
    hosts_offset: int
    since: int
    hosts: list[tuple[int, HostRecord]]
    era: int = 0
    since_era: int = 0
    eras: list[int] = []
    evacuations: list[Evacuation] = []
    age: float | None = None
    confirmed_at: float | None = None

    def position(self, default_era: int) -> Position:
        """Return the position up to which the sender knows all host records.

        Args:
            default_era: Era of the offsets of a sender that tells none.
        """
        return Position(self.era or default_era, self.hosts_offset)

    def start(self, default_era: int) -> Position:
        """Return the position from which on the records are all changes."""
        return Position(self.since_era or default_era, self.since)

    def changes(self, default_era: int) -> list[tuple[Position, HostRecord]]:
        """Return the records with their positions."""
        offsets = [offset for offset, _ in self.hosts]
        records = [record for _, record in self.hosts]
        return pair_positions(offsets, self.eras, records, default_era)


class MeshState(msgspec.Struct, omit_defaults=True):
    """State that one node fetches from another or sends to it.

    Attributes:
        configuration: The configuration document as published; empty for none.
        hosts: Host records.
        hosts_known: Whether the sender knows the records of all hosts.
        offsets: Offsets of the records in the store, in the same order; empty if the
            sender does not tell them.
        hosts_offset: Offset up to which the sender knows all host records.
        era: Era of this offset; 0 if the sender does not tell.
        eras: Eras of the offsets of the records, in the same order.
        evacuations: Evacuations that the sender knows.
    """

    configuration: bytes
    hosts: list[HostRecord]
    hosts_known: bool = False
    offsets: list[int] = []
    hosts_offset: int = 0
    era: int = 0
    eras: list[int] = []
    evacuations: list[Evacuation] = []

    def position(self, default_era: int) -> Position:
        """Return the position up to which the sender knows all host records.

        Args:
            default_era: Era of the offsets of a sender that tells none.
        """
        if not self.hosts_known:
            return START
        return Position(self.era or default_era, self.hosts_offset)

    def changes(self, default_era: int) -> list[tuple[Position, HostRecord]]:
        """Return the records with their positions."""
        return pair_positions(self.offsets, self.eras, self.hosts, default_era)


Message = Query | Status
decoder = msgspec.msgpack.Decoder(Message)
state_decoder = msgspec.msgpack.Decoder(MeshState)
encode = msgspec.msgpack.encode


def pair_positions(
    offsets: list[int],
    eras: list[int],
    records: list[HostRecord],
    default_era: int,
) -> list[tuple[Position, HostRecord]]:
    """Return records with their positions; those not in the store have the start.

    Args:
        offsets: Offsets of the records; empty if the sender does not tell them.
        eras: Eras of these offsets; empty likewise.
        records: The records.
        default_era: Era of the offsets of a sender that tells none.
    """
    if len(offsets) != len(records):
        return [(START, record) for record in records]
    if len(eras) != len(records):
        eras = [default_era if offset else START.era for offset in offsets]
    positions = map(Position, eras, offsets)
    return list(zip(positions, records, strict=True))


def decode_message(data: bytes) -> Message | None:
    """Decode a datagram; return None if it is malformed."""
    try:
        return decoder.decode(data)
    except msgspec.DecodeError:
        return None

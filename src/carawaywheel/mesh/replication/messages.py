"""Messages by which nodes learn changes of the shared state from readers."""

import msgspec

from .directory import HostRecord

# Host records in one datagram; it must fit into a network packet. Larger changes are
# fetched over HTTP.
MAX_DATAGRAM_HOSTS = 8


class Query(msgspec.Struct, array_like=True, tag=1):
    """Query of a follower for changes since what it knows.

    Attributes:
        sender: Address of the follower.
        version: Version of its configuration; 0 for none.
        hosts_offset: Offset in the store up to which it knows all host records.
    """

    sender: str
    version: int
    hosts_offset: int


class Status(msgspec.Struct, array_like=True, tag=2):
    """State of a reader: the reply to a query, also sent at each change.

    Attributes:
        sender: Address of the reader.
        in_touch: Whether it has heard from the store within the last seconds.
        version: Version of its configuration.
        hosts_offset: Offset in the store up to which it knows all host records.
        since: Offset from which on ``hosts`` holds all changes.
        hosts: Records with their offsets.
    """

    sender: str
    in_touch: bool
    version: int
    hosts_offset: int
    since: int
    hosts: list[tuple[int, HostRecord]]


class MeshState(msgspec.Struct, omit_defaults=True):
    """State that one node fetches from another or sends to it.

    Attributes:
        configuration: The configuration document as published; empty for none.
        hosts: Host records.
        hosts_known: Whether the sender knows the records of all hosts.
        offsets: Offsets of the records in the store, in the same order; empty if the
            sender does not tell them.
        hosts_offset: Offset up to which the sender knows all host records.
    """

    configuration: bytes
    hosts: list[HostRecord]
    hosts_known: bool = False
    offsets: list[int] = []
    hosts_offset: int = 0


Message = Query | Status
decoder = msgspec.msgpack.Decoder(Message)
state_decoder = msgspec.msgpack.Decoder(MeshState)
encode = msgspec.msgpack.encode


def decode_message(data: bytes) -> Message | None:
    """Decode a datagram; return None if it is malformed."""
    try:
        return decoder.decode(data)
    except msgspec.DecodeError:
        return None

"""Messages of the SWIM protocol and their encoding."""

import enum
from typing import NamedTuple

import msgspec

from .errors import ProtocolError
from .members import Member, MemberState

MAX_DATAGRAM_BYTES = 1200
DATAGRAM_TAG_BYTES = 16
MAX_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - DATAGRAM_TAG_BYTES
# Kind, sequence, log offset, view digest and list headers at their longest.
HEADER_BYTES = 48
MAX_MEMBER_BYTES = 400
# Headers, incarnation and state of a judgement, without the node id.
JUDGEMENT_BYTES = 14


class MessageKind(enum.IntEnum):
    """Kind of a message.

    UPDATE pushes updates, DIGEST carries the digests of the sender's member table, and
    RECORDS responds with the descriptions in which the tables differ.
    """

    PING = 0
    ACK = 1
    PING_REQ = 2
    UPDATE = 3
    DIGEST = 4
    RECORDS = 5


class Judgement(NamedTuple):
    """State of a member without its description, for receivers that know the member.

    Attributes:
        node_id: Id of the member.
        incarnation: Incarnation that the state applies to.
        state: SUSPECT or DEAD.
    """

    node_id: str
    incarnation: int
    state: MemberState


class Message(NamedTuple):
    """One datagram between two nodes.

    Attributes:
        kind: Kind of the message.
        sequence: Sequence number of a PING, copied to its ACK. In a DIGEST, 1 requests
            the receiver's digest and 0 is the response.
        sender: Description of the sender by itself.
        subject: Node id that a PING or PING_REQ is for (empty for any node), or on
            whose behalf an ACK is sent.
        subject_address: Gossip address of the subject of a PING_REQ.
        log_offset: Offset in the configuration stream up to which the sender has read.
        view: Digest of the live members known to the sender.
        buckets: Digest of each bucket; in a DIGEST only.
        updates: Descriptions of members.
        judgements: Suspected and dead members in the short form.
    """

    kind: MessageKind
    sequence: int
    sender: Member
    subject: str
    subject_address: str
    log_offset: int
    view: int
    buckets: list[int]
    updates: list[Member]
    judgements: list[Judgement]


class OutgoingMessage(NamedTuple):
    """A message to send.

    Attributes:
        address: Gossip address of the receiver, as ``ip:port``.
        message: The message.
    """

    address: str
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message, without the authentication tag."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message.

    Raises:
        ProtocolError: If the data is not a valid message.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ProtocolError(f"malformed gossip message: {error}", "gossip") from error


def update_bytes_left(sender_size: int, subject: str = "", address: str = "") -> int:
    """Return the bytes left for updates in a message without buckets."""
    return MAX_MESSAGE_BYTES - HEADER_BYTES - sender_size - len(subject) - len(address)

"""Messages of the SWIM protocol and their encoding."""

import enum
from typing import NamedTuple

import msgspec

from .errors import ProtocolError
from .members import Member, MemberState

MAX_DATAGRAM_BYTES = 1200
SIGNATURE_BYTES = 16
MAX_MESSAGE_BYTES = MAX_DATAGRAM_BYTES - SIGNATURE_BYTES
# Kind, sequence, log offset, view and list headers at their longest encoding.
HEADER_BYTES = 48
MAX_MEMBER_BYTES = 400
# A judgement beside its node id: headers, incarnation and state.
JUDGEMENT_BYTES = 14


class MessageKind(enum.IntEnum):
    """Kind of a message."""

    PING = 0
    ACK = 1
    PING_REQ = 2
    UPDATE = 3
    DIGEST = 4
    RECORDS = 5


class Judgement(NamedTuple):
    """State of a member in the short form, for receivers that know the member.

    Attributes:
        node_id: Id of the member.
        incarnation: Incarnation that is judged.
        state: SUSPECT or DEAD.
    """

    node_id: str
    incarnation: int
    state: MemberState


class Message(NamedTuple):
    """One datagram between two nodes.

    Attributes:
        kind: Kind of the message.
        sequence: Number that an ACK repeats from its PING. In a DIGEST, 1 asks
            for the receiver's digest and 0 is the answer.
        sender: Description of the sender by itself.
        subject: Node id that a PING or PING_REQ is meant for (empty for any), or
            that an ACK speaks for.
        subject_address: Gossip address of the subject of a PING_REQ.
        log_offset: Position in the configuration stream that the sender has read.
        view: Digest of the live members that the sender knows.
        buckets: Digest of each bucket, in a DIGEST only.
        updates: Descriptions of members.
        judgements: Suspected and dead members.
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
    """A message to be sent.

    Attributes:
        address: Gossip address of the receiver, as ``ip:port``.
        message: The message.
    """

    address: str
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the encoding of a message, without its signature."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Return the message that was encoded.

    Raises:
        ProtocolError: If the data is not a message.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ProtocolError(f"not a gossip message: {error}", "gossip") from error


def update_bytes_left(sender_size: int, subject: str = "", address: str = "") -> int:
    """Return the bytes that remain for updates in a message without buckets."""
    return MAX_MESSAGE_BYTES - HEADER_BYTES - sender_size - len(subject) - len(address)

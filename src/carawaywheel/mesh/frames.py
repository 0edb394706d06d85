"""Messages on the links between nodes: a length and a msgpack document."""

import struct

import msgspec

from ..errors import ProtocolError
from ..http import Headers
from .messages import Call, CallReply

LENGTH_PREFIX = struct.Struct(">I")
# Larger bodies go over a connection of their own, so that they hold up no other call.
FRAME_BODY_BYTES_MAX = 512 * 1024
# A body, a head and the messages about them.
FRAME_BYTES_MAX = FRAME_BODY_BYTES_MAX + 128 * 1024


class CallFrame(msgspec.Struct, array_like=True, tag=1):
    """A request for the target beside the receiver.

    Attributes:
        number: Number of the call on its link.
        call: The call.
        method: HTTP method.
        target: Path and query.
        headers: Headers that go on to the target.
        body: The whole body.
    """

    number: int
    call: Call
    method: str
    target: str
    headers: Headers
    body: bytes


class CancelFrame(msgspec.Struct, array_like=True, tag=2):
    """The caller of a call has gone, or its time is over.

    Attributes:
        number: Number of the call on its link.
    """

    number: int


class ResponseFrame(msgspec.Struct, array_like=True, tag=3):
    """Answer to a call.

    Attributes:
        number: Number of the call on its link.
        reply: What the node says of the answer.
        status: HTTP status.
        headers: Headers of the target's answer.
        body: Its body, or the beginning of it.
        rest: Name under which the rest can be fetched; empty if the body is whole.
    """

    number: int
    reply: CallReply
    status: int
    headers: Headers
    body: bytes
    rest: str


Frame = CallFrame | CancelFrame | ResponseFrame

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length."""
    content = encoder.encode(frame)
    return LENGTH_PREFIX.pack(len(content)) + content


class FrameDecoder:
    """Splits what arrives on a link into frames.

    Attributes:
        peer: Address of the other node.
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add bytes and return the frames that are complete.

        Raises:
            ProtocolError: If the bytes are no frames.
        """
        self.buffer += data
        frames: list[Frame] = []
        at = 0
        while len(self.buffer) - at >= LENGTH_PREFIX.size:
            (size,) = LENGTH_PREFIX.unpack_from(self.buffer, at)
            if size > FRAME_BYTES_MAX:
                raise ProtocolError("the frame is too large", "read frame", self.peer)
            end = at + LENGTH_PREFIX.size + size
            if len(self.buffer) < end:
                break
            frames.append(
                self.decode_frame(bytes(self.buffer[at + LENGTH_PREFIX.size : end]))
            )
            at = end
        del self.buffer[:at]
        return frames

    def decode_frame(self, content: bytes) -> Frame:
        """Decode one frame.

        Raises:
            ProtocolError: If it is malformed.
        """
        try:
            return decoder.decode(content)
        except (msgspec.DecodeError, ValueError) as error:
            raise ProtocolError(str(error), "read frame", self.peer) from error

"""Frames on the links between nodes: a length prefix and a msgpack document."""

import struct

import msgspec

from ..errors import ProtocolError
from ..http import Headers
from .messages import Call, CallReply

LENGTH_PREFIX = struct.Struct(">I")
# Larger bodies use a separate connection, so that they delay no other call.
MAX_FRAME_BODY_BYTES = 512 * 1024
# Room for the largest body, a head and the metadata of both.
MAX_FRAME_BYTES = MAX_FRAME_BODY_BYTES + 128 * 1024


class CallFrame(msgspec.Struct, array_like=True, tag=1):
    """A call for the target beside the receiving node.

    Attributes:
        number: Number of the call on its link.
        call: Metadata of the call.
        method: HTTP method.
        target: Path and query.
        headers: Headers to forward to the target.
        body: Complete body.
        target_rate: Rate limit that the target stated last, in requests per second;
            None if it stated none. Former versions send and read none.
        may_wait: Whether the call may wait for a cold target until its deadline,
            since no other target would get it. Former versions send and read none.
    """

    number: int
    call: Call
    method: str
    target: str
    headers: Headers
    body: bytes
    target_rate: float | None = None
    may_wait: bool = False


class CancelFrame(msgspec.Struct, array_like=True, tag=2):
    """Cancels a call whose caller disconnected or whose deadline passed.

    A call that has not begun to run is answered with a refusal that says so.

    Attributes:
        number: Number of the call on its link.
        only_waiting: Whether a call that has begun goes on. Former versions send none
            and cancel the call.
    """

    number: int
    only_waiting: bool = False


class ResponseFrame(msgspec.Struct, array_like=True, tag=3):
    """Response to a call.

    Attributes:
        number: Number of the call on its link.
        reply: Metadata of the response.
        status: HTTP status.
        headers: Headers of the target's response.
        body: Complete body; empty if the response must be fetched.
        rest: Name by which a large response can be fetched; empty if it is complete.
        cold_remaining: Seconds for which the target stays cold; 0 when it is warm.
            Former versions send and read neither this nor the share.
        cold_share: Share of a warm target's requests that the target is to be sent,
            above 0 to 1.
    """

    number: int
    reply: CallReply
    status: int
    headers: Headers
    body: bytes
    rest: str
    cold_remaining: float = 0
    cold_share: float = 1


Frame = CallFrame | CancelFrame | ResponseFrame

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length prefix."""
    content = encoder.encode(frame)
    return LENGTH_PREFIX.pack(len(content)) + content


class FrameDecoder:
    """Splits the byte stream of a link into frames.

    Attributes:
        peer: Address of the other node.
        buffer: Bytes of an incomplete frame.
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add bytes and return the frames that are complete.

        Raises:
            ProtocolError: If a frame is too large or malformed.
        """
        if self.buffer:
            self.buffer += data
            frames, offset = self.split(self.buffer)
            del self.buffer[:offset]
            return frames
        # Mostly whole frames arrive, which need not be copied to the buffer.
        frames, offset = self.split(data)
        if offset < len(data):
            self.buffer += data[offset:]
        return frames

    def split(self, data: bytes | bytearray) -> tuple[list[Frame], int]:
        """Return the complete frames at the start of received bytes, and their size.

        Raises:
            ProtocolError: If a frame is too large or malformed.
        """
        frames: list[Frame] = []
        offset = 0
        while len(data) - offset >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(data, offset)
            if length > MAX_FRAME_BYTES:
                raise ProtocolError(
                    f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}",
                    "read frame",
                    self.peer,
                )
            end = offset + LENGTH_PREFIX.size + length
            if len(data) < end:
                break
            content = bytes(data[offset + LENGTH_PREFIX.size : end])
            frames.append(self.decode_frame(content))
            offset = end
        return frames, offset

    def decode_frame(self, content: bytes) -> Frame:
        """Decode one frame.

        Raises:
            ProtocolError: If it is malformed.
        """
        try:
            return decoder.decode(content)
        except (msgspec.DecodeError, ValueError) as error:
            raise ProtocolError(str(error), "read frame", self.peer) from error

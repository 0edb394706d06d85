"""Signatures of messages between nodes, made with the fleet secret."""

import base64
import hashlib
import hmac

import msgspec

from .contexts import RequestContext, ResponseMetadata
from .errors import ProtocolError
from .headers import DIGEST_HEADER, SIGNATURE_HEADER
from .http import Headers

DATAGRAM_TAG_BYTES = 16
# HMAC-SHA256, RFC 2104.
BLOCK_BYTES = 64
INNER_PAD = 0x36
OUTER_PAD = 0x5C

encoder = msgspec.msgpack.Encoder()
context_decoder = msgspec.msgpack.Decoder(RequestContext)
response_decoder = msgspec.msgpack.Decoder(ResponseMetadata)


class Signer:
    """Signs and verifies messages between nodes."""

    def __init__(self, secret: bytes) -> None:
        self.secret = secret
        # State of HMAC-SHA256 after its key, which is the same for all datagrams.
        key = secret if len(secret) <= BLOCK_BYTES else hashlib.sha256(secret).digest()
        key = key.ljust(BLOCK_BYTES, b"\0")
        self.inner = hashlib.sha256(bytes(byte ^ INNER_PAD for byte in key))
        self.outer = hashlib.sha256(bytes(byte ^ OUTER_PAD for byte in key))

    def sign(self, *parts: bytes) -> bytes:
        """Return the hexadecimal HMAC-SHA256 of the parts, joined by newlines."""
        return (
            hmac.new(self.secret, b"\n".join(parts), hashlib.sha256)
            .hexdigest()
            .encode()
        )

    def control_headers(
        self, method: str, target: str, body: bytes, address: str
    ) -> Headers:
        """Return the headers of a control request to a node.

        The signature covers a digest of the body, so that the receiver can verify it
        before it reads the body.
        """
        digest = body_digest(body).encode()
        signature = self.sign(method.encode(), target.encode("latin-1"), digest)
        return [
            (b"host", address.encode()),
            (DIGEST_HEADER, digest),
            (SIGNATURE_HEADER, signature),
            (b"content-length", str(len(body)).encode()),
        ]

    def verify(self, signature: str, *parts: bytes) -> bool:
        """Return whether a signature matches the parts, in constant time."""
        return hmac.compare_digest(signature.encode("latin-1"), self.sign(*parts))

    def sign_datagram(self, data: bytes) -> bytes:
        """Return a datagram with its authentication tag appended."""
        return data + self.datagram_tag(data)

    def verify_datagram(self, datagram: bytes) -> bytes | None:
        """Return the content of a datagram, or None if its tag does not match."""
        data = datagram[:-DATAGRAM_TAG_BYTES]
        if not hmac.compare_digest(
            datagram[-DATAGRAM_TAG_BYTES:], self.datagram_tag(data)
        ):
            return None
        return data

    def datagram_tag(self, data: bytes) -> bytes:
        """Return the authentication tag of a datagram."""
        inner = self.inner.copy()
        inner.update(data)
        outer = self.outer.copy()
        outer.update(inner.digest())
        return outer.digest()[:DATAGRAM_TAG_BYTES]


def body_digest(body: bytes) -> str:
    """Return the SHA-256 digest of a body, or "" for an empty body."""
    return hashlib.sha256(body).hexdigest() if body else ""


def context_to_sign(context: str, digest: str) -> bytes:
    """Return the part that the signature of a call covers with method and target."""
    return f"{context}\n{digest}".encode("latin-1")


def check_body_digest(body: bytes, digest: str, peer: str) -> None:
    """Check that a body has the digest that was signed.

    Raises:
        ProtocolError: If the digests differ.
    """
    if body_digest(body) != digest:
        raise ProtocolError("the body does not match its signed digest", "verify", peer)


def encode_header(value: RequestContext | ResponseMetadata) -> bytes:
    """Encode a value for a header."""
    return base64.b64encode(encoder.encode(value))


def decode_request_context(header: str, peer: str) -> RequestContext:
    """Decode the context of a request.

    Raises:
        ProtocolError: If the header is malformed.
    """
    try:
        return context_decoder.decode(base64.b64decode(header, validate=True))
    except (ValueError, msgspec.DecodeError) as error:
        raise ProtocolError(
            "malformed request context header", "read head", peer
        ) from error


def decode_response_metadata(header: str, peer: str) -> ResponseMetadata:
    """Decode the metadata of a response.

    Raises:
        ProtocolError: If the header is malformed.
    """
    try:
        return response_decoder.decode(base64.b64decode(header, validate=True))
    except (ValueError, msgspec.DecodeError) as error:
        raise ProtocolError(
            "malformed response metadata header", "read head", peer
        ) from error

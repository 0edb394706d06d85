"""Records of the platform's log and their signed encoding.

An encoded record is an HMAC-SHA256 with the fleet secret, followed by the msgpack
encoding of the tag and the fields. Times are seconds since the Unix epoch by the
clock of the author's node. Offsets number the records of one stream; a position is the
offset of the next record to read.
"""

import hashlib
import hmac
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta

from .errors import RecordError
from .policies import Name, PolicyDocument
from .slotrecords import SlotClaim, SlotRelease, TakeoverNotice, TakeoverObjection
from .slotreplay import SlotsSnapshot
from .summaries import Summary

# Version of an entry that does not exist; offset 0 is a valid version.
NO_VERSION = -1
MAC_BYTES = 32
MAX_RECORD_BYTES = 64 * 1024
# Domain separation: peer messages are signed with the same secret.
MAC_CONTEXT = b"carawaywheel record 1\0"
TEAMS_PREFIX = "/teams/"

ENTRY_PATH_PATTERN = (
    r"^/teams/[a-z0-9][a-z0-9-]{0,62}(/token|/keys/[0-9a-f]{16})?(?![\s\S])"
)
Version = Annotated[int, Meta(ge=NO_VERSION)]
Position = Annotated[int, Meta(ge=0)]
# Bounded, so that a snapshot of any published entry fits into one record.
Label = Annotated[str, Meta(max_length=200)]
Text = Annotated[str, Meta(max_length=1000)]
KeyId = Annotated[str, Meta(pattern=r"^[0-9a-f]{16}(?![\s\S])")]
Path = Annotated[str, Meta(pattern=ENTRY_PATH_PATTERN)]
Time = Annotated[float, Meta(ge=0.0, le=1e12)]


class PolicyPublished(NamedTuple):
    """A policy document for a path.

    Attributes:
        change_id: Id of the change; a repeated append carries the same one.
        path: ``/teams/<team>``.
        base_version: Version that the change replaces.
        as_of: Position up to which the author's node had read the stream when it
            found ``base_version`` to be current.
        author: Author of the change.
        reason: Reason that the operator gave.
        time: Time of the change in seconds since the epoch.
        document: The policy.
    """

    change_id: Label
    path: Path
    base_version: Version
    as_of: Position
    author: Label
    reason: Text
    time: Time
    document: PolicyDocument


class KeyIssued(NamedTuple):
    """A new key of a client account; ``digest`` covers the whole text of the key."""

    change_id: Label
    team: Name
    key_id: KeyId
    as_of: Position
    digest: Label
    account: Label
    author: Label
    reason: Text
    time: Time


class KeyWithdrawn(NamedTuple):
    """The permanent withdrawal of a key; it needs no base version."""

    change_id: Label
    key_id: KeyId
    team: Name
    author: Label
    reason: Text
    time: Time


class TeamTokenSet(NamedTuple):
    """A team's token, as a digest; see `PolicyPublished` for the versions."""

    change_id: Label
    team: Name
    base_version: Version
    as_of: Position
    digest: Label
    author: Label
    reason: Text
    time: Time


class ConfigurationEntry(NamedTuple):
    """State of one path of the configuration.

    Attributes:
        path: Path of the policy, the key or the token.
        version: Offset of the record that last changed the entry.
        change_id: Id of the change that made this version.
        author: Author of that change.
        reason: Reason that the author gave.
        time: Time of that change in seconds since the epoch.
        document: The policy, or None for keys and tokens.
        digest: Digest of the key or token, empty for policies.
        account: Client account of a key, without the team.
        withdrawn: Whether the key is withdrawn, which is permanent.
    """

    path: Path
    version: Version
    change_id: Label
    author: Label
    reason: Text
    time: Time
    document: PolicyDocument | None = None
    digest: Label = ""
    account: Label = ""
    withdrawn: bool = False


class ConfigurationSnapshot(NamedTuple):
    """Entries with their original versions, appended before the log drops them.

    Attributes:
        entries: State of the entries at ``as_of``.
        as_of: Position up to which the author's node had read the stream.
        time: Time of the snapshot in seconds since the epoch.
    """

    entries: list[ConfigurationEntry]
    as_of: Position
    time: Time


class NodeForgotten(NamedTuple):
    """Declaration by an operator that a node is gone, up to an incarnation."""

    node_id: Label
    incarnation: int
    author: Label
    reason: Text
    time: Time


class NodeJoined(NamedTuple):
    """Start of a node; a higher incarnation replaces a lower one."""

    node_id: Label
    incarnation: int
    domain: Label
    addresses: list[str]
    time: Time


class NodeLeft(NamedTuple):
    """Graceful stop of a node."""

    node_id: Label
    incarnation: int
    time: Time


class ClaimMade(NamedTuple):
    """Claim of a node to run a request that must not run twice."""

    claim_id: Label
    change_id: Label
    node_id: Label


class ClaimReleased(NamedTuple):
    """Release of a claim whose request certainly did not run."""

    claim_id: Label
    change_id: Label


Record = (
    PolicyPublished
    | KeyIssued
    | KeyWithdrawn
    | TeamTokenSet
    | ConfigurationSnapshot
    | NodeForgotten
    | NodeJoined
    | NodeLeft
    | SlotClaim
    | SlotRelease
    | TakeoverNotice
    | TakeoverObjection
    | SlotsSnapshot
    | ClaimMade
    | ClaimReleased
    | Summary
)

# Tags are part of the format of the log and must not change.
TYPE_BY_TAG: dict[str, type] = {
    "policy": PolicyPublished,
    "key": KeyIssued,
    "withdraw": KeyWithdrawn,
    "token": TeamTokenSet,
    "restate": ConfigurationSnapshot,
    "forget": NodeForgotten,
    "join": NodeJoined,
    "leave": NodeLeft,
    "slot": SlotClaim,
    "slot-release": SlotRelease,
    "slot-notice": TakeoverNotice,
    "slot-objection": TakeoverObjection,
    "slot-restate": SlotsSnapshot,
    "claim": ClaimMade,
    "claim-release": ClaimReleased,
    "summary": Summary,
}
TAG_BY_TYPE = {record_type: tag for tag, record_type in TYPE_BY_TAG.items()}


class Envelope(NamedTuple):
    """Tag and encoded fields of a record."""

    tag: str
    fields: msgspec.Raw


ENCODER = msgspec.msgpack.Encoder()
ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
DECODER_BY_TAG: dict[str, msgspec.msgpack.Decoder[Any]] = {
    tag: msgspec.msgpack.Decoder(record_type)
    for tag, record_type in TYPE_BY_TAG.items()
}


def sign(body: bytes, secret: bytes) -> bytes:
    """Return the signature of an encoded record."""
    return hmac.digest(secret, MAC_CONTEXT + body, hashlib.sha256)


def encode(record: Record, secret: bytes) -> bytes:
    """Encode and sign a record.

    Raises:
        RecordError: If the record is larger than 64 KiB or readers would reject it.
    """
    tag = TAG_BY_TYPE[type(record)]
    body = ENCODER.encode([tag, record])
    if MAC_BYTES + len(body) > MAX_RECORD_BYTES:
        raise RecordError(
            f"record has {MAC_BYTES + len(body)} bytes, limit is {MAX_RECORD_BYTES}",
            "encode",
            tag,
        )
    decode_body(body)
    return sign(body, secret) + body


def decode(data: bytes, secret: bytes) -> Record:
    """Verify and decode a record.

    Raises:
        RecordError: If the signature is wrong or the content is malformed.
    """
    if not MAC_BYTES < len(data) <= MAX_RECORD_BYTES:
        raise RecordError(
            f"record has {len(data)} bytes, expected more than {MAC_BYTES} and at most"
            f" {MAX_RECORD_BYTES}",
            "decode",
        )
    body = data[MAC_BYTES:]
    if not hmac.compare_digest(data[:MAC_BYTES], sign(body, secret)):
        raise RecordError("signature of the record does not match", "verify")
    return decode_body(body)


def decode_body(body: bytes) -> Record:
    """Decode the signed part of a record.

    Raises:
        RecordError: If it is malformed or has an unknown tag.
    """
    try:
        tag, fields = ENVELOPE_DECODER.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordError(str(error), "decode envelope") from None
    decoder = DECODER_BY_TAG.get(tag)
    if decoder is None:
        raise RecordError("unknown record tag", "decode envelope", tag)
    try:
        return decoder.decode(fields)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RecordError(str(error), "decode fields", tag) from None


def policy_path(team: str) -> str:
    """Return the path of a team's policy."""
    return f"{TEAMS_PREFIX}{team}"


def token_path(team: str) -> str:
    """Return the path of a team's token."""
    return f"{TEAMS_PREFIX}{team}/token"


def key_path(team: str, key_id: str) -> str:
    """Return the path of a key."""
    return f"{TEAMS_PREFIX}{team}/keys/{key_id}"


def team_of(path: str) -> str:
    """Return the team whose subtree contains a path, empty if there is none."""
    if not path.startswith(TEAMS_PREFIX):
        return ""
    return path[len(TEAMS_PREFIX) :].partition("/")[0]

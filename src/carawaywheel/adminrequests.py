"""Request bodies of the administration API."""

from typing import Annotated, NotRequired, TypedDict, TypeVar

import msgspec

from .errors import ProtocolError

DIGEST_PATTERN = r"^[0-9a-f]{64}(?![\s\S])"
KEY_ID_PATTERN = r"^[0-9a-f]{16}(?![\s\S])"

Body = TypeVar("Body")


class PublishPolicyRequest(TypedDict):
    """Body of a request to publish a policy.

    Without ``base_version``, the change replaces the current version.
    """

    team: str
    text: str
    reason: str
    source: NotRequired[str]
    base_version: NotRequired[int]
    change_id: NotRequired[str]
    dry_run: NotRequired[bool]


class RollbackPolicyRequest(TypedDict):
    """Body of a request to roll a policy back to an earlier version."""

    team: str
    version: int
    reason: str
    change_id: NotRequired[str]


class IssueKeyRequest(TypedDict):
    """Body of a request to issue a key; only the digest of the key is sent."""

    team: str
    key_id: Annotated[str, msgspec.Meta(pattern=KEY_ID_PATTERN)]
    digest: Annotated[str, msgspec.Meta(pattern=DIGEST_PATTERN)]
    account: str
    reason: str
    change_id: NotRequired[str]


class WithdrawKeyRequest(TypedDict):
    """Body of a request to withdraw a key."""

    team: str
    key_id: str
    reason: str
    change_id: NotRequired[str]


class SetTokenRequest(TypedDict):
    """Body of a request to set a team's token; only the digest of it is sent."""

    team: str
    digest: Annotated[str, msgspec.Meta(pattern=DIGEST_PATTERN)]
    reason: str
    change_id: NotRequired[str]


class ForgetNodeRequest(TypedDict):
    """Body of a request to declare a node gone."""

    node_id: str
    reason: str


def decode_body(body: bytes, body_type: type[Body], peer: str) -> Body:
    """Decode the JSON body of an operator's request.

    Raises:
        ProtocolError: If the body is malformed; the message names the field.
    """
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, ValueError) as error:
        raise ProtocolError(str(error), "read body", peer) from error

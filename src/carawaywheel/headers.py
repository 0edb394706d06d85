"""Rules for the headers that a node forwards."""

import re

from .http import Headers

CONTEXT_HEADER = b"x-cw-context"
SIGNATURE_HEADER = b"x-cw-signature"
ANSWER_HEADER = b"x-cw-answer"
DIGEST_HEADER = b"x-cw-digest"
INTERNAL_HEADER_PREFIX = b"x-cw-"
REQUEST_ID_HEADER = b"x-request-id"
DEADLINE_HEADER = b"x-deadline-ms"
IDEMPOTENCY_HEADER = b"idempotency-key"
AUTHORIZATION_HEADER = b"authorization"

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Rewritten at each hop, or addressed to the node only.
REQUEST_HEADERS_NOT_FORWARDED = HOP_BY_HOP_HEADERS | {
    AUTHORIZATION_HEADER,
    REQUEST_ID_HEADER,
    DEADLINE_HEADER,
    b"content-length",
    b"host",
}
# The request id is not returned to callers: whoever has it can make calls on behalf of
# the client account.
RESPONSE_HEADERS_NOT_FORWARDED = HOP_BY_HOP_HEADERS | {REQUEST_ID_HEADER}
BODILESS_STATUSES = (204, 304)
API_KEY_PATTERN = re.compile(rb"cw_[0-9A-Za-z]+_[0-9A-Za-z_\-]{20,}")


def forwarded_request_headers(headers: Headers) -> Headers:
    """Return the headers of a request to forward to the target."""
    return [
        (name, value)
        for name, value in headers
        if name not in REQUEST_HEADERS_NOT_FORWARDED
        and not name.startswith(INTERNAL_HEADER_PREFIX)
    ]


def forwarded_response_headers(status: int, headers: Headers) -> Headers:
    """Return the headers of a response to forward to the caller.

    A body without a content length is sent in chunks, so that the caller can tell a
    truncated body from a complete one.
    """
    kept = [
        (name, value)
        for name, value in headers
        if name not in RESPONSE_HEADERS_NOT_FORWARDED
        and not name.startswith(INTERNAL_HEADER_PREFIX)
    ]
    if status in BODILESS_STATUSES:
        return kept
    if not any(name == b"content-length" for name, _ in kept):
        kept.append((b"transfer-encoding", b"chunked"))
    return kept


def contains_api_key(target: str, headers: Headers, body: bytes) -> bool:
    """Return whether a request has an account's API key where a target would see it.

    Args:
        target: Path and query.
        headers: Headers of the request; the authorization header is not checked,
            because it is not forwarded.
        body: Body of the request.
    """
    if API_KEY_PATTERN.search(target.encode("latin-1")):
        return True
    if any(
        b"cw_" in value
        and name != AUTHORIZATION_HEADER
        and API_KEY_PATTERN.search(value)
        for name, value in headers
    ):
        return True
    return b"cw_" in body and API_KEY_PATTERN.search(body) is not None


def bearer_key(value: str) -> str:
    """Return the key of a bearer authorization, or an empty string without one."""
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""

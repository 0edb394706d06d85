"""Headers of requests and answers between callers, targets and nodes."""

import math

from ..headers import HOP_BY_HOP_HEADERS, INTERNAL_HEADER_PREFIX
from ..http import Headers, Request
from ..mesh.messages import (
    CallerMetadata,
    TargetRequestMetadata,
    TargetResponseMetadata,
)

ATTEMPT = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
EXPECTED = b"x-expected-instance"
NOT_RUN = b"x-not-executed"
ACCOUNT = b"x-tenant"
ORIGIN = b"x-caller-service"
DIGEST = b"x-response-signature"
LOAD = b"x-server-load"
INSTANCE = b"x-instance-id"
HOST = b"host"
AUTHORIZATION = b"authorization"
KEY_SCHEME = "token"
WRONG_TARGET_STATUS = 421
MILLISECONDS = 1000.0

# Headers that only a node may set, or that must not reach a target.
STRIPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    EXPECTED,
    ACCOUNT,
    ORIGIN,
    DEADLINE,
    AUTHORIZATION,
    b"content-length",
}


def decode_caller_headers(request: Request) -> CallerMetadata:
    """Read what a caller says in the headers of its request."""
    attempt_id = host = key = ""
    remaining = math.inf
    passed: Headers = []
    for name, value in request.headers:
        if name == ATTEMPT:
            attempt_id = value.decode("latin-1")
        elif name == HOST:
            host = value.decode("latin-1").partition(":")[0].lower()
        elif name == DEADLINE:
            remaining = decode_deadline(value)
        elif name == AUTHORIZATION:
            key = decode_account_key(value)
        if name not in STRIPPED_HEADERS and not name.startswith(INTERNAL_HEADER_PREFIX):
            passed.append((name, value))
    return CallerMetadata(attempt_id, host, key, remaining, passed)


def decode_deadline(value: bytes) -> float:
    """Return a time in seconds; infinite if it is not a number."""
    try:
        return max(0.0, float(value) / MILLISECONDS)
    except ValueError:
        return math.inf


def decode_account_key(value: bytes) -> str:
    """Return the key of an authorization header, empty if it holds none."""
    scheme, _, key = value.decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else ""


def encode_target_headers(request: TargetRequestMetadata) -> Headers:
    """Return the headers that a target receives."""
    headers = list(request.forwarded_headers)
    headers.append((DEADLINE, str(int(request.remaining * MILLISECONDS)).encode()))
    headers.append((EXPECTED, request.target_id.encode()))
    headers.append((ORIGIN, request.origin.encode()))
    if request.account:
        headers.append((ACCOUNT, request.account.encode()))
    if request.body_length is not None:
        headers.append((b"content-length", str(request.body_length).encode()))
    return headers


def decode_target_headers(status: int, headers: Headers) -> TargetResponseMetadata:
    """Read what a target says in the headers of its answer."""
    attempt_id = ""
    has_digest = False
    refused = status == WRONG_TARGET_STATUS
    for name, value in headers:
        if name == ATTEMPT:
            attempt_id = value.decode("latin-1")
        elif name == DIGEST:
            has_digest = True
        elif name == NOT_RUN:
            refused = True
    wrong_target = status == WRONG_TARGET_STATUS
    return TargetResponseMetadata(attempt_id, has_digest, refused, wrong_target)

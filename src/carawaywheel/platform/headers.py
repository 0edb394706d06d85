"""Headers of the platform on requests and responses of callers and targets."""

import math

from ..headers import HOP_BY_HOP_HEADERS, INTERNAL_HEADER_PREFIX
from ..http import Headers, Request
from ..mesh.messages import (
    CallerMetadata,
    HealthMetadata,
    ReportedLoad,
    TargetRequestMetadata,
    TargetResponseMetadata,
)
from ..mesh.targetrate import parse_rate

ATTEMPT_ID_HEADER = b"x-attempt-id"
DEADLINE_HEADER = b"x-deadline-ms"
EXPECTED_TARGET_HEADER = b"x-expected-instance"
NOT_RUN_HEADER = b"x-not-executed"
ACCOUNT_HEADER = b"x-tenant"
ORIGIN_SERVICE_HEADER = b"x-caller-service"
DIGEST_HEADER = b"x-response-signature"
LOAD_HEADER = b"x-server-load"
TARGET_ID_HEADER = b"x-instance-id"
RATE_LIMIT_HEADER = b"server-limit"
LEAVING_HEADER = b"server-leaving"
LEAVING_VALUE = b"1"
WARMUP_HEADER = b"x-warmup-ms"
HOST_HEADER = b"host"
AUTHORIZATION_HEADER = b"authorization"
KEY_SCHEME = "token"
WRONG_TARGET_STATUS = 421
MILLISECONDS_PER_SECOND = 1000.0
# The fourth figure of a load says how long work takes, in percent of the usual time.
PERCENT = 100.0

# Headers that only a node may set or that a target must not see.
STRIPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    EXPECTED_TARGET_HEADER,
    ACCOUNT_HEADER,
    ORIGIN_SERVICE_HEADER,
    DEADLINE_HEADER,
    AUTHORIZATION_HEADER,
    b"content-length",
}


def decode_caller_headers(request: Request) -> CallerMetadata:
    """Decode the headers of a caller's request."""
    attempt_id = host = key = ""
    remaining = math.inf
    forwarded: Headers = []
    for name, value in request.headers:
        if name == ATTEMPT_ID_HEADER:
            attempt_id = value.decode("latin-1")
        elif name == HOST_HEADER:
            host = value.decode("latin-1").partition(":")[0].lower()
        elif name == DEADLINE_HEADER:
            remaining = decode_deadline(value)
        elif name == AUTHORIZATION_HEADER:
            key = decode_account_key(value)
        if name not in STRIPPED_HEADERS and not name.startswith(INTERNAL_HEADER_PREFIX):
            forwarded.append((name, value))
    return CallerMetadata(attempt_id, host, key, remaining, forwarded)


def decode_deadline(value: bytes) -> float:
    """Return the remaining time in seconds; infinite if the value is not a number."""
    try:
        return max(0.0, float(value) / MILLISECONDS_PER_SECOND)
    except ValueError:
        return math.inf


def decode_account_key(value: bytes) -> str:
    """Return the key of an authorization header; empty if it holds none."""
    scheme, _, key = value.decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else ""


def encode_target_headers(request: TargetRequestMetadata) -> Headers:
    """Encode the headers of a request to a target."""
    headers = list(request.forwarded_headers)
    headers.append(
        (
            DEADLINE_HEADER,
            str(int(request.remaining * MILLISECONDS_PER_SECOND)).encode(),
        )
    )
    headers.append((EXPECTED_TARGET_HEADER, request.target_id.encode()))
    headers.append((ORIGIN_SERVICE_HEADER, request.origin.encode()))
    if request.account:
        headers.append((ACCOUNT_HEADER, request.account.encode()))
    if request.body_length is not None:
        headers.append((b"content-length", str(request.body_length).encode()))
    return headers


def decode_target_headers(status: int, headers: Headers) -> TargetResponseMetadata:
    """Decode the headers of a target's response."""
    attempt_id = rate_limit = ""
    has_digest = leaving = False
    load_text: bytes | None = None
    rejected = status == WRONG_TARGET_STATUS
    for name, value in headers:
        if name == ATTEMPT_ID_HEADER:
            attempt_id = value.decode("latin-1")
        elif name == DIGEST_HEADER:
            has_digest = True
        elif name == NOT_RUN_HEADER:
            rejected = True
        elif name == RATE_LIMIT_HEADER:
            rate_limit = value.decode("latin-1")
        elif name == LEAVING_HEADER:
            leaving = value == LEAVING_VALUE
        elif name == LOAD_HEADER:
            load_text = value
    wrong_target = status == WRONG_TARGET_STATUS
    load = decode_load(load_text) if load_text is not None else None
    return TargetResponseMetadata(
        attempt_id,
        has_digest,
        rejected,
        wrong_target,
        rate_limit,
        leaving,
        load,
        load is not None or load_text is None,
    )


def decode_load(value: bytes) -> ReportedLoad | None:
    """Return the load that a response reports; None if it is malformed.

    The value is ``running,waiting,slots``, and from some targets a fourth figure.
    """
    try:
        running, waiting, slots, *rest = map(float, value.split(b","))
    except ValueError:
        return None
    # The sum is not finite if any of the figures is not.
    valid = running >= 0.0 and waiting >= 0.0 and slots >= 0.0
    if not valid or not running + waiting + slots < math.inf:
        return None
    if not rest:
        return ReportedLoad(running, waiting, slots)
    if len(rest) == 1 and 0.0 < rest[0] < math.inf:
        return ReportedLoad(running, waiting, slots, rest[0] / PERCENT)
    return None


def decode_rate_limit(headers: Headers) -> float | None:
    """Return the rate limit that a response states; None if it states none."""
    for name, value in headers:
        if name == RATE_LIMIT_HEADER:
            return parse_rate(value.decode("latin-1"))
    return None


def encode_health_headers(address: str) -> Headers:
    """Encode the headers of a health check of the target at an address."""
    return [(HOST_HEADER, address.encode())]


def decode_health_headers(headers: Headers) -> HealthMetadata:
    """Decode the headers of a target's response to a health check.

    A target tells how long it stays cold only while it is cold.
    """
    target_id = ""
    remaining: float | None = 0.0
    for name, value in headers:
        if name == TARGET_ID_HEADER:
            target_id = value.decode("latin-1")
        elif name == WARMUP_HEADER:
            remaining = decode_warmup(value)
    return HealthMetadata(target_id, remaining)


def decode_warmup(value: bytes) -> float | None:
    """Return the seconds for which a target stays cold; None if they are not valid."""
    try:
        seconds = float(value) / MILLISECONDS_PER_SECOND
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds >= 0 else None

"""Refusals, which are returned as values with a reason instead of raised."""

import enum
from typing import NamedTuple


class Importance(enum.IntEnum):
    """Importance class of a request; higher values are shed first."""

    CRITICAL = 0
    NORMAL = 1
    SHEDDABLE = 2


class Ran(enum.Enum):
    """Whether a refused request may have run at its target."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Reason for which a request was refused."""

    NO_ROUTE = "no_route"
    BAD_REQUEST = "bad_request"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    FORBIDDEN = "forbidden"
    RATE_EXCEEDED = "rate_exceeded"
    OVERLOAD = "overload"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    NO_TARGET = "no_target"
    TARGET_SHED = "target_shed"
    TARGET_FAILED = "target_failed"
    PEER_FAILED = "peer_failed"
    RETRIES_SPENT = "retries_spent"
    DUPLICATE = "duplicate"
    LOG_UNAVAILABLE = "log_unavailable"
    STALE_NODE = "stale_node"
    SHUTTING_DOWN = "shutting_down"


STATUS_BY_REASON = {
    Reason.NO_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.FORBIDDEN: 403,
    Reason.RATE_EXCEEDED: 429,
    Reason.DEADLINE: 504,
    Reason.DUPLICATE: 409,
    Reason.TARGET_FAILED: 502,
    Reason.PEER_FAILED: 502,
}
DEFAULT_STATUS = 503


class Refusal(NamedTuple):
    """A refused request.

    Attributes:
        reason: Why the request was refused.
        ran: Whether the request may have run at its target.
        retry_after: Seconds after which a retry may succeed, or None if it cannot.
        step: The processing step that refused it, such as ``admission``.
        peer: The host, service or target that the refusal is about.
    """

    reason: Reason
    ran: Ran = Ran.NOT_RUN
    retry_after: float | None = None
    step: str = ""
    peer: str = ""

    @property
    def status(self) -> int:
        """HTTP status of the response to the caller."""
        return STATUS_BY_REASON.get(self.reason, DEFAULT_STATUS)


class Outcome(enum.Enum):
    """Outcome of an attempt at a target."""

    OK = "ok"
    SHED = "shed"
    FAILED = "failed"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"

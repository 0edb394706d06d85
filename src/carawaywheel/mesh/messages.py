"""Metadata of requests and responses between callers, nodes and targets."""

from typing import NamedTuple

import msgspec

from ..errors import ProtocolError
from ..http import Headers
from ..refusals import Ran, Reason, Refusal
from .warmupshare import WARM, WarmupReport

CALL_HEADER = b"x-cw-call"
REPLY_HEADER = b"x-cw-reply"
# Of a call over HTTP; see ``CallFrame.may_wait``.
MAY_WAIT_HEADER = b"x-cw-may-wait"
# Of a response over HTTP, while the target is cold.
WARMUP_HEADER = b"x-cw-warmup"


class CallerMetadata(NamedTuple):
    """Metadata of a request, from the headers of its caller.

    Attributes:
        attempt_id: Id of the caller's attempt.
        host: Virtual host.
        key: Key of the client account; empty if there is none.
        remaining: Seconds until the caller's deadline.
        forwarded_headers: Headers to forward to the target.
    """

    attempt_id: str
    host: str
    key: str
    remaining: float
    forwarded_headers: Headers


class TargetRequestMetadata(NamedTuple):
    """Metadata of a request, for the headers that a target receives.

    Attributes:
        forwarded_headers: Headers of the caller to forward.
        remaining: Seconds until the deadline.
        target_id: The only target that may run it.
        origin: Service of the host at which the request entered.
        account: Client account; empty if there is none.
        body_length: Length of the body in bytes; None for a request without one.
    """

    forwarded_headers: Headers
    remaining: float
    target_id: str
    origin: str
    account: str
    body_length: int | None


class ReportedLoad(NamedTuple):
    """Load that a target reports with a response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait in it.
        slots: Requests that it can run concurrently.
        slowdown: Ratio of the time that work takes now to the usual time; None if the
            target does not report it.
    """

    running: float
    waiting: float
    slots: float
    slowdown: float | None = None


class TargetResponseMetadata(NamedTuple):
    """Metadata of a response, from the headers of a target.

    Attributes:
        attempt_id: Id of the attempt that it responds to.
        has_digest: Whether the response carries the target's digest.
        rejected: Whether the target states that it did not run the request.
        wrong_target: Whether another target now has the address.
        rate_limit: Requests per second that the target takes from all nodes together,
            as it states them; empty if it states no limit.
        leaving: Whether the target is about to leave and takes no new requests.
        load: Load that the target reports; None if it reports none.
        is_load_valid: Whether the reported load, if any, can be read.
    """

    attempt_id: str
    has_digest: bool
    rejected: bool
    wrong_target: bool
    rate_limit: str = ""
    leaving: bool = False
    load: ReportedLoad | None = None
    is_load_valid: bool = True


class HealthMetadata(NamedTuple):
    """Metadata of a response to a health check of a target.

    Attributes:
        target_id: Id of the target; empty if the response does not tell.
        warmup_remaining: Seconds for which the target stays cold, 0 when warm; None if
            the value is not valid.
    """

    target_id: str
    warmup_remaining: float | None


class Call(NamedTuple):
    """Metadata of a request that one node sends to another.

    Attributes:
        attempt_id: Id of the caller's attempt.
        service: Service that is to run it.
        route: Name of its route.
        remaining: Seconds until the deadline.
        priority: Priority; 0 is shed last.
        account: Client account; empty if there is none.
        origin: Service of the host at which it entered.
        from_target: Whether it is a call that a target makes for another request.
        is_retry: Whether an earlier attempt may have reached a target.
        caused_by_retry: Whether it is a call of a retried request, counted as a retry.
        idempotent: Whether it may run more than once without harm.
        version: Version of the configuration at the sending node.
    """

    attempt_id: str
    service: str
    route: str
    remaining: float
    priority: int
    account: str
    origin: str
    from_target: bool
    is_retry: bool
    caused_by_retry: bool
    idempotent: bool
    version: int


class ServiceDemand(NamedTuple):
    """Demand that one request of a route causes at a service.

    Attributes:
        service: Name of the service.
        calls: Calls to it for each request.
        level: Admission level: priorities below it are admitted, the last one in part.
        accept_ratio: Share of calls that its targets and their queues accept.
    """

    service: str
    calls: float
    level: float
    accept_ratio: float = 1.0


class CallReply(NamedTuple):
    """Metadata of a node's response to a call of another node.

    Attributes:
        reason: Reason of a refusal; empty for a response of the target.
        ran: Whether a refused request may have run.
        retry_after: Seconds to wait before a retry; None if not known.
        pressure: Requests in flight and waiting, as a share of the limit.
        serving: Whether the target accepts new requests.
        version: Version of the configuration at the responding node.
        demands: Demand of one such request, by service.
    """

    reason: str
    ran: str
    retry_after: float | None
    pressure: float
    serving: bool
    version: int
    demands: list[ServiceDemand]

    def refusal(self, peer: str) -> Refusal | None:
        """Return the refusal of the call, or None if the target responded.

        Raises:
            ProtocolError: If the reason is not one that this version knows.
        """
        if not self.reason:
            return None
        try:
            reason, ran = Reason(self.reason), Ran(self.ran)
        except ValueError as error:
            raise ProtocolError(str(error), "decode reply", peer) from error
        return Refusal(reason, ran, self.retry_after, "peer", peer)


call_decoder = msgspec.json.Decoder(Call)
reply_decoder = msgspec.json.Decoder(CallReply)
warmup_decoder = msgspec.json.Decoder(WarmupReport)
encode_header = msgspec.json.encode


def decode_call(value: str, peer: str) -> Call:
    """Decode the metadata of a call from its header.

    Raises:
        ProtocolError: If it cannot be read.
    """
    try:
        return call_decoder.decode(value)
    except (msgspec.DecodeError, ValueError) as error:
        raise ProtocolError(str(error), "decode call", peer) from error


def decode_reply(value: str, peer: str) -> CallReply:
    """Decode the metadata of a response from its header.

    Raises:
        ProtocolError: If it cannot be read.
    """
    try:
        return reply_decoder.decode(value)
    except (msgspec.DecodeError, ValueError) as error:
        raise ProtocolError(str(error), "decode reply", peer) from error


def decode_warmup(value: str, peer: str) -> WarmupReport:
    """Decode the state of a target from its header; it is warm if there is none.

    Raises:
        ProtocolError: If it cannot be read.
    """
    if not value:
        return WARM
    try:
        return warmup_decoder.decode(value)
    except (msgspec.DecodeError, ValueError) as error:
        raise ProtocolError(str(error), "decode warm-up", peer) from error

"""Messages about one request: from callers, between nodes and to targets."""

from typing import NamedTuple

import msgspec

from ..errors import ProtocolError
from ..http import Headers
from ..refusals import Ran, Reason, Refusal

CALL_HEADER = b"x-cw-call"
REPLY_HEADER = b"x-cw-reply"


class CallerMetadata(NamedTuple):
    """What a caller says of its request.

    Attributes:
        attempt_id: Id of the caller's attempt.
        host: Virtual host.
        key: Key of the client account, or empty.
        remaining: Seconds for which the caller waits.
        passed: Headers that go on to the target.
    """

    attempt_id: str
    host: str
    key: str
    remaining: float
    forwarded_headers: Headers


class TargetRequestMetadata(NamedTuple):
    """What a target is told of a request.

    Attributes:
        passed: Headers of the caller that go on.
        remaining: Seconds that are left.
        target_id: The only target that may run it.
        origin: Service of the host where the request began.
        account: Client account, or empty.
        body_length: Length of the body in bytes; None for a request without one.
    """

    forwarded_headers: Headers
    remaining: float
    target_id: str
    origin: str
    account: str
    body_length: int | None


class TargetResponseMetadata(NamedTuple):
    """What a target says of its answer.

    Attributes:
        attempt_id: Id of the attempt that it answers.
        has_digest: Whether the answer carries the target's digest.
        refused: Whether the target says that it did not run the request.
        wrong_target: Whether another target has the address.
    """

    attempt_id: str
    has_digest: bool
    rejected: bool
    wrong_target: bool


class Call(NamedTuple):
    """A request on its way from one node to another.

    Attributes:
        attempt_id: Id of the caller's attempt.
        service: Service that is to run it.
        route: Name of its route.
        remaining: Seconds that are left.
        priority: Rank; 0 is shed last.
        account: Client account, or empty.
        origin: Service of the host where it began.
        from_target: Whether a target sent it while running another request.
        repeat: Whether an earlier try may have arrived at a target.
        echo: Whether it counts as repeated because a request that caused it was.
        repeatable: Whether it may run more than once.
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
    """A service that a request leads to.

    Attributes:
        service: Name of the service.
        calls: Calls to it for each request.
        level: Ranks that it admits: all below this number, part of the last one.
        accepted: Share of requests that its targets do not reject.
    """

    service: str
    calls: float
    level: float
    accept_ratio: float = 1.0


class CallReply(NamedTuple):
    """What a node says of its answer to another node.

    Attributes:
        reason: Reason of a refusal; empty for the answer of a target.
        ran: Whether a refused request may have run.
        retry_after: Seconds after which a refused request may be repeated.
        pressure: Requests in flight and waiting, as a share of the limit.
        serving: Whether the target takes new work.
        version: Version of the configuration at the answering node.
        demands: Services that such a request leads to.
    """

    reason: str
    ran: str
    retry_after: float | None
    pressure: float
    serving: bool
    version: int
    demands: list[ServiceDemand]

    def refusal(self, peer: str) -> Refusal | None:
        """Return the refusal that the answer carries, if it carries one."""
        if not self.reason:
            return None
        return Refusal(
            Reason(self.reason), Ran(self.ran), self.retry_after, "peer", peer
        )


call_decoder = msgspec.json.Decoder(Call)
reply_decoder = msgspec.json.Decoder(CallReply)
encode_header = msgspec.json.encode


def decode_call(value: str, peer: str) -> Call:
    """Decode the header of a call.

    Raises:
        ProtocolError: If it cannot be read.
    """
    try:
        return call_decoder.decode(value)
    except (msgspec.DecodeError, ValueError) as error:
        raise ProtocolError(str(error), "decode call", peer) from error


def decode_reply(value: str, peer: str) -> CallReply:
    """Decode the header of an answer.

    Raises:
        ProtocolError: If it cannot be read.
    """
    try:
        return reply_decoder.decode(value)
    except (msgspec.DecodeError, ValueError) as error:
        raise ProtocolError(str(error), "decode reply", peer) from error

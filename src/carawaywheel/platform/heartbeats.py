"""Decoding of the heartbeats of the local target."""

from typing import Annotated

import msgspec

from ..errors import ProtocolError
from ..mesh.target import Heartbeat, Phase

TARGET_PATH_PREFIX = "/api/instances/"
READINESS_PATH = "/api/ready"
PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING}


class WireInfo(msgspec.Struct):
    """Description of a target; ``capacity`` is its number of slots."""

    service: str
    zone: str
    capacity: int


class WireStatus(msgspec.Struct):
    """State of a target; ``sequence`` numbers its heartbeats.

    ``warmup_left_s`` is the time for which it stays cold, 0 when warm.
    """

    phase: str
    sequence: int
    warmup_left_s: Annotated[float, msgspec.Meta(ge=0)] | None = None


class WireHeartbeat(msgspec.Struct):
    """Heartbeat; ``born`` is the start of the target in Unix milliseconds."""

    address: str
    info: WireInfo
    status: WireStatus
    born: int = 0


class WireDeregistration(msgspec.Struct):
    """Deregistration; ``born`` is as in a heartbeat."""

    born: int = 0


decoder = msgspec.json.Decoder(WireHeartbeat)
deregistration_decoder = msgspec.json.Decoder(WireDeregistration)


def target_id_from_path(path: str) -> str:
    """Return the target id in a path; empty if it is not the path of a target."""
    target_id = path.removeprefix(TARGET_PATH_PREFIX)
    return "" if target_id == path or "/" in target_id else target_id


def decode_heartbeat(path: str, body: bytes) -> Heartbeat:
    """Decode a heartbeat.

    Raises:
        ProtocolError: If the heartbeat is malformed, its phase is unknown, its capacity
            is below 1, its warm-up time is negative or the path holds no target id;
            ``peer`` holds the path.
    """
    try:
        wire = decoder.decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        raise ProtocolError(str(error), "decode heartbeat", path) from error
    phase = PHASES.get(wire.status.phase)
    target_id = target_id_from_path(path)
    if phase is None or not target_id or wire.info.capacity < 1:
        raise ProtocolError(
            "expected a target id in the path, a known phase and a capacity of at "
            f"least 1, got phase {wire.status.phase!r} and capacity "
            f"{wire.info.capacity}",
            "decode heartbeat",
            path,
        )
    return Heartbeat(
        target_id,
        wire.info.service,
        wire.address,
        wire.info.capacity,
        phase,
        wire.born,
        wire.status.sequence,
        wire.status.warmup_left_s,
    )


def decode_deregistration(path: str, body: bytes) -> int | None:
    """Decode the incarnation that deregisters; None if the target does not tell it.

    Raises:
        ProtocolError: If the body is malformed; ``peer`` holds the path.
    """
    if not body:
        return None
    try:
        wire = deregistration_decoder.decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        raise ProtocolError(str(error), "decode deregistration", path) from error
    return wire.born or None


HEARTBEAT_RESPONSE = b"{}"

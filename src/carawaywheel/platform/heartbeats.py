"""Heartbeats of the target beside this node."""

import msgspec

from ..errors import ProtocolError
from ..mesh.target import Heartbeat, Phase

PATH_PREFIX = "/api/instances/"
READINESS_PATH = "/api/ready"
PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING}


class WireInfo(msgspec.Struct):
    """What a target is; ``capacity`` is its number of slots."""

    service: str
    zone: str
    capacity: int


class WireStatus(msgspec.Struct):
    """State of a target; ``sequence`` counts its heartbeats."""

    phase: str
    sequence: int


class WireHeartbeat(msgspec.Struct):
    """One heartbeat; ``born`` is the start of the target in Unix milliseconds."""

    address: str
    info: WireInfo
    status: WireStatus
    born: int = 0


decoder = msgspec.json.Decoder(WireHeartbeat)


def target_id_from_path(path: str) -> str:
    """Return the id of the target that a path names, empty if it names none."""
    name = path.removeprefix(PATH_PREFIX)
    return "" if name == path or "/" in name else name


def decode_heartbeat(path: str, body: bytes) -> Heartbeat:
    """Decode a heartbeat.

    Raises:
        ProtocolError: If it cannot be read; ``peer`` names the path.
    """
    try:
        wire = decoder.decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        raise ProtocolError(str(error), "decode heartbeat", path) from error
    phase = PHASES.get(wire.status.phase)
    name = target_id_from_path(path)
    if phase is None or not name or wire.info.capacity < 1:
        raise ProtocolError("the heartbeat names no target", "decode heartbeat", path)
    return Heartbeat(
        name,
        wire.info.service,
        wire.address,
        wire.info.capacity,
        phase,
        wire.born,
        wire.status.sequence,
    )


HEARTBEAT_RESPONSE = b"{}"

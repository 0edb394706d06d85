"""Incarnations: which start of a node, and which change of its description.

A node raises its incarnation with each change of its description; the lower bits
count these changes, the upper bits tell one start from another.
"""

from .errors import LogError, RecordError
from .logs import LogService
from .records import NodeJoined, decode

NODES_STREAM = "nodes"
CHANGE_COUNT_BITS = 16
READ_LIMIT = 1000
MILLISECONDS = 1000


def start_incarnation(incarnation: int) -> int:
    """Return the incarnation with which a node started."""
    return incarnation >> CHANGE_COUNT_BITS << CHANGE_COUNT_BITS


def first_incarnation(wall_time: float, former: int) -> int:
    """Return the incarnation of a node that starts.

    Args:
        wall_time: Seconds since the epoch.
        former: Highest incarnation of this node id that is known, or 0.
    """
    by_clock = int(wall_time * MILLISECONDS) << CHANGE_COUNT_BITS
    after_former = (
        start_incarnation(former) >> CHANGE_COUNT_BITS
    ) + 1 << CHANGE_COUNT_BITS
    return max(by_clock, after_former)


def event_incarnation(incarnation: int) -> int:
    """Return the part of an incarnation that events are numbered from.

    Sequence numbers of events have 64 bits, which leaves room for seconds.
    """
    return (incarnation >> CHANGE_COUNT_BITS) // MILLISECONDS


async def read_last_incarnation(log: LogService, node_id: str, secret: bytes) -> int:
    """Return the highest incarnation of a node id in the log, 0 if unknown."""
    highest = 0
    position = 0
    try:
        while True:
            batch = await log.read(NODES_STREAM, position, READ_LIMIT, 0.0)
            for _, data in batch.records:
                highest = max(highest, joined_incarnation(data, node_id, secret))
            if not batch.records:
                return highest
            position = batch.next
    except LogError:
        return highest


def joined_incarnation(data: bytes, node_id: str, secret: bytes) -> int:
    """Return the incarnation of a node's join record, 0 for any other record."""
    try:
        record = decode(data, secret)
    except RecordError:
        return 0
    if isinstance(record, NodeJoined) and record.node_id == node_id:
        return record.incarnation
    return 0

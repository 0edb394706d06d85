"""Incarnation numbers of nodes.

The upper bits of an incarnation identify one start of the node, the lower bits count
the changes of its description since then.
"""

from .errors import LogError, RecordError
from .logservice import LogService
from .records import NodeJoined, decode

NODES_STREAM = "nodes"
CHANGE_COUNT_BITS = 16
READ_LIMIT_RECORDS = 1000
MILLISECONDS_PER_SECOND = 1000


def start_incarnation(incarnation: int) -> int:
    """Return the incarnation that a node had when it started."""
    return incarnation >> CHANGE_COUNT_BITS << CHANGE_COUNT_BITS


def first_incarnation(wall_time: float, last: int) -> int:
    """Return the incarnation of a node that starts.

    Args:
        wall_time: Seconds since the epoch.
        last: Highest known incarnation of this node id, or 0.
    """
    by_clock = int(wall_time * MILLISECONDS_PER_SECOND) << CHANGE_COUNT_BITS
    after_last = (start_incarnation(last) >> CHANGE_COUNT_BITS) + 1 << CHANGE_COUNT_BITS
    return max(by_clock, after_last)


def event_incarnation(incarnation: int) -> int:
    """Return the start of a node in whole seconds, for the numbers of its events.

    Event numbers have 64 bits, which leaves no room for milliseconds.
    """
    return (incarnation >> CHANGE_COUNT_BITS) // MILLISECONDS_PER_SECOND


async def read_last_incarnation(log: LogService, node_id: str, secret: bytes) -> int:
    """Return the highest incarnation of a node id in the log, or 0.

    If the log fails, this is the highest one that was read until then.
    """
    highest = 0
    position = 0
    try:
        while True:
            batch = await log.read(NODES_STREAM, position, READ_LIMIT_RECORDS, 0.0)
            for _, data in batch.records:
                highest = max(highest, joined_incarnation(data, node_id, secret))
            if not batch.records:
                return highest
            position = batch.next_offset
    except LogError:
        return highest


def joined_incarnation(data: bytes, node_id: str, secret: bytes) -> int:
    """Return the incarnation in a join record of a node, or 0 for other records."""
    try:
        record = decode(data, secret)
    except RecordError:
        return 0
    if isinstance(record, NodeJoined) and record.node_id == node_id:
        return record.incarnation
    return 0

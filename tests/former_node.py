"""Program that runs a node which neither answers nor sends messages of readers.

So did nodes before the readers: each follows the store itself, and its peers know
nothing of it but its host record and its calls.
"""

import os
import sys

from carawaywheel.mesh.main import run_mesh_node
from carawaywheel.mesh.monitor import PeerMonitor
from carawaywheel.mesh.replication.synchronizer import StateSynchronizer
from carawaywheel.platform.settings import SETTINGS_FILE_VARIABLE


async def ignore_datagram(self, data, sender):
    """Drop a message of a reader or a follower."""


async def reject_changes(self, connection, request):
    """Answer a fetch of changes as an unknown path."""
    await connection.read_body(0)
    await connection.respond(400, [], b"")


if __name__ == "__main__":
    StateSynchronizer.receive = ignore_datagram
    StateSynchronizer.rank = lambda self, now: None
    PeerMonitor.send_changes = reject_changes
    sys.exit(run_mesh_node(os.environ[SETTINGS_FILE_VARIABLE]))

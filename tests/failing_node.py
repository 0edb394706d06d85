"""Program that runs a node of which every background component fails once."""

import functools
import os
import sys

import curio

from carawaywheel.connectionmonitor import ConnectionMonitor
from carawaywheel.datagrams import DatagramSocket
from carawaywheel.listener import Listener
from carawaywheel.mesh.execution import TargetRunner
from carawaywheel.mesh.links import LinkServer
from carawaywheel.mesh.main import run_mesh_node
from carawaywheel.mesh.monitor import PeerMonitor
from carawaywheel.mesh.node import MeshNode
from carawaywheel.mesh.ratelimiter import RateLimiter
from carawaywheel.mesh.replication.follower import TableFollower
from carawaywheel.mesh.replication.publisher import RecordPublisher
from carawaywheel.mesh.replication.restorer import RecordRestorer
from carawaywheel.mesh.replication.synchronizer import StateSynchronizer
from carawaywheel.platform.settings import SETTINGS_FILE_VARIABLE
from carawaywheel.stalls import StallDetector

SECONDS_UNTIL_FAILURE = 2.5
COMPONENTS = (
    (StallDetector, "run"),
    (ConnectionMonitor, "run"),
    (DatagramSocket, "run"),
    (RateLimiter, "run"),
    (PeerMonitor, "run"),
    (TableFollower, "run"),
    (StateSynchronizer, "run"),
    (RecordPublisher, "run_writes"),
    (RecordRestorer, "run"),
    (StateSynchronizer, "run_fetches"),
    (TargetRunner, "run_polling"),
    (LinkServer, "run"),
    (Listener, "run"),
    (Listener, "run_idle_reaper"),
    (MeshNode, "run_flushes"),
    (MeshNode, "run_settings_watch"),
)


def fail_once(component_class, name):
    """Make a method of each instance end with an error at its first run."""
    original = getattr(component_class, name)

    @functools.wraps(original)
    async def failing(self, *arguments):
        marker = f"_failed_{name}"
        if hasattr(self, marker):
            await original(self, *arguments)
        setattr(self, marker, True)
        await curio.ignore_after(SECONDS_UNTIL_FAILURE, original, self, *arguments)
        raise RuntimeError(f"injected into {original.__qualname__}")

    setattr(component_class, name, failing)


if __name__ == "__main__":
    for component in COMPONENTS:
        fail_once(*component)
    sys.exit(run_mesh_node(os.environ[SETTINGS_FILE_VARIABLE]))

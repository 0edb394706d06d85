"""Program that runs a node started with flags, of which every part fails once."""

from carawaywheel.charging import ChargingService
from carawaywheel.claimservice import ClaimService
from carawaywheel.connectionmonitor import ConnectionMonitor
from carawaywheel.datagrams import DatagramSocket
from carawaywheel.executor import TargetExecutor
from carawaywheel.follower import StreamFollower
from carawaywheel.gossip import GossipService
from carawaywheel.listener import Listener
from carawaywheel.logwriter import PeriodicLogWriter
from carawaywheel.main import run
from carawaywheel.node import Node
from carawaywheel.recorder import Recorder
from carawaywheel.slotservice import SlotService
from carawaywheel.stalls import StallDetector

from .failing_node import fail_once

PARTS = (
    (StallDetector, "run"),
    (DatagramSocket, "run"),
    (ConnectionMonitor, "run"),
    (GossipService, "run"),
    (GossipService, "run_discovery"),
    (ChargingService, "run"),
    (ClaimService, "run"),
    (SlotService, "run"),
    (TargetExecutor, "run_queue_polls"),
    (Recorder, "run"),
    (Node, "run_housekeeping"),
    (PeriodicLogWriter, "run_snapshots"),
    (PeriodicLogWriter, "run_summaries"),
    (StreamFollower, "run"),
    (Listener, "run"),
)


if __name__ == "__main__":
    for part in PARTS:
        fail_once(*part)
    run()

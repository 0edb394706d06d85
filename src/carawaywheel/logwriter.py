"""Appends a node's configuration snapshots and event summaries to the log."""

import curio

from .changeservice import CONFIGURATION_STREAM
from .errors import LogError, RecordError
from .fleetcollector import SUMMARY_STREAM
from .follower import StreamFollower
from .logservice import LogService
from .membership import Membership
from .recorder import Recorder
from .records import encode
from .replica import ConfigurationReplica
from .settings import NodeSettings
from .sources import rank_readers
from .summarizer import SummaryBacklog

SNAPSHOT_CHECK_SECONDS = 5.0
MAX_PENDING_SUMMARIES = 60


class PeriodicLogWriter:
    """Appends configuration snapshots and summaries to the log at intervals.

    Attributes:
        backlog: Summaries that are not in the log yet.
    """

    def __init__(
        self,
        settings: NodeSettings,
        replica: ConfigurationReplica,
        follower: StreamFollower,
        membership: Membership,
        log: LogService,
        recorder: Recorder,
    ) -> None:
        self.settings = settings
        self.replica = replica
        self.follower = follower
        self.membership = membership
        self.log = log
        self.recorder = recorder
        self.backlog = SummaryBacklog(MAX_PENDING_SUMMARIES)

    async def run_snapshots(self) -> None:
        """Append entries again before the log drops them, until cancelled."""
        while True:
            await curio.sleep(SNAPSHOT_CHECK_SECONDS)
            members = self.membership.members(self.replica.clock.now())
            ranked = rank_readers([member.node_id for member in members])
            if self.settings.node_id in ranked and self.replica.configuration.caught_up:
                await self.append_snapshots(ranked.index(self.settings.node_id))

    async def append_snapshots(self, rank: int) -> None:
        """Append the snapshots that are due at a node of this rank."""
        oldest = self.follower.cache.log_first_offset
        configuration = self.replica.configuration
        configuration.evict_before(oldest)
        now = self.recorder.wall_time()
        snapshots = configuration.due_snapshots(
            now, self.settings.log_retention, oldest, rank
        )
        for snapshot in snapshots:
            try:
                data = encode(snapshot, self.settings.fleet_secret)
                await self.log.append(CONFIGURATION_STREAM, data)
            except LogError:
                return

    async def run_summaries(self) -> None:
        """Append summaries to the log at intervals until cancelled."""
        while True:
            await curio.sleep(self.settings.summary_interval)
            await self.write_summary(False)

    async def write_summary(self, final: bool) -> None:
        """Close the current summary and append all that are not in the log yet.

        Args:
            final: Whether this is the last summary before the node stops.
        """
        dropped = self.recorder.event_buffer.dropped
        now = self.recorder.wall_time()
        self.backlog.add(self.recorder.summarizer.close(now, dropped, final))
        for summary in list(self.backlog.pending):
            try:
                data = encode(summary, self.settings.fleet_secret)
                await self.log.append(SUMMARY_STREAM, data)
            except (LogError, RecordError):
                return
            self.backlog.remove_accepted(summary)

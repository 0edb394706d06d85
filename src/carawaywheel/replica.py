"""Replica of the configuration at a node, with its age."""

from collections.abc import Callable

from loguru import logger

from .changes import Applied, Conflict
from .clock import Clock
from .configuration import Configuration
from .errors import RecordError
from .events import EventKind
from .follower import RecordSink
from .recorder import Recorder
from .records import ConfigurationEntry, KeyWithdrawn, Record, decode, team_of
from .views import ConfigurationView

FREEZE_GAP_SECONDS = 2.0
MAX_SILENCE_SECONDS = 5.0
MAX_BEHIND_SECONDS = 1.5


class ConfigurationReplica(RecordSink):
    """The configuration as this node has read it, with its age.

    A node that was suspended, or that reaches neither the log nor any other node, may
    have missed the withdrawal of a key. It serves no keyed request until it is up to
    date again.

    Attributes:
        configuration: Replay of the configuration stream.
        last_tick_at: Time of the last call of ``tick``, in seconds.
        last_contact_at: Time of the last contact with the log or a peer, in seconds.
        log_read_at: Time at which the log was last asked for the end of the stream,
            in seconds.
        frozen_at: Time at which a suspension of the process was noticed, in seconds,
            or None once the node is up to date again.
        has_peers: Whether other nodes are known.
        on_freeze: Called with the time after the process was suspended.
        max_log_age: Seconds after which the last read of the log is too old; 0 for no
            limit.
        behind_since: Time since which another node is known to have read further,
            in seconds, or None.
        results: Results of changes that an operator waits for, by change id.
    """

    def __init__(
        self,
        configuration: Configuration,
        secret: bytes,
        recorder: Recorder,
        clock: Clock,
        max_log_age: float,
    ) -> None:
        self.configuration = configuration
        self.secret = secret
        self.recorder = recorder
        self.clock = clock
        self.max_log_age = max_log_age
        self.last_tick_at = clock.now()
        self.last_contact_at = float("-inf")
        self.on_freeze: Callable[[float], None] = lambda now: None
        self.log_read_at = float("-inf")
        self.frozen_at: float | None = None
        self.has_peers = False
        self.behind_since: float | None = None
        self.results: dict[str, object] = {}

    def view(self) -> ConfigurationView:
        """Return the view of the current configuration."""
        return self.configuration.view()

    def start_at(self, offset: int) -> None:
        """Continue at the oldest offset that the log still has, if that is later."""
        self.configuration.start_at(offset)

    def apply(self, offset: int, data: bytes) -> None:
        """Apply one record of the stream; a malformed record is skipped."""
        try:
            record = decode(data, self.secret)
        except RecordError as error:
            self.configuration.skip(offset)
            self.recorder.increment("configuration.malformed")
            logger.warning(
                "skipping malformed configuration record at offset {}: {}",
                offset,
                error,
            )
            return
        result = self.configuration.apply(offset, record)
        self.handle_result(record, result)

    def handle_result(self, record: Record, result: object) -> None:
        """Store the result of a change if an operator waits for it, and report it."""
        change_id = getattr(record, "change_id", None)
        if change_id in self.results:
            self.results[change_id] = result
        self.report_result(record, result)

    def report_result(self, record: Record, result: object) -> None:
        """Record an event with the result of a change."""
        if isinstance(result, Applied):
            text = f"{result.path} version {result.version}"
            if isinstance(record, KeyWithdrawn):
                text += ", withdrawn"
            self.recorder.state_event(EventKind.CONFIGURATION_APPLIED, text)
        elif isinstance(result, Conflict):
            text = f"{result.path} stays at version {result.version}"
            self.recorder.state_event(EventKind.CONFIGURATION_CONFLICT, text)

    def mark_end_reached(self, asked_at: float) -> None:
        """Record that the stream was read to its end."""
        self.configuration.mark_end_reached()
        self.log_read_at = max(self.log_read_at, asked_at)
        self.mark_up_to_date(asked_at)

    def apply_pushed_withdrawal(self, record: KeyWithdrawn) -> None:
        """Apply a withdrawal that another node pushed."""
        if self.configuration.apply_pushed_withdrawal(record):
            self.recorder.state_event(
                EventKind.CONFIGURATION_APPLIED, f"withdrawal of key {record.key_id}"
            )

    def record_contact(self, at: float) -> None:
        """Record contact with another node or the log at a time, in seconds."""
        self.last_contact_at = max(self.last_contact_at, at)

    def mark_up_to_date(self, asked_at: float) -> None:
        """Record that this node is as up to date as others were at a time, in seconds.

        Only the response to a request that was sent after a suspension ends it: data
        that waited in a socket meanwhile may be older than a withdrawal.
        """
        self.record_contact(asked_at)
        if self.frozen_at is not None and asked_at >= self.frozen_at:
            self.frozen_at = None

    def withdrawn_entries(self) -> list[ConfigurationEntry]:
        """Return the entries of all withdrawn keys."""
        entries = self.configuration.entries.values()
        return [entry for entry in entries if entry.withdrawn]

    def merge_withdrawn(
        self, entries: list[ConfigurationEntry], asked_at: float
    ) -> None:
        """Apply the withdrawals that another node has.

        Args:
            entries: Entries of withdrawn keys.
            asked_at: Time in seconds at which the request was sent.
        """
        for entry in entries:
            self.apply_pushed_withdrawal(withdrawal_record(entry))
        self.mark_up_to_date(asked_at)

    def update_behind(self, position: int, newest: int, now: float) -> None:
        """Set or clear ``behind_since`` by the highest position that gossip reports.

        Args:
            position: Offset that this node reads next.
            newest: Highest such offset of any node.
            now: Time in seconds.
        """
        if position >= newest:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now

    def tick(self, now: float) -> bool:
        """Record that the event loop runs.

        Args:
            now: Time in seconds.

        Returns:
            Whether the process was suspended since the last call.
        """
        gap = now - self.last_tick_at
        self.last_tick_at = now
        if gap <= FREEZE_GAP_SECONDS:
            return False
        self.frozen_at = now
        self.recorder.state_event(EventKind.NODE_FROZEN, f"for {gap:.1f} s")
        logger.warning("the process was suspended for {:.1f} s", gap)
        self.on_freeze(now)
        return True

    def is_fresh(self, now: float) -> bool:
        """Return whether any withdrawal of a key would have reached this node."""
        self.tick(now)
        if self.frozen_at is not None:
            return False
        behind = self.behind_since
        if behind is not None and now - behind > MAX_BEHIND_SECONDS:
            return False
        if self.max_log_age and now - self.log_read_at > self.max_log_age:
            return False
        return not self.has_peers or now - self.last_contact_at <= MAX_SILENCE_SECONDS


def withdrawal_record(entry: ConfigurationEntry) -> KeyWithdrawn:
    """Return the record that withdraws the key of a configuration entry."""
    return KeyWithdrawn(
        entry.change_id,
        entry.path.rpartition("/")[2],
        team_of(entry.path),
        entry.author,
        entry.reason,
        entry.time,
    )

"""Replay of the configuration stream.

Every node reads the same records in the same order and reaches the same entries. The
log drops old records, so a reader may start in the middle of the stream. An entry of
such a reader is *certain* once it has read a record whose author knew the version of
the entry at a position at or after the reader's first record: each change and each
snapshot carries that position as ``as_of``. Changes that are read earlier are deferred
and decided when the entry becomes certain.
"""

from collections import deque

from .changes import (
    Applied,
    ApplyResult,
    Conflict,
    Deferred,
    Ignored,
    LatestRecord,
    ProposedChange,
    proposed_change,
    split_entries,
)
from .keys import matches_digest
from .policies import PolicyDocument
from .records import (
    NO_VERSION,
    ConfigurationEntry,
    ConfigurationSnapshot,
    KeyWithdrawn,
    Record,
    key_path,
    team_of,
    token_path,
)
from .refusals import Reason, Refusal
from .views import (
    AMBIGUOUS_PATH_PATTERN,
    ConfigurationView,
    KeyEntry,
    Team,
    build_view,
    compile_team,
    qualified_account_name,
)

# Policy versions of each path that are kept for a rollback.
HISTORY_VERSIONS = 10
# An entry is repeated in a snapshot after this share of the log's retention.
SNAPSHOT_RETENTION_SHARE = 1 / 3
# Each further rank waits this share of the retention longer.
SNAPSHOT_RANK_SHARE = 1 / 6
ROOT_AUTHOR = "root"
# A snapshot is due at once, because the position is below the oldest offset of any log.
NO_LATEST_RECORD = LatestRecord(-1, 0.0)


class Configuration:
    """State of the configuration stream at one position.

    Attributes:
        root_token_digest: Digest of the root token, empty if there is none.
        start: Position from which all records were read without a gap.
        position: Offset of the next record to read.
        caught_up: Whether the end of the stream was reached since ``start``.
        entries: Entries by path.
        certain_paths: Paths whose entry is certain although reading did not begin at
            offset 0.
        latest_records: Newest record from which a new reader learns each entry.
        deferred_changes: Changes by path that cannot be decided yet.
        accepted_versions: Versions of accepted changes by path and change id.
        past_entries: Replaced policies by path, oldest first.
        teams: Compiled policies by team.
        keys: Keys by key id.
        cached_view: View of the current state, or None if it must be built.
    """

    def __init__(self, root_token_digest: str) -> None:
        self.root_token_digest = root_token_digest
        self.start = 0
        self.position = 0
        self.caught_up = False
        self.entries: dict[str, ConfigurationEntry] = {}
        self.certain_paths: set[str] = set()
        self.latest_records: dict[str, LatestRecord] = {}
        self.deferred_changes: dict[str, list[ProposedChange]] = {}
        self.accepted_versions: dict[tuple[str, str], int] = {}
        self.past_entries: dict[str, deque[ConfigurationEntry]] = {}
        self.teams: dict[str, Team] = {}
        self.keys: dict[str, KeyEntry] = {}
        self.cached_view: ConfigurationView | None = None

    def start_at(self, offset: int) -> None:
        """Start or continue reading at the oldest record that the log still has.

        If records between ``position`` and ``offset`` were dropped, the entries stay
        in force but are no longer certain.
        """
        if offset <= self.position:
            return
        self.start = offset
        self.position = offset
        self.caught_up = False
        self.certain_paths.clear()
        self.deferred_changes.clear()

    def mark_end_reached(self) -> None:
        """Record that the stream has been read to its end.

        Every entry in force appears in a snapshot within the retention time. An entry
        that no record contradicts is therefore current, and a path that no record
        mentions does not exist.
        """
        self.caught_up = True
        self.certain_paths.update(
            path for path in self.entries if path not in self.deferred_changes
        )

    def is_certain(self, path: str) -> bool:
        """Return whether the entry of a path is certain."""
        return self.start == 0 or path in self.certain_paths

    def version(self, path: str) -> int:
        """Return the version of a path, `NO_VERSION` if it does not exist."""
        entry = self.entries.get(path)
        return NO_VERSION if entry is None else entry.version

    def skip(self, offset: int) -> None:
        """Skip a record that could not be decoded."""
        self.position = max(self.position, offset + 1)

    def apply(self, offset: int, record: Record) -> ApplyResult:
        """Apply the record at an offset; records must come in offset order.

        Returns:
            The effect of the record, the same at every reader that can decide it.
        """
        if offset < self.position:
            return Ignored("the record has been read before")
        self.position = offset + 1
        self.cached_view = None
        if isinstance(record, KeyWithdrawn):
            return self.apply_withdrawal(offset, record)
        if isinstance(record, ConfigurationSnapshot):
            return self.apply_snapshot(record)
        change = proposed_change(offset, record)
        if change is None:
            return Ignored("the record does not change the configuration")
        return self.apply_change(change)

    def apply_change(self, change: ProposedChange) -> ApplyResult:
        """Decide a change: the first change for a base version wins.

        Only the versions decide. Change ids cannot: readers keep different ones,
        and an operator may use one twice.
        """
        path = change.entry.path
        if self.is_certain(path):
            version = self.version(path)
        elif change.as_of < self.start:
            self.deferred_changes.setdefault(path, []).append(change)
            return Deferred(path, change.entry.version)
        else:
            version = self.resolve(path, change.base_version, change.as_of)
        if version != change.base_version:
            return self.rejected_result(path, change.entry.change_id)
        self.accept(change)
        return Applied(path, change.entry.version)

    def resolve(self, path: str, version: int, as_of: int) -> int:
        """Decide the deferred changes of a path from a version that was current.

        Args:
            path: Path of the entry.
            version: Version that was current at ``as_of``.
            as_of: Position at which it was current.

        Returns:
            The version that is current now.
        """
        version = max(version, self.version(path))
        for change in self.deferred_changes.pop(path, ()):
            if change.entry.version >= as_of and change.base_version == version:
                self.accept(change)
                version = change.entry.version
        self.certain_paths.add(path)
        return version

    def accept(self, change: ProposedChange) -> None:
        """Store an accepted change."""
        entry = change.entry
        self.accepted_versions[entry.path, entry.change_id] = entry.version
        self.store(entry)
        if not self.entries[entry.path].withdrawn:
            self.latest_records[entry.path] = LatestRecord(change.as_of, entry.time)

    def rejected_result(self, path: str, change_id: str) -> Applied | Conflict:
        """Return the result of a change that is a duplicate or lost a conflict."""
        known = self.entries.get(path)
        if known is not None and known.change_id == change_id:
            return Applied(path, known.version, duplicate=True)
        version = self.accepted_versions.get((path, change_id))
        if version is not None:
            return Applied(path, version, duplicate=True)
        return self.conflict_result(path)

    def conflict_result(self, path: str) -> Conflict:
        """Return the conflict of a change with the current entry."""
        known = self.entries.get(path)
        if known is None:
            return Conflict(path, NO_VERSION, "", "")
        return Conflict(path, known.version, known.change_id, known.author)

    def apply_withdrawal(self, offset: int, record: KeyWithdrawn) -> ApplyResult:
        """Withdraw a key permanently, whether or not it is known."""
        path = key_path(record.team, record.key_id)
        self.store(self.withdrawn_entry(path, offset, record))
        self.deferred_changes.pop(path, None)
        self.certain_paths.add(path)
        self.latest_records[path] = LatestRecord(offset, record.time)
        return Applied(path, offset)

    def apply_pushed_withdrawal(self, record: KeyWithdrawn) -> bool:
        """Apply a withdrawal that a peer pushed before its offset is known.

        Its append to the log may have failed; the next snapshot then makes it durable.

        Returns:
            True if the key was not withdrawn before.
        """
        path = key_path(record.team, record.key_id)
        known = self.entries.get(path)
        if known is not None and known.withdrawn:
            return False
        self.store(self.withdrawn_entry(path, self.version(path), record))
        self.latest_records[path] = NO_LATEST_RECORD
        return True

    def withdrawn_entry(
        self, path: str, version: int, record: KeyWithdrawn
    ) -> ConfigurationEntry:
        """Return the entry of a withdrawn key, with its digest if it is known."""
        known = self.entries.get(path)
        return ConfigurationEntry(
            path=path,
            version=version,
            change_id=record.change_id,
            author=record.author,
            reason=record.reason,
            time=record.time,
            digest="" if known is None else known.digest,
            account="" if known is None else known.account,
            withdrawn=True,
        )

    def apply_snapshot(self, record: ConfigurationSnapshot) -> ApplyResult:
        """Merge the entries of a snapshot."""
        for entry in record.entries:
            self.merge_entry(entry, LatestRecord(record.as_of, record.time))
        return Ignored("the record is a snapshot")

    def merge_entry(self, entry: ConfigurationEntry, latest: LatestRecord) -> None:
        """Merge one entry of a snapshot; the higher version and withdrawals win.

        An author that had read only up to a position before this reader's first record
        may have missed a change, so its snapshot counts only for entries that this
        reader already has and for withdrawals.
        """
        path = entry.path
        is_current = latest.as_of >= self.start
        known = self.entries.get(path)
        if known is None and not (is_current or entry.withdrawn):
            return
        if known is None or entry.version > known.version:
            self.store(entry)
        elif entry.withdrawn and not known.withdrawn:
            self.store(known._replace(withdrawn=True))
        if is_current and not self.is_certain(path):
            self.resolve(path, entry.version, latest.as_of)
        known = self.entries[path]
        if (entry.version, entry.withdrawn) == (known.version, known.withdrawn):
            self.latest_records[path] = latest

    def store(self, entry: ConfigurationEntry) -> None:
        """Replace an entry, and the compiled policy or key derived from it."""
        known = self.entries.get(entry.path)
        if known is not None and known.withdrawn:
            entry = entry._replace(withdrawn=True)
        if known is not None and known.document is not None:
            past = self.past_entries.setdefault(
                entry.path, deque(maxlen=HISTORY_VERSIONS)
            )
            past.append(known)
        self.entries[entry.path] = entry
        self.cached_view = None
        team = team_of(entry.path)
        if entry.document is not None:
            self.teams[team] = compile_team(entry.document, entry.version)
        elif entry.path != token_path(team):
            self.store_key(team, entry)

    def store_key(self, team: str, entry: ConfigurationEntry) -> None:
        """Replace a key; if two teams have the same id, the first by name keeps it."""
        key_id = entry.path.rpartition("/")[2]
        known = self.keys.get(key_id)
        if known is None or team <= known.team:
            account = qualified_account_name(team, entry.account)
            self.keys[key_id] = KeyEntry(
                key_id, team, account, entry.digest, entry.withdrawn
            )

    def view(self) -> ConfigurationView:
        """Return the view of the current state, built on first use."""
        if self.cached_view is None:
            self.cached_view = build_view(self.position, self.teams.values(), self.keys)
        return self.cached_view

    def check_base_version(
        self, path: str, base_version: int
    ) -> Conflict | Refusal | None:
        """Check whether a change may be appended, as the author's node must do first.

        Returns:
            None if it may be appended, the conflict if the base version is not current,
            or a refusal if this node has not read enough of the stream to know.
        """
        if not self.caught_up or path in self.deferred_changes:
            return Refusal(Reason.STALE_NODE, step="check base version", peer=path)
        if self.version(path) != base_version:
            return self.conflict_result(path)
        return None

    def authorise(self, token: str, path: str) -> str | Refusal:
        """Return the author whom a token identifies, or why it is refused.

        The root token gives access to every path, a team's token to the team's own
        subtree. A path with empty or dot segments is in no subtree.
        """
        if not token:
            return Refusal(Reason.KEY_MISSING, step="authorise", peer=path)
        if matches_digest(token, self.root_token_digest):
            return ROOT_AUTHOR
        team = "" if AMBIGUOUS_PATH_PATTERN.search(path) else team_of(path)
        known = self.entries.get(token_path(team))
        if team and known is not None and matches_digest(token, known.digest):
            return f"team:{team}"
        return Refusal(Reason.FORBIDDEN, step="authorise", peer=path)

    def history(self, path: str) -> list[ConfigurationEntry]:
        """Return the versions of a path that this node knows, newest first."""
        known = self.entries.get(path)
        if known is None:
            return []
        return [known, *reversed(self.past_entries.get(path, ()))]

    def document_at(self, path: str, version: int) -> PolicyDocument | None:
        """Return the document of an earlier version, for a rollback."""
        for entry in self.history(path):
            if entry.version == version:
                return entry.document
        return None

    def evict_before(self, before_offset: int) -> None:
        """Drop the ids of accepted changes before an offset.

        A repeated append of such a change is then reported as a conflict instead of a
        duplicate. It has no effect on the entries either way, because its base version
        is no longer current.
        """
        self.accepted_versions = {
            change: offset
            for change, offset in self.accepted_versions.items()
            if offset >= before_offset
        }

    def due_snapshots(
        self, now: float, retention: float, oldest: int = 0, rank: int = 0
    ) -> list[ConfigurationSnapshot]:
        """Return the snapshots that are due, each below 64 KiB when encoded.

        Args:
            now: Time in seconds since the epoch.
            retention: Time in seconds that the log keeps a record.
            oldest: Oldest offset that the log still has. Entries that a new reader
                could not learn from there are due at once.
            rank: Rank of this node, from 0, among the nodes that append snapshots.
                Each further rank waits a sixth of the retention longer, and then
                appends the entries that the nodes before it could not.
        """
        age = retention * (SNAPSHOT_RETENTION_SHARE + rank * SNAPSHOT_RANK_SHARE)
        due = (
            entry
            for path, entry in sorted(self.entries.items())
            if (self.is_certain(path) or entry.withdrawn)
            and self.needs_snapshot(self.latest_records[path], now, age, oldest)
        )
        return [
            ConfigurationSnapshot(entries, self.position, now)
            for entries in split_entries(due)
        ]

    def needs_snapshot(
        self, latest: LatestRecord, now: float, age: float, oldest: int
    ) -> bool:
        """Return whether an entry must be repeated in a snapshot.

        A time far in the future comes from a wrong clock and counts as old.
        """
        return latest.as_of < oldest or abs(now - latest.time) > age

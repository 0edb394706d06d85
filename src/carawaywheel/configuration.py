"""Fold of the configuration stream.

Every node reads the same records in the same order and reaches the same entries. The
stream forgets old records, so a reader may start in the middle. It is certain of an
entry (the entry is *exact*) once it has seen a record whose author knew the entry's
version at a position at or after the reader's first record: each change and each
restatement carries that position as ``as_of``. Changes that come before are deferred
and decided when the entry becomes exact.
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
    AMBIGUOUS_PATH,
    ConfigurationView,
    KeyEntry,
    Team,
    build_view,
    compile_team,
    qualified_account_name,
)

HISTORY_VERSIONS = 10
SNAPSHOT_RETENTION_SHARE = 1 / 3
SNAPSHOT_RANK_SHARE = 1 / 6
ROOT_AUTHOR = "root"
# Due at once: its position is below the oldest offset of any log.
NO_LATEST_RECORD = LatestRecord(-1, 0.0)


class Configuration:
    """State of the configuration stream at one position.

    Attributes:
        root_token_digest: Digest of the root token, empty if there is none.
        start: Position at which reading began without a gap.
        position: Offset of the next record to read.
        caught_up: Whether the end of the stream was reached since ``start``.
        entries: Entries by path.
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
        """Start or go on reading at the oldest record that the stream still has.

        If records between ``position`` and ``offset`` are gone, the entries stay in
        force but are no longer exact.
        """
        if offset <= self.position:
            return
        self.start = offset
        self.position = offset
        self.caught_up = False
        self.certain_paths.clear()
        self.deferred_changes.clear()

    def mark_end_reached(self) -> None:
        """Note that the stream has been read to its end.

        Whatever is in force was restated within the retention. An entry that no
        record contradicts is therefore current, and a path that no record mentions
        does not exist.
        """
        self.caught_up = True
        self.certain_paths.update(
            path for path in self.entries if path not in self.deferred_changes
        )

    def is_certain(self, path: str) -> bool:
        """Tell whether the entry of a path is known for certain."""
        return self.start == 0 or path in self.certain_paths

    def version(self, path: str) -> int:
        """Return the version of a path, `NO_VERSION` if it does not exist."""
        entry = self.entries.get(path)
        return NO_VERSION if entry is None else entry.version

    def skip(self, offset: int) -> None:
        """Pass over a record that could not be decoded."""
        self.position = max(self.position, offset + 1)

    def apply(self, offset: int, record: Record) -> ApplyResult:
        """Apply the record at an offset; records must come in the order of offsets.

        Returns:
            What became of the record; the same at every reader that can decide it.
        """
        if offset < self.position:
            return Ignored("the record has been read before")
        self.position = offset + 1
        self.cached_view = None
        if isinstance(record, KeyWithdrawn):
            return self.apply_withdrawal(offset, record)
        if isinstance(record, ConfigurationSnapshot):
            return self.apply_snapshot(record)
        candidate = proposed_change(offset, record)
        if candidate is None:
            return Ignored("the record does not change the configuration")
        return self.apply_change(candidate)

    def apply_change(self, change: ProposedChange) -> ApplyResult:
        """Decide a change: the first one for a base version wins.

        The versions alone decide. Readers remember different change ids, and an
        operator may use one twice.
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
        """Take a version that was current at ``as_of`` and decide deferred changes.

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
        """Put a change in force."""
        entry = change.entry
        self.accepted_versions[entry.path, entry.change_id] = entry.version
        self.store(entry)
        if not self.entries[entry.path].withdrawn:
            self.latest_records[entry.path] = LatestRecord(change.as_of, entry.time)

    def rejected_result(self, path: str, change_id: str) -> Applied | Conflict:
        """Return the result of a change without effect, which may be a duplicate."""
        held = self.entries.get(path)
        if held is not None and held.change_id == change_id:
            return Applied(path, held.version, duplicate=True)
        version = self.accepted_versions.get((path, change_id))
        if version is not None:
            return Applied(path, version, duplicate=True)
        return self.conflict_result(path)

    def conflict_result(self, path: str) -> Conflict:
        """Return the result of a change that lost against the entry in force."""
        held = self.entries.get(path)
        if held is None:
            return Conflict(path, NO_VERSION, "", "")
        return Conflict(path, held.version, held.change_id, held.author)

    def apply_withdrawal(self, offset: int, record: KeyWithdrawn) -> ApplyResult:
        """Withdraw a key for good, whether or not it is known."""
        path = key_path(record.team, record.key_id)
        self.store(self.withdrawn_entry(path, offset, record))
        self.deferred_changes.pop(path, None)
        self.certain_paths.add(path)
        self.latest_records[path] = LatestRecord(offset, record.time)
        return Applied(path, offset)

    def apply_pushed_withdrawal(self, record: KeyWithdrawn) -> bool:
        """Apply a withdrawal that a peer pushed before its offset is known.

        Its append may have been lost; the next restatement then makes it durable.

        Returns:
            Whether the key was not withdrawn before.
        """
        path = key_path(record.team, record.key_id)
        held = self.entries.get(path)
        if held is not None and held.withdrawn:
            return False
        self.store(self.withdrawn_entry(path, self.version(path), record))
        self.latest_records[path] = NO_LATEST_RECORD
        return True

    def withdrawn_entry(
        self, path: str, version: int, record: KeyWithdrawn
    ) -> ConfigurationEntry:
        """Return the entry of a withdrawn key, with its digest if that is known."""
        held = self.entries.get(path)
        return ConfigurationEntry(
            path=path,
            version=version,
            change_id=record.change_id,
            author=record.author,
            reason=record.reason,
            time=record.time,
            digest="" if held is None else held.digest,
            account="" if held is None else held.account,
            withdrawn=True,
        )

    def apply_snapshot(self, record: ConfigurationSnapshot) -> ApplyResult:
        """Take over restated entries that are newer than the ones held."""
        for entry in record.entries:
            self.merge_entry(entry, LatestRecord(record.as_of, record.time))
        return Ignored("the record restates entries")

    def merge_entry(self, entry: ConfigurationEntry, carrier: LatestRecord) -> None:
        """Take over one restated entry; the higher version and withdrawals win.

        An author that stopped reading before this reader's first record may have
        missed a change, so its word counts only for entries that are held already
        and for withdrawals.
        """
        path = entry.path
        current = carrier.as_of >= self.start
        held = self.entries.get(path)
        if held is None and not (current or entry.withdrawn):
            return
        if held is None or entry.version > held.version:
            self.store(entry)
        elif entry.withdrawn and not held.withdrawn:
            self.store(held._replace(withdrawn=True))
        if current and not self.is_certain(path):
            self.resolve(path, entry.version, carrier.as_of)
        held = self.entries[path]
        if (entry.version, entry.withdrawn) == (held.version, held.withdrawn):
            self.latest_records[path] = carrier

    def store(self, entry: ConfigurationEntry) -> None:
        """Replace an entry and what is derived from it."""
        held = self.entries.get(entry.path)
        if held is not None and held.withdrawn:
            entry = entry._replace(withdrawn=True)
        if held is not None and held.document is not None:
            past = self.past_entries.setdefault(
                entry.path, deque(maxlen=HISTORY_VERSIONS)
            )
            past.append(held)
        self.entries[entry.path] = entry
        self.cached_view = None
        team = team_of(entry.path)
        if entry.document is not None:
            self.teams[team] = compile_team(entry.document, entry.version)
        elif entry.path != token_path(team):
            self.store_key(team, entry)

    def store_key(self, team: str, entry: ConfigurationEntry) -> None:
        """Replace a key; the first team by name keeps an id that two teams have."""
        key_id = entry.path.rpartition("/")[2]
        held = self.keys.get(key_id)
        if held is None or team <= held.team:
            account = qualified_account_name(team, entry.account)
            self.keys[key_id] = KeyEntry(
                key_id, team, account, entry.digest, entry.withdrawn
            )

    def view(self) -> ConfigurationView:
        """Return the snapshot of the present state, built when it is first asked."""
        if self.cached_view is None:
            self.cached_view = build_view(self.position, self.teams.values(), self.keys)
        return self.cached_view

    def check_base_version(
        self, path: str, base_version: int
    ) -> Conflict | Refusal | None:
        """Tell whether a change may be appended; the author's node must ask this.

        Returns:
            None if it may, the conflict if the base version is not current, or a
            refusal if this node has not read enough to know.
        """
        if not self.caught_up or path in self.deferred_changes:
            return Refusal(Reason.STALE_NODE, step="check base version", peer=path)
        if self.version(path) != base_version:
            return self.conflict_result(path)
        return None

    def authorise(self, token: str, path: str) -> str | Refusal:
        """Return the author that a token stands for, or why it is refused.

        The root token reaches every path, a team's token the team's own subtree. A
        path with empty or dot segments has no subtree.
        """
        if not token:
            return Refusal(Reason.KEY_MISSING, step="authorise", peer=path)
        if matches_digest(token, self.root_token_digest):
            return ROOT_AUTHOR
        team = "" if AMBIGUOUS_PATH.search(path) else team_of(path)
        held = self.entries.get(token_path(team))
        if team and held is not None and matches_digest(token, held.digest):
            return f"team:{team}"
        return Refusal(Reason.FORBIDDEN, step="authorise", peer=path)

    def history(self, path: str) -> list[ConfigurationEntry]:
        """Return the versions of a path that this node knows, newest first."""
        held = self.entries.get(path)
        if held is None:
            return []
        return [held, *reversed(self.past_entries.get(path, ()))]

    def document_at(self, path: str, version: int) -> PolicyDocument | None:
        """Return an old document, to be published as a new change for a rollback."""
        for entry in self.history(path):
            if entry.version == version:
                return entry.document
        return None

    def evict_before(self, before_offset: int) -> None:
        """Drop the ids of accepted changes before an offset.

        A repeated append is then reported as a conflict instead of a duplicate; the
        entries are the same, because its base version is no longer current.
        """
        self.accepted_versions = {
            change: offset
            for change, offset in self.accepted_versions.items()
            if offset >= before_offset
        }

    def due_snapshots(
        self, now: float, retention: float, oldest: int = 0, rank: int = 0
    ) -> list[ConfigurationSnapshot]:
        """Return the restatements that are due, each below 64 KiB when encoded.

        Args:
            now: Time in seconds since the epoch.
            retention: Time in seconds that the log keeps a record.
            oldest: Oldest offset that the log still has. Entries that a new reader
                could not learn from there are due at once.
            rank: Rank of this node among those that restate, from 0. Each further
                one waits a sixth of the retention longer, and then restates what the
                nodes before it could not.
        """
        age = retention * (SNAPSHOT_RETENTION_SHARE + rank * SNAPSHOT_RANK_SHARE)
        due = (
            entry
            for path, entry in sorted(self.entries.items())
            if (self.is_certain(path) or entry.withdrawn)
            and self.needs_snapshot(self.latest_records[path], now, age, oldest)
        )
        return [
            ConfigurationSnapshot(chunk, self.position, now)
            for chunk in split_entries(due)
        ]

    def needs_snapshot(
        self, carrier: LatestRecord, now: float, age: float, oldest: int
    ) -> bool:
        """Tell whether an entry must be restated.

        A time far in the future comes from a wrong clock and counts as old.
        """
        return carrier.as_of < oldest or abs(now - carrier.time) > age

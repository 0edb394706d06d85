"""Proposed changes of the configuration, their results and the parts of snapshots."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from .records import (
    MAX_RECORD_BYTES,
    NO_VERSION,
    ConfigurationEntry,
    KeyIssued,
    PolicyPublished,
    Record,
    TeamTokenSet,
    key_path,
    policy_path,
    token_path,
)

# Leaves room for the signature, the tag and the fields around the entries.
MAX_SNAPSHOT_ENTRY_BYTES = MAX_RECORD_BYTES - 1024


class Applied(NamedTuple):
    """Result of an accepted change; ``duplicate`` marks a repeated append."""

    path: str
    version: int
    duplicate: bool = False


class Conflict(NamedTuple):
    """Result of a rejected change; the fields describe the current version."""

    path: str
    version: int
    change_id: str
    author: str


class Deferred(NamedTuple):
    """Result of a change that this reader cannot decide yet."""

    path: str
    offset: int


class Ignored(NamedTuple):
    """Result of a record that changes nothing."""

    reason: str


ApplyResult = Applied | Conflict | Deferred | Ignored


class LatestRecord(NamedTuple):
    """Newest record from which a new reader learns an entry.

    Attributes:
        as_of: Position at which the record's author knew the entry.
        time: Time of the record in seconds since the epoch.
    """

    as_of: int
    time: float


class ProposedChange(NamedTuple):
    """A change that a record proposes.

    Attributes:
        entry: Entry that takes effect if the change is accepted.
        base_version: Version that the change replaces.
        as_of: Position at which the author's node knew ``base_version`` as current.
    """

    entry: ConfigurationEntry
    base_version: int
    as_of: int


def proposed_change(offset: int, record: Record) -> ProposedChange | None:
    """Return the change that a record proposes, or None if it proposes none.

    A policy whose path is not that of its team proposes none.
    """
    if not isinstance(record, PolicyPublished | KeyIssued | TeamTokenSet):
        return None
    base_version = NO_VERSION
    if not isinstance(record, KeyIssued):
        base_version = record.base_version
    path = changed_path(record)
    if isinstance(record, PolicyPublished) and record.path != path:
        return None
    entry = ConfigurationEntry(
        path=path,
        version=offset,
        change_id=record.change_id,
        author=record.author,
        reason=record.reason,
        time=record.time,
    )
    if isinstance(record, PolicyPublished):
        entry = entry._replace(document=record.document)
    else:
        entry = entry._replace(digest=record.digest)
    if isinstance(record, KeyIssued):
        entry = entry._replace(account=record.account)
    return ProposedChange(entry, base_version, record.as_of)


def changed_path(record: PolicyPublished | KeyIssued | TeamTokenSet) -> str:
    """Return the path whose entry a record changes."""
    if isinstance(record, PolicyPublished):
        return policy_path(record.document["team"])
    if isinstance(record, KeyIssued):
        return key_path(record.team, record.key_id)
    return token_path(record.team)


def split_entries(
    entries: Iterable[ConfigurationEntry],
) -> Iterator[list[ConfigurationEntry]]:
    """Split entries into parts that each fit into one record."""
    part: list[ConfigurationEntry] = []
    size = 0
    for entry in entries:
        entry_size = len(msgspec.msgpack.encode(entry))
        if part and size + entry_size > MAX_SNAPSHOT_ENTRY_BYTES:
            yield part
            part = []
            size = 0
        part.append(entry)
        size += entry_size
    if part:
        yield part

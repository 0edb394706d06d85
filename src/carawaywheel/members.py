"""Members of the fleet, and one node's table of them."""

import enum
import hashlib
import random
import zlib
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from .routing import TargetState

DIGEST_BUCKETS = 32
DIGEST_BYTES = 8
IDENTITY_FIELD_COUNT = 10
# The log offset may grow after the size of a description was computed.
OFFSET_GROWTH_BYTES = 8

encoder = msgspec.msgpack.Encoder()


class MemberState(enum.IntEnum):
    """State of a member; at equal incarnations, the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """Description of a node, by the node itself or by others.

    Attributes:
        node_id: Id of the node.
        incarnation: Version of the description; only the node itself increases it.
        state: State of the node.
        domain: Failure domain of the host.
        peer_address: Address of the peer listener, as ``ip:port``.
        gossip_address: Address of the gossip socket, as ``ip:port``.
        service: Service of the local target, or empty.
        target_address_hint: Address of the local target, for operators only.
        target_state: State that the local target announced.
        slots: Concurrent requests that the local target runs when warm.
        cold_remaining: Seconds until a cold target can take its full share of load.
        log_offset: Offset in the configuration stream up to which the node has read.
    """

    node_id: str
    incarnation: int
    state: MemberState
    domain: str
    peer_address: str
    gossip_address: str
    service: str
    target_address_hint: str
    target_state: TargetState
    slots: int
    cold_remaining: float
    log_offset: int


class MemberChangeKind(enum.Enum):
    """Kind of a membership change."""

    JOINED = "joined"
    LEFT = "left"
    CHANGED = "changed"


class MemberChange(NamedTuple):
    """One membership change, with the new description of the member."""

    kind: MemberChangeKind
    member: Member


class MemberEntry:
    """Entry of one member in the table.

    Attributes:
        member: The current description.
        stored_at: Time in seconds at which it was stored.
        max_bytes: Upper bound of the size of its encoding.
        digest: Hash of the node id and the incarnation; 0 if dead or left.
        bucket: Index of its digest bucket.
    """

    __slots__ = ("member", "stored_at", "max_bytes", "digest", "bucket")

    def __init__(self, member: Member, now: float) -> None:
        self.member = member
        self.stored_at = now
        self.max_bytes = len(encoder.encode(member)) + OFFSET_GROWTH_BYTES
        self.digest = member_digest(member) if is_live(member) else 0
        self.bucket = zlib.crc32(member.node_id.encode()) % DIGEST_BUCKETS

    def current(self, now: float) -> Member:
        """Return the description with ``cold_remaining`` as of ``now``, in seconds."""
        if not self.member.cold_remaining:
            return self.member
        remaining = self.member.cold_remaining - (now - self.stored_at)
        return self.member._replace(cold_remaining=max(0.0, remaining))


def is_live(member: Member) -> bool:
    """Return whether a member is alive or merely suspected."""
    return member.state <= MemberState.SUSPECT


def supersedes(new: Member, old: Member) -> bool:
    """Return whether ``new`` takes precedence over ``old``."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return new.state > old.state


def is_urgent(member: Member, known: Member | None) -> bool:
    """Return whether an update must reach all members within seconds.

    This applies when a target stops taking new requests, and to the refutation of a
    suspicion, which must arrive before the suspected member is declared dead.
    """
    if member.state is MemberState.LEFT:
        return True
    if known is None or not is_live(member):
        return False
    if member.target_state >= TargetState.DRAINING > known.target_state:
        return True
    return member.state is MemberState.ALIVE and known.state is not MemberState.ALIVE


def same_identity(one: Member, other: Member) -> bool:
    """Return whether two descriptions differ at most in their volatile fields."""
    return one[:IDENTITY_FIELD_COUNT] == other[:IDENTITY_FIELD_COUNT]


def member_digest(member: Member) -> int:
    """Return a hash of node id and incarnation that is equal on all nodes."""
    text = f"{member.node_id}:{member.incarnation}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest())


class MemberTable:
    """Table of all known members, with digests of the live ones.

    Attributes:
        own_id: Id of this node.
        entries: Entries by node id, including this node.
        live: Ids of the live members other than this node.
        departed_ids: Ids of the dead and left members, as an ordered set.
        buckets: Digest of the live members of each bucket.
        view_digest: Digest of all live members.
        live_index: Index of each id in ``live``.
        pending_changes: Changes since the last ``drain_changes``.
    """

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self.entries: dict[str, MemberEntry] = {}
        self.live: list[str] = []
        self.departed_ids: dict[str, None] = {}
        self.buckets = [0] * DIGEST_BUCKETS
        self.view_digest = 0
        self.live_index: dict[str, int] = {}
        self.pending_changes: list[MemberChange] = []

    def get(self, node_id: str) -> Member | None:
        """Return the description of a member as stored, or None."""
        entry = self.entries.get(node_id)
        return entry.member if entry else None

    def current(self, node_id: str, now: float) -> Member:
        """Return the description of a known member as of ``now``, in seconds."""
        return self.entries[node_id].current(now)

    def all(self, now: float) -> list[Member]:
        """Return all descriptions, including those of dead and left members."""
        return [entry.current(now) for entry in self.entries.values()]

    def store(self, member: Member, now: float) -> None:
        """Replace the description of a member."""
        old = self.entries.get(member.node_id)
        entry = MemberEntry(member, now)
        self.entries[member.node_id] = entry
        self._update_digests(old, entry)
        if member.node_id != self.own_id:
            self._record_change(old.member if old else None, member)

    def record_log_offset(self, node_id: str, log_offset: int) -> None:
        """Store the log offset that a member reported; unknown ones are ignored."""
        entry = self.entries.get(node_id)
        if entry is not None and log_offset > entry.member.log_offset:
            entry.member = entry.member._replace(log_offset=log_offset)

    def evict_departed(self, before: float) -> None:
        """Evict dead and left members that were stored before a time in seconds."""
        for member in self.departed():
            if self.entries[member.node_id].stored_at < before:
                del self.entries[member.node_id]
                del self.departed_ids[member.node_id]

    def departed(self) -> list[Member]:
        """Return the members that are dead or have left."""
        return [self.entries[node_id].member for node_id in self.departed_ids]

    def in_buckets(self, wanted: set[int]) -> Iterator[MemberEntry]:
        """Yield the entries of the given digest buckets."""
        for entry in self.entries.values():
            if entry.bucket in wanted:
                yield entry

    def sample(self, rng: random.Random, count: int) -> list[Member]:
        """Return up to ``count`` distinct live members at random."""
        if not self.live:
            return []
        if count == 1:
            ids = [self.live[int(rng.random() * len(self.live))]]
        else:
            ids = rng.sample(self.live, min(count, len(self.live)))
        return [self.entries[node_id].member for node_id in ids]

    def drain_changes(self) -> list[MemberChange]:
        """Return and clear the changes since the last call."""
        changes, self.pending_changes = self.pending_changes, []
        return changes

    def _update_digests(self, old: MemberEntry | None, new: MemberEntry) -> None:
        difference = new.digest ^ (old.digest if old else 0)
        self.buckets[new.bucket] ^= difference
        self.view_digest ^= difference

    def _record_change(self, old: Member | None, new: Member) -> None:
        was_live = old is not None and is_live(old)
        if is_live(new):
            self.departed_ids.pop(new.node_id, None)
        else:
            self.departed_ids[new.node_id] = None
        if is_live(new) and not was_live:
            self._insert(new.node_id)
            self.pending_changes.append(MemberChange(MemberChangeKind.JOINED, new))
        elif was_live and not is_live(new):
            self._remove(new.node_id)
            self.pending_changes.append(MemberChange(MemberChangeKind.LEFT, new))
        # Changes of the incarnation or of ALIVE to SUSPECT and back are not reported.
        elif was_live and old is not None and old[3:] != new[3:]:
            self.pending_changes.append(MemberChange(MemberChangeKind.CHANGED, new))

    def _insert(self, node_id: str) -> None:
        self.live_index[node_id] = len(self.live)
        self.live.append(node_id)

    def _remove(self, node_id: str) -> None:
        """Replace the removed id by the last one, in constant time."""
        position = self.live_index.pop(node_id)
        last = self.live.pop()
        if last != node_id:
            self.live[position] = last
            self.live_index[last] = position

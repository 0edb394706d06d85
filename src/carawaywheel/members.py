"""Members of the fleet and the table of what one node knows about them."""

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
# The log position may take more bytes than when the member was stored.
OFFSET_GROWTH_BYTES = 8

encoder = msgspec.msgpack.Encoder()


class MemberState(enum.IntEnum):
    """State of a member; at one incarnation the higher value prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """A node as it describes itself, or as others judge it.

    Attributes:
        node_id: Id of the node.
        incarnation: Version of this description; only the node itself raises it.
        state: State of the node.
        domain: Failure domain of the host.
        peer_address: Address of the peer listener, as ``ip:port``.
        gossip_address: Address of the gossip socket, as ``ip:port``.
        service: Service of the local target, empty without one.
        target_address_hint: Address of the local target, for operators.
        target_state: State that the local target announced.
        slots: Requests that the local target runs at once when warm.
        cold_remaining: Seconds until a cold target takes its full share.
        log_offset: Position in the configuration stream that the node has read.
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
    """What happened to a member."""

    JOINED = "joined"
    LEFT = "left"
    CHANGED = "changed"


class MemberChange(NamedTuple):
    """A change that the caller has not seen yet."""

    kind: MemberChangeKind
    member: Member


class MemberEntry:
    """What is known about one member.

    Attributes:
        member: The description that prevails.
        stored_at: Time in seconds at which it was stored.
        size: Upper bound of the bytes of its encoding.
        digest: Hash of the node id and the incarnation; 0 if dead or left.
        bucket: Index of its digest bucket.
    """

    __slots__ = ("member", "stored_at", "size", "digest", "bucket")

    def __init__(self, member: Member, now: float) -> None:
        self.member = member
        self.stored_at = now
        self.size = len(encoder.encode(member)) + OFFSET_GROWTH_BYTES
        self.digest = member_digest(member) if is_live(member) else 0
        self.bucket = zlib.crc32(member.node_id.encode()) % DIGEST_BUCKETS

    def current(self, now: float) -> Member:
        """Return the description with the cold time that remains at ``now``."""
        if not self.member.cold_remaining:
            return self.member
        remaining = self.member.cold_remaining - (now - self.stored_at)
        return self.member._replace(cold_remaining=max(0.0, remaining))


def is_live(member: Member) -> bool:
    """Return whether a member takes part: it is alive or merely suspected."""
    return member.state <= MemberState.SUSPECT


def supersedes(new: Member, old: Member) -> bool:
    """Return whether ``new`` prevails over ``old``."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return new.state > old.state


def is_urgent(member: Member, known: Member | None) -> bool:
    """Return whether news must reach all members within seconds.

    That is so when a target takes no new work any more, and when a suspicion is
    refuted, which must arrive before the suspected member counts as dead.
    """
    if member.state is MemberState.LEFT:
        return True
    if known is None or not is_live(member):
        return False
    if member.target_state >= TargetState.DRAINING > known.target_state:
        return True
    return member.state is MemberState.ALIVE and known.state is not MemberState.ALIVE


def same_identity(one: Member, other: Member) -> bool:
    """Return whether two descriptions differ only in their passing fields."""
    return one[:IDENTITY_FIELD_COUNT] == other[:IDENTITY_FIELD_COUNT]


def member_digest(member: Member) -> int:
    """Return a hash of the node id and the incarnation, equal on all nodes."""
    text = f"{member.node_id}:{member.incarnation}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest())


class MemberTable:
    """All known members by node id, with the digest of the live ones.

    Attributes:
        own_id: Id of the node that holds this table.
        entries: What is known about each member, including the node itself.
        live: Ids of the live members other than the node itself.
        gone: Ids of the dead and left members, as an ordered set.
        buckets: Digest of each bucket.
        view: Digest of all live members.
    """

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self.entries: dict[str, MemberEntry] = {}
        self.live: list[str] = []
        self.gone: dict[str, None] = {}
        self.buckets = [0] * DIGEST_BUCKETS
        self.view_digest = 0
        self.live_index: dict[str, int] = {}
        self.pending_changes: list[MemberChange] = []

    def get(self, node_id: str) -> Member | None:
        """Return the description of a member as it was stored, or None."""
        entry = self.entries.get(node_id)
        return entry.member if entry else None

    def current(self, node_id: str, now: float) -> Member:
        """Return the description of a known member at ``now``, in seconds."""
        return self.entries[node_id].current(now)

    def all(self, now: float) -> list[Member]:
        """Return every description, including those of dead and left members."""
        return [entry.current(now) for entry in self.entries.values()]

    def store(self, member: Member, now: float) -> None:
        """Replace the description of a member."""
        old = self.entries.get(member.node_id)
        entry = MemberEntry(member, now)
        self.entries[member.node_id] = entry
        self._replace_digest(old, entry)
        if member.node_id != self.own_id:
            self._note(old.member if old else None, member)

    def record_log_offset(self, node_id: str, log_offset: int) -> None:
        """Store the log position that a known member reported."""
        entry = self.entries.get(node_id)
        if entry is not None and log_offset > entry.member.log_offset:
            entry.member = entry.member._replace(log_offset=log_offset)

    def evict_departed(self, before: float) -> None:
        """Drop the dead and left members that were stored before a time."""
        for member in self.departed():
            if self.entries[member.node_id].stored_at < before:
                del self.entries[member.node_id]
                del self.gone[member.node_id]

    def departed(self) -> list[Member]:
        """Return the members that are dead or have left."""
        return [self.entries[node_id].member for node_id in self.gone]

    def in_buckets(self, wanted: set[int]) -> Iterator[MemberEntry]:
        """Yield the entries of the given digest buckets."""
        for entry in self.entries.values():
            if entry.bucket in wanted:
                yield entry

    def sample(self, rng: random.Random, count: int) -> list[Member]:
        """Return up to ``count`` different live members at random."""
        if not self.live:
            return []
        if count == 1:
            ids = [self.live[int(rng.random() * len(self.live))]]
        else:
            ids = rng.sample(self.live, min(count, len(self.live)))
        return [self.entries[node_id].member for node_id in ids]

    def drain_changes(self) -> list[MemberChange]:
        """Return the changes since the last call."""
        changes, self.pending_changes = self.pending_changes, []
        return changes

    def _replace_digest(self, old: MemberEntry | None, new: MemberEntry) -> None:
        difference = new.digest ^ (old.digest if old else 0)
        self.buckets[new.bucket] ^= difference
        self.view_digest ^= difference

    def _note(self, old: Member | None, new: Member) -> None:
        was_live = old is not None and is_live(old)
        if is_live(new):
            self.gone.pop(new.node_id, None)
        else:
            self.gone[new.node_id] = None
        if is_live(new) and not was_live:
            self._insert(new.node_id)
            self.pending_changes.append(MemberChange(MemberChangeKind.JOINED, new))
        elif was_live and not is_live(new):
            self._remove(new.node_id)
            self.pending_changes.append(MemberChange(MemberChangeKind.LEFT, new))
        elif was_live and old is not None and old[3:] != new[3:]:
            self.pending_changes.append(MemberChange(MemberChangeKind.CHANGED, new))

    def _insert(self, node_id: str) -> None:
        self.live_index[node_id] = len(self.live)
        self.live.append(node_id)

    def _remove(self, node_id: str) -> None:
        """Fill the place of the removed id with the last one, in constant time."""
        position = self.live_index.pop(node_id)
        last = self.live.pop()
        if last != node_id:
            self.live[position] = last
            self.live_index[last] = position

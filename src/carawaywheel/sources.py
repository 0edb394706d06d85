"""Chooses the peers from which a node reads the records of the log."""

import hashlib
import random
from collections.abc import Sequence
from typing import NamedTuple

from .clock import Clock
from .members import Member
from .membership import Membership

READERS_PER_DOMAIN = 2


class PositionHint(NamedTuple):
    """The newest position of the configuration stream that gossip reports.

    Attributes:
        position: Offset of the next record to read.
        address: Peer address of the node at that position, empty if unknown.
    """

    position: int
    address: str


NO_HINT = PositionHint(0, "")


class RecordSources:
    """Chooses peers in this node's failure domain to read records from.

    Two nodes of each failure domain read the log, so that a large fleet does not load
    it with polls. The others learn from gossip that there are new records, and request
    them from a node that has them.
    """

    def __init__(
        self, membership: Membership, domain: str, clock: Clock, rng: random.Random
    ) -> None:
        self.membership = membership
        self.domain = domain
        self.clock = clock
        self.rng = rng

    def domain_members(self) -> list[Member]:
        """Return the live members of this failure domain, including this node."""
        members = self.membership.members(self.clock.now())
        return [member for member in members if member.domain == self.domain]

    def reader_addresses(self) -> list[str] | None:
        """Return the peer addresses of the nodes that read the log for this domain.

        Returns:
            None if this node is one of them.
        """
        members = {member.node_id: member for member in self.domain_members()}
        chosen = rank_readers(list(members))
        if self.membership.own.node_id in chosen:
            return None
        return [members[node_id].peer_address for node_id in chosen]

    def random_peer(self) -> list[str]:
        """Return a list with the address of a random other node of this domain.

        It is a node of another failure domain if there is no other node in this one,
        and the list is empty if there is none at all.
        """
        own = self.membership.own.node_id
        others = [m.peer_address for m in self.domain_members() if m.node_id != own]
        return [self.rng.choice(others)] if others else self.random_peer_anywhere()

    def random_peer_anywhere(self) -> list[str]:
        """Return a list with the address of any random other node, empty if none."""
        own = self.membership.own.node_id
        members = self.membership.members(self.clock.now())
        others = [m.peer_address for m in members if m.node_id != own]
        return [self.rng.choice(others)] if others else []

    def newest_position(self) -> PositionHint:
        """Return the newest position of the configuration stream known by gossip."""
        position, node_id = self.membership.newest_log_offset
        member = self.membership.table.get(node_id)
        return PositionHint(position, member.peer_address if member else "")


def rank_readers(domain_nodes: Sequence[str]) -> list[str]:
    """Return the nodes that read the log, chosen by rendezvous hashing."""

    def score(node: str) -> bytes:
        return hashlib.blake2b(b"reader\0" + node.encode(), digest_size=8).digest()

    return sorted(domain_nodes, key=score, reverse=True)[:READERS_PER_DOMAIN]

"""Choice of the nodes that read the store on behalf of the others.

All nodes rank the hosts in the same order, with neighbours in the order from different
failure domains, so that the first ones are readers without an election: a node reads
the store while others ask it. Every node asks two readers for changes. A reader that is
silent or out of touch with the store is passed over for some seconds; a node that finds
no reader at all reads the store itself.
"""

import functools
import hashlib
import itertools
import random
from collections.abc import Iterable
from typing import NamedTuple

# It bounds the work of a reader, and the calls to the store in a large fleet.
NODES_PER_READER = 40
MIN_READERS = 2
# Readers that are asked in turn before a node reads the store itself.
MAX_CANDIDATES = 4
# Time without a reply after which a reader counts as silent: two lost queries.
REPLY_TIMEOUT_SECONDS = 1.6
# The same for a reader that has not confirmed the configuration in time either.
SUSPECT_SECONDS = 0.3
# Time for which a silent reader, or one that is out of touch, is passed over.
SILENT_SECONDS = 10.0
OUT_OF_TOUCH_SECONDS = 2.0
# Time without a usable reader after which a node reads the store itself. Spread widely,
# because all nodes lose their readers at once when the store is down.
MIN_PATIENCE_SECONDS = 0.5
MAX_PATIENCE_SECONDS = 6.0
URGENT_PATIENCE_SECONDS = 0.3


class ReaderHost(NamedTuple):
    """A host whose node may read the store for others.

    Attributes:
        address: Address of the node.
        domain: Failure domain of the host.
    """

    address: str
    domain: str


@functools.lru_cache(maxsize=4096)
def rank(address: str) -> bytes:
    """Return the sort key by which all nodes rank an address."""
    return hashlib.blake2b(address.encode(), digest_size=8).digest()


def interleave_domains(hosts: Iterable[ReaderHost]) -> list[ReaderHost]:
    """Rank hosts so that neighbours are in different failure domains.

    Args:
        hosts: Hosts in any order.

    Returns:
        The first host of each domain, then the second one of each, and so on.
    """
    by_domain: dict[str, list[ReaderHost]] = {}
    for host in hosts:
        by_domain.setdefault(host.domain, []).append(host)
    for members in by_domain.values():
        members.sort(key=lambda host: rank(host.address))
    domains = sorted(by_domain, key=rank)
    rounds = itertools.zip_longest(*(by_domain[domain] for domain in domains))
    return [host for hosts_of_round in rounds for host in hosts_of_round if host]


def rank_readers(
    hosts: Iterable[ReaderHost], own_address: str, own_domain: str
) -> tuple[list[str], list[str]]:
    """Rank the readers that a node follows.

    Args:
        hosts: All hosts that may read; the own one may be among them.
        own_address: Address of the node.
        own_domain: Its failure domain.

    Returns:
        Two rankings that begin with different readers, if there are two, and go on with
        spare nodes of their own. A reader follows itself first; the others prefer one
        of their own failure domain.
    """
    ranked = interleave_domains(hosts)
    readers = first_readers(ranked)
    if not readers:
        return [], []
    start = preferred_index(readers, own_address, own_domain)
    addresses = [host.address for host in ranked]
    count = len(readers)
    return (
        rank_substitutes(addresses, start, count),
        rank_substitutes(addresses, (start + 1) % count, count),
    )


def rank_substitutes(addresses: list[str], index: int, count: int) -> list[str]:
    """Rank a reader, the next one, and the spare nodes that stand in for the first.

    Args:
        addresses: Addresses of all hosts that may read, the readers first.
        index: Index of the reader.
        count: Number of readers.
    """
    following = addresses[(index + 1) % count]
    candidates = [addresses[index], following, *addresses[index + count :: count]]
    return list(dict.fromkeys(candidates))[:MAX_CANDIDATES]


def first_readers(ranked: list[ReaderHost]) -> list[ReaderHost]:
    """Return those of the ranked hosts that read unless they fail."""
    return ranked[: max(MIN_READERS, -(-len(ranked) // NODES_PER_READER))]


def expected_followers(
    hosts: Iterable[ReaderHost], others: Iterable[ReaderHost], reader: str
) -> list[str]:
    """Return the addresses of the nodes that ask a reader unless it fails.

    Args:
        hosts: Hosts that may read.
        others: Hosts that do not read, such as those whose target has left.
        reader: Address of the reader.
    """
    ranked = interleave_domains(hosts)
    readers = first_readers(ranked)
    addresses = [host.address for host in readers]
    if reader not in addresses:
        return []
    expected = []
    for host in itertools.chain(ranked, others):
        start = preferred_index(readers, host.address, host.domain)
        asked = addresses[start], addresses[(start + 1) % len(addresses)]
        if reader in asked and host.address != reader:
            expected.append(host.address)
    return expected


def preferred_index(
    readers: list[ReaderHost], own_address: str, own_domain: str
) -> int:
    """Return the index of the reader that a node asks first; 0 if there is none."""
    for index, reader in enumerate(readers):
        if reader.address == own_address:
            return index
    in_own_domain = [
        index for index, reader in enumerate(readers) if reader.domain == own_domain
    ]
    choices = in_own_domain or list(range(len(readers)))
    if not choices:
        return 0
    return choices[int.from_bytes(rank(own_address)[:4]) % len(choices)]


class ReaderChoice:
    """The reader that a node asks, and those that it passes over.

    Attributes:
        own_address: Address of this node.
        ranking: Readers, the preferred one first.
        current: Reader that is asked now; empty if none is usable.
        asked_at: Time of the oldest query without a reply in seconds; None if there is
            none.
        avoided_until: Time until which each reader is passed over, in seconds.
        lost_at: Time since which no reader is usable, in seconds; None if one is.
        patience: Seconds to wait for one to return.
    """

    def __init__(self, own_address: str, rng: random.Random) -> None:
        self.own_address = own_address
        self.rng = rng
        self.ranking: list[str] = []
        self.current = ""
        self.asked_at: float | None = None
        self.avoided_until: dict[str, float] = {}
        self.lost_at: float | None = None
        self.patience = 0.0

    def set_ranking(self, ranking: list[str], now: float) -> None:
        """Replace the ranking and choose again."""
        self.ranking = ranking[:MAX_CANDIDATES]
        self.choose(now)

    def choose(self, now: float) -> None:
        """Choose the first reader that is not passed over."""
        usable = (
            address
            for address in self.ranking
            if now >= self.avoided_until.get(address, now)
        )
        chosen = next(usable, "")
        if chosen != self.current:
            self.current = chosen
            self.asked_at = None
        if chosen:
            self.lost_at = None
        elif self.lost_at is None:
            self.lost_at = now
            self.patience = self.rng.uniform(MIN_PATIENCE_SECONDS, MAX_PATIENCE_SECONDS)

    def is_suspect(self, now: float) -> bool:
        """Return whether the current reader owes a reply and may be silent."""
        return self.asked_at is not None and now - self.asked_at >= SUSPECT_SECONDS

    def avoid(self, address: str, seconds: float, now: float) -> None:
        """Pass a reader over for some time."""
        self.avoided_until[address] = now + seconds
        self.choose(now)

    def record_query(self, now: float) -> None:
        """Note that a query is sent to the current reader."""
        if self.asked_at is None:
            self.asked_at = now

    def record_reply(self, sender: str, in_touch: bool, now: float) -> None:
        """Note a reply; pass a reader over that has lost touch with the store."""
        if sender == self.current:
            self.asked_at = None
        if not in_touch and sender in self.ranking:
            self.avoided_until[sender] = now + OUT_OF_TOUCH_SECONDS
            self.choose(now)

    def update(self, now: float) -> str:
        """Pass a silent reader over, and return to preferred ones in time.

        Returns:
            The reader that is passed over from now on; empty if there is none.
        """
        silent = ""
        if self.asked_at is not None and now - self.asked_at > REPLY_TIMEOUT_SECONDS:
            silent = self.current
            self.avoided_until[silent] = now + SILENT_SECONDS
        self.choose(now)
        return silent

    @property
    def is_own_turn(self) -> bool:
        """Whether the node itself is the chosen reader."""
        return self.current == self.own_address

    def is_given_up(self, now: float, urgent: bool) -> bool:
        """Return whether no reader has been usable for longer than the patience.

        Args:
            now: Time in seconds.
            urgent: Whether the node cannot serve before it knows more.
        """
        if not self.ranking:
            return True
        patience = URGENT_PATIENCE_SECONDS if urgent else self.patience
        return self.lost_at is not None and now - self.lost_at >= patience

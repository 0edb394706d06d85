"""Evacuated failure domains, whose targets get no requests.

The operator writes and removes evacuations in the store. Nodes also learn them from
each other, late and in any order, so that the position in the store decides.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from .metrics import Gauge
from .replication.store import Position

# Earlier records of a domain that are remembered to recognize them in a copy of the
# store. An operator changes a domain a few times between two restorations.
MAX_SUPERSEDED = 16


class Evacuation(msgspec.Struct, array_like=True, frozen=True):
    """Newest known request to evacuate a failure domain, or to end that.

    Nodes send it to each other; fields may be appended with a default.

    Attributes:
        domain: The failure domain.
        era: Era of the store in which it was written; 0 if the store does not tell.
        offset: Offset of the record in the operator's table.
        active: Whether the domain is evacuated.
    """

    domain: str
    era: int
    offset: int
    active: bool

    @property
    def order(self) -> tuple[int, int, bool]:
        """Sort key: of two evacuations of a domain the greater one is in force."""
        return self.era, self.offset, self.active


class EvacuationChange(NamedTuple):
    """Change of what is known of a domain.

    Attributes:
        evacuation: The evacuation that is known now.
        switched: Whether it has taken effect or ended.
        note: Why it was kept against what the store says; empty if it was not.
    """

    evacuation: Evacuation
    switched: bool
    note: str = ""


class WholeRead(NamedTuple):
    """Evacuations in a read of the whole table.

    Attributes:
        offset: Offset after the last record of the table.
        offsets: Offset of the record of each domain that the table held.
    """

    offset: int
    offsets: dict[str, int]


class Evacuations:
    """The newest evacuation of each domain.

    Merging is commutative and idempotent.

    Attributes:
        newest: Newest evacuation of each domain, also of those that have ended.
        active: Domains that are evacuated.
        revision: Number of changes of ``newest``.
        superseded: Earlier evacuations of each domain.
        whole_reads: Newest read of the whole table in each era.
    """

    def __init__(self) -> None:
        self.newest: dict[str, Evacuation] = {}
        self.active: frozenset[str] = frozenset()
        self.revision = 0
        self.superseded: dict[str, list[Evacuation]] = {}
        self.whole_reads: dict[int, WholeRead] = {}

    def gauges(self) -> list[Gauge]:
        """Return one gauge for each domain that is or was evacuated."""
        return [
            Gauge(
                "carawaywheel_evacuated",
                "Whether the evacuation of a failure domain is in effect.",
                {"domain": domain},
                float(domain in self.active),
            )
            for domain in self.newest
        ]

    def known(self) -> list[Evacuation]:
        """Return what other nodes are told.

        For an evacuation that has ended this includes its beginning, by which a node
        recognizes the record in a copy of the store that lacks the end.
        """
        known = []
        for domain, newest in self.newest.items():
            known.append(newest)
            earlier = self.superseded.get(domain, [])
            if not newest.active:
                known += [each for each in earlier if each.active][-1:]
        return known

    def history(self) -> list[Evacuation]:
        """Return what a node that starts is told.

        This includes all beginnings that are remembered: a copy of the store may hold
        any of them, and the node may be the first to read it.
        """
        history = list(self.newest.values())
        for earlier in self.superseded.values():
            history += [each for each in earlier if each.active]
        return history

    def merge(self, evacuation: Evacuation) -> EvacuationChange | None:
        """Merge an evacuation that a node told; return what it changed, if anything."""
        replacement = self.without_removed(evacuation)
        if replacement is not evacuation:
            self.remember(evacuation)
        return self.replace(replacement) if replacement else None

    def merge_all(self, evacuations: Iterable[Evacuation]) -> list[EvacuationChange]:
        """Merge evacuations that a node told; return what they changed."""
        return [change for each in evacuations if (change := self.merge(each))]

    def apply_page(
        self, evacuations: list[Evacuation], position: Position, is_whole: bool
    ) -> list[EvacuationChange]:
        """Apply evacuations that were read from the store.

        Args:
            evacuations: The evacuations, in the order of the table.
            position: Position after the records that were read.
            is_whole: Whether these are all evacuations in the table.

        Returns:
            What they changed, and what was kept against them.
        """
        if not is_whole:
            return self.merge_all(evacuations)
        known = self.whole_reads.get(position.era)
        if known is None or position.offset > known.offset:
            offsets = {each.domain: each.offset for each in evacuations}
            self.whole_reads[position.era] = WholeRead(position.offset, offsets)
        changes = [self.merge_copied(each) for each in evacuations]
        missing = self.newest.keys() - {each.domain for each in evacuations}
        changes += [
            self.observe_missing(self.newest[domain], position)
            for domain in sorted(missing)
        ]
        return [change for change in changes if change is not None]

    def merge_copied(self, evacuation: Evacuation) -> EvacuationChange | None:
        """Merge an evacuation from a whole table, which may come from a copy."""
        domain = evacuation.domain
        newest = self.newest.get(domain)
        if newest is None or newest.era >= evacuation.era:
            return self.merge(evacuation)
        if is_copy(evacuation, newest):
            change = self.replace(evacuation)
            return change and change._replace(note="record of a former era")
        if any(is_copy(evacuation, each) for each in self.superseded.get(domain, [])):
            return EvacuationChange(newest, False, "superseded in a former era")
        return self.merge(evacuation)

    def observe_missing(
        self, evacuation: Evacuation, position: Position
    ) -> EvacuationChange | None:
        """Process that a whole table lacks the record of a domain.

        In the same era it was removed. In a later era the store has come back from a
        copy, which may be older than the record.
        """
        if position.era > evacuation.era and evacuation.active:
            return EvacuationChange(evacuation, False, "not in the restored store")
        return self.merge(evacuation)

    def without_removed(self, evacuation: Evacuation) -> Evacuation | None:
        """Replace an evacuation by its removal if a whole read has shown that.

        Returns:
            The evacuation or its removal; None if another record has replaced it.
        """
        read = self.whole_reads.get(evacuation.era)
        # The pages of a whole read are not one snapshot: it lacks the last record only
        # if a removal after its end has come in between, which is read next.
        if read is None or evacuation.offset >= read.offset - 1:
            return evacuation
        offset = read.offsets.get(evacuation.domain)
        if offset is None:
            return Evacuation(
                evacuation.domain, evacuation.era, read.offset - 1, active=False
            )
        return evacuation if evacuation.offset == offset else None

    def replace(self, evacuation: Evacuation) -> EvacuationChange | None:
        """Replace the evacuation of a domain if this one is newer."""
        domain = evacuation.domain
        former = self.newest.get(domain)
        if former is not None:
            if evacuation.order < former.order:
                self.remember(evacuation)
            if evacuation.order <= former.order:
                return None
            self.remember(former)
        self.newest[domain] = evacuation
        self.revision += 1
        was_active = domain in self.active
        if evacuation.active:
            self.active |= {domain}
        else:
            self.active -= {domain}
        return EvacuationChange(evacuation, evacuation.active != was_active)

    def remember(self, evacuation: Evacuation) -> None:
        """Remember an evacuation that a newer one has superseded."""
        earlier = self.superseded.setdefault(evacuation.domain, [])
        if evacuation not in earlier:
            earlier.append(evacuation)
            earlier.sort(key=lambda each: each.order)
            del earlier[:-MAX_SUPERSEDED]


def is_copy(evacuation: Evacuation, former: Evacuation) -> bool:
    """Return whether a record is that of a former era, read from a restored store."""
    return (
        former.era < evacuation.era
        and former.offset == evacuation.offset
        and former.active == evacuation.active
    )

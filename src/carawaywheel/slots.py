"""Table of slots and their lenders, built from the records in the log."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from .lenders import Lender
from .settings import ShareSettings
from .shares import CLOCK_DRIFT_MARGIN, stable_hash
from .slotrecords import (
    ClaimBasis,
    ForgetNode,
    SlotClaim,
    SlotRecord,
    SlotRelease,
    SlotState,
    TakeoverNotice,
    TakeoverObjection,
    is_from_holder,
    is_valid_claim,
)


class SlotMember(NamedTuple):
    """A node that may hold slots.

    Attributes:
        node: Node id.
        incarnation: Incarnation of the node.
        address: Peer address of the node.
        domain: Failure domain of the node.
    """

    node: str
    incarnation: int
    address: str
    domain: str


SlotKey = tuple[str, int]


class SlotTable:
    """State of all slots, and the records about them that this node should append.

    All nodes agree on the holders, since the validity of a record depends only on the
    records before it. Times are not part of the rules: the claimant itself waits
    before a takeover.

    Attributes:
        settings: Settings of fleet-wide rate limits.
        own: This node.
        states: State by failure domain and slot; a free slot has none.
        caught_up_at: Latest time in seconds as of which this node is known to have
            read the whole log, or None.
        frozen_lease_starts: By slot under notice, the value of ``caught_up_at`` when
            the notice was read.
        leaving: Whether this node stops, and so neither lends nor claims.
    """

    def __init__(self, settings: ShareSettings, own: SlotMember) -> None:
        self.settings = settings
        self.own = own
        self.states: dict[SlotKey, SlotState] = {}
        self.caught_up_at: float | None = None
        self.frozen_lease_starts: dict[int, float] = {}
        self.leaving = False

    def apply(self, record: SlotRecord, now: float) -> None:
        """Apply one record; records must be applied in log order.

        Args:
            record: Record of the shares stream.
            now: Time in seconds at which it was read.
        """
        if isinstance(record, SlotClaim):
            self.apply_claim(record, now)
        elif isinstance(record, SlotRelease):
            self.apply_release(record)
        elif isinstance(record, TakeoverNotice):
            self.apply_notice(record, now)
        elif isinstance(record, TakeoverObjection):
            self.apply_objection(record)
        else:
            self.apply_forget_node(record)

    def apply_claim(self, claim: SlotClaim, now: float) -> None:
        """Apply a claim; one of an old term or without evidence is ignored."""
        key = (claim.domain, claim.slot)
        state = self.states.get(key)
        if not is_valid_claim(claim, state):
            return
        self.states[key] = SlotState(claim, False, False, None, 0, now, now)
        if claim.domain == self.own.domain:
            self.frozen_lease_starts.pop(claim.slot, None)

    def apply_release(self, record: SlotRelease) -> None:
        """Apply a release; only that of the current holder counts."""
        key = (record.domain, record.slot)
        state = self.states.get(key)
        if state is not None and is_from_holder(record, state.claim):
            self.states[key] = state._replace(released=True)

    def apply_notice(self, record: TakeoverNotice, now: float) -> None:
        """Apply a notice; only the first one since the last objection counts."""
        key = (record.domain, record.slot)
        state = self.states.get(key)
        if state is None or state.notice or record.term != state.claim.term:
            return
        self.states[key] = state._replace(
            notice=record, notice_count=state.notice_count + 1, notice_read_at=now
        )
        if self.is_own(state.claim) and self.caught_up_at is not None:
            self.frozen_lease_starts[record.slot] = self.caught_up_at

    def apply_objection(self, record: TakeoverObjection) -> None:
        """Apply an objection; only that of the current holder counts."""
        key = (record.domain, record.slot)
        state = self.states.get(key)
        if state is not None and is_from_holder(record, state.claim):
            self.states[key] = state._replace(notice=None)
            if record.domain == self.own.domain:
                self.frozen_lease_starts.pop(record.slot, None)

    def apply_forget_node(self, record: ForgetNode) -> None:
        """Apply an operator's declaration that a node is permanently gone."""
        for key, state in self.states.items():
            claim = state.claim
            if claim.holder == record.node and claim.incarnation <= record.incarnation:
                self.states[key] = state._replace(forgotten=True)

    def restore(self, state: SlotState) -> None:
        """Set the state of a slot from a snapshot."""
        claim = state.claim
        self.states[(claim.domain, claim.slot)] = state
        if state.notice is not None and self.is_own(claim):
            # The notice may be older than the last time this node caught up.
            self.frozen_lease_starts[claim.slot] = float("-inf")

    def renew_leases(self, now: float) -> None:
        """Renew this node's leases: the whole log as of ``now`` has been applied.

        ``now`` must not be later than the moment at which the end of the log was
        looked up: the time at which the read request was sent or, for records relayed
        by a peer, the time of the request to the peer less the age that it reports.
        """
        if self.caught_up_at is None or now > self.caught_up_at:
            self.caught_up_at = now

    def is_own(self, claim: SlotClaim) -> bool:
        """Return whether a claim is from this incarnation of this node."""
        return claim.holder == self.own.node and (
            claim.incarnation == self.own.incarnation
        )

    def held_slots(self) -> dict[int, SlotState]:
        """Return the slots this node holds in the log, even with an expired lease."""
        found = {}
        for (domain, slot), state in self.states.items():
            if domain == self.own.domain and self.is_own(state.claim):
                if not state.released and not state.forgotten:
                    found[slot] = state
        return found

    def lender_claims(self, slot: int) -> list[SlotClaim]:
        """Return the claims of the lenders of a slot, at most one for each domain."""
        claims = []
        for (_, number), state in self.states.items():
            if number == slot and not state.released and not state.forgotten:
                claims.append(state.claim)
        return claims

    def update_lender(self, lender: Lender, now: float) -> None:
        """Update the slots and leases of the lender of this node.

        Must be called after each batch of ``apply`` and after ``renew_leases``.
        """
        held = {} if self.leaving else self.held_slots()
        for slot in list(lender.slots):
            if slot not in held or held[slot].claim.term != lender.slots[slot].term:
                lender.release_slot(slot)
        for slot, state in held.items():
            if slot not in lender.slots:
                ready_at = (
                    state.claim_read_at + self.settings.loan_time * CLOCK_DRIFT_MARGIN
                )
                term = state.claim.term
                lender.acquire_slot(slot, now, ready_at, term, self.lease_until(slot))
            else:
                lender.extend_lease(slot, self.lease_until(slot))

    def lease_until(self, slot: int) -> float:
        """Return the time in seconds at which this node's lease of a slot expires.

        The lease of a slot under notice is not renewed until the objection has been
        read back, since the claimant relies on the log to contain it.
        """
        start = self.frozen_lease_starts.get(slot, self.caught_up_at)
        if start is None:
            return float("-inf")
        return start + self.settings.lease_time

    def due_records(
        self, members: Iterable[SlotMember], now: float
    ) -> list[SlotRecord]:
        """Return the claims, notices and objections that this node should append.

        Args:
            members: The live nodes, with or without this one.
            now: Time in seconds.
        """
        if self.leaving:
            return []
        nodes = {member.node: member for member in members}
        nodes[self.own.node] = self.own
        peers = [name for name, m in nodes.items() if m.domain == self.own.domain]
        records: list[SlotRecord] = []
        for slot in range(self.settings.slots):
            state = self.states.get((self.own.domain, slot))
            record = self.due_record(slot, state, nodes, peers, now)
            if record is not None:
                records.append(record)
        return records

    def due_record(
        self,
        slot: int,
        state: SlotState | None,
        nodes: dict[str, SlotMember],
        peers: list[str],
        now: float,
    ) -> SlotRecord | None:
        """Return the record to append for one slot, or None."""
        if state is None:
            return (
                self.make_claim(slot, 0, ClaimBasis.FREE)
                if self.ranks_first(slot, peers)
                else None
            )
        claim = state.claim
        term = claim.term
        if self.is_own(claim) and not (state.released or state.forgotten):
            if state.notice is None:
                return None
            return TakeoverObjection(slot, claim.domain, term, *claim[3:5])
        if claim.holder == self.own.node and claim.address == self.own.address:
            if claim.incarnation < self.own.incarnation:
                return self.make_claim(slot, term, ClaimBasis.RESTARTED)
        if not self.ranks_first(slot, peers):
            return None
        if state.released:
            return self.make_claim(slot, term, ClaimBasis.RELEASED)
        if state.forgotten:
            return self.make_claim(slot, term, ClaimBasis.FORGOTTEN)
        return self.takeover_record(slot, state, nodes, now)

    def takeover_record(
        self, slot: int, state: SlotState, nodes: dict[str, SlotMember], now: float
    ) -> SlotRecord | None:
        """Return the notice or claim for a slot whose holder may be gone, or None."""
        claim = state.claim
        holder = nodes.get(claim.holder)
        if holder is not None and holder.incarnation == claim.incarnation:
            return None
        notice = state.notice
        if notice is None:
            own = (self.own.node, self.own.incarnation)
            return TakeoverNotice(slot, claim.domain, claim.term, *own)
        # Any node may claim one lease time after it has read the notice.
        if now < state.notice_read_at + self.settings.lease_time * CLOCK_DRIFT_MARGIN:
            return None
        record = self.make_claim(slot, claim.term, ClaimBasis.LAPSED)
        return record._replace(notice_number=state.notice_count)

    def make_claim(self, slot: int, previous_term: int, kind: ClaimBasis) -> SlotClaim:
        """Return a claim by this node."""
        own = self.own
        return SlotClaim(
            slot,
            own.domain,
            previous_term + 1,
            own.node,
            own.incarnation,
            own.address,
            kind,
        )

    def ranks_first(self, slot: int, peers: list[str]) -> bool:
        """Return whether this node ranks first for a slot among ``peers``."""
        first = max(peers, key=lambda node: stable_hash("holder", str(slot), node))
        return first == self.own.node

    def release_all(self, release: Callable[[int], None]) -> list[SlotRelease]:
        """Stop lending and return the release records for a graceful shutdown.

        From now on the node neither lends nor claims.

        Args:
            release: ``Lender.release_slot``; called before the record is created.
        """
        self.leaving = True
        records = []
        for slot, state in self.held_slots().items():
            release(slot)
            records.append(release_of(state.claim))
        return records


def release_of(claim: SlotClaim) -> SlotRelease:
    """Return the record with which the holder of a claim releases its slot."""
    return SlotRelease(*claim[:5])

"""Service that follows the shares stream and appends the claims of this node."""

import curio
from loguru import logger

from .borrowers import Borrower, LenderRef
from .clock import Clock
from .errors import LogError, RecordError
from .events import EventKind
from .follower import RecordSink
from .incarnations import start_incarnation
from .lenders import Lender
from .logservice import LogService
from .members import Member
from .membership import Membership
from .recorder import Recorder
from .records import NodeForgotten, Record, decode, encode
from .slotrecords import ForgetNode, SlotClaim, SlotRecord
from .slotreplay import SlotReplay, SlotsSnapshot
from .slots import SlotMember, SlotTable, release_of
from .sources import rank_readers
from .views import ConfigurationView

SHARES_STREAM = "shares"
CLAIM_INTERVAL_SECONDS = 1.0
CLAIMS_PER_ROUND = 64


class SlotService(RecordSink):
    """Updates the lender and the borrower from the shares stream, and claims slots.

    Attributes:
        table: State of the slots.
        replay: Replay of the stream into the table.
        caught_up: Whether the stream was read to its end at least once.
        accounts: Rate and burst of each client account of the lender.
        oldest_offset: Oldest offset that the stream still has.
        lenders_outdated: Whether records were read since the borrower was updated.
        reported_slots: Slots held at the last report.
        unread_claims: Claims of this node that were appended and not read back yet, by
            slot; a node that leaves may never read them.
    """

    def __init__(
        self,
        table: SlotTable,
        lender: Lender,
        borrower: Borrower,
        membership: Membership,
        log: LogService,
        secret: bytes,
        retention: float,
        recorder: Recorder,
        clock: Clock,
    ) -> None:
        self.retention = retention
        self.table = table
        self.lender = lender
        self.borrower = borrower
        self.membership = membership
        self.log = log
        self.secret = secret
        self.recorder = recorder
        self.clock = clock
        self.caught_up = False
        self.accounts: dict[str, tuple[float, float]] = {}
        self.replay = SlotReplay(table)
        self.oldest_offset = 0
        self.lenders_outdated = True
        self.reported_slots: set[int] = set()
        self.unread_claims: dict[int, SlotClaim] = {}

    def start_at(self, offset: int) -> None:
        """Continue at ``offset``, the oldest that the stream still has."""
        self.oldest_offset = offset
        self.replay.start_at(offset)

    def apply(self, offset: int, data: bytes) -> None:
        """Apply one record; a malformed one is counted and skipped."""
        self.lenders_outdated = True
        try:
            record = decode(data, self.secret)
        except RecordError:
            self.recorder.increment("shares.malformed")
            self.replay.skip(offset)
            return
        now = self.clock.now()
        if isinstance(record, SlotClaim) and self.table.is_own(record):
            self.unread_claims.pop(record.slot, None)
        if isinstance(record, NodeForgotten):
            forgotten = ForgetNode(record.node_id, record.incarnation)
            self.replay.apply(offset, forgotten, now)
        elif isinstance(record, SlotRecord | SlotsSnapshot):
            self.replay.apply(offset, record, now)
        else:
            self.replay.skip(offset)

    def mark_end_reached(self, asked_at: float) -> None:
        """Renew this node's leases and update the lender and the borrower."""
        if not self.caught_up:
            logger.info("shares stream read to its end; this node may claim slots now")
        self.caught_up = True
        self.lender.resume(asked_at)
        self.table.renew_leases(asked_at)
        self.table.update_lender(self.lender, self.clock.now())
        if self.lenders_outdated:
            self.lenders_outdated = False
            self.update_borrower()

    def update_borrower(self) -> None:
        """Pass the lenders of each slot to the borrower."""
        for slot in range(self.table.settings.slots):
            lenders = [
                LenderRef(claim.holder, claim.domain, claim.term)
                for claim in self.table.lender_claims(slot)
            ]
            if lenders != self.borrower.lenders.get(slot):
                self.borrower.set_lenders(slot, lenders)

    def set_accounts(self, view: ConfigurationView) -> None:
        """Add, change and remove accounts according to the configuration."""
        now = self.clock.now()
        configured = {
            name: (account.rate, account.burst)
            for name, account in view.accounts.items()
        }
        for name, (rate, burst) in configured.items():
            if self.accounts.get(name) != (rate, burst):
                self.lender.set_account(name, rate, burst, now)
        for name in self.accounts.keys() - configured.keys():
            self.lender.remove_account(name)
            self.borrower.remove_account(name)
        self.accounts = configured

    async def run(self) -> None:
        """Append the records that are due, until cancelled."""
        while True:
            await curio.sleep(CLAIM_INTERVAL_SECONDS)
            self.report_slots()
            if self.caught_up:
                await self.append_snapshot()
            if self.caught_up and self.replay.is_complete:
                await self.append_claims()

    def report_slots(self) -> None:
        """Record an event if this node gained or lost slots since the last report."""
        held = set(self.lender.slots)
        gained = len(held - self.reported_slots)
        lost = len(self.reported_slots - held)
        self.reported_slots = held
        if gained or lost:
            text = f"gained {gained}, lost {lost}, holds {len(held)}"
            self.recorder.state_event(EventKind.SLOT_CHANGED, text)

    async def append_snapshot(self) -> None:
        """Append a snapshot of all slots if it is due."""
        now = self.clock.now()
        members = self.membership.members(now)
        ranked = rank_readers([member.node_id for member in members])
        own_id = self.membership.own.node_id
        rank = ranked.index(own_id) if own_id in ranked else len(ranked)
        snapshot = self.replay.due_snapshot(
            now, self.retention, self.oldest_offset, rank
        )
        if snapshot is not None:
            await self.append(snapshot)

    async def append_claims(self) -> None:
        """Append the claims, notices and objections that are due."""
        now = self.clock.now()
        members = [slot_member(member) for member in self.membership.members(now)]
        records = self.table.due_records(members, now)
        for record in records[:CLAIMS_PER_ROUND]:
            if isinstance(record, ForgetNode):
                continue
            if self.table.leaving:
                return
            if isinstance(record, SlotClaim):
                self.unread_claims[record.slot] = record
            appended = await self.append(record)
            if self.table.leaving and isinstance(record, SlotClaim):
                await self.append(release_of(record))
            if not appended:
                return

    def newest_incarnation(self, node_id: str) -> int:
        """Return the highest incarnation in which a node claimed a slot, or 0."""
        claims = [state.claim for state in self.table.states.values()]
        return max((c.incarnation for c in claims if c.holder == node_id), default=0)

    async def append(self, record: Record) -> bool:
        """Append one record and return whether the append succeeded."""
        try:
            await self.log.append(SHARES_STREAM, encode(record, self.secret))
        except LogError:
            return False
        return True

    async def release_slots(self) -> None:
        """Release all slots at a graceful shutdown."""
        records = self.table.release_all(self.lender.release_slot)
        records += [release_of(claim) for claim in self.unread_claims.values()]
        for record in records:
            if not await self.append(record):
                return


def slot_member(member: Member) -> SlotMember:
    """Return a member as a candidate for slots.

    The incarnation is that of the start of the node: changes of its description do
    not affect its claims.
    """
    return SlotMember(
        member.node_id,
        start_incarnation(member.incarnation),
        member.peer_address,
        member.domain,
    )

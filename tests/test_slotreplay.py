from carawaywheel.settings import ShareSettings
from carawaywheel.slotrecords import ClaimBasis, SlotClaim, TakeoverNotice
from carawaywheel.slotreplay import SlotReplay, SlotsSnapshot
from carawaywheel.slots import SlotMember, SlotTable

SETTINGS = ShareSettings(slots=1, lease_time=100.0)
WINNER = SlotMember("winner", 1, "127.0.0.1:1", "east")
LOSER = SlotMember("loser", 1, "127.0.0.1:2", "east")


def replay_of(member):
    return SlotReplay(SlotTable(SETTINGS, member))


def claim_of(member, term=1, kind=ClaimBasis.FREE):
    return SlotClaim(
        0, "east", term, member.node, member.incarnation, member.address, kind
    )


def restarted(member):
    return member._replace(incarnation=2)


def test_rejected_claim_is_not_trusted_after_the_log_dropped_the_winner():
    """Guards against two lenders of a slot after the log dropped the first claim."""
    replay = replay_of(restarted(LOSER))
    replay.start_at(1)
    replay.apply(1, claim_of(LOSER), 0.0)
    replay.apply(2, claim_of(restarted(LOSER), 2, ClaimBasis.RESTARTED), 0.0)
    assert not replay.table.held_slots() and not replay.is_complete
    author = replay_of(WINNER)
    for offset, member in enumerate((WINNER, LOSER)):
        author.apply(offset, claim_of(member), 0.0)
    snapshot = author.due_snapshot(1000.0, 30.0, 1, 0)
    assert snapshot is None or snapshot.as_of == 2
    snapshot = author.due_snapshot(2000.0, 30.0, 1, 0)
    replay.apply(3, snapshot, 1.0)
    assert replay.is_complete and not replay.table.held_slots()
    assert [claim.holder for claim in replay.table.lender_claims(0)] == ["winner"]


def test_snapshot_from_before_the_first_record_is_not_used():
    """Guards against missing the records between a snapshot and the first one read."""
    replay = replay_of(LOSER)
    replay.start_at(10)
    replay.apply(10, SlotsSnapshot([], 9), 0.0)
    assert not replay.is_complete
    replay.apply(11, SlotsSnapshot([], 10), 0.0)
    assert replay.is_complete


def test_holder_that_missed_records_stops_lending():
    """Guards against a holder that missed a takeover of its slot."""
    replay = replay_of(WINNER)
    replay.apply(0, claim_of(WINNER), 0.0)
    assert replay.table.held_slots()
    replay.start_at(5)
    assert not replay.table.held_slots() and not replay.is_complete


def test_notice_in_a_snapshot_prevents_the_renewal_of_the_lease():
    """Guards against a holder that renews its lease while a claimant waits for it."""
    author = replay_of(LOSER)
    author.apply(0, claim_of(WINNER), 0.0)
    author.apply(1, TakeoverNotice(0, "east", 1, "loser", 1), 0.0)
    author.due_snapshot(0.0, 30.0, 0, 0)
    snapshot = author.due_snapshot(50.0, 30.0, 0, 0)
    replay = replay_of(WINNER)
    replay.start_at(1)
    replay.table.renew_leases(60.0)
    replay.apply(2, snapshot, 60.0)
    assert replay.table.held_slots()
    assert replay.table.lease_until(0) < 60.0


def test_snapshot_is_due_before_records_expire_and_later_at_higher_ranks():
    """Guards against expired snapshots, and against one from every node."""
    replay = replay_of(WINNER)
    assert replay.due_snapshot(0.0, 30.0, 0, 0) is None
    assert replay.due_snapshot(9.0, 30.0, 0, 0) is None
    assert replay.due_snapshot(11.0, 30.0, 0, 1) is None
    assert replay.due_snapshot(11.0, 30.0, 0, 0) == SlotsSnapshot([], 0)
    assert replay.due_snapshot(12.0, 30.0, 0, 0) is None


def test_empty_snapshot_is_due_only_after_every_lease_has_expired():
    """Guards against free slots while a holder cut off from the log still lends."""
    replay = replay_of(LOSER)
    replay.start_at(5)
    assert replay.due_snapshot(0.0, 30.0, 5, 0) is None
    assert replay.due_snapshot(SETTINGS.lease_time, 30.0, 5, 0) is None
    assert replay.due_snapshot(SETTINGS.lease_time * 1.2, 30.0, 5, 0) == SlotsSnapshot(
        [], 5
    )


def test_node_started_on_a_truncated_log_does_not_claim_held_slots():
    """Guards against a second holder when the log has dropped the first claim."""
    holder, late, later = replay_of(WINNER), replay_of(LOSER), replay_of(LOSER)
    holder.apply(0, claim_of(WINNER), 0.0)
    assert holder.due_snapshot(0.0, 300.0, 0, 0) is None
    assert holder.due_snapshot(99.0, 300.0, 0, 0) is None
    snapshot = holder.due_snapshot(100.0, 300.0, 0, 0)
    assert snapshot.as_of == 1
    late.start_at(1)
    later.start_at(2)
    late.apply(1, claim_of(LOSER), 100.0)
    for replay in (late, later):
        assert not replay.is_complete and not replay.table.lender_claims(0)
    holder.apply(1, claim_of(LOSER), 100.0)
    second_snapshot = holder.due_snapshot(200.0, 300.0, 2, 0)
    late.apply(2, snapshot, 100.0)
    later.apply(2, snapshot, 100.0)
    assert late.is_complete and not later.is_complete
    later.apply(3, second_snapshot, 200.0)
    for replay in (late, later):
        (held,) = replay.table.lender_claims(0)
        assert held == claim_of(WINNER)
        wanted = replay.table.due_records([], 200.0)
        assert all(type(record) is TakeoverNotice for record in wanted)
    for offset, record in ((2, snapshot), (3, second_snapshot)):
        holder.apply(offset, record, 200.0)
    assert holder.due_snapshot(201.0, 300.0, 2, 0) is None

from carawaywheel.settings import ShareSettings
from carawaywheel.slotrecords import ClaimBasis, SlotClaim, TakeoverNotice
from carawaywheel.slotreplay import SlotReplay, SlotsSnapshot
from carawaywheel.slots import SlotMember, SlotTable

SETTINGS = ShareSettings(slots=1, lease_time=100.0)
WINNER = SlotMember("winner", 1, "127.0.0.1:1", "east")
LOSER = SlotMember("loser", 1, "127.0.0.1:2", "east")


def history_of(member):
    return SlotReplay(SlotTable(SETTINGS, member))


def claim_of(member, term=1, kind=ClaimBasis.FREE):
    return SlotClaim(
        0, "east", term, member.node, member.incarnation, member.address, kind
    )


def restarted(member):
    return member._replace(incarnation=2)


def test_a_claim_that_lost_is_not_trusted_after_the_winner_is_forgotten():
    """Guards against two lenders of one slot after the log forgot the first claim."""
    history = history_of(restarted(LOSER))
    history.start_at(1)
    history.apply(1, claim_of(LOSER), 0.0)
    history.apply(2, claim_of(restarted(LOSER), 2, ClaimBasis.RESTARTED), 0.0)
    assert not history.table.held_slots() and not history.is_complete
    base = history_of(WINNER)
    for offset, member in enumerate((WINNER, LOSER)):
        base.apply(offset, claim_of(member), 0.0)
    restated = base.due_snapshot(1000.0, 30.0, 1, 0)
    assert restated is None or restated.as_of == 2
    restated = base.due_snapshot(2000.0, 30.0, 1, 0)
    history.apply(3, restated, 1.0)
    assert history.is_complete and not history.table.held_slots()
    assert [claim.holder for claim in history.table.lender_claims(0)] == ["winner"]


def test_a_restatement_from_before_the_first_record_is_no_base():
    """Guards against a base that misses records between it and the first one read."""
    history = history_of(LOSER)
    history.start_at(10)
    history.apply(10, SlotsSnapshot([], 9), 0.0)
    assert not history.is_complete
    history.apply(11, SlotsSnapshot([], 10), 0.0)
    assert history.is_complete


def test_a_holder_that_missed_records_lends_no_more():
    """Guards against a holder that was away while its slot changed hands."""
    history = history_of(WINNER)
    history.apply(0, claim_of(WINNER), 0.0)
    assert history.table.held_slots()
    history.start_at(5)
    assert not history.table.held_slots() and not history.is_complete


def test_a_notice_in_a_restatement_keeps_the_lease_from_being_renewed():
    """Guards against a holder that lends on while a claimant waits out its lease."""
    base = history_of(LOSER)
    base.apply(0, claim_of(WINNER), 0.0)
    base.apply(1, TakeoverNotice(0, "east", 1, "loser", 1), 0.0)
    base.due_snapshot(0.0, 30.0, 0, 0)
    restated = base.due_snapshot(50.0, 30.0, 0, 0)
    history = history_of(WINNER)
    history.start_at(1)
    history.table.renew_leases(60.0)
    history.apply(2, restated, 60.0)
    assert history.table.held_slots()
    assert history.table.lease_until(0) < 60.0


def test_slots_are_restated_before_they_are_forgotten_and_by_others_later():
    """Guards against a base that expires, and against all nodes that write one."""
    history = history_of(WINNER)
    assert history.due_snapshot(0.0, 30.0, 0, 0) is None
    assert history.due_snapshot(9.0, 30.0, 0, 0) is None
    assert history.due_snapshot(11.0, 30.0, 0, 1) is None
    assert history.due_snapshot(11.0, 30.0, 0, 0) == SlotsSnapshot([], 0)
    assert history.due_snapshot(12.0, 30.0, 0, 0) is None


def test_an_empty_base_comes_only_after_every_lease_has_lapsed():
    """Guards against free slots while a holder without news still lends."""
    history = history_of(LOSER)
    history.start_at(5)
    assert history.due_snapshot(0.0, 30.0, 5, 0) is None
    assert history.due_snapshot(SETTINGS.lease_time, 30.0, 5, 0) is None
    assert history.due_snapshot(SETTINGS.lease_time * 1.2, 30.0, 5, 0) == SlotsSnapshot(
        [], 5
    )


def test_a_node_that_starts_on_a_shortened_log_does_not_claim_held_slots():
    """Guards against a second holder when the log has forgotten the first claim."""
    holder, late, later = history_of(WINNER), history_of(LOSER), history_of(LOSER)
    holder.apply(0, claim_of(WINNER), 0.0)
    assert holder.due_snapshot(0.0, 300.0, 0, 0) is None
    assert holder.due_snapshot(99.0, 300.0, 0, 0) is None
    restated = holder.due_snapshot(100.0, 300.0, 0, 0)
    assert restated.as_of == 1
    late.start_at(1)
    later.start_at(2)
    late.apply(1, claim_of(LOSER), 100.0)
    for history in (late, later):
        assert not history.is_complete and not history.table.lender_claims(0)
    holder.apply(1, claim_of(LOSER), 100.0)
    again = holder.due_snapshot(200.0, 300.0, 2, 0)
    late.apply(2, restated, 100.0)
    later.apply(2, restated, 100.0)
    assert late.is_complete and not later.is_complete
    later.apply(3, again, 200.0)
    for history in (late, later):
        (held,) = history.table.lender_claims(0)
        assert held == claim_of(WINNER)
        wanted = history.table.due_records([], 200.0)
        assert all(type(record) is TakeoverNotice for record in wanted)
    for offset, record in ((2, restated), (3, again)):
        holder.apply(offset, record, 200.0)
    assert holder.due_snapshot(201.0, 300.0, 2, 0) is None

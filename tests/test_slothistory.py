from carawaywheel.evidence import ClaimKind, SlotClaim, SlotNotice
from carawaywheel.settings import ShareSettings
from carawaywheel.slothistory import SlotHistory, SlotsRestated
from carawaywheel.slots import SlotMember, SlotTable

SETTINGS = ShareSettings(slots=1, lease_time=100.0)
WINNER = SlotMember("winner", 1, "127.0.0.1:1", "east")
LOSER = SlotMember("loser", 1, "127.0.0.1:2", "east")


def history_of(member):
    return SlotHistory(SlotTable(SETTINGS, member))


def claim_of(member, term=1, kind=ClaimKind.FREE):
    return SlotClaim(
        0, "east", term, member.node, member.incarnation, member.address, kind
    )


def restarted(member):
    return member._replace(incarnation=2)


def test_a_claim_that_lost_is_not_trusted_after_the_winner_is_forgotten():
    """Guards against two lenders of one slot after the log forgot the first claim."""
    history = history_of(restarted(LOSER))
    history.begin(1)
    history.take(1, claim_of(LOSER), 0.0)
    history.take(2, claim_of(restarted(LOSER), 2, ClaimKind.RESTARTED), 0.0)
    assert not history.table.held() and not history.exact
    base = history_of(WINNER)
    for offset, member in enumerate((WINNER, LOSER)):
        base.take(offset, claim_of(member), 0.0)
    restated = base.due(1000.0, 30.0, 1, 0)
    assert restated is None or restated.as_of == 2
    restated = base.due(2000.0, 30.0, 1, 0)
    history.take(3, restated, 1.0)
    assert history.exact and not history.table.held()
    assert [claim.holder for claim in history.table.holders(0)] == ["winner"]


def test_a_restatement_from_before_the_first_record_is_no_base():
    """Guards against a base that misses records between it and the first one read."""
    history = history_of(LOSER)
    history.begin(10)
    history.take(10, SlotsRestated([], 9), 0.0)
    assert not history.exact
    history.take(11, SlotsRestated([], 10), 0.0)
    assert history.exact


def test_a_holder_that_missed_records_lends_no_more():
    """Guards against a holder that was away while its slot changed hands."""
    history = history_of(WINNER)
    history.take(0, claim_of(WINNER), 0.0)
    assert history.table.held()
    history.begin(5)
    assert not history.table.held() and not history.exact


def test_a_notice_in_a_restatement_keeps_the_lease_from_being_renewed():
    """Guards against a holder that lends on while a claimant waits out its lease."""
    base = history_of(LOSER)
    base.take(0, claim_of(WINNER), 0.0)
    base.take(1, SlotNotice(0, "east", 1, "loser", 1), 0.0)
    base.due(0.0, 30.0, 0, 0)
    restated = base.due(50.0, 30.0, 0, 0)
    history = history_of(WINNER)
    history.begin(1)
    history.table.renew(60.0)
    history.take(2, restated, 60.0)
    assert history.table.held()
    assert history.table.lease_until(0) < 60.0


def test_slots_are_restated_before_they_are_forgotten_and_by_others_later():
    """Guards against a base that expires, and against all nodes that write one."""
    history = history_of(WINNER)
    assert history.due(0.0, 30.0, 0, 0) is None
    assert history.due(9.0, 30.0, 0, 0) is None
    assert history.due(11.0, 30.0, 0, 1) is None
    assert history.due(11.0, 30.0, 0, 0) == SlotsRestated([], 0)
    assert history.due(12.0, 30.0, 0, 0) is None


def test_an_empty_base_comes_only_after_every_lease_has_lapsed():
    """Guards against free slots while a holder without news still lends."""
    history = history_of(LOSER)
    history.begin(5)
    assert history.due(0.0, 30.0, 5, 0) is None
    assert history.due(SETTINGS.lease_time, 30.0, 5, 0) is None
    assert history.due(SETTINGS.lease_time * 1.2, 30.0, 5, 0) == SlotsRestated([], 5)


def test_a_node_that_starts_on_a_shortened_log_does_not_claim_held_slots():
    """Guards against a second holder when the log has forgotten the first claim."""
    holder, late, later = history_of(WINNER), history_of(LOSER), history_of(LOSER)
    holder.take(0, claim_of(WINNER), 0.0)
    assert holder.due(0.0, 300.0, 0, 0) is None
    assert holder.due(99.0, 300.0, 0, 0) is None
    restated = holder.due(100.0, 300.0, 0, 0)
    assert restated.as_of == 1
    late.begin(1)
    later.begin(2)
    late.take(1, claim_of(LOSER), 100.0)
    for history in (late, later):
        assert not history.exact and not history.table.holders(0)
    holder.take(1, claim_of(LOSER), 100.0)
    again = holder.due(200.0, 300.0, 2, 0)
    late.take(2, restated, 100.0)
    later.take(2, restated, 100.0)
    assert late.exact and not later.exact
    later.take(3, again, 200.0)
    for history in (late, later):
        (held,) = history.table.holders(0)
        assert held == claim_of(WINNER)
        wanted = history.table.wanted_claims([], 200.0)
        assert all(type(record) is SlotNotice for record in wanted)
    for offset, record in ((2, restated), (3, again)):
        holder.take(offset, record, 200.0)
    assert holder.due(201.0, 300.0, 2, 0) is None

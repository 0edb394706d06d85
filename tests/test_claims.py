import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from carawaywheel.claims import ClaimTable, claim_id
from carawaywheel.records import ClaimMade, ClaimReleased, NodeForgotten


class ClaimMachine(RuleBasedStateMachine):
    """Nodes claim, release and duplicate appends in any order."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.tables = [ClaimTable(), ClaimTable()]
        self.ran = set()
        self.refused = set()
        self.late = []

    def append(self, record):
        self.log.append(record)
        self.tables[0].apply(len(self.log) - 1, record)

    claimants = st.sampled_from("abcd")

    @rule(claimant=claimants, copies=st.integers(0, 2), late=st.booleans())
    def claim(self, claimant, copies, late):
        if claimant in self.ran | self.refused:
            return
        record = ClaimMade("id", claimant, "node")
        for _ in range(copies):
            self.append(record)
        if late:
            self.late.append(record)
        owned = self.tables[0].owner("id") == claimant
        (self.ran if owned else self.refused).add(claimant)
        if copies == 0:
            # The response to the append was lost, so the request is refused.
            self.append(ClaimReleased("id", claimant))

    @rule(claimant=claimants)
    def release_not_run(self, claimant):
        if claimant in self.ran:
            self.ran.remove(claimant)
            self.refused.add(claimant)
            self.append(ClaimReleased("id", claimant))

    @rule(index=st.integers(0, 9))
    def arrive_late(self, index):
        if self.late:
            self.append(self.late.pop(index % len(self.late)))

    @rule(limit=st.integers(1, 9))
    def read(self, limit):
        table = self.tables[1]
        for offset in range(table.position, len(self.log))[:limit]:
            table.apply(offset, self.log[offset])

    @invariant()
    def one_request_runs(self):
        assert len(self.ran) <= 1
        owner = self.tables[0].owner("id")
        assert owner is None or owner in self.ran
        if self.tables[1].position == len(self.log):
            assert self.tables[1].owner("id") == owner


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.pytestmark = [
    pytest.mark.proves("I9", "request: claim", "duplicated or reordered"),
    pytest.mark.proves("I9", "request: claim", "message delayed"),
    pytest.mark.proves("I9", "request: claim", "answer lost"),
    pytest.mark.proves("I9", "request: claim", "same twice"),
]
TestClaimMachine.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)


def test_claim_id_separates_its_fields():
    """Guards against equal claim ids of requests whose concatenated fields match."""
    ids = {claim_id("a", "bc", "d"), claim_id("ab", "c", "d"), claim_id("a", "b", "cd")}
    assert len(ids) == 3
    assert claim_id("a", "b", "c") == claim_id("a", "b", "c")


def test_eviction_keeps_claims_with_newer_records():
    """Guards against unbounded memory and against evicting a claim in use."""
    table = ClaimTable()
    for offset in range(10):
        table.apply(offset, ClaimMade(f"id{offset}", "a", "node"))
    table.apply(10, ClaimMade("id0", "b", "node"))
    assert table.evict_before(5) == 4
    assert len(table) == 6
    assert table.owner("id0") == "a"
    assert table.owner("id1") is None


@pytest.mark.proves("I9", "request: claim", "duplicated or reordered")
def test_rejected_claim_never_becomes_the_owner():
    """Guards against running a request after its caller was refused."""
    table = ClaimTable()
    won, lost = ClaimMade("id", "a", "node"), ClaimMade("id", "b", "node")
    for offset, record in enumerate([won, lost, ClaimReleased("id", "a"), lost, won]):
        table.apply(offset, record)
    assert table.owner("id") is None
    assert table.apply(2, ClaimMade("id", "c", "node")) is None
    assert table.apply(5, NodeForgotten("n", 1, "a", "r", 0.0)) is None
    table.skip(6)
    table.apply(7, ClaimMade("id", "c", "node"))
    assert (table.position, table.owner("id")) == (8, "c")

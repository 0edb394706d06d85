"""Order of the records by which failure domains are evacuated."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaywheel.mesh.evacuation import Evacuation, Evacuations
from carawaywheel.mesh.replication.store import Position


def page_of(history, end):
    """Return the whole table before an offset of its history."""
    newest = {each.domain: each for each in history[:end]}
    return [each for each in newest.values() if each.active], Position(1, end)


@given(st.data())
def test_records_and_whole_reads_in_any_order_agree(data):
    """Guards against nodes that disagree for ever after late or repeated messages."""
    step = st.tuples(st.sampled_from("ab"), st.booleans())
    steps = data.draw(st.lists(step, min_size=2, max_size=5))
    history = [
        Evacuation(domain, 1, offset, active)
        for offset, (domain, active) in enumerate(steps)
    ]
    ends = data.draw(st.lists(st.integers(1, len(history)), max_size=2))
    messages = [("record", each) for each in history] + [("whole", end) for end in ends]
    results = []
    for _ in range(2):
        evacuations = Evacuations()
        order = data.draw(st.permutations(messages + messages[:1]))
        for kind, value in order:
            if kind == "record":
                evacuations.merge(value)
            else:
                evacuations.apply_page(*page_of(history, value), True)
        results.append((evacuations.newest, evacuations.active))
    assert results[0] == results[1]
    assert results[0][1] == {each.domain for each in page_of(history, len(history))[0]}


@given(st.data())
def test_records_of_several_eras_in_any_order_agree(data):
    record = st.builds(
        Evacuation, st.just("a"), st.integers(0, 2), st.integers(0, 4), st.booleans()
    )
    records = data.draw(st.lists(record, min_size=1, max_size=8))
    results = []
    for _ in range(2):
        evacuations = Evacuations()
        evacuations.merge_all(data.draw(st.permutations(records + records[:2])))
        results.append(evacuations.newest)
    assert results[0] == results[1]


def test_removal_that_only_a_whole_read_shows_ends_the_evacuation():
    """Guards against an evacuation for ever after the history was dropped."""
    evacuations = Evacuations()
    begun = Evacuation("a", 1, 3, True)
    # A reader that has restarted hears of the evacuation only after the read.
    evacuations.apply_page([], Position(1, 9), True)
    evacuations.merge(begun)
    assert not evacuations.active
    evacuations.merge(Evacuation("a", 1, 9, True))
    assert evacuations.active == {"a"}
    evacuations.apply_page([], Position(1, 9), True)
    assert evacuations.active == {"a"}


def test_copy_of_the_store_that_lacks_the_record_does_not_end_the_evacuation():
    evacuations = Evacuations()
    evacuations.merge(Evacuation("a", 1, 3, True))
    (change,) = evacuations.apply_page([], Position(2, 3), True)
    assert change.note and not change.switched
    assert evacuations.active == {"a"}
    evacuations.apply_page([Evacuation("a", 2, 3, False)], Position(2, 4), False)
    assert not evacuations.active


def test_removal_in_a_restored_store_that_holds_the_record():
    """Guards against an evacuation that stays with the era that is gone."""
    evacuations = Evacuations()
    evacuations.merge(Evacuation("a", 1, 3, True))
    evacuations.apply_page([Evacuation("a", 2, 3, True)], Position(2, 4), True)
    evacuations.apply_page([], Position(2, 6), True)
    assert not evacuations.active


@pytest.mark.parametrize("restarted", [False, True])
def test_copy_of_the_store_that_lacks_the_removal_restores_nothing(restarted):
    """Guards against a revoked evacuation that an older copy brings back."""
    evacuations = Evacuations()
    evacuations.merge(Evacuation("a", 1, 3, True))
    evacuations.merge(Evacuation("a", 1, 4, False))
    if restarted:
        former, evacuations = evacuations, Evacuations()
        evacuations.merge_all(former.known())
    copy = Evacuation("a", 2, 3, True)
    (change,) = evacuations.apply_page([copy], Position(2, 4), True)
    assert change.note
    assert not evacuations.active
    evacuations.apply_page([Evacuation("a", 2, 4, True)], Position(2, 5), False)
    assert evacuations.active == {"a"}

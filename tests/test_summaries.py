import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carawaywheel.events import EventKind
from carawaywheel.refusals import Importance, Reason
from carawaywheel.summaries import (
    MAX_OUTCOME_ROWS,
    MAX_STATE_CHANGES,
    CountingPoint,
    OutcomeKey,
    StateChange,
    SummaryTotals,
    decode_summary,
    encode_summary,
    merge_summaries,
)
from carawaywheel.summarizer import IMPORTANCE_BOUND, Summarizer, SummaryBacklog

KEY = OutcomeKey(
    CountingPoint.TARGET,
    "mapdesk",
    Importance.CRITICAL,
    Reason.QUEUE_FULL,
    "",
    "hall",
    True,
    False,
)
SERVED = KEY._replace(place=CountingPoint.ENTRY, reason=None)


def make_summaries(rng, count):
    """Return consecutive summaries of one node with random outcome counts."""
    summarizer = Summarizer("n1", 0, 0.0)
    summaries = []
    for number in range(count):
        for _ in range(rng.randrange(20)):
            account = rng.choice("abc")
            reason = rng.choice([None, Reason.OVERLOAD])
            key = SERVED._replace(account=account, reason=reason)
            summarizer.record_outcome(key, number * 10 + rng.random(), 0.0, account)
        summarizer.record_attempt("mapdesk", rng.random() < 0.5)
        summarizer.record_bound_check("b", rng.random() < 0.5, "x")
        summaries.append(summarizer.close((number + 1) * 10.0, number))
    return summaries


def comparable_totals(summaries):
    """Return all totals in a form that does not depend on how summaries are merged."""
    totals = SummaryTotals(summaries)
    rows = sorted((row._replace(examples=()) for row in totals.rows()), key=repr)
    return rows, totals.attempts, totals.bounds


@settings(derandomize=True, max_examples=60, deadline=None)
@given(seed=st.integers(0, 2**32), count=st.integers(1, 20), limit=st.integers(1, 6))
def test_a_long_log_outage_loses_no_count_and_keeps_the_backlog_bounded(
    seed, count, limit
):
    """Guards against lost counts and unbounded memory while the log is unavailable."""
    summaries = make_summaries(random.Random(seed), count)
    backlog = SummaryBacklog(limit)
    for summary in summaries:
        backlog.add(summary)
        assert len(backlog.pending) <= limit
    assert comparable_totals(backlog.pending) == comparable_totals(summaries)
    assert backlog.pending[0].first_number == 0
    assert backlog.pending[-1].last_number == count - 1
    assert sum(s.events_dropped for s in backlog.pending) == count - 1


def test_an_appended_summary_is_removed_unless_it_was_merged_meanwhile():
    """Guards against lost counts when a merge happens during the append."""
    backlog = SummaryBacklog(1)
    first, second = make_summaries(random.Random(1), 2)
    backlog.add(first)
    backlog.add(second)
    backlog.remove_accepted(first)
    assert [s.last_number for s in backlog.pending] == [1]
    backlog.remove_accepted(backlog.pending[0])
    assert backlog.pending == []


def test_only_consecutive_summaries_are_merged():
    """Guards against a merge that hides a gap."""
    first, _, third = make_summaries(random.Random(1), 3)
    with pytest.raises(ValueError, match="does not follow"):
        merge_summaries(first, third)


def test_encoding_keeps_all_fields_of_a_summary():
    """Guards against fields lost in the summary stream, and against API keys in it."""
    summarizer = Summarizer("n1", 3, 0.0)
    summarizer.record_outcome(KEY, 1.5, 0.0, "r1")
    change = StateChange(7, 2.0, EventKind.LOG_STATE, "", "down cw_key")
    summarizer.record_state_change(change)
    summary = summarizer.close(10.0, 4, final=True)
    assert decode_summary(encode_summary(summary)) == summary
    assert summary.counts[0].examples == ("r1",)
    assert "cw_" not in summary.changes[0].detail
    assert summarizer.close(20.0, 5).events_dropped == 1


def test_rows_and_state_changes_are_bounded_and_excess_is_counted():
    """Guards against a summary that exceeds the record size of the log."""
    summarizer = Summarizer("n1", 0, 0.0)
    for number in range(3 * MAX_OUTCOME_ROWS):
        key = KEY._replace(account=f"a{number}", service=f"s{number}")
        summarizer.record_outcome(key, 1.0, 0.0)
        change = StateChange(number, 1.0, EventKind.TARGET_CHANGED, "t", "")
        summarizer.record_state_change(change)
    summary = summarizer.close(10.0, 0)
    assert len(summary.counts) <= 2 * MAX_OUTCOME_ROWS + 1
    assert sum(row.requests for row in summary.counts) == 3 * MAX_OUTCOME_ROWS
    assert summary.unattributed == 2 * MAX_OUTCOME_ROWS
    assert len(summary.changes) == MAX_STATE_CHANGES
    assert summary.changes_dropped == 3 * MAX_OUTCOME_ROWS - MAX_STATE_CHANGES


@pytest.mark.parametrize(
    ("service", "importance", "pause", "broken"),
    [
        ("mapdesk", Importance.NORMAL, 0.05, 1),
        ("mapdesk", Importance.SHEDDABLE, 0.05, 1),
        ("mapdesk", Importance.CRITICAL, 0.05, 0),
        ("dispatcher", Importance.NORMAL, 0.05, 0),
        ("mapdesk", Importance.NORMAL, 5.0, 0),
    ],
)
def test_admitting_a_lower_importance_while_shedding_breaks_the_bound(
    service, importance, pause, broken
):
    """Guards against a bound that is reported as held without a check."""
    summarizer = Summarizer("n1", 0, 0.0)
    summarizer.record_outcome(KEY, 0.0, 100.0)
    summarizer.record_admission(service, importance)
    summarizer.record_outcome(KEY, 0.0, 100.0 + pause)
    bounds = {row.name: row for row in summarizer.close(10.0, 0).bounds}
    assert bounds[IMPORTANCE_BOUND].checked == 2
    assert bounds[IMPORTANCE_BOUND].broken == broken

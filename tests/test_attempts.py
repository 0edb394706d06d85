import pytest

from carawaywheel.attempts import RETENTION_SECONDS, AttemptState, AttemptTable


@pytest.mark.proves("I8", "request: forward", "message delayed")
def test_fenced_attempt_does_not_run_when_it_arrives_late():
    """Guards against an attempt that runs after it was reported as not run."""
    table = AttemptTable(0.0)
    assert table.fence("a", 1.0) is AttemptState.FENCED
    assert not table.begin("a")


def test_attempt_runs_once():
    """Guards against a duplicated message that runs a request twice."""
    table = AttemptTable(0.0)
    assert table.begin("a")
    assert not table.begin("a")
    assert table.fence("a", 1.0) is AttemptState.RUNNING
    table.finish("a", 2.0)
    assert not table.begin("a")
    assert table.fence("a", 3.0) is AttemptState.FINISHED


def test_finished_attempts_are_removed_after_the_retention_time():
    """Guards against a table that grows without bound."""
    table = AttemptTable(0.0)
    table.begin("a")
    table.expire(1e9)
    assert "a" in table.states
    table.finish("a", 0.0)
    table.expire(RETENTION_SECONDS - 1)
    assert "a" in table.states
    table.expire(RETENTION_SECONDS)
    assert not table.states

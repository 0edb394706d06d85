import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from carawaywheel.contexts import MAX_DEPTH
from carawaywheel.refusals import Ran, Reason, Refusal
from carawaywheel.retries import AttemptBudget, RetryBudget, decide_retry
from carawaywheel.settings import RetrySettings

SETTINGS = RetrySettings()
ATTEMPTS = 8


def decide(refusal, idempotent=False, remaining=5.0, attempts=1, retry_budget=None):
    attempt_budget = AttemptBudget(attempts)
    retry_budget = retry_budget or RetryBudget(SETTINGS)
    decision = decide_retry(
        SETTINGS, refusal, idempotent, 0, remaining, 0.1, attempt_budget,
        retry_budget, 0.0, random.Random(1),
    )  # fmt: skip
    return decision, attempt_budget


@pytest.mark.proves("I9", "request: retry", "answer lost")
@pytest.mark.parametrize("reason", [Reason.PEER_FAILED, Reason.TARGET_FAILED])
def test_unknown_outcome_is_retried_only_when_idempotent(reason):
    """Guards against a request that is not idempotent running twice."""
    refusal = Refusal(reason, Ran.UNKNOWN)
    assert not decide(refusal)[0].retry
    assert decide(refusal, idempotent=True)[0].retry
    assert decide(Refusal(reason, Ran.NOT_RUN))[0].retry


@pytest.mark.parametrize(
    "reason", [Reason.RATE_EXCEEDED, Reason.DUPLICATE, Reason.KEY_WITHDRAWN]
)
def test_final_refusal_is_not_retried(reason):
    """Guards against retries that spend the budget on a final refusal."""
    assert not decide(Refusal(reason), idempotent=True)[0].retry


def test_retry_needs_time_and_both_budgets():
    """Guards against late or unbounded retries and charges without a retry."""
    refusal = Refusal(Reason.TARGET_SHED)
    late, attempt_budget = decide(refusal, remaining=0.1)
    assert not late.retry and attempt_budget.attempts == 1
    assert not decide(refusal, attempts=0)[0].retry
    spent = RetryBudget(SETTINGS)
    while spent.try_retry(0.0):
        pass
    refused, attempt_budget = decide(refusal, retry_budget=spent)
    assert not refused.retry and attempt_budget.attempts == 1
    granted, attempt_budget = decide(refusal)
    assert granted.retry and attempt_budget.attempts == 0
    assert 0.0 <= granted.delay <= SETTINGS.backoff_max


def test_retry_waits_until_a_target_may_be_available():
    """Guards against an immediate retry while the service has no target."""
    decision, _ = decide(Refusal(Reason.NO_TARGET, retry_after=1.5))
    assert decision.delay >= 1.5


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0, 2), st.integers(0, 60), st.booleans()), max_size=60)
)
@example([(0.0, 100, False), (10.05, 0, True)])
@example([(0.0, 1, False), (8.0, 39, True), (2.0, 0, True)])
def test_retries_stay_below_the_share_in_any_window(steps):
    """Guards against a retry storm in a window that is not aligned with buckets."""
    budget = RetryBudget(SETTINGS)
    now, firsts, retries = 0.0, [], []
    for pause, count, retrying in steps:
        now += pause
        for _ in range(count):
            budget.record_first_attempt(now)
            firsts.append(now)
        granted = len(retries)
        while retrying and budget.try_retry(now):
            retries.append(now)
        # A first attempt leaves the window before the retry that it allowed. The share
        # therefore holds over one window whenever a retry is granted, and over twice
        # the window at any time.
        windows = 1 if len(retries) > granted else 2
        recent = count_after(firsts, now - windows * SETTINGS.service_window)
        limit = max(SETTINGS.service_floor, recent * SETTINGS.service_share)
        assert count_after(retries, now - SETTINGS.service_window) <= limit


def count_after(times, start):
    """Return how many times are later than a start."""
    return sum(time > start for time in times)


@pytest.mark.proves("I1", "request: retry", "duplicated or reordered")
def test_response_cannot_return_more_attempts_than_reserved():
    """Guards against a faulty peer that increases the budget of a request."""
    attempt_budget = AttemptBudget(4)
    reserved = attempt_budget.reserve()
    attempt_budget.release(99, reserved)
    assert attempt_budget.attempts == 4


class Call:
    """One attempt of a call in the tree of calls."""

    def __init__(self, parent, attempts, reserved, depth):
        self.parent = parent
        self.budget = AttemptBudget(attempts)
        self.reserved = reserved
        self.depth = depth


class CallTree(RuleBasedStateMachine):
    """Model of a tree of calls, which end, fail and are retried at any depth.

    Guards against retries that multiply along a deep chain of calls.
    """

    def __init__(self):
        super().__init__()
        self.calls = [Call(None, ATTEMPTS, 0, 0)]
        self.failed = []
        self.retries_made = 0

    def pick(self, number):
        return self.calls[number % len(self.calls)]

    def send(self, parent):
        reserved = parent.budget.reserve()
        call = Call(parent, reserved, reserved, parent.depth + 1)
        self.calls.append(call)

    @rule(number=st.integers(0, 999))
    def call_below(self, number):
        parent = self.pick(number)
        if parent.depth < MAX_DEPTH:
            self.send(parent)

    @rule()
    def call_below_the_deepest(self):
        deepest = max(self.calls, key=lambda call: call.depth)
        if deepest.depth < MAX_DEPTH:
            self.send(deepest)

    @rule(number=st.integers(0, 999), end=st.sampled_from(["ok", "failed", "lost"]))
    def end_call(self, number, end):
        call = self.pick(number)
        if call.parent is None:
            return
        if end != "ok":
            self.failed.append(call.parent)
        if end == "lost":
            # Sub-calls may still run, so the call is kept and may spend its attempts.
            return
        self.calls = [other for other in self.calls if not self.is_below(other, call)]
        # Calls that have ended retry nothing; their attempts went back to the parent.
        self.failed = [parent for parent in self.failed if parent in self.calls]
        call.parent.budget.release(call.budget.attempts, call.reserved)

    def is_below(self, call, top):
        while call is not None:
            if call is top:
                return True
            call = call.parent
        return False

    @precondition(lambda self: self.failed)
    @rule(number=st.integers(0, 999))
    def retry(self, number):
        parent = self.failed.pop(number % len(self.failed))
        if parent.budget.try_spend():
            self.retries_made += 1
            self.send(parent)

    @invariant()
    def retries_stay_within_the_budget(self):
        assert self.retries_made <= ATTEMPTS
        left = sum(call.budget.attempts for call in self.calls)
        assert left + self.retries_made <= ATTEMPTS


TestCallTree = CallTree.TestCase
TestCallTree.pytestmark = [
    pytest.mark.proves("I1", "request: retry", "answer lost"),
    pytest.mark.proves("I1", "request: retry", "same twice"),
    pytest.mark.proves("I1", "request: sub-call", "answer lost"),
]
TestCallTree.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=60, deadline=None
)

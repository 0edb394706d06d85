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


def decide(refusal, idempotent=False, remaining=5.0, attempts=1, service=None):
    chain = AttemptBudget(attempts)
    service = service or RetryBudget(SETTINGS)
    decision = decide_retry(
        SETTINGS, refusal, idempotent, 0, remaining, 0.1, chain, service, 0.0,
        random.Random(1),
    )  # fmt: skip
    return decision, chain


@pytest.mark.proves("I9", "request: retry", "answer lost")
@pytest.mark.parametrize("reason", [Reason.PEER_FAILED, Reason.TARGET_FAILED])
def test_unknown_outcome_is_repeated_only_when_idempotent(reason):
    """Guards against a request that must not be repeated running twice."""
    refusal = Refusal(reason, Ran.UNKNOWN)
    assert not decide(refusal)[0].retry
    assert decide(refusal, idempotent=True)[0].retry
    assert decide(Refusal(reason, Ran.NOT_RUN))[0].retry


@pytest.mark.parametrize(
    "reason", [Reason.RATE_EXCEEDED, Reason.DUPLICATE, Reason.KEY_WITHDRAWN]
)
def test_final_refusal_is_not_repeated(reason):
    """Guards against retries that spend the budget on a settled refusal."""
    assert not decide(Refusal(reason), idempotent=True)[0].retry


def test_retry_needs_time_and_both_budgets():
    """Guards against retries that are late, unbounded or charged when refused."""
    refusal = Refusal(Reason.TARGET_SHED)
    late, chain = decide(refusal, remaining=0.1)
    assert not late.retry and chain.attempts == 1
    assert not decide(refusal, attempts=0)[0].retry
    spent = RetryBudget(SETTINGS)
    while spent.try_retry(0.0):
        pass
    refused, chain = decide(refusal, service=spent)
    assert not refused.retry and chain.attempts == 1
    granted, chain = decide(refusal)
    assert granted.retry and chain.attempts == 0
    assert 0.0 <= granted.delay <= SETTINGS.backoff_max


def test_retry_waits_for_a_target():
    """Guards against a retry at once while the service has no target."""
    decision, _ = decide(Refusal(Reason.NO_TARGET, retry_after=1.5))
    assert decision.delay >= 1.5


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0, 2), st.integers(0, 60), st.booleans()), max_size=60)
)
@example([(0.0, 100, False), (10.05, 0, True)])
@example([(0.0, 1, False), (8.0, 39, True), (2.0, 0, True)])
def test_retries_stay_below_the_share_in_any_window(steps):
    """Guards against a retry storm in a window that straddles buckets."""
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
        # A first attempt leaves the window before the retry that it allowed, so the
        # share holds whenever a retry is granted, and over twice the window always.
        windows = 1 if len(retries) > granted else 2
        recent = count_after(firsts, now - windows * SETTINGS.service_window)
        limit = max(SETTINGS.service_floor, recent * SETTINGS.service_share)
        assert count_after(retries, now - SETTINGS.service_window) <= limit


def count_after(times, start):
    """Return how many times are later than a start."""
    return sum(time > start for time in times)


@pytest.mark.proves("I1", "request: retry", "duplicated or reordered")
def test_answer_cannot_return_more_than_was_granted():
    """Guards against a faulty peer that inflates the budget of a request."""
    chain = AttemptBudget(4)
    taken = chain.reserve()
    chain.release(99, taken)
    assert chain.attempts == 4


class Call:
    """One attempt at one edge of the tree of calls."""

    def __init__(self, parent, attempts, taken, depth):
        self.parent = parent
        self.budget = AttemptBudget(attempts)
        self.taken = taken
        self.depth = depth


class CallTree(RuleBasedStateMachine):
    """Guards against attempts that multiply along a deep chain of calls."""

    def __init__(self):
        super().__init__()
        self.calls = [Call(None, ATTEMPTS, 0, 0)]
        self.failed = []
        self.repetitions = 0

    def pick(self, number):
        return self.calls[number % len(self.calls)]

    def send(self, parent):
        taken = parent.budget.reserve()
        call = Call(parent, taken, taken, parent.depth + 1)
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
            # The call may go on below, so it stays and spends what it has.
            return
        self.calls = [other for other in self.calls if not self.is_below(other, call)]
        call.parent.budget.release(call.budget.attempts, call.taken)

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
            self.repetitions += 1
            self.send(parent)

    @invariant()
    def repetitions_stay_in_the_budget(self):
        assert self.repetitions <= ATTEMPTS
        left = sum(call.budget.attempts for call in self.calls)
        assert left + self.repetitions <= ATTEMPTS


TestCallTree = CallTree.TestCase
TestCallTree.pytestmark = [
    pytest.mark.proves("I1", "request: retry", "answer lost"),
    pytest.mark.proves("I1", "request: retry", "same twice"),
    pytest.mark.proves("I1", "request: sub-call", "answer lost"),
]
TestCallTree.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=60, deadline=None
)

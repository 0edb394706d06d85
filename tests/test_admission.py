import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from carawaywheel.admission import AdmissionQueue, Admitted, Queued, Ticket
from carawaywheel.limits import FixedLimit
from carawaywheel.refusals import Importance, Outcome, Ran, Reason, Refusal
from carawaywheel.settings import AdmissionSettings

CRITICAL, NORMAL, SHEDDABLE = Importance


def make_queue(slots=1, capacity=4, fair=True):
    options = AdmissionSettings(queue_per_slot=capacity / slots, fair=fair)
    return AdmissionQueue(options, FixedLimit(slots), slots, random.Random(1))


def ticket(name, importance=NORMAL, account="a", deadline=100.0, weight=1.0):
    return Ticket(name, account, importance, deadline, weight)


def finish(queue, name, now, latency=0.05):
    return queue.finish(name, now, Outcome.OK, latency)


def test_full_queue_evicts_the_lowest_importance():
    """Guards against a queue that a surge of unimportant requests fills."""
    queue = make_queue(capacity=2)
    queue.offer(ticket("run"), 0.0)
    queue.offer(ticket("low", SHEDDABLE), 0.0)
    queue.offer(ticket("mid"), 0.0)
    offer = queue.offer(ticket("high", CRITICAL), 0.0)
    assert isinstance(offer.decision, Queued)
    [(victim, refusal)] = offer.changes.refused
    assert victim.request_id == "low"
    assert (refusal.ran, refusal.step) == (Ran.NOT_RUN, "admission")
    assert refusal.retry_after > 0
    assert queue.offer(ticket("low2", SHEDDABLE), 0.0).decision.reason == (
        Reason.QUEUE_FULL
    )
    assert queue.overload_level("maps", 0.5).lowest_admitted_importance == NORMAL
    assert queue.overload_level("maps", 2.0).lowest_admitted_importance == SHEDDABLE
    assert queue.overload_level("maps", 0.5).pressure == 3.0


@pytest.mark.parametrize(("fair", "served"), [(True, (9, 11)), (False, (0, 0))])
def test_small_account_gets_its_fair_share_beside_a_large_one(fair, served):
    """Guards against starvation of an account by the long queue of another."""
    queue = make_queue(capacity=40, fair=fair)
    for number in range(30):
        queue.offer(ticket(f"big{number}", account="big"), 0.0)
    for number in range(11):
        queue.offer(ticket(f"small{number}", account="small"), 0.0)
    now, running, order = 0.0, "big0", []
    for _ in range(20):
        now += 0.05
        [next_ticket] = finish(queue, running, now).admitted
        running = next_ticket.request_id
        order.append(next_ticket.account)
    assert served[0] <= order.count("small") <= served[1]


def test_fairness_counts_service_time_and_weight_not_requests():
    """Guards against an account that gets more service by longer requests."""
    queue = make_queue(capacity=400)
    for number in range(200):
        queue.offer(ticket(f"long{number}", account="long"), 0.0)
        queue.offer(ticket(f"heavy{number}", account="heavy", weight=2.0), 0.0)
    now, running, received = 0.0, "long0", {"long": 0.0, "heavy": 0.0}
    for _ in range(100):
        account = running.rstrip("0123456789")
        held_seconds = 0.2 if account == "long" else 0.05
        now += held_seconds
        received[account] += held_seconds
        running = finish(queue, running, now).admitted[0].request_id
    assert received["heavy"] / received["long"] == pytest.approx(2.0, rel=0.15)


def test_full_queue_accepts_an_account_without_queued_tickets():
    """Guards against one account that fills the queue of its importance class."""
    queue = make_queue(capacity=3)
    for number in range(4):
        queue.offer(ticket(f"big{number}", account="big"), 0.0)
    assert isinstance(queue.offer(ticket("big9"), 0.0).decision, Queued)
    offer = queue.offer(ticket("s", account="small"), 0.0)
    assert isinstance(offer.decision, Queued)
    assert offer.changes.refused[0][0].request_id == "big2"
    assert isinstance(queue.offer(ticket("b", account="big"), 0.0).decision, Refusal)


def test_request_that_would_miss_its_deadline_is_refused_at_once():
    """Guards against slots spent on requests whose callers have given up."""
    queue = make_queue(capacity=40)
    queue.offer(ticket("first"), 0.0)
    two_slot_queue = make_queue(slots=2)
    two_slot_queue.offer(ticket("first"), 0.0)
    short = two_slot_queue.offer(ticket("short", deadline=0.04), 0.0).decision
    assert short.reason is Reason.DEADLINE
    for number in range(9):
        queue.offer(ticket(str(number)), 0.0)
    late = queue.offer(ticket("late", deadline=0.3), 0.0).decision
    assert late.reason is Reason.DEADLINE
    queue.offer(ticket("soon", CRITICAL, deadline=0.2), 0.0)
    assert queue.next_deadline() == 0.2
    assert [t.request_id for t, _ in queue.poll(0.2).refused] == ["soon"]
    assert queue.next_deadline() == 100.0
    expired = queue.offer(ticket("x", deadline=0.2), 0.2).decision
    assert expired.reason is Reason.DEADLINE


def test_idle_target_accepts_requests_after_a_slow_period():
    """Guards against an outdated service time estimate that refuses all requests.

    Without an admitted request there is no new sample to correct the estimate.
    """
    queue = make_queue()
    for number in range(50):
        queue.offer(ticket(str(number), deadline=1000.0), number * 10.0)
        finish(queue, str(number), number * 10.0 + 9.0)
    decision = queue.offer(ticket("new", deadline=501.0), 500.0).decision
    assert isinstance(decision, Admitted)


def test_drain_serves_the_queue_and_refuses_new_offers():
    """Guards against a graceful shutdown that drops queued requests."""
    queue = make_queue()
    queue.offer(ticket("a"), 0.0)
    queue.offer(ticket("b"), 0.0)
    queue.drain()
    assert queue.offer(ticket("c"), 0.0).decision.reason is Reason.SHUTTING_DOWN
    assert finish(queue, "a", 0.1).admitted[0].request_id == "b"


def test_request_id_in_use_is_rejected():
    """Guards against two requests that would release the same slot."""
    queue = make_queue()
    queue.offer(ticket("a"), 0.0)
    with pytest.raises(ValueError, match="already known"):
        queue.offer(ticket("a"), 0.0)


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a simple model of the state of each ticket.

    Guards against lost tickets, admissions beyond the limit or out of order, and free
    slots while tickets wait.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.limit = FixedLimit(2)
        options = AdmissionSettings(queue_per_slot=1.0, service_time_guess=0.05)
        self.queue = AdmissionQueue(options, self.limit, 4, random.Random(3))
        self.tickets, self.waiting, self.running = {}, set(), set()

    def admit(self, name):
        rank = self.tickets[name].importance
        assert all(self.tickets[other].importance >= rank for other in self.waiting)
        assert len(self.running) < self.limit.slots
        assert self.tickets[name].deadline > self.now
        self.running.add(name)

    def apply(self, changes):
        for refused, refusal in changes.refused:
            assert refusal.ran is Ran.NOT_RUN
            self.waiting.remove(refused.request_id)
        for admitted in changes.admitted:
            self.waiting.remove(admitted.request_id)
            self.admit(admitted.request_id)

    @rule(
        account=st.sampled_from("abc"),
        importance=st.sampled_from(Importance),
        seconds_left=st.sampled_from([0.0, 0.04, 0.2, 1.0, 30.0]),
    )
    def offer(self, account, importance, seconds_left):
        name = str(len(self.tickets))
        offered = ticket(name, importance, account, self.now + seconds_left)
        self.tickets[name] = offered
        offer = self.queue.offer(offered, self.now)
        self.apply(offer.changes)
        if isinstance(offer.decision, Admitted):
            self.admit(name)
        elif isinstance(offer.decision, Queued):
            self.waiting.add(name)

    @rule(pick=st.integers(0, 99), outcome=st.sampled_from(Outcome))
    def finish(self, pick, outcome):
        names = sorted(self.tickets)
        if names:
            name = names[pick % len(names)]
            self.running.discard(name)
            self.apply(self.queue.finish(name, self.now, outcome, 0.05))

    @rule(pick=st.integers(0, 99))
    def cancel(self, pick):
        names = sorted(self.running | self.waiting)
        if names:
            name = names[pick % len(names)]
            self.running.discard(name)
            self.waiting.discard(name)
            self.apply(self.queue.cancel(name, self.now))

    @rule(seconds=st.sampled_from([0.01, 0.1, 1.0]), slots=st.integers(1, 4))
    def pass_time(self, seconds, slots):
        self.now += seconds
        self.limit.slots = slots
        self.apply(self.queue.poll(self.now))

    @invariant()
    def counts_agree(self):
        assert self.queue.in_flight == len(self.running)
        assert self.queue.queued == len(self.waiting) <= self.queue.capacity
        assert sum(map(len, self.queue.class_queues)) == len(self.waiting)
        deadlines = [self.tickets[name].deadline for name in self.waiting]
        assert self.queue.next_deadline() == min(deadlines, default=None)
        free = len(self.running) < self.limit.slots
        assert not (free and self.waiting)


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


def test_freed_slot_goes_to_the_most_important_waiting_request():
    queue = make_queue()
    queue.offer(ticket("run"), 0.0)
    for name, importance in (
        ("low", SHEDDABLE),
        ("mid", NORMAL),
        ("high", CRITICAL),
    ):
        assert isinstance(queue.offer(ticket(name, importance), 0.0).decision, Queued)
    order, running = [], "run"
    for _ in range(3):
        [admitted] = finish(queue, running, 0.1).admitted
        running = admitted.request_id
        order.append(running)
    assert order == ["high", "mid", "low"]

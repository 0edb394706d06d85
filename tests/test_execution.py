"""Order of the queue beside a target: whose requests wait for whom."""

import random

from carawaywheel.admission import AdmissionQueue, Admitted, Queued
from carawaywheel.fairness import Ticket
from carawaywheel.limits import FixedLimit
from carawaywheel.mesh.execution import queue_importance
from carawaywheel.mesh.messages import Call
from carawaywheel.refusals import Importance, Outcome
from carawaywheel.settings import AdmissionSettings


def call(priority, from_target=False):
    return Call(
        "a", "s", "r", 1.0, priority, "", "o", from_target, False, False, True, 1
    )


def test_calls_of_targets_do_not_pass_the_second_rank():
    queue = AdmissionQueue(
        AdmissionSettings(fair=False), FixedLimit(1), 10, random.Random(1)
    )

    def offer(name, item, account):
        ticket = Ticket(name, account, queue_importance(item), 100.0)
        return queue.offer(ticket, 0.0).decision

    assert isinstance(offer("running", call(1), "mill"), Admitted)
    assert isinstance(offer("read", call(1), "mill"), Queued)
    for index in range(3):
        offer(f"call-{index}", call(2, from_target=True), "")
    offer("order", call(0), "county")
    order = []
    running = "running"
    for _ in range(5):
        changes = queue.finish(running, 0.1, Outcome.OK, 0.05)
        running = changes.admitted[0].request_id
        order.append(running)
    assert order == ["order", "read", "call-0", "call-1", "call-2"]


def test_ranks_beyond_the_last_importance_are_the_last():
    assert queue_importance(call(7)) is Importance.SHEDDABLE
    assert queue_importance(call(0)) is Importance.CRITICAL

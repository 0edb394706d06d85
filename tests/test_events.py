import random

from hypothesis import given, settings
from hypothesis import strategies as st

from carawaywheel.causality import CausalOrder
from carawaywheel.events import (
    SEQUENCES_PER_INCARNATION,
    Event,
    EventBuffer,
    EventFilter,
    EventKind,
    RetentionClass,
    decode_events,
    encode_events,
    merge_events,
)
from carawaywheel.refusals import Importance, Ran, Reason

CAPACITY = 64_000
SAMPLED_ID = "0" * 32
OTHER_ID = "f" * 32


def history(rng, nodes, steps):
    """Return events in their true order, with clocks that are wrong by seconds."""
    skew = {f"n{i}": rng.uniform(-5, 5) for i in range(nodes)}
    buffers = {node: EventBuffer(node, 1 << 30) for node in skew}
    waiting, order = [], []
    kinds = {
        EventKind.SENT: EventKind.RECEIVED,
        EventKind.ANSWERED: EventKind.COMPLETED,
    }
    for step in range(steps):
        node = rng.choice(sorted(skew))
        choice = rng.random()
        kind, attempt, causes = EventKind.LOG_STATE, "", ()
        if choice < 0.4:
            kind, attempt = rng.choice(list(kinds)), f"a{step}"
            waiting.append((kinds[kind], attempt))
        elif choice < 0.7 and waiting:
            kind, attempt = rng.choice(waiting)
        elif order:
            causes = (rng.choice(order).key,)
        now = step * 0.01 + skew[node]
        buffers[node].append(kind, now, step, attempt_id=attempt, causes=causes)
        order.append(buffers[node].events_from()[-1])
    return order


def effects_before_causes(merged):
    place = {event.key: i for i, event in enumerate(merged)}
    sent = {(e.kind, e.attempt_id): e.key for e in merged if e.attempt_id}
    receipts = {
        EventKind.RECEIVED: EventKind.SENT,
        EventKind.COMPLETED: EventKind.ANSWERED,
    }
    wrong = []
    for event in merged:
        causes = list(event.causes)
        causes.append((event.node_id, event.sequence - 1))
        if event.kind in receipts:
            causes.append(sent.get((receipts[event.kind], event.attempt_id)))
        wrong += [c for c in causes if place.get(c, -1) > place[event.key]]
    return wrong


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    nodes=st.integers(1, 5),
    steps=st.integers(0, 80),
    loss=st.floats(0, 0.5),
)
def test_no_effect_is_shown_before_its_cause(seed, nodes, steps, loss):
    """Guards against wrong clocks, lost and repeated events that confuse the order."""
    rng = random.Random(seed)
    kept = [event for event in history(rng, nodes, steps) if rng.random() >= loss]
    repeated = kept + [event for event in kept if rng.random() < 0.3]
    rng.shuffle(repeated)
    half = len(repeated) // 2
    merged = merge_events([repeated[:half], repeated[half:]])
    assert sorted(e.key for e in merged) == sorted(e.key for e in kept)
    assert effects_before_causes(merged) == []
    assert merge_events([kept]) == merged


def test_events_that_are_not_ordered_by_causes_are_ordered_by_time():
    """Guards against an order that is right but unreadable."""
    early = Event("n2", 0, 1.0, 0, EventKind.LOG_STATE)
    late = Event("n1", 0, 2.0, 0, EventKind.LOG_STATE)
    assert merge_events([[late], [early]]) == [early, late]


def test_a_cycle_of_wrong_causes_neither_hides_events_nor_reorders_a_node():
    """Guards against one wrong record that makes the time line empty or endless."""
    times = {("n1", 0): 1.0, ("n1", 1): 0.0, ("n2", 0): 2.0, ("n2", 1): 0.0}
    edges = [(("n1", 1), ("n2", 0)), (("n2", 1), ("n1", 0))]
    order = list(CausalOrder(times, edges))
    assert sorted(order) == sorted(times)
    assert order.index(("n1", 0)) < order.index(("n1", 1))
    assert order.index(("n2", 0)) < order.index(("n2", 1))


def test_ordinary_traffic_pushes_out_no_refusal_and_no_state_change():
    """Guards against a surge that erases the events which explain it."""
    buffer = EventBuffer("n1", CAPACITY)
    buffer.append(EventKind.LOG_STATE, 0, 0, detail="down")
    buffer.append(EventKind.REQUEST_REFUSED, 0, 0, OTHER_ID, reason=Reason.OVERLOAD)
    buffer.append(EventKind.SENT, 0, 0, SAMPLED_ID)
    for _ in range(1000):
        buffer.append(EventKind.SENT, 1, 1, OTHER_ID)
    kept = buffer.events_from()[:3]
    assert [event.sequence for event in kept] == [0, 1, 2]
    assert kept[2].request_id == SAMPLED_ID
    assert buffer.dropped == 0
    assert buffer.counts_by_kind[EventKind.SENT] == 1001


def test_the_buffer_is_bounded_and_counts_what_it_dropped():
    """Guards against a buffer that eats the memory of a host, or loses silently."""
    buffer = EventBuffer("n1", CAPACITY)
    for _ in range(1000):
        buffer.append(EventKind.SHED, 1, 1, OTHER_ID, detail="x" * 2000)
    assert buffer.rings[RetentionClass.OVERLOAD].held_bytes <= CAPACITY * 0.4
    kept = buffer.events_from()
    assert buffer.dropped == 1000 - len(kept)
    assert kept[-1].sequence == 999
    assert len(kept[-1].detail) <= 512


def test_since_returns_each_event_once_in_order_and_filtered():
    """Guards against a collector that misses events or gets them twice."""
    buffer = EventBuffer("n1", CAPACITY)
    for i in range(6):
        kind = EventKind.SENT if i % 2 else EventKind.TARGET_CHANGED
        buffer.append(kind, float(i), 0, OTHER_ID, account="ab"[i // 3], target="t")
    assert [event.sequence for event in buffer.events_from(2)] == [2, 3, 4, 5]
    for event_filter, sequences in [
        (EventFilter(account="b"), [3, 4, 5]),
        (EventFilter(request_id=SAMPLED_ID), []),
        (EventFilter(target="t", begin=1.0, end=3.0), [1, 2]),
        (EventFilter(key_id="k"), []),
    ]:
        found = buffer.events_from(0, event_filter)
        assert [event.sequence for event in found] == sequences


def test_a_restarted_node_goes_on_after_the_numbers_of_its_last_incarnation():
    """Guards against a replaced host whose events take the place of older ones."""
    first, second = EventBuffer("n1", CAPACITY), EventBuffer("n1", CAPACITY, 1)
    first.append(EventKind.NODE_STARTED, 9.0, 0)
    second.append(EventKind.NODE_STARTED, 1.0, 0)
    merged = merge_events([second.events_from(), first.events_from()])
    assert [e.sequence for e in merged] == [0, SEQUENCES_PER_INCARNATION]


def test_keys_are_taken_out_and_events_survive_the_wire():
    """Guards against a key in a report, and against fields lost between nodes."""
    buffer = EventBuffer("n1", CAPACITY)
    buffer.append(
        EventKind.KEY_REFUSED,
        1.5,
        2.5,
        OTHER_ID,
        importance=Importance.CRITICAL,
        reason=Reason.KEY_UNKNOWN,
        ran=Ran.NOT_RUN,
        detail="unknown key cw_Ab-c_9 was sent",
        causes=(("n2", 7),),
    )
    assert "cw_" not in buffer.events_from()[0].detail
    assert decode_events(encode_events(buffer.events_from())) == buffer.events_from()

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


def random_history(rng, nodes, steps):
    """Return events in their true order, with clocks that are off by up to 5 s."""
    skew = {f"n{i}": rng.uniform(-5, 5) for i in range(nodes)}
    buffers = {node: EventBuffer(node, 1 << 30) for node in skew}
    in_transit, history = [], []
    receipt_kinds = {
        EventKind.SENT: EventKind.RECEIVED,
        EventKind.ANSWERED: EventKind.COMPLETED,
    }
    for step in range(steps):
        node = rng.choice(sorted(skew))
        choice = rng.random()
        kind, attempt, causes = EventKind.LOG_STATE, "", ()
        if choice < 0.4:
            kind, attempt = rng.choice(list(receipt_kinds)), f"a{step}"
            in_transit.append((receipt_kinds[kind], attempt))
        elif choice < 0.7 and in_transit:
            kind, attempt = rng.choice(in_transit)
        elif history:
            causes = (rng.choice(history).key,)
        now = step * 0.01 + skew[node]
        buffers[node].append(kind, now, step, attempt_id=attempt, causes=causes)
        history.append(buffers[node].events_from()[-1])
    return history


def causes_after_effects(merged):
    """Return the keys of causes that a merge puts after their effects."""
    index = {event.key: i for i, event in enumerate(merged)}
    sent = {(e.kind, e.attempt_id): e.key for e in merged if e.attempt_id}
    sending_kinds = {
        EventKind.RECEIVED: EventKind.SENT,
        EventKind.COMPLETED: EventKind.ANSWERED,
    }
    misplaced = []
    for event in merged:
        causes = list(event.causes)
        causes.append((event.node_id, event.sequence - 1))
        if event.kind in sending_kinds:
            causes.append(sent.get((sending_kinds[event.kind], event.attempt_id)))
        misplaced += [c for c in causes if index.get(c, -1) > index[event.key]]
    return misplaced


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    nodes=st.integers(1, 5),
    steps=st.integers(0, 80),
    loss=st.floats(0, 0.5),
)
def test_merge_puts_no_effect_before_its_cause(seed, nodes, steps, loss):
    """Guards against clock skew and lost or duplicate events that break the order."""
    rng = random.Random(seed)
    kept = [
        event for event in random_history(rng, nodes, steps) if rng.random() >= loss
    ]
    duplicated = kept + [event for event in kept if rng.random() < 0.3]
    rng.shuffle(duplicated)
    half = len(duplicated) // 2
    merged = merge_events([duplicated[:half], duplicated[half:]])
    assert sorted(e.key for e in merged) == sorted(e.key for e in kept)
    assert causes_after_effects(merged) == []
    assert merge_events([kept]) == merged


def test_concurrent_events_are_ordered_by_time():
    """Guards against a causal order that ignores the times of concurrent events."""
    early = Event("n2", 0, 1.0, 0, EventKind.LOG_STATE)
    late = Event("n1", 0, 2.0, 0, EventKind.LOG_STATE)
    assert merge_events([[late], [early]]) == [early, late]


def test_a_causal_cycle_neither_drops_events_nor_reorders_a_node():
    """Guards against invalid causes that make the timeline empty or endless."""
    times = {("n1", 0): 1.0, ("n1", 1): 0.0, ("n2", 0): 2.0, ("n2", 1): 0.0}
    edges = [(("n1", 1), ("n2", 0)), (("n2", 1), ("n1", 0))]
    order = list(CausalOrder(times, edges))
    assert sorted(order) == sorted(times)
    assert order.index(("n1", 0)) < order.index(("n1", 1))
    assert order.index(("n2", 0)) < order.index(("n2", 1))


def test_normal_progress_evicts_no_refusal_and_no_state_change():
    """Guards against a surge that evicts the events which explain it."""
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


def test_the_buffer_is_bounded_and_counts_evicted_events():
    """Guards against unbounded memory, and against evictions that are not counted."""
    buffer = EventBuffer("n1", CAPACITY)
    for _ in range(1000):
        buffer.append(EventKind.SHED, 1, 1, OTHER_ID, detail="x" * 2000)
    assert buffer.rings[RetentionClass.OVERLOAD].size_bytes <= CAPACITY * 0.4
    kept = buffer.events_from()
    assert buffer.dropped == 1000 - len(kept)
    assert kept[-1].sequence == 999
    assert len(kept[-1].detail) <= 512


def test_events_from_returns_each_matching_event_once_in_order():
    """Guards against missing or duplicate events when a collector reads a buffer."""
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


def test_sequence_numbers_of_an_incarnation_follow_those_of_the_last_one():
    """Guards against a replaced host whose events overwrite those from before."""
    first, second = EventBuffer("n1", CAPACITY), EventBuffer("n1", CAPACITY, 1)
    first.append(EventKind.NODE_STARTED, 9.0, 0)
    second.append(EventKind.NODE_STARTED, 1.0, 0)
    merged = merge_events([second.events_from(), first.events_from()])
    assert [e.sequence for e in merged] == [0, SEQUENCES_PER_INCARNATION]


def test_api_keys_are_redacted_and_encoding_keeps_all_fields():
    """Guards against API keys in reports, and against fields lost between nodes."""
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

"""Bound on the age of the configuration, whatever keeps the readers from telling it."""

import random

import curio
import pytest

from bench.mesh import SimulatedFleet
from carawaywheel.mesh.replication.freshness import (
    MAX_BACKOFF_SECONDS,
    READ_SPREAD_SECONDS,
    READ_STORE_SECONDS,
    REPLACE_READERS_SECONDS,
    Freshness,
    Step,
)

# config_apply_s of the strictest deployments.
APPLY_SECONDS = 2.0
SIZE = 20
# Sixty times the 4 ms of a sound store.
SLOW_STORE_SECONDS = 0.24


def make_freshness(now=10.0):
    freshness = Freshness(random.Random(1), now)
    freshness.confirm(now)
    return freshness


def test_stale_configuration_is_confirmed_by_other_readers_and_then_by_the_store():
    freshness = make_freshness()
    latest = READ_STORE_SECONDS + READ_SPREAD_SECONDS
    ages = [hundredths / 100 for hundredths in range(int(100 * latest) + 2)]
    steps = {age: freshness.next_step(10.0 + age) for age in ages}
    taken = {age: step for age, step in steps.items() if step is not Step.NONE}
    assert list(taken.values()) == [Step.REPLACE_READERS, Step.READ_STORE]
    first, second = taken
    assert first == pytest.approx(REPLACE_READERS_SECONDS, abs=0.011)
    assert READ_STORE_SECONDS <= second <= latest + 0.01
    assert freshness.is_stale
    freshness.confirm(11.9)
    assert not freshness.is_stale and freshness.next_step(12.0) is Step.NONE


def test_store_that_does_not_answer_is_read_ever_less_often():
    freshness, reads = make_freshness(), []
    for tenths in range(100, 1000):
        if freshness.next_step(tenths / 10) is Step.READ_STORE:
            reads.append(tenths / 10)
    pauses = [later - earlier for earlier, later in zip(reads, reads[1:], strict=False)]
    assert pauses[:4] == pytest.approx([1.0, 2.0, 4.0, 8.0], abs=0.11)
    assert max(pauses) <= MAX_BACKOFF_SECONDS + 0.2


def test_confirmation_of_a_newer_version_counts_once_that_version_is_known():
    """Guards against a node that believes itself up to date while a fetch hangs."""
    freshness = make_freshness()
    freshness.record_report("a", 5, 4, 11.0)
    assert freshness.confirmed_at == 10.0
    freshness.apply_reports(4)
    assert freshness.confirmed_at == 10.0
    freshness.apply_reports(5)
    assert freshness.confirmed_at == 11.0


def test_late_report_does_not_make_the_configuration_older():
    freshness = make_freshness()
    freshness.record_report("a", 4, 4, 9.0)
    assert freshness.confirmed_at == 10.0


def freeze(fleet, addresses):
    fleet.frozen |= set(addresses)


def kill(fleet, addresses):
    for address in addresses:
        del fleet.nodes[address]


def mute(fleet, addresses):
    fleet.muted |= set(addresses)


def cut_silently(fleet, addresses):
    for address in addresses:
        fleet.nodes[address].store_link.fault = "silent"


def turn_away(fleet, addresses):
    for address in addresses:
        fleet.nodes[address].store_link.fault = "refused"


async def start_fleet(seconds):
    """Return a fleet that has run for some seconds with its first configuration."""
    fleet = SimulatedFleet(SIZE, 7)
    for number in range(SIZE):
        fleet.start(number, first_start=True)
    fleet.publish_configuration(1)
    await fleet.run(seconds)
    return fleet


def first_readers(fleet, count):
    """Return the readers, the nodes that stand in for them, and then any others."""
    node = next(iter(fleet.nodes.values()))
    rankings = [choice.ranking for choice in node.synchronizer.choices]
    by_rank = [address for rank in zip(*rankings, strict=True) for address in rank]
    return list(dict.fromkeys(fleet.readers() + by_rank + list(fleet.nodes)))[:count]


def times_to_learn(fleet, version):
    return fleet.times_to_learn(
        lambda directory: directory.configuration_version == version, 10.0
    )


async def change_in_trouble(trouble, count, phase, seconds):
    """Publish a configuration some time after nodes got into trouble.

    Args:
        trouble: Brings nodes into trouble.
        count: Number of these nodes: the readers, and those that stand in for them.
        phase: Seconds by which the trouble comes later.
        seconds: Time from the trouble to the change; negative for before it.

    Returns:
        Seconds until the last of the other nodes knew the change.
    """
    fleet = await start_fleet(8.0 + phase)
    affected = first_readers(fleet, count)
    if seconds >= 0:
        trouble(fleet, affected)
        await fleet.run(seconds)
    fleet.publish_configuration(2)
    if seconds < 0:
        await fleet.run(-seconds)
        trouble(fleet, affected)
    times = await times_to_learn(fleet, 2)
    return times[-1] - min(0.0, seconds)


async def changes_with_slow_store(trouble, phase, gap, seconds):
    """Publish two configurations, then bring seven nodes into trouble.

    Args:
        trouble: Brings nodes into trouble.
        phase: Seconds by which all of it comes later.
        gap: Time between the configurations in seconds.
        seconds: Time from the second one to the trouble.

    Returns:
        Seconds until the last of the other nodes knew the second one.
    """
    fleet = await start_fleet(8.0 + phase)
    for node in fleet.nodes.values():
        node.store_link.delay = SLOW_STORE_SECONDS
    await fleet.run(3.0)
    affected = first_readers(fleet, 7)
    fleet.publish_configuration(2)
    await fleet.run(gap)
    fleet.publish_configuration(3)
    await fleet.run(seconds)
    trouble(fleet, affected)
    times = await times_to_learn(fleet, 3)
    return times[-1] + seconds


@pytest.mark.parametrize("count", [2, 7])
@pytest.mark.parametrize("trouble", [freeze, kill, mute, cut_silently, turn_away])
def test_change_is_in_force_in_time_at_any_moment_of_the_loss_of_readers(
    trouble, count
):
    """Guards against timeouts that add up to more than the promised time."""
    for tenths in range(0, 10, 2):
        for seconds in (-0.1, 0.0, 0.1, 0.3, 0.7, 1.1, 1.4, 1.8):
            last = curio.run(change_in_trouble, trouble, count, tenths / 10, seconds)
            assert last <= APPLY_SECONDS, f"phase {tenths / 10}, change at {seconds}"


@pytest.mark.parametrize("trouble", [freeze, cut_silently])
def test_change_right_after_another_is_in_force_in_time_with_a_slow_store(trouble):
    """Guards against a confirmation that counts from the arrival of a late response."""
    for tenths in range(0, 10, 2):
        for gap in (0.02, 0.1, 0.2):
            for seconds in (0.06, 0.26, 0.4, 0.6):
                last = curio.run(
                    changes_with_slow_store, trouble, tenths / 10, gap, seconds
                )
                assert last <= APPLY_SECONDS, f"phase {tenths / 10}, {gap}, {seconds}"


async def change_as_a_follower_stands_still(phase, seconds):
    """Publish a configuration as the readers stop for good and a node for some time.

    Args:
        phase: Seconds by which all of it comes later.
        seconds: Time until the node goes on, with the datagrams that have arrived.

    Returns:
        Seconds from the change until this node knew it.
    """
    fleet = await start_fleet(8.0 + phase)
    freeze(fleet, [first_readers(fleet, SIZE)[-1]])
    follower = set(fleet.frozen)
    await fleet.run(0.3)
    fleet.publish_configuration(2)
    freeze(fleet, fleet.readers())
    await fleet.run(seconds)
    fleet.frozen -= follower
    times = await times_to_learn(fleet, 2)
    return times[-1] + seconds


def test_node_that_stood_still_does_not_believe_the_statuses_that_waited_for_it():
    """Guards against an age that counts from the time at which a status is read."""
    for tenths in range(10):
        for seconds in (0.5, 0.9, 1.3, 1.7):
            last = curio.run(change_as_a_follower_stands_still, tenths / 10, seconds)
            assert last <= APPLY_SECONDS, f"phase {tenths / 10}, {seconds}"

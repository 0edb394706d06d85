import heapq
import random

import pytest

from carawaywheel.limits import AdaptiveLimit, FixedLimit
from carawaywheel.refusals import Outcome
from carawaywheel.settings import LimitSettings

SLOTS = 100


class Target:
    """Saturated target: always has as many requests in flight as the limit.

    Its processor serves ``cores`` requests of ``work`` seconds at full speed and
    shares itself among more; ``delay`` is spent in a dependency. Above ``accepts``
    requests, and at random with ``shed``, it sheds.
    """

    def __init__(self, limit, **traits):
        self.limit = limit
        self.rng = random.Random(5)
        self.now = 0.0
        self.work, self.cores, self.delay = 0.05, SLOTS, 0.0
        self.accepts, self.shed, self.load = SLOTS, 0.0, SLOTS
        self.heap, self.accepted = [], 0
        self.set(**traits)

    def set(self, **traits):
        vars(self).update(traits)

    def start(self):
        shed = self.accepted >= self.accepts or self.rng.random() < self.shed
        if shed:
            heapq.heappush(self.heap, (self.now + 0.001, Outcome.SHED, self.now))
            return
        self.accepted += 1
        busy = self.work * max(1.0, self.accepted / self.cores)
        length = busy * self.rng.uniform(0.5, 1.5) + self.delay
        if self.rng.random() < 0.02:
            length += 1.0
        heapq.heappush(self.heap, (self.now + length, Outcome.OK, self.now))

    def run(self, seconds):
        """Run for a while; return (served, shed, lowest limit, highest limit)."""
        end, limits = self.now + seconds, []
        counts = {Outcome.OK: 0, Outcome.SHED: 0}
        while self.now < end:
            limits.append(self.limit.limit(self.now))
            while len(self.heap) < min(self.load, limits[-1]):
                self.start()
            self.now, outcome, started = self.heap[0]
            self.limit.record(self.now, self.now - started, outcome, len(self.heap))
            heapq.heappop(self.heap)
            self.accepted -= outcome is Outcome.OK
            counts[outcome] += 1
        return counts[Outcome.OK], counts[Outcome.SHED], min(limits), max(limits)


def make_limit(cold_until=0.0):
    return AdaptiveLimit(LimitSettings(), SLOTS, cold_until, 0.0)


def test_fixed_limit_ignores_measurements():
    """Guards against a baseline of the benchmark that adapts."""
    limit = FixedLimit(7)
    limit.record(1.0, 9.0, Outcome.SHED, 7)
    assert limit.limit(2.0) == 7


def test_cold_target_starts_at_a_share_and_grows_within_5_s():
    """Guards against a cold target that is flooded, or never used in full."""
    target = Target(make_limit(cold_until=10.0))
    assert target.limit.limit(0.0) == 25
    target.run(4.0)
    assert target.limit.limit(4.0) >= 95


def test_limit_keeps_near_a_target_that_is_slow_while_cold():
    """Guards against a latency many times the one that the target can give."""
    target = Target(make_limit(cold_until=10.0), cores=10)
    served, _, _, highest = target.run(10.0)
    assert highest <= 60
    target.set(cores=SLOTS)
    target.run(5.0)
    assert target.limit.limit(target.now) >= 90


def test_slow_dependency_does_not_collapse_the_limit():
    """Guards against slots taken away when concurrency is not the cause."""
    target = Target(make_limit())
    target.run(5.0)
    target.set(delay=0.5)
    target.run(5.0)
    served, _, lowest, _ = target.run(30.0)
    assert lowest >= 70
    assert served >= 0.95 * 30.0 * SLOTS / 0.57


def test_limit_falls_to_what_a_loaded_target_can_do():
    """Guards against requests that pile up in a target that lost its speed."""
    target = Target(make_limit())
    target.run(5.0)
    target.set(cores=20)
    target.run(6.0)
    served, _, lowest, highest = target.run(20.0)
    assert served >= 0.9 * 20 * 20.0 / (0.05 + 0.02)
    assert highest <= 65
    assert lowest >= 15


def test_limit_follows_a_target_that_sheds_and_recovers_within_5_s():
    """Guards against a queue that drains into a target that sheds."""
    target = Target(make_limit())
    target.run(5.0)
    target.set(accepts=30)
    target.run(2.0)
    served, shed, lowest, _ = target.run(10.0)
    assert shed <= 0.05 * served
    assert served >= 0.9 * 10.0 * 30 / 0.07
    assert lowest >= 15
    target.set(accepts=SLOTS)
    target.run(5.0)
    assert target.limit.limit(target.now) >= 90


def test_sheds_that_concurrency_does_not_cause_leave_the_limit():
    """Guards against a limit that falls although cuts change nothing."""
    target = Target(make_limit(), shed=0.2)
    target.run(5.0)
    served, _, _, _ = target.run(20.0)
    assert served >= 0.7 * 20.0 * SLOTS / 0.07


@pytest.mark.parametrize("cores", [SLOTS, 30])
def test_downloads_and_light_load_do_not_lower_the_limit(cores):
    """Guards against a limit that falls because of a few long requests."""
    target = Target(make_limit(), cores=cores, load=25)
    _, _, lowest, _ = target.run(40.0)
    assert lowest == SLOTS


def test_limit_comes_back_within_5_s_of_a_deep_loss_of_speed():
    """Guards against a search for the knee that goes on after the recovery."""
    target = Target(make_limit())
    target.run(5.0)
    target.set(cores=5)
    target.run(14.0)
    assert target.limit.limit(target.now) <= 40
    target.set(cores=SLOTS)
    target.run(4.0)
    served, _, _, _ = target.run(1.0)
    assert served >= 0.95 * SLOTS / 0.07


def test_a_baseline_learned_under_overload_is_measured_again():
    """Guards against a start under overload that is taken for normal latency."""
    target = Target(make_limit(), cores=10)
    target.run(60.0)
    assert target.limit.limit(target.now) <= 60


def test_light_load_counts_as_a_measured_baseline():
    """Guards against a trial that costs throughput at the start of a surge."""
    target = Target(make_limit(), load=25)
    target.run(10.0)
    target.set(load=SLOTS)
    _, _, lowest, _ = target.run(10.0)
    assert lowest == SLOTS


def test_trials_of_several_nodes_start_at_different_times():
    """Guards against nodes of a service that all cut their limits at once."""
    cut_at = set()
    for seed in range(8):
        rng = random.Random(seed)
        limit = AdaptiveLimit(LimitSettings(), SLOTS, 0.0, 0.0, rng)
        target = Target(limit, cores=20)
        while target.limit.limit(target.now) == SLOTS:
            target.run(0.5)
        cut_at.add(round(target.now))
    assert len(cut_at) >= 4

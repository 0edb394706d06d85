import heapq
import random

import pytest

from carawaywheel.limits import AdaptiveLimit, FixedLimit
from carawaywheel.refusals import Outcome
from carawaywheel.settings import LimitSettings

SLOTS = 100


class Target:
    """Simulated target whose callers use the limit up to ``concurrency`` requests.

    Its processor serves ``cores`` requests of ``service_time`` seconds at full speed
    and is shared among more. Each request spends ``delay`` seconds in a dependency,
    and 2% are downloads that take 1 s longer. The target sheds requests beyond
    ``accepted_max``, and others at random with ``shed_probability``.
    """

    def __init__(self, limit, **options):
        self.limit = limit
        self.rng = random.Random(5)
        self.now = 0.0
        self.service_time, self.cores, self.delay = 0.05, SLOTS, 0.0
        self.accepted_max, self.shed_probability, self.concurrency = SLOTS, 0.0, SLOTS
        self.completions, self.accepted = [], 0
        self.set(**options)

    def set(self, **options):
        vars(self).update(options)

    def start(self):
        is_shed = (
            self.accepted >= self.accepted_max
            or self.rng.random() < self.shed_probability
        )
        if is_shed:
            heapq.heappush(self.completions, (self.now + 0.001, Outcome.SHED, self.now))
            return
        self.accepted += 1
        work = self.service_time * max(1.0, self.accepted / self.cores)
        duration = work * self.rng.uniform(0.5, 1.5) + self.delay
        if self.rng.random() < 0.02:
            duration += 1.0
        heapq.heappush(self.completions, (self.now + duration, Outcome.OK, self.now))

    def run(self, seconds):
        """Run for a time; return (served, shed, lowest limit, highest limit)."""
        end, limits = self.now + seconds, []
        counts = {Outcome.OK: 0, Outcome.SHED: 0}
        while self.now < end:
            limits.append(self.limit.limit(self.now))
            while len(self.completions) < min(self.concurrency, limits[-1]):
                self.start()
            self.now, outcome, started = self.completions[0]
            self.limit.record(
                self.now, self.now - started, outcome, len(self.completions)
            )
            heapq.heappop(self.completions)
            self.accepted -= outcome is Outcome.OK
            counts[outcome] += 1
        return counts[Outcome.OK], counts[Outcome.SHED], min(limits), max(limits)


def make_limit(cold_until=0.0):
    return AdaptiveLimit(LimitSettings(), SLOTS, cold_until, 0.0)


def test_fixed_limit_ignores_measurements():
    """Guards against a benchmark whose reference limit adapts."""
    limit = FixedLimit(7)
    limit.record(1.0, 9.0, Outcome.SHED, 7)
    assert limit.limit(2.0) == 7


def test_cold_target_starts_at_a_share_and_grows_within_5_s():
    """Guards against a cold target that is overloaded, or never fully used."""
    target = Target(make_limit(cold_until=10.0))
    assert target.limit.limit(0.0) == 25
    target.run(4.0)
    assert target.limit.limit(4.0) >= 95


def test_limit_stays_low_while_a_cold_target_is_slow():
    """Guards against a limit far above the capacity of a cold target.

    The latency would then be many times that at the right limit.
    """
    target = Target(make_limit(cold_until=10.0), cores=10)
    served, _, _, highest = target.run(10.0)
    assert highest <= 60
    target.set(cores=SLOTS)
    target.run(5.0)
    assert target.limit.limit(target.now) >= 90


def test_slow_dependency_does_not_collapse_the_limit():
    """Guards against a lower limit when concurrency does not cause the latency."""
    target = Target(make_limit())
    target.run(5.0)
    target.set(delay=0.5)
    target.run(5.0)
    served, _, lowest, _ = target.run(30.0)
    assert lowest >= 70
    assert served >= 0.95 * 30.0 * SLOTS / 0.57


def test_limit_falls_to_the_capacity_of_a_slowed_target():
    """Guards against requests that accumulate in a target that became slower."""
    target = Target(make_limit())
    target.run(5.0)
    target.set(cores=20)
    target.run(6.0)
    served, _, lowest, highest = target.run(20.0)
    assert served >= 0.9 * 20 * 20.0 / (0.05 + 0.02)
    assert highest <= 65
    assert lowest >= 15


def test_limit_follows_a_target_that_sheds_and_recovers_within_5_s():
    """Guards against a queue that is drained into a target that sheds."""
    target = Target(make_limit())
    target.run(5.0)
    target.set(accepted_max=30)
    target.run(2.0)
    served, shed, lowest, _ = target.run(10.0)
    assert shed <= 0.05 * served
    assert served >= 0.9 * 10.0 * 30 / 0.07
    assert lowest >= 15
    target.set(accepted_max=SLOTS)
    target.run(5.0)
    assert target.limit.limit(target.now) >= 90


def test_random_sheds_do_not_lower_the_limit():
    """Guards against a limit that keeps falling although cuts do not help."""
    target = Target(make_limit(), shed_probability=0.2)
    target.run(5.0)
    served, _, _, _ = target.run(20.0)
    assert served >= 0.7 * 20.0 * SLOTS / 0.07


@pytest.mark.parametrize("cores", [SLOTS, 30])
def test_downloads_and_light_load_do_not_lower_the_limit(cores):
    """Guards against a limit lowered because of a few long requests."""
    target = Target(make_limit(), cores=cores, concurrency=25)
    _, _, lowest, _ = target.run(40.0)
    assert lowest == SLOTS


def test_limit_recovers_within_5_s_after_a_severe_slowdown():
    """Guards against trials that go on lowering the limit after a recovery."""
    target = Target(make_limit())
    target.run(5.0)
    target.set(cores=5)
    target.run(14.0)
    assert target.limit.limit(target.now) <= 40
    target.set(cores=SLOTS)
    target.run(4.0)
    served, _, _, _ = target.run(1.0)
    assert served >= 0.95 * SLOTS / 0.07


def test_baseline_measured_under_overload_is_measured_again():
    """Guards against the latency of a start under overload as the baseline."""
    target = Target(make_limit(), cores=10)
    target.run(60.0)
    assert target.limit.limit(target.now) <= 60


def test_light_load_measures_the_baseline():
    """Guards against a needless trial that costs throughput as a surge starts."""
    target = Target(make_limit(), concurrency=25)
    target.run(10.0)
    target.set(concurrency=SLOTS)
    _, _, lowest, _ = target.run(10.0)
    assert lowest == SLOTS


def test_trials_of_several_nodes_start_at_different_times():
    """Guards against nodes of a service that all cut their limits together."""
    first_cuts = set()
    for seed in range(8):
        rng = random.Random(seed)
        limit = AdaptiveLimit(LimitSettings(), SLOTS, 0.0, 0.0, rng)
        target = Target(limit, cores=20)
        while target.limit.limit(target.now) == SLOTS:
            target.run(0.5)
        first_cuts.add(round(target.now))
    assert len(first_cuts) >= 4

"""Concurrency limit of one target, adapted to observed latencies and sheds."""

import random
from abc import ABC, abstractmethod
from typing import NamedTuple

from .refusals import Outcome
from .settings import LimitSettings

MIN_WINDOW_SAMPLES = 10
# The median of 100 samples is accurate to about 5%, a trial cuts the limit by 25%.
MIN_TRIAL_SAMPLES = 100
MAX_WINDOW_SECONDS = 1.0
# Kept short, because a node that starts under overload takes the high latency that it
# finds as the baseline until the first trial.
FIRST_TRIAL_DELAY_SECONDS = 2.0
# Probability that a trial starts in a window with high latency.
SLOW_TRIAL_PROBABILITY = 0.2
# Probability that a trial starts in a window after the trial interval has elapsed.
DUE_TRIAL_PROBABILITY = 0.03
# Mean requests in flight, as a share of the limit, above which the limit is in use.
MIN_USED_SHARE = 0.8
# Drop of latency relative to the drop of requests in flight above which concurrency
# counts as the cause of the latency. The ratio is 0 for a slow dependency and 1 for a
# target that shares its processor among requests.
MIN_LATENCY_RESPONSE = 0.7
# The same ratio above which the cut does not explain the drop: the target recovered.
RECOVERY_LATENCY_RESPONSE = 2.0
# Drop of requests in flight, as a share, below which a trial is inconclusive.
MIN_TRIAL_CUT = 0.05
# Relative change of latency between windows below which it is steady. A trial that
# starts while latency still rises would find that a cut does not help.
MAX_STEADY_CHANGE = 0.2
# Smallest share of the limit that remains after one cut because of sheds.
MIN_KEPT_SHARE = 0.3
# Cuts do not help against a target that sheds at random: it sheds the same share after
# each one. If this still is so after more than this many cuts, and the limit is at most
# DEEP_CUT_SHARE of its value before them, that value is restored and sheds are ignored
# for some time.
MAX_INEFFECTIVE_CUTS = 3
DEEP_CUT_SHARE = 0.6
SHEDS_IGNORED_SECONDS = 30.0


class ConcurrencyLimit(ABC):
    """Limit of the requests that a target serves concurrently."""

    @abstractmethod
    def limit(self, now: float) -> int:
        """Return the present limit in slots, at least 1."""

    @abstractmethod
    def record(
        self, now: float, latency: float, outcome: Outcome, in_flight: int
    ) -> None:
        """Record a finished request.

        Args:
            now: Time at which it finished, in seconds.
            latency: Seconds that it occupied a slot.
            outcome: How it ended.
            in_flight: Requests in flight just before, including this one.
        """


class FixedLimit(ConcurrencyLimit):
    """Concurrency limit that never changes."""

    def __init__(self, slots: int) -> None:
        self.slots = slots

    def limit(self, now: float) -> int:
        """Return the fixed number of slots."""
        return self.slots

    def record(
        self, now: float, latency: float, outcome: Outcome, in_flight: int
    ) -> None:
        """Ignore the finished request."""


class SampleWindow:
    """Samples of the requests that finished within a short time.

    Attributes:
        started_at: Time at which the window began, in seconds.
        latencies: Latency of each served request, in seconds.
        busy_seconds: Sum of the latencies, in seconds.
        shed_count: Number of requests that the target shed.
        in_flight_sum: Sum of the requests in flight at each sample.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.latencies: list[float] = []
        self.busy_seconds = 0.0
        self.shed_count = 0
        self.in_flight_sum = 0

    def add(self, latency: float, outcome: Outcome, in_flight: int) -> None:
        """Add a finished request; failures and cancellations are ignored."""
        if outcome in (Outcome.OK, Outcome.TIMEOUT):
            self.latencies.append(latency)
            self.busy_seconds += latency
            self.in_flight_sum += in_flight
        elif outcome is Outcome.SHED:
            self.shed_count += 1
            self.in_flight_sum += in_flight

    @property
    def sample_count(self) -> int:
        """Number of requests that the target served or shed."""
        return len(self.latencies) + self.shed_count

    def is_over(self, now: float, min_seconds: float, min_samples: int) -> bool:
        """Return whether the window may be evaluated.

        A window lasts at least as long as an average request, so that most of its
        samples started under the present limit. After 1 s it may have fewer than
        ``min_samples``.
        """
        elapsed = now - self.started_at
        if elapsed < min_seconds or not self.sample_count:
            return False
        if self.sample_count < min_samples and elapsed < MAX_WINDOW_SECONDS:
            return False
        return not self.latencies or elapsed >= self.busy_seconds / len(self.latencies)

    def median(self) -> float:
        """Return the median latency in seconds.

        The median is robust against a few long downloads in the traffic.
        """
        ordered = sorted(self.latencies)
        return ordered[len(ordered) // 2]

    def mean_in_flight(self) -> float:
        """Return the mean number of requests in flight."""
        return self.in_flight_sum / self.sample_count

    def shed_share(self) -> float:
        """Return the share of requests that the target shed."""
        return self.shed_count / self.sample_count

    def mean_busy_slots(self, now: float) -> float:
        """Return the mean number of slots that did useful work (Little's law)."""
        return self.busy_seconds / max(now - self.started_at, 1e-9)


class LimitTrial(NamedTuple):
    """Temporary cut of the limit that tests whether concurrency causes the latency.

    Attributes:
        limit: Limit before the cut, in slots.
        latency: Median latency before the cut, in seconds.
        in_flight: Mean requests in flight before the cut.
        is_settled: Whether the window with requests from before the cut has ended.
    """

    limit: float
    latency: float
    in_flight: float
    is_settled: bool


class AdaptiveLimit(ConcurrencyLimit):
    """Limit that adapts to the present capacity of the target.

    The limit grows while it is in use and latency stays near the baseline. When
    latency rises, a trial cuts the limit for two windows. If latency falls with the
    requests in flight, concurrency was the cause: the cut is kept and another trial
    follows. Otherwise something else is slow, such as a dependency: the limit from
    before the cut is restored and the present latency becomes the baseline. Between
    trials high latency does not lower the limit below the knee that the last trial
    found.

    Sheds cut the limit to the slots that did useful work. The growth step doubles in
    each window, so that the limit recovers fast.

    Attributes:
        declared_slots: Upper bound, in slots.
        slots: Present limit in slots, not rounded.
        baseline: Lowest median latency since the last trial, in seconds, or None.
        shed_cap: Upper bound until the window ends, lowered by each shed, in slots.
        window: Samples since the last adjustment.
        trial: The trial in progress, or None.
        knee: Limit in slots below which the last trial lost throughput.
        previous_latency: Median latency of the last window in use, in seconds.
        last_trial_at: Time in seconds of the last trial, or of the last window in
            which the baseline was measured under light load.
        growth_step: Largest number of slots added in the next window.
        consecutive_cuts: Cuts because of sheds, in windows that follow each other.
        highest_shed_share: Highest share of sheds during these cuts.
        slots_before_cuts: Limit before the first of these cuts, in slots.
        sheds_ignored_until: Time in seconds until which sheds cause no cut, unless
            their share more than doubles.
    """

    def __init__(
        self,
        settings: LimitSettings,
        declared_slots: int,
        cold_until: float,
        now: float,
        rng: random.Random | None = None,
    ) -> None:
        """Start at the declared slots, or at a share of them if the target is cold.

        Args:
            settings: Settings of the limit.
            declared_slots: Slots that the target declared.
            cold_until: Time until which the target is cold, in seconds.
            now: Time in seconds.
            rng: Random source that spreads the trials of several nodes over time;
                without it a trial starts as soon as it is due.
        """
        self.settings = settings
        self.rng = rng
        self.declared_slots = max(1, declared_slots)
        share = settings.cold_start_share if now < cold_until else 1.0
        self.slots = self._clamp_slots(share * self.declared_slots)
        self.baseline: float | None = None
        self.shed_cap = float(self.declared_slots)
        self.window = SampleWindow(now)
        self.trial: LimitTrial | None = None
        self.knee = float(self.declared_slots)
        self.previous_latency = 0.0
        self.last_trial_at = now + FIRST_TRIAL_DELAY_SECONDS - settings.trial_interval
        self.growth_step = 1.0
        self.consecutive_cuts = 0
        self.highest_shed_share = 0.0
        self.slots_before_cuts = self.slots
        self.sheds_ignored_until = float("-inf")

    def limit(self, now: float) -> int:
        """Return the present limit in slots, at least 1."""
        return int(min(self.slots, self.shed_cap))

    def record(
        self, now: float, latency: float, outcome: Outcome, in_flight: int
    ) -> None:
        """Record a finished request and adjust the limit at the end of a window."""
        window = self.window
        window.add(latency, outcome, in_flight)
        if outcome is Outcome.SHED and now >= self.sheds_ignored_until:
            self._cap_after_shed(in_flight)
        min_samples = MIN_TRIAL_SAMPLES if self.trial else MIN_WINDOW_SAMPLES
        if window.is_over(now, self.settings.window, min_samples):
            self.window = SampleWindow(now)
            self.shed_cap = float(self.declared_slots)
            self._adjust(window, now)

    def _cap_after_shed(self, in_flight: int) -> None:
        """Keep the slot of a shed request empty until the window ends.

        A shed takes little time. If its slot were refilled at once, the shedding
        target would be sent the whole queue within one window.
        """
        lowest = self._clamp_slots(self.slots * MIN_KEPT_SHARE)
        self.shed_cap = max(lowest, min(self.shed_cap, in_flight - 1.0))

    def _adjust(self, window: SampleWindow, now: float) -> None:
        if window.shed_share() > self.settings.shed_tolerance:
            self._handle_sheds(window, now)
            return
        self.consecutive_cuts = 0
        if not window.latencies:
            return
        latency = window.median()
        if self.trial is not None:
            self._continue_trial(self.trial, window, latency, now)
            return
        self.baseline = min(latency, self.baseline or latency)
        if window.mean_in_flight() < MIN_USED_SHARE * int(self.slots):
            # Latency under light load is a valid baseline, so no trial is needed.
            self.growth_step = 1.0
            self.last_trial_at = now
            return
        slow = latency > self.settings.latency_tolerance * self.baseline
        due = now - self.last_trial_at >= self.settings.trial_interval
        steady = abs(latency - self.previous_latency) < MAX_STEADY_CHANGE * latency
        self.previous_latency = latency
        if slow and self.slots > self.knee:
            self._decrease_to_knee(latency / self.baseline)
        elif (slow and steady and self._draw(SLOW_TRIAL_PROBABILITY)) or (
            due and not slow and self._draw(DUE_TRIAL_PROBABILITY)
        ):
            self._start_trial(window, latency)
        elif slow:
            self.growth_step = 1.0
        else:
            self._increase(latency / self.baseline)

    def _increase(self, latency_ratio: float) -> None:
        """Raise the limit, by less the nearer latency is to the tolerated ratio."""
        tolerance = self.settings.latency_tolerance
        headroom = (tolerance - latency_ratio) / (tolerance - 1.0)
        largest_step = self.settings.growth * self.slots * headroom
        self.slots = self._clamp_slots(
            self.slots + min(self.growth_step, max(largest_step, 0.5))
        )
        self.growth_step *= 2.0

    def _decrease_to_knee(self, latency_ratio: float) -> None:
        """Lower the limit towards the knee that the last trial found."""
        factor = self.settings.latency_tolerance / latency_ratio
        factor = max(factor, 1.0 - self.settings.trial_cut)
        self.slots = max(self.knee, self.slots * factor)
        self.growth_step = 1.0

    def _draw(self, probability: float) -> bool:
        """Return True with the given probability.

        Simultaneous trials on all nodes of a service would cost throughput.
        """
        return self.rng is None or self.rng.random() < probability

    def _start_trial(self, window: SampleWindow, latency: float) -> None:
        self.trial = LimitTrial(self.slots, latency, window.mean_in_flight(), False)
        self.slots = self._clamp_slots(self.slots * (1.0 - self.settings.trial_cut))

    def _continue_trial(
        self, trial: LimitTrial, window: SampleWindow, latency: float, now: float
    ) -> None:
        if not trial.is_settled:
            self.trial = trial._replace(is_settled=True)
            return
        self.trial = None
        self.last_trial_at = now
        self.growth_step = 1.0
        in_flight_drop = 1.0 - window.mean_in_flight() / trial.in_flight
        latency_drop = 1.0 - latency / trial.latency
        if in_flight_drop < MIN_TRIAL_CUT:
            self.slots = trial.limit
            return
        if latency_drop < MIN_LATENCY_RESPONSE * in_flight_drop:
            self.slots = trial.limit
            self.knee = trial.limit
            self.baseline = latency
            return
        self.baseline = min(latency, self.baseline or latency)
        recovered = latency_drop > RECOVERY_LATENCY_RESPONSE * in_flight_drop
        if self.slots > self._clamp_slots(0.0) and not recovered:
            self._start_trial(window, latency)

    def _handle_sheds(self, window: SampleWindow, now: float) -> None:
        """Cut the limit to the slots that did useful work, unless cuts do not help."""
        self.trial = None
        self.growth_step = 1.0
        shed_share = window.shed_share()
        if (
            now < self.sheds_ignored_until
            and shed_share <= 2.0 * self.highest_shed_share
        ):
            return
        self.sheds_ignored_until = now
        if self.consecutive_cuts == 0:
            self.highest_shed_share = 0.0
            self.slots_before_cuts = self.slots
        self.consecutive_cuts += 1
        self.highest_shed_share = max(self.highest_shed_share, shed_share)
        if self._cuts_are_ineffective(shed_share) and window.latencies:
            self.slots = self.slots_before_cuts
            self.sheds_ignored_until = now + SHEDS_IGNORED_SECONDS
            self.consecutive_cuts = 0
            return
        lowest = self.slots * max(MIN_KEPT_SHARE, 1.0 - 2.0 * shed_share)
        useful_slots = max(lowest, window.mean_busy_slots(now))
        self.slots = self._clamp_slots(min(self.slots - 1.0, useful_slots))

    def _cuts_are_ineffective(self, shed_share: float) -> bool:
        """Return whether the target still sheds a similar share after a deep cut."""
        is_deep = self.slots <= DEEP_CUT_SHARE * self.slots_before_cuts
        return (
            is_deep
            and self.consecutive_cuts > MAX_INEFFECTIVE_CUTS
            and shed_share > self.highest_shed_share / 2.0
        )

    def _clamp_slots(self, slots: float) -> float:
        lowest = max(1, self.settings.minimum)
        return float(max(lowest, min(slots, self.declared_slots)))

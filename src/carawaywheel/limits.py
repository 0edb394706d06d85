"""Concurrency limit of one target, from the node's own measurements."""

import random
from abc import ABC, abstractmethod
from typing import NamedTuple

from .refusals import Outcome
from .settings import LimitSettings

WINDOW_SAMPLES = 10
# The median of 100 samples is within about 5%, against a cut of 25%.
TRIAL_SAMPLES = 100
WINDOW_MAX = 1.0
# A node that starts under overload would take the latency it finds for normal.
FIRST_TRIAL_DELAY = 2.0
# Chances that a trial starts in a window in which latency is high, or in which the
# last trial is long ago.
SLOW_TRIAL_CHANCE = 0.2
DUE_TRIAL_CHANCE = 0.03
# Requests in flight, as a share of the limit, above which the limit is in use.
IN_USE_SHARE = 0.8
# How much of a cut latency must follow for concurrency to count as its cause:
# between 0 (a slow dependency) and 1 (a target that shares its processor).
FOLLOWED_SHARE = 0.7
# Latency that falls much further than the cut explains: the target recovered.
RECOVERED_SHARE = 2.0
# Requests in flight must fall by this share for a trial to tell anything.
TRIAL_LEAST_CUT = 0.05
# A trial that starts while latency still rises would find that cuts do not help.
STEADY_SHARE = 0.2
LARGEST_CUT = 0.3
# A target that sheds at random sheds the same share after each cut.
USELESS_CUTS = 3
DEEP_CUT = 0.6
SHEDS_IGNORED_TIME = 30.0


class ConcurrencyLimit(ABC):
    """Number of requests that a target may work on at once."""

    @abstractmethod
    def limit(self, now: float) -> int:
        """Return the present limit in slots, at least 1."""

    @abstractmethod
    def record(
        self, now: float, latency: float, outcome: Outcome, in_flight: int
    ) -> None:
        """Learn from a finished request.

        Args:
            now: Time at which it finished, in seconds.
            latency: Seconds that it occupied a slot.
            outcome: How it ended.
            in_flight: Requests in flight just before, with this one.
        """


class FixedLimit(ConcurrencyLimit):
    """Limit that never changes."""

    def __init__(self, slots: int) -> None:
        self.slots = slots

    def limit(self, now: float) -> int:
        """Return the fixed number of slots."""
        return self.slots

    def record(
        self, now: float, latency: float, outcome: Outcome, in_flight: int
    ) -> None:
        """Ignore the finished request."""


class Window:
    """Samples of the requests that finished within a short time.

    Attributes:
        started: Time at which the window began, in seconds.
        latencies: Seconds that each served request took.
        busy: Sum of the latencies in seconds.
        sheds: Requests that the target refused.
        in_flight: Sum of the requests in flight at each sample.
    """

    def __init__(self, started: float) -> None:
        self.started = started
        self.latencies: list[float] = []
        self.busy = 0.0
        self.sheds = 0
        self.in_flight = 0

    def add(self, latency: float, outcome: Outcome, in_flight: int) -> None:
        """Add a finished request; failures and cancellations tell nothing."""
        if outcome in (Outcome.OK, Outcome.TIMEOUT):
            self.latencies.append(latency)
            self.busy += latency
            self.in_flight += in_flight
        elif outcome is Outcome.SHED:
            self.sheds += 1
            self.in_flight += in_flight

    @property
    def samples(self) -> int:
        """Number of requests that the target served or shed."""
        return len(self.latencies) + self.sheds

    def is_over(self, now: float, length: float, samples: int) -> bool:
        """Tell whether the window has enough samples.

        A window lasts at least as long as a request, so that most of its samples
        started under the present limit.
        """
        elapsed = now - self.started
        if elapsed < length or not self.samples:
            return False
        if self.samples < samples and elapsed < WINDOW_MAX:
            return False
        return not self.latencies or elapsed >= self.busy / len(self.latencies)

    def median(self) -> float:
        """Return the median latency in seconds.

        The median is not moved by the few long downloads in the traffic.
        """
        ordered = sorted(self.latencies)
        return ordered[len(ordered) // 2]

    def mean_in_flight(self) -> float:
        """Return the mean number of requests in flight."""
        return self.in_flight / self.samples

    def shed_share(self) -> float:
        """Return the share of requests that the target shed."""
        return self.sheds / self.samples

    def served(self, now: float) -> float:
        """Return how many slots did useful work on average (Little's law)."""
        return self.busy / max(now - self.started, 1e-9)


class Trial(NamedTuple):
    """A cut of the limit that shows whether concurrency causes the latency.

    Attributes:
        limit: Limit before the cut, in slots.
        latency: Median latency before the cut, in seconds.
        in_flight: Mean requests in flight before the cut.
        settled: Whether requests from before the cut have left the samples.
    """

    limit: float
    latency: float
    in_flight: float
    settled: bool


class AdaptiveLimit(ConcurrencyLimit):
    """Limit that follows what the target can do at present.

    The limit grows while it is in use and latency holds. When latency rises, a
    trial cuts the limit for two windows. If latency falls with the requests in
    flight, concurrency was the cause, the cut stays and the next one follows. If it
    does not, something else is slow (such as a dependency): the limit from before
    the cut comes back, and the present latency is the new baseline. Between
    trials the limit does not fall below the slots that the last one found.

    Sheds cut the limit to the slots that did useful work. Growth doubles its step in
    each window, so that the limit comes back fast.

    Attributes:
        declared_slots: Upper bound, in slots.
        slots: Present limit, in slots, not rounded.
        baseline: Lowest median latency since the last trial, in seconds, or None.
        knee: Slots at which the last trial lost throughput.
    """

    def __init__(
        self,
        settings: LimitSettings,
        declared_slots: int,
        cold_until: float,
        now: float,
        rng: random.Random | None = None,
    ) -> None:
        """Start at the declared slots, or at a share of them for a cold target.

        Args:
            settings: Settings of the limit.
            declared_slots: Slots that the target declared.
            cold_until: Time until which the target is cold, in seconds.
            now: Time in seconds.
            rng: Spreads the trials of the nodes of a service over time; without it
                a trial starts as soon as it is due.
        """
        self.settings = settings
        self.rng = rng
        self.declared_slots = max(1, declared_slots)
        share = settings.cold_start_share if now < cold_until else 1.0
        self.slots = self._bounded(share * self.declared_slots)
        self.baseline: float | None = None
        self.clamp = float(self.declared_slots)
        self.window = Window(now)
        self.trial: Trial | None = None
        self.knee = float(self.declared_slots)
        self.last_latency = 0.0
        self.last_trial = now + FIRST_TRIAL_DELAY - settings.trial_interval
        self.step = 1.0
        self.shed_cuts = 0
        self.shed_reference = 0.0
        self.shed_origin = self.slots
        self.sheds_ignored_until = float("-inf")

    def limit(self, now: float) -> int:
        """Return the present limit in slots, at least 1."""
        return int(min(self.slots, self.clamp))

    def record(
        self, now: float, latency: float, outcome: Outcome, in_flight: int
    ) -> None:
        """Learn from a finished request; adjusts the limit once a window."""
        window = self.window
        window.add(latency, outcome, in_flight)
        if outcome is Outcome.SHED and now >= self.sheds_ignored_until:
            self._clamp(in_flight)
        samples = TRIAL_SAMPLES if self.trial else WINDOW_SAMPLES
        if window.is_over(now, self.settings.window, samples):
            self.window = Window(now)
            self.clamp = float(self.declared_slots)
            self._learn(window, now)

    def _clamp(self, in_flight: int) -> None:
        """Hold the slot of a shed request empty until the window ends.

        A shed takes little time, so a slot that is refilled at once would lead the
        whole queue into the shedding target within one window.
        """
        lowest = self._bounded(self.slots * LARGEST_CUT)
        self.clamp = max(lowest, min(self.clamp, in_flight - 1.0))

    def _learn(self, window: Window, now: float) -> None:
        if window.shed_share() > self.settings.shed_tolerance:
            self._handle_sheds(window, now)
            return
        self.shed_cuts = 0
        if not window.latencies:
            return
        latency = window.median()
        if self.trial is not None:
            self._continue_trial(self.trial, window, latency, now)
            return
        self.baseline = min(latency, self.baseline or latency)
        if window.mean_in_flight() < IN_USE_SHARE * int(self.slots):
            # The latency of a light load is a measured baseline: no trial is due.
            self.step = 1.0
            self.last_trial = now
            return
        slow = latency > self.settings.latency_tolerance * self.baseline
        due = now - self.last_trial >= self.settings.trial_interval
        steady = abs(latency - self.last_latency) < STEADY_SHARE * latency
        self.last_latency = latency
        if slow and self.slots > self.knee:
            self._step_down(latency / self.baseline)
        elif (slow and steady and self._chance(SLOW_TRIAL_CHANCE)) or (
            due and not slow and self._chance(DUE_TRIAL_CHANCE)
        ):
            self._start_trial(window, latency)
        elif slow:
            self.step = 1.0
        else:
            self._grow(latency / self.baseline)

    def _grow(self, ratio: float) -> None:
        """Step up, by less the nearer latency is to the tolerated ratio."""
        tolerance = self.settings.latency_tolerance
        headroom = (tolerance - ratio) / (tolerance - 1.0)
        largest = self.settings.growth * self.slots * headroom
        self.slots = self._bounded(self.slots + min(self.step, max(largest, 0.5)))
        self.step *= 2.0

    def _step_down(self, ratio: float) -> None:
        """Go back towards the slots that the last trial found to be needed."""
        factor = self.settings.latency_tolerance / ratio
        factor = max(factor, 1.0 - self.settings.trial_cut)
        self.slots = max(self.knee, self.slots * factor)
        self.step = 1.0

    def _chance(self, share: float) -> bool:
        """Draw at random, since trials at once on all nodes cost throughput."""
        return self.rng is None or self.rng.random() < share

    def _start_trial(self, window: Window, latency: float) -> None:
        self.trial = Trial(self.slots, latency, window.mean_in_flight(), False)
        self.slots = self._bounded(self.slots * (1.0 - self.settings.trial_cut))

    def _continue_trial(
        self, trial: Trial, window: Window, latency: float, now: float
    ) -> None:
        if not trial.settled:
            self.trial = trial._replace(settled=True)
            return
        self.trial = None
        self.last_trial = now
        self.step = 1.0
        fewer = 1.0 - window.mean_in_flight() / trial.in_flight
        faster = 1.0 - latency / trial.latency
        if fewer < TRIAL_LEAST_CUT:
            self.slots = trial.limit
            return
        if faster < FOLLOWED_SHARE * fewer:
            self.slots = trial.limit
            self.knee = trial.limit
            self.baseline = latency
            return
        self.baseline = min(latency, self.baseline or latency)
        recovered = faster > RECOVERED_SHARE * fewer
        if self.slots > self._bounded(0.0) and not recovered:
            self._start_trial(window, latency)

    def _handle_sheds(self, window: Window, now: float) -> None:
        """Cut to the slots that did useful work, unless cuts do not help."""
        self.trial = None
        self.step = 1.0
        share = window.shed_share()
        if now < self.sheds_ignored_until and share <= 2.0 * self.shed_reference:
            return
        self.sheds_ignored_until = now
        if self.shed_cuts == 0:
            self.shed_reference = 0.0
            self.shed_origin = self.slots
        self.shed_cuts += 1
        self.shed_reference = max(self.shed_reference, share)
        if self._cuts_are_useless(share) and window.latencies:
            self.slots = self.shed_origin
            self.sheds_ignored_until = now + SHEDS_IGNORED_TIME
            self.shed_cuts = 0
            return
        lowest = self.slots * max(LARGEST_CUT, 1.0 - 2.0 * share)
        useful = max(lowest, window.served(now))
        self.slots = self._bounded(min(self.slots - 1.0, useful))

    def _cuts_are_useless(self, share: float) -> bool:
        """Tell whether the target sheds the same share after a deep cut."""
        deep = self.slots <= DEEP_CUT * self.shed_origin
        return (
            deep and self.shed_cuts > USELESS_CUTS and share > self.shed_reference / 2.0
        )

    def _bounded(self, slots: float) -> float:
        lowest = max(1, self.settings.minimum)
        return float(max(lowest, min(slots, self.declared_slots)))

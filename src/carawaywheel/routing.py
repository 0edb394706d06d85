"""Load balancing: the choice of the target that serves a request.

The less loaded of two random candidates is chosen (power of two choices). Targets in
the own failure domain are preferred until their load exceeds that of other domains by a
margin. Failing targets are ejected. Cold targets are used for a share of the calls that
they would get when warm.
"""

import enum
import random
from collections.abc import Collection, Container
from typing import NamedTuple

from .ejection import EjectionState, OutlierEjector
from .refusals import Outcome, Reason, Refusal
from .settings import RoutingSettings

DEFAULT_RETRY_AFTER_SECONDS = 1.0
MIN_SLOW_START_SHARE = 0.1
# Weight of a new sample in the moving averages: a single outlier moves them little.
SMOOTHING_FACTOR = 0.125
MAX_LATENCY_RATIO = 8.0
MEDIAN_INTERVAL_SECONDS = 0.25
# Load added to a target that should be ejected but is kept in use by the bound.
FAILING_TARGET_LOAD = 1.0
# Load added for each unit by which the failure rate of a target exceeds that of its
# service. It is more than the margin for the own failure domain, so that a target which
# fails a third of its requests is avoided while others have capacity.
FAULT_RATE_LOAD = 1.5
# Time over which this added load fades, so that a recovered target is used again.
FAULT_RATE_FADE_SECONDS = 4.0
SHED_PRESSURE = 1.0
# Time in which a reported share doubles until the next report. A node that was told a
# share that is too low sends less and is told a new one later, so without this the
# share would stay too low at many nodes.
SHARE_DOUBLING_SECONDS = 1.0
# More doublings change nothing: the smallest share that is reported is above 2 ** -10.
MAX_SHARE_DOUBLINGS = 10.0


class TargetState(enum.IntEnum):
    """State that a target announces; only COLD and READY targets take new work."""

    COLD = 0
    READY = 1
    DRAINING = 2
    LEFT = 3


class Candidate(NamedTuple):
    """A target that may serve a service.

    Attributes:
        target_id: Id of the target.
        node_id: Id of the node beside the target.
        service: Service that the target serves.
        address: Peer address of the node, as ``ip:port``.
        domain: Failure domain of the host.
        slots: Requests that the target runs concurrently when warm.
        state: State that the target announced.
        cold_until: Time in seconds at which a cold target takes its full share.
    """

    target_id: str
    node_id: str
    service: str
    address: str
    domain: str
    slots: int
    state: TargetState
    cold_until: float


class TrackedTarget:
    """A candidate with the statistics that this node keeps of it.

    Attributes:
        candidate: The announced candidate.
        in_own_domain: Whether it is in the failure domain of this node.
        in_flight: Requests that this node has in flight at the target.
        pressure: Load reported with the last response.
        latency: Moving average of the latency, in seconds.
        fault_rate: Moving average of the share of responses that report a failure.
        last_response_at: Time in seconds of the last response, or None.
        cold_until: Time in seconds until which the target is reported to be cold.
        cold_share: Share of a warm target's requests that was reported.
        cold_reported_at: Time in seconds of this report.
    """

    __slots__ = (
        "candidate",
        "in_own_domain",
        "in_flight",
        "pressure",
        "latency",
        "fault_rate",
        "last_response_at",
        "cold_until",
        "cold_share",
        "cold_reported_at",
    )

    def __init__(self, candidate: Candidate, in_own_domain: bool) -> None:
        self.candidate = candidate
        self.in_own_domain = in_own_domain
        self.in_flight = 0
        self.pressure = 0.0
        self.latency = 0.0
        self.fault_rate = 0.0
        self.last_response_at: float | None = None
        self.cold_until = 0.0
        self.cold_share = 1.0
        self.cold_reported_at = 0.0


class ServicePool:
    """Targets of one service that take new work, with statistics of the service.

    Attributes:
        targets: Targets that are cold or ready.
        own_domain_targets: Those of them in the failure domain of this node.
        other_domain_targets: Those of them in other failure domains.
        ejector: Ejection state of the targets.
        has_samples: Whether any response has been recorded.
        mean_pressure: Moving average of the pressure over responses.
        fault_rate: Moving average of the share of responses that report a failure.
        median_latency: Lower median of the latencies of the targets, in seconds.
        median_due_at: Time in seconds at which the median is computed again.
        cold_until: Time in seconds from which all targets are warm.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.targets: list[TrackedTarget] = []
        self.own_domain_targets: list[TrackedTarget] = []
        self.other_domain_targets: list[TrackedTarget] = []
        self.ejector = OutlierEjector(settings)
        self.has_samples = False
        self.mean_pressure = 0.0
        self.fault_rate = 0.0
        self.median_latency = 0.0
        self.median_due_at = 0.0
        self.cold_until = 0.0


class Router:
    """Chooses targets for the calls of one node.

    Attributes:
        own_domain: Failure domain of the node.
        targets: Tracked targets by target id, including those that have left while
            requests are in flight.
        pools: Targets that take new work, by service.
    """

    def __init__(
        self, settings: RoutingSettings, own_domain: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.own_domain = own_domain
        self.rng = rng
        self.targets: dict[str, TrackedTarget] = {}
        self.pools: dict[str, ServicePool] = {}

    def set_candidates(self, candidates: list[Candidate], now: float) -> None:
        """Replace the candidates of all services.

        Args:
            candidates: All known targets.
            now: Time in seconds.
        """
        targets: dict[str, TrackedTarget] = {}
        for candidate in candidates:
            targets[candidate.target_id] = self._update_target(candidate)
        for target_id, target in self.targets.items():
            if target_id not in targets and target.in_flight:
                departed = target.candidate._replace(state=TargetState.LEFT)
                target.candidate = departed
                targets[target_id] = target
        self.targets = targets
        self._rebuild_pools()

    def set_candidate(self, candidate: Candidate) -> None:
        """Add a candidate or replace the one with its id."""
        former = self.targets.get(candidate.target_id)
        former_service = former.candidate.service if former else candidate.service
        self.targets[candidate.target_id] = self._update_target(candidate)
        self._rebuild_pool(candidate.service)
        if former_service != candidate.service:
            self._rebuild_pool(former_service)

    def remove_candidate(self, target_id: str) -> None:
        """Remove a candidate; unknown ids are ignored."""
        target = self.targets.get(target_id)
        if target is None:
            return
        target.candidate = target.candidate._replace(state=TargetState.LEFT)
        self._remove_if_idle(target)
        self._rebuild_pool(target.candidate.service)

    def set_cold(self, target_id: str, until: float, share: float, now: float) -> None:
        """Use a target for a share of its requests; unknown ids are ignored.

        Args:
            target_id: Id of the target.
            until: Time in seconds until which it is cold; a past one if it is warm.
            share: Share of a warm target's requests that it is to be sent, above 0 to
                1.
            now: Time in seconds.
        """
        target = self.targets.get(target_id)
        if target is None:
            return
        target.cold_until = until
        target.cold_share = share
        target.cold_reported_at = now
        pool = self.pools.get(target.candidate.service)
        if pool is not None:
            pool.cold_until = max(pool.cold_until, until)

    def has_warm_target(
        self, service: str, now: float, exclude: Collection[str]
    ) -> bool:
        """Return whether a usable target of a service is not known to be cold.

        Args:
            service: Service to call.
            now: Time in seconds.
            exclude: Target ids that do not count.
        """
        pool = self.pools.get(service)
        if pool is None:
            return False
        others = len(pool.targets) - pool.ejector.ejected_count - len(exclude)
        if now >= pool.cold_until and others > 0:
            return True
        return any(
            now >= cold_end(target) for target in self._usable(pool, now, exclude)
        )

    def choose(
        self, service: str, now: float, exclude: Container[str] = ()
    ) -> Candidate | Refusal:
        """Choose a target; call ``record_start`` for it before the next choice.

        Args:
            service: Service to call.
            now: Time in seconds.
            exclude: Target ids that must not be chosen.

        Returns:
            The candidate, or a refusal if no target of the service is usable.
        """
        pool = self.pools.get(service)
        if pool is None:
            return self._refuse_no_target(service, DEFAULT_RETRY_AFTER_SECONDS)
        usable = self._usable(pool, now, exclude)
        if not usable:
            wait = pool.ejector.seconds_to_next_probe(now)
            return self._refuse_no_target(service, wait or DEFAULT_RETRY_AFTER_SECONDS)
        if len(usable) == 1:
            return usable[0].candidate
        if now < pool.cold_until:
            return self._choose_while_cold(pool, usable, now, exclude).candidate
        return self._choose_by_domain(pool, usable, now).candidate

    def record_start(self, target_id: str, now: float) -> None:
        """Record a request that is about to be sent; unknown ids are ignored."""
        target = self.targets.get(target_id)
        if target is None:
            return
        target.in_flight += 1
        pool = self.pools.get(target.candidate.service)
        if pool is not None and pool.ejector.ejected_count:
            pool.ejector.record_start(target_id, now)

    def record_finish(
        self,
        target_id: str,
        now: float,
        outcome: Outcome,
        latency: float,
        pressure: float | None,
        fault: bool = False,
    ) -> None:
        """Record the end of a request; unknown ids are ignored.

        Args:
            target_id: Id of the target that the request was sent to.
            now: Time in seconds.
            outcome: How the request ended.
            latency: Time from the start to the end, in seconds.
            pressure: Load reported with the response, or None if there was none.
            fault: Whether the response reports a failure of the target or of a
                service downstream.
        """
        target = self.targets.get(target_id)
        if target is None:
            return
        target.in_flight = max(0, target.in_flight - 1)
        service = target.candidate.service
        pool = self.pools.get(service)
        if pool is None or target_id not in pool.ejector.histories:
            self._remove_if_idle(target)
            return
        if outcome is Outcome.OK or outcome is Outcome.SHED:
            # A target that sheds is alive, so a shed never ejects it.
            pool.ejector.record_success(target_id, now)
            target.fault_rate += SMOOTHING_FACTOR * (fault - target.fault_rate)
            pool.fault_rate += (
                SMOOTHING_FACTOR * (fault - pool.fault_rate) / len(pool.targets)
            )
            self._record_response(pool, target, now, outcome, latency, pressure)
        elif outcome is Outcome.CANCELLED:
            pool.ejector.record_cancellation(target_id)
        else:
            pool.ejector.record_failure(target_id, now)

    def record_silent_connection(self, target_id: str, now: float) -> None:
        """Record that a connection to the target no longer delivers any data."""
        target = self.targets.get(target_id)
        pool = self.pools.get(target.candidate.service) if target else None
        if pool is not None:
            pool.ejector.record_silent_connection(target_id, now)

    def ejected_count(self, service: str) -> int:
        """Return how many targets of a service are ejected."""
        pool = self.pools.get(service)
        return pool.ejector.ejected_count if pool else 0

    def _update_target(self, candidate: Candidate) -> TrackedTarget:
        target = self.targets.get(candidate.target_id)
        in_own_domain = candidate.domain == self.own_domain
        if target is None:
            return TrackedTarget(candidate, in_own_domain)
        previous = target.candidate
        if previous is candidate:
            return target
        target.candidate = candidate
        target.in_own_domain = in_own_domain
        became_cold = candidate.state is TargetState.COLD is not previous.state
        if became_cold or candidate.address != previous.address:
            target.last_response_at = None
            pool = self.pools.get(previous.service)
            if pool is not None:
                pool.ejector.reset(candidate.target_id)
        return target

    def _rebuild_pools(self) -> None:
        targets_by_service: dict[str, list[TrackedTarget]] = {}
        for target in self.targets.values():
            if target.candidate.state <= TargetState.READY:
                targets_by_service.setdefault(target.candidate.service, []).append(
                    target
                )
        self.pools = {
            service: self._update_pool(service, targets)
            for service, targets in targets_by_service.items()
        }

    def _rebuild_pool(self, service: str) -> None:
        targets = [
            target
            for target in self.targets.values()
            if target.candidate.service == service
            and target.candidate.state <= TargetState.READY
        ]
        if targets:
            self.pools[service] = self._update_pool(service, targets)
        else:
            self.pools.pop(service, None)

    def _update_pool(self, service: str, targets: list[TrackedTarget]) -> ServicePool:
        pool = self.pools.get(service) or ServicePool(self.settings)
        pool.targets = targets
        pool.own_domain_targets = [t for t in targets if t.in_own_domain]
        pool.other_domain_targets = [t for t in targets if not t.in_own_domain]
        pool.cold_until = max(map(cold_end, targets))
        pool.ejector.set_targets([target.candidate.target_id for target in targets])
        return pool

    def _remove_if_idle(self, target: TrackedTarget) -> None:
        if target.candidate.state is TargetState.LEFT and not target.in_flight:
            self.targets.pop(target.candidate.target_id, None)

    def _usable(
        self, pool: ServicePool, now: float, exclude: Container[str]
    ) -> list[TrackedTarget]:
        if not pool.ejector.ejected_count and not exclude:
            return pool.targets
        usable = []
        for target in pool.targets:
            target_id = target.candidate.target_id
            if target_id in exclude:
                continue
            if pool.ejector.state(target_id, now) is not EjectionState.EJECTED:
                usable.append(target)
        return usable

    def _choose_by_domain(
        self, pool: ServicePool, usable: list[TrackedTarget], now: float
    ) -> TrackedTarget:
        if usable is pool.targets:
            own, other = pool.own_domain_targets, pool.other_domain_targets
        else:
            own = [target for target in usable if target.in_own_domain]
            other = [target for target in usable if not target.in_own_domain]
        if not own or not other:
            return self._choose_of_two(pool, own or other, now)[0]
        best_own, own_load = self._choose_of_two(pool, own, now)
        margin = self.settings.domain_margin
        if own_load <= margin:
            return best_own
        best_other, other_load = self._choose_of_two(pool, other, now)
        return best_other if own_load > other_load + margin else best_own

    def _choose_of_two(
        self, pool: ServicePool, targets: list[TrackedTarget], now: float
    ) -> tuple[TrackedTarget, float]:
        count = len(targets)
        if count == 1:
            return targets[0], self._load(pool, targets[0], now)
        index = int(self.rng.random() * count)
        first = targets[index]
        first_load = self._load(pool, first, now)
        second = targets[self._random_other(index, count)]
        second_load = self._load(pool, second, now)
        if second_load < first_load:
            return second, second_load
        return first, first_load

    def _random_other(self, index: int, count: int) -> int:
        """Return a random index below ``count`` other than the given one."""
        other = int(self.rng.random() * (count - 1))
        return other + 1 if other >= index else other

    def _choose_while_cold(
        self,
        pool: ServicePool,
        usable: list[TrackedTarget],
        now: float,
        exclude: Container[str],
    ) -> TrackedTarget:
        """Choose a target of a service of which some targets may be cold.

        A request that a cold target has refused goes to a warm one, since its attempts
        are bounded and another cold target would most likely refuse it too. Targets of
        other failure domains come first: those of one domain often become cold
        together, before this node knows of more than one of them.
        """
        warm = [
            target for target in usable if self._slow_start_share(target, now) >= 1.0
        ]
        if not warm:
            return self._choose_of_cold(pool, usable, now)
        domains = self._cold_domains(pool, now, exclude) if exclude else None
        if domains:
            elsewhere = [
                target for target in warm if target.candidate.domain not in domains
            ]
            return self._choose_by_domain(pool, elsewhere or warm, now)
        if len(warm) == len(usable):
            return self._choose_by_domain(pool, usable, now)
        chosen = self._choose_by_domain(pool, usable, now)
        if self._passes_slow_start(chosen, now):
            return chosen
        return self._choose_by_domain(pool, warm, now)

    def _cold_domains(
        self, pool: ServicePool, now: float, target_ids: Container[str]
    ) -> set[str]:
        """Return the failure domains of those of some targets that are cold."""
        return {
            target.candidate.domain
            for target in pool.targets
            if target.candidate.target_id in target_ids
            and self._slow_start_share(target, now) < 1.0
        }

    def _choose_of_cold(
        self, pool: ServicePool, targets: list[TrackedTarget], now: float
    ) -> TrackedTarget:
        """Choose among cold targets, in proportion to their shares."""
        shares = [self._slow_start_share(target, now) for target in targets]
        first, second = self.rng.choices(targets, shares, k=2)
        first_load = self._load(pool, first, now)
        return second if self._load(pool, second, now) < first_load else first

    def _passes_slow_start(self, target: TrackedTarget, now: float) -> bool:
        """Return whether to use a selected target.

        A cold one is used with the probability of its slow start share.
        """
        share = self._slow_start_share(target, now)
        return share >= 1.0 or self.rng.random() < share

    def _slow_start_share(self, target: TrackedTarget, now: float) -> float:
        """Return the share of a warm target's requests that a target is sent now.

        It is the share that the node beside the target has reported, or rises with the
        time since the target announced that it is cold.
        """
        candidate = target.candidate
        share = 1.0
        if now < target.cold_until:
            doublings = (now - target.cold_reported_at) / SHARE_DOUBLING_SECONDS
            share = target.cold_share * 2.0 ** min(doublings, MAX_SHARE_DOUBLINGS)
        if candidate.state is TargetState.COLD and now < candidate.cold_until:
            elapsed = 1.0 - (candidate.cold_until - now) / self.settings.slow_start
            share = min(share, max(MIN_SLOW_START_SHARE, elapsed))
        return min(share, 1.0)

    def _load(self, pool: ServicePool, target: TrackedTarget, now: float) -> float:
        """Return the load of a target.

        The last reported pressure fades towards the mean of the service, so that a
        target that was not used for some time is neither avoided nor overloaded. A
        target without any response counts as idle.
        """
        candidate = target.candidate
        slots = float(candidate.slots)
        if now < pool.cold_until:
            slots *= self._slow_start_share(target, now)
        load = (target.in_flight + 1) / max(1.0, slots)
        if target.last_response_at is not None:
            age = now - target.last_response_at
            weight = max(0.0, 1.0 - age / self.settings.pressure_age)
            load += target.pressure * weight + pool.mean_pressure * (1.0 - weight)
            load *= 1.0 + self._excess_latency(pool, target, age)
        if target.fault_rate > pool.fault_rate and target.last_response_at is not None:
            # Compared with the service, because a failure downstream of the service
            # shows in the responses of all its targets.
            weight = max(
                0.0, 1.0 - (now - target.last_response_at) / FAULT_RATE_FADE_SECONDS
            )
            load += FAULT_RATE_LOAD * weight * (target.fault_rate - pool.fault_rate)
        if pool.ejector.any_failing and pool.ejector.is_failing(candidate.target_id):
            load += FAILING_TARGET_LOAD
        return load

    def _excess_latency(
        self, pool: ServicePool, target: TrackedTarget, age: float
    ) -> float:
        """Return by how much latency over the median exceeds the tolerated ratio.

        This fades more slowly than pressure: each request that tries a slow target
        again costs a caller the high latency.
        """
        limit = pool.median_latency * self.settings.latency_tolerance
        if not pool.median_latency or target.latency <= limit:
            return 0.0
        ratio = min(target.latency / pool.median_latency, MAX_LATENCY_RATIO)
        weight = max(0.0, 1.0 - age / self.settings.latency_age)
        return (ratio - self.settings.latency_tolerance) * weight

    def _record_response(
        self,
        pool: ServicePool,
        target: TrackedTarget,
        now: float,
        outcome: Outcome,
        latency: float,
        pressure: float | None,
    ) -> None:
        reported_pressure = pressure if pressure is not None else target.pressure
        if outcome is Outcome.SHED:
            reported_pressure = max(reported_pressure, SHED_PRESSURE)
        target.pressure = reported_pressure
        if not pool.has_samples:
            pool.has_samples = True
            pool.mean_pressure = reported_pressure
        pool.mean_pressure += SMOOTHING_FACTOR * (
            reported_pressure - pool.mean_pressure
        )
        if outcome is Outcome.OK:
            known = target.last_response_at is not None and target.latency > 0.0
            previous = target.latency if known else latency
            target.latency = previous + SMOOTHING_FACTOR * (latency - previous)
        target.last_response_at = now
        if now >= pool.median_due_at:
            pool.median_due_at = now + MEDIAN_INTERVAL_SECONDS
            self._update_median_latency(pool)

    def _update_median_latency(self, pool: ServicePool) -> None:
        """Compute the lower median: one slow target of two or three cannot raise it."""
        latencies = sorted(target.latency for target in pool.targets if target.latency)
        if latencies:
            pool.median_latency = latencies[(len(latencies) - 1) // 2]

    def _refuse_no_target(self, service: str, retry_after: float) -> Refusal:
        return Refusal(
            Reason.NO_TARGET, retry_after=retry_after, step="routing", peer=service
        )


def cold_end(target: TrackedTarget) -> float:
    """Return the time in seconds from which a target is warm."""
    if target.candidate.state is TargetState.COLD:
        return max(target.cold_until, target.candidate.cold_until)
    return target.cold_until

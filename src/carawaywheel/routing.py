"""Choice of the target that serves a request.

Two random candidates are compared by load, the own failure domain is preferred
until its load exceeds the other's by a margin, and failing targets are ejected.
"""

import enum
import random
from collections.abc import Container
from typing import NamedTuple

from .ejection import Ejector, Standing
from .refusals import Outcome, Reason, Refusal
from .settings import RoutingSettings

DEFAULT_RETRY_AFTER_S = 1.0
MIN_SLOW_START_SHARE = 0.1
# One answer in eight renews a mean, so a single outlier moves it little.
SMOOTHING = 0.125
MAX_LATENCY_RATIO = 8.0
LATENCY_INTERVAL_S = 0.25
FAILING_LOAD = 1.0
# Load that a target which fails every request has beyond one that fails as often as its
# service does: more than the margin for the own failure domain, so that a target that
# fails a third of its requests is passed by while others have room.
FAULT_LOAD = 1.5
# Seconds over which this load fades, so that a target that has recovered is found.
FAULT_AGE_S = 4.0
SHED_PRESSURE = 1.0


class TargetState(enum.IntEnum):
    """State that a target announces."""

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
        slots: Requests that the target runs at once when warm.
        state: State that the target announced.
        cold_until: Time in seconds at which a cold target has its full share.
    """

    target_id: str
    node_id: str
    service: str
    address: str
    domain: str
    slots: int
    state: TargetState
    cold_until: float


class Target:
    """A candidate with what this node has seen of it.

    Attributes:
        candidate: The announced candidate.
        near: Whether it is in the own failure domain.
        in_flight: Requests that this node has in flight at the target.
        pressure: Last load carried on an answer.
        latency: Smoothed latency in seconds.
        faults: Smoothed share of its answers that tell of a failure.
        heard_at: Time in seconds of the last answer, or None.
    """

    __slots__ = (
        "candidate",
        "near",
        "in_flight",
        "pressure",
        "latency",
        "faults",
        "heard_at",
    )

    def __init__(self, candidate: Candidate, near: bool) -> None:
        self.candidate = candidate
        self.near = near
        self.in_flight = 0
        self.pressure = 0.0
        self.latency = 0.0
        self.faults = 0.0
        self.heard_at: float | None = None


class Pool:
    """Targets of one service that take new work.

    Attributes:
        targets: Targets that are cold or ready.
        ejector: Ejection state of these targets.
        pressure: Mean pressure over recent answers.
        faults: Share of recent answers that tell of a failure.
        latency: Lower median of the latencies of the targets, in seconds.
        latency_due: Time in seconds at which this median is taken again.
        heard: Whether any answer was heard.
        own: Those of the targets that are in the own failure domain.
        other: Those that are not.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.targets: list[Target] = []
        self.own: list[Target] = []
        self.other: list[Target] = []
        self.ejector = Ejector(settings)
        self.heard = False
        self.pressure = 0.0
        self.faults = 0.0
        self.latency = 0.0
        self.latency_due = 0.0


class Router:
    """Chooses targets for the calls of one node."""

    def __init__(
        self, settings: RoutingSettings, own_domain: str, rng: random.Random
    ) -> None:
        self.settings = settings
        self.own_domain = own_domain
        self.rng = rng
        self.targets: dict[str, Target] = {}
        self.pools: dict[str, Pool] = {}

    def set_candidates(self, candidates: list[Candidate], now: float) -> None:
        """Replace the candidates of all services.

        Args:
            candidates: All targets that are known.
            now: Time in seconds.
        """
        targets: dict[str, Target] = {}
        for candidate in candidates:
            targets[candidate.target_id] = self._renew(candidate)
        for target_id, target in self.targets.items():
            if target_id not in targets and target.in_flight:
                left = target.candidate._replace(state=TargetState.LEFT)
                target.candidate = left
                targets[target_id] = target
        self.targets = targets
        self._fill_pools()

    def choose(
        self, service: str, now: float, exclude: Container[str] = ()
    ) -> Candidate | Refusal:
        """Choose a target; the caller calls `start` before it chooses again.

        Args:
            service: Service that is called.
            now: Time in seconds.
            exclude: Ids of targets that must not be chosen.

        Returns:
            The candidate, or a refusal when no target may be given work.
        """
        pool = self.pools.get(service)
        if pool is None:
            return self._refuse(service, DEFAULT_RETRY_AFTER_S)
        usable = self._usable(pool, now, exclude)
        if not usable:
            wait = pool.ejector.next_return(now)
            return self._refuse(service, wait or DEFAULT_RETRY_AFTER_S)
        if len(usable) == 1:
            return usable[0].candidate
        return self._choose_by_domain(pool, usable, now).candidate

    def record_start(self, target_id: str, now: float) -> None:
        """Count a request that is about to be sent; unknown ids are ignored."""
        target = self.targets.get(target_id)
        if target is None:
            return
        target.in_flight += 1
        pool = self.pools.get(target.candidate.service)
        if pool is not None and pool.ejector.ejected_count:
            pool.ejector.started(target_id, now)

    def record_finish(
        self,
        target_id: str,
        now: float,
        outcome: Outcome,
        latency: float,
        pressure: float | None,
        fault: bool = False,
    ) -> None:
        """Count the end of a request; unknown ids are ignored.

        Args:
            target_id: Target that the request was sent to.
            now: Time in seconds.
            outcome: How the request ended.
            latency: Seconds from the start to the end.
            pressure: Load carried on the answer, or None without an answer.
            fault: Whether the answer tells of a failure of the target or below it.
        """
        target = self.targets.get(target_id)
        if target is None:
            return
        target.in_flight = max(0, target.in_flight - 1)
        service = target.candidate.service
        pool = self.pools.get(service)
        if pool is None or target_id not in pool.ejector.records:
            self._forget_if_idle(target)
            return
        if outcome is Outcome.OK or outcome is Outcome.SHED:
            # Shedding shows that the target is alive, so it never ejects.
            pool.ejector.succeeded(target_id, now)
            target.faults += SMOOTHING * (fault - target.faults)
            pool.faults += SMOOTHING * (fault - pool.faults) / len(pool.targets)
            self._learn(pool, target, now, outcome, latency, pressure)
        elif outcome is Outcome.CANCELLED:
            pool.ejector.abandoned(target_id)
        else:
            pool.ejector.failed(target_id, now)

    def record_silent_connection(self, target_id: str, now: float) -> None:
        """Note that a connection to the target delivers nothing any more."""
        target = self.targets.get(target_id)
        pool = self.pools.get(target.candidate.service) if target else None
        if pool is not None:
            pool.ejector.silent(target_id, now)

    def ejected_count(self, service: str) -> int:
        """Return how many targets of a service are ejected."""
        pool = self.pools.get(service)
        return pool.ejector.ejected_count if pool else 0

    def _renew(self, candidate: Candidate) -> Target:
        target = self.targets.get(candidate.target_id)
        near = candidate.domain == self.own_domain
        if target is None:
            return Target(candidate, near)
        before = target.candidate
        target.candidate = candidate
        target.near = near
        turned_cold = candidate.state is TargetState.COLD is not before.state
        if turned_cold or candidate.address != before.address:
            target.heard_at = None
            pool = self.pools.get(before.service)
            if pool is not None:
                pool.ejector.reset(candidate.target_id)
        return target

    def _fill_pools(self) -> None:
        members: dict[str, list[Target]] = {}
        for target in self.targets.values():
            if target.candidate.state <= TargetState.READY:
                members.setdefault(target.candidate.service, []).append(target)
        pools: dict[str, Pool] = {}
        for service, targets in members.items():
            pool = self.pools.get(service) or Pool(self.settings)
            pool.targets = targets
            pool.own = [target for target in targets if target.near]
            pool.other = [target for target in targets if not target.near]
            pool.ejector.keep([target.candidate.target_id for target in targets])
            pools[service] = pool
        self.pools = pools

    def _forget_if_idle(self, target: Target) -> None:
        if target.candidate.state is TargetState.LEFT and not target.in_flight:
            self.targets.pop(target.candidate.target_id, None)

    def _usable(self, pool: Pool, now: float, exclude: Container[str]) -> list[Target]:
        if not pool.ejector.ejected_count and not exclude:
            return pool.targets
        usable = []
        for target in pool.targets:
            target_id = target.candidate.target_id
            if target_id in exclude:
                continue
            if pool.ejector.standing(target_id, now) is not Standing.EJECTED:
                usable.append(target)
        return usable

    def _choose_by_domain(self, pool: Pool, usable: list[Target], now: float) -> Target:
        if usable is pool.targets:
            own, other = pool.own, pool.other
        else:
            own = [target for target in usable if target.near]
            other = [target for target in usable if not target.near]
        if not own or not other:
            return self._choose_of_two(pool, own or other, now)[0]
        near, near_load = self._choose_of_two(pool, own, now)
        margin = self.settings.domain_margin
        if near_load <= margin:
            return near
        far, far_load = self._choose_of_two(pool, other, now)
        return far if near_load > far_load + margin else near

    def _choose_of_two(
        self, pool: Pool, targets: list[Target], now: float
    ) -> tuple[Target, float]:
        count = len(targets)
        if count == 1:
            return targets[0], self._load(pool, targets[0], now)
        index = int(self.rng.random() * count)
        if not self._takes_part(targets[index], now):
            index = self._another(index, count)
        first = targets[index]
        first_load = self._load(pool, first, now)
        second = targets[self._another(index, count)]
        if not self._takes_part(second, now):
            return first, first_load
        second_load = self._load(pool, second, now)
        if second_load < first_load:
            return second, second_load
        return first, first_load

    def _another(self, index: int, count: int) -> int:
        """Return a random index below ``count`` other than the given one."""
        other = int(self.rng.random() * (count - 1))
        return other + 1 if other >= index else other

    def _takes_part(self, target: Target, now: float) -> bool:
        """Return whether a drawn target counts; a cold one does now and then."""
        if target.candidate.state is not TargetState.COLD:
            return True
        return self.rng.random() < self._share(target.candidate, now)

    def _share(self, candidate: Candidate, now: float) -> float:
        """Return the part of its slots that a target should be given now."""
        if candidate.state is not TargetState.COLD or now >= candidate.cold_until:
            return 1.0
        elapsed = 1.0 - (candidate.cold_until - now) / self.settings.slow_start
        return max(MIN_SLOW_START_SHARE, elapsed)

    def _load(self, pool: Pool, target: Target, now: float) -> float:
        """Return the load of a target.

        What was heard of a target fades towards the mean of its service, so a
        target that was avoided for long is neither shunned nor flooded. A target
        that was never heard counts as idle.
        """
        candidate = target.candidate
        slots = float(candidate.slots)
        if candidate.state is TargetState.COLD:
            slots *= self._share(candidate, now)
        load = (target.in_flight + 1) / max(1.0, slots)
        if target.heard_at is not None:
            age = now - target.heard_at
            weight = max(0.0, 1.0 - age / self.settings.pressure_age)
            load += target.pressure * weight + pool.pressure * (1.0 - weight)
            load *= 1.0 + self._excess_latency(pool, target, age)
        if target.faults > pool.faults and target.heard_at is not None:
            # What fails below the service fails behind all of its targets.
            weight = max(0.0, 1.0 - (now - target.heard_at) / FAULT_AGE_S)
            load += FAULT_LOAD * weight * (target.faults - pool.faults)
        if pool.ejector.any_failing and pool.ejector.failing(candidate.target_id):
            load += FAILING_LOAD
        return load

    def _excess_latency(self, pool: Pool, target: Target, age: float) -> float:
        """Return by how much the latency ratio to the median exceeds the tolerance.

        A slow target is tried again only now and then, because each trial costs a
        caller its latency, so this fades more slowly than pressure does.
        """
        limit = pool.latency * self.settings.latency_tolerance
        if not pool.latency or target.latency <= limit:
            return 0.0
        ratio = min(target.latency / pool.latency, MAX_LATENCY_RATIO)
        weight = max(0.0, 1.0 - age / self.settings.latency_age)
        return (ratio - self.settings.latency_tolerance) * weight

    def _learn(
        self,
        pool: Pool,
        target: Target,
        now: float,
        outcome: Outcome,
        latency: float,
        pressure: float | None,
    ) -> None:
        heard = pressure if pressure is not None else target.pressure
        if outcome is Outcome.SHED:
            heard = max(heard, SHED_PRESSURE)
        target.pressure = heard
        if not pool.heard:
            pool.heard = True
            pool.pressure = heard
        pool.pressure += SMOOTHING * (heard - pool.pressure)
        if outcome is Outcome.OK:
            known = target.heard_at is not None and target.latency > 0.0
            base = target.latency if known else latency
            target.latency = base + SMOOTHING * (latency - base)
        target.heard_at = now
        if now >= pool.latency_due:
            pool.latency_due = now + LATENCY_INTERVAL_S
            self._renew_latency(pool)

    def _renew_latency(self, pool: Pool) -> None:
        """Take the lower median, which one slow target of two or three can't raise."""
        latencies = sorted(target.latency for target in pool.targets if target.latency)
        if latencies:
            pool.latency = latencies[(len(latencies) - 1) // 2]

    def _refuse(self, service: str, retry_after: float) -> Refusal:
        return Refusal(
            Reason.NO_TARGET, retry_after=retry_after, step="routing", peer=service
        )

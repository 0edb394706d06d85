"""Overload levels, carried on responses, and load shedding at the entry node."""

import math
import random
from collections.abc import Iterable
from typing import NamedTuple

from .demand import DemandTable
from .refusals import Importance, Ran, Reason, Refusal
from .settings import LevelSettings

STEP = "entry"
CLASSES_BELOW_CRITICAL = int(max(Importance))
# Bounds the weight of one level: where responses are rare, the weight by age would let
# a single one decide.
MAX_SMOOTHING_GAIN = 0.1
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 2.0


class OverloadLevel(NamedTuple):
    """Overload level of one service as seen by one of its nodes.

    Attributes:
        service: Name of the service.
        lowest_admitted_importance: Least important class that is admitted at
            present, as the number of its ``Importance``; -1 if none is.
        pressure: Demand divided by capacity: slots are free below 1, requests queue
            above 1.
    """

    service: str
    lowest_admitted_importance: int
    pressure: float


def merge_levels(levels: Iterable[OverloadLevel]) -> list[OverloadLevel]:
    """Merge the levels of each service into that of its most loaded node.

    Levels of one service that come with one response are of nodes that the request
    needed, so the most loaded one decides whether such requests succeed.
    """
    merged: dict[str, OverloadLevel] = {}
    for level in levels:
        known = merged.get(level.service)
        if known is not None:
            admitted = min(
                known.lowest_admitted_importance, level.lowest_admitted_importance
            )
            pressure = max(known.pressure, level.pressure)
            level = OverloadLevel(level.service, admitted, pressure)
        merged[level.service] = level
    return list(merged.values())


class SmoothedLevel:
    """Smoothed level of a service.

    Attributes:
        pressure: Moving average of the pressure.
        refused_all_at: Time in seconds at which a node last admitted no importance.
        updated_at: Time of the newest level, in seconds.
    """

    __slots__ = ("pressure", "refused_all_at", "updated_at")

    def __init__(self, now: float) -> None:
        self.pressure = 0.0
        self.refused_all_at = float("-inf")
        self.updated_at = now


class OverloadLevelTable:
    """Overload levels that an entry node learns from responses, to shed requests.

    As the pressure of a service rises from ``shed_from`` to ``shed_all``, a growing
    share of SHEDDABLE and then of NORMAL requests is refused. CRITICAL requests are
    refused only while a node of the service admits no importance at all and the
    pressure is above ``shed_all``; all others are refused then.

    Attributes:
        services: Smoothed levels by service.
        routes: For each route, the time in seconds at which each service downstream
            of it was last seen.
        demands: Demand of accounts by overloaded service and importance.
    """

    def __init__(self, settings: LevelSettings) -> None:
        self.settings = settings
        self.services: dict[str, SmoothedLevel] = {}
        self.routes: dict[str, dict[str, float]] = {}
        self.demands: dict[tuple[str, Importance], DemandTable] = {}

    def update(self, route: str, levels: Iterable[OverloadLevel], now: float) -> None:
        """Record the levels that came with a response.

        Args:
            route: Name of the caller's route.
            levels: Levels of the services downstream of it.
            now: Time in seconds.
        """
        downstream = self.routes.setdefault(route, {})
        for level in levels:
            downstream[level.service] = now
            self._update_level(level, now)

    def check(
        self,
        route: str,
        importance: Importance,
        now: float,
        rng: random.Random,
        account: str = "",
    ) -> Refusal | None:
        """Decide whether a new request should be refused at the entry.

        Args:
            route: Name of the caller's route.
            importance: Importance of the request.
            now: Time in seconds.
            rng: Random source of the choice and of the jitter of ``retry_after``.
            account: Client account. Accounts below their fair share of the admitted
                requests are not refused.

        Returns:
            A refusal that names the overloaded service as its peer, or None if the
            request may go on.
        """
        service, severity = self._most_overloaded(route, now)
        share = self.shed_share(severity, importance)
        if self.settings.fair and severity > 0.0:
            demand = self.demands.setdefault(
                (service, importance), DemandTable(self.settings.fair_window)
            )
            demand.add(account, now)
            if 0.0 < share < 1.0:
                share = demand.refused_share(account, share, now)
        if share <= 0.0 or rng.random() >= share:
            return None
        delay = rng.uniform(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS)
        return Refusal(Reason.OVERLOAD, Ran.NOT_RUN, delay, STEP, service)

    def shed_share(self, severity: float, importance: Importance) -> float:
        """Return the share of requests of an importance to refuse, 0 to 1.

        Args:
            severity: At 0 nothing is shed, at 1 all SHEDDABLE, at 2 also all NORMAL
                and at 3 also all CRITICAL requests, except for those let through
                to notice a recovery.
            importance: Importance of the requests.
        """
        rank = CLASSES_BELOW_CRITICAL - importance
        share = min(max(severity - rank, 0.0), 1.0)
        sheds_critical = severity > CLASSES_BELOW_CRITICAL
        if sheds_critical and importance != Importance.CRITICAL:
            return 1.0
        return min(share, 1.0 - self.settings.probe_share)

    def severity(self, service: str, now: float) -> float:
        """Return how much load a service needs shed, from 0 to 3.

        A level loses weight with its age, so that requests are admitted again
        gradually when no responses arrive.
        """
        smoothed = self.services.get(service)
        if smoothed is None:
            return 0.0
        age = now - smoothed.updated_at
        weight = max(0.0, 1.0 - age / self.settings.max_age)
        start, full = self.settings.shed_from, self.settings.shed_all
        severity = CLASSES_BELOW_CRITICAL * (smoothed.pressure - start) / (full - start)
        if now - smoothed.refused_all_at >= self.settings.max_age:
            severity = min(severity, float(CLASSES_BELOW_CRITICAL))
        return weight * min(max(severity, 0.0), CLASSES_BELOW_CRITICAL + 1.0)

    def _most_overloaded(self, route: str, now: float) -> tuple[str, float]:
        worst_service, highest_severity = "", 0.0
        for service, last_seen in self.routes.get(route, {}).items():
            if now - last_seen >= self.settings.route_age:
                continue
            severity = self.severity(service, now)
            if severity > highest_severity:
                worst_service, highest_severity = service, severity
        return worst_service, highest_severity

    def _update_level(self, level: OverloadLevel, now: float) -> None:
        smoothed = self.services.get(level.service)
        if smoothed is None:
            smoothed = self.services[level.service] = SmoothedLevel(now)
            smoothed.pressure = level.pressure
        if now - smoothed.updated_at >= self.settings.max_age:
            smoothed.pressure = level.pressure
        age = now - smoothed.updated_at
        gain = min(1.0 - math.exp(-age / self.settings.smoothing), MAX_SMOOTHING_GAIN)
        smoothed.pressure += gain * (level.pressure - smoothed.pressure)
        smoothed.updated_at = now
        if level.lowest_admitted_importance < Importance.CRITICAL:
            smoothed.refused_all_at = now

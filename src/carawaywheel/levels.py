"""Overload levels, carried on answers, and early refusal at the entry."""

import math
import random
from collections.abc import Iterable
from typing import NamedTuple

from .demand import Demand
from .refusals import Importance, Ran, Reason, Refusal
from .settings import LevelSettings

STEP = "entry"
CLASSES_TO_SHED = int(max(Importance))
# Where answers are rare, one of them must not decide alone.
LARGEST_GAIN = 0.1
RETRY_AFTER_MIN = 0.5
RETRY_AFTER_MAX = 2.0


class OverloadLevel(NamedTuple):
    """Overload level of one service as seen by one of its nodes.

    Attributes:
        service: Name of the service.
        lowest_admitted_importance: Highest number of an importance class that is
            admitted at present; -1 if none is.
        pressure: Demand over capacity: below 1 free slots, above 1 queueing.
    """

    service: str
    lowest_admitted_importance: int
    pressure: float


def merge_levels(levels: Iterable[OverloadLevel]) -> list[OverloadLevel]:
    """Merge levels to one for each service, the most loaded.

    The levels of a service that come with one answer are of nodes that the request
    needed, so the most loaded one decides whether it gets through.
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


class Learned:
    """Smoothed level of a service.

    Attributes:
        pressure: Moving average of the pressure.
        refuses_all_at: Time at which a node last admitted no importance.
        learned_at: Time of the newest level, in seconds.
    """

    __slots__ = ("pressure", "refuses_all_at", "learned_at")

    def __init__(self, now: float) -> None:
        self.pressure = 0.0
        self.refuses_all_at = float("-inf")
        self.learned_at = now


class OverloadLevelTable:
    """Levels that an entry node learned from answers, by route and by service.

    A service's pressure sheds one importance after the other, each in proportion:
    from ``shed_from`` to ``shed_all`` first SHEDDABLE and then NORMAL. CRITICAL is
    refused only while a node of the service admits no importance at all and the
    pressure is above ``shed_all``, when the others are refused altogether.

    Attributes:
        services: Learned levels by service.
        routes: For each route, when each service was last seen below it.
        demands: Demand of accounts by overloaded service and importance.
    """

    def __init__(self, settings: LevelSettings) -> None:
        self.settings = settings
        self.services: dict[str, Learned] = {}
        self.routes: dict[str, dict[str, float]] = {}
        self.demands: dict[tuple[str, Importance], Demand] = {}

    def update(self, route: str, levels: Iterable[OverloadLevel], now: float) -> None:
        """Learn from the levels that came with an answer.

        Args:
            route: Name of the caller's route.
            levels: Levels of the services below it.
            now: Time in seconds.
        """
        below = self.routes.setdefault(route, {})
        for level in levels:
            below[level.service] = now
            self._learn_level(level, now)

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
            rng: Source of the random choice.
            account: Client account, so that accounts below their fair share of what
                passes are spared.

        Returns:
            A refusal whose peer is the service that is full, or None to go on.
        """
        service, severity = self._worst(route, now)
        share = self.shed_share(severity, importance)
        if self.settings.fair and severity > 0.0:
            demand = self.demands.setdefault(
                (service, importance), Demand(self.settings.fair_window)
            )
            demand.add(account, now)
            if 0.0 < share < 1.0:
                share = demand.refused_share(account, share, now)
        if share <= 0.0 or rng.random() >= share:
            return None
        delay = rng.uniform(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
        return Refusal(Reason.OVERLOAD, Ran.NOT_RUN, delay, STEP, service)

    def shed_share(self, severity: float, importance: Importance) -> float:
        """Return the share of an importance that is refused, 0 to 1.

        Args:
            severity: 0 nothing is shed, 1 all SHEDDABLE, 2 all NORMAL as well, 3 all
                CRITICAL as well.
            importance: The importance.
        """
        rank = CLASSES_TO_SHED - importance
        share = min(max(severity - rank, 0.0), 1.0)
        critical_suffers = severity > CLASSES_TO_SHED
        if critical_suffers and importance != Importance.CRITICAL:
            return 1.0
        return min(share, 1.0 - self.settings.probe_share)

    def severity(self, service: str, now: float) -> float:
        """Return how much a service needs to be shed, from 0 to 3.

        A level loses weight with its age, so that the requests come back gradually
        when the answers stop.
        """
        learned = self.services.get(service)
        if learned is None:
            return 0.0
        age = now - learned.learned_at
        weight = max(0.0, 1.0 - age / self.settings.max_age)
        start, full = self.settings.shed_from, self.settings.shed_all
        severity = CLASSES_TO_SHED * (learned.pressure - start) / (full - start)
        if now - learned.refuses_all_at >= self.settings.max_age:
            severity = min(severity, float(CLASSES_TO_SHED))
        return weight * min(max(severity, 0.0), CLASSES_TO_SHED + 1.0)

    def _worst(self, route: str, now: float) -> tuple[str, float]:
        worst, highest = "", 0.0
        for service, seen in self.routes.get(route, {}).items():
            if now - seen >= self.settings.route_age:
                continue
            severity = self.severity(service, now)
            if severity > highest:
                worst, highest = service, severity
        return worst, highest

    def _learn_level(self, level: OverloadLevel, now: float) -> None:
        learned = self.services.get(level.service)
        if learned is None:
            learned = self.services[level.service] = Learned(now)
            learned.pressure = level.pressure
        if now - learned.learned_at >= self.settings.max_age:
            learned.pressure = level.pressure
        age = now - learned.learned_at
        gain = min(1.0 - math.exp(-age / self.settings.smoothing), LARGEST_GAIN)
        learned.pressure += gain * (level.pressure - learned.pressure)
        learned.learned_at = now
        if level.lowest_admitted_importance < Importance.CRITICAL:
            learned.refuses_all_at = now

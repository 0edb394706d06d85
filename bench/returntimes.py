"""Plays bursts of load and prints what callers get by ways to choose retry times.

In the simulation, 12 nodes send requests to the six targets of one service. The nodes
shed with ``AdmissionLevelTable``, and the targets control their levels with
``AdmissionLevel``. A refused caller retries once, at the time that it is told, and
keeps its deadline. Latency counts from its first attempt. There is no rate limit, so
that only the retry times are compared. The ways to choose them:

- constant: 0.5 s with a jitter of a fifth;
- random: up to a third of the time left;
- bounded random: the same, and up to the share of the objective of ``ReturnTimes``;
- places: consecutive places in the capacity that is free by the rates of admissions and
  refusals at the node, with the bounds of ``ReturnTimes``;
- return times: ``ReturnTimes``.

Run ``python -m bench.returntimes --seed 7``.
"""

import heapq
import itertools
import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import typer

from carawaywheel.clock import ManualClock
from carawaywheel.mesh.messages import ServiceDemand
from carawaywheel.mesh.shedding import (
    LEVEL_GAIN,
    LOAD_SETPOINT,
    AdmissionLevel,
    AdmissionLevelTable,
    offered_load,
)

# Share of the caller's remaining time that the wait may use up.
MAX_REMAINING_SHARE = 1 / 3
# Share of the latency objective that the wait may use up. With 0.8, fewer requests than
# with a constant time of 0.5 s were answered within an objective of 1 s
# (docs/design/retry-times.md).
MAX_OBJECTIVE_SHARE = 0.7
# Wait below which the level has not changed noticeably.
MIN_WAIT_SECONDS = 0.2
# Part of the longest wait over which requests return if the level needs longer to rise.
MIN_SPREAD_SHARE = 0.2
# Load after a peak, as a share of the limit, that is assumed for the rise of the level.
USUAL_LOAD = 0.6
# Levels per second by which a level rises at this load.
RISE_RATE = LEVEL_GAIN * (LOAD_SETPOINT - USUAL_LOAD)
SERVICE = "svc"
DEMANDS = {SERVICE: 1.0}
NODE_COUNT = 12
TARGET_COUNT = 6
SLOTS = 10
SERVICE_SECONDS = 0.1
CAPACITY = TARGET_COUNT * SLOTS / SERVICE_SECONDS
MAX_QUEUED = 4 * SLOTS
DEADLINE_SECONDS = 4.0
# Time that every refusal by the level told before ``ReturnTimes``.
CONSTANT_SECONDS = 0.5
# Time constant of the rates of ``PlaceTimes``.
RATE_TIME_CONSTANT_SECONDS = 1.0
# Share of the admitted rate that ``PlaceTimes`` leaves to returning requests.
RETURN_SHARE = 0.3
CONTROL_SECONDS = 0.05
BURST_AT_SECONDS = 5.0
# Time after the burst in which requests still count, and time for the last to end.
TAIL_SECONDS = 4.0
DRAIN_SECONDS = 5.0
PRIORITY_WEIGHTS = (2, 6, 2)


class ReturnTimes:
    """Assigns retry times to refused requests."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def assign(self, missing_level: float, remaining: float, objective: float) -> float:
        """Return the seconds after which a refused request is to return.

        Args:
            missing_level: How far the level of the service is below the lowest level
                that always admits the request.
            remaining: Seconds that the caller has left; if none, 0 is returned.
            objective: Latency objective of its route in seconds.
        """
        latest = min(MAX_REMAINING_SHARE * remaining, MAX_OBJECTIVE_SHARE * objective)
        earliest = max(MIN_WAIT_SECONDS, missing_level / RISE_RATE)
        earliest = min(earliest, latest * (1.0 - MIN_SPREAD_SHARE))
        return max(0.0, self.rng.uniform(earliest, latest))


class Scenario(NamedTuple):
    """A load.

    Attributes:
        name: Name in the output.
        usual: Usual load of each account, as a share of the capacity.
        factors: Factor of the load of each account during the burst.
        seconds: Duration of the burst.
    """

    name: str
    usual: tuple[float, ...]
    factors: tuple[float, ...]
    seconds: float


SCENARIOS = [
    Scenario("burst of 3 s at 1.8", (0.35, 0.25), (3.0, 3.0), 3.0),
    Scenario("burst of 18 s at 1.8", (0.35, 0.25), (3.0, 3.0), 18.0),
    Scenario("one account at 7.5 times", (0.3, 0.2), (1.0, 7.5), 10.0),
]


class Call:
    """A request of a caller.

    Attributes:
        account: Index of its account.
        priority: Its priority; 0 is shed last.
        sent_at: Time of its first attempt, in seconds.
        refusals: Refusals so far.
        latency: Seconds until its response; None without one.
    """

    def __init__(self, account: int, priority: int, sent_at: float) -> None:
        self.account = account
        self.priority = priority
        self.sent_at = sent_at
        self.refusals = 0
        self.latency: float | None = None


class RetryTimes(ABC):
    """Way to choose retry times, at one node."""

    def __init__(self, rng: random.Random, objective: float) -> None:
        self.rng = rng
        self.objective = objective

    def longest(self, remaining: float) -> float:
        """Return the longest wait that ``ReturnTimes`` assigns, in seconds.

        Args:
            remaining: Seconds that the caller has left.
        """
        return min(
            MAX_REMAINING_SHARE * remaining, MAX_OBJECTIVE_SHARE * self.objective
        )

    def record_admission(self, now: float) -> None:
        """Count an admitted request at ``now``, in seconds."""
        return None

    @abstractmethod
    def wait(self, missing_level: float, remaining: float, now: float) -> float:
        """Return the seconds after which a refused request returns.

        Args:
            missing_level: How far the level is below the one that admits the request.
            remaining: Seconds that its caller has left.
            now: Time in seconds.
        """


class ConstantTimes(RetryTimes):
    """Constant time with a jitter of a fifth."""

    def wait(self, missing_level: float, remaining: float, now: float) -> float:
        """Return a retry time; see the base class."""
        return CONSTANT_SECONDS * self.rng.uniform(0.8, 1.2)


class RandomTimes(RetryTimes):
    """Random time up to a third of the time left."""

    def wait(self, missing_level: float, remaining: float, now: float) -> float:
        """Return a retry time; see the base class."""
        return MAX_REMAINING_SHARE * remaining * self.rng.random()


class BoundedTimes(RetryTimes):
    """Random time up to the longest that ``ReturnTimes`` assigns."""

    def wait(self, missing_level: float, remaining: float, now: float) -> float:
        """Return a retry time; see the base class."""
        return self.longest(remaining) * self.rng.random()


class EventRate:
    """Exponentially smoothed rate of events.

    Attributes:
        rate: Events per second at the time of the newest event.
        updated_at: Time of the newest event, in seconds.
    """

    def __init__(self) -> None:
        self.rate = 0.0
        self.updated_at = 0.0

    def record(self, now: float) -> None:
        """Count an event at ``now``, in seconds."""
        self.rate = self.current(now) + 1.0 / RATE_TIME_CONSTANT_SECONDS
        self.updated_at = now

    def current(self, now: float) -> float:
        """Return the events per second at ``now``, in seconds."""
        age = now - self.updated_at
        return self.rate * math.exp(-age / RATE_TIME_CONSTANT_SECONDS)


class PlaceTimes(RetryTimes):
    """Consecutive places, at the rate at which requests can be admitted.

    Attributes:
        admitted: Rate of admissions.
        refused: Rate of refusals.
        next_at: Time of the next place, in seconds.
    """

    def __init__(self, rng: random.Random, objective: float) -> None:
        super().__init__(rng, objective)
        self.admitted = EventRate()
        self.refused = EventRate()
        self.next_at = 0.0

    def record_admission(self, now: float) -> None:
        """Count an admitted request; see the base class."""
        self.admitted.record(now)

    def wait(self, missing_level: float, remaining: float, now: float) -> float:
        """Return a retry time; see the base class."""
        self.refused.record(now)
        latest = self.longest(remaining)
        place = max(self.next_at, now + max(MIN_WAIT_SECONDS, missing_level))
        if place - now > latest:
            return latest * self.rng.uniform(0.5, 1.0)
        admitted = self.admitted.current(now)
        rate = max(1.0, RETURN_SHARE * admitted, self.refused.current(now) - admitted)
        self.next_at = place + 1.0 / rate
        return place - now


class AssignedTimes(RetryTimes):
    """Times of ``ReturnTimes``."""

    def wait(self, missing_level: float, remaining: float, now: float) -> float:
        """Return a retry time; see the base class."""
        return ReturnTimes(self.rng).assign(missing_level, remaining, self.objective)


POLICIES: dict[str, type[RetryTimes]] = {
    "constant": ConstantTimes,
    "random": RandomTimes,
    "bounded random": BoundedTimes,
    "places": PlaceTimes,
    "return times": AssignedTimes,
}


class Node:
    """An entry node.

    Attributes:
        levels: Levels that replies reported to it.
        retry_times: Its retry times.
    """

    def __init__(
        self, policy: type[RetryTimes], rng: random.Random, objective: float
    ) -> None:
        self.levels = AdmissionLevelTable(rng)
        self.retry_times = policy(rng, objective)


class Target:
    """A target and the node beside it.

    Attributes:
        level: Its admission level.
        running: Requests that hold a slot.
        queue: Waiting requests by priority and order, with their entry nodes.
        arrivals: Requests since the newest control step.
    """

    def __init__(self) -> None:
        self.level = AdmissionLevel(float(len(PRIORITY_WEIGHTS)))
        self.running = 0
        self.queue: list[tuple[int, int, Call, Node]] = []
        self.arrivals = 0


class Result(NamedTuple):
    """Shares of the requests sent from the burst on, and of the worst account.

    Attributes:
        in_time: Answered within the latency objective.
        answered: Answered before the deadline.
        refused_twice: Refused twice.
    """

    in_time: float
    answered: float
    refused_twice: float


def summarize(calls: list[Call], objective: float) -> Result:
    """Return the shares over calls; of none, all are 0."""
    latencies = [call.latency for call in calls if call.latency is not None]
    count = max(1, len(calls))
    return Result(
        sum(latency <= objective for latency in latencies) / count,
        len(latencies) / count,
        sum(call.refusals > 1 for call in calls) / count,
    )


class Simulation:
    """One run of a scenario with one way to choose retry times.

    Attributes:
        calls: Requests sent from the burst on and counted.
    """

    def __init__(
        self,
        scenario: Scenario,
        policy: type[RetryTimes],
        objective: float,
        seed: int,
    ) -> None:
        self.scenario = scenario
        self.arrival_rng = random.Random(seed)
        self.rng = random.Random(seed + 1)
        self.clock = ManualClock()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.nodes = [Node(policy, self.rng, objective) for _ in range(NODE_COUNT)]
        self.targets = [Target() for _ in range(TARGET_COUNT)]
        self.calls: list[Call] = []
        self.ends_at = BURST_AT_SECONDS + scenario.seconds + TAIL_SECONDS

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Run an action at a time in seconds."""
        heapq.heappush(self.events, (at, next(self.order), action))

    def run(self) -> list[Call]:
        """Run the scenario and return the counted requests."""
        for account in range(len(self.scenario.usual)):
            self.schedule(0.0, partial(self.send_next, account))
        self.schedule(0.0, self.control)
        while self.events and self.events[0][0] < self.ends_at + DRAIN_SECONDS:
            at, _, action = heapq.heappop(self.events)
            self.clock.advance(at - self.clock.now())
            action()
        return self.calls

    def send_next(self, account: int) -> None:
        """Send a request of an account and schedule the next one."""
        now = self.clock.now()
        if now >= self.ends_at:
            return
        rate = self.scenario.usual[account] * CAPACITY
        burst_end = BURST_AT_SECONDS + self.scenario.seconds
        if BURST_AT_SECONDS <= now < burst_end:
            rate *= self.scenario.factors[account]
        priority = self.arrival_rng.choices(range(3), PRIORITY_WEIGHTS)[0]
        call = Call(account, priority, now)
        node = self.arrival_rng.choice(self.nodes)
        if now >= BURST_AT_SECONDS:
            self.calls.append(call)
        gap = self.arrival_rng.expovariate(rate)
        self.schedule(now + gap, partial(self.send_next, account))
        self.attempt(call, node)

    def attempt(self, call: Call, node: Node) -> None:
        """Admit a request at a node, or refuse it."""
        now = self.clock.now()
        admitted, _, level = node.levels.admits(DEMANDS, call.priority, now)
        target = min(
            self.rng.sample(self.targets, 2),
            key=lambda item: item.running + len(item.queue),
        )
        if not admitted or len(target.queue) >= MAX_QUEUED:
            self.refuse(call, node, max(0.0, call.priority + 1 - level))
            return
        node.retry_times.record_admission(now)
        target.arrivals += 1
        heapq.heappush(target.queue, (call.priority, next(self.order), call, node))
        self.start(target)

    def refuse(self, call: Call, node: Node, missing_level: float) -> None:
        """Refuse a request; its caller retries once, at any node."""
        call.refusals += 1
        now = self.clock.now()
        remaining = call.sent_at + DEADLINE_SECONDS - now
        if call.refusals > 1 or remaining <= 0.0:
            return
        wait = node.retry_times.wait(missing_level, remaining, now)
        self.schedule(
            now + wait, partial(self.attempt, call, self.rng.choice(self.nodes))
        )

    def start(self, target: Target) -> None:
        """Give the free slots of a target to waiting requests."""
        now = self.clock.now()
        while target.queue and target.running < SLOTS:
            _, _, call, node = heapq.heappop(target.queue)
            if now > call.sent_at + DEADLINE_SECONDS:
                continue
            target.running += 1
            duration = self.rng.gammavariate(4.0, SERVICE_SECONDS / 4.0)
            self.schedule(now + duration, partial(self.finish, target, call, node))

    def finish(self, target: Target, call: Call, node: Node) -> None:
        """Deliver a response, which reports the level of the target."""
        target.running -= 1
        now = self.clock.now()
        if now <= call.sent_at + DEADLINE_SECONDS:
            call.latency = now - call.sent_at
        node.levels.update([ServiceDemand(SERVICE, 1.0, target.level.level)], now)
        self.start(target)

    def control(self) -> None:
        """Update the levels of all targets."""
        now = self.clock.now()
        for target in self.targets:
            arrivals = target.arrivals / CONTROL_SECONDS
            queued = len(target.queue)
            load = offered_load(arrivals, SERVICE_SECONDS, queued, SLOTS)
            target.level.update(load, now)
            target.arrivals = 0
        self.schedule(now + CONTROL_SECONDS, self.control)


def play(
    scenario: Scenario, policy: str, objective: float, seed: int
) -> tuple[Result, Result]:
    """Return the results of all requests and those of the worst account."""
    calls = Simulation(scenario, POLICIES[policy], objective, seed).run()
    by_account = [
        summarize([call for call in calls if call.account == account], objective)
        for account in range(len(scenario.usual))
    ]
    return summarize(calls, objective), min(by_account)


def main(seed: int = 7, seeds: int = 8, objective: float = 1.0) -> None:
    """Print the results of all scenarios, averaged over seeds.

    Args:
        seed: First seed.
        seeds: Number of seeds.
        objective: Latency objective in seconds.
    """
    print(
        f"{'load':<26}{'retry times':<15}{'in time':>8}{'answered':>10}"
        f"{'refused twice':>15}{'worst: in time':>16}{'answered':>10}"
        f"{'refused twice':>15}{'in time, change':>18}"
    )
    for scenario in SCENARIOS:
        former: list[tuple[Result, Result]] = []
        for policy in POLICIES:
            results = [
                play(scenario, policy, objective, seed + index)
                for index in range(seeds)
            ]
            former = former or results
            changes = [
                100 * (new.in_time - old.in_time)
                for (new, _), (old, _) in zip(results, former, strict=True)
            ]
            columns = zip(*((*total, *worst) for total, worst in results), strict=True)
            cells = [
                f"{100 * sum(column) / seeds:>{width - 1}.1f}%"
                for column, width in zip(columns, (8, 10, 15, 16, 10, 15), strict=True)
            ]
            print(
                f"{scenario.name:<26}{policy:<15}{''.join(cells)}"
                f"{min(changes):>+9.1f} to {max(changes):>+5.1f}"
            )


if __name__ == "__main__":
    typer.run(main)

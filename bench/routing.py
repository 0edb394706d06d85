"""Choice of two by load against random choice and round robin, in a simulation.

One service of 12 targets in 3 failure domains is called by 12 nodes, on a paused
clock. Each target runs as many calls at once as it has slots and queues the rest;
a call fails after its deadline. There are no retries and no admission control, so
that only the choice of target is compared.

Run ``python -m bench.routing --seed 7``.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import typer

from carawaywheel.refusals import Outcome
from carawaywheel.routing import Candidate, Router, TargetState
from carawaywheel.settings import RoutingSettings

TARGETS = 12
DOMAINS = 3
SLOTS = 10
SERVICE_TIME_S = 0.05
LOAD = 0.6
DEADLINE_S = 1.0
RUN_S = 40.0
FAULT_AT_S = 10.0
SAMPLE_S = 0.1
NEAR_S = 0.0003
FAR_S = 0.0015
CONNECT_TIMEOUT_S = 0.25
COLD_FACTOR = 4.0
SLOW_FACTOR = 10.0


class Result(NamedTuple):
    """Figures of one run after the fault.

    Attributes:
        goodput: Calls answered in time, as a share of all.
        p99: Latency in seconds at the 99th percentile of the answered calls.
        left_domain: Share of calls that left the caller's failure domain.
        ejected: Mean share of targets that a node had ejected.
    """

    goodput: float
    p99: float
    left_domain: float
    ejected: float


class Target:
    """A simulated target."""

    def __init__(self, candidate: Candidate) -> None:
        self.candidate = candidate
        self.running = 0
        self.queue: deque[Call] = deque()
        self.factor = 1.0
        self.down = False
        self.failing = False
        self.lying = False

    def pressure(self) -> float:
        """Return the load that the target's answers carry."""
        return 0.0 if self.lying else (self.running + len(self.queue)) / SLOTS


class Call(NamedTuple):
    """A call under way."""

    node: int
    target: str
    start: float


Chooser = Callable[["Simulation", int], str]


class Simulation:
    """One run with one way to choose and one fault."""

    def __init__(self, seed: int, chooser: Chooser, fault: str) -> None:
        self.rng = random.Random(seed)
        self.chooser = chooser
        self.fault = fault
        self.now = 0.0
        self.count = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.turns = [0] * TARGETS
        self.targets = {name: Target(make_candidate(name)) for name in NAMES}
        candidates = [target.candidate for target in self.targets.values()]
        self.routers = []
        for node in range(TARGETS):
            rng = random.Random(self.rng.random())
            router = Router(RoutingSettings(), domain_of(node), rng)
            router.set_candidates(candidates, 0.0)
            self.routers.append(router)
        self.total = 0
        self.left = 0
        self.latencies: list[float] = []
        self.ejected: list[float] = []

    def run(self) -> Result:
        """Run to the end and return the figures."""
        self.at(0.0, self.arrive)
        self.at(FAULT_AT_S, self.break_something)
        self.at(FAULT_AT_S, self.sample)
        while self.events and self.events[0][0] < RUN_S:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.latencies.sort()
        return Result(
            len(self.latencies) / self.total,
            self.latencies[int(len(self.latencies) * 0.99)],
            self.left / self.total,
            sum(self.ejected) / len(self.ejected),
        )

    def at(self, due: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        self.count += 1
        heapq.heappush(self.events, (due, self.count, action))

    def arrive(self) -> None:
        """Send one call from a random node and schedule the next."""
        rate = LOAD * TARGETS * SLOTS / SERVICE_TIME_S
        self.at(self.now + self.rng.expovariate(rate), self.arrive)
        node = self.rng.randrange(TARGETS)
        name = self.chooser(self, node)
        call = Call(node, name, self.now)
        target = self.targets[name]
        self.routers[node].record_start(name, self.now)
        # Calls that can't end before the run does are not counted.
        if FAULT_AT_S <= self.now < RUN_S - DEADLINE_S:
            self.total += 1
            self.left += target.candidate.domain != domain_of(node)
        if target.down:
            due = self.now + CONNECT_TIMEOUT_S
            self.at(due, lambda: self.answer(call, Outcome.FAILED))
            return
        self.at(self.now + self.delay(call), lambda: self.accept(call))

    def accept(self, call: Call) -> None:
        """Run a call at its target or queue it there."""
        target = self.targets[call.target]
        if target.failing:
            self.answer(call, Outcome.FAILED)
        elif target.running < SLOTS:
            self.serve(call)
        else:
            target.queue.append(call)

    def serve(self, call: Call) -> None:
        """Run a call."""
        target = self.targets[call.target]
        target.running += 1
        mean = SERVICE_TIME_S * target.factor
        duration = self.rng.uniform(0.5, 1.5) * mean
        self.at(self.now + duration, lambda: self.complete(call))

    def complete(self, call: Call) -> None:
        """End a call and run the next one that is still in time."""
        target = self.targets[call.target]
        target.running -= 1
        late = self.now - call.start > DEADLINE_S
        outcome = Outcome.TIMEOUT if late else Outcome.OK
        if target.down:
            outcome = Outcome.FAILED
        self.at(self.now + self.delay(call), lambda: self.answer(call, outcome))
        while target.queue and target.running < SLOTS:
            waiting = target.queue.popleft()
            if self.now - waiting.start > DEADLINE_S:
                self.answer(waiting, Outcome.TIMEOUT)
            else:
                self.serve(waiting)

    def answer(self, call: Call, outcome: Outcome) -> None:
        """Give the answer to the caller's node."""
        latency = self.now - call.start
        target = self.targets[call.target]
        pressure = target.pressure() if outcome is Outcome.OK else None
        router = self.routers[call.node]
        router.record_finish(call.target, self.now, outcome, latency, pressure)
        counted = FAULT_AT_S <= call.start < RUN_S - DEADLINE_S
        if counted and outcome is Outcome.OK:
            self.latencies.append(latency)

    def delay(self, call: Call) -> float:
        """Return the one-way delay of a call in seconds."""
        domain = self.targets[call.target].candidate.domain
        return NEAR_S if domain == domain_of(call.node) else FAR_S

    def sample(self) -> None:
        """Record how many targets are ejected."""
        counts = [router.ejected_count("svc") for router in self.routers]
        self.ejected.append(sum(counts) / len(counts) / TARGETS)
        self.at(self.now + SAMPLE_S, self.sample)

    def break_something(self) -> None:
        """Apply the fault of this run."""
        first = self.targets[NAMES[0]]
        if self.fault == "lying and failing":
            first.failing = first.lying = True
        elif self.fault == "slow, lying":
            first.factor, first.lying = SLOW_FACTOR, True
        elif self.fault == "cold target":
            self.make_cold(first)
        elif self.fault == "domain lost":
            for target in self.targets.values():
                target.down = target.candidate.domain == domain_of(0)

    def make_cold(self, target: Target) -> None:
        """Restart a target, which is slow until it is warm."""
        until = self.now + RoutingSettings().slow_start
        target.factor = COLD_FACTOR
        self.at(until, lambda: setattr(target, "factor", 1.0))
        cold = target.candidate._replace(state=TargetState.COLD, cold_until=until)
        target.candidate = cold
        candidates = [target.candidate for target in self.targets.values()]
        for router in self.routers:
            router.set_candidates(candidates, self.now)


def domain_of(number: int) -> str:
    """Return the failure domain of a node or target."""
    return f"domain-{number % DOMAINS}"


def make_candidate(name: str) -> Candidate:
    """Return a ready candidate."""
    domain = domain_of(int(name))
    return Candidate(name, name, "svc", name, domain, SLOTS, TargetState.READY, 0.0)


NAMES = [str(number) for number in range(TARGETS)]


def choose_by_load(simulation: Simulation, node: int) -> str:
    """Choose with the router."""
    choice = simulation.routers[node].choose("svc", simulation.now)
    return choice.target_id if isinstance(choice, Candidate) else NAMES[0]


def choose_at_random(simulation: Simulation, node: int) -> str:
    """Choose any target."""
    return simulation.rng.choice(NAMES)


def choose_in_turn(simulation: Simulation, node: int) -> str:
    """Choose one target after the other."""
    simulation.turns[node] += 1
    return NAMES[(simulation.turns[node] + node) % TARGETS]


CHOOSERS = {
    "choice of two": choose_by_load,
    "random": choose_at_random,
    "round robin": choose_in_turn,
}
FAULTS = ("none", "lying and failing", "slow, lying", "cold target", "domain lost")


def run(seed: int = 7) -> None:
    """Print the figures of all ways to choose under all faults."""
    print(f"seed {seed}; load {LOAD:.0%} of capacity; figures after the fault")
    print(f"{'fault':18} {'way':14} goodput  p99 ms  left domain  ejected")
    for fault in FAULTS:
        for name, chooser in CHOOSERS.items():
            result = Simulation(seed, chooser, fault).run()
            print(
                f"{fault:18} {name:14} {result.goodput:7.1%} {result.p99 * 1000:7.0f}"
                f" {result.left_domain:12.1%} {result.ejected:8.1%}",
                flush=True,
            )


if __name__ == "__main__":
    typer.run(run)

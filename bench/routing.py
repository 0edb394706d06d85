"""Compares the power of two choices with random and round-robin load balancing.

In the simulation, 12 nodes call one service of 12 targets in 3 failure domains. Each
target runs as many calls at once as it has slots and queues the rest; a call fails
after its deadline. There are no retries and no admission control, so that only the
load balancing is compared.

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

TARGET_COUNT = 12
DOMAIN_COUNT = 3
SLOTS = 10
SERVICE_TIME_SECONDS = 0.05
LOAD = 0.6
DEADLINE_SECONDS = 1.0
RUN_SECONDS = 40.0
FAULT_AT_SECONDS = 10.0
SAMPLE_INTERVAL_SECONDS = 0.1
SAME_DOMAIN_DELAY_SECONDS = 0.0003
OTHER_DOMAIN_DELAY_SECONDS = 0.0015
CONNECT_TIMEOUT_SECONDS = 0.25
COLD_SERVICE_TIME_FACTOR = 4.0
SLOW_SERVICE_TIME_FACTOR = 10.0


class Result(NamedTuple):
    """Results of one run after the fault.

    Attributes:
        goodput: Share of calls answered before their deadline.
        p99: Latency in seconds at the 99th percentile of the answered calls.
        left_domain: Share of calls to another failure domain than the caller's.
        ejected: Mean share of targets that are ejected at a node.
    """

    goodput: float
    p99: float
    left_domain: float
    ejected: float


class Target:
    """A simulated target.

    Attributes:
        candidate: The target as the routers know it.
        active_calls: Number of calls that hold a slot.
        queue: Calls that wait for a slot.
        service_time_factor: Service time relative to normal.
        down: Whether the target accepts no connections.
        failing: Whether the target fails all calls immediately.
        reports_idle: Whether the target always reports a load of zero.
    """

    def __init__(self, candidate: Candidate) -> None:
        self.candidate = candidate
        self.active_calls = 0
        self.queue: deque[Call] = deque()
        self.service_time_factor = 1.0
        self.down = False
        self.failing = False
        self.reports_idle = False

    def pressure(self) -> float:
        """Return the load that the target reports with its responses."""
        return (
            0.0 if self.reports_idle else (self.active_calls + len(self.queue)) / SLOTS
        )


class Call(NamedTuple):
    """A call in progress: its node, its target and its start in seconds."""

    node: int
    target: str
    start: float


Chooser = Callable[["Simulation", int], str]


class Simulation:
    """One run with one load balancing policy and one fault."""

    def __init__(self, seed: int, chooser: Chooser, fault: str) -> None:
        self.rng = random.Random(seed)
        self.chooser = chooser
        self.fault = fault
        self.now = 0.0
        self.event_count = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.round_robin_counts = [0] * TARGET_COUNT
        self.targets = {name: Target(make_candidate(name)) for name in TARGET_NAMES}
        candidates = [target.candidate for target in self.targets.values()]
        self.routers = []
        for node in range(TARGET_COUNT):
            rng = random.Random(self.rng.random())
            router = Router(RoutingSettings(), domain_name(node), rng)
            router.set_candidates(candidates, 0.0)
            self.routers.append(router)
        self.call_count = 0
        self.left_domain_count = 0
        self.latencies: list[float] = []
        self.ejected_shares: list[float] = []

    def run(self) -> Result:
        """Run to the end and return the results."""
        self.schedule(0.0, self.generate_call)
        self.schedule(FAULT_AT_SECONDS, self.inject_fault)
        self.schedule(FAULT_AT_SECONDS, self.sample_ejections)
        while self.events and self.events[0][0] < RUN_SECONDS:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.latencies.sort()
        return Result(
            len(self.latencies) / self.call_count,
            self.latencies[int(len(self.latencies) * 0.99)],
            self.left_domain_count / self.call_count,
            sum(self.ejected_shares) / len(self.ejected_shares),
        )

    def schedule(self, due: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time in seconds."""
        self.event_count += 1
        heapq.heappush(self.events, (due, self.event_count, action))

    def generate_call(self) -> None:
        """Send one call from a random node and schedule the next call."""
        rate = LOAD * TARGET_COUNT * SLOTS / SERVICE_TIME_SECONDS
        self.schedule(self.now + self.rng.expovariate(rate), self.generate_call)
        node = self.rng.randrange(TARGET_COUNT)
        name = self.chooser(self, node)
        call = Call(node, name, self.now)
        target = self.targets[name]
        self.routers[node].record_start(name, self.now)
        # Calls that may still be running at the end of the run are not counted.
        if FAULT_AT_SECONDS <= self.now < RUN_SECONDS - DEADLINE_SECONDS:
            self.call_count += 1
            self.left_domain_count += target.candidate.domain != domain_name(node)
        if target.down:
            due = self.now + CONNECT_TIMEOUT_SECONDS
            self.schedule(due, lambda: self.record_response(call, Outcome.FAILED))
            return
        self.schedule(
            self.now + self.one_way_delay(call), lambda: self.receive_call(call)
        )

    def receive_call(self, call: Call) -> None:
        """Run a call at its target, or queue it if all slots are in use."""
        target = self.targets[call.target]
        if target.failing:
            self.record_response(call, Outcome.FAILED)
        elif target.active_calls < SLOTS:
            self.run_call(call)
        else:
            target.queue.append(call)

    def run_call(self, call: Call) -> None:
        """Run a call in a slot of its target."""
        target = self.targets[call.target]
        target.active_calls += 1
        mean = SERVICE_TIME_SECONDS * target.service_time_factor
        duration = self.rng.uniform(0.5, 1.5) * mean
        self.schedule(self.now + duration, lambda: self.end_call(call))

    def end_call(self, call: Call) -> None:
        """End a call and run queued calls that are still within their deadline."""
        target = self.targets[call.target]
        target.active_calls -= 1
        late = self.now - call.start > DEADLINE_SECONDS
        outcome = Outcome.TIMEOUT if late else Outcome.OK
        if target.down:
            outcome = Outcome.FAILED
        self.schedule(
            self.now + self.one_way_delay(call),
            lambda: self.record_response(call, outcome),
        )
        while target.queue and target.active_calls < SLOTS:
            queued_call = target.queue.popleft()
            if self.now - queued_call.start > DEADLINE_SECONDS:
                self.record_response(queued_call, Outcome.TIMEOUT)
            else:
                self.run_call(queued_call)

    def record_response(self, call: Call, outcome: Outcome) -> None:
        """Record the response to a call at the caller's node."""
        latency = self.now - call.start
        target = self.targets[call.target]
        pressure = target.pressure() if outcome is Outcome.OK else None
        router = self.routers[call.node]
        router.record_finish(call.target, self.now, outcome, latency, pressure)
        counted = FAULT_AT_SECONDS <= call.start < RUN_SECONDS - DEADLINE_SECONDS
        if counted and outcome is Outcome.OK:
            self.latencies.append(latency)

    def one_way_delay(self, call: Call) -> float:
        """Return the one-way delay of a call in seconds."""
        domain = self.targets[call.target].candidate.domain
        return (
            SAME_DOMAIN_DELAY_SECONDS
            if domain == domain_name(call.node)
            else OTHER_DOMAIN_DELAY_SECONDS
        )

    def sample_ejections(self) -> None:
        """Record the share of ejected targets and schedule the next sample."""
        counts = [router.ejected_count("svc") for router in self.routers]
        self.ejected_shares.append(sum(counts) / len(counts) / TARGET_COUNT)
        self.schedule(self.now + SAMPLE_INTERVAL_SECONDS, self.sample_ejections)

    def inject_fault(self) -> None:
        """Inject the fault of this run."""
        first = self.targets[TARGET_NAMES[0]]
        if self.fault == "lying and failing":
            first.failing = first.reports_idle = True
        elif self.fault == "slow, lying":
            first.service_time_factor, first.reports_idle = (
                SLOW_SERVICE_TIME_FACTOR,
                True,
            )
        elif self.fault == "cold target":
            self.make_cold(first)
        elif self.fault == "domain lost":
            for target in self.targets.values():
                target.down = target.candidate.domain == domain_name(0)

    def make_cold(self, target: Target) -> None:
        """Restart a target, which is slow until its slow start ends."""
        until = self.now + RoutingSettings().slow_start
        target.service_time_factor = COLD_SERVICE_TIME_FACTOR
        self.schedule(until, lambda: setattr(target, "service_time_factor", 1.0))
        cold_candidate = target.candidate._replace(
            state=TargetState.COLD, cold_until=until
        )
        target.candidate = cold_candidate
        candidates = [target.candidate for target in self.targets.values()]
        for router in self.routers:
            router.set_candidates(candidates, self.now)


def domain_name(number: int) -> str:
    """Return the failure domain of a node or target."""
    return f"domain-{number % DOMAIN_COUNT}"


def make_candidate(name: str) -> Candidate:
    """Return a ready candidate."""
    domain = domain_name(int(name))
    return Candidate(name, name, "svc", name, domain, SLOTS, TargetState.READY, 0.0)


TARGET_NAMES = [str(number) for number in range(TARGET_COUNT)]


def choose_by_load(simulation: Simulation, node: int) -> str:
    """Select a target with the router: the less loaded of two random ones."""
    choice = simulation.routers[node].choose("svc", simulation.now)
    return choice.target_id if isinstance(choice, Candidate) else TARGET_NAMES[0]


def choose_at_random(simulation: Simulation, node: int) -> str:
    """Select a random target."""
    return simulation.rng.choice(TARGET_NAMES)


def choose_round_robin(simulation: Simulation, node: int) -> str:
    """Select the targets of a node in rotation."""
    simulation.round_robin_counts[node] += 1
    return TARGET_NAMES[(simulation.round_robin_counts[node] + node) % TARGET_COUNT]


CHOOSERS = {
    "choice of two": choose_by_load,
    "random": choose_at_random,
    "round robin": choose_round_robin,
}
FAULTS = ("none", "lying and failing", "slow, lying", "cold target", "domain lost")


def run(seed: int = 7) -> None:
    """Print the results of all load balancing policies under all faults."""
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

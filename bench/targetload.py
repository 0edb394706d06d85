"""Compares the placement of requests with and without the reported speed of targets.

In the simulation, 24 nodes send requests to one service of 12 targets in 3 failure
domains. The targets differ in speed, and work takes longer at times on their machines,
which they report. The routers, the admission queues and the load of the targets are
those of the node; the clock is simulated. Beside them stand two simple baselines: one
queue for all targets, from which requests are taken first come, first served, without
any delay, and random targets. Policy ``slots`` is the placement by slots alone,
``speed`` that of the node, and ``whole`` the one that counts the whole slowdown.

Run ``python -m bench.targetload --seeds 7,8,9``.
"""

import bisect
import heapq
import math
import random
import statistics
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import typer

from carawaywheel.admission import AdmissionQueue, Admitted, QueueChanges, Queued
from carawaywheel.fairness import Ticket
from carawaywheel.limits import FixedLimit
from carawaywheel.mesh.execution import USABLE_SLOT_SHARE
from carawaywheel.mesh.messages import ReportedLoad
from carawaywheel.mesh.sender import MAX_REFUSALS
from carawaywheel.mesh.targetload import TargetLoad
from carawaywheel.refusals import Importance, Outcome
from carawaywheel.routing import Candidate, Router, TargetState
from carawaywheel.settings import AdmissionSettings, RoutingSettings

NODE_COUNT = 24
TARGET_COUNT = 12
DOMAIN_COUNT = 3
SLOTS = 10
LIMIT = int(SLOTS * USABLE_SLOT_SHARE)
WORK_SECONDS = 0.12
MIN_SPEED, MAX_SPEED = 0.5, 1.7
DEADLINE_SECONDS = 1.5
# Latency within which a response is most useful to a caller.
OBJECTIVE_SECONDS = 0.4
WARM_UP_SECONDS = 4.0
RUN_SECONDS = 24.0
TICK_SECONDS = 0.05
SAME_DOMAIN_DELAY_SECONDS = 0.0003
OTHER_DOMAIN_DELAY_SECONDS = 0.0015


class Scenario(NamedTuple):
    """How the speed of targets varies.

    Attributes:
        name: Name in the output.
        varies: Whether the usual speeds of targets differ.
        jitter: Standard deviation of the logarithm of the slowdown in one tick.
        episode: Slowdown in an episode; 1 for no episodes.
        episode_seconds: Mean duration of an episode.
        interval: Mean seconds between two episodes of a target.
        reports_speed: Whether the reported figure is relative to the mean of the
            service, rather than to the usual speed of the target.
        reports: Whether targets report the figure.
    """

    name: str
    varies: bool
    jitter: float
    episode: float
    episode_seconds: float = 2.0
    interval: float = 8.0
    reports_speed: bool = False
    reports: bool = True


SCENARIOS = (
    Scenario("not reported", True, 0.2, 2.5, reports=False),
    Scenario("jitter", False, 0.4, 1.0),
    Scenario("speeds", True, 0.0, 1.0),
    Scenario("speeds, told", True, 0.0, 1.0, reports_speed=True),
    Scenario("episodes", False, 0.2, 2.5),
    Scenario("all", True, 0.2, 2.5),
    Scenario("all, told", True, 0.2, 2.5, reports_speed=True),
)


class Result(NamedTuple):
    """Results of one run.

    Attributes:
        answered: Share of requests answered before their deadline.
        useful: Share of requests answered within the objective.
        mean: Mean latency of the answered requests, in seconds.
        p99: Latency in seconds at the 99th percentile of the answered requests.
        refusals: Refusals by targets for each request.
    """

    answered: float
    useful: float
    mean: float
    p99: float
    refusals: float


class Request:
    """A request of a caller."""

    def __init__(self, node: int, arrived_at: float, work: float) -> None:
        self.node = node
        self.arrived_at = arrived_at
        self.work = work
        self.tried: list[str] = []
        self.sent_at = arrived_at


class Machine:
    """Speed of a target's machine over the run, drawn in advance.

    Attributes:
        speed: Usual speed.
        slowdowns: Slowdown in each tick.
        progress: Work done since the start of the run, at the start of each tick.
    """

    def __init__(self, scenario: Scenario, speed: float, rng: random.Random) -> None:
        self.speed = speed
        self.slowdowns: list[float] = []
        self.progress = [0.0]
        self.reports_speed = scenario.reports_speed
        episode_ends = -1.0
        for tick in range(int((RUN_SECONDS + 10 * DEADLINE_SECONDS) / TICK_SECONDS)):
            now = tick * TICK_SECONDS
            begins = rng.random() < TICK_SECONDS / scenario.interval
            if scenario.episode > 1.0 and now >= episode_ends and begins:
                episode_ends = now + rng.expovariate(1 / scenario.episode_seconds)
            slowdown = math.exp(rng.gauss(0.0, scenario.jitter))
            if now < episode_ends:
                slowdown *= scenario.episode
            self.slowdowns.append(slowdown)
            done = TICK_SECONDS * speed / slowdown
            self.progress.append(self.progress[-1] + done)

    @property
    def mean_rate(self) -> float:
        """Work done in a second, on average."""
        return self.progress[-1] / (len(self.slowdowns) * TICK_SECONDS)

    def progress_at(self, now: float) -> float:
        """Return the work done from the start of the run until a time."""
        tick = min(int(now / TICK_SECONDS), len(self.slowdowns) - 1)
        rate = self.speed / self.slowdowns[tick]
        return self.progress[tick] + (now - tick * TICK_SECONDS) * rate

    def end_of(self, work: float, start: float) -> float:
        """Return the time in seconds at which work that starts now ends."""
        goal = self.progress_at(start) + work
        tick = min(bisect.bisect_right(self.progress, goal), len(self.slowdowns)) - 1
        rate = self.speed / self.slowdowns[tick]
        return tick * TICK_SECONDS + (goal - self.progress[tick]) / rate

    def reported_slowdown(self, now: float) -> float:
        """Return the figure that a response sent now reports, in whole percent."""
        slowdown = self.slowdowns[min(int(now / TICK_SECONDS), len(self.slowdowns) - 1)]
        if self.reports_speed:
            slowdown /= self.speed
        return round(slowdown * 100) / 100


class Target:
    """A target with the node beside it."""

    def __init__(self, name: str, machine: Machine, seed: float) -> None:
        self.name = name
        self.machine = machine
        self.queue = AdmissionQueue(
            AdmissionSettings(fair=False),
            FixedLimit(LIMIT),
            SLOTS,
            random.Random(seed),
        )
        self.load = TargetLoad()
        self.requests: dict[str, Request] = {}
        self.polled = False

    @property
    def occupancy(self) -> float:
        """Requests that run and wait, as a share of the limit."""
        return (self.queue.in_flight + self.queue.queued) / LIMIT


class Simulation:
    """One run of a scenario under one policy."""

    def __init__(self, scenario: Scenario, policy: str, load: float, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        # Arrivals and machines are the same under all policies.
        self.rng = random.Random(f"arrivals {seed}")
        self.choice_rng = random.Random(f"choices {seed}")
        machine_rng = random.Random(f"machines {seed}")
        self.now = 0.0
        self.event_count = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.targets: dict[str, Target] = {}
        step = (MAX_SPEED - MIN_SPEED) / (TARGET_COUNT - 1)
        speeds = [MIN_SPEED + index * step for index in range(TARGET_COUNT)]
        machine_rng.shuffle(speeds)
        for index, speed in enumerate(speeds):
            usual = speed if scenario.varies else 1.0
            machine = Machine(scenario, usual, machine_rng)
            self.targets[str(index)] = Target(str(index), machine, seed + index)
        candidates = [make_candidate(name) for name in self.targets]
        self.routers = []
        for node in range(NODE_COUNT):
            rng = random.Random(f"router {seed} {node}")
            router = Router(RoutingSettings(), domain_name(node), rng)
            router.set_candidates(candidates, 0.0)
            self.routers.append(router)
        rates = [target.machine.mean_rate for target in self.targets.values()]
        self.rate = load * sum(rates) * LIMIT / WORK_SECONDS
        self.shared_queue: deque[Request] = deque()
        self.ticket_count = 0
        self.request_count = 0
        self.refusal_count = 0
        self.latencies: list[float] = []

    def run(self) -> Result:
        """Run to the end and return the results."""
        self.schedule(0.0, self.generate_request)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.latencies.sort()
        useful = bisect.bisect_right(self.latencies, OBJECTIVE_SECONDS)
        return Result(
            len(self.latencies) / self.request_count,
            useful / self.request_count,
            statistics.fmean(self.latencies),
            self.latencies[int(len(self.latencies) * 0.99)],
            self.refusal_count / self.request_count,
        )

    def schedule(self, due: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time in seconds."""
        self.event_count += 1
        heapq.heappush(self.events, (due, self.event_count, action))

    def generate_request(self) -> None:
        """Send one request from a random node and schedule the next one."""
        due = self.now + self.rng.expovariate(self.rate)
        if due < RUN_SECONDS:
            self.schedule(due, self.generate_request)
        work = WORK_SECONDS * self.rng.uniform(0.2, 1.8)
        request = Request(self.rng.randrange(NODE_COUNT), self.now, work)
        self.request_count += self.is_counted(request)
        if self.policy == "one queue":
            self.shared_queue.append(request)
            self.serve_shared_queue()
        else:
            self.send(request)

    def is_counted(self, request: Request) -> bool:
        """Return whether a request arrived after the warm-up of the run."""
        return request.arrived_at >= WARM_UP_SECONDS

    def serve_shared_queue(self) -> None:
        """Start the oldest requests of the shared queue at any free targets."""
        queue = self.shared_queue
        while queue and self.now - queue[0].arrived_at > DEADLINE_SECONDS:
            queue.popleft()
        free = [t for t in self.targets.values() if len(t.requests) < LIMIT]
        if not queue or not free:
            return
        request, target = queue.popleft(), self.choice_rng.choice(free)
        self.ticket_count += 1
        ticket_id = str(self.ticket_count)
        target.requests[ticket_id] = request

        def end() -> None:
            del target.requests[ticket_id]
            self.record_answer(request)
            self.serve_shared_queue()

        self.schedule(target.machine.end_of(request.work, self.now), end)

    def send(self, request: Request) -> None:
        """Send a request to a target that was not tried yet."""
        name = self.choose(request)
        if name is None:
            return
        request.tried.append(name)
        request.sent_at = self.now
        self.routers[request.node].record_start(name, self.now)
        delay = one_way_delay(request.node, name)
        self.schedule(self.now + delay, lambda: self.receive(request, name))

    def choose(self, request: Request) -> str | None:
        """Return the name of the next target of a request; None for a refusal."""
        if len(request.tried) >= MAX_REFUSALS:
            return None
        if self.policy == "random":
            untried = [name for name in self.targets if name not in request.tried]
            return self.choice_rng.choice(untried)
        chosen = self.routers[request.node].choose("svc", self.now, request.tried)
        return chosen.target_id if isinstance(chosen, Candidate) else None

    def receive(self, request: Request, name: str) -> None:
        """Admit, queue or refuse a request at its target."""
        target = self.targets[name]
        self.ticket_count += 1
        ticket_id = str(self.ticket_count)
        deadline = request.arrived_at + DEADLINE_SECONDS
        ticket = Ticket(ticket_id, "", Importance.NORMAL, deadline)
        target.requests[ticket_id] = request
        decision, changes = target.queue.offer(ticket, self.now)
        if isinstance(decision, Admitted):
            self.start(target, ticket)
        elif isinstance(decision, Queued):
            self.schedule(deadline, lambda: self.poll(target))
        else:
            self.refuse(target, ticket_id)
        self.apply_changes(target, changes)

    def poll(self, target: Target) -> None:
        """Refuse the expired requests of a target's queue."""
        self.apply_changes(target, target.queue.poll(self.now))

    def apply_changes(self, target: Target, changes: QueueChanges) -> None:
        """Start the admitted requests of a queue and refuse the others."""
        for ticket in changes.admitted:
            self.start(target, ticket)
        for ticket, _ in changes.refused:
            self.refuse(target, ticket.request_id)

    def start(self, target: Target, ticket: Ticket) -> None:
        """Run a request at its target."""
        started_at = self.now
        request = target.requests[ticket.request_id]

        def end() -> None:
            duration = self.now - started_at
            slowdown = None
            if self.scenario.reports:
                slowdown = target.machine.reported_slowdown(self.now)
            reported = ReportedLoad(target.queue.in_flight, 0, SLOTS, slowdown)
            target.load.record_response(reported, duration, self.now)
            del target.requests[ticket.request_id]
            changes = target.queue.finish(
                ticket.request_id, self.now, Outcome.OK, duration
            )
            self.apply_changes(target, changes)
            self.reply(target, request, Outcome.OK)

        self.schedule(target.machine.end_of(request.work, self.now), end)

    def refuse(self, target: Target, ticket_id: str) -> None:
        """Refuse a request at its target."""
        request = target.requests.pop(ticket_id)
        self.refusal_count += self.is_counted(request)
        self.reply(target, request, Outcome.SHED)

    def reply(self, target: Target, request: Request, outcome: Outcome) -> None:
        """Send a reply with the pressure of the target to the sending node."""
        pressure = target.occupancy
        if self.policy == "speed":
            pressure = target.load.pressure(pressure, self.now)
        elif self.policy == "whole":
            pressure *= target.load.current_slowdown(self.now)
        pressure = round(pressure, 3)

        def receive_reply() -> None:
            router = self.routers[request.node]
            latency = self.now - request.sent_at
            router.record_finish(target.name, self.now, outcome, latency, pressure)
            if outcome is Outcome.OK:
                self.record_answer(request)
            elif self.now < request.arrived_at + DEADLINE_SECONDS:
                self.send(request)

        delay = one_way_delay(request.node, target.name)
        self.schedule(self.now + delay, receive_reply)

    def record_answer(self, request: Request) -> None:
        """Record the response to a caller if it is in time."""
        latency = self.now - request.arrived_at
        if self.is_counted(request) and latency <= DEADLINE_SECONDS:
            self.latencies.append(latency)


def domain_name(number: int) -> str:
    """Return the failure domain of a node or target."""
    return f"domain-{number % DOMAIN_COUNT}"


def one_way_delay(node: int, target: str) -> float:
    """Return the one-way delay between a node and a target in seconds."""
    is_same = domain_name(node) == domain_name(int(target))
    return SAME_DOMAIN_DELAY_SECONDS if is_same else OTHER_DOMAIN_DELAY_SECONDS


def make_candidate(name: str) -> Candidate:
    """Return a ready candidate."""
    domain = domain_name(int(name))
    return Candidate(name, name, "svc", name, domain, SLOTS, TargetState.READY, 0.0)


POLICIES = ("one queue", "random", "slots", "speed", "whole")


def run(seeds: str = "7,8,9", loads: str = "0.6,0.8,0.92,1.05") -> None:
    """Print the results of all policies in all scenarios, as means over the seeds."""
    seed_list = [int(seed) for seed in seeds.split(",")]
    print(f"seeds {seeds}; means over the seeds, lowest and highest share in useful")
    print(
        f"{'scenario':14} {'load':>5} {'policy':10} answered  useful  (low-high)"
        "     mean ms  p99 ms  refusals"
    )
    for scenario in SCENARIOS:
        for load in map(float, loads.split(",")):
            for policy in POLICIES:
                results = [
                    Simulation(scenario, policy, load, seed).run() for seed in seed_list
                ]
                means = Result(
                    *(statistics.fmean(column) for column in zip(*results, strict=True))
                )
                useful = [result.useful for result in results]
                print(
                    f"{scenario.name:14} {load:5.0%} {policy:10} {means.answered:8.1%}"
                    f" {means.useful:7.1%}  ({min(useful):.1%}-{max(useful):.1%})"
                    f" {means.mean * 1000:7.0f} {means.p99 * 1000:7.0f}"
                    f" {means.refusals:9.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    typer.run(run)

"""Fake fleet of the policy bench: hosts with targets, and the path of a request."""

import random
from typing import NamedTuple

from bench.kernel import Future, Kernel, Process
from carawaywheel.admission import AdmissionQueue, Changes, Queued, Ticket
from carawaywheel.levels import Level, LevelTable, merge
from carawaywheel.limits import AdaptiveLimit, ConcurrencyLimit, FixedLimit
from carawaywheel.refusals import Importance, Outcome, Ran, Reason, Refusal
from carawaywheel.retries import ChainBudget
from carawaywheel.settings import (
    AdmissionSettings,
    LevelSettings,
    LimitSettings,
    RetrySettings,
    RoutingSettings,
)

CONNECT_TIMEOUT = 0.3
# Step of a refusal that a target passes on: the target itself has run.
BELOW = "below"
SILENCE_LIMIT = 1.0
# A host that fails at once must not look idle to those who choose.
FAILED_PRESSURE = 5.0
MEMBERSHIP_DELAY = 4.0
POLL_INTERVAL = 0.05
COLD_TIME = 10.0
COLD_SHARE = 0.25
COLD_SPEED = 0.5
COLD_SLOW_TIME = 3.0
LARGE_SHARE = 0.03
LARGE_FACTOR = 4.0
MEAN_FACTOR = 1.0 + LARGE_SHARE * (LARGE_FACTOR - 1.0)


class ServiceShape(NamedTuple):
    """Size of a service.

    Attributes:
        name: Name of the service.
        hosts: Number of hosts, spread over the failure domains.
        slots: Declared slots of each target in the bench.
        work: Seconds of own processor time of an ordinary request.
    """

    name: str
    hosts: int
    slots: int
    work: float


class MeshShape(NamedTuple):
    """Size of a mesh; the services form a chain.

    Attributes:
        name: Name of the mesh.
        domains: Number of failure domains.
        one_way: Seconds between two hosts, one way.
        client: Seconds between a client and a host, one way.
        chain: Services from the entry to the deepest one.
        levels: Settings of the refusal at the entry for this mesh.
    """

    name: str
    domains: int
    one_way: float
    client: float
    chain: list[ServiceShape]
    levels: LevelSettings


class Policy(NamedTuple):
    """What a fleet does about overload.

    Attributes:
        name: Name in the report.
        controlled: Whether this project's admission, levels and budgets are used.
        limited: Whether queues are bounded and rates are enforced. The slots of a
            target are what it can do, so they bound every policy.
        hop_attempts: Attempts that each hop makes without a budget.
        hop_timeout: Seconds after which a hop gives up on an attempt.
    """

    name: str
    controlled: bool
    limited: bool
    hop_attempts: int
    hop_timeout: float


CONTROLLED = Policy("carawaywheel", True, True, 0, 1e9)
UNCONTROLLED = Policy("no control", False, False, 1, 1e9)
NAIVE = Policy("fixed limit, naive retries", False, True, 3, 1.0)
POLICIES = [CONTROLLED, NAIVE, UNCONTROLLED]


class Call(NamedTuple):
    """A request as the bench's nodes see it.

    Attributes:
        account: Client account.
        importance: Importance class.
        deadline: Deadline in seconds on the bench's clock.
        factor: Work relative to an ordinary request.
        idempotent: Whether it may be repeated.
    """

    account: str
    importance: Importance
    deadline: float
    factor: float
    idempotent: bool


class Answer(NamedTuple):
    """End of an attempt.

    Attributes:
        refusal: Why there is no whole answer, or None.
        levels: Levels of the services below.
        pressure: Load that the router sees.
    """

    refusal: Refusal | None
    levels: list[Level]
    pressure: float


class Host:
    """A node and its target.

    Attributes:
        shape: Service that the target belongs to.
        domain: Number of the failure domain.
        speed: Speed of the target's processor, 1 is normal.
        lies: Whether the target reports itself idle.
        alive: Whether the host runs.
        cold_until: Time until which the target counts as cold, in seconds.
        gone: Whether membership has noticed that it does not.
        working: Requests that use the target's processor.
        waiting: Futures of queued requests, by request id.
        pending: Answers that the host owes.
    """

    def __init__(
        self,
        shape: ServiceShape,
        domain: int,
        policy: Policy,
        kernel: Kernel,
        name: str,
    ) -> None:
        self.shape = shape
        self.domain = domain
        self.policy = policy
        self.kernel = kernel
        self.rng = random.Random(name)
        self.speed = 1.0
        self.lies = False
        self.alive = True
        self.gone = False
        self.working = 0
        self.waiting: dict[str, Future] = {}
        self.pending: dict[Future, None] = {}
        self.start(0.0)

    def start(self, cold_until: float) -> None:
        """Start the node with an empty queue."""
        now = self.kernel.now
        self.cold_until = cold_until
        slots = self.shape.slots
        limit: ConcurrencyLimit = FixedLimit(slots)
        if self.policy.controlled:
            limit = AdaptiveLimit(LimitSettings(), slots, cold_until, now, self.rng)
        options = AdmissionSettings(fair=self.policy.controlled)
        if not self.policy.limited:
            options = options._replace(queue_per_slot=1e6)
        self.queue = AdmissionQueue(options, limit, slots, self.rng)

    def reported_load(self) -> float:
        """Return the load that the target itself reports."""
        return 0.0 if self.lies else self.working / self.shape.slots

    def pressure(self) -> float:
        """Return the load that the policy goes by."""
        if not self.policy.controlled:
            return self.reported_load()
        return self.queue.level(self.shape.name, self.kernel.now).pressure

    def apply(self, changes: Changes) -> None:
        """Tell the queued requests what became of them."""
        for ticket in changes.admitted:
            self.waiting.pop(ticket.request_id).set(None)
        for ticket, refusal in changes.refused:
            self.waiting.pop(ticket.request_id).set(refusal)

    def poll(self) -> Process:
        """Expire queued requests."""
        while True:
            yield POLL_INTERVAL
            self.apply(self.queue.poll(self.kernel.now))

    def admit(self, request_id: str, call: Call) -> Process:
        """Wait for a slot; returns a refusal or None."""
        importance = call.importance if self.policy.controlled else Importance.NORMAL
        deadline = call.deadline if self.policy.controlled else 1e9
        ticket = Ticket(request_id, call.account, importance, deadline)
        offer = self.queue.offer(ticket, self.kernel.now)
        self.apply(offer.changes)
        if isinstance(offer.decision, Refusal):
            return offer.decision
        if isinstance(offer.decision, Queued):
            future = self.waiting[request_id] = Future(self.kernel)
            refusal = yield future
            return refusal
        return None

    def work(self, call: Call) -> Process:
        """Use the target's processor, which is shared among its requests."""
        self.working += 1
        crowd = max(1.0, self.working / self.shape.slots)
        amount = self.shape.work * call.factor * self.rng.uniform(0.5, 1.5)
        seconds = amount * crowd / self.speed
        left = call.deadline - self.kernel.now
        yield min(seconds, max(left, 0.0)) if self.policy.controlled else seconds
        self.working -= 1

    def die(self) -> None:
        """Stop without announcing it; owed answers break after the silence limit."""
        self.alive = False
        lost = Answer(Refusal(Reason.PEER_FAILED, Ran.UNKNOWN), [], 0.0)
        for future in self.pending:
            self.kernel.set_later(future, SILENCE_LIMIT, lost)
        self.pending.clear()
        self.waiting.clear()

    def revive(self) -> Process:
        """Start again with a cold target."""
        self.start(self.kernel.now + COLD_TIME)
        self.working = 0
        self.alive, self.gone, self.speed = True, False, COLD_SPEED
        yield COLD_SLOW_TIME
        self.speed = 1.0


class Chooser:
    """Choice of a host by one node: two random hosts, the less loaded one.

    Attributes:
        running: Requests in flight from this node, by host.
        pressure: Load carried on the last answer and its time, by host.
        failures: Consecutive failures, by host.
        ejected_until: End of the last ejection in seconds, by host.
    """

    def __init__(self, kernel: Kernel, rng: random.Random) -> None:
        self.kernel = kernel
        self.rng = rng
        self.running: dict[Host, int] = {}
        self.pressure: dict[Host, tuple[float, float]] = {}
        self.failures: dict[Host, int] = {}
        self.ejected_until: dict[Host, float] = {}

    def choose(self, hosts: list[Host], tried: set[Host]) -> Host | None:
        """Choose a host that was not tried before, or None."""
        now = self.kernel.now
        known = [h for h in hosts if not h.gone and h not in tried]
        usable = [h for h in known if self.ejected_until.get(h, 0.0) <= now] or known
        if not usable:
            return None
        pair = self.rng.sample(usable, min(2, len(usable)))
        return min(pair, key=self.load)

    def load(self, host: Host) -> float:
        """Return the load of a host as this node knows it."""
        own = self.running.get(host, 0) / host.shape.slots
        pressure, at = self.pressure.get(host, (0.0, 0.0))
        is_fresh = self.kernel.now - at < LevelSettings().max_age
        cold_left = max(0.0, host.cold_until - self.kernel.now)
        slow_start = 1.0 - (1.0 - COLD_SHARE) * cold_left / COLD_TIME
        return (own + pressure * is_fresh) / slow_start

    def finish(self, host: Host, answer: Answer) -> None:
        """Learn from an answer; eject a host after consecutive failures."""
        self.running[host] -= 1
        refusal = answer.refusal
        self.pressure[host] = (answer.pressure, self.kernel.now)
        if refusal is None or refusal.reason is not Reason.PEER_FAILED:
            self.failures[host] = 0
            return
        self.pressure[host] = (FAILED_PRESSURE, self.kernel.now)
        self.failures[host] = self.failures.get(host, 0) + 1
        if self.failures[host] >= RoutingSettings().eject_after:
            self.ejected_until[host] = self.kernel.now + MEMBERSHIP_DELAY


class RetryShare:
    """Retries of one node to one service as a share of first attempts."""

    def __init__(self, settings: RetrySettings) -> None:
        self.settings = settings
        self.tokens = float(settings.service_floor)

    def record_first(self) -> None:
        """Count a first attempt."""
        most = 10.0 * self.settings.service_floor
        self.tokens = min(most, self.tokens + self.settings.service_share)

    def try_retry(self) -> bool:
        """Take a retry if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Fleet:
    """All hosts of a mesh under one policy."""

    def __init__(
        self, mesh: MeshShape, policy: Policy, kernel: Kernel, rng: random.Random
    ) -> None:
        self.mesh = mesh
        self.policy = policy
        self.kernel = kernel
        self.rng = rng
        self.request_ids = 0
        self.hosts: list[list[Host]] = []
        self.choosers: dict[Host, Chooser] = {}
        self.shares: dict[Host, RetryShare] = {}
        self.tables: dict[Host, LevelTable] = {}
        for shape in mesh.chain:
            row = [
                Host(
                    shape,
                    index % mesh.domains,
                    policy,
                    kernel,
                    f"{rng.random()}",
                )
                for index in range(shape.hosts)
            ]
            self.hosts.append(row)
            for host in row:
                self.choosers[host] = Chooser(kernel, rng)
                self.shares[host] = RetryShare(RetrySettings())
                kernel.spawn(host.poll())
        for host in self.hosts[0]:
            self.tables[host] = LevelTable(mesh.levels)

    def capacity(self) -> float:
        """Return the whole requests a second that the hosts can serve now."""
        hold, least = 0.0, float("inf")
        for row in reversed(self.hosts):
            alive = [host for host in row if host.alive]
            work = row[0].shape.work * MEAN_FACTOR
            holds = [work / host.speed + hold for host in alive]
            rates = [h.shape.slots / s for h, s in zip(alive, holds, strict=True)]
            least = min(least, sum(rates))
            hold = sum(holds) / len(holds) + 2 * self.mesh.one_way
        return least

    def enter(self, entry: Host, call: Call) -> Process:
        """Handle a caller's request at an entry node."""
        now = self.kernel.now
        table = self.tables[entry]
        if self.policy.controlled:
            refusal = table.check("all", call.importance, now, self.rng, call.account)
            if refusal is not None:
                return Answer(refusal, [], 0.0)
        budget = ChainBudget(RetrySettings().attempts)
        answer = yield from self.call(entry, 0, call, budget)
        table.learn("all", answer.levels, self.kernel.now)
        return answer

    def call(
        self, caller: Host, depth: int, call: Call, budget: ChainBudget
    ) -> Process:
        """Call the service at a depth of the chain, with retries."""
        levels: list[Level] = []
        tried: set[Host] = set()
        answer = Answer(Refusal(Reason.NO_TARGET), [], 0.0)
        attempts = self.policy.hop_attempts
        self.shares[caller].record_first()
        while True:
            host = self.choosers[caller].choose(self.hosts[depth], tried)
            if host is None:
                break
            answer = yield from self.attempt(caller, host, depth, call, budget)
            levels += answer.levels
            tried.add(host)
            attempts -= 1
            if answer.refusal is None or not self._may_retry(
                caller, answer.refusal, call, attempts, budget
            ):
                break
        return answer._replace(levels=merge(levels))

    def _may_retry(
        self,
        caller: Host,
        refusal: Refusal,
        call: Call,
        attempts: int,
        budget: ChainBudget,
    ) -> bool:
        if not self.policy.controlled:
            return attempts > 0
        if refusal.ran is Ran.UNKNOWN and not call.idempotent:
            return False
        if refusal.reason is Reason.DEADLINE or refusal.step == BELOW:
            return False
        if budget.attempts <= 0 or not self.shares[caller].try_retry():
            return False
        budget.attempts -= 1
        return True

    def attempt(
        self, caller: Host, host: Host, depth: int, call: Call, budget: ChainBudget
    ) -> Process:
        """Make one attempt at one host."""
        chooser = self.choosers[caller]
        chooser.running[host] = chooser.running.get(host, 0) + 1
        part = ChainBudget(budget.reserve())
        if not host.alive:
            yield CONNECT_TIMEOUT
            answer = Answer(Refusal(Reason.PEER_FAILED), [], 0.0)
            budget.release(part.attempts)
        else:
            yield self.mesh.one_way
            future = Future(self.kernel)
            host.pending[future] = None
            self.kernel.spawn(self.serve(host, depth, call, part, future))
            if self.policy.hop_timeout < 1e6:
                late = Answer(Refusal(Reason.TARGET_FAILED, Ran.UNKNOWN), [], 0.0)
                self.kernel.set_later(future, self.policy.hop_timeout, late)
            answer = yield future
            yield self.mesh.one_way
            budget.release(part.attempts)
        chooser.finish(host, answer)
        return answer

    def serve(
        self, host: Host, depth: int, call: Call, part: ChainBudget, future: Future
    ) -> Process:
        """Admit and run a request at its host, and answer unless the host dies."""
        queue = host.queue
        self.request_ids += 1
        request_id = str(self.request_ids)
        refusal = yield from host.admit(request_id, call)
        levels: list[Level] = []
        if refusal is None:
            started = self.kernel.now
            yield from host.work(call)
            if depth + 1 < len(self.mesh.chain) and host.alive:
                below = yield from self.call(host, depth + 1, call, part)
                levels = below.levels
                if below.refusal is not None:
                    refusal = Refusal(Reason.OVERLOAD, Ran.UNKNOWN, 1.0, BELOW)
            now = self.kernel.now
            outcome = Outcome.OK if refusal is None else Outcome.FAILED
            if now >= call.deadline and self.policy.controlled:
                outcome, refusal = (
                    Outcome.TIMEOUT,
                    Refusal(Reason.DEADLINE, Ran.UNKNOWN),
                )
            changes = queue.finish(request_id, now, outcome, now - started)
            if host.queue is queue and host.alive:
                host.apply(changes)
        if host.alive and host.queue is queue:
            host.pending.pop(future, None)
            level = queue.level(host.shape.name, self.kernel.now)
            future.set(Answer(refusal, [*levels, level], host.pressure()))

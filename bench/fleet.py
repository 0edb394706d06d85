"""Fake fleet of the policy bench: hosts with targets, and the path of a request."""

import random

from bench.choice import Chooser, RetryShare
from bench.hosts import Host
from bench.kernel import Future, Kernel, Process
from bench.shapes import (
    BELOW,
    CONNECT_TIMEOUT,
    MEAN_FACTOR,
    Answer,
    Call,
    MeshShape,
    Policy,
)
from carawaywheel.levels import OverloadLevel, OverloadLevelTable, merge_levels
from carawaywheel.refusals import Outcome, Ran, Reason, Refusal
from carawaywheel.retries import AttemptBudget
from carawaywheel.settings import (
    RetrySettings,
)


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
        self.tables: dict[Host, OverloadLevelTable] = {}
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
            self.tables[host] = OverloadLevelTable(mesh.levels)

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
        budget = AttemptBudget(RetrySettings().attempts)
        answer = yield from self.call(entry, 0, call, budget)
        table.update("all", answer.levels, self.kernel.now)
        return answer

    def call(
        self, caller: Host, depth: int, call: Call, budget: AttemptBudget
    ) -> Process:
        """Call the service at a depth of the chain, with retries."""
        levels: list[OverloadLevel] = []
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
        return answer._replace(levels=merge_levels(levels))

    def _may_retry(
        self,
        caller: Host,
        refusal: Refusal,
        call: Call,
        attempts: int,
        budget: AttemptBudget,
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
        self, caller: Host, host: Host, depth: int, call: Call, budget: AttemptBudget
    ) -> Process:
        """Make one attempt at one host."""
        chooser = self.choosers[caller]
        chooser.running[host] = chooser.running.get(host, 0) + 1
        part = AttemptBudget(budget.reserve())
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
        self, host: Host, depth: int, call: Call, part: AttemptBudget, future: Future
    ) -> Process:
        """Admit and run a request at its host, and answer unless the host dies."""
        queue = host.queue
        self.request_ids += 1
        request_id = str(self.request_ids)
        refusal = yield from host.admit(request_id, call)
        levels: list[OverloadLevel] = []
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
            level = queue.overload_level(host.shape.name, self.kernel.now)
            future.set(Answer(refusal, [*levels, level], host.pressure()))

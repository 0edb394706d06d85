"""Simulated fleet of the policy bench: its hosts and the path of a request."""

import random

from bench.hosts import Host
from bench.hostselection import HostSelector, RetryBudget
from bench.kernel import Future, Kernel, Process
from bench.model import (
    CONNECT_TIMEOUT_SECONDS,
    DOWNSTREAM_STEP,
    MEAN_WORK_FACTOR,
    AttemptResult,
    Call,
    MeshSpec,
    Policy,
)
from carawaywheel.levels import OverloadLevel, OverloadLevelTable, merge_levels
from carawaywheel.refusals import Outcome, Ran, Reason, Refusal
from carawaywheel.retries import AttemptBudget
from carawaywheel.settings import (
    RetrySettings,
)


class Fleet:
    """All hosts of a mesh under one policy.

    Attributes:
        hosts: Hosts by service, from the entry service to the deepest one.
        host_selectors: Host selection of each node.
        retry_budgets: Retry budget of each node.
        level_tables: Overload levels known to each entry node.
    """

    def __init__(
        self, mesh: MeshSpec, policy: Policy, kernel: Kernel, rng: random.Random
    ) -> None:
        self.mesh = mesh
        self.policy = policy
        self.kernel = kernel
        self.rng = rng
        self.last_request_id = 0
        self.hosts: list[list[Host]] = []
        self.host_selectors: dict[Host, HostSelector] = {}
        self.retry_budgets: dict[Host, RetryBudget] = {}
        self.level_tables: dict[Host, OverloadLevelTable] = {}
        for service in mesh.chain:
            service_hosts = [
                Host(
                    service,
                    index % mesh.domains,
                    policy,
                    kernel,
                    f"{rng.random()}",
                )
                for index in range(service.hosts)
            ]
            self.hosts.append(service_hosts)
            for host in service_hosts:
                self.host_selectors[host] = HostSelector(kernel, rng)
                self.retry_budgets[host] = RetryBudget(RetrySettings())
                kernel.spawn(host.run_queue_polls())
        for host in self.hosts[0]:
            self.level_tables[host] = OverloadLevelTable(mesh.level_settings)

    def capacity(self) -> float:
        """Return the requests per second that the live hosts can serve end to end.

        A request holds a slot for its own work and for the downstream calls.
        """
        hold_seconds, lowest_rate = 0.0, float("inf")
        for service_hosts in reversed(self.hosts):
            alive = [host for host in service_hosts if host.alive]
            work = service_hosts[0].service.work_seconds * MEAN_WORK_FACTOR
            hold_times = [work / host.speed + hold_seconds for host in alive]
            rates = [
                h.service.slots / s for h, s in zip(alive, hold_times, strict=True)
            ]
            lowest_rate = min(lowest_rate, sum(rates))
            hold_seconds = (
                sum(hold_times) / len(hold_times) + 2 * self.mesh.one_way_seconds
            )
        return lowest_rate

    def handle_request(self, entry: Host, call: Call) -> Process:
        """Handle a caller's request at an entry node; return an `AttemptResult`."""
        now = self.kernel.now
        table = self.level_tables[entry]
        if self.policy.controlled:
            refusal = table.check("all", call.importance, now, self.rng, call.account)
            if refusal is not None:
                return AttemptResult(refusal, [], 0.0)
        budget = AttemptBudget(RetrySettings().attempts)
        result = yield from self.call_service(entry, 0, call, budget)
        table.update("all", result.levels, self.kernel.now)
        return result

    def call_service(
        self, caller: Host, depth: int, call: Call, budget: AttemptBudget
    ) -> Process:
        """Call the service at a depth of the chain, with retries.

        Returns the result of the last attempt with the levels of all attempts.
        """
        levels: list[OverloadLevel] = []
        tried: set[Host] = set()
        result = AttemptResult(Refusal(Reason.NO_TARGET), [], 0.0)
        attempts_left = self.policy.hop_attempts
        self.retry_budgets[caller].record_first_attempt()
        while True:
            host = self.host_selectors[caller].choose(self.hosts[depth], tried)
            if host is None:
                break
            result = yield from self.attempt(caller, host, depth, call, budget)
            levels += result.levels
            tried.add(host)
            attempts_left -= 1
            if result.refusal is None or not self._may_retry(
                caller, result.refusal, call, attempts_left, budget
            ):
                break
        return result._replace(levels=merge_levels(levels))

    def _may_retry(
        self,
        caller: Host,
        refusal: Refusal,
        call: Call,
        attempts_left: int,
        budget: AttemptBudget,
    ) -> bool:
        if not self.policy.controlled:
            return attempts_left > 0
        if refusal.ran is Ran.UNKNOWN and not call.idempotent:
            return False
        if refusal.reason is Reason.DEADLINE or refusal.step == DOWNSTREAM_STEP:
            return False
        if budget.attempts <= 0 or not self.retry_budgets[caller].try_acquire():
            return False
        budget.attempts -= 1
        return True

    def attempt(
        self, caller: Host, host: Host, depth: int, call: Call, budget: AttemptBudget
    ) -> Process:
        """Send one attempt to one host and return its result."""
        selector = self.host_selectors[caller]
        selector.in_flight[host] = selector.in_flight.get(host, 0) + 1
        attempt_budget = AttemptBudget(budget.reserve())
        if not host.alive:
            yield CONNECT_TIMEOUT_SECONDS
            result = AttemptResult(Refusal(Reason.PEER_FAILED), [], 0.0)
            budget.release(attempt_budget.attempts)
        else:
            yield self.mesh.one_way_seconds
            future = Future(self.kernel)
            host.pending_results[future] = None
            self.kernel.spawn(self.serve(host, depth, call, attempt_budget, future))
            if self.policy.hop_timeout < 1e6:
                timed_out = AttemptResult(
                    Refusal(Reason.TARGET_FAILED, Ran.UNKNOWN), [], 0.0
                )
                self.kernel.set_later(future, self.policy.hop_timeout, timed_out)
            result = yield future
            yield self.mesh.one_way_seconds
            budget.release(attempt_budget.attempts)
        selector.record_finish(host, result)
        return result

    def serve(
        self,
        host: Host,
        depth: int,
        call: Call,
        attempt_budget: AttemptBudget,
        future: Future,
    ) -> Process:
        """Admit and run a request at its host, then set the result.

        The result is not set if the host crashes or restarts meanwhile.
        """
        queue = host.queue
        self.last_request_id += 1
        request_id = str(self.last_request_id)
        refusal = yield from host.admit(request_id, call)
        levels: list[OverloadLevel] = []
        if refusal is None:
            started_at = self.kernel.now
            yield from host.run_request(call)
            if depth + 1 < len(self.mesh.chain) and host.alive:
                downstream = yield from self.call_service(
                    host, depth + 1, call, attempt_budget
                )
                levels = downstream.levels
                if downstream.refusal is not None:
                    refusal = Refusal(
                        Reason.OVERLOAD, Ran.UNKNOWN, 1.0, DOWNSTREAM_STEP
                    )
            now = self.kernel.now
            outcome = Outcome.OK if refusal is None else Outcome.FAILED
            if now >= call.deadline and self.policy.controlled:
                outcome, refusal = (
                    Outcome.TIMEOUT,
                    Refusal(Reason.DEADLINE, Ran.UNKNOWN),
                )
            changes = queue.finish(request_id, now, outcome, now - started_at)
            if host.queue is queue and host.alive:
                host.apply_changes(changes)
        if host.alive and host.queue is queue:
            host.pending_results.pop(future, None)
            level = queue.overload_level(host.service.name, self.kernel.now)
            future.set(AttemptResult(refusal, [*levels, level], host.pressure()))

"""Policy bench: overload scenarios on a simulated fleet with a manual clock.

Each case is run under each policy, from the same seed.
"""

import argparse
import gc
import random
from typing import NamedTuple

from bench.cases import (
    ACCOUNT_SHARES,
    CASES,
    MESHES,
    NORMAL_LOAD,
    RATE_HEADROOM,
    Case,
)
from bench.fleet import Fleet
from bench.kernel import Future, Kernel, Process
from bench.model import (
    CONNECT_TIMEOUT_SECONDS,
    LARGE_REQUEST_SHARE,
    LARGE_REQUEST_WORK_FACTOR,
    POLICIES,
    AttemptResult,
    Call,
    MeshSpec,
    Policy,
)
from carawaywheel.refusals import Importance

TRIGGER_START_SECONDS = 6.0
TRIGGER_END_SECONDS = 13.0
END_SECONDS = 18.0
BASELINE_START_SECONDS = 2.0
BIN_SECONDS = 0.5
RECOVERED_SHARE = 0.95
RETRY_DELAY_SECONDS = 0.1
IMPORTANCE_SHARES = [0.1, 0.6, 0.3]
IDEMPOTENT_SHARE = 0.8


class IdealTokenBucket:
    """Token bucket that sees every request of an account, as a reference."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.tokens = rate
        self.updated_at = 0.0

    def try_acquire(self, now: float) -> bool:
        """Acquire a token if there is one; the burst is one second of the rate."""
        gained = (now - self.updated_at) * self.rate
        self.tokens = min(self.rate, self.tokens + gained)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class CallerRequest:
    """A caller's request with all its attempts.

    Attributes:
        account: Index of the account.
        importance: Importance class.
        arrived_at: Time of the first attempt in seconds.
        in_rate: Whether the first attempt was within the account's rate.
        answered_at: Time of the complete response in seconds, or None.
        attempts_in_rate: Number of attempts within the rate.
        refusals_in_rate: Number of attempts within the rate that were refused.
    """

    def __init__(self, account: int, importance: Importance, arrived_at: float) -> None:
        self.account = account
        self.importance = importance
        self.arrived_at = arrived_at
        self.in_rate = False
        self.answered_at: float | None = None
        self.attempts_in_rate = 0
        self.refusals_in_rate = 0

    @property
    def answered(self) -> bool:
        """Whether a complete response arrived."""
        return self.answered_at is not None


class CaseResult(NamedTuple):
    """Results of a run; all but the recovery cover the time of the trigger.

    Attributes:
        goodput: Complete responses relative to what the fleet could have served.
        recovery_seconds: Time after the trigger until the share of answered requests
            is back at 95% of the baseline, or None if that did not happen.
        worst_account_share: Smallest ratio over all accounts of the requests served
            to those that the account is entitled to: its demand within the rate, or
            if the capacity is too small, its max-min fair share of the capacity,
            assigned by descending importance.
        wrongful_refusal_share: Share of attempts within the rate that were refused.
        critical_answered_share: Share of CRITICAL requests within the rate that were
            answered.
    """

    goodput: float
    recovery_seconds: float | None
    worst_account_share: float
    wrongful_refusal_share: float
    critical_answered_share: float


class CaseRun:
    """Simulation of one case under one policy.

    Attributes:
        normal_demand: Requests per second of all accounts before the trigger.
        capacity: Requests per second that the fleet can serve during the trigger.
    """

    def __init__(self, mesh: MeshSpec, case: Case, policy: Policy, seed: int) -> None:
        self.case = case
        self.policy = policy
        self.kernel = Kernel()
        self.rng = random.Random(seed)
        self.fleet = Fleet(mesh, policy, self.kernel, self.rng)
        self.normal_demand = NORMAL_LOAD * self.fleet.capacity()
        self.buckets = [
            IdealTokenBucket(self.account_rate(n)) for n in range(len(ACCOUNT_SHARES))
        ]
        self.requests: list[CallerRequest] = []
        self.capacity = self.fleet.capacity()

    def account_rate(self, account: int) -> float:
        """Return the rate limit of an account in requests per second."""
        normal_rate = ACCOUNT_SHARES[account] * self.normal_demand * RATE_HEADROOM
        factor = self.case.demand_factors[account] if self.case.oversubscribed else 1.0
        return normal_rate * factor

    def run(self) -> CaseResult:
        """Run the case and return its results."""
        for account in range(len(ACCOUNT_SHARES)):
            self.kernel.spawn(self.generate_requests(account))
        self.kernel.run(TRIGGER_START_SECONDS)
        if self.case.inject_fault is not None:
            self.case.inject_fault(self.fleet)
        self.capacity = self.fleet.capacity()
        self.kernel.run(TRIGGER_END_SECONDS)
        if self.case.remove_fault is not None:
            self.case.remove_fault(self.fleet)
        self.kernel.run(END_SECONDS + self.case.attempt_timeout_seconds)
        return self.compute_result()

    def generate_requests(self, account: int) -> Process:
        """Generate the requests of an account as a Poisson process."""
        normal_rate = ACCOUNT_SHARES[account] * self.normal_demand
        while self.kernel.now < END_SECONDS:
            now = self.kernel.now
            in_trigger = TRIGGER_START_SECONDS <= now < TRIGGER_END_SECONDS
            factor = self.case.demand_factors[account] if in_trigger else 1.0
            yield self.rng.expovariate(normal_rate * factor)
            self.kernel.spawn(self.run_caller(account))

    def run_caller(self, account: int) -> Process:
        """Send one request with its retries."""
        [importance] = self.rng.choices(list(Importance), IMPORTANCE_SHARES)
        request = CallerRequest(account, importance, self.kernel.now)
        self.requests.append(request)
        factor = (
            LARGE_REQUEST_WORK_FACTOR
            if self.rng.random() < LARGE_REQUEST_SHARE
            else 1.0
        )
        idempotent = self.rng.random() < IDEMPOTENT_SHARE
        for attempt in range(self.case.max_attempts):
            if attempt:
                yield RETRY_DELAY_SECONDS
            within_rate = self.buckets[account].try_acquire(self.kernel.now)
            if not attempt:
                request.in_rate = within_rate
            if self.policy.enforces_limits and not within_rate:
                continue
            request.attempts_in_rate += within_rate
            deadline = self.kernel.now + self.case.attempt_timeout_seconds
            call = Call(f"a{account}", importance, deadline, factor, idempotent)
            future = Future(self.kernel)
            self.kernel.spawn(self.send(call, future))
            self.kernel.set_later(future, self.case.attempt_timeout_seconds, None)
            result = yield future
            if result is not None and result.refusal is None:
                request.answered_at = self.kernel.now
                return
            request.refusals_in_rate += within_rate and result is not None

    def send(self, call: Call, future: Future) -> Process:
        """Send one attempt to a random entry node that accepts connections.

        The future is not set if the entry node crashes before it responds.
        """
        latency = self.fleet.mesh.client_one_way_seconds
        while True:
            entry = self.rng.choice(
                [h for h in self.fleet.hosts[0] if not h.known_dead]
            )
            if entry.alive:
                break
            yield CONNECT_TIMEOUT_SECONDS
        yield latency
        result: AttemptResult = yield from self.fleet.handle_request(entry, call)
        if entry.alive:
            yield latency
            future.set(result)

    def compute_result(self) -> CaseResult:
        """Compute the results from the recorded requests."""
        span = TRIGGER_END_SECONDS - TRIGGER_START_SECONDS
        in_trigger = [
            r
            for r in self.requests
            if TRIGGER_START_SECONDS <= r.arrived_at < TRIGGER_END_SECONDS
        ]
        within_rate = [r for r in in_trigger if r.in_rate]
        response_times = [
            r.answered_at for r in self.requests if r.answered_at is not None
        ]
        answered = (
            sum(
                TRIGGER_START_SECONDS <= responded_at < TRIGGER_END_SECONDS
                for responded_at in response_times
            )
            / span
        )
        possible_rate = min(self.capacity, len(within_rate) / span)
        attempts = sum(r.attempts_in_rate for r in in_trigger)
        critical = [r for r in within_rate if r.importance is Importance.CRITICAL]
        return CaseResult(
            answered / possible_rate,
            self.recovery_seconds(),
            self.worst_account_share(within_rate, span),
            sum(r.refusals_in_rate for r in in_trigger) / max(attempts, 1),
            sum(r.answered for r in critical) / max(len(critical), 1),
        )

    def worst_account_share(
        self, within_rate: list[CallerRequest], span: float
    ) -> float:
        """Return the smallest share of its entitlement that any account was served."""
        entitled = [0.0] * len(ACCOUNT_SHARES)
        capacity_left = self.capacity * span
        for importance in Importance:
            demands = [0] * len(ACCOUNT_SHARES)
            for request in within_rate:
                demands[request.account] += request.importance is importance
            fair_shares = max_min_fair_shares(demands, capacity_left)
            capacity_left -= sum(fair_shares)
            entitled = [
                old + new for old, new in zip(entitled, fair_shares, strict=True)
            ]
        served = [0] * len(ACCOUNT_SHARES)
        for request in within_rate:
            served[request.account] += request.answered
        return min(s / max(e, 1.0) for s, e in zip(served, entitled, strict=True))

    def recovery_seconds(self) -> float | None:
        """Return the seconds from the end of the trigger until service has recovered.

        Both one bin and two bins from then on must reach the required share.
        """
        baseline = self.answered_share(BASELINE_START_SECONDS, TRIGGER_START_SECONDS)
        if not baseline:
            return None
        start = TRIGGER_END_SECONDS
        while start + 2 * BIN_SECONDS <= END_SECONDS:
            bins = (
                self.answered_share(start, start + BIN_SECONDS),
                self.answered_share(start, start + 2 * BIN_SECONDS),
            )
            if min(bins) >= RECOVERED_SHARE * baseline:
                return start - TRIGGER_END_SECONDS
            start += BIN_SECONDS
        return None

    def answered_share(self, start: float, end: float) -> float:
        """Return the answered share of the requests within the rate.

        Counts the requests that arrived from ``start`` until ``end``, in seconds.
        """
        arrived = [
            r for r in self.requests if start <= r.arrived_at < end and r.in_rate
        ]
        return sum(r.answered for r in arrived) / max(len(arrived), 1)


def max_min_fair_shares(demands: list[int], capacity: float) -> list[float]:
    """Divide a capacity among demands by max-min fairness."""
    fair_shares = [0.0] * len(demands)
    order = sorted(range(len(demands)), key=demands.__getitem__)
    for rank, account in enumerate(order):
        fair_shares[account] = min(demands[account], capacity / (len(order) - rank))
        capacity -= fair_shares[account]
    return fair_shares


def format_row(case: Case, policy: Policy, result: CaseResult) -> str:
    """Format one row of the table."""
    recovery = (
        "never"
        if result.recovery_seconds is None
        else f"{result.recovery_seconds:.1f} s"
    )
    return (
        f"{case.name:44} {policy.name:27} {result.goodput:8.1%} {recovery:>8} "
        f"{result.worst_account_share:8.1%} {result.wrongful_refusal_share:9.1%} "
        f"{result.critical_answered_share:9.1%}"
    )


def main() -> None:
    """Run all cases and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--mesh", choices=sorted(MESHES), default="silt-sable")
    parser.add_argument(
        "--case", default="", help="run only cases whose name contains this"
    )
    options = parser.parse_args()
    print(f"python -m bench.overload --seed {options.seed} --mesh {options.mesh}")
    print(
        f"{'case':44} {'policy':27} {'goodput':>8} {'recovery':>8} "
        f"{'worst':>8} {'wrongful':>9} {'critical':>9}"
    )
    # A run allocates many objects but few reference cycles, so collecting garbage
    # between runs suffices and saves time.
    gc.disable()
    for case in CASES:
        if options.case not in case.name:
            continue
        for policy in POLICIES:
            run = CaseRun(MESHES[options.mesh], case, policy, options.seed)
            print(format_row(case, policy, run.run()), flush=True)
            gc.collect()


if __name__ == "__main__":
    main()

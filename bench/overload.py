"""Policy bench: overload cases on a seeded fleet with a paused clock."""

import argparse
import gc
import random
from typing import NamedTuple

from bench.cases import (
    ACCOUNT_SHARES,
    CASES,
    MESHES,
    RATE_HEADROOM,
    USUAL_DEMAND,
    Case,
)
from bench.fleet import Fleet
from bench.kernel import Future, Kernel, Process
from bench.shapes import (
    CONNECT_TIMEOUT,
    LARGE_FACTOR,
    LARGE_SHARE,
    POLICIES,
    Answer,
    Call,
    MeshShape,
    Policy,
)
from carawaywheel.refusals import Importance

TRIGGER_START = 6.0
TRIGGER_END = 13.0
END = 18.0
FORMER_START = 2.0
BIN = 0.5
RECOVERED = 0.95
RETRY_DELAY = 0.1
IMPORTANCE_SHARES = [0.1, 0.6, 0.3]
IDEMPOTENT_SHARE = 0.8


class Bucket:
    """Ideal token bucket that sees every request of an account."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.tokens = rate
        self.at = 0.0

    def take(self, now: float) -> bool:
        """Take a token if there is one; the burst is one second of the rate."""
        gained = (now - self.at) * self.rate
        self.tokens = min(self.rate, self.tokens + gained)
        self.at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Request:
    """A caller's request, over all attempts.

    Attributes:
        account: Number of the account.
        importance: Importance class.
        arrived: Time of the first attempt in seconds.
        in_rate: Whether the first attempt was inside the account's rate.
        answered_at: Time of the whole answer in seconds, or None.
        charged: Attempts inside the rate.
        refused: Attempts inside the rate that were refused.
    """

    def __init__(self, account: int, importance: Importance, arrived: float) -> None:
        self.account = account
        self.importance = importance
        self.arrived = arrived
        self.in_rate = False
        self.answered_at: float | None = None
        self.charged = 0
        self.refused = 0

    @property
    def answered(self) -> bool:
        """Whether a whole answer arrived."""
        return self.answered_at is not None


class Result(NamedTuple):
    """Measures of a run, all over the trigger but the recovery.

    Attributes:
        goodput: Whole answers relative to what the fleet could have served.
        recovery: Seconds until 95% of the former share is answered, or None.
        worst: Share served of the worst-served account, of what it is entitled to:
            the in-rate demand, or if capacity does not allow that, the max-min fair
            part of capacity in the order of importances.
        wrongful: Share of attempts inside the rate that were refused.
        critical: Share of CRITICAL requests inside the rate that were answered.
    """

    goodput: float
    recovery: float | None
    worst: float
    wrongful: float
    critical: float


class Run:
    """One case under one policy."""

    def __init__(self, mesh: MeshShape, case: Case, policy: Policy, seed: int) -> None:
        self.case = case
        self.policy = policy
        self.kernel = Kernel()
        self.rng = random.Random(seed)
        self.fleet = Fleet(mesh, policy, self.kernel, self.rng)
        self.usual = USUAL_DEMAND * self.fleet.capacity()
        self.buckets = [Bucket(self.rate(n)) for n in range(len(ACCOUNT_SHARES))]
        self.requests: list[Request] = []
        self.capacity = self.fleet.capacity()

    def rate(self, account: int) -> float:
        """Return the rate of an account in requests a second."""
        usual = ACCOUNT_SHARES[account] * self.usual * RATE_HEADROOM
        grown = self.case.factors[account] if self.case.oversubscribed else 1.0
        return usual * grown

    def run(self) -> Result:
        """Run the case and return its measures."""
        for account in range(len(ACCOUNT_SHARES)):
            self.kernel.spawn(self.arrivals(account))
        self.kernel.run(TRIGGER_START)
        if self.case.fault is not None:
            self.case.fault(self.fleet)
        self.capacity = self.fleet.capacity()
        self.kernel.run(TRIGGER_END)
        if self.case.repair is not None:
            self.case.repair(self.fleet)
        self.kernel.run(END + self.case.patience)
        return self.measure()

    def arrivals(self, account: int) -> Process:
        """Start the requests of an account, as a Poisson process."""
        usual = ACCOUNT_SHARES[account] * self.usual
        while self.kernel.now < END:
            now = self.kernel.now
            inside = TRIGGER_START <= now < TRIGGER_END
            factor = self.case.factors[account] if inside else 1.0
            yield self.rng.expovariate(usual * factor)
            self.kernel.spawn(self.caller(account))

    def caller(self, account: int) -> Process:
        """Make the attempts of one request."""
        [importance] = self.rng.choices(list(Importance), IMPORTANCE_SHARES)
        request = Request(account, importance, self.kernel.now)
        self.requests.append(request)
        factor = LARGE_FACTOR if self.rng.random() < LARGE_SHARE else 1.0
        idempotent = self.rng.random() < IDEMPOTENT_SHARE
        for attempt in range(self.case.tries):
            if attempt:
                yield RETRY_DELAY
            inside = self.buckets[account].take(self.kernel.now)
            if not attempt:
                request.in_rate = inside
            if self.policy.limited and not inside:
                continue
            request.charged += inside
            deadline = self.kernel.now + self.case.patience
            call = Call(f"a{account}", importance, deadline, factor, idempotent)
            future = Future(self.kernel)
            self.kernel.spawn(self.send(call, future))
            self.kernel.set_later(future, self.case.patience, None)
            answer = yield future
            if answer is not None and answer.refusal is None:
                request.answered_at = self.kernel.now
                return
            request.refused += inside and answer is not None

    def send(self, call: Call, future: Future) -> Process:
        """Send one attempt to an entry node that accepts connections."""
        latency = self.fleet.mesh.client
        while True:
            entry = self.rng.choice([h for h in self.fleet.hosts[0] if not h.gone])
            if entry.alive:
                break
            yield CONNECT_TIMEOUT
        yield latency
        answer: Answer = yield from self.fleet.enter(entry, call)
        if entry.alive:
            yield latency
            future.set(answer)

    def measure(self) -> Result:
        """Compute the measures from the requests."""
        span = TRIGGER_END - TRIGGER_START
        during = [r for r in self.requests if TRIGGER_START <= r.arrived < TRIGGER_END]
        inside = [r for r in during if r.in_rate]
        answers = [r.answered_at for r in self.requests if r.answered_at is not None]
        answered = sum(TRIGGER_START <= at < TRIGGER_END for at in answers) / span
        possible = min(self.capacity, len(inside) / span)
        charged = sum(r.charged for r in during)
        critical = [r for r in inside if r.importance is Importance.CRITICAL]
        return Result(
            answered / possible,
            self.recovery(),
            self.worst(inside, span),
            sum(r.refused for r in during) / max(charged, 1),
            sum(r.answered for r in critical) / max(len(critical), 1),
        )

    def worst(self, inside: list[Request], span: float) -> float:
        """Return the least share served of what an account is entitled to."""
        entitled = [0.0] * len(ACCOUNT_SHARES)
        left = self.capacity * span
        for importance in Importance:
            demands = [0] * len(ACCOUNT_SHARES)
            for request in inside:
                demands[request.account] += request.importance is importance
            parts = max_min(demands, left)
            left -= sum(parts)
            entitled = [old + new for old, new in zip(entitled, parts, strict=True)]
        served = [0] * len(ACCOUNT_SHARES)
        for request in inside:
            served[request.account] += request.answered
        return min(s / max(e, 1.0) for s, e in zip(served, entitled, strict=True))

    def recovery(self) -> float | None:
        """Return the seconds from the end of the trigger until service is back."""
        former = self.share(FORMER_START, TRIGGER_START)
        if not former:
            return None
        start = TRIGGER_END
        while start + 2 * BIN <= END:
            bins = (self.share(start, start + BIN), self.share(start, start + 2 * BIN))
            if min(bins) >= RECOVERED * former:
                return start - TRIGGER_END
            start += BIN
        return None

    def share(self, start: float, end: float) -> float:
        """Return the share answered of the in-rate requests that arrived then."""
        arrived = [r for r in self.requests if start <= r.arrived < end and r.in_rate]
        return sum(r.answered for r in arrived) / max(len(arrived), 1)


def max_min(demands: list[int], capacity: float) -> list[float]:
    """Divide a capacity so that the smallest part is as large as it can be."""
    parts = [0.0] * len(demands)
    order = sorted(range(len(demands)), key=demands.__getitem__)
    for place, account in enumerate(order):
        parts[account] = min(demands[account], capacity / (len(order) - place))
        capacity -= parts[account]
    return parts


def line(case: Case, policy: Policy, result: Result) -> str:
    """Format one row of the table."""
    recovery = "never" if result.recovery is None else f"{result.recovery:.1f} s"
    return (
        f"{case.name:44} {policy.name:27} {result.goodput:8.1%} {recovery:>8} "
        f"{result.worst:8.1%} {result.wrongful:9.1%} {result.critical:9.1%}"
    )


def main() -> None:
    """Run all cases and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--mesh", choices=sorted(MESHES), default="silt-sable")
    parser.add_argument("--case", default="", help="part of a case's name")
    options = parser.parse_args()
    print(f"python -m bench.overload --seed {options.seed} --mesh {options.mesh}")
    print(
        f"{'case':44} {'policy':27} {'goodput':>8} {'recovery':>8} "
        f"{'worst':>8} {'wrongful':>9} {'critical':>9}"
    )
    # A run makes many objects and few cycles: collect between runs only.
    gc.disable()
    for case in CASES:
        if options.case not in case.name:
            continue
        for policy in POLICIES:
            run = Run(MESHES[options.mesh], case, policy, options.seed)
            print(line(case, policy, run.run()), flush=True)
            gc.collect()


if __name__ == "__main__":
    main()

"""Comparison of ways to ration client accounts: ``python -m bench.rates --seed 7``.

All times are virtual. A wrongful refusal is a refusal of a call that one bucket that
saw every call of the account would have admitted.
"""

import argparse
import random
from collections.abc import Callable

from carawaywheel.buckets import TokenBucket
from carawaywheel.settings import ShareSettings

from .ratesim import (
    Call,
    EqualShares,
    EscrowedLoans,
    Quota,
    RateLimitScheme,
    SimulationResult,
    TokenServer,
)

FLEETS = ((3, 3), (30, 3), (1000, 7))
WARM_UP_SECONDS = 3.0
ORDINARY_LOAD = 0.7
CALLS_PER_NODE = 14.0
OUTAGE_SECONDS = 3600.0
SERVER_LEASE_SECONDS = 30.0
FORMAT = "{:<13}{:>6}  {:<15}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}"
HEADER = (
    "case",
    "nodes",
    "way",
    "wrong %",
    "rate %",
    "surge %",
    "msg/s",
    "KB/s",
    "max KB/s",
    "wait %",
    "follow s",
)

NodePicker = Callable[[float, random.Random], int]


def make_quotas(total: float, count: int) -> list[Quota]:
    """Return accounts of falling size whose rates sum up to ``total``."""
    weights = [1 / (rank + 1) for rank in range(count)]
    scale = total / sum(weights)
    rates = [max(2.0, weight * scale) for weight in weights]
    return [Quota(f"acct{i:02}", r, max(10.0, r)) for i, r in enumerate(rates)]


def make_calls(
    quota: Quota, load: float, seconds: float, place: NodePicker, rng: random.Random
) -> list[Call]:
    """Return Poisson arrivals at ``load`` times the rate, with an ideal verdict."""
    calls = []
    bucket = TokenBucket(quota.rate, quota.burst, 0.0)
    time = rng.expovariate(quota.rate * load)
    while time < seconds:
        ideal = bucket.take(1, time)
        calls.append(Call(time, place(time, rng), quota.name, ideal))
        time += rng.expovariate(quota.rate * load)
    return calls


def format_percent(part: float, whole: float) -> str:
    """Return a share as text, or a dash without a whole."""
    return f"{100 * part / whole:.2f}" if whole else "-"


def wrongful_refusal_percent(result: SimulationResult, exclude: str = "") -> str:
    """Return the wrongful refusals in percent of the calls after the warm-up."""
    wrong = total = 0
    for call, admitted, _ in result.decisions:
        if call.time >= WARM_UP_SECONDS and call.account != exclude:
            total += 1
            wrong += call.ideally_admitted and not admitted
    return format_percent(wrong, total)


def admitted_percent(result: SimulationResult, quota: Quota, seconds: float) -> str:
    """Return the admissions of an account after the warm-up in percent of its rate."""
    times = [
        time
        for call, admitted, time in result.decisions
        if admitted and call.account == quota.name and WARM_UP_SECONDS <= time < seconds
    ]
    return format_percent(len(times), quota.rate * (seconds - WARM_UP_SECONDS))


def surge_percent(result: SimulationResult, account: str) -> str:
    """Return what an account over its rate got in percent of the ideal bucket."""
    mine = [
        (call.ideally_admitted, admitted)
        for call, admitted, _ in result.decisions
        if call.account == account and call.time >= WARM_UP_SECONDS
    ]
    got = sum(admitted for _, admitted in mine)
    return format_percent(got, sum(ideal for ideal, _ in mine))


def demand_shift_seconds(
    result: SimulationResult, quota: Quota, period: float, seconds: float
) -> str:
    """Return the longest time in seconds until a moved demand gets 90% of the rate.

    Measured over sliding windows of 100 ms that start at multiples of 10 ms.
    """
    window = max(0.1, 20 / quota.rate)
    times = sorted(time for _, admitted, time in result.decisions if admitted)
    longest = 0.0
    move = period * 2
    while move + period <= seconds:
        start = move
        while start < move + period:
            count = sum(start <= time < start + window for time in times)
            if count >= 0.9 * quota.rate * window:
                break
            start += 0.01
        longest = max(longest, start - move)
        move += period
    return f"{longest:.2f}"


def print_row(
    case: str,
    nodes: int,
    way: RateLimitScheme,
    result: SimulationResult,
    seconds: float,
    wrong: str = "-",
    rate: str = "-",
    surge: str = "-",
    follow: str = "-",
) -> None:
    """Print one line of the table."""
    row = (
        case,
        nodes,
        way.name,
        wrong,
        rate,
        surge,
        f"{result.messages / nodes / seconds:.2f}",
        f"{sum(result.bytes_sent) / nodes / seconds / 1000:.3f}",
        f"{max(result.bytes_sent) / seconds / 1000:.2f}",
        format_percent(result.waited_calls, len(result.decisions)),
        follow,
    )
    print(FORMAT.format(*row), flush=True)


def make_schemes(seed: int) -> list[RateLimitScheme]:
    """Return the ways that are compared."""
    return [EqualShares(), TokenServer(), EscrowedLoans(ShareSettings(), seed)]


def compare_many_accounts(nodes: int, domains: int, seed: int, surge: bool) -> None:
    """Accounts in rate at random nodes, perhaps with one at five times its rate."""
    rng = random.Random(f"{seed} {nodes} {surge}")
    total = CALLS_PER_NODE * nodes / ORDINARY_LOAD
    count = 64 if nodes > 100 else 8
    quotas = make_quotas(total, count)
    seconds = 9.0 if nodes > 100 else 60.0
    tenant = quotas[count // 2] if surge else None
    calls = []
    for quota in quotas:
        load = 5.0 if quota is tenant else ORDINARY_LOAD
        calls += make_calls(quota, load, seconds, lambda _, r: r.randrange(nodes), rng)
    calls.sort()
    for way in make_schemes(seed):
        result = way.run(quotas, calls, nodes, domains)
        exclude = tenant.name if tenant else ""
        share = surge_percent(result, tenant.name) if tenant else "-"
        wrong = wrongful_refusal_percent(result, exclude)
        case = "surge" if surge else "ordinary"
        print_row(case, nodes, way, result, seconds, wrong, surge=share)


def compare_one_account(
    case: str, nodes: int, domains: int, seed: int, quota: Quota, load: float
) -> None:
    """One account: at one node, at a node that moves, or at random nodes."""
    rng = random.Random(f"{seed} {nodes} {case}")
    period = 2.0
    seconds = 21.0
    places: dict[str, NodePicker] = {
        "one node": lambda _, r: 0,
        "moving": lambda time, r: int(time / period) * 7 % nodes,
        "small": lambda _, r: r.randrange(nodes),
    }
    calls = make_calls(quota, load, seconds, places[case.split("/")[0]], rng)
    for way in make_schemes(seed):
        result = way.run([quota], calls, nodes, domains)
        moving = case.startswith("moving")
        follow = demand_shift_seconds(result, quota, period, seconds) if moving else "-"
        rate = admitted_percent(result, quota, seconds) if load >= 1 else "-"
        wrong = wrongful_refusal_percent(result)
        print_row(case, nodes, way, result, seconds, wrong, rate, follow=follow)


def compare_in_outage(nodes: int, domains: int, seed: int) -> None:
    """The log is out for an hour and the lender of one account's part dies."""
    rng = random.Random(f"{seed} outage")
    quotas = [Quota("hit", 6.0, 12.0), Quota("spared", 6.0, 12.0)]
    calls = []
    for quota in quotas:
        calls += make_calls(
            quota, 0.6, OUTAGE_SECONDS, lambda _, r: r.randrange(nodes), rng
        )
    calls.sort()
    compared: list[RateLimitScheme] = [
        EqualShares(),
        TokenServer(leases_expire_at=SERVER_LEASE_SECONDS),
        EscrowedLoans(ShareSettings(), seed, lender_crash=("hit", WARM_UP_SECONDS)),
    ]
    for way in compared:
        result = way.run(quotas, calls, nodes, domains)
        for name, other in (("hit", "spared"), ("spared", "hit")):
            wrong = wrongful_refusal_percent(result, other)
            print_row(f"out/{name}", nodes, way, result, OUTAGE_SECONDS, wrong)


def main() -> None:
    """Run all cases and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7)
    seed = parser.parse_args().seed
    print(FORMAT.format(*HEADER))
    for nodes, domains in FLEETS:
        compare_many_accounts(nodes, domains, seed, surge=False)
        compare_many_accounts(nodes, domains, seed, surge=True)
        for rate in (50.0, 500.0):
            quota = Quota("solo", rate, rate)
            compare_one_account(
                f"one node/{rate:.0f}", nodes, domains, seed, quota, 1.3
            )
            compare_one_account(f"moving/{rate:.0f}", nodes, domains, seed, quota, 1.3)
        small = Quota("solo", 50.0, 10.0)
        compare_one_account("small", nodes, domains, seed, small, ORDINARY_LOAD)
    compare_in_outage(30, 3, seed)


if __name__ == "__main__":
    main()

"""Compares schemes to enforce the rates of client accounts over a fleet.

All times are simulated. A refusal is wrongful if one token bucket that sees every
call of the account would have admitted the call.

Run ``python -m bench.rates --seed 7``.
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

# Numbers of nodes and of failure domains.
FLEET_SIZES = ((3, 3), (30, 3), (1000, 7))
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
    """Return accounts with falling rates (Zipf) that add up to about ``total``.

    Small rates are raised to a minimum of 2 tokens per second.
    """
    weights = [1 / (rank + 1) for rank in range(count)]
    scale = total / sum(weights)
    rates = [max(2.0, weight * scale) for weight in weights]
    return [Quota(f"acct{i:02}", r, max(10.0, r)) for i, r in enumerate(rates)]


def make_calls(
    quota: Quota, load: float, seconds: float, pick_node: NodePicker, rng: random.Random
) -> list[Call]:
    """Return Poisson arrivals at ``load`` times the rate.

    Each call has the decision of one bucket that sees all calls of the account.
    """
    calls = []
    bucket = TokenBucket(quota.rate, quota.burst, 0.0)
    time = rng.expovariate(quota.rate * load)
    while time < seconds:
        ideal = bucket.take(1, time)
        calls.append(Call(time, pick_node(time, rng), quota.name, ideal))
        time += rng.expovariate(quota.rate * load)
    return calls


def format_percent(part: float, whole: float) -> str:
    """Return a ratio in percent as text, or a dash if the whole is zero."""
    return f"{100 * part / whole:.2f}" if whole else "-"


def wrongful_refusal_percent(result: SimulationResult, exclude: str = "") -> str:
    """Return wrongful refusals after the warm-up in percent of the calls."""
    wrongful = total = 0
    for call, admitted, _ in result.decisions:
        if call.time >= WARM_UP_SECONDS and call.account != exclude:
            total += 1
            wrongful += call.ideally_admitted and not admitted
    return format_percent(wrongful, total)


def admitted_percent(result: SimulationResult, quota: Quota, seconds: float) -> str:
    """Return an account's admissions after the warm-up in percent of its rate."""
    times = [
        time
        for call, admitted, time in result.decisions
        if admitted and call.account == quota.name and WARM_UP_SECONDS <= time < seconds
    ]
    return format_percent(len(times), quota.rate * (seconds - WARM_UP_SECONDS))


def surge_percent(result: SimulationResult, account: str) -> str:
    """Return the admissions of an account over its rate after the warm-up.

    They are in percent of the admissions of one bucket that sees all calls.
    """
    decisions = [
        (call.ideally_admitted, admitted)
        for call, admitted, _ in result.decisions
        if call.account == account and call.time >= WARM_UP_SECONDS
    ]
    admitted_count = sum(admitted for _, admitted in decisions)
    return format_percent(admitted_count, sum(ideal for ideal, _ in decisions))


def demand_shift_seconds(
    result: SimulationResult, quota: Quota, period: float, seconds: float
) -> str:
    """Return the longest time in seconds until shifted demand gets 90% of the rate.

    The demand moves to another node once per period. The rate is measured over
    windows of at least 100 ms that start every 10 ms.
    """
    window = max(0.1, 20 / quota.rate)
    times = sorted(time for _, admitted, time in result.decisions if admitted)
    longest = 0.0
    moved_at = period * 2
    while moved_at + period <= seconds:
        start = moved_at
        while start < moved_at + period:
            count = sum(start <= time < start + window for time in times)
            if count >= 0.9 * quota.rate * window:
                break
            start += 0.01
        longest = max(longest, start - moved_at)
        moved_at += period
    return f"{longest:.2f}"


def print_row(
    case: str,
    nodes: int,
    scheme: RateLimitScheme,
    result: SimulationResult,
    seconds: float,
    wrongful: str = "-",
    rate: str = "-",
    surge: str = "-",
    shift_seconds: str = "-",
) -> None:
    """Print one row of the table."""
    row = (
        case,
        nodes,
        scheme.name,
        wrongful,
        rate,
        surge,
        f"{result.messages / nodes / seconds:.2f}",
        f"{sum(result.bytes_sent) / nodes / seconds / 1000:.3f}",
        f"{max(result.bytes_sent) / seconds / 1000:.2f}",
        format_percent(result.waited_calls, len(result.decisions)),
        shift_seconds,
    )
    print(FORMAT.format(*row), flush=True)


def make_schemes(seed: int) -> list[RateLimitScheme]:
    """Return the schemes that are compared."""
    return [EqualShares(), TokenServer(), EscrowedLoans(ShareSettings(), seed)]


def compare_many_accounts(nodes: int, domains: int, seed: int, surge: bool) -> None:
    """Compare the schemes for many accounts whose calls go to random nodes.

    On average the accounts demand less than their rates. With ``surge``, one of them
    demands five times its rate.
    """
    rng = random.Random(f"{seed} {nodes} {surge}")
    total = CALLS_PER_NODE * nodes / ORDINARY_LOAD
    count = 64 if nodes > 100 else 8
    quotas = make_quotas(total, count)
    seconds = 9.0 if nodes > 100 else 60.0
    surging = quotas[count // 2] if surge else None
    calls = []
    for quota in quotas:
        load = 5.0 if quota is surging else ORDINARY_LOAD
        calls += make_calls(quota, load, seconds, lambda _, r: r.randrange(nodes), rng)
    calls.sort()
    for scheme in make_schemes(seed):
        result = scheme.run(quotas, calls, nodes, domains)
        exclude = surging.name if surging else ""
        share = surge_percent(result, surging.name) if surging else "-"
        wrongful = wrongful_refusal_percent(result, exclude)
        case = "surge" if surge else "ordinary"
        print_row(case, nodes, scheme, result, seconds, wrongful, surge=share)


def compare_one_account(
    case: str, nodes: int, domains: int, seed: int, quota: Quota, load: float
) -> None:
    """Compare the schemes for one account.

    Its calls go to one node, to a node that changes every period, or to random
    nodes, according to the case.
    """
    rng = random.Random(f"{seed} {nodes} {case}")
    period = 2.0
    seconds = 21.0
    node_pickers: dict[str, NodePicker] = {
        "one node": lambda _, r: 0,
        "moving": lambda time, r: int(time / period) * 7 % nodes,
        "small": lambda _, r: r.randrange(nodes),
    }
    calls = make_calls(quota, load, seconds, node_pickers[case.split("/")[0]], rng)
    for scheme in make_schemes(seed):
        result = scheme.run([quota], calls, nodes, domains)
        moves = case.startswith("moving")
        shift_seconds = (
            demand_shift_seconds(result, quota, period, seconds) if moves else "-"
        )
        rate = admitted_percent(result, quota, seconds) if load >= 1 else "-"
        wrongful = wrongful_refusal_percent(result)
        print_row(
            case,
            nodes,
            scheme,
            result,
            seconds,
            wrongful,
            rate,
            shift_seconds=shift_seconds,
        )


def compare_in_outage(nodes: int, domains: int, seed: int) -> None:
    """Compare the schemes in a log outage of one hour.

    With escrowed loans, a lender of one account crashes as well.
    """
    rng = random.Random(f"{seed} outage")
    quotas = [Quota("hit", 6.0, 12.0), Quota("spared", 6.0, 12.0)]
    calls = []
    for quota in quotas:
        calls += make_calls(
            quota, 0.6, OUTAGE_SECONDS, lambda _, r: r.randrange(nodes), rng
        )
    calls.sort()
    schemes: list[RateLimitScheme] = [
        EqualShares(),
        TokenServer(leases_expire_at=SERVER_LEASE_SECONDS),
        EscrowedLoans(ShareSettings(), seed, lender_crash=("hit", WARM_UP_SECONDS)),
    ]
    for scheme in schemes:
        result = scheme.run(quotas, calls, nodes, domains)
        for name, other in (("hit", "spared"), ("spared", "hit")):
            wrongful = wrongful_refusal_percent(result, other)
            print_row(f"out/{name}", nodes, scheme, result, OUTAGE_SECONDS, wrongful)


def main() -> None:
    """Run all cases and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7)
    seed = parser.parse_args().seed
    print(FORMAT.format(*HEADER))
    for nodes, domains in FLEET_SIZES:
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

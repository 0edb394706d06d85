"""Bounds that the overload report checks, such as limits on wrongful refusals."""

from collections import defaultdict
from typing import NamedTuple

from .refusals import Importance, Reason
from .settings import RetrySettings
from .summaries import CountingPoint, OutcomeCount, SummaryTotals
from .summarizer import IMPORTANCE_BOUND, OVERLOAD_REASONS

MIN_SERVED_SHARE = 0.95
MAX_WRONGFUL_SHARE = 0.01
MAX_WRONGFUL_SHARE_WITH_ABUSE = 0.05
# Refusals that are independent of rates and overload, such as an unknown key.
CALLER_FAULT_REASONS = frozenset(
    {
        Reason.NO_ROUTE,
        Reason.BAD_REQUEST,
        Reason.KEY_MISSING,
        Reason.KEY_UNKNOWN,
        Reason.KEY_WITHDRAWN,
        Reason.FORBIDDEN,
        Reason.DUPLICATE,
        Reason.CANCELLED,
    }
)


class BoundResult(NamedTuple):
    """Result of checking a bound.

    Attributes:
        name: Text of the bound.
        held: Whether the bound held, or None if there was nothing to check.
        figures: Measured figures as text.
    """

    name: str
    held: bool | None
    figures: str


def check_bounds(
    totals: SummaryTotals,
    rows: list[OutcomeCount],
    summaries: int,
    settings: RetrySettings,
) -> list[BoundResult]:
    """Check all bounds.

    Args:
        totals: Sums over the span, with the checks made by the nodes.
        rows: Outcome counts of the totals.
        summaries: Number of summaries; the retry budget has a floor for each.
        settings: Settings of the retry budgets.
    """
    results = [check_importance(totals)]
    results += [
        BoundResult(
            row.name, row.broken == 0, format_check_counts(row.checked, row.broken)
        )
        for row in totals.bounds.values()
        if row.name != IMPORTANCE_BOUND
    ]
    results.append(check_importance_shares(rows))
    results.append(check_wrongful_refusals(rows))
    results.append(check_worst_account(rows))
    results.append(check_retries(totals, summaries, settings))
    return results


def format_check_counts(checked: int, broken: int, detail: str = "") -> str:
    """Return the figures of a bound that the nodes checked."""
    text = f"checked {checked:,} times, broken {broken:,} times"
    return f"{text}; first: {detail}" if detail else text


def check_importance(totals: SummaryTotals) -> BoundResult:
    """Check that no lower importance was admitted while a higher one was shed."""
    row = totals.bounds.get(IMPORTANCE_BOUND)
    if row is None:
        text = "no request was shed at a target's node"
        return BoundResult(IMPORTANCE_BOUND, None, text)
    text = format_check_counts(row.checked, row.broken, row.detail)
    return BoundResult(IMPORTANCE_BOUND, row.broken == 0, text)


def check_importance_shares(rows: list[OutcomeCount]) -> BoundResult:
    """Check that each service shed no larger share of a higher importance."""
    name = "each service shed no larger part of a higher importance"
    counts: dict[str, dict[Importance, list[int]]] = defaultdict(
        lambda: {importance: [0, 0] for importance in Importance}
    )
    for row in rows:
        if row.key.place is not CountingPoint.TARGET:
            continue
        if row.key.reason is None or row.key.reason in OVERLOAD_REASONS:
            served_and_shed = counts[row.key.service][row.key.importance]
            served_and_shed[row.key.reason is not None] += row.requests
    shed = {
        service: by_importance
        for service, by_importance in counts.items()
        if has_shed(by_importance)
    }
    if not shed:
        return BoundResult(name, None, "no request was shed at a target's node")
    violating = sorted(
        service
        for service, by_importance in shed.items()
        if not is_ordered_by_importance(by_importance)
    )
    text = (
        f"not so at {', '.join(violating)}"
        if violating
        else f"shed at {', '.join(sorted(shed))}"
    )
    return BoundResult(name, not violating, text)


def has_shed(counts: dict[Importance, list[int]]) -> bool:
    """Return whether any request was shed, given served and shed by importance."""
    return any(refused for _, refused in counts.values())


def is_ordered_by_importance(counts: dict[Importance, list[int]]) -> bool:
    """Return whether the share shed never decreases with decreasing importance."""
    used = [
        served_and_shed for served_and_shed in counts.values() if sum(served_and_shed)
    ]
    shares = [refused / (served + refused) for served, refused in used]
    return shares == sorted(shares)


def is_within_rate(row: OutcomeCount) -> bool:
    """Return whether a row counts callers' requests within an account's rate."""
    key = row.key
    caller_fault = key.reason in CALLER_FAULT_REASONS
    at_entry = key.place is CountingPoint.ENTRY
    return at_entry and key.in_rate and bool(key.account) and not caller_fault


def check_wrongful_refusals(rows: list[OutcomeCount]) -> BoundResult:
    """Check the share of requests that were refused although within their rate."""
    entry_rows = [row for row in rows if row.key.place is CountingPoint.ENTRY]
    rows_in_rate = [row for row in entry_rows if is_within_rate(row)]
    abused = any(row.key.reason is Reason.RATE_EXCEEDED for row in entry_rows)
    limit = MAX_WRONGFUL_SHARE_WITH_ABUSE if abused else MAX_WRONGFUL_SHARE
    name = f"less than {limit:.0%} of the requests within their rate refused"
    requests = sum(row.requests for row in rows_in_rate)
    refused = sum(row.requests for row in rows_in_rate if row.key.reason is not None)
    if not requests:
        return BoundResult(name, None, "no request within its rate")
    text = f"{refused:,} of {requests:,} refused ({refused / requests:.2%})"
    if abused:
        text += "; another limit applies because an account was over its rate"
    return BoundResult(name, refused / requests < limit, text)


def check_worst_account(rows: list[OutcomeCount]) -> BoundResult:
    """Check the share served of the worst-served client account."""
    name = f"each client account at least {MIN_SERVED_SHARE:.0%} served within its rate"
    counts: dict[str, list[int]] = defaultdict(lambda: [0, 0])
    for row in rows:
        if is_within_rate(row):
            counts[row.key.account][row.key.reason is not None] += row.requests
    if not counts:
        return BoundResult(name, None, "no request within a client account's rate")
    shares = {
        account: served / (served + refused)
        for account, (served, refused) in counts.items()
    }
    worst = min(shares, key=lambda account: (shares[account], account))
    text = f"worst served: {worst} with {shares[worst]:.1%}"
    return BoundResult(name, shares[worst] >= MIN_SERVED_SHARE, text)


def check_retries(
    totals: SummaryTotals, summaries: int, settings: RetrySettings
) -> BoundResult:
    """Check that the retries to each service stayed within the retry budget."""
    name = f"retries at most {settings.service_share:.0%} of first attempts"
    if not totals.attempts:
        return BoundResult(name, None, "no attempts were counted")
    floor = settings.service_floor * summaries
    over_budget = [
        row.service
        for row in totals.attempts.values()
        if row.retries > settings.service_share * row.first + floor
    ]
    first = sum(row.first for row in totals.attempts.values())
    retries = sum(row.retries for row in totals.attempts.values())
    text = f"{retries:,} retries, {first:,} first attempts; "
    text += f"each node may add {settings.service_floor} in each summary"
    if over_budget:
        text += f"; over the budget: {', '.join(sorted(over_budget))}"
    return BoundResult(name, not over_budget, text)

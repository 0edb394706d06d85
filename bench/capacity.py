"""Measures memory and processor time per unit of a node's state at several sizes.

Each row has the cost of one unit at one size; a cost that grows with the size shows
that the state does not scale linearly. docs/CAPACITY.md derives the budgets of a node
from these costs.

Run ``python -m bench.capacity``.
"""

import argparse
import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

from carawaywheel.borrowers import Borrower
from carawaywheel.claims import ClaimTable
from carawaywheel.configuration import Configuration
from carawaywheel.events import EventBuffer, EventKind
from carawaywheel.keys import issue_key, sha256_hex
from carawaywheel.lenders import Lender
from carawaywheel.loans import LenderRef
from carawaywheel.members import Member, MemberState, MemberTable
from carawaywheel.policies import PolicyDocument
from carawaywheel.records import (
    ClaimMade,
    KeyIssued,
    PolicyPublished,
    decode,
    encode,
)
from carawaywheel.routing import Candidate, Router, TargetState
from carawaywheel.settings import RoutingSettings, ShareSettings
from carawaywheel.shares import TokenRequest, hash_slot

SECRET = b"a secret for the measurement"
SIZES = (100, 1_000, 10_000)
MICROSECONDS = 1e6
DOMAINS = [f"d{number}" for number in range(7)]
SERVICE_COUNT = 68


class UnitCost(NamedTuple):
    """Cost of one unit of a state.

    Attributes:
        name: What a unit is.
        size: Number of units in the state.
        bytes_per_unit: Memory in bytes.
        cpu_us_per_unit: Processor time in microseconds.
    """

    name: str
    size: int
    bytes_per_unit: float
    cpu_us_per_unit: float


def measure_unit(name: str, size: int, build: Callable[[int], Any]) -> UnitCost:
    """Build a state of some size twice, once for its time and once for its memory.

    Tracing of memory would distort the time.
    """
    gc.collect()
    started = time.process_time()
    build(size)
    cpu_seconds = time.process_time() - started
    gc.collect()
    tracemalloc.start()
    state = build(size)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del state
    return UnitCost(name, size, state_bytes / size, cpu_seconds / size * MICROSECONDS)


def make_policy(team: str, accounts: int) -> PolicyDocument:
    """Return a policy with a number of client accounts."""
    return {
        "team": team,
        "services": [{"name": f"{team}-desk", "slots": 100, "connections": 750}],
        "routes": [{"name": "r", "path": f"/{team}", "service": f"{team}-desk"}],
        "accounts": [
            {"name": f"a{number}", "rate": 100.0, "burst": 200.0}
            for number in range(accounts)
        ],
    }


def build_keys(size: int) -> Configuration:
    """Decode and apply the records of a number of keys."""
    configuration = Configuration("")
    record = PolicyPublished(
        "c", "/teams/t", -1, 0, "o", "r", 1.0, make_policy("t", 100)
    )
    configuration.apply(0, decode(encode(record, SECRET), SECRET))
    for number in range(size):
        key = issue_key()
        issued = KeyIssued(
            f"c{number}", "t", key.key_id, 0, sha256_hex(key.secret_text),
            f"a{number % 100}", "o", "r", 1.0,
        )  # fmt: skip
        configuration.apply(number + 1, decode(encode(issued, SECRET), SECRET))
    configuration.view()
    return configuration


def build_changes(size: int) -> Configuration:
    """Apply changes of one policy and build the view after each of them."""
    configuration = Configuration("")
    base_version = -1
    document = make_policy("t", 50)
    for number in range(size):
        record = PolicyPublished(
            f"c{number}", "/teams/t", base_version, number, "o", "r", 1.0, document
        )
        configuration.apply(number, decode(encode(record, SECRET), SECRET))
        configuration.view()
        base_version = number
    return configuration


def build_claims(size: int) -> ClaimTable:
    """Decode and apply claims of non-idempotent requests."""
    table = ClaimTable()
    for number in range(size):
        record = ClaimMade(f"{number:040x}", f"{number:032x}", "node-17")
        table.apply(number, decode(encode(record, SECRET), SECRET))
    return table


def build_members(size: int) -> MemberTable:
    """Store a number of members."""
    table = MemberTable("own")
    for number in range(size):
        member = Member(
            f"node-{number}", 1 << 50, MemberState.ALIVE, DOMAINS[number % 7],
            f"10.0.{number // 250}.{number % 250}:7002",
            f"10.0.{number // 250}.{number % 250}:7002",
            f"service-{number % SERVICE_COUNT}", "127.0.0.1:8000", TargetState.READY,
            110, 0.0, 12345,
        )  # fmt: skip
        table.store(member, 0.0)
    return table


def build_router(size: int) -> Router:
    """Add a number of targets and choose one for as many calls."""
    router = Router(RoutingSettings(), DOMAINS[0], random.Random(7))
    candidates = [
        Candidate(
            f"node-{number}",
            f"node-{number}",
            f"service-{number % SERVICE_COUNT}",
            f"10.0.0.{number % 250}:7002",
            DOMAINS[number % 7],
            110,
            TargetState.READY,
            0.0,
        )  # fmt: skip
        for number in range(size)
    ]
    router.set_candidates(candidates, 0.0)
    for number in range(size):
        router.choose(f"service-{number % min(size, SERVICE_COUNT)}", 1.0)
    return router


def build_lender(size: int) -> Lender:
    """Configure a number of accounts at a lender and handle one request for each."""
    settings = ShareSettings()
    lender = Lender(settings, DOMAINS[0], DOMAINS, random.Random(7))
    for slot in range(settings.slots):
        lender.acquire_slot(slot, 0.0, 0.0)
    for number in range(size):
        account = f"team/account-{number}"
        lender.set_account(account, 100.0, 200.0, 0.0)
        request = TokenRequest("node-1", 1, 1, account, 1, 5, 1, 0, 0, False)
        lender.handle_request(request, 10.0)
    return lender


def build_borrower(size: int) -> Borrower:
    """Charge one call to each of a number of accounts and request tokens."""
    settings = ShareSettings()
    borrower = Borrower(settings, "node-1", 1, DOMAINS[0])
    lender_refs = [LenderRef(f"node-{name}", name, 1) for name in DOMAINS]
    for slot in range(settings.slots):
        borrower.set_lenders(slot, lender_refs)
    for number in range(size):
        account = f"team/account-{number}"
        assert 0 <= hash_slot(account, settings) < settings.slots
        borrower.acquire(account, 1.0)
        borrower.due_requests(1.0, account)
    return borrower


def build_events(size: int) -> EventBuffer:
    """Record a number of refused requests."""
    buffer = EventBuffer("node-1", 1 << 30)
    for number in range(size):
        buffer.append(
            EventKind.REQUEST_REFUSED, 1.0, 1.0, request_id=f"{number:032x}",
            account="team/account", service="service", detail="admission service",
        )  # fmt: skip
    return buffer


BUILDERS: dict[str, Callable[[int], Any]] = {
    "key, from its record": build_keys,
    "policy change, with snapshot": build_changes,
    "claim, from its record": build_claims,
    "member": build_members,
    "target, with one choice": build_router,
    "account at a lender, one grant": build_lender,
    "account at a borrower, one charge": build_borrower,
    "event": build_events,
}
SMALL_SIZES_ONLY = {"policy change, with snapshot"}


def main() -> None:
    """Measure all units and print the table."""
    parser = argparse.ArgumentParser(prog="bench.capacity", description=__doc__)
    parser.parse_args()
    print(f"{'unit':<36}{'size':>8}{'bytes each':>12}{'us each':>10}")
    for name, build in BUILDERS.items():
        sizes = SIZES[:2] if name in SMALL_SIZES_ONLY else SIZES
        for size in sizes:
            row = measure_unit(name, size, build)
            line = f"{row.name:<36}{row.size:>8}{row.bytes_per_unit:>12.0f}"
            print(f"{line}{row.cpu_us_per_unit:>10.1f}")


if __name__ == "__main__":
    main()

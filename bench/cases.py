"""Meshes and overload cases of the policy bench."""

from collections.abc import Callable
from typing import NamedTuple

from bench.fleet import Fleet
from bench.hosts import Host
from bench.kernel import Process
from bench.shapes import MEMBERSHIP_DELAY, MeshShape, ServiceShape
from carawaywheel.settings import LevelSettings

ACCOUNT_SHARES = [0.35, 0.25, 0.10, 0.10, 0.08, 0.06, 0.04, 0.02]
USUAL_DEMAND = 0.7
RATE_HEADROOM = 1.3

# A quarter of the slots of the design page, so that a run takes seconds. The work is
# set so that a slot is held for as long as 110 slots at 330 calls/s imply.
MESHES = {
    "silt-sable": MeshShape(
        "silt-sable",
        3,
        0.0015,
        0.008,
        [
            ServiceShape("survey-desk", 5, 27, 0.03),
            ServiceShape("dispatch-yard", 4, 27, 0.06),
            ServiceShape("sonar-vault", 3, 35, 0.24),
        ],
        LevelSettings(),
    ),
    "okonkwo": MeshShape(
        "okonkwo",
        3,
        0.001,
        0.008,
        [
            ServiceShape("mapdesk", 6, 25, 0.03),
            ServiceShape("dispatcher", 4, 40, 0.06),
            ServiceShape("plansroom", 3, 52, 0.32),
        ],
        LevelSettings(),
    ),
}


class Case(NamedTuple):
    """An overload case.

    Attributes:
        name: Name in the report.
        factors: Demand of each account during the trigger, relative to its usual.
        oversubscribed: Whether the rates cover the demand of the trigger.
        fault: Applied to the fleet at the start of the trigger, or None.
        repair: Applied at the end of the trigger, or None.
        tries: Attempts of a caller.
        patience: Seconds that a caller waits for an attempt.
    """

    name: str
    factors: list[float]
    oversubscribed: bool = False
    fault: Callable[[Fleet], None] | None = None
    repair: Callable[[Fleet], None] | None = None
    tries: int = 1
    patience: float = 5.0


def slow_deep(fleet: Fleet) -> None:
    """Slow the deepest service to a third."""
    for host in fleet.hosts[-1]:
        host.speed = 0.33


def lie(fleet: Fleet) -> None:
    """Make one target of the middle service slow while it reports to be idle."""
    host = fleet.hosts[1][0]
    host.speed, host.lies = 0.1, True


def repair(fleet: Fleet) -> None:
    """Bring all targets back to normal."""
    for host in all_hosts(fleet):
        host.speed, host.lies = 1.0, False


def lose_domain(fleet: Fleet) -> None:
    """Stop the hosts of one failure domain without notice."""
    for host in all_hosts(fleet):
        if host.domain == fleet.mesh.domains - 1:
            host.die()
            fleet.kernel.spawn(notice(host))


def shrink_deep(fleet: Fleet) -> None:
    """Stop all but one host of the deepest service without notice."""
    for host in fleet.hosts[-1][1:]:
        host.die()
        fleet.kernel.spawn(notice(host))


def notice(host: Host) -> Process:
    """Let membership notice that a host does not answer."""
    yield MEMBERSHIP_DELAY
    host.gone = not host.alive


def restore_domain(fleet: Fleet) -> None:
    """Start the stopped hosts again, with cold targets."""
    for host in all_hosts(fleet):
        if not host.alive:
            fleet.kernel.spawn(host.revive())


def all_hosts(fleet: Fleet) -> list[Host]:
    """Return the hosts of all services."""
    return [host for row in fleet.hosts for host in row]


def surge_factors() -> list[float]:
    """Return factors by which the two large accounts bring 3 times capacity."""
    small = USUAL_DEMAND * sum(ACCOUNT_SHARES[2:])
    large = USUAL_DEMAND * sum(ACCOUNT_SHARES[:2])
    return [(3.0 - small) / large] * 2 + [1.0] * 6


CASES = [
    Case("steady load", [1.0] * 8),
    Case("one tenant at 5 times its rate", [5.0 * RATE_HEADROOM] + [1.0] * 7),
    Case("surge to 3 times capacity, large accounts", surge_factors(), True),
    Case("surge to 3 times capacity, all accounts", [3.0 / USUAL_DEMAND] * 8, True),
    Case(
        "deep service slow, callers retry hard",
        [1.0] * 8,
        False,
        slow_deep,
        repair,
        tries=5,
        patience=2.5,
    ),
    Case(
        "deep service loses hosts, callers retry hard",
        [1.0] * 8,
        False,
        shrink_deep,
        restore_domain,
        tries=5,
        patience=2.5,
    ),
    Case("lying health", [1.0] * 8, False, lie, repair),
    Case("loss of a failure domain", [1.0] * 8, False, lose_domain, restore_domain),
]

"""Meshes and overload scenarios of the policy bench."""

from collections.abc import Callable
from typing import NamedTuple

from bench.fleet import Fleet
from bench.hosts import Host
from bench.kernel import Process
from bench.model import MEMBERSHIP_DELAY_SECONDS, MeshSpec, ServiceSpec
from carawaywheel.settings import LevelSettings

ACCOUNT_SHARES = [0.35, 0.25, 0.10, 0.10, 0.08, 0.06, 0.04, 0.02]
NORMAL_LOAD = 0.7
RATE_HEADROOM = 1.3

# Targets have a quarter of the slots in the design document, so that a run takes
# seconds. The work is chosen so that a request holds its slot for as long as with
# 110 slots at 330 calls/s.
MESHES = {
    "silt-sable": MeshSpec(
        "silt-sable",
        3,
        0.0015,
        0.008,
        [
            ServiceSpec("survey-desk", 5, 27, 0.03),
            ServiceSpec("dispatch-yard", 4, 27, 0.06),
            ServiceSpec("sonar-vault", 3, 35, 0.24),
        ],
        LevelSettings(),
    ),
    "okonkwo": MeshSpec(
        "okonkwo",
        3,
        0.001,
        0.008,
        [
            ServiceSpec("mapdesk", 6, 25, 0.03),
            ServiceSpec("dispatcher", 4, 40, 0.06),
            ServiceSpec("plansroom", 3, 52, 0.32),
        ],
        LevelSettings(),
    ),
}


class Case(NamedTuple):
    """An overload scenario: a steady load, a trigger and the time after it.

    Attributes:
        name: Name in the report.
        demand_factors: Demand of each account during the trigger, relative to its
            normal demand.
        oversubscribed: Whether the account rates grow with the demand of the
            trigger, so that their sum exceeds the capacity.
        inject_fault: Called with the fleet at the start of the trigger, or None.
        remove_fault: Called with the fleet at the end of the trigger, or None.
        max_attempts: Largest number of attempts of a caller.
        attempt_timeout_seconds: Timeout of a caller's attempt, and its deadline.
    """

    name: str
    demand_factors: list[float]
    oversubscribed: bool = False
    inject_fault: Callable[[Fleet], None] | None = None
    remove_fault: Callable[[Fleet], None] | None = None
    max_attempts: int = 1
    attempt_timeout_seconds: float = 5.0


def slow_deepest_service(fleet: Fleet) -> None:
    """Slow the targets of the deepest service down to a third of their speed."""
    for host in fleet.hosts[-1]:
        host.speed = 0.33


def slow_while_reporting_idle(fleet: Fleet) -> None:
    """Slow down one target of the middle service, which reports that it is idle."""
    host = fleet.hosts[1][0]
    host.speed, host.reports_idle = 0.1, True


def reset_targets(fleet: Fleet) -> None:
    """Reset the speed and the load reports of all targets."""
    for host in all_hosts(fleet):
        host.speed, host.reports_idle = 1.0, False


def crash_domain(fleet: Fleet) -> None:
    """Crash the hosts of one failure domain."""
    for host in all_hosts(fleet):
        if host.domain == fleet.mesh.domains - 1:
            host.crash()
            fleet.kernel.spawn(detect_crash(host))


def crash_deepest_hosts(fleet: Fleet) -> None:
    """Crash all but one host of the deepest service."""
    for host in fleet.hosts[-1][1:]:
        host.crash()
        fleet.kernel.spawn(detect_crash(host))


def detect_crash(host: Host) -> Process:
    """Mark a host as dead once membership has detected that it is down."""
    yield MEMBERSHIP_DELAY_SECONDS
    host.known_dead = not host.alive


def restart_hosts(fleet: Fleet) -> None:
    """Restart the crashed hosts, with cold targets."""
    for host in all_hosts(fleet):
        if not host.alive:
            fleet.kernel.spawn(host.restart())


def all_hosts(fleet: Fleet) -> list[Host]:
    """Return the hosts of all services."""
    return [host for row in fleet.hosts for host in row]


def surge_factors() -> list[float]:
    """Return demand factors that raise the demand to 3 times the capacity.

    Only the two large accounts grow.
    """
    small = NORMAL_LOAD * sum(ACCOUNT_SHARES[2:])
    large = NORMAL_LOAD * sum(ACCOUNT_SHARES[:2])
    return [(3.0 - small) / large] * 2 + [1.0] * 6


CASES = [
    Case("steady load", [1.0] * 8),
    Case("one tenant at 5 times its rate", [5.0 * RATE_HEADROOM] + [1.0] * 7),
    Case("surge to 3 times capacity, large accounts", surge_factors(), True),
    Case("surge to 3 times capacity, all accounts", [3.0 / NORMAL_LOAD] * 8, True),
    Case(
        "deep service slow, callers retry hard",
        [1.0] * 8,
        False,
        slow_deepest_service,
        reset_targets,
        max_attempts=5,
        attempt_timeout_seconds=2.5,
    ),
    Case(
        "deep service loses hosts, callers retry hard",
        [1.0] * 8,
        False,
        crash_deepest_hosts,
        restart_hosts,
        max_attempts=5,
        attempt_timeout_seconds=2.5,
    ),
    Case("lying health", [1.0] * 8, False, slow_while_reporting_idle, reset_targets),
    Case("loss of a failure domain", [1.0] * 8, False, crash_domain, restart_hosts),
]

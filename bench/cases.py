"""Meshes and overload cases of the policy bench."""

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

# A quarter of the slots of the design page, so that a run takes seconds. The work is
# set so that a slot is held for as long as 110 slots at 330 calls/s imply.
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
    demand_factors: list[float]
    oversubscribed: bool = False
    inject_fault: Callable[[Fleet], None] | None = None
    remove_fault: Callable[[Fleet], None] | None = None
    max_attempts: int = 1
    attempt_timeout_seconds: float = 5.0


def slow_deepest_service(fleet: Fleet) -> None:
    """Slow the deepest service to a third."""
    for host in fleet.hosts[-1]:
        host.speed = 0.33


def slow_while_reporting_idle(fleet: Fleet) -> None:
    """Make one target of the middle service slow while it reports to be idle."""
    host = fleet.hosts[1][0]
    host.speed, host.reports_idle = 0.1, True


def reset_targets(fleet: Fleet) -> None:
    """Bring all targets back to normal."""
    for host in all_hosts(fleet):
        host.speed, host.reports_idle = 1.0, False


def crash_domain(fleet: Fleet) -> None:
    """Stop the hosts of one failure domain without notice."""
    for host in all_hosts(fleet):
        if host.domain == fleet.mesh.domains - 1:
            host.crash()
            fleet.kernel.spawn(detect_crash(host))


def crash_deepest_hosts(fleet: Fleet) -> None:
    """Stop all but one host of the deepest service without notice."""
    for host in fleet.hosts[-1][1:]:
        host.crash()
        fleet.kernel.spawn(detect_crash(host))


def detect_crash(host: Host) -> Process:
    """Let membership notice that a host does not answer."""
    yield MEMBERSHIP_DELAY_SECONDS
    host.known_dead = not host.alive


def restart_hosts(fleet: Fleet) -> None:
    """Start the stopped hosts again, with cold targets."""
    for host in all_hosts(fleet):
        if not host.alive:
            fleet.kernel.spawn(host.restart())


def all_hosts(fleet: Fleet) -> list[Host]:
    """Return the hosts of all services."""
    return [host for row in fleet.hosts for host in row]


def surge_factors() -> list[float]:
    """Return factors by which the two large accounts bring 3 times capacity."""
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

"""Shapes of the policy bench: meshes, policies, calls and answers."""

from typing import NamedTuple

from carawaywheel.levels import OverloadLevel
from carawaywheel.refusals import Importance, Refusal
from carawaywheel.settings import LevelSettings

CONNECT_TIMEOUT_SECONDS = 0.3
# Step of a refusal that a target passes on: the target itself has run.
DOWNSTREAM_STEP = "below"
SILENCE_TIMEOUT_SECONDS = 1.0
# A host that fails at once must not look idle to those who choose.
FAILED_PRESSURE = 5.0
MEMBERSHIP_DELAY_SECONDS = 4.0
POLL_INTERVAL_SECONDS = 0.1
COLD_SECONDS = 10.0
COLD_LOAD_SHARE = 0.25
COLD_SPEED = 0.5
COLD_SLOW_SECONDS = 3.0
LARGE_REQUEST_SHARE = 0.03
LARGE_REQUEST_WORK_FACTOR = 4.0
MEAN_WORK_FACTOR = 1.0 + LARGE_REQUEST_SHARE * (LARGE_REQUEST_WORK_FACTOR - 1.0)


class ServiceSpec(NamedTuple):
    """Size of a service.

    Attributes:
        name: Name of the service.
        hosts: Number of hosts, spread over the failure domains.
        slots: Declared slots of each target in the bench.
        work: Seconds of own processor time of an ordinary request.
    """

    name: str
    hosts: int
    slots: int
    work_seconds: float


class MeshSpec(NamedTuple):
    """Size of a mesh; the services form a chain.

    Attributes:
        name: Name of the mesh.
        domains: Number of failure domains.
        one_way: Seconds between two hosts, one way.
        client: Seconds between a client and a host, one way.
        chain: Services from the entry to the deepest one.
        levels: Settings of the refusal at the entry for this mesh.
    """

    name: str
    domains: int
    one_way_seconds: float
    client_one_way_seconds: float
    chain: list[ServiceSpec]
    level_settings: LevelSettings


class Policy(NamedTuple):
    """What a fleet does about overload.

    Attributes:
        name: Name in the report.
        controlled: Whether this project's admission, levels and budgets are used.
        limited: Whether queues are bounded and rates are enforced. The slots of a
            target are what it can do, so they bound every policy.
        hop_attempts: Attempts that each hop makes without a budget.
        hop_timeout: Seconds after which a hop gives up on an attempt.
    """

    name: str
    controlled: bool
    enforces_limits: bool
    hop_attempts: int
    hop_timeout: float


CONTROLLED = Policy("carawaywheel", True, True, 0, 1e9)
UNCONTROLLED = Policy("no control", False, False, 1, 1e9)
NAIVE = Policy("fixed limit, naive retries", False, True, 3, 2.5)
POLICIES = [CONTROLLED, NAIVE, UNCONTROLLED]


class Call(NamedTuple):
    """A request as the bench's nodes see it.

    Attributes:
        account: Client account.
        importance: Importance class.
        deadline: Deadline in seconds on the bench's clock.
        factor: Work relative to an ordinary request.
        idempotent: Whether it may be repeated.
    """

    account: str
    importance: Importance
    deadline: float
    work_factor: float
    idempotent: bool


class AttemptResult(NamedTuple):
    """End of an attempt.

    Attributes:
        refusal: Why there is no whole answer, or None.
        levels: Levels of the services below.
        pressure: Load that the router sees.
    """

    refusal: Refusal | None
    levels: list[OverloadLevel]
    pressure: float

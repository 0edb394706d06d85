"""Shapes of the policy bench: meshes, policies, calls and answers."""

from typing import NamedTuple

from carawaywheel.levels import OverloadLevel
from carawaywheel.refusals import Importance, Refusal
from carawaywheel.settings import LevelSettings

CONNECT_TIMEOUT = 0.3
# Step of a refusal that a target passes on: the target itself has run.
BELOW = "below"
SILENCE_LIMIT = 1.0
# A host that fails at once must not look idle to those who choose.
FAILED_PRESSURE = 5.0
MEMBERSHIP_DELAY = 4.0
POLL_INTERVAL = 0.1
COLD_TIME = 10.0
COLD_SHARE = 0.25
COLD_SPEED = 0.5
COLD_SLOW_TIME = 3.0
LARGE_SHARE = 0.03
LARGE_FACTOR = 4.0
MEAN_FACTOR = 1.0 + LARGE_SHARE * (LARGE_FACTOR - 1.0)


class ServiceShape(NamedTuple):
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
    work: float


class MeshShape(NamedTuple):
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
    one_way: float
    client: float
    chain: list[ServiceShape]
    levels: LevelSettings


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
    limited: bool
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
    factor: float
    idempotent: bool


class Answer(NamedTuple):
    """End of an attempt.

    Attributes:
        refusal: Why there is no whole answer, or None.
        levels: Levels of the services below.
        pressure: Load that the router sees.
    """

    refusal: Refusal | None
    levels: list[OverloadLevel]
    pressure: float

"""Types and constants of the policy bench: meshes, policies and calls."""

from typing import NamedTuple

from carawaywheel.levels import OverloadLevel
from carawaywheel.refusals import Importance, Refusal
from carawaywheel.settings import LevelSettings

CONNECT_TIMEOUT_SECONDS = 0.3
# Step of the refusal of a target that ran but whose downstream call was refused.
DOWNSTREAM_STEP = "below"
SILENCE_TIMEOUT_SECONDS = 1.0
# A host that fails immediately must not look idle to the host selection.
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
    """Size and cost of a service.

    Attributes:
        name: Name of the service.
        hosts: Number of hosts, spread over the failure domains.
        slots: Declared slots of each target.
        work_seconds: Processor time of an ordinary request, without downstream calls.
    """

    name: str
    hosts: int
    slots: int
    work_seconds: float


class MeshSpec(NamedTuple):
    """Size of a mesh whose services form a chain.

    Attributes:
        name: Name of the mesh.
        domains: Number of failure domains.
        one_way_seconds: One-way latency between two hosts.
        client_one_way_seconds: One-way latency between a client and a host.
        chain: Services from the entry service to the deepest one.
        level_settings: Settings of the overload levels at the entry nodes.
    """

    name: str
    domains: int
    one_way_seconds: float
    client_one_way_seconds: float
    chain: list[ServiceSpec]
    level_settings: LevelSettings


class Policy(NamedTuple):
    """Overload policy of a fleet.

    Attributes:
        name: Name in the report.
        controlled: Whether this project's admission control, overload levels and
            retry budgets are used.
        enforces_limits: Whether queues are bounded and account rates are enforced.
            The slots of a target are its capacity, so they bound every policy.
        hop_attempts: Attempts of each hop, if no retry budget applies.
        hop_timeout: Timeout in seconds of each attempt of a hop.
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
    """A request as the simulated nodes see it.

    Attributes:
        account: Client account.
        importance: Importance class.
        deadline: Deadline in seconds on the simulated clock.
        work_factor: Work relative to an ordinary request.
        idempotent: Whether it may be retried after an unknown outcome.
    """

    account: str
    importance: Importance
    deadline: float
    work_factor: float
    idempotent: bool


class AttemptResult(NamedTuple):
    """Result of an attempt.

    Attributes:
        refusal: Why the attempt failed; None after a complete response.
        levels: Overload levels of the services that were called.
        pressure: Load of the host, as reported to the caller.
    """

    refusal: Refusal | None
    levels: list[OverloadLevel]
    pressure: float

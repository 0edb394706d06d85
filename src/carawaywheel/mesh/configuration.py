"""Types of the mesh configuration that operators publish."""

import enum
from typing import NamedTuple


class RouteKind(enum.Enum):
    """Kind of the requests of a route, which decides on retries.

    Attributes:
        IDEMPOTENT: A request may run more than once.
        ONCE: A request must not run more than once.
        UPLOAD: An upload, which is treated like ``ONCE``.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    UPLOAD = "upload"


class WeightedService(NamedTuple):
    """Service that receives a fraction of the requests of a route.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other services of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Route of a virtual host.

    Attributes:
        name: Name of the route.
        path_prefix: Prefix of the request paths; begins and ends with a slash.
        kind: Kind of the requests, which decides on retries.
        timeout: Seconds within which a request must be answered.
        latency_objective: Seconds within which a response is most useful.
        priority: Priority of the requests; 0 is shed last.
        weighted_services: Services that serve the requests.
        max_attempts: Maximum number of targets that may run one request.
        allow_anonymous: Whether requests need no key.
    """

    name: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    latency_objective: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    allow_anonymous: bool


class Account(NamedTuple):
    """Client account.

    Attributes:
        name: Name of the account.
        priority: Priority that overrides the one of the route; None for no override.
        rate: Requests per second over the whole fleet; 0 for no limit.
        burst: Requests permitted in a burst above the rate.
    """

    name: str
    priority: int | None
    rate: float
    burst: float


class Service(NamedTuple):
    """Service to which routes send requests.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        connections: Maximum number of connections to one target.
        warmup_duration: Seconds for which a target stays cold after its start.
        warmup_rate: Requests per second that a cold target takes, before the bounds
            of the installation are applied; 0 for no limit.
    """

    name: str
    health_path: str
    connections: int
    warmup_duration: float = 0.0
    warmup_rate: float = 0.0


class InputLimits(NamedTuple):
    """Limits on the size and duration of requests.

    Attributes:
        head_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        head_timeout: Seconds within which a head must be complete.
        idle_timeout: Seconds after which an idle connection may be closed.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


class MeshConfiguration(NamedTuple):
    """One version of the mesh configuration.

    Attributes:
        version: Version number; higher is newer.
        routes: Routes by virtual host, longest prefix first.
        services: Services by name.
        accounts_by_key: Accounts by API key.
        accounts: Accounts by name.
        limits: Limits on the requests of callers.
        source: The document as published, which is sent to other nodes.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts_by_key: dict[str, Account]
    accounts: dict[str, Account]
    limits: InputLimits
    source: bytes

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @property
    def lowest_priority(self) -> int:
        """Priority of the requests that are shed first."""
        priorities = [
            route.priority for routes in self.routes.values() for route in routes
        ]
        priorities += [
            account.priority
            for account in self.accounts.values()
            if account.priority is not None
        ]
        return max(priorities, default=0)

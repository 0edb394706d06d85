"""The mesh configuration that operators publish, as types without I/O."""

import enum
from typing import NamedTuple


class RouteKind(enum.Enum):
    """What a route allows to be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    UPLOAD = "upload"


class WeightedService(NamedTuple):
    """Part of a route's requests that one service receives.

    Attributes:
        service: Name of the service.
        weight: Size of the part, relative to the other parts of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """A route of one virtual host.

    Attributes:
        name: Name of the route.
        prefix: Prefix of the paths that it takes, from slash to slash.
        repeat: What may be repeated.
        timeout: Seconds for which a request may be kept waiting.
        objective: Seconds within which an answer is worth most.
        priority: Rank of its requests; 0 is shed last.
        shares: Services that run its requests.
        attempts: Most targets on which one request may run.
        open: Whether requests need no key.
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
    """A client account.

    Attributes:
        name: Name of the account.
        priority: Rank of its requests, in place of the route's; None for the route's.
        rate: Requests a second over the whole fleet; 0 for no limit.
        burst: Requests beyond the rate.
    """

    name: str
    priority: int | None
    rate: float
    burst: float


class Service(NamedTuple):
    """A service that routes lead to.

    Attributes:
        name: Name of the service.
        health_path: Path that tells its health.
        connections: Connections that one of its targets accepts.
    """

    name: str
    health_path: str
    connections: int


class InputLimits(NamedTuple):
    """What a caller may send, and how long it may take.

    Attributes:
        head_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        head_timeout: Seconds until a head is complete.
        idle_timeout: Seconds for which a connection may stay idle.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


class MeshConfiguration(NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Number of the version; higher is newer.
        routes: Routes of each virtual host, longest prefix first.
        services: Services by name.
        keys: Account of each key.
        accounts: Accounts by name.
        limits: Limits of what callers may send.
        source: The document as it was published, to be passed on to other nodes.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts_by_key: dict[str, Account]
    accounts: dict[str, Account]
    limits: InputLimits
    source: bytes

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if there is one."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    @property
    def lowest_priority(self) -> int:
        """Rank of the requests that are shed first."""
        ranks = [route.priority for routes in self.routes.values() for route in routes]
        ranks += [a.priority for a in self.accounts.values() if a.priority is not None]
        return max(ranks, default=0)

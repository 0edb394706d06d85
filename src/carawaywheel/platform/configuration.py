"""Decoding of the configuration document that the operator publishes."""

from typing import Annotated

import msgspec

from ..errors import PolicyError
from ..mesh.configuration import (
    Account,
    InputLimits,
    MeshConfiguration,
    Route,
    RouteKind,
    Service,
    WeightedService,
)

CONFIGURATION_KEY = "config"
VERSION_PREFIX = "r"
ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE,
    "upload": RouteKind.UPLOAD,
}

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class WireWeightedService(msgspec.Struct):
    """Service that receives a fraction of the requests of a route."""

    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)]


class WireRoute(msgspec.Struct):
    """Route to either one service or several weighted ones."""

    name: str
    path_prefix: str
    kind: str
    timeout_s: Positive
    target_latency_s: Positive = 1.0
    priority: int = 0
    service: str | None = None
    weighted_backends: list[WireWeightedService] = []
    attempts: Annotated[int, msgspec.Meta(ge=1)] = 1
    allow_anonymous: bool = False


class WireVirtualHost(msgspec.Struct):
    """Virtual host; ``paths`` holds its routes."""

    hostname: str
    paths: list[WireRoute] = []


class WireService(msgspec.Struct):
    """Service; ``max_connections`` is the limit of one target.

    ``warmup_s`` and ``warmup_per_s`` say how long a target is cold after its start, and
    how many requests per second it takes until then.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    warmup_s: NonNegative = 0.0
    warmup_per_s: NonNegative = 0.0


class WireLimits(msgspec.Struct):
    """Limits on the requests of clients."""

    max_header_bytes: int = InputLimits().head_bytes
    max_body_bytes: int = InputLimits().body_bytes
    header_timeout_s: Positive = InputLimits().head_timeout
    idle_timeout_s: Positive = InputLimits().idle_timeout


class WireTenant(msgspec.Struct):
    """Client account."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class WireDocument(msgspec.Struct):
    """The whole configuration document."""

    version: str
    virtual_hosts: list[WireVirtualHost] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] = []


decoder = msgspec.json.Decoder(WireDocument)


def decode_configuration(source: bytes) -> MeshConfiguration:
    """Decode a configuration document.

    Raises:
        PolicyError: If the document is malformed; ``peer`` holds its key in the store.
    """
    try:
        wire = decoder.decode(source)
        version = decode_version(wire.version)
        routes = {
            host.hostname: tuple(
                sorted(map(decode_route, host.paths), key=longest_prefix_first)
            )
            for host in wire.virtual_hosts
        }
    except (msgspec.DecodeError, ValueError) as error:
        raise PolicyError(str(error), "decode configuration", "op/config") from error
    accounts = {
        tenant.name: Account(
            tenant.name, tenant.priority, tenant.rate_per_s, tenant.burst
        )
        for tenant in wire.tenants
    }
    keys = {
        key: accounts[tenant.name] for tenant in wire.tenants for key in tenant.api_keys
    }
    services = {
        service.name: Service(
            service.name,
            service.health_path,
            service.max_connections,
            service.warmup_s,
            service.warmup_per_s,
        )
        for service in wire.services
    }
    limits = InputLimits(
        wire.limits.max_header_bytes,
        wire.limits.max_body_bytes,
        wire.limits.header_timeout_s,
        wire.limits.idle_timeout_s,
    )
    return MeshConfiguration(version, routes, services, keys, accounts, limits, source)


def decode_version(text: str) -> int:
    """Return the number in a version such as ``r12``.

    Raises:
        ValueError: If the text is not a prefixed number.
    """
    digits = text.removeprefix(VERSION_PREFIX)
    if digits == text or not (digits.isascii() and digits.isdigit()):
        raise ValueError(f"{text!r} is not a version such as r12 - at `$.version`")
    return int(digits)


def decode_route(wire: WireRoute) -> Route:
    """Decode one route.

    Raises:
        ValueError: If its kind is unknown, its prefix does not begin and end with a
            slash, or no service has a positive weight.
    """
    place = f"route {wire.name!r}"
    if wire.kind not in ROUTE_KINDS:
        raise ValueError(f"kind {wire.kind!r} is unknown - at {place}")
    if not (wire.path_prefix.startswith("/") and wire.path_prefix.endswith("/")):
        raise ValueError(
            f"prefix {wire.path_prefix!r} does not begin and end with / - at {place}"
        )
    services = [
        WeightedService(item.service, item.weight) for item in wire.weighted_backends
    ]
    if wire.service is not None:
        services = [WeightedService(wire.service, 1.0)]
    if not any(service.weight > 0 for service in services):
        raise ValueError(f"no service has a positive weight - at {place}")
    return Route(
        wire.name,
        wire.path_prefix,
        ROUTE_KINDS[wire.kind],
        wire.timeout_s,
        wire.target_latency_s,
        wire.priority,
        tuple(services),
        wire.attempts,
        wire.allow_anonymous,
    )


def longest_prefix_first(route: Route) -> int:
    """Sort key that orders routes by falling length of their prefixes."""
    return -len(route.path_prefix)

"""Decoding of the settings file that the platform places on each machine."""

import tomllib
from typing import Annotated, Any

import msgspec

from ..errors import SettingsError
from ..mesh.settings import Bounds, HostSettings, Listeners, StoreSettings

SETTINGS_FILE_VARIABLE = "CARAWAYWHEEL_BOOT"
METRICS_PORT = 7000
MEGABYTE = 1 << 20

# TOML has infinities, from which no limit can be computed.
Finite = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class WireListen(msgspec.Struct):
    """Addresses that the platform reserves for the node."""

    inbound: str
    outbound: str
    ready: str
    control: str


class WireLimits(msgspec.Struct):
    """Limits of a process."""

    memory_mb: float = 256.0


class WireBounds(msgspec.Struct):
    """Bounds of the installation; ``budget_*`` are bounds on retries."""

    grace_s: float = Bounds().grace
    retry_budget_ratio: float = Bounds().retry_ratio
    budget_window_s: float = Bounds().retry_window
    budget_slack: float = Bounds().retry_slack
    warmup_overage: Finite | None = None
    warmup_slack: Finite | None = None
    evacuate_s: Finite | None = None


class WireProvider(msgspec.Struct):
    """The platform's store."""

    address: str


class WireSettings(msgspec.Struct):
    """The whole file; unknown fields are ignored.

    Of ``zones`` only the names are used, so that a table of another form does not keep
    a node from starting.
    """

    node_name: str
    ip: str
    zone: str
    listen: WireListen
    provider: WireProvider
    port_range: list[int]
    service: str = ""
    app_addr: str = ""
    first_start: bool = False
    zones: Any = None
    heartbeat_s: Finite = 1.5
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    bounds: WireBounds = msgspec.field(default_factory=WireBounds)


def read_host_settings(path: str) -> HostSettings:
    """Read the settings file.

    Raises:
        SettingsError: If the file is missing or malformed; ``peer`` holds its path.
    """
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
        return decode_host_settings(msgspec.convert(document, WireSettings))
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise SettingsError(str(error), "read settings", path) from error


def decode_host_settings(wire: WireSettings) -> HostSettings:
    """Translate the fields of the file into the settings of a node.

    Raises:
        ValueError: If a value cannot be used; the message names its place.
    """
    bounds = wire.bounds
    ports = wire.port_range
    if not ports:
        raise ValueError("no port is given - at `$.port_range`")
    has_metrics = len(ports) == 2 and ports[0] <= METRICS_PORT <= ports[1]
    return HostSettings(
        node_id=wire.node_name,
        domain=wire.zone,
        service=wire.service,
        target_address=wire.app_addr,
        listen=Listeners(
            callers=wire.listen.outbound,
            peers=wire.listen.inbound,
            links=f"{wire.ip}:{ports[-1]}",
            ready=wire.listen.ready,
            heartbeats=wire.listen.control,
            metrics=f"{wire.ip}:{METRICS_PORT}" if has_metrics else "",
            datagrams=f"{wire.ip}:{ports[-1]}",
        ),
        store=StoreSettings(wire.provider.address),
        bounds=Bounds(
            bounds.grace_s,
            bounds.retry_budget_ratio,
            bounds.budget_window_s,
            bounds.budget_slack,
            default(bounds.warmup_overage, Bounds().warmup_overage),
            default(bounds.warmup_slack, Bounds().warmup_slack),
            default(bounds.evacuate_s, Bounds().evacuate),
            any(
                bound is not None
                for bound in (
                    bounds.warmup_overage,
                    bounds.warmup_slack,
                    bounds.evacuate_s,
                )
            ),
        ),
        first_start=wire.first_start,
        heartbeat=wire.heartbeat_s,
        memory_bytes=int(wire.limits.memory_mb * MEGABYTE),
        domains=tuple(wire.zones) if isinstance(wire.zones, dict) else (),
    )


def default(value: float | None, otherwise: float) -> float:
    """Return a value, or another one if the file does not state it."""
    return otherwise if value is None else value

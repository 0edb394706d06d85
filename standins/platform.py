"""The users' platform on loopback addresses: ports, settings files, configurations."""

import random
import socket
from typing import Any

HOST = "mesh.example"
KEY = "key-of-the-mill"
PORTS = {"outbound": 0, "inbound": 1, "ready": 2, "control": 3, "app": 4}
METRICS_OFFSET, DATAGRAM_OFFSET = 5, 6
STORE_RELAY_OFFSET, TARGET_RELAY_OFFSET = 7, 8
PORTS_PER_HOST = 9
# Bound by a run for as long as it uses a range, and by nothing else.
RESERVATION_OFFSET = 9
# Below the range of ephemeral ports.
PORT_RANGE = range(12000, 32000, 10)
# Bounds of the settings file in seconds, from the users' installations.
GRACE_SECONDS = 6.0
DRAIN_SECONDS = 2.0
HEARTBEAT_SECONDS = 0.3
WARMUP_OVERAGE, WARMUP_SLACK = 1.5, 8
ROUTES = (
    ("read", "idempotent", "desk", 1),
    ("order", "non_idempotent", "yard", 0),
    ("bundle", "upload", "yard", 1),
    ("inner", "idempotent", "yard", 2),
)


def route(
    name: str, kind: str, service: str, priority: int, **changes: Any
) -> dict[str, Any]:
    """Return a route of a configuration document."""
    document = {
        "name": f"r-{name}",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_s": 5.0,
        "target_latency_s": 1.0,
        "priority": priority,
        "service": service,
        "attempts": 2,
        "allow_anonymous": name == "inner",
    }
    return {**document, **changes}


def configuration(
    version: int, routes: list[dict[str, Any]] | None = None, **changes: Any
) -> dict[str, Any]:
    """Return a configuration document for the platform's store."""
    document = {
        "version": f"r{version}",
        "services": [
            {"name": name, "health_path": "/h", "max_connections": 90}
            for name in ("desk", "yard")
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 26},
        "tenants": [{"name": "mill", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}],
        "virtual_hosts": [
            {
                "hostname": HOST,
                "paths": routes or [route(*fields) for fields in ROUTES],
            }
        ],
    }
    return {**document, **changes}


def reserve_ports(hosts: int) -> tuple[int, socket.socket]:
    """Reserve a range of ports that are free on the first hosts.

    Nodes and targets bind their ports only when they start, so that another run would
    find them free as well.

    Returns:
        The first port, and the socket that keeps other runs from the range.
    """
    while True:
        port_base = random.SystemRandom().choice(PORT_RANGE)
        reservation = socket.socket()
        try:
            reservation.bind((host_ip(1), port_base + RESERVATION_OFFSET))
        except OSError:
            reservation.close()
            continue
        if all(are_ports_free(index, port_base) for index in range(1, hosts + 1)):
            return port_base, reservation
        reservation.close()


def are_ports_free(index: int, port_base: int) -> bool:
    """Return whether all ports of one host can be bound."""
    for port in range(port_base, port_base + PORTS_PER_HOST):
        with socket.socket() as probe:
            try:
                probe.bind((host_ip(index), port))
            except OSError:
                return False
    return True


def host_ip(index: int) -> str:
    """Return the IP address of a host by its number, from 1."""
    return f"127.0.{index}.1"


class HostAddresses:
    """Addresses of one host, whose ports are the same on all hosts.

    Attributes:
        ip: IP address.
        port_base: First port.
    """

    def __init__(self, index: int, port_base: int) -> None:
        self.ip = host_ip(index)
        self.port_base = port_base

    def at(self, offset: int) -> str:
        """Return the address and port at an offset in the host's ports."""
        return f"{self.ip}:{self.port_base + offset}"

    def listener(self, name: str) -> str:
        """Return the address and port of a listener by its name in the settings."""
        return self.at(PORTS[name])

    def boot_file(
        self, name: str, service: str, store: str, target: str, zone: str = "a"
    ) -> str:
        """Return the content of the host's settings file.

        Args:
            name: Name of the node.
            service: Service of the target beside it.
            store: Address of the store.
            target: Address at which the node reaches its target.
            zone: Failure domain of the host.
        """
        lines = [
            f'node_name = "{name}"',
            f'ip = "{self.ip}"',
            f'zone = "{zone}"',
            (
                f"port_range = [{self.port_base + METRICS_OFFSET}, "
                f"{self.port_base + DATAGRAM_OFFSET}]"
            ),
            f'service = "{service}"',
            f'app_addr = "{target}"',
            f"heartbeat_s = {HEARTBEAT_SECONDS}",
            "[listen]",
            *(
                f'{listener} = "{self.listener(listener)}"'
                for listener in ("inbound", "outbound", "ready", "control")
            ),
            "[limits]",
            "memory_mb = 300",
            "[bounds]",
            f"grace_s = {GRACE_SECONDS}",
            f"drain_s = {DRAIN_SECONDS}",
            f"warmup_overage = {WARMUP_OVERAGE}",
            f"warmup_slack = {WARMUP_SLACK}",
            "[provider]",
            f'address = "{store}"',
        ]
        return "\n".join(lines) + "\n"

    def endpoint_arguments(self, identity: str, service: str) -> list[str]:
        """Return the arguments of the Python interpreter that run the host's target."""
        command = ["-m", "standins.endpoint", "--id", identity]
        command += ["--service", service, "--address", self.listener("app")]
        command += ["--control", self.listener("control")]
        return [*command, "--outbound", self.listener("outbound")]

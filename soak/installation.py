"""The processes of a soak: the store, nodes and targets, with relays between them."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import curio

from standins.caller import request
from standins.endpoint import HEALTH_PATH
from standins.httpserver import open_listener
from standins.platform import (
    KEY,
    ROUTES,
    STORE_RELAY_OFFSET,
    TARGET_RELAY_OFFSET,
    HostAddresses,
    configuration,
    reserve_ports,
    route,
)
from standins.relay import Relay

from .client import version_key
from .promises import WARMUP_PER_SECOND, WARMUP_SECONDS
from .record import STORE, Evacuation, Lifetime, Publication, Record
from .schedule import ZONES

POLL_INTERVAL_SECONDS = 0.02
MEMORY_INTERVAL_SECONDS = 1.0
START_SECONDS = 10.0
# A stand-in that is frozen or whose node does not take its heartbeat answers late.
CONTROL_SECONDS = 2.0
RESTART_SECONDS = 0.3
NANOSECONDS_PER_SECOND = 1e9
SERVICES = ("desk", "yard")
OPERATOR_TOPIC, HOSTS_TOPIC = "keyed.op", "keyed.hosts"
# The margin of the warm-up limit. What the soak times is late by a stall.
STALL_SECONDS = 0.05


class RelayProcess:
    """A relay in a process of its own.

    Relays to targets within the soak held requests back for 0.08 s while the soak was
    busy, more than the margin of the warm-up limit of 0.05 s.

    Attributes:
        control: Address of its control listener.
    """

    def __init__(self, control: str) -> None:
        self.control = control

    async def apply(self, changes: dict[str, Any]) -> None:
        """Change settings by their names."""
        await self.post("/control", changes)

    async def reset_connections(self) -> None:
        """Reset all open connections; later ones are relayed."""
        await self.post("/reset", {})

    async def post(self, path: str, document: dict[str, Any]) -> None:
        """Send a control request.

        Raises:
            RuntimeError: If the relay does not confirm it, since a fault would go on.
        """
        body = json.dumps(document).encode()
        response = await request(
            self.control, "POST", path, [], body, timeout=CONTROL_SECONDS
        )
        if response.status != 200:
            raise RuntimeError(f"relay answered {response.status} to {document}")


class Installation:
    """The processes of a soak on loopback addresses.

    Attributes:
        record: Where starts, ends and publications are recorded.
        directory: Where settings files and logs are kept.
        names: Names of the hosts.
        port_reservation: Socket that keeps other runs from the ports of the hosts.
        addresses: Addresses of the hosts, by name.
        nodes: Last process of each node, by host.
        lifetimes: Lifetime of these processes, by host.
        targets: Last process of each target, by host.
        relays: Relays by link and host.
    """

    def __init__(self, record: Record, directory: Path, names: list[str]) -> None:
        self.record = record
        self.directory = directory
        self.names = names
        zones = (ZONES[index % len(ZONES)] for index in range(len(names)))
        record.zones = dict(zip(names, zones, strict=True))
        port_base, self.port_reservation = reserve_ports(len(names))
        self.addresses = {
            name: HostAddresses(index, port_base)
            for index, name in enumerate(names, start=1)
        }
        self.nodes: dict[str, subprocess.Popen[bytes]] = {}
        self.lifetimes: dict[str, Lifetime] = {}
        self.targets: dict[str, subprocess.Popen[bytes]] = {}
        self.target_numbers: dict[str, int] = dict.fromkeys(names, 0)
        self.relays: dict[tuple[str, str], Relay | RelayProcess] = {}
        self.relay_processes: dict[str, subprocess.Popen[bytes]] = {}
        self.store: subprocess.Popen[bytes] | None = None
        self.store_address = ""

    def note(self, text: str) -> None:
        """Record what was done to the system."""
        self.record.events.append((time.time(), text))

    def launch(
        self, log: str, arguments: list[str], environment: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Start a Python program whose output goes to a log file."""
        with (self.directory / log).open("a") as log_file:
            return subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log_file,
                stderr=log_file,
                env=os.environ | (environment or {}),
            )

    async def start(self) -> None:
        """Start the store, the relays, the nodes and the targets.

        Raises:
            RuntimeError: If the store does not start.
        """
        self.store = self.launch("store.log", ["-m", "standins.provider"])
        self.store_address = (await self.read_startup("store.log"))["address"]
        await self.publish()
        for name in self.names:
            addresses = self.addresses[name]
            relay = self.relays["store-link", name] = Relay(self.store_address)
            listener = open_listener(addresses.at(STORE_RELAY_OFFSET))
            await curio.spawn(relay.run_connections, listener, daemon=True)
            arguments = ["-m", "standins.relay", "--upstream"]
            arguments += [addresses.listener("app"), "--listen"]
            arguments += [addresses.at(TARGET_RELAY_OFFSET)]
            self.relay_processes[name] = self.launch(f"{name}.relay.log", arguments)
        for name in self.names:
            control = (await self.read_startup(f"{name}.relay.log"))["control"]
            self.relays["target-link", name] = RelayProcess(control)
        for name in self.names:
            self.start_node(name)
            self.start_target(name)

    async def read_startup(self, log: str) -> dict[str, str]:
        """Return the addresses that a stand-in has printed.

        Raises:
            RuntimeError: If it prints none in time.
        """
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            line = (self.directory / log).read_text()
            if line.endswith("\n"):
                addresses: dict[str, str] = json.loads(line)
                return addresses
            await curio.sleep(POLL_INTERVAL_SECONDS)
        raise RuntimeError(f"{log}: no start within {START_SECONDS} s")

    def service(self, name: str) -> str:
        """Return the service of a host's target."""
        return SERVICES[self.names.index(name) % len(SERVICES)]

    def start_node(self, name: str) -> None:
        """Start the node of a host."""
        addresses = self.addresses[name]
        path = self.directory / f"{name}.toml"
        path.write_text(
            addresses.boot_file(
                name,
                self.service(name),
                addresses.at(STORE_RELAY_OFFSET),
                addresses.at(TARGET_RELAY_OFFSET),
                self.record.zones[name],
            )
            + "".join(f"[zones.{zone}]\n" for zone in ZONES)
        )
        number = self.record.current_lifetime(name) + 1
        lifetime = Lifetime(name, number, time.time())
        self.nodes[name] = self.launch(
            f"{name}.log",
            ["-m", "carawaywheel", "node"],
            {"CARAWAYWHEEL_BOOT": str(path)},
        )
        self.lifetimes[name] = lifetime
        self.record.lifetimes.append(lifetime)
        self.note(f"{name}: start {number}")

    def start_target(self, name: str) -> None:
        """Start the target of a host, with a new id."""
        self.target_numbers[name] += 1
        identity = f"i-{name}-{self.target_numbers[name]}"
        arguments = self.addresses[name].endpoint_arguments(
            identity, self.service(name)
        )
        arguments += ["--announce", self.addresses[name].at(TARGET_RELAY_OFFSET)]
        arguments += ["--record", str(self.directory / f"{name}.runs")]
        arguments += ["--zone", self.record.zones[name]]
        arguments += ["--warmup", str(WARMUP_SECONDS)]
        if self.service(name) == SERVICES[0]:
            arguments += ["--call", "mesh.example/inner/deep"]
        self.targets[name] = self.launch(f"{name}.target.log", arguments)
        self.note(f"{name}: target {identity} starts")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node that still runs."""
        process = self.nodes[name]
        if process.poll() is None:
            self.note(f"{name}: {number.name}")
            process.send_signal(number)

    async def gone(self, name: str, number: int) -> None:
        """Wait until one start of a node has ended."""
        while True:
            lifetime = self.record.lifetime_of(name, number)
            if lifetime is None or lifetime.ended_at < time.time():
                return
            await curio.sleep(POLL_INTERVAL_SECONDS)

    async def worked(self, name: str, seconds: float) -> None:
        """Wait until a node has used some processor time, or has ended."""
        process = self.nodes[name]
        path = Path(f"/proc/{process.pid}/schedstat")
        while process.poll() is None:
            if int(path.read_text().split()[0]) >= seconds * NANOSECONDS_PER_SECOND:
                return
            await curio.sleep(POLL_INTERVAL_SECONDS)

    def restart(self, name: str, number: int) -> None:
        """Start a node again after one of its starts, unless that was done."""
        if self.record.current_lifetime(name) == number:
            self.start_node(name)

    async def watch(self) -> None:
        """Record the ends of nodes and their memory until cancelled."""
        next_memory = 0.0
        while True:
            for name, process in self.nodes.items():
                lifetime = self.lifetimes[name]
                now = time.time()
                status = process.poll()
                if status is None:
                    lifetime.running_at = now
                if status is not None and lifetime.ended_at > time.time():
                    lifetime.ended_at = time.time()
                    lifetime.status = status
                    self.note(f"{name}: gone with status {status}")
                if self.ended_by_itself(lifetime):
                    self.restart(name, lifetime.number)
            if time.time() >= next_memory:
                self.measure_memory()
                next_memory = time.time() + MEMORY_INTERVAL_SECONDS
            resting_at = time.time()
            await curio.sleep(POLL_INTERVAL_SECONDS)
            stall = time.time() - resting_at - POLL_INTERVAL_SECONDS
            if stall > STALL_SECONDS:
                self.note(f"the soak stood still for {stall:.2f} s")

    def ended_by_itself(self, lifetime: Lifetime) -> bool:
        """Return whether a start ended unasked, and long enough ago for a new one."""
        is_unasked = lifetime.stopped_at > lifetime.ended_at and not lifetime.killed
        return is_unasked and lifetime.ended_at + RESTART_SECONDS < time.time()

    def measure_memory(self) -> None:
        """Record the highest memory of each node."""
        for name, process in self.nodes.items():
            try:
                pages = Path(f"/proc/{process.pid}/statm").read_text().split()[1]
            except OSError:
                # The process has ended since it was polled.
                continue
            lifetime = self.lifetimes[name]
            size = int(pages) * os.sysconf("SC_PAGE_SIZE")
            lifetime.memory = max(lifetime.memory, size)

    async def control(self, address: str, settings: dict[str, Any]) -> bool:
        """Change settings of a stand-in; return whether it confirmed them."""
        body = json.dumps(settings).encode()
        response = await request(
            address, "POST", "/control", [], body, timeout=CONTROL_SECONDS
        )
        return response.status == 200

    async def control_store(self, settings: dict[str, Any]) -> bool:
        """Change settings of the store; return whether it confirmed them."""
        return await self.control(self.store_address, settings)

    async def control_target(self, name: str, settings: dict[str, Any]) -> bool:
        """Change settings of a target; return whether it confirmed them."""
        return await self.control(self.addresses[name].listener("app"), settings)

    async def store_up(self) -> None:
        """Wait until the store is not down."""
        while self.record.disturbed(
            STORE, frozenset({"store-down"}), time.time(), time.time()
        ):
            await curio.sleep(POLL_INTERVAL_SECONDS)

    async def evacuate(self, zone: str) -> Evacuation:
        """Write the evacuation of a failure domain as the operator does."""
        await self.store_up()
        evacuation = Evacuation(zone)
        self.record.evacuations.append(evacuation)
        command = {"topic": OPERATOR_TOPIC, "key": f"evacuate/{zone}", "put": {}}
        if await self.control_store(command):
            evacuation.confirmed_at = time.time()
            self.note(f"evacuation of {zone} confirmed")
        return evacuation

    async def end_evacuation(self, evacuation: Evacuation) -> None:
        """Remove the evacuation of a failure domain as the operator does."""
        await self.store_up()
        evacuation.removed_at = time.time()
        key = f"evacuate/{evacuation.zone}"
        if await self.control_store({"topic": OPERATOR_TOPIC, "remove": key}):
            evacuation.ended_at = time.time()
            self.note(f"removal of the evacuation of {evacuation.zone} confirmed")

    def hosts_in(self, zone: str) -> list[str]:
        """Return the hosts of a failure domain."""
        return [name for name in self.names if self.record.zones[name] == zone]

    async def publish(self) -> None:
        """Publish a configuration with a route and a key that no other one has."""
        await self.store_up()
        publications = self.record.publications
        version = publications[-1].version + 1 if publications else 1
        routes = [route(*fields) for fields in ROUTES]
        routes.append(route(f"v{version}", "idempotent", "desk", 1))
        keys = [KEY, version_key(version)]
        tenant = {"name": "mill", "api_keys": keys, "rate_per_s": 0, "burst": 0}
        services = [
            {
                "name": name,
                "health_path": HEALTH_PATH,
                "max_connections": 90,
                "warmup_s": WARMUP_SECONDS,
                "warmup_per_s": WARMUP_PER_SECOND,
            }
            for name in SERVICES
        ]
        document = configuration(version, routes, tenants=[tenant], services=services)
        publication = Publication(version, time.time())
        publications.append(publication)
        command = {"topic": OPERATOR_TOPIC, "key": "config", "put": document}
        if await self.control_store(command):
            publication.confirmed_at = time.time()
            self.note(f"configuration r{version} confirmed")

    def end(self) -> None:
        """Kill all processes."""
        processes = [*self.nodes.values(), *self.targets.values()]
        processes += self.relay_processes.values()
        if self.store is not None:
            processes.append(self.store)
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()

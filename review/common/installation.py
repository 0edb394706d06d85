"""A small installation on loopback addresses: a store, nodes, endpoints and a record.

The programs of the project are started as ``deploy/system.toml`` says. Their bounds are
those of the site ``sable-pond``.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .wire import Message, encode_request, exchange

ROOT = Path(__file__).resolve().parents[2]
HOST = "hulo84.example"
KEY = "6wsjnbanfqasnmgkcuyj"
TENANT = "pulo780"
READ, ORDER, LOOK = "/read/", "/order/", "/look/"
FIRST_VERSION = 7
PORTS = {"outbound": 0, "inbound": 1, "ready": 2, "control": 3, "app": 4}
FIRST_INNER_PORT, LAST_INNER_PORT = 5, 6
PORTS_PER_HOST = 8
STORE_HOST = 100
# Below the range of ephemeral ports.
PORT_RANGE = range(11000, 31000, 10)
DRAIN_SECONDS = 2.0
STABLE_WINDOW_SECONDS = 3.0
BOUNDS = {
    "stable_window_s": STABLE_WINDOW_SECONDS,
    "ack_s": 4,
    "drain_s": DRAIN_SECONDS,
    "grace_s": 6,
    "loss_slack_s": 0.2,
    "config_apply_s": 2,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 48,
}
BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotRun(Exception):
    """The case could not run, so that it shows nothing."""


def route(prefix: str, kind: str, service: str) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_s": 5,
        "target_latency_s": 1.5,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "allow_anonymous": False,
    }


def configuration(version: int, keys: list[str]) -> dict[str, Any]:
    """Return a configuration that the operator publishes.

    Args:
        version: Its version.
        keys: Keys of the tenant.
    """
    services = [
        {"name": name, "health_path": "/healthz", "max_connections": 748}
        for name in ("desk", "yard")
    ]
    routes = [
        route(READ, "idempotent", "desk"),
        route(ORDER, "non_idempotent", "yard"),
        route(LOOK, "idempotent", "yard"),
    ]
    return {
        "version": f"r{version}",
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "tenants": [{"name": TENANT, "api_keys": keys, "rate_per_s": 0, "burst": 0}],
        "virtual_hosts": [{"hostname": HOST, "paths": routes}],
    }


def free_port_base(hosts: int) -> int:
    """Return a port from which on all ports of all hosts are free.

    Raises:
        NotRun: If there is none.
    """
    for _ in range(200):
        base = random.SystemRandom().choice(PORT_RANGE)
        indexes = [*range(1, hosts + 1), STORE_HOST]
        if all(is_free(index, base + at) for index in indexes for at in range(8)):
            return base
    raise NotRun("no free ports")


def is_free(index: int, port: int) -> bool:
    """Return whether a port of a host can be bound."""
    with socket.socket() as probe:
        try:
            probe.bind((f"127.0.{index}.1", port))
        except OSError:
            return False
    return True


def run_command() -> list[str]:
    """Return the command of the deploy file that runs a node."""
    document = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    command: list[str] = document["roles"]["node"]["run"].split()
    return command


class Installation:
    """The processes of one play of a case; use it as a context manager.

    Attributes:
        folder: Temporary folder of logs and settings.
        services: Service of each host, by its number from 1.
        nodes: Process of the node of each host.
    """

    def __init__(self, case: Path, services: list[str], faulty: int = 0) -> None:
        """Reserve ports and open the record.

        Args:
            case: Folder of the case.
            services: Service of each host.
            faulty: Host whose endpoint breaks responses off when asked; 0 for none.
        """
        self.faulty = faulty
        self.services = dict(enumerate(services, 1))
        self.base = free_port_base(len(services))
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = (case / "record.txt").open("w", buffering=1)
        self.started_at = time.time()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.nodes: dict[int, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> "Installation":
        return self

    def __exit__(self, *exception: object) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.note("all processes ended")
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line to the record and to standard output."""
        seconds = (at or time.time()) - self.started_at
        line = f"{seconds:8.3f}  {text}"
        self.record.write(line + "\n")
        print(line, flush=True)

    def address(self, host: int, listener: str) -> str:
        """Return the address of a listener of a host."""
        return f"127.0.{host}.1:{self.base + PORTS[listener]}"

    @property
    def store(self) -> str:
        """Address of the store."""
        return f"127.0.{STORE_HOST}.1:{self.base}"

    def launch(
        self, name: str, command: list[str], **variables: str
    ) -> subprocess.Popen[bytes]:
        """Start a process in the root of the repository."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=environment | variables
            )
        self.processes.append(process)
        return process

    def launch_stand_in(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a stand-in of the review."""
        return self.launch(name, [sys.executable, "-m", *arguments])

    def start_node(self, host: int, first_start: bool = False) -> None:
        """Start the node of a host."""
        path = self.folder / f"node-{host}.toml"
        path.write_text(self.settings(host, first_start))
        self.nodes[host] = self.launch(
            f"node-{host}",
            run_command(),
            CARAWAYWHEEL_BOOT=str(path),
            PYTHONPATH=str(ROOT / "target" / "deps"),
        )
        self.note(f"node {host} starts")

    def settings(self, host: int, first_start: bool) -> str:
        """Return the settings file of a host."""
        ip = f"127.0.{host}.1"
        lines = [
            f'node_name = "sidecar-{host}"',
            'machine_class = "sidecar"',
            'serves = ["sidecar"]',
            f'ip = "{ip}"',
            'zone = "wcape-a"',
            'region = "wcape"',
            f"port_range = [{self.base + FIRST_INNER_PORT}, "
            f"{self.base + LAST_INNER_PORT}]",
            "seeds = []",
            f"first_start = {str(first_start).lower()}",
            "heartbeat_s = 1.5",
            f'service = "{self.services[host]}"',
            f'app_addr = "{self.address(host, "app")}"',
            "[listen]",
        ]
        for name in ("inbound", "outbound", "ready", "control"):
            lines.append(f'{name} = "{self.address(host, name)}"')
        lines += ["[limits]", "memory_mb = 300", "max_fds = 4100", "[bounds]"]
        lines += [f"{name} = {value}" for name, value in BOUNDS.items()]
        lines += ["[provider]", f'address = "{self.store}"', 'form = "log"']
        return "\n".join(lines) + "\n"

    def start_endpoint(self, host: int) -> None:
        """Start the endpoint beside a node."""
        self.launch_stand_in(
            f"endpoint-{host}",
            "review.common.endpoint",
            *("--id", f"i-{host}", "--service", self.services[host]),
            *("--zone", "wcape-a", "--address", self.address(host, "app")),
            *("--control", self.address(host, "control")),
            *("--record", str(self.folder / f"endpoint-{host}.jsonl")),
            *(["--faulty"] if host == self.faulty else []),
        )

    async def start(self) -> None:
        """Start everything, publish the configuration and wait until it is served.

        Raises:
            NotRun: If it is not served in time.
        """
        self.launch_stand_in("store", "review.common.store", "--listen", self.store)
        await self.wait_for(lambda: self.publish(), "the store", 10.0)
        for host in self.services:
            self.start_node(host, first_start=True)
        for host in self.services:
            self.start_endpoint(host)
        for host in self.services:
            await self.wait_for(lambda at=host: self.is_ready(at), "readiness", 20.0)
            for prefix in (READ, ORDER):
                if self.has_service(prefix):
                    await self.wait_for(
                        lambda at=host, to=prefix: self.is_served(at, to), prefix, 20.0
                    )
        await asyncio.sleep(STABLE_WINDOW_SECONDS)
        self.note("all hosts serve")

    def has_service(self, prefix: str) -> bool:
        """Return whether an endpoint serves a route."""
        service = "desk" if prefix == READ else "yard"
        return service in self.services.values()

    async def wait_for(
        self, question: Callable[[], Awaitable[bool]], what: str, seconds: float
    ) -> None:
        """Ask until the answer is true.

        Raises:
            NotRun: If it is not within some seconds.
        """
        ends_at = time.monotonic() + seconds
        while not await question():
            if time.monotonic() > ends_at:
                raise NotRun(f"{what}: not within {seconds} s")
            await asyncio.sleep(0.1)

    async def publish(
        self, version: int = FIRST_VERSION, keys: list[str] | None = None
    ) -> bool:
        """Write a configuration as the operator does; return whether it is confirmed.

        Args:
            version: Its version.
            keys: Keys of the tenant; None for the usual one alone.
        """
        key = b"config"
        document = configuration(version, keys or [KEY])
        record = bytes([len(key)]) + key + json.dumps(document).encode()
        body = len(record).to_bytes(4, "big") + record
        path = "/api/log-append?topic=keyed.op&part=0"
        return (await exchange(self.store, "POST", path, {}, body)).status == 200

    async def is_ready(self, host: int) -> bool:
        """Return whether a node says that it is ready."""
        address = self.address(host, "ready")
        return (await exchange(address, "GET", "/api/ready")).status == 200

    async def is_served(self, host: int, prefix: str) -> bool:
        """Return whether a request at a host is served."""
        method = "GET" if prefix == READ else "POST"
        response = await self.send(host, method, prefix + "check", new_id())
        return response.status == 200

    async def send(
        self,
        host: int,
        method: str,
        path: str,
        attempt: str,
        body: bytes = b"",
        key: str = KEY,
    ) -> Message:
        """Send one request of a client and return the response."""
        headers = client_headers(attempt, key)
        address = self.address(host, "outbound")
        return await exchange(address, method, path, headers, body)

    async def connect(
        self, host: int
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection of a client to a node."""
        ip, _, port = self.address(host, "outbound").rpartition(":")
        return await asyncio.open_connection(ip, int(port), limit=1 << 20)

    async def command_endpoint(self, host: int, command: dict[str, Any]) -> None:
        """Send a command of the script to an endpoint."""
        body = json.dumps(command).encode()
        await exchange(self.address(host, "app"), "POST", "/control", {}, body)

    def log_lines(self, host: int) -> list[dict[str, Any]]:
        """Return what a node has logged."""
        text = (self.folder / f"node-{host}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line[:1] == "{"]

    def kill_node(self, host: int) -> None:
        """Kill the node of a host."""
        self.nodes[host].send_signal(signal.SIGKILL)
        self.nodes[host].wait()
        self.note(f"node {host} killed")

    def endpoint_events(self, host: int) -> list[dict[str, Any]]:
        """Return what an endpoint has recorded."""
        path = self.folder / f"endpoint-{host}.jsonl"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def note_endpoint(self, host: int, skipped: tuple[str, ...] = ()) -> None:
        """Copy what an endpoint has recorded to the record."""
        for event in self.endpoint_events(host):
            if event["event"] not in skipped:
                fields = {
                    name: value
                    for name, value in event.items()
                    if name not in ("at", "event", "endpoint")
                }
                self.note(f"{event['endpoint']} {event['event']} {fields}", event["at"])


def client_headers(attempt: str, key: str = KEY) -> dict[str, str]:
    """Return the headers that a client sends."""
    return {
        "host": HOST,
        "x-attempt-id": attempt,
        "x-deadline-ms": "5000",
        "authorization": f"Token {key}",
    }


def client_request(method: str, path: str, attempt: str, body: bytes = b"") -> bytes:
    """Return the bytes of a client's request."""
    return encode_request(method, path, client_headers(attempt), body)


def new_id() -> str:
    """Return a new id of a client attempt."""
    return f"{random.SystemRandom().getrandbits(64):016x}"


def run_case(
    case: Path,
    services: list[str],
    play: Callable[[Installation, bool], Awaitable[int]],
    faulty: int = 0,
) -> int:
    """Play a case and return its exit status.

    Args:
        case: Folder of the case.
        services: Service of each host.
        play: Plays the case in a running installation, with or without its
            disruption, and returns the status.
        faulty: Host whose endpoint breaks responses off when asked; 0 for none.
    """
    troubled = os.environ.get("TROUBLE", "1") != "0"

    async def play_whole(installation: Installation) -> int:
        await installation.start()
        return await play(installation, troubled)

    signal.signal(signal.SIGTERM, stop)
    try:
        with Installation(case, services, faulty) as installation:
            try:
                return asyncio.run(play_whole(installation))
            except (Exception, SystemExit) as error:
                installation.note(f"the case could not run: {error!r}")
                traceback.print_exc()
                return NOT_RUN
    except (NotRun, OSError) as error:
        print(f"the case could not run: {error!r}")
        return NOT_RUN


def stop(*_: object) -> None:
    """End the play, so that its processes are ended."""
    raise SystemExit("stopped by a signal")

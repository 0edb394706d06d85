"""A small deployment on loopback addresses for the scripts of this review.

Nodes are started as the deploy file starts them. The store, the endpoints and the
clients are stand-ins in the process of the script; they speak what the users' pages
say and need only the standard library.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
HOST = "mesh.example"
KEY = "key-of-the-mill"
PORTS = ("outbound", "inbound", "ready", "control", "app", "metrics", "links")
# Below the range of ephemeral ports.
PORT_RANGE = range(12000, 32000, 10)
GRACE_SECONDS = 6.0
HEARTBEAT_SECONDS = 1.5
START_SECONDS = 20.0
# A script may run for 120 seconds.
MAX_SECONDS = 100.0
DIGEST = "3e1b.07.5a2.600.0.c9f2a4d1"
BROKEN, HELD, FAILED = 1, 0, 2


class Unusable(Exception):
    """The case could not run."""


class Request(NamedTuple):
    """A request that a stand-in has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Reply(NamedTuple):
    """A response; status 0 stands for a connection that ended without one."""

    status: int
    headers: dict[str, str]
    body: bytes


NO_REPLY = Reply(0, {}, b"")
Handler = Callable[[Request], Awaitable[Reply | None]]


def trouble() -> bool:
    """Return whether the script causes the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def host_ip(index: int) -> str:
    """Return the address of a machine by its number."""
    return f"127.0.{index}.1"


def find_ports(machines: int) -> int:
    """Return the first of some ports that are free on all machines."""
    for _ in range(200):
        base = random.SystemRandom().choice(PORT_RANGE)
        if all(is_free(host_ip(i), base) for i in range(1, machines + 1)):
            return base
    raise Unusable("no free ports")


def is_free(ip: str, base: int) -> bool:
    """Return whether the ports of one machine can be bound, for TCP and UDP."""
    for port in range(base, base + len(PORTS)):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((ip, port))
                except OSError:
                    return False
    return True


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    first = (await reader.readuntil(b"\r\n")).decode("latin-1").strip()
    headers: dict[str, str] = {}
    while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message, with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return b"".join(parts)


def encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def send_request(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    source: str | None = None,
) -> Reply:
    """Send one request on a connection of its own."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        local = (source, 0) if source else None
        reader, writer = await asyncio.open_connection(
            host, int(port), local_addr=local
        )
        head = {"host": host, **headers, "connection": "close"}
        writer.write(encode(f"{method} {target} HTTP/1.1", head, body))
        first, reply_headers = await read_head(reader)
        content = await read_body(reader, reply_headers)
        return Reply(int(first.split()[1]), reply_headers, content)
    except (OSError, ValueError, IndexError, asyncio.IncompleteReadError):
        return NO_REPLY
    finally:
        if writer is not None:
            writer.close()


async def serve(address: str, handler: Handler) -> asyncio.Server:
    """Serve requests, one at a time on a connection.

    A handler is cancelled when its client closes the connection.
    """

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while await serve_one(reader, writer, handler):
                pass
        writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(run, host, int(port))


async def serve_one(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> bool:
    """Serve one request; return whether another may follow."""
    first, headers = await read_head(reader)
    method, target, _ = first.split()
    body = await read_body(reader, headers)
    work = asyncio.ensure_future(handler(Request(method, target, headers, body)))
    while not work.done():
        await asyncio.wait([work], timeout=0.02)
        if reader.at_eof() and not work.done():
            work.cancel()
    if work.cancelled():
        return False
    reply = work.result()
    if reply is None:
        return False
    writer.write(encode(f"HTTP/1.1 {reply.status} X", reply.headers, reply.body))
    await writer.drain()
    return headers.get("connection", "").lower() != "close"


class Store:
    """The platform's metadata store: logs, and the newest record of each key."""

    def __init__(self) -> None:
        self.topics: dict[str, list[bytes]] = {}
        self.appended = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await serve("127.0.0.1:0", self.handle)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def append(self, topic: str, records: list[bytes]) -> int:
        """Append records and wake the readers; return the offset of the first."""
        log = self.topics.setdefault(topic, [])
        offset = len(log)
        log += records
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record with a key."""
        name = key.encode()
        self.append(topic, [bytes([len(name)]) + name + value])

    async def handle(self, request: Request) -> Reply:
        """Handle one call."""
        await asyncio.sleep(0.004)
        path, _, text = request.target.partition("?")
        query = dict(item.split("=", 1) for item in text.split("&"))
        topic = query["topic"]
        log = self.topics.setdefault(topic, [])
        if path == "/api/log-append":
            return self.append_reply(topic, query, request.body)
        if path == "/api/log-newest":
            return self.newest_reply(log)
        if path == "/api/log-read":
            start = int(query["from"])
            deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            while len(log) <= start and time.monotonic() < deadline:
                with contextlib.suppress(asyncio.TimeoutError):
                    left = deadline - time.monotonic()
                    await asyncio.wait_for(self.appended.wait(), max(0.0, left))
            body = struct.pack(">QQ", len(log), 0)
            body += b"".join(struct.pack(">I", len(r)) + r for r in log[start:])
            return Reply(200, {}, body)
        return Reply(404, {}, b"{}")

    def append_reply(self, topic: str, query: dict[str, str], body: bytes) -> Reply:
        """Append the records of a call, if the log ends where it must."""
        log = self.topics[topic]
        if int(query.get("at", len(log))) != len(log):
            return Reply(412, {}, json.dumps({"end_offset": len(log)}).encode())
        records, cursor = [], 0
        while cursor < len(body):
            (size,) = struct.unpack_from(">I", body, cursor)
            records.append(body[cursor + 4 : cursor + 4 + size])
            cursor += 4 + size
        offset = self.append(topic, records)
        content = {"offset": offset, "end_offset": offset + len(records)}
        return Reply(200, {}, json.dumps(content).encode())

    def newest_reply(self, log: list[bytes]) -> Reply:
        """Return the newest record of each key."""
        newest = {}
        for offset, record in enumerate(log):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (offset, record[end:])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
            if value
        ]
        content = {"items": items, "has_more": False, "end_offset": len(log)}
        return Reply(200, {}, json.dumps(content).encode())


class Run(NamedTuple):
    """A request that an endpoint began to run."""

    at: float
    attempt: str
    endpoint: str
    lifetime: int


class Machine:
    """One machine: its node as a process, and the endpoint beside it."""

    def __init__(self, bed: "Testbed", index: int, service: str) -> None:
        self.bed = bed
        self.index = index
        self.name = f"machine-{index}"
        self.service = service
        self.ip = host_ip(index)
        self.addresses = {
            name: f"{self.ip}:{bed.base + offset}" for offset, name in enumerate(PORTS)
        }
        self.node: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.endpoint = Endpoint(self)

    def settings(self) -> str:
        """Return the settings file as the platform writes it."""
        ports = [self.bed.base + PORTS.index(name) for name in ("metrics", "links")]
        listen = {
            name: self.addresses[name]
            for name in ("inbound", "outbound", "ready", "control")
        }
        lines = [
            f'node_name = "{self.name}"',
            f'ip = "{self.ip}"',
            f'zone = "zone-{self.index % 2}"',
            f"port_range = {ports}",
            "first_start = false",
            f"heartbeat_s = {HEARTBEAT_SECONDS}",
            f'service = "{self.service}"',
            f'app_addr = "{self.addresses["app"]}"',
            "[listen]",
            *(f'{name} = "{value}"' for name, value in listen.items()),
            "[limits]",
            f"memory_mb = {self.bed.memory_mb}",
            "[bounds]",
            f"grace_s = {GRACE_SECONDS}",
            "drain_s = 2",
            "retry_budget_ratio = 0.2",
            "budget_window_s = 10",
            "budget_slack = 48",
            "[provider]",
            f'address = "{self.bed.store.address}"',
        ]
        return "\n".join(lines) + "\n"

    def start_node(self) -> None:
        """Start the node with the command of the deploy file."""
        path = self.bed.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        environment = {
            **os.environ,
            "CARAWAYWHEEL_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.bed.folder / f"{self.name}.log").open("a") as log:
            self.node = subprocess.Popen(
                ["python3", "-O", "src/run.py", "node"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.started_at = time.time()
        self.bed.note(f"{self.name}: node started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node."""
        assert self.node is not None
        self.node.send_signal(number)
        self.bed.note(f"{self.name}: {number.name}")

    def kill(self) -> None:
        """Kill the node and wait for its end."""
        self.signal(signal.SIGKILL)
        assert self.node is not None
        self.node.wait()

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        reply = await send_request(self.addresses["ready"], "GET", "/api/ready", {})
        return reply.status == 200

    async def wait_ready(self) -> None:
        """Wait until the node says that it is ready."""
        deadline = time.monotonic() + START_SECONDS
        while not await self.is_ready():
            if time.monotonic() > deadline:
                raise Unusable(f"{self.name} is not ready")
            await asyncio.sleep(0.05)
        self.bed.note(f"{self.name}: ready")


class Endpoint:
    """The endpoint of a machine. A start is a lifetime that knows nothing of before."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.identity = f"i-{machine.index}"
        self.lifetime = 0
        self.born = 0
        self.sequence = 0
        self.phase = "ready"
        self.work_seconds = 0.02
        self.body_bytes = 200
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.Task[None]] = set()
        self.beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a lifetime."""
        self.lifetime += 1
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.phase = "ready"
        lifetime = self.lifetime

        async def handle(request: Request) -> Reply | None:
            return await self.handle(request, lifetime)

        self.server = await self.listen(handle)
        self.beats = asyncio.ensure_future(self.run_beats())
        self.machine.bed.note(
            f"{self.identity}: lifetime {lifetime} started, born {self.born}"
        )

    async def listen(self, handler: Handler) -> asyncio.Server:
        """Listen; connections end with the lifetime."""

        async def run(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            self.connections.add(task)
            try:
                while await serve_one(reader, writer, handler):
                    pass
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                self.connections.discard(task)
                writer.close()

        host, _, port = self.machine.addresses["app"].rpartition(":")
        return await asyncio.start_server(run, host, int(port), reuse_address=True)

    def stop_beats(self) -> None:
        """Send no more check-ins."""
        if self.beats is not None:
            self.beats.cancel()
            self.beats = None

    async def end(self) -> None:
        """End the lifetime with all its connections."""
        self.stop_beats()
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.connections):
            task.cancel()
        self.machine.bed.note(f"{self.identity}: lifetime {self.lifetime} ended")

    async def handle(self, request: Request, lifetime: int) -> Reply | None:
        """Handle one request."""
        attempt = request.headers.get("x-attempt-id", "")
        expected = request.headers.get("x-expected-instance")
        if expected not in (None, self.identity):
            return Reply(421, {"x-attempt-id": attempt}, b"")
        if request.target == "/healthz":
            return Reply(200, {"x-instance-id": self.identity}, b"")
        run = Run(time.time(), attempt, self.identity, lifetime)
        self.machine.bed.runs.append(run)
        self.machine.bed.note(f"{self.identity}: runs {attempt}")
        await asyncio.sleep(self.work_seconds)
        headers = {"x-attempt-id": attempt, "x-response-signature": DIGEST}
        return Reply(200, headers, attempt.encode().ljust(self.body_bytes, b"."))

    def next_check_in(self) -> bytes:
        """Return the body of the next check-in."""
        self.sequence += 1
        content = {
            "address": self.machine.addresses["app"],
            "born": self.born,
            "info": {
                "service": self.machine.service,
                "version": "v1",
                "zone": f"zone-{self.machine.index % 2}",
                "capacity": 50,
            },
            "status": {
                "phase": self.phase,
                "sequence": self.sequence,
                "warmup_left_s": 0,
            },
        }
        return json.dumps(content).encode()

    async def call_node(self, method: str, body: bytes) -> Reply:
        """Send a check-in."""
        reply = await send_request(
            self.machine.addresses["control"],
            method,
            f"/api/instances/{self.identity}",
            {"content-type": "application/json"},
            body,
        )
        self.machine.bed.note(f"{self.identity}: {method} {body!r} -> {reply.status}")
        return reply

    async def check_in(self) -> bool:
        """Send a check-in; return whether it was acknowledged."""
        return (await self.call_node("PUT", self.next_check_in())).status == 200

    async def run_beats(self) -> None:
        """Check in at intervals until cancelled."""
        while True:
            await self.check_in()
            await asyncio.sleep(HEARTBEAT_SECONDS)


class Sent(NamedTuple):
    """A request of a client and its end."""

    attempt: str
    at: float
    machine: str
    reply: Reply


class Testbed:
    """The deployment, and the record of what was sent, answered and run."""

    def __init__(self, case: Path, services: list[str]) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = (case / "record.txt").open("w")
        self.base = find_ports(len(services))
        self.memory_mb = 300
        self.runs: list[Run] = []
        self.sent: list[Sent] = []
        self.counter = 0
        self.store = Store()
        self.started_at = time.time()
        self.machines = [
            Machine(self, index, service)
            for index, service in enumerate(services, start=1)
        ]

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        self.record.write(f"{time.time() - self.started_at:8.3f} {text}\n")
        self.record.flush()

    def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a configuration as the operator does."""
        services = sorted({machine.service for machine in self.machines})
        document = {
            "version": f"r{version}",
            "virtual_hosts": [{"hostname": HOST, "paths": routes}],
            "services": [
                {"name": name, "health_path": "/healthz", "max_connections": 200}
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1 << 26,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "tenants": [
                {
                    "name": "mill",
                    "api_keys": [KEY],
                    "rate_per_s": 0,
                    "burst": 0,
                }
            ],
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.note(f"configuration r{version} confirmed")

    async def start(self, routes: list[dict[str, Any]]) -> None:
        """Start the store, the nodes and the endpoints, and wait until all serve."""
        await self.store.start()
        self.configure(1, routes)
        for machine in self.machines:
            await machine.endpoint.start()
            machine.start_node()
        for machine in self.machines:
            await machine.wait_ready()
        await asyncio.sleep(2 * HEARTBEAT_SECONDS)

    async def ask(
        self,
        machine: Machine,
        path: str,
        method: str = "GET",
        deadline: float = 5.0,
        body: bytes = b"",
    ) -> Sent:
        """Send a request of a client on a machine."""
        self.counter += 1
        attempt = f"{self.counter:016x}"
        at = time.time()
        headers = {
            "host": HOST,
            "x-attempt-id": attempt,
            "x-deadline-ms": str(int(deadline * 1000)),
            "authorization": f"Token {KEY}",
        }
        self.note(f"client: {method} {path} {attempt} to {machine.name}")
        try:
            reply = await asyncio.wait_for(
                send_request(
                    machine.addresses["outbound"], method, path, headers, body
                ),
                deadline,
            )
        except TimeoutError:
            reply = NO_REPLY
        echoed = reply.headers.get("x-attempt-id", "")
        self.note(f"client: {attempt} -> {reply.status} {echoed} {reply.body[:40]!r}")
        sent = Sent(attempt, at, machine.name, reply)
        self.sent.append(sent)
        return sent

    async def close(self) -> None:
        """End all processes that were started."""
        for machine in self.machines:
            await machine.endpoint.end()
            if machine.node is not None and machine.node.poll() is None:
                machine.node.kill()
                machine.node.wait()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": f"r-{name}",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_s": 8.0,
        "target_latency_s": 1.0,
        "priority": 0,
        "service": service,
        "attempts": 2,
        "allow_anonymous": False,
        **changes,
    }


def play(
    case: Path,
    services: list[str],
    scenario: Callable[[Testbed], Awaitable[str]],
) -> None:
    """Play a scenario and exit; its result is empty or says how the rule broke."""

    async def run() -> int:
        bed = Testbed(case, services)
        try:
            async with asyncio.timeout(MAX_SECONDS):
                finding = await scenario(bed)
        except (Unusable, TimeoutError) as error:
            bed.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return FAILED
        finally:
            await bed.close()
        print(finding or "the rule held")
        with (case / "record.txt").open("a") as record:
            record.write(f"{finding or 'the rule held'}\n")
        return BROKEN if finding else HELD

    sys.exit(asyncio.run(run()))

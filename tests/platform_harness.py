"""Test harness: the platform on loopback with its store, hosts and callers.

Each host runs a mesh node and a target beside it.
"""

import base64
import json
import os
import subprocess
import sys
import threading
import time
from concurrent.futures import Future

import curio
import msgspec

from standins.caller import request
from standins.mesh import Mesh
from standins.platform import (
    HOST,
    KEY,
    HostAddresses,
    configuration,
    reserve_ports,
    route,
)

__all__ = ["HOST", "KEY", "Platform", "configuration", "route", "wait"]

HOSTS = 6
# Lines of the log of each node in the report of a failure.
LOG_LINES = 200


class Platform(Mesh):
    """Store, hosts and callers of a platform; use it as a context manager."""

    def __init__(self):
        super().__init__()
        self.port_base, self.reservation = reserve_ports(HOSTS)
        self.hosts = {}
        self.zones = {}
        self.start("store", ["-m", "standins.provider"])
        self.store_address = self.processes["store"].startup_info["address"]

    def __exit__(self, *exception):
        """Stop all processes, and then give up the reserved ports.

        The logs of the nodes are printed if the block has failed.
        """
        if exception[0] is not None:
            print(self.log_ends())
        super().__exit__(*exception)
        self.reservation.close()

    def log_ends(self):
        """Return the last lines of each node's log, for the report of a failure."""
        # The nodes write their logs at intervals.
        wait(1.0)
        lines = []
        for path in sorted(self.work_dir.glob("h*.log")):
            lines += [f"== {path.name}", *path.read_text().splitlines()[-LOG_LINES:]]
        return "\n".join(lines)

    def addresses(self, name):
        """Return the addresses of a host; ports are the same on all hosts."""
        index = self.hosts.setdefault(name, len(self.hosts) + 1)
        return HostAddresses(index, self.port_base)

    def address(self, name, listener):
        """Return the address and port of one listener of a host."""
        return self.addresses(name).listener(listener)

    def publish(self, document):
        """Write a configuration to the store as an operator does."""
        command = {"topic": "keyed.op", "key": "config", "put": document}
        self.control(self.store_address, command)

    def write_boot_file(self, name, service, store=""):
        """Write the settings file of a host and return its path."""
        path = self.work_dir / f"{name}.toml"
        text = self.addresses(name).boot_file(
            name,
            service,
            store or self.store_address,
            self.address(name, "app"),
            self.zones.get(name, "a"),
        )
        path.write_text(text)
        return path

    def start_node(self, name, service, store="", program="carawaywheel"):
        """Start the node of a host; its log is written to a file."""
        path = self.write_boot_file(name, service, store)
        with (self.work_dir / f"{name}.log").open("a") as log_file:
            process = subprocess.Popen(
                [sys.executable, "-m", program, "node"],
                stdout=log_file,
                stderr=log_file,
                env=os.environ | {"CARAWAYWHEEL_BOOT": str(path)},
                text=True,
            )
        program = self.register_process(name, process)
        return program

    def register_process(self, name, process):
        """Register a process to be stopped at the end."""
        from standins.mesh import ManagedProcess

        program = ManagedProcess(name, process, {}, self.work_dir / f"{name}.log")
        self.processes[name] = program
        return program

    def start_host(self, name, service, *arguments):
        """Start a node and the target beside it."""
        self.start_node(name, service)
        self.start_endpoint(name, service, *arguments)

    def start_endpoint(self, name, service, *arguments, identity=""):
        """Start the target of a host."""
        command = self.addresses(name).endpoint_arguments(
            identity or f"i-{name}", service
        )
        return self.start(f"target-{name}", [*command, *arguments])

    def readiness_status(self, name):
        """Return the HTTP status of a node's readiness check."""
        return self.readiness(name)[0]

    def readiness(self, name):
        """Return the HTTP status and the JSON body of a node's readiness check."""
        address = self.address(name, "ready")
        response = curio.run(request, address, "GET", "/api/ready", [], b"", 2.0)
        return response.status, json.loads(response.body or b"{}")

    def send(
        self,
        name,
        path,
        method="GET",
        body=b"",
        key=KEY,
        headers=(),
        timeout=8.0,
        deadline_ms=4000,
    ):
        """Send a client's request to a node and return the response."""
        fields = [("host", HOST), ("x-attempt-id", os.urandom(8).hex()), *headers]
        fields += [("x-deadline-ms", str(deadline_ms))]
        if key:
            fields.append(("authorization", f"Token {key}"))
        address = self.address(name, "outbound")
        return curio.run(request, address, method, path, fields, body, timeout)

    def send_in_background(self, *arguments, **options):
        """Send a request from a separate thread; return a future of the response."""
        future = Future()

        def run():
            try:
                future.set_result(self.send(*arguments, **options))
            except Exception as error:
                future.set_exception(error)

        threading.Thread(target=run, daemon=True).start()
        return future

    def record_of(self, name):
        """Return key and fields of the record that a node has written to the store."""
        path = "/api/log-newest?topic=keyed.hosts&part=0"
        response = curio.run(request, self.store_address, "GET", path, [], b"", 5.0)
        for item in json.loads(response.body)["items"]:
            fields = msgspec.msgpack.decode(base64.b64decode(item["value"]))
            if fields[0] == name:
                return item["key"], fields
        raise LookupError(f"{name} has written no record")

    def put_record(self, key, fields):
        """Write the record of a node to the store."""
        value = bytes([len(key)]) + key.encode() + msgspec.msgpack.encode(fields)
        body = len(value).to_bytes(4) + value
        path = "/api/log-append?topic=keyed.hosts&part=0"
        curio.run(request, self.store_address, "POST", path, [], body, 5.0)

    def runs(self, name, prefix=""):
        """Return the requests that the target of a host ran."""
        response = curio.run(
            request, self.address(name, "app"), "GET", "/runs", [], b"", 5
        )
        runs = json.loads(response.body)["runs"]
        return [run for run in runs if run["path"].startswith(prefix)]

    def rejected_count(self, name):
        """Return the number of requests that the target of a host rejected."""
        return self.target_state(name)["rejected"]

    def target_state(self, name):
        """Return what the target of a host reports of its requests."""
        response = curio.run(
            request, self.address(name, "app"), "GET", "/runs", [], b"", 5
        )
        return json.loads(response.body)

    def configure_target(self, name, **settings):
        """Change the behaviour of a target."""
        self.control(self.address(name, "app"), settings)

    def log_lines(self, name, event=""):
        """Return the log lines of a node, of one event if it is given."""
        text = (self.work_dir / f"{name}.log").read_text()
        lines = [json.loads(line) for line in text.splitlines() if line[:1] == "{"]
        return [line for line in lines if not event or line["event"] == event]

    def wait_until_served(self, name, path, seconds=15.0):
        """Wait until a request is served; return the response."""
        return self.wait_for(
            lambda: (response := self.send(name, path)).status == 200 and response,
            f"{path} is served at {name}",
            seconds,
        )


def wait(seconds):
    """Wait for time that a test depends on, such as the duration of a lease."""
    time.sleep(seconds)

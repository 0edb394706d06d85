"""A mesh of real processes on loopback: log, nodes and targets."""

import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import curio

from .caller import ClientResponse, request

CONDITION_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 15.0
POLL_INTERVAL_SECONDS = 0.05
ROOT_TOKEN = "cwt_" + "0" * 64
FLEET_SECRET = "a secret for tests and demos only"


class ManagedProcess(NamedTuple):
    """A process that was started.

    Attributes:
        name: Name in the mesh.
        process: The process.
        ready: The JSON line that it printed when it was ready.
        errors: File with its standard error.
    """

    name: str
    process: subprocess.Popen[str]
    startup_info: dict[str, Any]
    stderr_path: Path

    def signal(self, number: int) -> None:
        """Send a signal to this process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()

    def stop(self) -> int:
        """Ask the process to stop; kill it if it does not, and return its status."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        try:
            return self.process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL


class Mesh:
    """Processes of a mesh; use it as a context manager.

    Attributes:
        domains: Failure domains of the mesh.
        programs: Processes by name.
    """

    def __init__(self, domains: tuple[str, ...] = ("a",)) -> None:
        self.domains = domains
        self.processes: dict[str, ManagedProcess] = {}
        self.temp_dir = tempfile.TemporaryDirectory(prefix="carawaywheel-")
        self.work_dir = Path(self.temp_dir.name)
        self.log_arguments: list[str] = []

    def __enter__(self) -> "Mesh":
        """Return the mesh."""
        return self

    def __exit__(self, *exception: object) -> None:
        """Stop all processes, targets first."""
        order = sorted(self.processes, key=lambda name: not name.startswith("target"))
        for name in order:
            program = self.processes[name]
            program.process.send_signal(signal.SIGCONT)
            program.process.terminate()
        for name in order:
            self.processes[name].stop()
        self.temp_dir.cleanup()

    def start(
        self, name: str, arguments: list[str], environment: dict[str, str] | None = None
    ) -> ManagedProcess:
        """Start a Python program and wait for the JSON line that says it is ready.

        Raises:
            RuntimeError: If it ended or did not get ready in time.
        """
        errors = self.work_dir / f"{name}.err"
        with errors.open("a") as error_file:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=subprocess.PIPE,
                stderr=error_file,
                text=True,
                env=os.environ | (environment or {}),
            )
        assert process.stdout is not None
        line = process.stdout.readline()
        if not line:
            process.wait()
            raise RuntimeError(f"{name} did not start: {errors.read_text()[-2000:]}")
        program = ManagedProcess(name, process, json.loads(line), errors)
        self.processes[name] = program
        return program

    def start_log(self, retention: float = 3600.0, listen: str = "") -> ManagedProcess:
        """Start the log stand-in."""
        address = listen or "127.0.0.1:0"
        arguments = ["-m", "standins.log", "--listen", address, "--control"]
        return self.start("log", [*arguments, "--retention", str(retention)])

    @property
    def log_address(self) -> str:
        """Address of the log."""
        return str(self.processes["log"].startup_info["address"])

    def start_node(
        self, name: str, domain: str = "a", options: dict[str, str] | None = None
    ) -> ManagedProcess:
        """Start a node; options are flags without their dashes."""
        settings = {
            "node-id": name,
            "domain": domain,
            "domains": ",".join(self.domains),
            "log": self.log_address,
            "root-token-digest": hashlib.sha256(ROOT_TOKEN.encode()).hexdigest(),
            "summary-interval": "2",
            "leave-wait": "0.5",
            **(options or {}),
        }
        arguments = [*self.node_command(), "node"]
        for flag, value in settings.items():
            arguments += [f"--{flag}", value]
        secret = {"CARAWAYWHEEL_FLEET_SECRET": FLEET_SECRET}
        return self.start(name, arguments, secret)

    def node_command(self) -> list[str]:
        """Return what Python runs for a node."""
        return ["-m", "carawaywheel"]

    def start_target(
        self,
        node: str,
        service: str,
        slots: int = 20,
        arguments: list[str] | None = None,
    ) -> ManagedProcess:
        """Start a target beside a node."""
        ready = self.processes[node].startup_info
        command = ["-m", "standins.target", "--service", service]
        command += ["--listen", "127.0.0.1:0", "--slots", str(slots)]
        command += ["--connections", str(slots * 7)]
        command += ["--announce", f"http://{ready['admin']}/announce"]
        command += ["--node", f"http://{ready['callers']}"]
        return self.start(f"target-{node}", command + (arguments or []))

    def run_command(
        self, node: str, *arguments: str, token: str = ROOT_TOKEN, text: str = ""
    ) -> subprocess.CompletedProcess[str]:
        """Run an operator's command against a node."""
        environment = os.environ | {
            "CARAWAYWHEEL_ADMIN": self.processes[node].startup_info["admin"],
            "CARAWAYWHEEL_TOKEN": token,
        }
        return subprocess.run(
            [sys.executable, "-m", "carawaywheel", *arguments],
            input=text,
            capture_output=True,
            text=True,
            env=environment,
            timeout=60,
        )

    def run_json_command(self, node: str, *arguments: str, text: str = "") -> Any:
        """Run an operator's command that must succeed and return its JSON output.

        Raises:
            RuntimeError: If the command failed.
        """
        done = self.run_command(node, *arguments, "--json", text=text)
        if done.returncode:
            raise RuntimeError(f"{arguments}: {done.stdout} {done.stderr}")
        return json.loads(done.stdout)

    def call(
        self,
        node: str,
        path: str,
        key: str = "",
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = 10.0,
    ) -> ClientResponse:
        """Send one request to a node and read its answer."""
        address = self.processes[node].startup_info["callers"]
        fields = list((headers or {}).items())
        if key:
            fields.append(("authorization", f"Bearer {key}"))
        return curio.run(request, address, method, path, fields, body, timeout)

    def control(self, address: str, settings: dict[str, Any]) -> None:
        """Change the behaviour of a stand-in."""
        body = json.dumps(settings).encode()
        answer = curio.run(request, address, "POST", "/control", [], body, 5.0)
        if answer.status != 200:
            raise RuntimeError(f"control of {address} failed: {answer}")

    def wait_for(
        self, condition: Any, what: str, seconds: float = CONDITION_TIMEOUT_SECONDS
    ) -> Any:
        """Poll until a condition is true and return its value.

        Raises:
            RuntimeError: If it is not true in time.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            value = condition()
            if value:
                return value
            time.sleep(POLL_INTERVAL_SECONDS)
        raise RuntimeError(f"not within {seconds} s: {what}")

    def fleet_status(self, node: str) -> dict[str, Any]:
        """Return the status of a node as it sees the fleet."""
        answer = self.run_json_command(node, "status")
        found: dict[str, Any] = {item["node"]: item for item in answer["nodes"]}
        return found

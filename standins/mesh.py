"""A mesh of real processes on the loopback interface: log, nodes and targets."""

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
    """A child process of the mesh.

    Attributes:
        name: Unique name in the mesh.
        process: The child process.
        startup_info: JSON line that it printed when it was ready, with its addresses.
        stderr_path: File that receives its standard error.
    """

    name: str
    process: subprocess.Popen[str]
    startup_info: dict[str, Any]
    stderr_path: Path

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.process.kill()
        self.process.wait()

    def stop(self) -> int:
        """Terminate the process, kill it after a timeout, and return its status.

        A process stopped by SIGSTOP is continued first, since it would not handle
        SIGTERM.
        """
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        try:
            return self.process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL


class Mesh:
    """The processes of a mesh; a context manager that stops them at its exit.

    Attributes:
        domains: Failure domains of the mesh.
        processes: Processes by name.
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
        """Stop all processes, targets first, and delete the working directory."""
        names = sorted(self.processes, key=lambda name: not name.startswith("target"))
        for name in names:
            managed = self.processes[name]
            managed.process.send_signal(signal.SIGCONT)
            managed.process.terminate()
        for name in names:
            self.processes[name].stop()
        self.temp_dir.cleanup()

    def start(
        self, name: str, arguments: list[str], environment: dict[str, str] | None = None
    ) -> ManagedProcess:
        """Start a Python program and wait for its JSON startup line.

        Args:
            name: Unique name in the mesh.
            arguments: Command line after the Python interpreter.
            environment: Environment variables to add.

        Raises:
            RuntimeError: If the program exited before it printed the line.
        """
        stderr_path = self.work_dir / f"{name}.err"
        with stderr_path.open("a") as error_file:
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
            raise RuntimeError(
                f"{name} exited before its startup line; end of its standard error: "
                f"{stderr_path.read_text()[-2000:]}"
            )
        managed = ManagedProcess(name, process, json.loads(line), stderr_path)
        self.processes[name] = managed
        return managed

    def start_log(self, retention: float = 3600.0, listen: str = "") -> ManagedProcess:
        """Start the log stand-in, which keeps records for ``retention`` seconds."""
        address = listen or "127.0.0.1:0"
        arguments = ["-m", "standins.log", "--listen", address, "--control"]
        return self.start("log", [*arguments, "--retention", str(retention)])

    @property
    def log_address(self) -> str:
        """Address of the log as ``HOST:PORT``."""
        return str(self.processes["log"].startup_info["address"])

    def start_node(
        self, name: str, domain: str = "a", options: dict[str, str] | None = None
    ) -> ManagedProcess:
        """Start a node.

        Args:
            name: Node id.
            domain: Failure domain.
            options: Further flags by name, without the leading dashes; they override
                the defaults.
        """
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
        """Return the arguments of the Python interpreter that run the node program."""
        return ["-m", "carawaywheel"]

    def start_target(
        self,
        node: str,
        service: str,
        slots: int = 20,
        arguments: list[str] | None = None,
    ) -> ManagedProcess:
        """Start the target beside a node; ``arguments`` are further flags."""
        node_info = self.processes[node].startup_info
        command = ["-m", "standins.target", "--service", service]
        command += ["--listen", "127.0.0.1:0", "--slots", str(slots)]
        command += ["--connections", str(slots * 7)]
        command += ["--announce", f"http://{node_info['admin']}/announce"]
        command += ["--node", f"http://{node_info['callers']}"]
        return self.start(f"target-{node}", command + (arguments or []))

    def run_command(
        self, node: str, *arguments: str, token: str = ROOT_TOKEN, text: str = ""
    ) -> subprocess.CompletedProcess[str]:
        """Run an operator's command against the admin listener of a node."""
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
        result = self.run_command(node, *arguments, "--json", text=text)
        if result.returncode:
            raise RuntimeError(
                f"command {arguments} gave an error: {result.stdout} {result.stderr}"
            )
        return json.loads(result.stdout)

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
        """Send one request to the caller listener of a node and read its response."""
        address = self.processes[node].startup_info["callers"]
        fields = list((headers or {}).items())
        if key:
            fields.append(("authorization", f"Bearer {key}"))
        return curio.run(request, address, method, path, fields, body, timeout)

    def control(self, address: str, settings: dict[str, Any]) -> Any:
        """Change control settings of the stand-in at an address.

        Returns:
            What the stand-in tells of its state.

        Raises:
            RuntimeError: If the stand-in did not accept them.
        """
        body = json.dumps(settings).encode()
        response = curio.run(request, address, "POST", "/control", [], body, 5.0)
        if response.status != 200:
            raise RuntimeError(f"control request to {address} failed: {response}")
        return json.loads(response.body)

    def wait_for(
        self, condition: Any, what: str, seconds: float = CONDITION_TIMEOUT_SECONDS
    ) -> Any:
        """Poll a condition until its value is true, and return the value.

        Args:
            condition: Called without arguments.
            what: Description of the condition for the error message.
            seconds: Timeout in seconds.

        Raises:
            RuntimeError: If the timeout expired first.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            value = condition()
            if value:
                return value
            time.sleep(POLL_INTERVAL_SECONDS)
        raise RuntimeError(f"condition not met within {seconds} s: {what}")

    def fleet_status(self, node: str) -> dict[str, Any]:
        """Return the status of each node, by its id, as one node sees the fleet."""
        status = self.run_json_command(node, "status")
        by_node: dict[str, Any] = {item["node"]: item for item in status["nodes"]}
        return by_node

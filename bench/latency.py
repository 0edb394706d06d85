"""Measures the latency that nodes add to a call, on real loopback sockets.

Compares direct calls to a target with the same calls through one node and through two
nodes, in the same run.

Run ``python -m bench.latency``.
"""

import argparse
import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

from standins.mesh import Mesh

RATE = 330.0
CONNECTIONS = 4
POLICY = """
team: bench
services:
  - {name: echo, slots: 200, connections: 1400}
  - {name: far, slots: 200, connections: 1400}
routes:
  - {name: near, path: /near, service: echo, idempotent: true, deadline: 5}
  - {name: far, path: /far, service: far, idempotent: true, deadline: 5}
accounts:
  - {name: load, rate: 1000000, burst: 1000000}
"""
PERCENTILES = (50.0, 99.0, 99.9)
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class CallSeries(NamedTuple):
    """One series of calls.

    Attributes:
        name: Path that the calls took.
        latencies: Seconds of each call, in ascending order.
        failed: Number of calls with another status than 200.
        cpu_seconds_by_node: Processor time of each node in seconds, by name.
        elapsed: Duration of the series in seconds.
    """

    name: str
    latencies: list[float]
    failed: int
    cpu_seconds_by_node: dict[str, float]
    elapsed: float

    def percentile(self, percent: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        index = min(len(self.latencies) - 1, int(len(self.latencies) * percent / 100))
        return self.latencies[index] * 1000


def read_response(sock: socket.socket) -> bool:
    """Read one response with a content length; return whether its status is 200."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += receive_bytes(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(body) < length:
        body += receive_bytes(sock)
    return head.startswith(b"HTTP/1.1 200")


def receive_bytes(sock: socket.socket) -> bytes:
    """Receive at least one byte.

    Raises:
        ConnectionError: If the peer closed the connection.
    """
    data = sock.recv(65536)
    if not data:
        raise ConnectionError(
            "peer closed the connection before the response was complete"
        )
    return data


def run_client(address: str, path: str, key: str, rate: float, seconds: float) -> None:
    """Call at a constant rate on one connection and print the latencies as JSON."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), 10)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    head = f"GET {path} HTTP/1.1\r\nhost: bench\r\n"
    head += f"authorization: Bearer {key}\r\n\r\n" if key else "\r\n"
    data = head.encode()
    latencies = []
    failed = 0
    start = time.perf_counter()
    for number in range(int(rate * seconds)):
        wait = start + number / rate - time.perf_counter()
        if wait > 0:
            time.sleep(wait)
        started_at = time.perf_counter()
        sock.sendall(data)
        failed += not read_response(sock)
        latencies.append(time.perf_counter() - started_at)
    print(json.dumps({"times": latencies, "failed": failed}))


def cpu_seconds(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def measure_series(
    mesh: Mesh,
    name: str,
    address: str,
    path: str,
    key: str,
    rate: float,
    seconds: float,
) -> CallSeries:
    """Run client processes that call at a total rate; return their latencies."""
    node_pids = {
        node: program.process.pid
        for node, program in mesh.processes.items()
        if node.startswith("n")
    }
    before = {node: cpu_seconds(pid) for node, pid in node_pids.items()}
    started_at = time.perf_counter()
    command = [sys.executable, "-m", "bench.latency", "--client", address, path]
    command += [str(rate / CONNECTIONS), str(seconds)]
    clients = [
        subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            text=True,
            env=os.environ | {"BENCH_KEY": key},
        )
        for _ in range(CONNECTIONS)
    ]
    latencies: list[float] = []
    failed = 0
    for client in clients:
        client_result = json.loads(client.communicate(timeout=seconds * 10 + 30)[0])
        latencies += client_result["times"]
        failed += client_result["failed"]
    elapsed = time.perf_counter() - started_at
    node_cpu_seconds = {
        node: cpu_seconds(pid) - before[node] for node, pid in node_pids.items()
    }
    return CallSeries(name, sorted(latencies), failed, node_cpu_seconds, elapsed)


def start_mesh(mesh: Mesh) -> str:
    """Start a log, two nodes and their targets; return an account key."""
    mesh.start_log()
    for node, service in (("n1", "echo"), ("n2", "far")):
        mesh.start_node(node, "a")
        mesh.start_target(node, service, 200, ["--service-time", "0"])
    mesh.wait_for(lambda: len(mesh.fleet_status("n1")) == 2, "two nodes")
    mesh.run_json_command("n1", "policy", "publish", "-", "--reason", "x", text=POLICY)
    issued = mesh.run_json_command(
        "n1", "key", "issue", "--team", "bench", "--account", "load", "--reason", "x"
    )
    key = str(issued["key"])
    for path in ("/near", "/far"):
        mesh.wait_for(lambda path=path: is_served(mesh, path, key), "calls are served")
    return key


def is_served(mesh: Mesh, path: str, key: str) -> bool:
    """Return whether a call to a path is answered with status 200."""
    return mesh.call("n1", path, key).status == 200


def print_series(all_series: list[CallSeries]) -> None:
    """Print the latencies of the series and the difference from direct calls."""
    direct = all_series[0]
    print(f"{'series':<26}{'calls':>7}{'failed':>7}" + "".join(
        f"{f'p{percent:g} ms':>10}{'added':>8}" for percent in PERCENTILES
    ) + f"{'node CPU ms/call':>18}")  # fmt: skip
    for series in all_series:
        line = f"{series.name:<26}{len(series.latencies):>7}{series.failed:>7}"
        for percent in PERCENTILES:
            value = series.percentile(percent)
            line += f"{value:>10.2f}{value - direct.percentile(percent):>8.2f}"
        cpu_ms_per_call = "/".join(
            f"{seconds / len(series.latencies) * 1000:.2f}"
            for seconds in series.cpu_seconds_by_node.values()
        )
        print(line + f"{cpu_ms_per_call:>18}")


def plot_series(all_series: list[CallSeries], path: str) -> None:
    """Plot the cumulative distribution of the latencies."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for series in all_series:
        shares = [
            (index + 1) / len(series.latencies)
            for index in range(len(series.latencies))
        ]
        axes.plot([time * 1000 for time in series.latencies], shares, label=series.name)
    axes.set_xscale("log")
    axes.set_xlabel("time of a call, ms")
    axes.set_ylabel("share of calls")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Measure and print the series, or run as one of the clients."""
    parser = argparse.ArgumentParser(prog="bench.latency", description=__doc__)
    parser.add_argument("--client", nargs=4, help=argparse.SUPPRESS)
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="duration of each series"
    )
    parser.add_argument(
        "--rate", type=float, default=RATE, help="calls/s of all clients"
    )
    parser.add_argument("--plot", help="SVG or PNG file for a plot of the latencies")
    options = parser.parse_args()
    if options.client:
        address, path, rate, seconds = options.client
        key = os.environ.get("BENCH_KEY", "")
        run_client(address, path, key, float(rate), float(seconds))
        return
    with Mesh(("a",)) as mesh:
        key = start_mesh(mesh)
        entry = mesh.processes["n1"].startup_info["callers"]
        direct = mesh.processes["target-n1"].startup_info["address"]
        routes = [
            ("direct to the target", direct, "/near", ""),
            ("through one node", entry, "/near", key),
            ("through two nodes", entry, "/far", key),
        ]
        all_series = [
            measure_series(
                mesh, name, address, path, series_key, options.rate, options.seconds
            )
            for name, address, path, series_key in routes
        ]
        print(f"bench.latency at {options.rate:g} calls/s, {CONNECTIONS} connections")
        print_series(all_series)
        if options.plot:
            plot_series(all_series, options.plot)
        memory = resident_bytes(mesh.processes["n1"].process.pid)
        print(f"resident memory of a node: {memory / 1e6:.0f} MB")


if __name__ == "__main__":
    main()

"""Measures the processor time of idle mesh nodes.

One process sends the heartbeats of all targets; nobody sends requests. Several rounds
alternate between the sources given, so that their figures can be compared although the
machine is shared. Instructions are those outside of the kernel; 0 if the system allows
no counter.

    python -m bench.idle --nodes 30 --seconds 10 --rounds 2 --sources src,build/base/src
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple
from unittest import mock

import curio

from bench.counters import InstructionCounter
from standins.caller import request
from tests import platform_harness
from tests.platform_harness import Platform, configuration

HEARTBEAT_SECONDS = 1.5
# Time after the last start until all nodes have read the hosts and chosen readers.
SETTLE_SECONDS = 4.0
ACCOUNT = {"name": "mill", "api_keys": ["k"], "rate_per_s": 50, "burst": 50}
NANOSECONDS_PER_SECOND = 1e9
QUARTILES = 4


def cpu_seconds(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    run_time = Path(f"/proc/{pid}/schedstat").read_text().split()[0]
    return int(run_time) / NANOSECONDS_PER_SECOND


def heartbeat(platform: Platform, name: str, service: str, sequence: int) -> bytes:
    """Return a heartbeat of the target of a host."""
    document = {
        "address": platform.address(name, "app"),
        "born": 1,
        "info": {"service": service, "version": "v1", "zone": "a", "capacity": 10},
        "status": {"phase": "ready", "sequence": sequence},
    }
    return json.dumps(document).encode()


async def send_heartbeats(
    platform: Platform, services: dict[str, str], seconds: float
) -> None:
    """Send the heartbeats of all targets, spread over each interval."""
    first = time.monotonic()
    interval = HEARTBEAT_SECONDS / len(services)
    names = list(services)
    sequence = 0
    while time.monotonic() < first + seconds:
        name = names[sequence % len(names)]
        body = heartbeat(
            platform, name, services[name], int(time.monotonic() * 1000) + sequence
        )
        path = f"/api/instances/i-{name}"
        try:
            await request(platform.address(name, "control"), "PUT", path, [], body)
        except OSError:
            # The node has not opened its listeners yet.
            pass
        sequence += 1
        await curio.sleep(max(0.0, first + sequence * interval - time.monotonic()))


def start_node(
    platform: Platform, name: str, service: str, source: str, profile: str
) -> int:
    """Start the node of a host from a source directory; return its process id.

    Args:
        platform: The platform.
        name: Name of the host.
        service: Service of its target.
        source: Directory that holds the package.
        profile: File for a profile of the node; empty for none.
    """
    path = platform.write_boot_file(name, service)
    profiler = ["-m", "cProfile", "-o", profile] if profile else []
    with (platform.work_dir / f"{name}.log").open("a") as log_file:
        process = subprocess.Popen(
            [sys.executable, *profiler, "-m", "carawaywheel", "node"],
            stdout=log_file,
            stderr=log_file,
            env=os.environ
            | {"CARAWAYWHEEL_BOOT": str(path), "PYTHONPATH": os.path.abspath(source)},
            text=True,
        )
    platform.register_process(name, process)
    return process.pid


class Usage(NamedTuple):
    """What one idle node uses in a second.

    Attributes:
        milliseconds: Processor time.
        instructions: Instructions outside of the kernel, in thousands.
    """

    milliseconds: float
    instructions: float


def measure(
    source: str, node_count: int, seconds: float, profile: str = ""
) -> dict[str, Usage]:
    """Return what each node uses while all are idle, by its name.

    Args:
        source: Directory that holds the package.
        node_count: Number of nodes.
        seconds: Time to measure.
        profile: File for a profile of the first node; empty for none.
    """
    with mock.patch.object(platform_harness, "HOSTS", node_count), Platform() as mesh:
        mesh.publish(configuration(1, tenants=[ACCOUNT]))
        services = {f"n{n}": ("desk", "yard")[n % 2] for n in range(node_count)}
        pids = {
            name: start_node(mesh, name, service, source, profile if not n else "")
            for n, (name, service) in enumerate(services.items())
        }
        settle_seconds = SETTLE_SECONDS + node_count / (os.cpu_count() or 1)
        curio.run(send_heartbeats, mesh, services, settle_seconds)
        counters = {name: InstructionCounter(pid) for name, pid in pids.items()}
        before = {name: cpu_seconds(pid) for name, pid in pids.items()}
        counted = {name: counter.read() for name, counter in counters.items()}
        started_at = time.monotonic()
        curio.run(send_heartbeats, mesh, services, seconds)
        elapsed = time.monotonic() - started_at
        return {
            name: Usage(
                1000 * (cpu_seconds(pid) - before[name]) / elapsed,
                (counters[name].read() - counted[name]) / 1000 / elapsed,
            )
            for name, pid in pids.items()
        }


def main() -> None:
    """Measure and print the processor time of idle nodes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--sources", default="src", help="directories, by commas")
    parser.add_argument("--profile", default="", help="file for that of one node")
    options = parser.parse_args()
    for _ in range(options.rounds):
        for source in options.sources.split(","):
            usages = measure(source, options.nodes, options.seconds, options.profile)
            if options.profile:
                del usages["n0"]
            print(f"{source}, a second and node:", flush=True)
            for index, unit in enumerate(Usage._fields):
                used = sorted(usage[index] for usage in usages.values())
                quartiles = statistics.quantiles(used, n=QUARTILES)
                print(
                    f"  {unit}: mean {statistics.mean(used):.2f}, quartiles "
                    f"{', '.join(f'{q:.2f}' for q in quartiles)}, "
                    f"maximum {used[-1]:.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()

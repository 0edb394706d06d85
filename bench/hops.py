"""Measures the processor time of a request through two mesh nodes.

Callers, targets and the platform are stand-ins on the loopback interface. With one
caller, each step finds the processor caches cold, as on a host that runs other work as
well; with several callers it does not.

    python -m bench.hops --seconds 5 --callers 8

With several directories of sources, the rounds alternate between them, and the ratios
to the first one are printed. Instructions are those outside of the kernel; 0 if the
system allows no counter.

    python -m bench.hops --rounds 3 --sources build/base/src,src
"""

import argparse
import os
import statistics
import time
from collections import Counter
from pathlib import Path

import curio

from bench.counters import InstructionCounter
from carawaywheel.pool import ConnectionPool
from tests.platform_harness import HOST, KEY, Platform, configuration

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
BODY = b"x" * 300
WARM_UP_SECONDS = 0.7
TARGET_OPTIONS = ("--work", "0.005", "--bytes", "5000")


Results = list[dict[str, tuple[float, int]]]


def cpu_seconds(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


async def send_all(address: str, seconds: float, callers: int) -> Counter[int]:
    """Send requests from several callers; return the number of each status.

    Each caller sends its next request after the response to the previous one.
    """
    statuses: Counter[int] = Counter()
    pool = ConnectionPool()
    end = time.monotonic() + seconds

    async def send() -> None:
        while time.monotonic() < end:
            headers = [
                (b"host", HOST.encode()),
                (b"x-attempt-id", os.urandom(8).hex().encode()),
                (b"x-deadline-ms", b"5000"),
                (b"authorization", f"Token {KEY}".encode()),
                (b"content-length", str(len(BODY)).encode()),
            ]
            response, _ = await pool.request(address, "POST", "/order/1", headers, BODY)
            statuses[response.status] += 1

    async with curio.TaskGroup() as group:
        for _ in range(callers):
            await group.spawn(send)
    return statuses


def measure(source: str, seconds: float, callers: int) -> dict[str, tuple[float, int]]:
    """Return milliseconds and instructions per request of each node, by its name.

    Args:
        source: Directory that holds the package.
        seconds: Time to send requests.
        callers: Callers that send at the same time.
    """
    os.environ["PYTHONPATH"] = os.path.abspath(source)
    with Platform() as platform:
        platform.publish(configuration(1))
        for name, service in (("entry", "desk"), ("target", "yard")):
            platform.start_host(name, service, *TARGET_OPTIONS)
        for name in platform.hosts:
            platform.wait_until_served(name, "/order/1")
        address = platform.address("entry", "outbound")
        curio.run(send_all, address, WARM_UP_SECONDS, callers)
        pids = {name: platform.processes[name].process.pid for name in platform.hosts}
        counters = {name: InstructionCounter(pid) for name, pid in pids.items()}
        time_before = {name: cpu_seconds(pid) for name, pid in pids.items()}
        before = {name: counter.read() for name, counter in counters.items()}
        statuses = curio.run(send_all, address, seconds, callers)
        request_count = sum(statuses.values())
        print(
            f"{source}: {request_count / seconds:.0f} requests/s, "
            f"statuses {dict(statuses)}"
        )
        result = {}
        for name, pid in pids.items():
            milliseconds = 1000 * (cpu_seconds(pid) - time_before[name]) / request_count
            instructions = (counters[name].read() - before[name]) // request_count
            print(
                f"node of the {name}: {milliseconds:.3f} ms and {instructions} "
                "instructions a request",
                flush=True,
            )
            result[name] = milliseconds, instructions
        return result


def print_ratios(source: str, base: Results, results: Results) -> None:
    """Print the ratios of the rounds of a source to those of the first one."""
    for name in base[0]:
        for index, unit in enumerate(("time", "instructions")):
            ratios = sorted(
                after[name][index] / (before[name][index] or 1)
                for before, after in zip(base, results, strict=True)
            )
            print(
                f"{source}, node of the {name}, {unit}: "
                f"{statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f})"
            )


def main() -> None:
    """Measure and print the processor time per request of each node."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--sources", default="src", help="directories, by commas")
    options = parser.parse_args()
    sources = options.sources.split(",")
    results: dict[str, Results] = {source: [] for source in sources}
    for _ in range(options.rounds):
        for source in sources:
            result = measure(source, options.seconds, options.callers)
            results[source].append(result)
    for source in sources[1:]:
        print_ratios(source, results[sources[0]], results[source])


if __name__ == "__main__":
    main()

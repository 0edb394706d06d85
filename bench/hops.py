"""Processor time of a request through two mesh nodes, between stand-ins on loopback.

With one caller each step finds the caches of the processor cold, as on a host that does
other work as well; with several callers it doesn't.

    python -m bench.hops --seconds 5 --callers 8
"""

import argparse
import os
import time
from collections import Counter
from pathlib import Path

import curio

from carawaywheel.pool import ConnectionPool
from tests.platform_harness import HOST, KEY, Platform, configuration

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
BODY = b"x" * 300
TARGET_OPTIONS = ("--work", "0.005", "--bytes", "5000")


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


async def send_all(address: str, seconds: float, callers: int) -> Counter[int]:
    """Send requests from several callers; return how often each status came."""
    statuses: Counter[int] = Counter()
    pool = ConnectionPool()
    until = time.monotonic() + seconds

    async def send() -> None:
        while time.monotonic() < until:
            headers = [
                (b"host", HOST.encode()),
                (b"x-attempt-id", os.urandom(8).hex().encode()),
                (b"x-deadline-ms", b"5000"),
                (b"authorization", f"Token {KEY}".encode()),
                (b"content-length", str(len(BODY)).encode()),
            ]
            answer, _ = await pool.request(address, "POST", "/order/1", headers, BODY)
            statuses[answer.status] += 1

    async with curio.TaskGroup() as group:
        for _ in range(callers):
            await group.spawn(send)
    return statuses


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--callers", type=int, default=8)
    options = parser.parse_args()
    with Platform() as platform:
        platform.publish(configuration(1))
        for name, service in (("entry", "desk"), ("target", "yard")):
            platform.start_host(name, service, *TARGET_OPTIONS)
        for name in platform.hosts:
            platform.wait_served(name, "/order/1")
        pids = {name: platform.processes[name].process.pid for name in platform.hosts}
        before = {name: cpu_seconds(pid) for name, pid in pids.items()}
        address = platform.address("entry", "outbound")
        statuses = curio.run(send_all, address, options.seconds, options.callers)
        total = sum(statuses.values())
        print(f"{total / options.seconds:.0f} requests/s, statuses {dict(statuses)}")
        for name, pid in pids.items():
            used = (cpu_seconds(pid) - before[name]) / total
            print(f"node of the {name}: {used * 1000:.3f} ms a request")


if __name__ == "__main__":
    main()

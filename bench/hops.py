"""Measures the processor time of a request through two mesh nodes.

Callers, targets and the platform are stand-ins on the loopback interface. With one
caller, each step finds the processor caches cold, as on a host that runs other work as
well; with several callers it does not.

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


def main() -> None:
    """Measure and print the processor time per request of each node."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--callers", type=int, default=8)
    options = parser.parse_args()
    with Platform() as platform:
        platform.publish(configuration(1))
        for name, service in (("entry", "desk"), ("target", "yard")):
            platform.start_host(name, service, *TARGET_OPTIONS)
        for name in platform.hosts:
            platform.wait_until_served(name, "/order/1")
        pids = {name: platform.processes[name].process.pid for name in platform.hosts}
        before = {name: cpu_seconds(pid) for name, pid in pids.items()}
        address = platform.address("entry", "outbound")
        statuses = curio.run(send_all, address, options.seconds, options.callers)
        request_count = sum(statuses.values())
        print(
            f"{request_count / options.seconds:.0f} requests/s, "
            f"statuses {dict(statuses)}"
        )
        for name, pid in pids.items():
            seconds_per_request = (cpu_seconds(pid) - before[name]) / request_count
            print(f"node of the {name}: {seconds_per_request * 1000:.3f} ms a request")


if __name__ == "__main__":
    main()

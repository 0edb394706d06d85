"""Measures memory and processor time of a node with many idle connections.

The connections are real sockets. Run ``python -m bench.connections``.
"""

import argparse
import socket
import time

from standins.mesh import Mesh

from .latency import cpu_seconds, resident_bytes

CONNECTION_COUNTS = (0, 750, 1350)
SETTLE_SECONDS = 2.0
IDLE_SECONDS = 5.0


def open_connections(address: str, count: int) -> list[socket.socket]:
    """Open connections and receive one response on each of them."""
    host, _, port = address.rpartition(":")
    sockets = []
    for _ in range(count):
        sock = socket.create_connection((host, int(port)), 5)
        sock.sendall(b"GET /nowhere HTTP/1.1\r\nhost: bench\r\n\r\n")
        sock.recv(4096)
        sockets.append(sock)
    return sockets


def main() -> None:
    """Measure all numbers of connections and print the table."""
    parser = argparse.ArgumentParser(prog="bench.connections", description=__doc__)
    parser.parse_args()
    print(f"{'connections':>11}{'resident MB':>13}{'KB each':>9}{'idle CPU %':>12}")
    base_bytes = 0
    for count in CONNECTION_COUNTS:
        with Mesh(("a",)) as mesh:
            mesh.start_log()
            node = mesh.start_node("n1", "a")
            time.sleep(SETTLE_SECONDS)
            sockets = open_connections(node.startup_info["callers"], count)
            time.sleep(SETTLE_SECONDS)
            before = cpu_seconds(node.process.pid)
            time.sleep(IDLE_SECONDS)
            cpu_used = cpu_seconds(node.process.pid) - before
            memory_bytes = resident_bytes(node.process.pid)
            base_bytes = base_bytes or memory_bytes
            kilobytes_each = (
                (memory_bytes - base_bytes) / 1024 / count if count else 0.0
            )
            cpu_percent = cpu_used / IDLE_SECONDS * 100
            print(
                f"{count:>11}{memory_bytes / 1e6:>13.1f}"
                f"{kilobytes_each:>9.1f}{cpu_percent:>12.2f}"
            )
            for sock in sockets:
                sock.close()


if __name__ == "__main__":
    main()

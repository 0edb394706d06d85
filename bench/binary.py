"""Check of the executable file: it serves as one process without a child.

``make binary`` runs it: ``python -m bench.binary dist/carawaywheel``.
"""

import argparse
import sys
import time
from pathlib import Path

from standins.mesh import Mesh

from .latency import resident_bytes

WATCH_SECONDS = 3.0
POLL_SECONDS = 0.05


class BinaryMesh(Mesh):
    """A mesh whose nodes run from the executable file."""

    def __init__(self, binary: Path) -> None:
        super().__init__(("a",))
        self.binary = str(binary.resolve())

    def node_command(self) -> list[str]:
        """Return the program that runs a node."""
        return [self.binary]


def child_process_ids(pid: int) -> str:
    """Return the process ids of the children of all threads of a process."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return " ".join((task / "children").read_text() for task in tasks).strip()


def main() -> int:
    """Start a node from the file, watch its children and ask for its status."""
    parser = argparse.ArgumentParser(prog="bench.binary", description=__doc__)
    parser.add_argument("binary", type=Path)
    options = parser.parse_args()
    with BinaryMesh(options.binary) as mesh:
        mesh.start_log()
        node = mesh.start_node("n1", "a")
        seen = set()
        end = time.monotonic() + WATCH_SECONDS
        while time.monotonic() < end:
            seen.add(child_process_ids(node.process.pid))
            time.sleep(POLL_SECONDS)
        served = mesh.call("n1", "/nowhere").status == 404
        memory = resident_bytes(node.process.pid)
    found = " ".join(seen).strip()
    size = options.binary.stat().st_size
    print(f"{options.binary}: {size / 1e6:.1f} MB, resident {memory / 1e6:.0f} MB")
    print(f"children while it served: {found or 'none'}; answers: {served}")
    return 0 if served and not found else 1


if __name__ == "__main__":
    sys.exit(main())

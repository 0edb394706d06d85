"""Checks that the executable file serves requests as one process without children.

``make binary`` runs ``python -m bench.binary dist/carawaywheel``.
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
        """Return the command that runs a node: the executable file."""
        return [self.binary]


def child_process_ids(pid: int) -> str:
    """Return the ids of the child processes of all threads of a process.

    The ids are separated by spaces.
    """
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return " ".join((task / "children").read_text() for task in tasks).strip()


def main() -> int:
    """Start a node from the file, watch for child processes and send it a request.

    Returns the exit status: 0 if the node served without a child process.
    """
    parser = argparse.ArgumentParser(prog="bench.binary", description=__doc__)
    parser.add_argument("binary", type=Path)
    options = parser.parse_args()
    with BinaryMesh(options.binary) as mesh:
        mesh.start_log()
        node = mesh.start_node("n1", "a")
        child_ids = set()
        end = time.monotonic() + WATCH_SECONDS
        while time.monotonic() < end:
            child_ids.add(child_process_ids(node.process.pid))
            time.sleep(POLL_SECONDS)
        served = mesh.call("n1", "/nowhere").status == 404
        memory_bytes = resident_bytes(node.process.pid)
    observed_children = " ".join(child_ids).strip()
    file_bytes = options.binary.stat().st_size
    print(
        f"{options.binary}: {file_bytes / 1e6:.1f} MB, "
        f"resident {memory_bytes / 1e6:.0f} MB"
    )
    print(f"children while it served: {observed_children or 'none'}; answers: {served}")
    return 0 if served and not observed_children else 1


if __name__ == "__main__":
    sys.exit(main())

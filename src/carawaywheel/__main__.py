"""Entry point of ``python -m carawaywheel``."""

import os
import signal
import sys

SETTINGS_FILE_VARIABLE = "CARAWAYWHEEL_BOOT"


def start() -> None:
    """Run the command line, or a mesh node if the platform started the process.

    A mesh node does not import the operators' commands, to save memory. SIGHUP waits
    until a node handles it, because by default it ends the process.
    """
    if sys.argv[1:2] == ["node"]:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    path = os.environ.get(SETTINGS_FILE_VARIABLE)
    if path and sys.argv[1:] == ["node"]:
        from .mesh.main import run_mesh_node

        sys.exit(run_mesh_node(path))
    from .main import run

    run()


if __name__ == "__main__":
    start()

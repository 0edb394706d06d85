"""Entry point of ``python -m carawaywheel``."""

import os
import sys

SETTINGS_FILE_VARIABLE = "CARAWAYWHEEL_BOOT"


def start() -> None:
    """Run the command line, or a node of the mesh where the platform starts one.

    The node imports none of the operators' commands, which would take memory.
    """
    path = os.environ.get(SETTINGS_FILE_VARIABLE)
    if path and sys.argv[1:] == ["node"]:
        from .mesh.main import run_mesh_node

        sys.exit(run_mesh_node(path))
    from .main import run

    run()


if __name__ == "__main__":
    start()

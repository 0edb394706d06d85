"""Starting a node of the mesh from the platform's settings file."""

import logging
import sys

import curio

from ..errors import SettingsError
from ..platform.boot import read_boot
from .node import MeshNode

EXIT_FAILED = 1
EXIT_USAGE = 2


def run_mesh_node(path: str) -> int:
    """Run a node until it stops; return the exit status."""
    # curio warns when a timeout ends at the same moment as what it waits for.
    logging.getLogger("curio").setLevel(logging.ERROR)
    try:
        settings = read_boot(path)
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_USAGE
    return curio.run(serve, MeshNode, settings, path)


async def serve(make_node, settings, path) -> int:  # type: ignore[no-untyped-def]
    """Run a node inside curio."""
    node = make_node(settings, path)
    await node.run()
    return EXIT_FAILED if node.failed else 0

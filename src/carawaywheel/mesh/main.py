"""Entry point of a mesh node, which reads the platform's settings file."""

import logging
import sys

import curio

from ..errors import SettingsError
from ..platform.settings import read_host_settings
from ..selector import LazySelector
from .node import MeshNode
from .settings import HostSettings

EXIT_USAGE = 2


def run_mesh_node(path: str) -> int:
    """Run a node until it stops; return the exit status."""
    # curio warns when a timeout expires in the same step in which its operation ends.
    logging.getLogger("curio").setLevel(logging.ERROR)
    try:
        settings = read_host_settings(path)
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_USAGE
    return int(curio.run(serve, settings, path, selector=LazySelector()))


async def serve(settings: HostSettings, path: str) -> int:
    """Run a node in the curio kernel until it stops; return the exit status."""
    await MeshNode(settings, path).run()
    return 0

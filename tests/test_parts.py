"""Errors in the parts of a node that is started with flags."""

import re
import signal

from standins.mesh import Mesh

from .failing_former_node import PARTS
from .mesh_harness import DOMAINS, HOSTS, start_mesh


class FailingMesh(Mesh):
    """A mesh in which one more node can be started with another program."""

    program = "carawaywheel"

    def node_command(self):
        return ["-m", self.program]


def test_errors_in_parts_stop_neither_node_nor_requests():
    """Guards against one unexpected error that takes the whole process down."""
    with FailingMesh(DOMAINS) as mesh:
        key = start_mesh(mesh)["key"]
        mesh.program = "tests.failing_former_node"
        node = mesh.start_node("s1", "west")
        mesh.start_target("s1", "mapdesk")
        failed = set()

        def have_all_failed():
            assert node.process.poll() is None
            text = node.stderr_path.read_text()
            failed.update(re.findall(r"part (\S+) failed", text))
            return len(failed) >= len(PARTS)

        mesh.wait_for(have_all_failed, "every part has failed once")
        assert node.process.poll() is None
        for name in ("s1", *(name for name, *_ in HOSTS)):
            mesh.wait_for(
                lambda name=name: mesh.call(name, "/maps", key).status == 200, name, 5.0
            )
        counters = mesh.fleet_status("n1")["s1"]["counters"]
        assert counters["part_failed"] >= len(PARTS)
        node.signal(signal.SIGTERM)
        assert node.process.wait(10.0) == 0

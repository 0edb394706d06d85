"""Test harness: a mesh of real processes in three failure domains."""

import socket

from standins.mesh import Mesh

DOMAINS = ("east", "middle", "west")
POLICY = """
team: okonkwo
services:
  - {name: mapdesk, slots: 20, connections: 140}
  - {name: dispatcher, slots: 20, connections: 140}
  - {name: reportline, slots: 5, connections: 50}
routes:
  - {name: maps, path: /maps, service: mapdesk, idempotent: true, deadline: 5}
  - {name: dispatch, path: /dispatch, methods: [POST, GET], service: dispatcher,
     importance: critical, deadline: 5}
  - {name: reports, path: /reports, methods: [POST, GET], service: reportline,
     importance: critical, deadline: 5}
  - {name: outages, path: /outages, service: reportline, access: open,
     importance: sheddable, idempotent: true, deadline: 5}
accounts:
  - {name: bibb, rate: 500, burst: 500}
"""
HOSTS = (
    ("n1", "east", "mapdesk", ["--calls", "/dispatch"]),
    ("n2", "middle", "dispatcher", ["--calls", "/reports"]),
    ("n3", "west", "reportline", []),
)


def start_mesh(mesh, hosts=HOSTS, options=None, policy=POLICY):
    """Start a log, nodes and targets, publish the policy and issue a key."""
    mesh.start_log()
    for name, domain, service, arguments in hosts:
        mesh.start_node(name, domain, options)
        mesh.start_target(
            name, service, arguments=["--service-time", "0.01"] + arguments
        )
    first = hosts[0][0]
    mesh.wait_for(lambda: are_all_ready(mesh, first, len(hosts)), "all nodes are known")
    mesh.run_json_command(
        first, "policy", "publish", "-", "--reason", "test", text=policy
    )
    issued = mesh.run_json_command(
        first, "key", "issue", "--team", "okonkwo", "--account", "bibb", "--reason", "t"
    )
    for name, *_ in hosts:
        mesh.wait_for(lambda name=name: is_served(mesh, name, issued["key"]), "served")
    return issued


def are_all_ready(mesh, node, count):
    """Return whether all nodes know each other and all targets are ready."""
    nodes = mesh.fleet_status(node).values()
    ready_nodes = [item for item in nodes if item["target_state"] == "ready"]
    return len(ready_nodes) == count == min(item["members"] for item in nodes)


def is_served(mesh, node, key):
    """Return whether a node serves a request with a key."""
    return mesh.call(node, "/maps", key).status == 200


def send_raw(address, data, timeout=3.0):
    """Send raw bytes and return what is received until the end of the connection."""
    host, _, port = address.rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), timeout) as sock:
        sock.sendall(data)
        try:
            while chunk := sock.recv(65536):
                received += chunk
        except TimeoutError:
            received += b"(still open)"
    return received


def new_mesh():
    """Return a mesh of three failure domains that is not started yet."""
    return Mesh(DOMAINS)

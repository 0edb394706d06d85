"""Helpers of the tests with faults: a mesh, callers in threads, and counts."""

import http.client
import json
import threading
import time
from concurrent.futures import Future
from contextlib import contextmanager
from typing import NamedTuple

import curio

from standins.caller import request
from standins.mesh import ROOT_TOKEN, Mesh

from .mesh_harness import DOMAINS, POLICY, start_mesh

ACCOUNT = "  - {name: mill, rate: 20, burst: 20}\n"
HOSTS = (
    ("n1", "east", "mapdesk", ["--calls", "/reports"]),
    ("n2", "middle", "dispatcher", []),
    ("n3", "west", "reportline", []),
    ("n4", "west", "mapdesk", ["--calls", "/reports"]),
)
NODES = tuple(name for name, *_ in HOSTS)
OPTIONS = {"summary-interval": "60", "log-retention": "12"}
CONNECTION_ERRORS = (OSError, http.client.HTTPException)


class ObservedResponse(NamedTuple):
    """What a caller saw; the status is 0 if no whole answer came."""

    status: int
    document: dict
    body: bytes
    started_at: float
    ended_at: float

    @property
    def ran(self):
        return self.document.get("ran", "")

    @property
    def reason(self):
        return self.document.get("reason", "")


class FaultyMesh(Mesh):
    """A mesh of four nodes; relays stand before n2 and between n2 and the log."""

    def __init__(self):
        super().__init__(DOMAINS)
        self.key = ""

    def start_all(self):
        self.relay = self.start("relay", ["-m", "standins.relay"])
        issued = start_mesh(self, HOSTS, OPTIONS, POLICY + ACCOUNT)
        self.key = issued["key"]
        return self

    def start_node(self, name, domain="a", options=None):
        settings = dict(options or {})
        if name == "n2":
            settings["peer-advertise"] = self.relay.startup_info["address"]
            if "log-relay" not in self.processes:
                arguments = ["-m", "standins.relay", "--upstream", self.log_address]
                self.start("log-relay", arguments)
            settings["log"] = self.processes["log-relay"].startup_info["address"]
        program = super().start_node(name, domain, settings)
        if name == "n2":
            self.set_peer_relay(upstream=program.startup_info["peers"])
        return program

    def restart(self, name):
        """Start a killed node again at its addresses, with an empty memory."""
        ready = self.processes[name].startup_info
        domain = dict((host, where) for host, where, *_ in HOSTS)[name]
        addresses = {
            "listen": ready["callers"],
            "peer-listen": ready["peers"],
            "admin-listen": ready["admin"],
        }
        self.start_node(name, domain, OPTIONS | addresses)

    def set_peer_relay(self, **behaviour):
        """Change the behaviour of the relay before n2."""
        self.control(self.relay.startup_info["control"], behaviour)

    def set_log_relay(self, **behaviour):
        """Change the behaviour of the relay between n2 and the log."""
        self.control(self.processes["log-relay"].startup_info["control"], behaviour)

    def set_log(self, **behaviour):
        self.control(self.log_address, behaviour)

    def set_target(self, node, **behaviour):
        self.control(self.target_address(node), behaviour)

    def target_address(self, node):
        return self.processes[f"target-{node}"].startup_info["address"]

    def target_counts(self, node):
        return json.loads(
            curio.run(request, self.target_address(node), "GET", "/counts").body
        )

    def run_count(self, name, node="n2"):
        return self.target_counts(node)["runs"].get(name, 0)

    def request(self, node, path, key=None, **options):
        key = self.key if key is None else key
        return send_request(
            self.processes[node].startup_info["callers"], path, key, **options
        )

    def request_in_thread(self, *arguments, **options):
        return run_in_thread(self.request, *arguments, **options)

    def dispatch(self, node, name, keyed=True, **options):
        headers = {"x-dispatch-id": name}
        if keyed:
            headers["idempotency-key"] = name
        return self.request(
            node, "/dispatch", method="POST", body=b"crew", headers=headers, **options
        )

    def dispatch_in_thread(self, *arguments, **options):
        return run_in_thread(self.dispatch, *arguments, **options)

    def issue_key(self, account):
        return self.run_json_command(
            "n1", "key", "issue", "--team", "okonkwo", "--account", account,
            "--reason", "test",
        )  # fmt: skip

    def policy_with_rate(self, reason):
        """Return the policy with one rate that depends on a text."""
        rate = 500 + sum(reason.encode()) % 97
        return (POLICY + ACCOUNT).replace("rate: 500", f"rate: {rate}")

    def policy_versions(self):
        """Return the version of the policy that each node enforces."""
        found = {}
        for node in NODES:
            admin = self.processes[node].startup_info["admin"]
            shown = send_request(admin, "/policies?team=okonkwo", ROOT_TOKEN).document
            versions = shown.get("versions", [{"version": None}])
            found[node] = versions[0]["version"]
        return found

    def log_end(self):
        path = "/streams/configuration/records?limit=100000"
        return json.loads(curio.run(request, self.log_address, "GET", path).body)[
            "next"
        ]

    def is_served(self, node, key=None):
        return self.request(node, "/maps", key).status == 200

    def wait_until_healthy(self):
        """Wait until each node serves each route, so that a test starts whole."""
        for node in NODES:
            for path in ("/maps", "/dispatch", "/reports"):
                self.wait_for(
                    lambda node=node, path=path: self.request(node, path).status == 200,
                    f"{node} serves {path}",
                    8.0,
                )

    @contextmanager
    def log_down(self):
        self.set_log(down=True)
        try:
            yield
        finally:
            self.set_log(down=False)

    @contextmanager
    def peer_relay_fault(self, **behaviour):
        usual = {
            name: False if value is True else 0 for name, value in behaviour.items()
        }
        self.set_peer_relay(**behaviour)
        try:
            yield
        finally:
            self.set_peer_relay(**usual)

    @contextmanager
    def slow_target(self, node, seconds):
        self.set_target(node, service_time=seconds)
        try:
            yield
        finally:
            self.set_target(node, service_time=0.01)

    def wait_for_run(self, name, node="n2"):
        self.wait_for(lambda: self.run_count(name, node), f"{name} runs", 5.0)


def send_request(
    address,
    path,
    key="",
    method="GET",
    headers=None,
    body=None,
    timeout=8.0,
    connection=None,
):
    """Send one request and read its answer; an open connection may be given."""
    used = connection or http.client.HTTPConnection(address, timeout=timeout)
    fields = dict(headers or {})
    if key:
        fields["authorization"] = f"Bearer {key}"
    began = time.monotonic()
    try:
        used.request(method, path, body, fields)
        answer = used.getresponse()
        status, content = answer.status, answer.read()
    except CONNECTION_ERRORS:
        status, content = 0, b""
    finally:
        if connection is None:
            used.close()
    return ObservedResponse(
        status, as_document(content), content, began, time.monotonic()
    )


def as_document(content):
    try:
        document = json.loads(content)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def run_in_thread(function, *arguments, **options):
    """Call a function in a thread and return its future."""
    future = Future()

    def run():
        try:
            future.set_result(function(*arguments, **options))
        except BaseException as error:
            future.set_exception(error)

    threading.Thread(target=run, daemon=True).start()
    return future


def send_continuously(mesh, node, key, seconds, pause=0.0):
    """Send requests one after the other and return all replies."""
    replies = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        replies.append(mesh.request(node, "/dispatch", key, timeout=3.0))
        time.sleep(pause)
    return replies


def max_rate_excess(replies, rate, burst):
    """Return by how many requests an account got more than its rate, at the worst.

    A request was admitted at some time between its start and its end, so only an
    excess that no such times explain is counted.
    """
    taken = sorted((r.started_at, r.ended_at) for r in replies)
    worst = -float(burst)
    for first in range(len(taken)):
        last_end = 0.0
        for count, (_, ended) in enumerate(taken[first:], 1):
            last_end = max(last_end, ended)
            worst = max(worst, count - burst - rate * (last_end - taken[first][0]))
    return worst

"""Harness of the fault tests: a mesh with relays, and callers in threads."""

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
NODE_OPTIONS = {"summary-interval": "60", "log-retention": "12"}
CONNECTION_ERRORS = (OSError, http.client.HTTPException)


class ObservedResponse(NamedTuple):
    """A response as a caller saw it; the status is 0 if no complete one arrived."""

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
    """A mesh of four nodes, with relays in front of n2 and between n2 and the log.

    The relay in front of n2 carries its peer traffic, both TCP and UDP.
    """

    def __init__(self):
        super().__init__(DOMAINS)
        self.key = ""

    def start_all(self):
        self.relay = self.start("relay", ["-m", "standins.relay"])
        issued = start_mesh(self, HOSTS, NODE_OPTIONS, POLICY + ACCOUNT)
        self.key = issued["key"]
        return self

    def start_node(self, name, domain="a", options=None):
        node_options = dict(options or {})
        if name == "n2":
            node_options["peer-advertise"] = self.relay.startup_info["address"]
            if "log-relay" not in self.processes:
                arguments = ["-m", "standins.relay", "--upstream", self.log_address]
                self.start("log-relay", arguments)
            node_options["log"] = self.processes["log-relay"].startup_info["address"]
        node = super().start_node(name, domain, node_options)
        if name == "n2":
            self.set_peer_relay(upstream=node.startup_info["peers"])
        return node

    def restart(self, name):
        """Start a killed node again at the same addresses; it kept no state."""
        former = self.processes[name].startup_info
        domain = dict((node, domain) for node, domain, *_ in HOSTS)[name]
        addresses = {
            "listen": former["callers"],
            "peer-listen": former["peers"],
            "admin-listen": former["admin"],
        }
        self.start_node(name, domain, NODE_OPTIONS | addresses)

    def set_peer_relay(self, **settings):
        """Change settings of the relay in front of n2."""
        self.control(self.relay.startup_info["control"], settings)

    def set_log_relay(self, **settings):
        """Change settings of the relay between n2 and the log."""
        self.control(self.processes["log-relay"].startup_info["control"], settings)

    def set_log(self, **settings):
        self.control(self.log_address, settings)

    def set_target(self, node, **settings):
        self.control(self.target_address(node), settings)

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
        """Return the policy with a rate derived from the reason of its change."""
        rate = 500 + sum(reason.encode()) % 97
        return (POLICY + ACCOUNT).replace("rate: 500", f"rate: {rate}")

    def policy_versions(self):
        """Return the version of the policy that each node enforces."""
        by_node = {}
        for node in NODES:
            admin = self.processes[node].startup_info["admin"]
            document = send_request(
                admin, "/policies?team=okonkwo", ROOT_TOKEN
            ).document
            versions = document.get("versions", [{"version": None}])
            by_node[node] = versions[0]["version"]
        return by_node

    def log_end(self):
        path = "/streams/configuration/records?limit=100000"
        return json.loads(curio.run(request, self.log_address, "GET", path).body)[
            "next"
        ]

    def is_served(self, node, key=None):
        return self.request(node, "/maps", key).status == 200

    def wait_until_healthy(self):
        """Wait until each node serves each route, after the faults of earlier tests."""
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
    def peer_relay_fault(self, **settings):
        fault_free = {
            name: False if value is True else 0 for name, value in settings.items()
        }
        self.set_peer_relay(**settings)
        try:
            yield
        finally:
            self.set_peer_relay(**fault_free)

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
    """Send one request and read its response, on an open connection if given."""
    active = connection or http.client.HTTPConnection(address, timeout=timeout)
    fields = dict(headers or {})
    if key:
        fields["authorization"] = f"Bearer {key}"
    started_at = time.monotonic()
    try:
        active.request(method, path, body, fields)
        response = active.getresponse()
        status, content = response.status, response.read()
    except CONNECTION_ERRORS:
        status, content = 0, b""
    finally:
        if connection is None:
            active.close()
    return ObservedResponse(
        status, decode_object(content), content, started_at, time.monotonic()
    )


def decode_object(content):
    try:
        document = json.loads(content)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def run_in_thread(function, *arguments, **options):
    """Call a function in a thread and return a future of its result."""
    future = Future()

    def run():
        try:
            future.set_result(function(*arguments, **options))
        except BaseException as error:
            future.set_exception(error)

    threading.Thread(target=run, daemon=True).start()
    return future


def send_continuously(mesh, node, key, seconds, pause=0.0):
    """Send requests for some seconds, one after the other; return all responses."""
    responses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        responses.append(mesh.request(node, "/dispatch", key, timeout=3.0))
        time.sleep(pause)
    return responses


def max_rate_excess(responses, rate, burst):
    """Return the largest number of requests beyond rate and burst in any window.

    A request was admitted at an unknown time between its start and its end, so each
    window ends with the latest end of its requests, which counts the fewest as excess.
    """
    spans = sorted((r.started_at, r.ended_at) for r in responses)
    max_excess = -float(burst)
    for first in range(len(spans)):
        last_end = 0.0
        for count, (_, ended_at) in enumerate(spans[first:], 1):
            last_end = max(last_end, ended_at)
            max_excess = max(
                max_excess, count - burst - rate * (last_end - spans[first][0])
            )
    return max_excess

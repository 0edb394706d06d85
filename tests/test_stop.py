"""Planned stops of a node that is started with flags, under load."""

import base64
import http.client
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import NamedTuple

import pytest

from carawaywheel.records import decode
from carawaywheel.slotrecords import SlotClaim, SlotRelease
from standins.mesh import FLEET_SECRET, ROOT_TOKEN, Mesh
from standins.pipeliner import PipeliningClient

from .fault_harness import CONNECTION_ERRORS, run_in_thread, send_request
from .mesh_harness import new_mesh, start_mesh

proves = pytest.mark.proves

GRACE_SECONDS = 8
SENDERS = 12


@pytest.fixture(scope="module")
def shared():
    with new_mesh() as mesh:
        mesh.key = start_mesh(mesh)["key"]
        yield mesh


@pytest.fixture
def node(shared):
    """A node of its own with a slow target, to be stopped by the test."""
    options = {"stop-grace": str(GRACE_SECONDS), "leave-wait": "0.6"}
    managed = shared.start_node("s1", "west", options)
    arguments = ["--service-time", "1.5", "--calls", "/dispatch"]
    shared.start_target("s1", "mapdesk", arguments=arguments)
    shared.wait_for(
        lambda: shared.call("s1", "/dispatch", shared.key).status == 200, ""
    )
    shared.wait_for(
        lambda: shared.fleet_status("s1")["s1"]["target_state"] == "ready", "ready"
    )
    yield managed
    for name in ("s1", "target-s1"):
        shared.processes.pop(name).stop()
    shared.control(shared.log_address, {"down": False, "delay": 0.0})


class LostRequest(NamedTuple):
    """A request that got no answer.

    Attributes:
        dispatch_id: Id by which its target counts it.
        error: What the client saw.
        is_first: Whether it was the first request on its connection.
    """

    dispatch_id: str
    error: str
    is_first: bool


class Sender(threading.Thread):
    """Sends requests until the node refuses connections; keeps what came of each.

    The first request on a connection is sent ``pause`` seconds after it was opened.

    Attributes:
        unread: A lost request, the first on its connection, after which the node
            refused connections; the kernel may have reset it before it was accepted,
            also before connect() returned and anything was sent.
    """

    def __init__(
        self, address, key, method="POST", path="/dispatch", body=b"crew", pause=0.0
    ):
        super().__init__(daemon=True)
        self.address = address
        self.pause = pause
        self.arguments = (method, path, body)
        self.key = key
        self.answers = []
        self.lost = []
        self.unread = None
        self.start()

    def run(self):
        end = time.monotonic() + 3 * GRACE_SECONDS
        while time.monotonic() < end:
            connection = http.client.HTTPConnection(self.address, timeout=8.0)
            try:
                connection.connect()
            except ConnectionRefusedError:
                if self.lost and self.lost[-1] is self.unread:
                    self.lost.pop()
                return
            except ConnectionResetError as error:
                self.lost.append(LostRequest("", repr(error), True))
                self.unread = self.lost[-1]
                continue
            except OSError as error:
                self.lost.append(LostRequest("", repr(error), False))
                continue
            self.unread = None
            time.sleep(self.pause)
            self.send_until_closed(connection)

    def send_until_closed(self, connection):
        """Send requests on one connection until the node announces to close it."""
        connection.auto_open = 0
        is_first = True
        while connection.sock is not None:
            dispatch_id = secrets.token_hex(8)
            headers = {"authorization": f"Bearer {self.key}"}
            try:
                connection.request(
                    *self.arguments, {**headers, "x-dispatch-id": dispatch_id}
                )
                response = connection.getresponse()
                body = response.read()
            except CONNECTION_ERRORS as error:
                self.lost.append(LostRequest(dispatch_id, repr(error), is_first))
                self.unread = self.lost[-1] if is_first else None
                return
            is_first = False
            fields = {name.lower(): value for name, value in response.getheaders()}
            self.answers.append((response.status, fields, body))


def assert_none_lost(shared, senders):
    """Check that a stop has lost no request that its node could have read.

    The kernel resets a connection that a client opens between the last accept and the
    close of the listening socket. There is one such moment in a stop.
    """
    assert [lost for sender in senders for lost in sender.lost] == []
    unread = [sender.unread for sender in senders if sender.unread]
    target = shared.processes["target-n2"].startup_info["address"]
    runs = send_request(target, "/counts").document["runs"]
    assert len(unread) <= 1
    assert not [lost for lost in unread if lost.dispatch_id in runs]


def stop_under_load(node, senders):
    """Stop a node while senders send; return the seconds until it has ended."""
    time.sleep(0.3)
    started_at = time.monotonic()
    node.signal(signal.SIGTERM)
    assert node.process.wait(3 * GRACE_SECONDS) == 0
    seconds = time.monotonic() - started_at
    for sender in senders:
        sender.join(3 * GRACE_SECONDS)
    return seconds


def test_stop_under_load_refuses_new_requests_and_cuts_off_none(shared, node):
    """Guards against a stop without end whose end cuts off accepted requests."""
    target = shared.processes["target-n2"].startup_info["address"]
    shared.control(target, {"service_time": 0.2})
    address = node.startup_info["callers"]
    senders = [Sender(address, shared.key) for _ in range(SENDERS)]
    seconds = stop_under_load(node, senders)
    shared.control(target, {"service_time": 0.01})
    assert_none_lost(shared, senders)
    answers = [item for sender in senders for item in sender.answers]
    refused = [item for item in answers if item[0] != 200]
    assert len(answers) > len(refused) > 0
    for status, fields, body in refused:
        assert status == 503 and fields["connection"] == "close"
        assert int(fields["retry-after"]) >= 1
        assert json.loads(body)["ran"] == "not_run"
        assert json.loads(body)["reason"] == "shutting_down"
    assert seconds < 3.0


def test_client_that_has_just_connected_when_a_node_stops_gets_an_answer(shared, node):
    """Guards against a connection that is closed before its first request."""
    address = node.startup_info["callers"]
    senders = [Sender(address, shared.key, pause=0.08) for _ in range(SENDERS)]
    stop_under_load(node, senders)
    assert_none_lost(shared, senders)


def test_running_request_and_its_calls_end_while_new_ones_are_refused(shared, node):
    """Guards against calls of a running request that a stop refuses."""
    running = run_in_thread(shared.call, "s1", "/maps", shared.key)
    entered = [run_in_thread(shared.call, "n1", "/maps", shared.key) for _ in range(6)]
    senders = [Sender(node.startup_info["callers"], shared.key) for _ in range(4)]
    seconds = stop_under_load(node, senders)
    assert seconds < 4.0
    for future in [running, *entered]:
        response = future.result(10)
        assert response.status == 200 and response.complete
        calls = json.loads(response.body)["calls"]
        assert [item["status"] for item in calls] == [200]


def test_streamed_response_ends_whole_while_new_requests_are_refused(shared, node):
    """Guards against a download that the end of a stop under load truncates."""
    connection = http.client.HTTPConnection(node.startup_info["callers"], timeout=20.0)
    fields = {"authorization": f"Bearer {shared.key}"}
    connection.request("GET", "/maps?size=20000000", None, fields)
    response = connection.getresponse()
    size = len(response.read(100_000))
    senders = [Sender(node.startup_info["callers"], shared.key) for _ in range(4)]
    node.signal(signal.SIGTERM)
    for _ in range(25):
        time.sleep(0.1)
        size += len(response.read(100_000))
    size += len(response.read())
    assert size == 20_000_000
    assert node.process.wait(3.0) == 0
    assert_none_lost(shared, senders)


def test_requests_behind_the_last_response_do_not_cut_it_off(shared, node):
    """Guards against a reset by unread input of a client that reads slowly."""
    head = "GET /maps?size=400000 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer "
    head += f"{shared.key}\r\n\r\n"
    with PipeliningClient(node.startup_info["callers"], pause=0.012) as client:
        client.send(head.encode())
        time.sleep(0.2)
        node.signal(signal.SIGTERM)
        time.sleep(0.2)
        client.send(head.encode(), head.encode())
        responses = client.read_responses()
        assert [(item.size, item.complete) for item in responses] == [(400_000, True)]
        assert responses[0].closes and client.is_at_end()
    assert node.process.wait(3.0) == 0


def test_request_whose_body_comes_after_the_intake_ended_is_refused(shared, node):
    """Guards against a slow body that runs in the last moment or holds up the stop."""
    host, _, port = node.startup_info["callers"].rpartition(":")
    head = "POST /dispatch HTTP/1.1\r\nhost: a\r\nauthorization: Bearer "
    head += f"{shared.key}\r\nx-dispatch-id: late\r\ncontent-length: 4\r\n\r\n"
    running = run_in_thread(shared.call, "s1", "/maps", shared.key)
    with (
        socket.create_connection((host, int(port)), 5.0) as late,
        socket.create_connection((host, int(port)), 5.0) as never,
    ):
        late.sendall(head.encode())
        never.sendall(head.encode())
        time.sleep(0.2)
        node.signal(signal.SIGTERM)
        time.sleep(0.9)
        late.sendall(b"crew")
        received = late.recv(65536)
        assert received.startswith(b"HTTP/1.1 503") and b'"not_run"' in received
        assert node.process.wait(5.0) == 0
    assert running.result(5).status == 200
    counts = send_request(
        shared.processes["target-n2"].startup_info["address"], "/counts"
    ).document
    assert "late" not in counts["runs"]


def test_change_accepted_before_a_stop_is_written_and_answered(shared, node):
    """Guards against an operator's change whose outcome a stop hides."""
    shared.control(shared.log_address, {"delay": 1.5})
    body = json.dumps(
        {"team": "okonkwo", "key_id": "57a900000000aaaa", "digest": "0" * 64,
         "account": "bibb", "reason": "test"}
    ).encode()  # fmt: skip
    admin = node.startup_info["admin"]
    options = {"method": "POST", "body": body}
    change = run_in_thread(send_request, admin, "/keys", ROOT_TOKEN, **options)
    time.sleep(0.2)
    node.signal(signal.SIGTERM)
    time.sleep(1.0)
    late = send_request(admin, "/keys", ROOT_TOKEN, **options)
    assert late.status == 503 and late.document["ran"] == "not_run"
    assert change.result(10).document["result"] == "accepted"
    assert node.process.wait(GRACE_SECONDS) == 0


def test_operators_who_keep_asking_do_not_hold_up_a_stop(shared, node):
    """Guards against admin requests that a stop takes until its end cuts them off."""
    path = "/fleet/status"
    admin = node.startup_info["admin"]
    senders = [Sender(admin, ROOT_TOKEN, "GET", path, None) for _ in range(6)]
    seconds = stop_under_load(node, senders)
    assert_none_lost(shared, senders)
    assert seconds < 3.0


@proves("I11", "node: stop", "log down")
@proves("I11", "node: stop", "log slow or forgetting")
@pytest.mark.parametrize("fault", [{"down": True}, {"delay": 5.0}])
def test_log_that_does_not_answer_delays_a_stop_within_the_grace(shared, node, fault):
    """Guards against writes to the log that hold a process beyond its grace time."""
    shared.control(shared.log_address, fault)
    assert stop_under_load(node, []) < GRACE_SECONDS + 1.0


def test_signals_within_a_stop_change_nothing(shared, node):
    """Guards against a second signal that ends the requests in flight."""
    running = run_in_thread(shared.call, "s1", "/maps", shared.key)
    time.sleep(0.2)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        node.signal(number)
        time.sleep(0.15)
    assert running.result(10).status == 200
    assert node.process.wait(GRACE_SECONDS) == 0


def slot_records(mesh):
    """Return the newest claim or release of each slot in the log."""
    path = "/streams/shares/records?limit=100000"
    document = send_request(mesh.log_address, path).document
    newest = {}
    for _, data in document["records"]:
        record = decode(base64.b64decode(data), FLEET_SECRET.encode())
        if isinstance(record, SlotClaim | SlotRelease):
            newest[record.slot, record.domain] = record
    return newest


def test_released_slots_stay_released_until_the_end_of_a_stop():
    """Guards against rates that are missing after a stop until a lease runs out."""
    with Mesh() as mesh:
        mesh.start_log()
        node = mesh.start_node("a1", options={"leave-wait": "3"})
        mesh.wait_for(lambda: slot_records(mesh), "the node claims slots")
        node.signal(signal.SIGTERM)
        assert node.process.wait(GRACE_SECONDS) == 0
        kinds = [type(record).__name__ for record in slot_records(mesh).values()]
        assert set(kinds) == {"SlotRelease"}


def test_requests_that_did_not_run_before_a_stop_may_be_repeated(shared, node):
    """Guards against a claim that a stop leaves behind for a request that never ran."""

    def dispatch(name, index, **headers):
        address = shared.processes[name].startup_info["callers"]
        fields = {"idempotency-key": f"stop-{index}", **headers}
        return send_request(
            address, "/dispatch", shared.key, "POST", fields, b"crew", 8.0
        )

    shared.control(shared.log_address, {"delay": 0.4})
    deadline = {"x-deadline-ms": "600"}
    futures = [run_in_thread(dispatch, "s1", index, **deadline) for index in range(8)]
    assert {future.result(10).ran for future in futures} == {"not_run"}
    node.signal(signal.SIGTERM)
    assert node.process.wait(GRACE_SECONDS) == 0
    shared.control(shared.log_address, {"delay": 0.0})
    repeated = [dispatch("n1", index).status for index in range(8)]
    assert repeated == [200] * 8


def test_stop_before_the_start_is_complete_ends_with_success(shared):
    """Guards against signals that kill a node while it reads the log at its start."""
    with socket.create_server(("127.0.0.1", 0)) as silent_log:
        silent_log.settimeout(10.0)
        address = "{}:{}".format(*silent_log.getsockname())
        process = subprocess.Popen(
            [sys.executable, "-m", "carawaywheel", "node", "--node-id", "s2",
             "--domain", "west", "--domains", "west", "--log", address],
            env=os.environ | {"CARAWAYWHEEL_FLEET_SECRET": FLEET_SECRET},
            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL,
        )  # fmt: skip
        connection, _ = silent_log.accept()
        with connection:
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            output, _ = process.communicate(timeout=10.0)
    assert process.returncode == 0 and output == b""

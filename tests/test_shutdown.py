"""Graceful stops of mesh nodes, as callers and targets see them."""

import http.client
import os
import signal
import socket
import threading
import time
from typing import NamedTuple

import pytest

from carawaywheel.mesh.shutdown import schedule_stop
from standins.pipeliner import PipeliningClient

from .platform_harness import HOST, KEY, Platform, configuration, route, wait

GRACE_SECONDS = 6.0
# Calls that the node lets its target of ten slots run at the same time.
USABLE_SLOTS = 9


class Sent(NamedTuple):
    """A request that a caller has sent.

    Attributes:
        path: Its path, which no other request has.
        at: Unix time in seconds.
        status: Status of the response; 0 if the connection was closed without one.
        headers: Its headers.
    """

    path: str
    at: float
    status: int
    headers: dict[str, str]


class Caller:
    """Sends requests one after another, on one connection as long as it stays open.

    Attributes:
        sent: Requests that were sent, with their responses.
    """

    def __init__(self, address, prefix):
        self.prefix = prefix
        self.sent = []
        self.connection = http.client.HTTPConnection(address, timeout=10.0)
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        """Send requests until the node no longer accepts connections."""
        while self.is_connected():
            self.send(f"{self.prefix}{len(self.sent)}")

    def is_connected(self):
        """Return whether the connection is open, or could be opened again."""
        try:
            if self.connection.sock is None:
                self.connection.connect()
        except OSError:
            return False
        return True

    def send(self, path):
        """Send one request and read its response."""
        sent_at, status, received = time.time(), 0, {}
        headers = {"host": HOST, "authorization": f"Token {KEY}"}
        headers |= {"x-attempt-id": os.urandom(8).hex(), "x-deadline-ms": "5000"}
        try:
            self.connection.request("POST", path, b"x", headers)
            response = self.connection.getresponse()
            response.read()
            status = response.status
            received = {name.lower(): value for name, value in response.getheaders()}
        except (OSError, http.client.HTTPException):
            self.connection.close()
        self.sent.append(Sent(path, sent_at, status, received))


def start_callers(platform, name, count):
    """Start callers of a node."""
    address = platform.address(name, "outbound")
    return [Caller(address, f"/order/{number}-") for number in range(count)]


def all_sent(callers):
    """Return the requests of callers, which must have ended."""
    for caller in callers:
        caller.thread.join(GRACE_SECONDS)
    return [sent for caller in callers for sent in caller.sent]


@pytest.fixture
def platform():
    with Platform() as platform:
        routes = [
            route("read", "idempotent", "desk", 1, timeout_s=9.0),
            route("order", "non_idempotent", "yard", 0, timeout_s=9.0),
            route("bundle", "upload", "yard", 1, timeout_s=9.0),
            route("inner", "idempotent", "yard", 2),
        ]
        platform.publish(configuration(3, routes))
        platform.start_host("h1", "desk")
        platform.start_host("h2", "yard")
        platform.wait_until_served("h1", "/inner/x")
        platform.wait_until_served("h2", "/read/x")
        yield platform


def stop(platform, name):
    """Stop a node and wait until it has exited within the grace time."""
    platform.processes[name].signal(signal.SIGTERM)
    assert platform.processes[name].process.wait(GRACE_SECONDS) == 0


def test_request_that_outlasts_the_grace_time_is_logged(platform):
    platform.configure_target("h2", work=9.0)
    platform.send_in_background("h1", "/order/1", "POST", deadline_ms=9000)
    (run,) = platform.wait_for(lambda: platform.runs("h2", "/order/1"), "it runs")
    stop(platform, "h1")
    (line,) = platform.log_lines("h1", "cut_off")
    assert line["request"] == run["headers"]["x-attempt-id"]
    assert line["ran"] == "unknown"


def test_stop_under_load_cuts_off_no_request_that_was_passed_on(platform):
    platform.configure_target("h2", work=0.4)
    callers = start_callers(platform, "h1", 4)
    platform.wait_for(lambda: all(caller.sent for caller in callers), "all are served")
    stop(platform, "h1")
    ran = {run["path"] for run in platform.runs("h2", "/order/")}
    unserved = [sent for sent in all_sent(callers) if sent.status != 200]
    assert [sent for sent in unserved if sent.path in ran] == []


def test_stopping_node_refuses_new_requests_and_exits_when_idle(platform):
    """Otherwise callers that keep sending hold it up until the grace time is over."""
    schedule = schedule_stop(GRACE_SECONDS)
    platform.configure_target("h2", work=schedule.refuse_after + 0.5)
    last = platform.send_in_background("h1", "/bundle/1", "POST", b"x")
    platform.wait_for(lambda: platform.runs("h2", "/bundle/1"), "it runs")
    platform.configure_target("h2", work=0.0)
    callers = start_callers(platform, "h1", 4)
    stop(platform, "h1")
    stopped = time.time()
    requests = all_sent(callers)
    (begun,) = platform.log_lines("h1", "stop")
    assert last.result(8.0).status == 200
    assert stopped - begun["time"] < schedule.refuse_after + 1.5
    announced = [sent for sent in requests if sent.at < begun["time"] + 2.0]
    assert {sent.status for sent in announced} == {200}
    refused = [sent for sent in requests if sent.status == 503]
    assert refused
    ran = {run["path"] for run in platform.runs("h2", "/order/")}
    for sent in refused:
        assert sent.path not in ran
        assert 1.0 <= float(sent.headers["retry-after"]) <= 2.0
        assert sent.headers["connection"] == "close"


def test_calls_for_requests_in_flight_are_served_by_a_stopping_node(platform):
    call_delay = schedule_stop(GRACE_SECONDS).refuse_after + 0.5
    platform.configure_target(
        "h1", call=f"{HOST}/inner/deep", call_delay=call_delay, work=0.1
    )
    response = platform.send_in_background("h2", "/read/1", deadline_ms=9000)
    platform.wait_for(lambda: platform.runs("h1", "/read/1"), "it runs")
    stop(platform, "h1")
    assert response.result(8.0).status == 200
    assert len(platform.runs("h2", "/inner/deep")) == 1


def test_large_response_is_fetched_from_a_stopping_node(platform):
    refuse_after = schedule_stop(GRACE_SECONDS).refuse_after
    platform.configure_target("h2", work=refuse_after + 0.3, bytes=1_500_000)
    response = platform.send_in_background("h1", "/bundle/1", "POST", b"x")
    platform.wait_for(lambda: platform.runs("h2", "/bundle/1"), "it runs")
    platform.processes["h2"].signal(signal.SIGTERM)
    wait(refuse_after)
    platform.processes["h1"].signal(signal.SIGSTOP)
    wait(0.8)
    platform.processes["h1"].signal(signal.SIGCONT)
    result = response.result(8.0)
    assert result.status == 200 and result.complete
    assert platform.processes["h2"].process.wait(GRACE_SECONDS) == 0


def open_raw_connection(platform, name, receive_buffer=0):
    """Return a socket that is connected to the listener for callers of a node."""
    host, port = platform.address(name, "outbound").split(":")
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.settimeout(10.0)
    sock.connect((host, int(port)))
    return sock


def request_head(method, path, *fields):
    """Return the head of a request without a connection header."""
    lines = [f"{method} {path} HTTP/1.1", f"host: {HOST}", "x-deadline-ms: 9000"]
    lines += [f"x-attempt-id: {os.urandom(8).hex()}", f"authorization: Token {KEY}"]
    return "\r\n".join([*lines, *fields, "", ""]).encode()


def receive_all(sock):
    """Return what a socket receives until the end of the connection or a reset."""
    received = b""
    try:
        while data := sock.recv(65536):
            received += data
    except ConnectionError:
        pass
    return received


def test_upload_whose_body_ends_after_the_announcement_is_refused(platform):
    """It was passed on shortly before the exit, and cut off."""
    sock = open_raw_connection(platform, "h1")
    sock.sendall(request_head("POST", "/bundle/1", "content-length: 10") + b"x")
    platform.processes["h1"].signal(signal.SIGTERM)
    platform.wait_for(lambda: platform.log_lines("h1", "refusing"), "it refuses", 5.0)
    sock.sendall(b"x" * 9)
    assert receive_all(sock).startswith(b"HTTP/1.1 503")
    assert platform.processes["h1"].process.wait(GRACE_SECONDS) == 0
    assert not platform.runs("h2", "/bundle/1")


def test_response_is_complete_though_a_request_behind_it_is_unread(platform):
    """The connection was reset before a client that reads slowly had the response."""
    platform.configure_target("h2", work=0.5, bytes=60_000)
    platform.processes["h1"].signal(signal.SIGTERM)
    platform.wait_for(lambda: platform.log_lines("h1", "stop"), "it stops")
    sock = open_raw_connection(platform, "h1", receive_buffer=4096)
    sock.sendall(request_head("GET", "/inner/a"))
    platform.wait_for(lambda: platform.runs("h2", "/inner/a"), "it runs")
    sock.sendall(request_head("GET", "/inner/b"))
    wait(1.0)
    assert len(receive_all(sock).partition(b"\r\n\r\n")[2]) == 60_000


@pytest.mark.parametrize("name", ["h1", "h2"])
def test_requests_that_cross_the_close_cut_off_no_response(platform, name):
    """Guards against a stop that resets connections of clients that send in advance.

    The target runs beside the node, or beside another one. The client reads slowly and
    sends until it has read that the connection closes.
    """
    platform.configure_target("h2", work=0.3, bytes=150_000)
    address = platform.address(name, "outbound")
    with PipeliningClient(address, pause=0.01) as client:
        client.send(*[request_head("GET", f"/inner/{index}") for index in range(3)])
        platform.wait_for(lambda: len(platform.runs("h2", "/inner/")) >= 3, "they run")
        platform.processes[name].signal(signal.SIGTERM)
        platform.wait_for(lambda: platform.log_lines(name, "stop"), "it stops")
        wait(0.6)
        client.send(request_head("GET", "/inner/crossing"))
        wait(0.5)
        client.send(request_head("GET", "/inner/crossing-again"))
        responses = client.read_responses()
        assert [item.status for item in responses] == [200] * 3
        assert [item.size for item in responses] == [150_000] * 3
        assert responses[-1].closes and client.is_at_end()
    assert platform.processes[name].process.wait(GRACE_SECONDS) == 0
    assert not platform.runs("h2", "/inner/crossing")


def test_stop_does_not_wait_for_clients_that_never_close(platform):
    """Guards against connections that hold the exit up until the end of the grace."""
    platform.configure_target("h2", work=0.5)
    sock = open_raw_connection(platform, "h1")
    sock.sendall(request_head("GET", "/inner/a") + request_head("GET", "/inner/b"))
    platform.wait_for(lambda: platform.runs("h2", "/inner/b"), "they run")
    platform.processes["h1"].signal(signal.SIGTERM)
    received = receive_all(sock)
    assert received.count(b"HTTP/1.1 200") == 2
    assert platform.processes["h1"].process.wait(GRACE_SECONDS) == 0
    (begun,) = platform.log_lines("h1", "stop")
    (stopped,) = platform.log_lines("h1", "stopped")
    schedule = schedule_stop(GRACE_SECONDS)
    assert stopped["time"] - begun["time"] < schedule.refuse_after + 1.5


def test_half_a_head_at_the_exit_is_not_answered_as_malformed(platform):
    """Clients send a request again after a close, and never after a 400."""
    sock = open_raw_connection(platform, "h1")
    sock.sendall(request_head("GET", "/inner/a")[:40])
    stop(platform, "h1")
    assert receive_all(sock) == b""


def test_response_that_came_while_the_node_was_paused_is_delivered(platform):
    """The pause ends after the time at which the node was to exit."""
    platform.configure_target("h2", work=1.3)
    options = {"timeout": 12.0, "deadline_ms": 9000}
    response = platform.send_in_background("h1", "/order/1", "POST", b"x", **options)
    platform.wait_for(lambda: platform.runs("h2", "/order/1"), "it runs")
    platform.processes["h1"].signal(signal.SIGTERM)
    platform.wait_for(lambda: platform.log_lines("h1", "stop"), "it stops")
    platform.processes["h1"].signal(signal.SIGSTOP)
    wait(schedule_stop(GRACE_SECONDS).end_after)
    platform.processes["h1"].signal(signal.SIGCONT)
    assert response.result(8.0).status == 200


@pytest.mark.parametrize("grace", [0.0, 0.5, 2.0, 3.0, 6.0, 10.0, 60.0])
def test_times_of_a_stop_fit_into_the_grace_time(grace):
    """Requests accepted late need time, and the first ones nearly all of it."""
    schedule = schedule_stop(grace)
    assert schedule.end_after >= grace * 5 / 6
    exit_after = schedule.end_after + schedule.refusal_time + schedule.cancel_time
    assert schedule.end_after <= exit_after <= grace
    assert 0.0 <= schedule.refuse_after <= min(3.0, schedule.end_after / 2)


@pytest.mark.parametrize(
    ("stopped", "size"), [("h1", 1), ("h2", 1), ("h1 h2", 1), ("h1", 600_000)]
)
def test_requests_that_still_wait_at_the_exit_are_refused_as_not_run(
    platform, stopped, size
):
    """Guards against requests cut off in the queue of a target, without an answer."""
    platform.configure_target("h2", work=9.0)
    options = {"timeout": 12.0, "deadline_ms": 9000}
    arguments = ("POST", b"x" * size)
    sent = {
        f"/bundle/{number}": platform.send_in_background(
            "h1", f"/bundle/{number}", *arguments, **options
        )
        for number in range(USABLE_SLOTS + 4)
    }
    platform.wait_for(
        lambda: len(platform.runs("h2", "/bundle/")) == USABLE_SLOTS, "all slots work"
    )
    for name in stopped.split():
        platform.processes[name].signal(signal.SIGTERM)
    for name in stopped.split():
        assert platform.processes[name].process.wait(GRACE_SECONDS) == 0
    ran = {run["path"] for run in platform.runs("h2", "/bundle/")}
    waiting = {path: response for path, response in sent.items() if path not in ran}
    assert len(waiting) == 4
    statuses = {path: response.result(8.0).status for path, response in waiting.items()}
    assert statuses == dict.fromkeys(waiting, 503)

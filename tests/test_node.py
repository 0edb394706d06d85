import json
import signal
import socket
import subprocess
import sys
import threading
from time import sleep as wait

import curio
import pytest

from standins.caller import request

from .fault_harness import run_in_thread
from .mesh_harness import HOSTS, new_mesh, send_raw, start_mesh


@pytest.fixture(scope="module")
def mesh():
    with new_mesh() as mesh:
        mesh.issued = start_mesh(mesh)
        yield mesh


def call(mesh, node, path, **options):
    return mesh.call(node, path, mesh.issued["key"], **options)


def counts(mesh, node):
    address = mesh.processes[f"target-{node}"].startup_info["address"]
    return json.loads(curio.run(request, address, "GET", "/counts").body)


def test_call_chain_of_three_services_is_served_at_any_node(mesh):
    """Guards against an entry node that cannot reach services of other hosts."""
    for node, *_ in HOSTS:
        response = call(mesh, node, "/maps")
        document = json.loads(response.body)
        assert response.complete and response.status == 200
        assert document["service"] == "mapdesk"
        assert [item["status"] for item in document["calls"]] == [200]


def test_no_target_receives_a_key(mesh):
    """Guards against a key that is forwarded in a header, the path or the body."""
    key = mesh.issued["key"]
    assert call(mesh, "n2", "/maps").status == 200
    assert call(mesh, "n2", f"/maps?key={key}").status == 400
    assert call(mesh, "n2", "/maps", headers={"cookie": f"a={key}"}).status == 400
    body = b"before " + key.encode() + b" after"
    assert call(mesh, "n2", "/dispatch", method="POST", body=body).status == 400
    for node, *_ in HOSTS:
        assert counts(mesh, node)["leaked"] == []


def test_only_valid_keys_are_served(mesh):
    """Guards against requests that are served without a valid key."""
    assert mesh.call("n1", "/maps").status == 401
    assert mesh.call("n1", "/maps", mesh.issued["key"][:-1] + "x").status == 401
    assert mesh.call("n1", "/nowhere", mesh.issued["key"]).status == 404
    assert mesh.call("n1", "/outages").status == 200


@pytest.mark.proves("I9", "request: claim", "same twice")
def test_request_retried_at_another_node_runs_once(mesh):
    """Guards against a retry by the caller that runs the request twice."""
    headers = {"idempotency-key": "crew-7", "x-dispatch-id": "crew-7"}
    responses = [
        call(mesh, node, "/dispatch", method="POST", body=b"crew", headers=headers)
        for node in ("n1", "n2", "n3", "n1")
    ]
    assert [response.status for response in responses] == [200, 409, 409, 409]
    assert json.loads(responses[1].body)["ran"] == "unknown"
    assert counts(mesh, "n2")["runs"]["crew-7"] == 1


BAD_REQUESTS = {
    "not http": b"\x00\x01\x02 nonsense\r\n\r\n",
    "http/1.0": b"GET /maps HTTP/1.0\r\nhost: a\r\n\r\n",
    "large head": b"GET /maps HTTP/1.1\r\nhost: a\r\nx: " + b"a" * 20000 + b"\r\n\r\n",
    "two lengths": b"POST /dispatch HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
    b"content-length: 2\r\n\r\nxx",
    "length and chunks": b"POST /dispatch HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n"
    b"transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "absolute target": b"GET http://other/maps HTTP/1.1\r\nhost: a\r\n\r\n",
    "large body": b"POST /dispatch HTTP/1.1\r\nhost: a\r\n"
    b"content-length: 99999999\r\n\r\n" + b"x" * 2_000_000,
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
@pytest.mark.parametrize("listener", ["callers", "peers", "admin"])
def test_malformed_input_is_rejected_and_the_node_continues(mesh, listener, name):
    """Guards against input that crashes or stalls a node or is partly accepted."""
    address = mesh.processes["n1"].startup_info[listener]
    try:
        response = send_raw(address, BAD_REQUESTS[name])
    except ConnectionError:
        response = b""
    assert b"(still open)" not in response
    assert response == b"" or response.startswith((b"HTTP/1.1 4", b"HTTP/1.1 5"))
    assert call(mesh, "n1", "/maps").status == 200


@pytest.mark.proves("I9", "request: forward", "connection cut")
def test_request_with_a_truncated_body_does_not_run(mesh):
    """Guards against a partly received request that is executed."""
    head = "POST /dispatch HTTP/1.1\r\nhost: a\r\nauthorization: Bearer "
    head += f"{mesh.issued['key']}\r\nx-dispatch-id: half\r\ncontent-length: 9\r\n\r\n"
    address = mesh.processes["n1"].startup_info["callers"]
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(head.encode() + b"abc")
        sock.shutdown(socket.SHUT_WR)
        sock.recv(65536)
    assert call(mesh, "n1", "/maps").status == 200
    assert "half" not in counts(mesh, "n2")["runs"]


def test_foreign_datagrams_have_no_effect(mesh):
    """Guards against a datagram without a valid tag that stops a node."""
    host, _, port = mesh.processes["n1"].startup_info["peers"].rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b"", b"m", b"s" * 40, bytes(range(256)) * 16, b"\xc1" * 8000):
            sock.sendto(data, (host, int(port)))
    assert call(mesh, "n1", "/maps").status == 200
    assert len(mesh.fleet_status("n1")) == len(HOSTS)


def test_forged_internal_headers_have_no_effect(mesh):
    """Guards against a caller or host that impersonates a node of the fleet."""
    headers = {"x-cw-context": "gA==", "x-cw-signature": "0" * 64}
    assert mesh.call("n1", "/maps", headers=headers).status == 401
    peers = mesh.processes["n2"].startup_info["peers"]
    forged = b"GET /maps HTTP/1.1\r\nhost: a\r\nx-cw-context: gA==\r\n"
    forged += b"x-cw-signature: " + b"0" * 64 + b"\r\n\r\n"
    assert send_raw(peers, forged).startswith(b"HTTP/1.1 400")
    unsigned = b"GET /status HTTP/1.1\r\nhost: a\r\n\r\n"
    assert send_raw(peers, unsigned).startswith(b"HTTP/1.1 400")
    forged_id = {"x-request-id": "0" * 32}
    assert mesh.call("n1", "/maps", headers=forged_id).status == 401


@pytest.mark.proves("I7", "request: answer", "connection cut")
@pytest.mark.parametrize("fault", ["cut_answers", "short_answers"])
def test_truncated_response_is_never_forwarded_as_complete(mesh, fault):
    """Guards against a partial response body that looks complete."""
    address = mesh.processes["target-n3"].startup_info["address"]
    mesh.control(address, {fault: 1})
    response = call(mesh, "n1", "/reports?size=300000")
    assert not response.complete or response.status >= 500
    mesh.control(address, {fault: 0})
    whole = call(mesh, "n1", "/reports?size=300000")
    assert whole.complete and len(whole.body) == 300_000
    chunked = call(mesh, "n1", "/reports?size=300000&chunked=1")
    assert chunked.complete and chunked.body == whole.body


def test_caller_disconnect_cancels_the_whole_call_chain(mesh):
    """Guards against work that continues at every host after the caller left."""
    addresses = [
        mesh.processes[f"target-{n}"].startup_info["address"] for n in ("n1", "n2")
    ]
    before = [counts(mesh, node)["cancelled"] for node in ("n1", "n2")]
    mesh.control(addresses[1], {"service_time": 4.0})
    response = call(mesh, "n3", "/maps", timeout=0.5)
    assert response.status == 0

    def cancelled():
        after = [counts(mesh, node)["cancelled"] for node in ("n1", "n2")]
        return all(late > early for late, early in zip(after, before, strict=True))

    mesh.wait_for(cancelled, "the chain is cancelled", 2.0)
    mesh.control(addresses[1], {"service_time": 0.01})
    status = mesh.fleet_status("n1")["n2"]
    assert status["in_flight"] == status["queued"] == 0


def test_deadline_ends_a_request_at_every_node(mesh):
    """Guards against work that continues after its deadline."""
    address = mesh.processes["target-n3"].startup_info["address"]
    mesh.control(address, {"service_time": 4.0})
    response = call(
        mesh, "n1", "/reports", headers={"x-deadline-ms": "300"}, timeout=2.0
    )
    mesh.control(address, {"service_time": 0.01})
    assert response.status == 504
    assert call(mesh, "n1", "/reports").status == 200


@pytest.mark.proves("I12", "change: publish", "operators racing")
def test_one_of_several_racing_changes_wins(mesh):
    """Guards against a change that silently overwrites another change."""
    shown = mesh.run_json_command("n1", "policy", "show", "--team", "okonkwo")
    base = shown["versions"][0]["version"]
    text = json.dumps(shown["versions"][0]["document"])
    results = []

    def publish(node):
        done = mesh.run_command(
            node, "policy", "publish", "-", "--reason", "race", "--json",
            "--base-version", str(base), text=text,
        )  # fmt: skip
        results.append((done.returncode, json.loads(done.stdout)["result"]))

    threads = [threading.Thread(target=publish, args=(n,)) for n in ("n1", "n2", "n3")]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(results) == [(0, "accepted"), (1, "conflict"), (1, "conflict")]


def test_dry_run_reports_what_would_be_refused(mesh):
    """Guards against a conflict that only the actual publication reports."""
    shown = mesh.run_json_command("n1", "policy", "show", "--team", "okonkwo")
    latest = shown["versions"][0]
    arguments = ["policy", "publish", "-", "--reason", "x", "--dry-run"]
    text = json.dumps(latest["document"] | {"accounts": []})
    fine = mesh.run_json_command("n1", *arguments, text=text)
    late = mesh.run_json_command("n1", *arguments, "--base-version", "999", text=text)
    assert fine["refused"] == ""
    assert "- accounts[bibb].rate: 500.0" in fine["difference"]
    assert f"version {latest['version']}" in late["refused"]


def test_team_token_authorises_only_its_own_subtree(mesh):
    """Guards against a team that reads or changes data of another team."""
    issued = mesh.run_command("n1", "token", "make", "--json")
    token = json.loads(issued.stdout)
    mesh.run_json_command(
        "n1", "token", "set", "--team", "other", "--digest", token["digest"],
        "--reason", "test",
    )  # fmt: skip
    own = mesh.run_command("n1", "key", "list", "--team", "other", token=token["token"])
    foreign = mesh.run_command(
        "n1", "key", "list", "--team", "okonkwo", token=token["token"]
    )
    assert own.returncode == 0
    assert foreign.returncode == 1 and "forbidden" in foreign.stderr


def test_node_starts_no_other_process(mesh):
    """Guards against more than one node process on a host."""
    pid = mesh.processes["n1"].process.pid
    with open(f"/proc/{pid}/task/{pid}/children") as file:
        assert file.read() == ""


def test_all_invalid_settings_are_reported_at_once():
    """Guards against a node that starts with invalid settings."""
    done = subprocess.run(
        [sys.executable, "-m", "carawaywheel", "node", "--listen", "localhost", "--log",
         "10.0.0.1:99999", "--share-drift", "7", "--limit-minimum", "x"],
        capture_output=True, text=True,
    )  # fmt: skip
    assert done.returncode == 2
    for part in ("--listen", "'localhost'", "--log", "99999", "--share-drift", "'x'"):
        assert part in done.stderr


@pytest.mark.parametrize("paused", ["n1", "n2"])
def test_paused_node_runs_no_request_whose_deadline_has_passed(mesh, paused):
    """Guards against time that a request waited unread and that counts as left."""
    headers = {"x-dispatch-id": f"paused-{paused}", "x-deadline-ms": "1000"}
    options = {"method": "POST", "body": b"crew", "headers": headers}
    assert call(mesh, "n1", "/dispatch", method="POST", body=b"crew").status == 200
    mesh.processes[paused].signal(signal.SIGSTOP)
    try:
        response = run_in_thread(call, mesh, "n1", "/dispatch", **options)
        wait(1.5)
    finally:
        mesh.processes[paused].signal(signal.SIGCONT)
    assert response.result(10).status in (502, 503, 504)
    mesh.wait_for(lambda: call(mesh, "n1", "/dispatch").status == 200, "served")
    assert f"paused-{paused}" not in counts(mesh, "n2")["runs"]


@pytest.mark.proves("I12", "node: start", "log down")
def test_node_started_while_the_log_is_down_reads_from_a_seed(mesh):
    """Guards against a replaced host that has no routes until the log is up."""
    mesh.control(mesh.log_address, {"down": True})
    try:
        mesh.start_node(
            "n4", "east", {"seeds": mesh.processes["n2"].startup_info["peers"]}
        )
        mesh.wait_for(lambda: call(mesh, "n4", "/maps").status == 200, "served", 10.0)
    finally:
        mesh.control(mesh.log_address, {"down": False})

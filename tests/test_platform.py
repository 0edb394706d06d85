"""Decoding and encoding of the platform's formats, and handling of bad input."""

import json
import struct

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaywheel.errors import LogError, PolicyError, ProtocolError, SettingsError
from carawaywheel.http import Request
from carawaywheel.mesh.configuration import RouteKind, WeightedService
from carawaywheel.mesh.messages import TargetRequestMetadata
from carawaywheel.mesh.target import Phase
from carawaywheel.platform.configuration import decode_configuration, find_version
from carawaywheel.platform.headers import (
    decode_caller_headers,
    decode_target_headers,
    encode_target_headers,
)
from carawaywheel.platform.heartbeats import decode_heartbeat
from carawaywheel.platform.settings import read_host_settings
from carawaywheel.platform.store import MetadataStore

ROUTE = {
    "name": "r-1",
    "path_prefix": "/a/",
    "kind": "idempotent",
    "timeout_s": 1.5,
    "target_latency_s": 1,
    "priority": 2,
    "service": "desk",
    "attempts": 2,
}
DOCUMENT = {
    "version": "r12",
    "services": [{"name": "desk", "health_path": "/h", "max_connections": 9}],
    "limits": {"max_body_bytes": 1000, "idle_timeout_s": 15},
    "tenants": [
        {"name": "t1", "api_keys": ["k1", "k2"], "rate_per_s": 5, "burst": 7},
        {"name": "t2", "api_keys": ["k3"], "priority": 0},
    ],
    "virtual_hosts": [{"hostname": "h.example", "paths": [ROUTE]}],
}


def decode_document(**changes):
    return decode_configuration(json.dumps({**DOCUMENT, **changes}).encode())


def decode_with_route(**changes):
    host = {"hostname": "h.example", "paths": [{**ROUTE, **changes}]}
    return decode_document(virtual_hosts=[host])


def test_configuration_is_decoded():
    configuration = decode_document()
    route = configuration.find_route("h.example", "/a/b")
    assert configuration.version == 12
    assert route.kind is RouteKind.IDEMPOTENT and route.timeout == 1.5
    assert route.weighted_services == (WeightedService("desk", 1.0),)
    assert (
        configuration.accounts_by_key["k2"].name == "t1"
        and configuration.accounts_by_key["k3"].priority == 0
    )
    assert configuration.limits.body_bytes == 1000


def test_download_may_repeat_like_an_idempotent_request():
    """Otherwise one route of this kind makes the whole document unreadable."""
    route = decode_with_route(kind="download").find_route("h.example", "/a/b")
    assert route.kind is RouteKind.DOWNLOAD
    assert [kind for kind in RouteKind if kind.may_repeat] == [
        RouteKind.IDEMPOTENT,
        RouteKind.DOWNLOAD,
    ]


def test_longest_matching_prefix_wins():
    paths = [ROUTE, {**ROUTE, "name": "r-2", "path_prefix": "/a/b/"}]
    configuration = decode_document(
        virtual_hosts=[{"hostname": "h.example", "paths": paths}]
    )
    assert configuration.find_route("h.example", "/a/b/c").name == "r-2"
    assert configuration.find_route("h.example", "/a/bc").name == "r-1"
    assert configuration.find_route("h.example", "/b/") is None
    assert configuration.find_route("other.example", "/a/b") is None


@pytest.mark.parametrize(
    ("changes", "place"),
    [
        ({"kind": "odd"}, "route 'r-1'"),
        ({"path_prefix": "/a"}, "route 'r-1'"),
        ({"timeout_s": 0}, "timeout_s"),
        ({"service": None}, "route 'r-1'"),
        ({"attempts": "two"}, "attempts"),
    ],
)
def test_error_for_an_invalid_route_names_its_location(changes, place):
    with pytest.raises(PolicyError, match=place):
        decode_with_route(**changes)


def test_nested_document_is_rejected():
    """Otherwise it ends the component that reads the store, again and again."""
    nested = b'{"version": "r1", "x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    with pytest.raises(PolicyError):
        decode_configuration(nested)
    assert find_version(nested) is None


# The last one does not fit into a message between nodes.
@pytest.mark.parametrize("version", ["12", "r", "r1x", "r-1", "r²", f"r{2**64}"])
def test_malformed_version_is_rejected(version):
    with pytest.raises(PolicyError, match="version"):
        decode_document(version=version)


def test_api_key_and_forged_headers_of_a_caller_are_stripped():
    headers = [
        (b"host", b"H.example:80"),
        (b"x-attempt-id", b"a1"),
        (b"x-deadline-ms", b"5000"),
        (b"authorization", b"Token k1"),
        (b"x-tenant", b"forged"),
        (b"x-caller-service", b"forged"),
        (b"x-expected-instance", b"forged"),
        (b"x-cw-call", b"forged"),
        (b"accept", b"*/*"),
    ]
    metadata = decode_caller_headers(Request("GET", "/", headers))
    assert (metadata.attempt_id, metadata.host, metadata.key) == (
        "a1",
        "h.example",
        "k1",
    )
    assert metadata.remaining == 5.0
    sent = dict(
        encode_target_headers(
            TargetRequestMetadata(
                metadata.forwarded_headers, 1.2345, "i-1", "desk", "t1", None
            )
        )
    )
    assert sent == {
        b"host": b"H.example:80",
        b"x-attempt-id": b"a1",
        b"accept": b"*/*",
        b"x-deadline-ms": b"1234",
        b"x-expected-instance": b"i-1",
        b"x-caller-service": b"desk",
        b"x-tenant": b"t1",
    }


@given(st.binary(max_size=20))
def test_malformed_deadline_is_ignored(value):
    metadata = decode_caller_headers(Request("GET", "/", [(b"x-deadline-ms", value)]))
    assert metadata.remaining >= 0


@pytest.mark.parametrize(
    ("status", "headers", "rejected"),
    [
        (503, [(b"x-not-executed", b"1")], True),
        (421, [], True),
        (503, [], False),
        (500, [(b"x-attempt-id", b"a")], False),
    ],
)
def test_response_counts_as_rejected_only_if_the_request_provably_did_not_run(
    status, headers, rejected
):
    assert decode_target_headers(status, headers).rejected is rejected


HEARTBEAT = {
    "address": "10.0.0.1:80",
    "born": 1000,
    "info": {"service": "desk", "version": "v1", "zone": "a", "capacity": 9},
    "status": {"phase": "draining", "sequence": 4, "warmup_left_s": 0.5},
}
PATH = "/api/instances/i-1"


def test_heartbeat_is_decoded():
    heartbeat = decode_heartbeat(PATH, json.dumps(HEARTBEAT).encode())
    assert heartbeat.target_id == "i-1" and heartbeat.phase is Phase.DRAINING
    assert (heartbeat.slots, heartbeat.incarnation, heartbeat.sequence) == (9, 1000, 4)


@pytest.mark.parametrize(
    "changes",
    [
        {"status": {"phase": "odd", "sequence": 4}},
        {"info": {"service": "desk", "zone": "a"}},
        {"born": "yesterday"},
        {"address": 7},
    ],
)
def test_malformed_heartbeat_is_rejected_with_its_path(changes):
    body = json.dumps({**HEARTBEAT, **changes}).encode()
    with pytest.raises(ProtocolError, match="instances"):
        decode_heartbeat(PATH, body)


@given(st.binary(max_size=200))
def test_arbitrary_heartbeat_body_raises_only_protocol_errors(body):
    with pytest.raises(ProtocolError):
        decode_heartbeat(PATH, body)


def test_error_for_an_incomplete_settings_file_names_the_file(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text('node_name = "n"\nip = "127.0.0.1"\nzone = "a"\n')
    with pytest.raises(SettingsError, match="boot.toml"):
        read_host_settings(str(path))


class CannedPool:
    """Connection pool that returns canned responses in order."""

    def __init__(self, responses):
        self.responses = list(responses)
        self.request_targets = []

    async def request(self, address, method, request_target, headers, body, limit):
        self.request_targets.append(request_target)
        return self.responses.pop(0)


class CannedResponse:
    """Head of a canned response."""

    def __init__(self, status, era=""):
        self.status = status
        self.era = era

    def header(self, name):
        return self.era if name == b"store-era" else ""


def make_store(*responses):
    """Return a store with canned responses: status, content and an era."""
    store = MetadataStore("127.0.0.1:1", 1.0)
    store.pool = CannedPool(
        [(CannedResponse(status, *era), content) for status, content, *era in responses]
    )
    return store


def test_all_pages_of_newest_values_are_read():
    first = {"items": [{"key": "a/b", "value": "eA=="}], "end_offset": 7}
    second = {"items": [{"key": "c", "value": ""}], "end_offset": 9}
    store = make_store(
        (200, json.dumps({**first, "has_more": True}).encode()),
        (200, json.dumps(second).encode()),
    )
    page = curio.run(store.read_all, "keyed.op")
    assert [item.value for item in page.items] == [b"x", b""]
    assert page.offset == 7
    assert store.pool.request_targets[1].endswith("after=a%2Fb")


def test_batch_of_changes_is_decoded():
    record = bytes([1]) + b"k" + b"value"
    content = struct.pack(">QQ", 9, 0) + struct.pack(">I", len(record)) + record
    store = make_store((200, content + struct.pack(">I", 2) + bytes([1]) + b"z"))
    page = curio.run(store.poll_changes, "keyed.op", 7, 1.0)
    assert [(item.key, item.value) for item in page.items] == [
        ("k", b"value"),
        ("z", b""),
    ]
    assert page.offset == 9


def test_expired_offset_is_distinguished_from_failures():
    assert curio.run(make_store((410, b"{}")).poll_changes, "keyed.op", 7, 1.0) is None
    with pytest.raises(LogError):
        curio.run(make_store((429, b"{}")).poll_changes, "keyed.op", 7, 1.0)
    with pytest.raises(LogError):
        curio.run(make_store((200, b"not json")).read_all, "keyed.op")


def test_era_is_that_of_the_first_page():
    """The store may come back from a copy between two pages."""
    item = {"key": "a", "value": "eA=="}
    first = json.dumps({"items": [item], "end_offset": 7, "has_more": True}).encode()
    second = json.dumps({"items": [], "end_offset": 3}).encode()
    store = make_store((200, first, "4"), (200, second, "5"))
    page = curio.run(store.read_all, "keyed.op")
    assert (page.era, page.offset) == (4, 7)


def test_era_of_changes_and_of_a_write_is_decoded():
    store = make_store((200, struct.pack(">QQ", 9, 0), "6"), (200, b"{}", "7"))
    assert curio.run(store.poll_changes, "keyed.op", 9, 1.0).era == 6
    assert curio.run(store.put, "keyed.hosts", "k", b"v") == 7


@pytest.mark.parametrize("era", ["-1", "x", "1.5", "\u0661"])
def test_era_that_is_no_number_is_an_error_that_names_the_store(era):
    store = make_store((200, struct.pack(">QQ", 9, 0), era))
    with pytest.raises(LogError, match="era"):
        curio.run(store.poll_changes, "keyed.op", 9, 1.0)


def test_write_to_a_table_that_has_changed_is_not_taken_for_a_failure():
    store = make_store((412, b"{}"), (200, b"{}"), (503, b"{}"))
    assert not curio.run(store.put_at, "keyed.hosts", "k", b"v", 3)
    assert curio.run(store.put_at, "keyed.hosts", "k", b"v", 4)
    assert store.pool.request_targets[1].endswith("&at=4")
    with pytest.raises(LogError):
        curio.run(store.put_at, "keyed.hosts", "k", b"v", 4)

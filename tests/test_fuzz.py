"""Fuzz tests: arbitrary input at each place where a node parses bytes."""

import curio
import msgspec
import pytest
from curio import socket
from hypothesis import example, given
from hypothesis import strategies as st

from carawaywheel.errors import LogError, PolicyError, ProtocolError, RecordError
from carawaywheel.http import BodyBudget, ServerConnection
from carawaywheel.logservice import parse_batch
from carawaywheel.policies import parse_policy
from carawaywheel.records import decode, sign
from carawaywheel.shares import decode_message as decode_share
from carawaywheel.signing import (
    Signer,
    decode_request_context,
    decode_response_metadata,
)
from carawaywheel.swim import decode as decode_gossip
from carawaywheel.targets import decode_announcement

SECRET = b"a secret for tests"
HEADS = [
    b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
    b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc",
    b"POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n",
]


@st.composite
def damaged_requests(draw):
    """Draw valid requests with bytes replaced, removed or inserted."""
    data = bytearray(draw(st.sampled_from(HEADS)))
    for _ in range(draw(st.integers(0, 4))):
        start = draw(st.integers(0, len(data)))
        end = draw(st.integers(start, min(len(data), start + 6)))
        data[start:end] = draw(st.binary(max_size=6))
    return bytes(data)


async def read_request(data):
    """Parse bytes on a server connection and return the request and its body."""
    server_sock, client_sock = socket.socketpair()
    budget = BodyBudget(1 << 20)
    async with server_sock, client_sock:
        connection = ServerConnection(server_sock, "fuzz", budget)
        await client_sock.sendall(data)
        await client_sock.shutdown(socket.SHUT_WR)
        request = await curio.timeout_after(5.0, connection.next_request)
        body = await connection.read_body(100) if request else b""
        connection.release_body()
    assert budget.reserved_bytes == 0
    return request, body


@given(st.one_of(damaged_requests(), st.binary(max_size=300)))
@example(b"GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 3, 3\r\n\r\nabc")
@example(b"GET / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n")
@example(b"GET /\xff HTTP/1.1\r\nhost: a\r\n\r\n")
def test_any_bytes_are_a_request_or_a_protocol_error(data):
    """Guards against input that raises anything else, hangs or keeps memory."""
    try:
        request, _ = curio.run(read_request, data)
    except ProtocolError as error:
        assert error.step
    else:
        assert request is None or request.target.startswith("/")


@given(st.binary(max_size=300))
def test_any_bytes_between_nodes_are_a_message_or_a_protocol_error(data):
    """Guards against a datagram or header that stops a node."""
    for decoder in (decode_share, decode_gossip):
        try:
            decoder(data)
        except ProtocolError:
            continue
    text = data.decode("latin-1")
    for decoder in (decode_request_context, decode_response_metadata):
        with pytest.raises(ProtocolError):
            decoder(text, "peer")
    assert Signer(SECRET).verify_datagram(data) is None


@given(st.binary(max_size=300))
def test_any_bytes_from_a_target_are_a_protocol_error(data):
    """Guards against an announcement that stops a node."""
    with pytest.raises(ProtocolError):
        decode_announcement(data, "target")


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


@given(
    st.dictionaries(st.sampled_from(["first", "next", "records", "x"]), json_values)
    | json_values
)
def test_any_answer_of_the_log_is_a_batch_or_a_log_error(answer):
    """Guards against a log service whose answers stop a node."""
    try:
        batch = parse_batch(answer, "log")
    except LogError as error:
        assert error.outcome_unknown
    else:
        assert all(isinstance(data, bytes) for _, data in batch.records)


@given(st.binary(max_size=200), json_values)
def test_any_record_and_policy_is_refused_with_its_place(data, value):
    """Guards against one bad record or file that stops a reader or a command."""
    bodies = [data, msgspec.msgpack.encode(["policy", repr(value)])]
    for body in bodies:
        with pytest.raises(RecordError):
            decode(sign(body, SECRET) + body, SECRET)
    for text in (data, msgspec.json.encode(repr(value))):
        with pytest.raises(PolicyError):
            parse_policy(text, "fuzz")

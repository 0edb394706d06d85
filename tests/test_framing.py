import pytest

from carawaywheel.framing import (
    CLOSED,
    END,
    NEED_DATA,
    BodyWriter,
    Data,
    FramingError,
    RequestHead,
    RequestReader,
    ResponseHead,
    ResponseReader,
    encode_request_head,
)

GET = b"GET /a/?b HTTP/1.1\r\nHost: m\r\nX-Two: 1\r\nX-Two: 2\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: 3\r\n\r\nabc"
CHUNKED = (
    b"POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"
)


def read(reader, *parts):
    """Return the events that a reader produces from parts that arrive in turn."""
    events = []
    for part in parts:
        reader.feed(part)
        while (event := reader.next_event()) not in (NEED_DATA, CLOSED):
            events.append(event)
    return events


def body(events):
    return b"".join(event.data for event in events if isinstance(event, Data))


@pytest.mark.parametrize("data", [GET, POST, CHUNKED])
def test_message_is_parsed_the_same_however_it_is_split(data):
    whole = read(RequestReader(1000), data)
    bytewise = read(RequestReader(1000), *(data[i : i + 1] for i in range(len(data))))
    assert whole[0] == bytewise[0] and whole[-1] is bytewise[-1] is END
    assert body(whole) == body(bytewise) == (b"" if data is GET else b"abc")


def test_head_keeps_the_target_and_repeated_headers():
    head = read(RequestReader(1000), GET)[0]
    headers = [(b"host", b"m"), (b"x-two", b"1"), (b"x-two", b"2")]
    assert head == RequestHead(b"GET", b"/a/?b", headers, "1.1")


def test_pipelined_requests_are_parsed_in_order():
    events = read(RequestReader(1000), POST + GET)
    assert [type(event) for event in events[:2]] == [RequestHead, Data]
    assert events[2] is END and events[3].target == b"/a/?b"


@pytest.mark.parametrize(
    "data",
    [
        b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\n",
        b"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
        b"GET /a HTTP/1.1\r\nX: 1\r\n folded\r\n\r\n",
        b"GET /a HTTP/1.1\r\nX : 1\r\n\r\n",
        b"GET /a HTTP/1.1\nX: 1\n\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_ambiguous_request_is_an_error_before_its_end(data):
    """Guards against request smuggling between servers that parse it differently."""
    reader = RequestReader(1000)
    reader.feed(data)
    with pytest.raises(FramingError):
        for _ in range(4):
            assert reader.next_event() is not END


def test_unterminated_head_is_limited_in_size():
    reader = RequestReader(100)
    reader.feed(b"GET /a HTTP/1.1\r\nX: " + b"y" * 200)
    with pytest.raises(FramingError, match="larger than 100 bytes"):
        reader.next_event()


def test_upgrade_request_is_the_last_of_its_connection():
    reader = RequestReader(1000)
    data = b"GET /a HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
    events = []
    reader.feed(data)
    with pytest.raises(FramingError, match="protocol"):
        while True:
            events.append(reader.next_event())
    assert events[-1] is END and not reader.keep_alive


def parse_response(*parts, is_head_request=False):
    reader = ResponseReader(1000)
    reader.is_head_request = is_head_request
    return reader, read(reader, *parts)


def test_informational_responses_are_skipped():
    data = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
    reader, events = parse_response(data)
    assert events == [
        ResponseHead(200, [(b"content-length", b"1")], "1.1"),
        *events[1:],
    ]
    assert body(events) == b"x" and reader.idle and reader.keep_alive


def test_close_delimited_body_ends_with_its_connection():
    reader, events = parse_response(b"HTTP/1.1 200 OK\r\n\r\nab", b"c", b"")
    assert body(events) == b"abc" and events[-1] is END
    assert not reader.keep_alive


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 9", b"Transfer-Encoding: chunked"]
)
def test_truncated_body_is_an_error(framing):
    reader = ResponseReader(1000)
    reader.feed(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n1\r\na\r\n")
    reader.feed(b"")
    with pytest.raises(FramingError, match="closed within"):
        for _ in range(4):
            assert reader.next_event() is not END


def test_stray_bytes_after_a_response_are_detected():
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
    assert parse_response(whole)[0].idle
    for stray in (b"y", b"HTTP/1.1 200 OK\r\n", whole):
        reader = ResponseReader(1000)
        reader.feed(whole + stray)
        while reader.next_event() is not END:
            pass
        assert not reader.idle


def test_response_to_a_head_request_ends_with_its_head():
    reader, events = parse_response(
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", is_head_request=True
    )
    assert events[-1] is END and not reader.keep_alive


@pytest.mark.parametrize(
    "headers", [[(b"a", b"1\r\nb: 2")], [(b"a\r\nb", b"2")], [(b"a", b"1\n")]]
)
def test_header_with_a_line_break_is_refused(headers):
    """Guards against header injection, as account names are sent in a header."""
    with pytest.raises(FramingError):
        encode_request_head("GET", "/", headers)


def test_body_length_must_match_the_content_length():
    writer = BodyWriter(200, [(b"content-length", b"3")], False)
    assert writer.encode(b"ab") == b"ab"
    with pytest.raises(FramingError, match="shorter"):
        writer.end()
    with pytest.raises(FramingError, match="longer"):
        writer.encode(b"cd")


def test_body_of_unknown_length_is_chunked():
    writer = BodyWriter(200, [(b"transfer-encoding", b"chunked")], False)
    assert writer.encode(b"x" * 10) == b"a\r\n" + b"x" * 10 + b"\r\n"
    assert writer.end() == b"0\r\n\r\n"


@pytest.mark.parametrize(
    "start, filler",
    [
        (b"HTTP/1.1 200 OK\r\nX-Fill: ", b"a" * 50),
        (b"HTTP/1.1 200 OK\r\n", b"X-Fill: a\r\n"),
        (b"HTTP/1.1 102 Processing\r\n\r\n", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", b"a" * 50),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X: a\r\n"),
    ],
    ids=["header", "headers", "informational", "chunk-extension", "trailers"],
)
@pytest.mark.parametrize("part_size", [1, 50])
def test_bytes_without_end_are_an_error_in_bounded_memory(start, filler, part_size):
    """A server in trouble may send such bytes for as long as the client reads."""
    reader = ResponseReader(1000)
    reader.feed(start)
    stream = filler * 400
    with pytest.raises(FramingError):
        for offset in range(0, len(stream), part_size):
            reader.feed(stream[offset : offset + part_size])
            while isinstance(reader.next_event(), ResponseHead):
                pass
    assert sum(len(name) + len(value) for name, value in reader.headers) <= 1000


def test_body_in_small_chunks_that_trickles_in_is_no_error():
    reader = ResponseReader(1000)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    stream = head + b"1\r\na\r\n" * 600 + b"0\r\n\r\n"
    events = read(reader, *(stream[i : i + 1] for i in range(len(stream))))
    assert body(events) == b"a" * 600 and events[-1] is END

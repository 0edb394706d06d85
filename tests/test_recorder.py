import socket

from carawaywheel.clock import ManualClock
from carawaywheel.events import EventBuffer
from carawaywheel.recorder import Recorder
from carawaywheel.summarizer import Summarizer


def make_recorder(address):
    buffer = EventBuffer("n1", 1 << 16)
    summarizer = Summarizer("n1", 1, 0.0)
    return Recorder(buffer, summarizer, ManualClock(), address)


def test_counters_reach_statsd():
    """Guards against counters that are incremented but never sent."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5.0)
        host, port = server.getsockname()
        recorder = make_recorder(f"{host}:{port}")
        recorder.increment("entry.requests", 3)
        recorder.flush()
        assert b"carawaywheel.entry.requests:3|c" in server.recv(1500)


def test_flush_works_without_a_statsd_server():
    """Guards against a node that fails or blocks when no statsd server listens."""
    recorder = make_recorder("127.0.0.1:9")
    for _ in range(100):
        recorder.increment("entry.requests")
        recorder.flush()
    assert recorder.cumulative_counters["entry.requests"] == 100

import socket

from carawaywheel.clock import ManualClock
from carawaywheel.events import EventBuffer
from carawaywheel.recorder import Recorder
from carawaywheel.summarizer import Summarizer


def make_recorder(address):
    buffer = EventBuffer("n1", 1 << 16)
    summary = Summarizer("n1", 1, 0.0)
    return Recorder(buffer, summary, ManualClock(), address)


def test_counters_reach_statsd():
    """Guards against metrics that are counted and never sent."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5.0)
        host, port = server.getsockname()
        recorder = make_recorder(f"{host}:{port}")
        recorder.increment("entry.requests", 3)
        recorder.flush()
        assert b"carawaywheel.entry.requests:3|c" in server.recv(1500)


def test_nobody_needs_to_listen():
    """Guards against a node that fails or waits without a statsd server."""
    recorder = make_recorder("127.0.0.1:9")
    for _ in range(100):
        recorder.increment("entry.requests")
        recorder.flush()
    assert recorder.cumulative_counters["entry.requests"] == 100

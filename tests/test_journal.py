"""Log output is bounded and never blocks; metrics also count dropped lines."""

import json
import os

from carawaywheel.mesh import journal as module
from carawaywheel.mesh.evacuation import Evacuation, Evacuations
from carawaywheel.mesh.journal import MAX_LINES_PER_SECOND, Journal
from carawaywheel.mesh.metrics import Gauge, render_metrics


def decode_lines(journal):
    return [json.loads(line) for line in b"".join(journal.lines).splitlines()]


def test_lines_per_event_are_bounded_and_dropped_lines_are_counted(monkeypatch):
    monkeypatch.setattr(module.time, "time", lambda: 1000.5)
    journal = Journal("n1")
    for index in range(MAX_LINES_PER_SECOND + 50):
        journal.write("shed", request=str(index))
    journal.write("stop")
    lines = decode_lines(journal)
    assert len(lines) == MAX_LINES_PER_SECOND + 1
    assert journal.dropped["shed"] == 50
    assert journal.counters["shed", ""] == MAX_LINES_PER_SECOND + 50


def test_stalled_reader_of_standard_output_does_not_block(monkeypatch):
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    monkeypatch.setattr(module, "STANDARD_OUTPUT", writer)
    monkeypatch.setattr(module, "MAX_LINES_PER_SECOND", 1 << 30)
    journal = Journal("n1")
    for index in range(10_000):
        journal.write("refused", request=str(index), reason="overload")
        if index % 100 == 0:
            journal.flush()
    assert journal.buffered_bytes <= module.MAX_BUFFER_BYTES + 1000
    assert journal.dropped["refused"] > 0
    os.close(reader)
    os.close(writer)


def test_lines_carry_event_and_fields():
    journal = Journal("n1")
    journal.write("shed", request="a1", level=1.5)
    (line,) = decode_lines(journal)
    assert line["event"] == "shed" and line["node"] == "n1"
    assert line["request"] == "a1" and line["level"] == 1.5


def test_metrics_export_event_counts_latencies_and_evacuations():
    journal = Journal("n1")
    evacuations = Evacuations()
    evacuations.merge(Evacuation("a", 1, 3, True))
    journal.write("refused", reason="overload")
    journal.observe("r-1", 0.03)
    journal.observe("r-1", 9.0)
    gauges = [Gauge("x", "Help.", {"zone": name}, 1.0) for name in ("a", "b")]
    text = render_metrics(journal, [*gauges, *evacuations.gauges()]).decode()
    assert 'x{zone="a"} 1.0' in text and 'x{zone="b"} 1.0' in text
    assert 'carawaywheel_events_total{event="refused",outcome="overload"} 1.0' in text
    assert 'carawaywheel_answer_seconds_bucket{le="0.05",route="r-1"} 1.0' in text
    assert 'carawaywheel_answer_seconds_count{route="r-1"} 2.0' in text
    assert 'carawaywheel_evacuated{domain="a"} 1.0' in text

import json
from xml.etree import ElementTree

import pytest

from carawaywheel.events import EventBuffer, EventFilter, EventKind, merge_events
from carawaywheel.refusals import Importance, Ran, Reason
from carawaywheel.timeline import (
    render_json,
    render_sequence_diagram,
    render_text,
    select_entries,
)

REQUEST = "5f2c"
SVG = "{http://www.w3.org/2000/svg}"
HOSTILE = "</text><script>alert(1)</script>\x1b[2J cw_secret"


@pytest.fixture
def events():
    """Events of a request that is shed at a node, retried and refused at the entry."""
    entry, callee = EventBuffer("entry", 1 << 20), EventBuffer("callee", 1 << 20)
    limit = callee.append(EventKind.LIMIT_CHANGED, 90.0, 0, target="t1", detail="62")

    def add(buffer, kind, attempt="", **fields):
        now = 100.0 if buffer is entry else 95.0
        fields = {"account": "hall", "importance": Importance.NORMAL, **fields}
        buffer.append(kind, now, 0, REQUEST, attempt, **fields)

    refused = {"reason": Reason.QUEUE_FULL, "ran": Ran.NOT_RUN, "target": "t1"}
    causes = (("callee", limit), ("lost", 9))
    add(entry, EventKind.REQUEST_ADMITTED, key_id="k1")
    add(entry, EventKind.SENT, "a1")
    add(callee, EventKind.RECEIVED, "a1")
    add(callee, EventKind.SHED, "a2", parent_id="a1", causes=causes, **refused)
    add(callee, EventKind.ANSWERED, "a1")
    add(entry, EventKind.COMPLETED, "a1")
    add(entry, EventKind.RETRY, "a3")
    add(entry, EventKind.SENT, "a3")
    add(entry, EventKind.REQUEST_REFUSED, detail=HOSTILE, **refused)
    entry.append(EventKind.SENT, 100.0, 0, "other", "a9", account="lido")
    return merge_events([callee.events_from(), entry.events_from()])


def test_the_timeline_shows_a_request_in_causal_order_with_its_causes(events):
    """Guards against a refusal that is shown without its cause or before its call."""
    entries = select_entries(events, EventFilter(request_id=REQUEST))
    kinds = [entry.event.kind for entry in entries]
    expected = "LIMIT_CHANGED REQUEST_ADMITTED SENT RECEIVED SHED ANSWERED COMPLETED"
    expected += " RETRY SENT REQUEST_REFUSED"
    assert kinds == [EventKind[name] for name in expected.split()]
    assert [entry.selected for entry in entries] == [False] + [True] * 9
    assert [entry.depth for entry in entries][3:5] == [0, 1]
    assert entries[4].missing == (("lost", 9),)


@pytest.mark.parametrize(
    ("event_filter", "count"),
    [
        (EventFilter(account="lido"), 1),
        (EventFilter(key_id="k1"), 1),
        (EventFilter(target="t1"), 3),
        (EventFilter(begin=90.0, end=95.0), 1),
    ],
)
def test_each_filter_selects_its_events_only(events, event_filter, count):
    """Guards against events of one client account in the timeline of another."""
    entries = select_entries(events, event_filter)
    assert sum(entry.selected for entry in entries) == count


def test_text_and_json_name_the_reason_of_a_refusal_and_contain_no_key(events):
    """Guards against missing reasons, leaked API keys and terminal escapes."""
    entries = select_entries(events, EventFilter(request_id=REQUEST))
    text = render_text(entries)
    assert "REFUSED t1 because of queue_full (not run)" in text
    assert "(cause no longer held: lost #9)" in text
    refused = json.loads(render_json(entries))[-1]
    assert refused["reason"] == "queue_full"
    assert refused["importance"] == "normal"
    for rendered in (text, refused["detail"]):
        assert "cw_" not in rendered
        assert "\x1b" not in rendered


def test_the_diagram_shows_messages_retries_and_refusals_and_escapes_text(events):
    """Guards against a sequence diagram that misses events or contains a script."""
    svg = render_sequence_diagram(events, REQUEST)
    root = ElementTree.fromstring(svg)
    assert "<script" not in svg and "cw_" not in svg
    texts = [element.text for element in root.iter(f"{SVG}text")]
    assert any(text.startswith("RETRY") for text in texts)
    assert any(text.startswith("REFUSED t1") for text in texts)
    assert texts.count("→ ?") == 1
    arrows = list(root.iter(f"{SVG}polygon"))
    assert len(arrows) == 2
    markers = [element.get("fill") for element in root.iter(f"{SVG}circle")]
    assert len(markers) == 6


def test_the_diagram_of_a_request_without_events_says_so():
    """Guards against an error for a request whose events were all evicted."""
    assert "No events of 77" in render_sequence_diagram([], "77")

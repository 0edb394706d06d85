import json
from html.parser import HTMLParser

import pytest

from carawaywheel.events import Event, EventKind
from carawaywheel.refusals import Importance, Reason
from carawaywheel.reports import (
    Span,
    build_report,
    render_html,
    render_json,
    render_text,
)
from carawaywheel.reportsections import REASON_TEXTS
from carawaywheel.summaries import (
    AttemptCount,
    BoundCheckCount,
    CountingPoint,
    OutcomeCount,
    OutcomeKey,
    StateChange,
    Summary,
)
from carawaywheel.summarizer import IMPORTANCE_BOUND

SPAN = Span(1000.0, 1100.0)
HOSTILE = '"><script src="http://x">alert(1)</script> cw_secretkey \x00\ud800'
CRITICAL, NORMAL, SHEDDABLE = Importance


def row(
    requests,
    reason=None,
    account="hall",
    place=CountingPoint.ENTRY,
    importance=NORMAL,
    first=1000.0,
    last=None,
    service="mapdesk",
    in_rate=True,
    may_have_run=False,
    examples=(),
):
    key = OutcomeKey(
        place, service, importance, reason, "", account, in_rate, may_have_run
    )
    return OutcomeCount(key, requests, first, first if last is None else last, examples)


def summary(*counts, node="n1", number=0, last=None, incarnation=0, **fields):
    """Return a summary of the 10 s that start at 1000 s plus 10 s times its number."""
    last = number if last is None else last
    start, end = 1000.0 + 10 * number, 1010.0 + 10 * last
    base = Summary(
        node,
        incarnation,
        number,
        last,
        start,
        end,
        False,
        list(counts),
        [],
        [],
        [],
        0,
        0,
        0,
    )
    return base._replace(**fields)


def unknown_texts(summaries, events=(), span=SPAN):
    return " ".join(build_report(summaries, events, span).unknown)


def test_duplicate_and_nested_summaries_count_once():
    """Guards against double counts after an append is retried for a lost response."""
    parts = [summary(row(5), number=i) for i in range(3)]
    merged = summary(row(15), number=0, last=2)
    for given in ([*parts, parts[1]], [merged, parts[0]], [parts[2], merged, merged]):
        report = build_report(given, [], SPAN)
        assert report.accounts[0].served == 15


def test_counts_survive_the_replacement_of_a_host():
    """Guards against the loss of a host's counts when the host is replaced."""
    before = summary(row(5, Reason.OVERLOAD), number=3)
    after = summary(row(2, Reason.OVERLOAD), incarnation=1, start=1050.0, end=1060.0)
    report = build_report([after, before], [], SPAN)
    assert report.accounts[0].refused_in_rate == 7


def test_account_rows_separate_refusals_within_and_over_the_rate():
    """Guards against excess of a client account that counts as wrongful refusals."""
    counts = [
        row(90, account="hall"),
        row(10, Reason.OVERLOAD, account="hall"),
        row(50, account="lido"),
        row(70, Reason.RATE_EXCEEDED, account="lido", in_rate=False),
        row(9, Reason.QUEUE_FULL, account="lido", place=CountingPoint.TARGET),
        row(8, Reason.DUPLICATE, account="lido"),
        row(5, Reason.KEY_UNKNOWN, account=""),
        row(1, Reason.PEER_FAILED, account="port", may_have_run=True),
    ]
    report = build_report([summary(*counts)], [], SPAN)
    found = {r.account: (*r[1:], r.share) for r in report.accounts}
    assert found["hall"] == (90, 10, 0, 0, 0, 0.9)
    assert found["lido"] == (50, 0, 70, 8, 0, 1.0)
    assert found["port"] == (0, 1, 0, 0, 1, 0.0)
    assert [r.account for r in report.accounts] == ["port", "hall", "lido", ""]


def test_refusals_of_all_accounts_are_listed_by_their_first_one():
    """Guards against a list from which the first service to shed cannot be seen."""
    counts = [
        row(3, Reason.OVERLOAD, importance=NORMAL, first=1020.0),
        row(1, Reason.OVERLOAD, importance=SHEDDABLE, first=1009.0, account="a"),
        row(2, Reason.OVERLOAD, importance=SHEDDABLE, first=1005.0, account="b"),
    ]
    report = build_report([summary(*counts)], [], SPAN)
    found = [(r.key.importance, r.requests, r.first) for r in report.refusals]
    assert found == [(SHEDDABLE, 3, 1005.0), (NORMAL, 3, 1020.0)]
    texts = [step.text for step in report.steps]
    assert texts.index("first sheddable request to mapdesk shed") == 0
    assert "last normal request to mapdesk shed" in texts


def test_changes_are_listed_once_and_after_their_causes():
    """Guards against clock skew that puts a state change before its cause."""
    kind = EventKind.TARGET_CHANGED
    cause = Event("n1", 4, 1050.0, 0, kind, target="t", detail="ejected")
    effect = Event("n2", 1, 1001.0, 0, kind, detail="b", causes=(cause.key,))
    change = StateChange(4, 1050.0, kind, "t", "ejected")
    report = build_report([summary(row(1), changes=[change])], [effect, cause], SPAN)
    assert [step.node_id for step in report.steps] == ["n1", "n2"]
    assert report.steps[0].text == "target changed: t ejected"


def test_a_long_gap_between_refusals_separates_two_episodes():
    """Guards against two short outages that are reported as one long outage."""
    summaries = [
        summary(row(2, Reason.OVERLOAD, first=1001, last=1009)),
        summary(row(3, Reason.OVERLOAD, first=1011, last=1019), number=1),
        summary(row(4, Reason.OVERLOAD, first=1071), number=7),
        summary(row(4, Reason.DEADLINE, first=1075), number=8),
    ]
    report = build_report(summaries, [], SPAN)
    found = [(e.requests, e.first, e.last) for e in report.episodes]
    assert found == [(5, 1001, 1019), (4, 1071, 1071), (4, 1075, 1075)]


BOUNDS = [IMPORTANCE_BOUND, "higher importance", "refused", "client account", "retries"]
SHED = {"reason": Reason.QUEUE_FULL, "place": CountingPoint.TARGET}
RAN = {"place": CountingPoint.TARGET}


@pytest.mark.parametrize(
    ("bound", "held", "fields"),
    [
        (0, True, {"bounds": [BoundCheckCount(IMPORTANCE_BOUND, 5, 0, "")]}),
        (0, False, {"bounds": [BoundCheckCount(IMPORTANCE_BOUND, 5, 1, "x")]}),
        (0, None, {}),
        (1, True, {"counts": [row(9, **RAN), row(1, **SHED, importance=SHEDDABLE)]}),
        (1, False, {"counts": [row(9, importance=SHEDDABLE, **RAN), row(1, **SHED)]}),
        (1, None, {"counts": [row(9, **RAN)]}),
        (2, True, {"counts": [row(991), row(9, Reason.OVERLOAD)]}),
        (2, True, {"counts": [row(9), row(1, Reason.CANCELLED)]}),
        (2, True, {"counts": [row(9), row(1, Reason.OVERLOAD, account="")]}),
        (2, False, {"counts": [row(980), row(20, Reason.OVERLOAD)]}),
        (
            2,
            True,
            {
                "counts": [
                    row(980),
                    row(20, Reason.OVERLOAD),
                    row(1, Reason.RATE_EXCEEDED, in_rate=False),
                ]
            },
        ),
        (2, None, {}),
        (3, True, {"counts": [row(95), row(5, Reason.OVERLOAD)]}),
        (3, False, {"counts": [row(900, account="b"), row(1, Reason.OVERLOAD)]}),
        (3, None, {}),
        (4, True, {"attempts": [AttemptCount("mapdesk", 100, 13)]}),
        (4, False, {"attempts": [AttemptCount("mapdesk", 100, 14)]}),
        (4, None, {}),
    ],
)
def test_a_bound_is_held_broken_or_unchecked(bound, held, fields):
    """Guards against a bound that is reported as held without or against evidence."""
    report = build_report([summary(**{"counts": [], **fields})], [], SPAN)
    result = next(r for r in report.bounds if BOUNDS[bound] in r.name)
    assert result.held is held


@pytest.mark.parametrize(
    ("summaries", "text"),
    [
        ([], "no summaries"),
        ([summary(number=0), summary(number=3)], "nothing from 1970-01-01 00:16:50 to"),
        ([summary(number=2)], "nothing before 1970-01-01 00:17:00, although it ran"),
        ([summary(number=0)], "nothing after 1970-01-01 00:16:50. It ended"),
        ([summary(), summary(number=5, incarnation=1)], "its new start at 1970-01-01"),
        ([summary(number=0, last=5)], "one summary for the 60 s"),
        ([summary(events_dropped=7)], "7 events were dropped"),
        ([summary(changes_dropped=8)], "8 changes of state did not fit"),
        ([summary(unattributed=9)], "9 requests were counted without"),
        ([summary(row(1, Reason.RATE_EXCEEDED))], "what the nodes judged"),
    ],
)
def test_the_report_describes_gaps_in_its_data(summaries, text):
    """Guards against a report that looks complete although summaries are missing."""
    assert text in unknown_texts(summaries)


def test_hosts_that_join_or_leave_in_the_span_are_not_reported_as_gaps():
    """Guards against false gaps that hide the real ones."""
    joined = summary(number=0, start=1050.0, end=1095.0)
    left = summary(number=0, node="n2", final=True)
    texts = unknown_texts([joined, left])
    assert "n1" not in texts and "n2" not in texts
    event = Event("n3", 0, 1050.0, 0, EventKind.LOG_STATE)
    assert "n3: events, but no summary" in unknown_texts([joined, left], [event])


def test_a_plot_spreads_a_merged_summary_evenly_and_keeps_the_total():
    """Guards against an outage of the log that is plotted as a spike of refusals."""
    counts = [row(80), row(40, Reason.OVERLOAD, importance=CRITICAL)]
    excess = row(40, Reason.RATE_EXCEEDED, importance=CRITICAL, in_rate=False)
    long = summary(*counts, excess, number=1, last=4)
    report = build_report([long], [], SPAN)
    assert [b.served for b in report.bins] == [0, 20, 20, 20, 20, 0, 0, 0, 0, 0]
    assert sum(b.refused[CRITICAL] for b in report.bins) == pytest.approx(80)
    shares = report.shed_shares["mapdesk", CRITICAL]
    assert shares[0] is None and shares[1] == 1.0


def test_a_plot_splits_summaries_at_the_edge_of_the_span_and_excludes_others():
    """Guards against requests of another incident in the report."""
    summaries = [summary(row(80)), summary(row(3), number=10)]
    report = build_report(summaries, [], Span(1005.0, 1100.0))
    assert report.accounts[0].served == 80
    assert sum(b.served for b in report.bins) == pytest.approx(40)


class PageParser(HTMLParser):
    """Collects the elements, links and text of a page, and checks its nesting."""

    VOID = frozenset({"meta"})

    def __init__(self, page):
        super().__init__()
        self.open, self.tags, self.links, self.text = [], [], [], ""
        self.feed(page)

    def handle_starttag(self, tag, attrs):
        self.tags.append(tag)
        self.links += [value for name, value in attrs if name in ("src", "href")]
        if tag not in self.VOID:
            self.open.append(tag)

    def handle_endtag(self, tag):
        assert self.open.pop() == tag

    def handle_data(self, data):
        self.text += data


def hostile_report():
    counts = [
        row(3, Reason.OVERLOAD, HOSTILE, service=HOSTILE, examples=(HOSTILE,)),
        row(3, Reason.RATE_EXCEEDED, HOSTILE, in_rate=False),
    ]
    change = StateChange(1, 1001.0, EventKind.LOG_STATE, HOSTILE, HOSTILE)
    bound = BoundCheckCount(HOSTILE, 1, 1, HOSTILE)
    fields = {"node": HOSTILE, "changes": [change], "bounds": [bound]}
    return build_report([summary(*counts, **fields)], [], SPAN)


def test_the_page_is_self_contained_without_keys_and_scripts():
    """Guards against a report that leaks API keys or runs injected scripts."""
    page = render_html(hostile_report())
    parsed = PageParser(page)
    assert parsed.open == []
    assert "script" not in parsed.tags
    assert parsed.links and all(link.startswith("#") for link in parsed.links)
    assert "<script" not in page and "cw_" not in page
    assert "\x00" not in page and page.encode()
    for heading in ("For on-call staff", "For client relations", "BROKEN"):
        assert heading in parsed.text
    assert parsed.tags.count("svg") == 3


def test_text_and_json_contain_the_figures_and_no_key():
    """Guards against leaked API keys and terminal escapes outside the page."""
    report = hostile_report()
    text, document = render_text(report), render_json(report)
    for rendered in (text, document):
        assert "cw_" not in rendered and "\x00" not in rendered
    decoded = json.loads(document)
    assert decoded["refusals"][0]["requests"] == 3
    assert decoded["episodes"][0]["importance"] == "normal"
    assert decoded["accounts"][0]["share_served_in_rate"] == 0.0
    assert "the service was overloaded" in text


def test_an_empty_span_gives_a_report_that_says_so():
    """Guards against an error for a span without any data."""
    report = build_report([], [], SPAN)
    for rendered in (render_html(report), render_text(report)):
        assert "There are no summaries for this span" in rendered
    assert json.loads(render_json(report))["accounts"] == []


def test_each_reason_has_a_text_for_callers():
    """Guards against a new reason without a text in the report."""
    assert set(REASON_TEXTS) == set(Reason)

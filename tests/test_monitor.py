"""Records of hosts that a node merges, logs and passes on."""

import json
from types import SimpleNamespace

import pytest

from carawaywheel.clock import ManualClock
from carawaywheel.mesh.configuration import Service
from carawaywheel.mesh.monitor import MAX_LOGGED_HOSTS, OWN_ORIGIN, PeerMonitor
from carawaywheel.mesh.quotas import Quotas
from carawaywheel.mesh.ratelimiter import RateLimiter
from carawaywheel.mesh.replication.directory import Directory, HostRecord
from carawaywheel.mesh.replication.messages import state_decoder
from carawaywheel.mesh.replication.store import START, Position
from carawaywheel.mesh.target import Phase
from carawaywheel.mesh.unreadable import MAX_KNOWN_DOCUMENTS
from carawaywheel.mesh.warmupshare import INITIAL_SHARE


class LineList(list):
    """Journal that keeps its lines."""

    def write(self, event, **fields):
        self.append((event, fields))

    def named(self, event):
        return [fields for name, fields in self if name == event]


def make_monitor(name):
    router = SimpleNamespace(set_candidates=lambda candidates, now: None)
    return PeerMonitor(
        address_of(name), Directory(), router, LineList(), ManualClock(10.0)
    )


def address_of(name):
    return f"10.0.0.{name[1:]}:7001"


def make_record(name, sequence, phase=Phase.READY):
    return HostRecord(name, address_of(name), "a", "desk", 1, sequence, phase, 10)


def test_log_tells_the_newest_of_several_records_of_a_host():
    """Otherwise lines of superseded records leave none for what the node knows."""
    monitor = make_monitor("h1")
    names = [f"h{index + 2}" for index in range(MAX_LOGGED_HOSTS)]
    records = [make_record(name, 1) for name in names]
    records += [make_record(name, 2, Phase.DRAINING) for name in names]
    changes = [
        (Position(1, offset), record) for offset, record in enumerate(records, 1)
    ]
    monitor.merge_hosts(changes, Position(1, 9), "store")
    lines = monitor.journal.named("host")
    assert [(line["id"], line["phase"]) for line in lines] == [
        (name, Phase.DRAINING) for name in names
    ]
    assert not monitor.journal.named("hosts")


@pytest.mark.parametrize("known", [START, Position(1, 5)])
def test_reader_passes_on_the_change_of_its_own_record(known):
    """Otherwise followers skip the change, since the reader tells a later offset."""
    reader, follower = make_monitor("h1"), make_monitor("h2")
    reader.mark_hosts_known()
    for sequence, phase in ((1, Phase.READY), (2, Phase.DRAINING)):
        record = make_record("h1", sequence, phase)
        reader.merge_hosts([(START, record)], START, OWN_ORIGIN)
        read_at, read_up_to = Position(1, sequence + 4), Position(1, sequence + 5)
        reader.merge_hosts([(read_at, record)], read_up_to, "store")
        if sequence == 1:
            follower.merge_state(reader.encode_state(0, known), "h1")
    position = follower.directory.hosts_position
    follower.merge_state(reader.encode_state(0, position), "h1")
    assert follower.directory.hosts_position == Position(1, 7)
    assert follower.directory.hosts[address_of("h1")].phase == Phase.DRAINING


def test_reader_tells_the_position_of_its_own_record():
    """Otherwise a follower takes the reader's position without having the change."""
    reader = make_monitor("h1")
    draining = make_record("h1", 2, Phase.DRAINING)
    reader.merge_hosts([(START, draining)], START, OWN_ORIGIN)
    reader.merge_hosts([(Position(1, 7), draining)], Position(1, 8), "store")
    state = state_decoder.decode(reader.encode_state(0, Position(1, 7)))
    assert state.hosts == [draining]
    assert state.offsets == [7]


def document(version, **changes):
    return json.dumps({"version": version, **changes}).encode()


def broken(version):
    return document(version, services=7)


def gauge(monitor):
    (gauge,) = monitor.unreadable.gauges()
    return gauge.labels["version"], gauge.value


def test_unreadable_document_is_logged_once_with_version_and_position():
    """Otherwise a document that is read again every second fills the log."""
    monitor = make_monitor("h1")
    for number in range(MAX_KNOWN_DOCUMENTS + 5):
        monitor.receive_configuration(broken(f"r{number + 1}"), "store")
        monitor.receive_configuration(broken("r999"), "h2")
    lines = monitor.journal.named("configuration_invalid")
    assert [line["version"] for line in lines[:3]] == [1, 999, 2]
    assert len(lines) == MAX_KNOWN_DOCUMENTS + 6
    assert "$.services" in lines[0]["error"]


@pytest.mark.parametrize(
    ("documents", "expected"),
    [
        ([broken("r5")], ("5", 1.0)),
        ([b"{"], ("", 1.0)),
        # Without a configuration the node learns the one in force from a peer.
        ([broken("r5"), ("h2", document("r4"))], ("5", 1.0)),
        ([b"{", ("h2", document("r4"))], ("", 1.0)),
        ([b"{", ("h2", document("r4")), ("h2", document("r5"))], ("", 0.0)),
        ([document("r4"), b"{", ("h2", document("r5"))], ("", 0.0)),
        ([broken("r5"), ("h2", document("r5"))], ("", 0.0)),
        ([broken("r5"), document("r6")], ("", 0.0)),
        # The operator withdraws the unreadable document.
        ([document("r4"), broken("r5"), document("r4")], ("", 0.0)),
        ([document("r6"), ("h2", broken("r5"))], ("", 0.0)),
        ([document("r4"), broken("r6"), ("h2", broken("r5"))], ("6", 1.0)),
        ([document("r4"), broken("r5"), b"{"], ("", 1.0)),
    ],
)
def test_gauge_tells_whether_the_newest_document_is_unreadable(documents, expected):
    """Otherwise nobody learns of a confirmed document that is not in force."""
    monitor = make_monitor("h1")
    for item in documents:
        origin, source = ("store", item) if isinstance(item, bytes) else item
        monitor.receive_configuration(source, origin)
    assert gauge(monitor) == expected


def test_node_that_can_no_longer_be_reached_is_noticed_without_an_event():
    """It would go on to own slots: the reason of a suspension changes silently."""
    monitor = make_monitor("h1")
    monitor.router.remove_candidate = lambda address: None
    sock = SimpleNamespace(address="10.0.0.1:7006", handlers={})
    quotas = Quotas(monitor.own_address)
    limiter = RateLimiter(quotas, sock, monitor, monitor.journal, monitor.clock)
    monitor.merge_hosts([(START, make_record("h2", 1))], START, "store")
    limiter.refresh_changed_nodes()
    assert quotas.reachable == [address_of("h2")]
    monitor.suspend(address_of("h2"), "takes no work")
    limiter.refresh_changed_nodes()
    assert quotas.reachable == [address_of("h2")]
    monitor.suspended[address_of("h2")].reason = "cannot be reached"
    limiter.refresh_changed_nodes()
    assert quotas.reachable == []


def test_target_of_a_new_record_is_used_as_a_cold_one():
    """Guards against a flood of a target that started, or a service that is shunned."""
    monitor, cold = make_monitor("h1"), []
    monitor.router.set_cold = lambda *arguments: cold.append(arguments)
    service = Service("desk", "/health", 10, warmup_duration=3.0, warmup_rate=3.1)
    monitor.directory.configuration = SimpleNamespace(services={"desk": service})

    def merge(name, sequence, phase=Phase.READY, incarnation=1):
        record = make_record(name, sequence, phase)._replace(incarnation=incarnation)
        monitor.merge_hosts([(START, record)], START, "store")
        merged, cold[:] = list(cold), []
        return merged

    # At its own start a node cannot know which targets have just started.
    assert not merge("h2", 1)
    monitor.mark_hosts_known()
    assert not merge("h2", 2)
    assert not merge("h2", 1, Phase.GONE, incarnation=2)
    expected = [(address_of("h2"), 13.0, INITIAL_SHARE, 10.0)]
    assert merge("h2", 2, incarnation=2) == expected
    assert merge("h2", 1, incarnation=3) == expected
    assert len(merge("h3", 1)) == 1
    service = service._replace(warmup_rate=0.0)
    monitor.directory.configuration.services["desk"] = service
    assert not merge("h4", 1)

import curio

from carawaywheel.clock import ManualClock
from carawaywheel.follower import RecordSink, StreamCache, StreamFollower
from carawaywheel.logservice import RecordBatch
from carawaywheel.signing import Signer
from carawaywheel.sources import PositionHint, RecordSources, rank_readers

from .fakes import FakeLog


class ListSink(RecordSink):
    def __init__(self):
        self.applied = []
        self.first_offset = 0
        self.end_times = []

    def start_at(self, offset):
        self.first_offset = offset

    def apply(self, offset, data):
        self.applied.append((offset, data))

    def mark_end_reached(self, asked_at):
        self.end_times.append(asked_at)


class FixedSources(RecordSources):
    def __init__(self, addresses):
        self.addresses = addresses
        self.newest = PositionHint(0, "")

    def reader_addresses(self):
        return self.addresses

    def random_peer(self):
        return self.addresses

    def newest_position(self):
        return self.newest


def make_follower(log, addresses=None, long_poll_seconds=0.0):
    sink = ListSink()
    clock = ManualClock(100.0)
    sources = FixedSources(addresses)
    signer = Signer(b"x")
    follower = StreamFollower(
        "s", sink, log, sources, signer, clock, long_poll_seconds, True
    )
    return follower, sink, clock


def test_records_are_applied_once_and_in_order():
    """Guards against a record that is applied twice after a repeated read."""
    log = FakeLog()
    log.streams["s"] = [b"a", b"b"]
    follower, sink, _ = make_follower(log)
    for _ in range(3):
        assert curio.run(follower.poll)
    log.streams["s"].append(b"c")
    curio.run(follower.poll)
    assert sink.applied == [(0, b"a"), (1, b"b"), (2, b"c")]


def test_reader_without_recent_records_does_not_wait_for_new_ones():
    """Guards against changes that are refused until a read of the empty log ends."""
    log = FakeLog()
    follower, sink, clock = make_follower(log, long_poll_seconds=1.0)
    curio.run(follower.poll)
    assert sink.end_times == [100.0]
    for _ in range(2):
        curio.run(follower.poll)
        clock.advance(1.0)
    clock.advance(3.0)
    curio.run(follower.poll)
    curio.run(follower.poll)
    assert log.waits == [0.0, 1.0, 1.0, 0.0, 1.0]


def test_age_counts_from_the_request_not_from_the_response():
    """Guards against a lease that is renewed by a delayed response."""
    log = FakeLog()
    follower, sink, clock = make_follower(log)
    read = log.read

    async def slow_read(*arguments):
        batch = await read(*arguments)
        clock.advance(7.0)
        return batch

    log.read = slow_read
    curio.run(follower.poll)
    assert sink.end_times == [100.0]
    assert follower.age == 7.0


def test_log_is_read_when_the_reader_is_unreachable():
    """Guards against a node that stays outdated because its peer is down."""
    log = FakeLog()
    log.streams["s"] = [b"a"]
    follower, sink, _ = make_follower(log, ["127.0.0.1:1"])
    assert curio.run(follower.poll)
    assert sink.applied == [(0, b"a")]


def test_peer_is_polled_at_a_newer_position_and_at_intervals():
    """Guards against constant polling by a large fleet, and against no polling."""
    log = FakeLog()
    follower, _, clock = make_follower(log, ["127.0.0.1:1"])
    for expected, seconds, position in ((1, 0, 0), (1, 5, 0), (2, 0, 7), (3, 11, 0)):
        clock.advance(seconds)
        follower.sources.newest = PositionHint(position, "127.0.0.1:1")
        assert curio.run(follower.poll)
        assert log.reads == expected


def test_change_is_read_back_at_once_where_peers_read_the_log():
    """Guards against an operator that waits for the next poll."""
    log = FakeLog()
    log.streams["s"] = [b"a"]
    follower, sink, _ = make_follower(log, ["127.0.0.1:1"])
    follower.last_peer_request_at = 100.0

    async def run():
        task = await curio.spawn(follower.run)
        read = await follower.read_through(0, 5.0)
        await task.cancel()
        return read

    assert curio.run(run)
    assert sink.applied == [(0, b"a")]


def test_gap_is_reported_to_the_sink():
    """Guards against a reader that does not notice that the log dropped records."""
    log = FakeLog()
    log.streams["s"] = [b"a", b"b", b"c"]
    log.first_offsets["s"] = 2
    follower, sink, _ = make_follower(log)
    curio.run(follower.poll)
    assert sink.first_offset == 2
    assert sink.applied == [(2, b"c")]


def test_cache_returns_only_records_without_a_gap():
    """Guards against a gap in relayed records that a follower cannot detect."""
    cache = StreamCache()
    cache.add(RecordBatch(5, 7, [(5, b"a"), (6, b"b")]), 1.0)
    assert not cache.covers(4)
    assert cache.records_from(6, 10) == [(6, b"b")]
    cache.add(RecordBatch(9, 10, [(9, b"c")]), 2.0)
    assert not cache.covers(6)
    assert cache.records_from(9, 10) == [(9, b"c")]


def test_two_nodes_of_a_failure_domain_read_the_log():
    """Guards against a log that every node of a large fleet polls."""
    names = [f"n{number}" for number in range(143)]
    assert len(rank_readers(names)) == 2
    assert rank_readers(names) == rank_readers(list(reversed(names)))

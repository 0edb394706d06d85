"""Choice of the readers of the store."""

import random
from collections import Counter
from itertools import pairwise

import pytest

from carawaywheel.mesh.replication.readers import (
    MAX_PATIENCE_SECONDS,
    NODES_PER_READER,
    OUT_OF_TOUCH_SECONDS,
    REPLY_TIMEOUT_SECONDS,
    SILENT_SECONDS,
    ReaderChoice,
    ReaderHost,
    expected_followers,
    rank_readers,
)


def make_hosts(count, domains=5):
    return [
        ReaderHost(f"10.{index % domains}.0.{index}:80", f"zone-{index % domains}")
        for index in range(count)
    ]


def followed_readers(hosts):
    """Return how many nodes follow each reader."""
    counts = Counter()
    for host in hosts:
        first, second = rank_readers(hosts, host.address, host.domain)
        assert first[0] != second[0]
        counts.update([first[0], second[0]])
    return counts


@pytest.mark.parametrize("count", [2, 15, 196, 1000, 3000])
def test_few_nodes_read_for_all_others(count):
    counts = followed_readers(make_hosts(count))
    assert len(counts) == max(2, -(-count // NODES_PER_READER))
    assert max(counts.values()) <= 6 * NODES_PER_READER


@pytest.mark.parametrize("domains", [1, 2, 9])
def test_both_readers_of_a_node_are_in_different_domains_if_there_are_two(domains):
    hosts = make_hosts(60, domains)
    domain_of = {host.address: host.domain for host in hosts}
    for host in hosts:
        first, second = rank_readers(hosts, host.address, host.domain)
        in_different = domain_of[first[0]] != domain_of[second[0]]
        assert in_different is (domains > 1)


def test_reader_follows_itself():
    hosts = make_hosts(15)
    reader = rank_readers(hosts, "", "")[0][0]
    domain = next(host.domain for host in hosts if host.address == reader)
    first, second = rank_readers(hosts, reader, domain)
    assert first[0] == reader != second[0]


def test_reader_knows_who_should_ask_it():
    hosts = make_hosts(100)
    for reader in {rank_readers(hosts, h.address, h.domain)[0][0] for h in hosts}:
        followers = {
            host.address
            for host in hosts
            if reader in [r[0] for r in rank_readers(hosts, host.address, host.domain)]
        }
        assert set(expected_followers(hosts, [], reader)) == followers - {reader}


def test_node_whose_target_has_left_is_expected_at_its_readers():
    """Otherwise nobody looks for it when it restarts while the store is away."""
    hosts = make_hosts(80)
    other = ReaderHost("10.9.0.9:80", "zone-1")
    readers = [
        host.address
        for host in hosts
        if other.address in expected_followers(hosts, [other], host.address)
    ]
    ranked = rank_readers(hosts, other.address, other.domain)
    assert sorted(readers) == sorted(ranking[0] for ranking in ranked)


def test_order_of_the_hosts_does_not_matter():
    hosts = make_hosts(40)
    shuffled = random.Random(1).sample(hosts, len(hosts))
    assert rank_readers(hosts, "x", "zone-1") == rank_readers(shuffled, "x", "zone-1")


def test_node_without_hosts_reads_itself():
    choice = ReaderChoice("own", random.Random(1))
    choice.set_ranking([], 0.0)
    assert choice.is_given_up(0.0, False)


def make_choice(*ranking):
    choice = ReaderChoice("own", random.Random(1))
    choice.set_ranking(list(ranking), 0.0)
    return choice


def test_silent_reader_is_passed_over_for_some_time():
    choice = make_choice("a", "b")
    choice.record_query(1.0)
    assert choice.update(1.0 + REPLY_TIMEOUT_SECONDS) == ""
    assert choice.current == "a"
    silent_at = 1.1 + REPLY_TIMEOUT_SECONDS
    assert choice.update(silent_at) == "a"
    assert choice.current == "b"
    choice.update(silent_at + SILENT_SECONDS)
    assert choice.current == "a"


def test_reply_keeps_the_reader():
    choice = make_choice("a", "b")
    choice.record_query(1.0)
    choice.record_reply("a", True, 1.1)
    choice.update(9.0)
    assert choice.current == "a"


def test_reader_out_of_touch_with_the_store_is_passed_over():
    choice = make_choice("a", "b")
    choice.record_reply("a", False, 1.0)
    assert choice.current == "b"
    choice.update(1.0 + OUT_OF_TOUCH_SECONDS)
    assert choice.current == "a"


def test_reply_of_another_node_changes_nothing():
    choice = make_choice("a", "b")
    choice.record_reply("z", False, 1.0)
    assert choice.current == "a"


def test_nodes_that_lose_all_readers_read_at_different_times():
    """All of them lose the readers at once when the store is down."""
    rng = random.Random(3)
    choices = [ReaderChoice("own", rng) for _ in range(200)]
    for choice in choices:
        choice.set_ranking(["a", "b"], 0.0)
        choice.record_reply("a", False, 10.0)
        choice.record_reply("b", False, 10.0)
        assert choice.current == "" and not choice.is_given_up(10.5, False)
        assert choice.is_given_up(10.5, True)
    given_up = [
        sum(choice.is_given_up(10.0 + seconds, False) for choice in choices)
        for seconds in range(1, int(MAX_PATIENCE_SECONDS) + 1)
    ]
    steps = [after - before for before, after in pairwise(given_up)]
    assert given_up[-1] == 200 and max(steps) < 80

"""State that nodes share through the store, as real processes with stand-ins."""

import json
import signal
import time

import curio
import pytest

from standins.caller import request

from .platform_harness import Platform, configuration, route, wait

ONLY_READ = [route("read", "idempotent", "desk", 1)]
# config_apply_s of the strictest deployments.
APPLY_SECONDS = 2.0
NAMES = ("h1", "h2", "h3", "h4", "h5")


@pytest.fixture
def platform():
    with Platform() as platform:
        platform.publish(configuration(3))
        yield platform


def start_hosts(platform, names=NAMES, through_relays=False):
    for name in names:
        store = ""
        if through_relays:
            arguments = ["-m", "standins.relay", "--upstream", platform.store_address]
            relay = platform.start(f"relay-{name}", arguments)
            store = relay.startup_info["address"]
        platform.start_node(name, "yard" if name == "h2" else "desk", store)
        platform.start_endpoint(name, "yard" if name == "h2" else "desk")
    for name in names:
        platform.wait_until_served(name, "/inner/x")


def set_relay(platform, name, **settings):
    address = platform.processes[f"relay-{name}"].startup_info["control"]
    platform.control(address, settings)


def store_calls(platform):
    address = platform.store_address
    response = curio.run(request, address, "GET", "/counts", [], b"", 5.0)
    return json.loads(response.body)["calls"]


def readers(platform, names=NAMES):
    """Return the nodes whose last line on the matter says that they read."""
    lines = {}
    for name in names:
        for line in platform.log_lines(name):
            if line["event"] in ("reader", "reader_ended"):
                lines[name] = line["event"]
    return [name for name, event in lines.items() if event == "reader"]


def wait_for_readers(platform, names=NAMES):
    return platform.wait_for(
        lambda: len(found := readers(platform, names)) == 2 and found,
        "two nodes read the store",
    )


def is_in_force(platform, name):
    """Return whether a node knows the configuration with one route."""
    return platform.send(name, "/order/1", "POST").status == 404


def in_force_at(platform, name, version):
    """Return the Unix time at which a version came into force; 0 if it has not."""
    lines = platform.log_lines(name, "configuration")
    return next((line["time"] for line in lines if line["version"] == version), 0)


def wait_until_in_force(platform, names, seconds):
    platform.wait_for(
        lambda: all(is_in_force(platform, name) for name in names),
        "the new configuration is in force",
        seconds,
    )


def test_two_nodes_read_the_store_and_all_learn_changes(platform):
    start_hosts(platform)
    wait_for_readers(platform)
    calls = store_calls(platform)
    platform.publish(configuration(4, ONLY_READ))
    wait_until_in_force(platform, NAMES, 2.0)
    for phase in ("draining", "gone"):
        platform.configure_target("h2", phase=phase)
    platform.wait_for(
        lambda: all(
            any(line["phase"] == 2 for line in platform.log_lines(name, "host"))
            for name in NAMES
        ),
        "all know that the target of h2 is gone",
        2.0,
    )
    # Two writes of h2; the two readers poll two tables a few times.
    assert store_calls(platform) - calls <= 16


@pytest.mark.parametrize("fault", ["cut", "silent"])
def test_change_arrives_although_both_readers_lose_the_store(platform, fault):
    """The store turns just the readers away, or no longer answers them."""
    start_hosts(platform, through_relays=True)
    for name in wait_for_readers(platform):
        set_relay(platform, name, **{fault: True})
    platform.publish(configuration(4, ONLY_READ))
    wait_until_in_force(platform, NAMES, APPLY_SECONDS)


def test_change_arrives_although_a_reader_hears_nothing_from_the_store(platform):
    """Its connection stays open, and the other reader goes on."""
    start_hosts(platform, through_relays=True)
    silent, _ = wait_for_readers(platform)
    set_relay(platform, silent, silent=True)
    platform.publish(configuration(4, ONLY_READ))
    wait_until_in_force(platform, NAMES, 2.0)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_change_arrives_although_both_readers_are_lost(platform, number):
    start_hosts(platform)
    lost = wait_for_readers(platform)
    others = [name for name in NAMES if name not in lost]
    for name in lost:
        platform.processes[name].signal(number)
    published_at = time.time()
    platform.publish(configuration(4, ONLY_READ))
    times = platform.wait_for(
        lambda: all(found := [in_force_at(platform, n, 4) for n in others]) and found,
        "all others know it",
    )
    assert max(times) - published_at <= APPLY_SECONDS


@pytest.mark.parametrize("role", ["reader", "follower"])
def test_node_started_while_the_store_is_down_learns_all_from_a_peer(platform, role):
    """It knows no other node, and no request may lead anybody to it."""
    start_hosts(platform)
    found = wait_for_readers(platform)
    name = next(n for n in NAMES if n != "h2" and (n in found) == (role == "reader"))
    platform.publish(configuration(4, ONLY_READ))
    wait_until_in_force(platform, NAMES, 2.0)
    platform.control(platform.store_address, {"down": True})
    platform.processes[name].kill()
    wait(2.0)
    platform.start_node(name, "desk")
    platform.wait_until_served(name, "/read/1", 8.0)
    assert is_in_force(platform, name)


def test_withdrawn_key_stays_withdrawn_after_a_restart_without_the_store(platform):
    start_hosts(platform)
    withdrawn = [{"name": "mill", "api_keys": ["k2"], "rate_per_s": 0, "burst": 0}]
    platform.publish(configuration(4, tenants=withdrawn))
    platform.wait_for(
        lambda: all(
            platform.send(name, "/read/1").status == 401
            and platform.send(name, "/read/1", key="k2").status == 200
            for name in NAMES
        ),
        "the key is withdrawn everywhere",
    )
    platform.control(platform.store_address, {"down": True})
    platform.processes["h3"].kill()
    platform.start_node("h3", "desk")
    platform.wait_for(
        lambda: platform.send("h3", "/read/1", key="k2").status == 200,
        "the restarted node serves",
        8.0,
    )
    assert platform.send("h3", "/read/1").status == 401


def test_record_of_a_former_start_with_a_later_clock_is_superseded(platform):
    """The time of day stepped back between the two starts of h2."""
    start_hosts(platform)
    platform.processes["h2"].kill()
    address = platform.address("h2", "inbound")
    key, value = platform.record_of("h2")
    assert key == address
    value[4] += 3_600_000
    value[6] = 2
    platform.put_record(key, value)
    platform.wait_for(
        lambda: platform.send("h1", "/order/1", "POST").status == 503,
        "h1 knows the record",
    )
    platform.start_node("h2", "yard")
    platform.wait_for(
        lambda: platform.send("h1", "/order/1", "POST").status == 200,
        "the restarted node serves",
        8.0,
    )


def test_nodes_that_know_no_readers_serve_beside_those_that_do(platform):
    for name in ("h1", "h2", "h3", "h4"):
        former = name in ("h2", "h3")
        program = "tests.former_node" if former else "carawaywheel"
        service = "yard" if name in ("h2", "h4") else "desk"
        platform.start_node(name, service, program=program)
        platform.start_endpoint(name, service)
    for name in ("h1", "h2", "h3", "h4"):
        platform.wait_until_served(name, "/inner/x")
        assert platform.send(name, "/order/1", "POST").status == 200
    platform.configure_target("h4", phase="draining")
    platform.configure_target("h3", phase="draining")
    for name in ("h1", "h2"):
        for drained in ("h3", "h4"):
            platform.wait_for(
                lambda name=name, drained=drained: any(
                    line["id"] == drained and line["phase"] == 1
                    for line in platform.log_lines(name, "host")
                ),
                f"{name} knows that the target of {drained} drains",
                3.0,
            )
    platform.publish(configuration(4, ONLY_READ))
    wait_until_in_force(platform, ("h1", "h2", "h3", "h4"), 3.0)


def test_leaving_target_is_not_used_after_a_restart_of_its_node(platform):
    """A heartbeat from before the target began to drain arrives late."""
    start_hosts(platform)
    platform.configure_target("h2", phase="gone")
    platform.wait_for(
        lambda: platform.send("h1", "/order/1", "POST").status == 503,
        "the target of h2 gets no requests",
    )
    platform.processes["h2"].kill()
    platform.start_node("h2", "yard")
    platform.wait_for(
        lambda: platform.log_lines("h2", "target_was_leaving"), "h2 reads its record"
    )
    platform.configure_target("h2", phase="ready")
    platform.configure_target("h2", phase="gone")
    assert platform.send("h1", "/order/1", "POST").status == 503
    assert platform.send("h2", "/order/1", "POST").status == 503


def count_records(platform, topic):
    """Return the number of records that a topic holds."""
    path = f"/api/log-newest?topic={topic}&part=0"
    address = platform.store_address
    response = curio.run(request, address, "GET", path, [], b"", 5.0)
    return json.loads(response.body)["end_offset"]


def put_operator_value(platform, key):
    command = {"topic": "keyed.op", "key": key, "put": {}}
    platform.control(platform.store_address, command)


@pytest.mark.parametrize("others", [0, 2, 4])
def test_change_at_an_offset_given_out_again_is_in_force(platform, others):
    """The table ends below, at and above the offset that the readers ask for."""
    start_hosts(platform)
    for version in (4, 5, 6):
        platform.publish(configuration(version))
    wait_for_readers(platform)
    wait(1.2)
    platform.control(platform.store_address, {"down": True})
    platform.control(platform.store_address, {"restore": {"keyed.op": 3}})
    platform.publish(configuration(7, ONLY_READ))
    for number in range(others):
        put_operator_value(platform, f"other-{number}")
    platform.control(platform.store_address, {"down": False})
    wait_until_in_force(platform, NAMES, 4.0)
    platform.publish(configuration(8))
    platform.wait_for(
        lambda: not any(is_in_force(platform, name) for name in NAMES),
        "the next change is in force",
        2.0,
    )


def test_host_whose_record_was_lost_is_known_to_nodes_that_start_later(platform):
    start_hosts(platform)
    wait_for_readers(platform)
    lost = count_records(platform, "keyed.hosts")
    platform.control(platform.store_address, {"restore": {"keyed.hosts": lost}})
    platform.wait_for(
        lambda: count_records(platform, "keyed.hosts") >= len(NAMES),
        "all records are written again",
        4.0,
    )
    assert count_records(platform, "keyed.hosts") == len(NAMES)
    platform.start_host("h6", "desk")
    platform.wait_until_served("h6", "/read/1", 8.0)
    assert platform.send("h6", "/order/1", "POST").status == 200
    assert all(
        line["era"] == 2
        for name in NAMES
        for line in platform.log_lines(name, "store_era")
    )


def versions_since_restart(platform, name):
    """Return the versions that the second process of a node has had in force."""
    lines = platform.log_lines(name)
    starts = [i for i, line in enumerate(lines) if line["event"] == "start"]
    return [
        line["version"]
        for line in lines[starts[1] if len(starts) > 1 else len(lines) :]
        if line["event"] == "configuration"
    ]


@pytest.mark.parametrize("role", ["followers", "readers"])
def test_nodes_restarted_beside_a_store_that_lost_a_change_start_with_it(
    platform, role
):
    """Their peers have the change, and the operator has not written it again yet."""
    start_hosts(platform)
    found = wait_for_readers(platform)
    names = [n for n in NAMES if (n in found) == (role == "readers")][:2]
    platform.publish(configuration(4, ONLY_READ))
    wait_until_in_force(platform, NAMES, 2.0)
    platform.control(platform.store_address, {"restore": {"keyed.op": 1}})
    for name in names:
        platform.processes[name].kill()
    for name in names:
        platform.start_node(name, "yard" if name == "h2" else "desk")
    for name in names:
        versions = platform.wait_for(
            lambda name=name: versions_since_restart(platform, name),
            "the log tells the version",
            8.0,
        )
        assert versions == [4]


def test_record_that_only_peers_have_of_a_lost_node_is_written_again(platform):
    """Otherwise nodes that start later use a target that has left."""
    start_hosts(platform)
    wait_for_readers(platform)
    count = count_records(platform, "keyed.hosts")
    platform.configure_target("h2", phase="gone")
    platform.wait_for(
        lambda: platform.record_of("h2")[1][6] == 2, "the store knows that h2 is gone"
    )
    platform.wait_for(
        lambda: all(
            any(line["phase"] == 2 for line in platform.log_lines(name, "host"))
            for name in NAMES
        ),
        "all know that the target of h2 is gone",
    )
    platform.processes["h2"].kill()
    lost = count_records(platform, "keyed.hosts") - count
    platform.control(platform.store_address, {"restore": {"keyed.hosts": lost}})
    assert platform.record_of("h2")[1][6] == 0
    platform.wait_for(
        lambda: platform.record_of("h2")[1][6] == 2, "its last record is back", 8.0
    )
    # The records of the four that live, and one of the lost node.
    assert count_records(platform, "keyed.hosts") == count + len(NAMES)


def test_change_of_a_host_at_an_offset_given_out_again_is_known(platform):
    start_hosts(platform)
    wait_for_readers(platform)
    platform.control(platform.store_address, {"restore": {"keyed.hosts": 3}})
    platform.configure_target("h2", phase="draining")
    platform.wait_for(
        lambda: all(
            any(line["phase"] == 1 for line in platform.log_lines(name, "host"))
            for name in NAMES
        ),
        "all know that the target of h2 drains",
        4.0,
    )
    assert platform.send("h1", "/order/1", "POST").status == 503

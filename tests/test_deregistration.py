"""Targets that deregister around a restart of their node, between real nodes."""

import curio
import pytest

from standins.caller import request

from .platform_harness import Platform, configuration, wait

# Two heartbeats, and a margin.
REUSE_SECONDS = 4.0


@pytest.fixture
def platform():
    with Platform() as platform:
        platform.publish(configuration(3))
        platform.start_host("h1", "desk")
        platform.start_host("h2", "yard")
        platform.wait_until_served("h1", "/inner/first")
        platform.wait_until_served("h2", "/inner/first")
        platform.wait_for(lambda: platform.record_of("h2")[1][6] == 0, "is stored")
        # From here on only the test sends heartbeats, except for new targets.
        platform.configure_target("h2", silent=True, hold=True)
        yield platform


def restart_node(platform, name):
    """Kill a node and start it again; return once it takes heartbeats."""
    platform.processes[name].kill()
    platform.start_node(name, "yard")
    address = platform.address(name, "control")
    platform.wait_for(
        lambda: curio.run(request, address, "GET", "/").status == 404,
        "it takes heartbeats",
    )


def leave(platform):
    """Let the target of h2 deregister; return whether that is acknowledged."""
    return command_target(platform, phase="gone")


def command_target(platform, **settings):
    """Control the target of h2; return whether its last message is acknowledged."""
    address = platform.address("h2", "app")
    return platform.control(address, settings)["acknowledged"]


def assert_not_used(platform):
    """Check that neither node sends anything to the target that has left."""
    before = len(platform.runs("h2"))
    for name in ("h1", "h2"):
        assert platform.send(name, "/order/late", "POST", b"x").status == 503
        assert platform.send(name, "/inner/late").status == 503
    assert len(platform.runs("h2")) == before


def assert_used_again(platform, identity):
    """Check that a new target at the same address is used soon."""
    platform.processes.pop("target-h2").stop()
    platform.start_endpoint("h2", "yard", identity=identity)
    platform.wait_until_served("h1", "/inner/again", REUSE_SECONDS)


@pytest.mark.parametrize("tells_start", [True, False])
@pytest.mark.parametrize("identity", ["i-h2", "i-new"])
def test_deregistration_at_a_node_that_has_just_started(
    platform, tells_start, identity
):
    """Guards against a node that confirms a deregistration and forgets it."""
    platform.configure_target("h2", tells_start=tells_start)
    restart_node(platform, "h2")
    assert leave(platform)
    platform.configure_target("h2", release=True)
    wait(0.3)
    assert_not_used(platform)
    assert_used_again(platform, identity)


def test_restart_after_a_deregistration_that_the_store_does_not_take(platform):
    """Guards against a confirmation that the next process does not know of."""
    platform.control(platform.store_address, {"down": True})
    assert leave(platform)
    restart_node(platform, "h2")
    platform.configure_target("h2", release=True)
    wait(0.3)
    assert_not_used(platform)
    platform.wait_for(
        lambda: platform.log_lines("h2", "target_was_leaving"),
        "h2 learns from h1 that its target was leaving",
        8.0,
    )
    assert_not_used(platform)
    platform.control(platform.store_address, {"down": False})
    wait(1.0)
    assert_not_used(platform)
    assert_used_again(platform, "i-h2")


def test_late_heartbeat_that_is_quicker_than_the_record_of_the_former_process(platform):
    """Guards against a target that is used while its node reads the store."""
    assert leave(platform)
    platform.control(platform.store_address, {"delay": 1.2})
    restart_node(platform, "h2")
    platform.configure_target("h2", release=True)
    for _ in range(4):
        assert_not_used(platform)
        wait(0.4)
    platform.control(platform.store_address, {"delay": 0.0})
    platform.wait_for(
        lambda: platform.log_lines("h2", "target_was_leaving"), "h2 reads its record"
    )
    assert_not_used(platform)


def test_second_restart_before_any_heartbeat(platform):
    """Guards against a record that takes back what an earlier process confirmed."""
    restart_node(platform, "h2")
    assert leave(platform)
    for _ in range(2):
        restart_node(platform, "h2")
        platform.wait_for(
            lambda: platform.record_of("h2")[1][6] == 2, "its record tells of it"
        )
    platform.configure_target("h2", release=True)
    wait(0.5)
    assert_not_used(platform)


def test_leaving_that_nobody_else_can_know_is_not_confirmed(platform):
    platform.control(platform.store_address, {"down": True})
    platform.processes["h1"].kill()
    assert not leave(platform)
    assert platform.send("h2", "/inner/late").status == 503
    platform.control(platform.store_address, {"down": False})
    platform.wait_for(lambda: leave(platform), "it is confirmed", 8.0)


def test_late_deregistration_of_a_former_start_ends_nothing(platform):
    """Guards against a present target that is no longer used."""
    former = platform.processes.pop("target-h2")
    former.stop()
    platform.start_endpoint("h2", "yard", identity="i-h2")
    platform.wait_until_served("h1", "/inner/again", REUSE_SECONDS)
    address = platform.address("h2", "control")
    path = "/api/instances/i-h2"
    response = curio.run(request, address, "DELETE", path, [], b'{"born":1000}')
    assert response.status == 200
    assert platform.send("h1", "/inner/x").status == 200

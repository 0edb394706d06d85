"""Targets whose responses say that they leave, between real nodes."""

import pytest

from .platform_harness import Platform, configuration


@pytest.fixture
def platform():
    with Platform() as platform:
        platform.publish(configuration(3))
        for name, service in (("h1", "desk"), ("h2", "yard"), ("h3", "desk")):
            platform.start_host(name, service)
        for name in ("h1", "h3"):
            platform.wait_until_served(name, "/inner/first")
        yield platform


def test_target_whose_responses_say_that_it_leaves_gets_nothing_new(platform):
    """Its heartbeats go on calling it ready."""
    platform.configure_target("h2", leaving=True)
    assert platform.send("h1", "/inner/last").status == 200
    for name in ("h1", "h3"):
        assert platform.send(name, "/inner/later").status == 503
    assert not platform.runs("h2", "/inner/later")
    platform.wait_for(lambda: platform.log_lines("h2", "target_leaving"), "is logged")


def test_other_targets_take_over_from_one_whose_responses_say_that_it_leaves(platform):
    platform.start_host("h4", "yard")
    platform.wait_for(
        lambda: platform.send("h1", "/inner/x") and platform.runs("h4"), "h4 is used"
    )
    platform.configure_target("h2", leaving=True)
    statuses = [platform.send("h1", f"/inner/{index}").status for index in range(20)]
    assert statuses == [200] * 20
    last = len(platform.runs("h2"))
    statuses = [platform.send("h3", f"/inner/{index}").status for index in range(20)]
    assert statuses == [200] * 20
    assert len(platform.runs("h2")) <= last + 1

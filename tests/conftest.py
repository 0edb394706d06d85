"""Hypothesis profiles, marks, and the logs of the nodes in reports of failures."""

import os
import re
from pathlib import Path

import pytest
from hypothesis import HealthCheck, Phase, settings

from .platform_harness import Platform

SLOW_TEST_CHECKS = [HealthCheck.too_slow, HealthCheck.data_too_large]

settings.register_profile(
    "fixed", derandomize=True, deadline=None, suppress_health_check=SLOW_TEST_CHECKS
)
settings.register_profile(
    "search", max_examples=5000, deadline=None, suppress_health_check=SLOW_TEST_CHECKS
)
# Reports a failing case without the time to shrink it.
settings.register_profile(
    "unshrunk",
    derandomize=True,
    deadline=None,
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=SLOW_TEST_CHECKS,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))


def pytest_configure(config):
    config.addinivalue_line(
        "markers",
        "proves(invariant, step, fault): the test shows that an invariant holds under "
        "a fault in a step; bench/faults.py writes docs/FAULTS.md from these marks",
    )
    config.addinivalue_line(
        "markers",
        "known_red(number, always=False): a fault that is not fixed yet fails the "
        "test, now and then or always; the entry "
        "of this number in KNOWN-RED.txt describes it",
    )


def pytest_collection_modifyitems(items):
    """Let the marked tests fail; a mark without its entry is an error."""
    text = (Path(__file__).parents[1] / "KNOWN-RED.txt").read_text()
    entries = set(re.findall(r"^(\d+)\. ", text, re.MULTILINE))
    for item in items:
        for mark in item.iter_markers("known_red"):
            number = str(mark.args[0])
            if number not in entries:
                raise pytest.UsageError(f"{item.nodeid}: KNOWN-RED has no {number}")
            # Only a failed check is passed over, not an error in the test.
            known = pytest.mark.xfail(
                reason=f"KNOWN-RED {number}",
                raises=AssertionError,
                strict=mark.kwargs.get("always", False),
            )
            item.add_marker(known)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Add the logs of the nodes to the report; a fixture deletes them afterwards."""
    report = yield
    platform = item.funcargs.get("platform")
    if report.failed and isinstance(platform, Platform):
        report.sections.append(("node logs", platform.log_ends()))
    return report

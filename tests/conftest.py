"""Profiles of hypothesis, and the marks that say which fault a test guards against."""

import os

from hypothesis import HealthCheck, Phase, settings

SLOW = [HealthCheck.too_slow, HealthCheck.data_too_large]

settings.register_profile(
    "fixed", derandomize=True, deadline=None, suppress_health_check=SLOW
)
settings.register_profile(
    "search", max_examples=5000, deadline=None, suppress_health_check=SLOW
)
# Enough to tell that a case fails, without the search for the smallest one.
settings.register_profile(
    "unshrunk",
    derandomize=True,
    deadline=None,
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=SLOW,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))


def pytest_configure(config):
    config.addinivalue_line(
        "markers",
        "proves(invariant, step, fault): the test shows that an invariant holds under "
        "a fault in a step; bench/faults.py makes docs/FAULTS.md of these marks",
    )

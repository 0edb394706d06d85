"""Profiles of hypothesis: the same cases every time, or a long search by seed."""

import os

from hypothesis import HealthCheck, settings

SLOW = [HealthCheck.too_slow, HealthCheck.data_too_large]

settings.register_profile(
    "fixed", derandomize=True, deadline=None, suppress_health_check=SLOW
)
settings.register_profile(
    "search", max_examples=5000, deadline=None, suppress_health_check=SLOW
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))

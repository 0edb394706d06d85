"""The harness of the tests that run the platform as real processes."""

import itertools
import random

from standins.platform import PORT_RANGE

from .platform_harness import Platform


def test_test_runs_side_by_side_use_different_ports(monkeypatch):
    """Otherwise a node or target of one finds its address in use."""
    start = random.SystemRandom().randrange(len(PORT_RANGE))
    order = [*PORT_RANGE[start:], *PORT_RANGE[:start]]
    choices = itertools.chain.from_iterable((base, base) for base in order)
    monkeypatch.setattr(random.SystemRandom, "choice", lambda *_: next(choices))
    with Platform() as first, Platform() as second:
        assert first.port_base != second.port_base

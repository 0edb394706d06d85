"""Entry point of ``python -m carawaywheel``."""

from .main import run

run()

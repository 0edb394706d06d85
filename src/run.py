"""Starts the command line from a checkout, without an installed package."""

from carawaywheel.__main__ import start

start()

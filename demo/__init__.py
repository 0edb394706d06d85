"""Demonstration of a small mesh of real processes."""

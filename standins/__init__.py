"""Stand-ins for the platform and its callers, for the demo and the tests."""

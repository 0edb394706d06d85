"""Stand-ins and processes of a small deployment, for the cases of the second review."""

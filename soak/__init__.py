"""Fault soak of the mesh node: real processes, a seeded schedule, checked promises."""

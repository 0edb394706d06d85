"""Mesh node: a sidecar that serves a mesh of services beside its target host."""

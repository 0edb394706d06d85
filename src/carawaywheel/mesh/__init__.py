"""A node that serves a mesh of services beside its target host."""

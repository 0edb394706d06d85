"""Shared state of the mesh: the configuration and the records of all hosts.

A change travels through the modules in this order: ``publisher`` writes it to the
``store``, a ``follower`` of a reader reads it, ``readers`` tells who reads for whom,
``messages`` carry it to the other nodes, and each node keeps it in its ``directory``.
"""

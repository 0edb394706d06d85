"""Benchmarks: simulations on a manual clock and measurements on real sockets."""

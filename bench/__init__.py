"""Small measurements of the core with a paused clock, and of real sockets."""

"""Measures what the daemon, the platform and the links cost, and how the cost grows."""

"""Measures the cost of daemons, the platform and network links, and how it scales."""

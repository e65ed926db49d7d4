"""Stand-in for the users' platform: its log, and upstreams that run tasks under leases.

Run it with ``python -m fireflybridge_standins.site``. It records the start and end of every run for
tests to check. ``POST /control/...`` sets faults and returns the records; see
``Site.handle_control``.
"""

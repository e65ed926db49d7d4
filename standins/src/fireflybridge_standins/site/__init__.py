"""Stand-in for the users' platform: its log, and upstreams that run tasks under leases.

Run it with ``python -m fireflybridge_standins.site``. It records every run with its times, so that
a test can check what was promised. ``POST /control/...`` sets faults; see ``_control``.
"""

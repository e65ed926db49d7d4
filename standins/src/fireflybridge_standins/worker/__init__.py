"""Stand-in for upstream workers: records every started task and injects faults on request.

Run it with ``python -m fireflybridge_standins.worker``.
"""

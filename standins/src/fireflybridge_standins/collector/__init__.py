"""Stand-in for an OTLP collector: receives spans over HTTP in JSON and lists them.

Run it with ``python -m fireflybridge_standins.collector``.
"""

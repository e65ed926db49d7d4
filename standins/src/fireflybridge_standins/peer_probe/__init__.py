"""Endpoint of links between daemons, for tests and measurements.

Run it with ``python -m fireflybridge_standins.peer_probe``.
"""

from fireflybridge_standins.peer_probe._endpoint import Endpoint

__all__ = ["Endpoint"]

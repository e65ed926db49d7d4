"""Endpoint of daemon links for tests and measurements."""

from fireflybridge_standins.peer_probe._endpoint import Endpoint

__all__ = ["Endpoint"]

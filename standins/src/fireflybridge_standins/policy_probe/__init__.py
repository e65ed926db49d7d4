"""Simulates the dispatch policy in virtual time and compares it with simpler policies."""

from fireflybridge_standins.policy_probe._targets import Targets, measure_flood, measure_load

__all__ = ["Targets", "measure_flood", "measure_load"]

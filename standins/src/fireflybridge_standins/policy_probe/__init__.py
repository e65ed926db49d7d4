"""Measure the dispatch policy in virtual time, against simpler orders of the same work."""

from fireflybridge_standins.policy_probe._targets import Targets, measure_flood, measure_load

__all__ = ["Targets", "measure_flood", "measure_load"]

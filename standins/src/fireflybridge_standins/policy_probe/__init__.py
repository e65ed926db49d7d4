"""Simulates the dispatch policy in virtual time and compares it with simpler policies."""

from fireflybridge_standins.policy_probe._performance import (
    PolicyPerformance,
    measure_flood,
    measure_load,
)

__all__ = ["PolicyPerformance", "measure_flood", "measure_load"]

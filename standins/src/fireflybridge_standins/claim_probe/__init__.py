"""Checks and measurements of the claims library: log in memory, model check, load."""

from fireflybridge_standins.claim_probe._checker import Verdict, search_model
from fireflybridge_standins.claim_probe._memory_log import Fault, MemoryLog
from fireflybridge_standins.claim_probe._model import Rule

__all__ = ["Fault", "MemoryLog", "Rule", "Verdict", "search_model"]

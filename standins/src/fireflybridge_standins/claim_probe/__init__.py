"""In-memory log, model checker and measurements for the claims library.

``python -m fireflybridge_standins.claim_probe`` runs the measurements.
"""

from fireflybridge_standins.claim_probe._checker import SearchResult, search_model
from fireflybridge_standins.claim_probe._memory_log import Fault, MemoryLog
from fireflybridge_standins.claim_probe._model import Rule

__all__ = ["Fault", "MemoryLog", "Rule", "SearchResult", "search_model"]

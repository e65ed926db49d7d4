"""Load generator: sends a limited number of jobs or single requests for a limited time.

Run it with ``python -m fireflybridge_standins.load``.
"""

from fireflybridge_standins.load._plan import Plan, Report
from fireflybridge_standins.load._run import run_load

__all__ = ["Plan", "Report", "run_load"]

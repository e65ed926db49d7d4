"""Load generator: jobs and single requests over kept connections, bounded in count and time."""

from fireflybridge_standins.load._plan import Plan, Report
from fireflybridge_standins.load._run import run_load

__all__ = ["Plan", "Report", "run_load"]

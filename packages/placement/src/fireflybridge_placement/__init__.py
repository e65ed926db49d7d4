"""Scheduling decisions as functions over frozen data classes, without input or output."""

from fireflybridge_placement._admission import RETRY_AFTER_S, compute_refusal_time
from fireflybridge_placement._choice import (
    TaskRequirements,
    UpstreamCandidate,
    choose_upstream,
    compute_run_time_limit,
)
from fireflybridge_placement._crashes import (
    CrashHistory,
    should_give_up,
    should_hold_back,
)
from fireflybridge_placement._estimates import WorkEstimator
from fireflybridge_placement._health import (
    Health,
    eject,
    record_failure,
    record_success,
)
from fireflybridge_placement._index import UpstreamIndex
from fireflybridge_placement._moves import (
    RunProgress,
    TimeLimits,
    select_missed_limits,
    should_move,
)
from fireflybridge_placement._order import (
    compute_critical_path_ms,
    compute_latest_start,
    compute_objective_ms,
)

__all__ = [
    "RETRY_AFTER_S",
    "CrashHistory",
    "Health",
    "RunProgress",
    "TaskRequirements",
    "TimeLimits",
    "UpstreamCandidate",
    "UpstreamIndex",
    "WorkEstimator",
    "choose_upstream",
    "compute_critical_path_ms",
    "compute_latest_start",
    "compute_objective_ms",
    "compute_refusal_time",
    "compute_run_time_limit",
    "eject",
    "record_failure",
    "record_success",
    "select_missed_limits",
    "should_give_up",
    "should_hold_back",
    "should_move",
]

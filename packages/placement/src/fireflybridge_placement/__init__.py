"""Scheduling decisions as functions over frozen data classes, without input or output."""

from fireflybridge_placement._admission import RETRY_AFTER_S, compute_refusal_time
from fireflybridge_placement._choice import Candidate, Demand, choose_upstream
from fireflybridge_placement._estimates import Estimates
from fireflybridge_placement._health import (
    Health,
    eject,
    record_failure,
    record_success,
)
from fireflybridge_placement._moves import Progress, TimeLimits, should_move
from fireflybridge_placement._order import compute_chain_ms, compute_objective_ms, compute_rank

__all__ = [
    "RETRY_AFTER_S",
    "Candidate",
    "Demand",
    "Estimates",
    "Health",
    "Progress",
    "TimeLimits",
    "choose_upstream",
    "compute_chain_ms",
    "compute_objective_ms",
    "compute_rank",
    "compute_refusal_time",
    "eject",
    "record_failure",
    "record_success",
    "should_move",
]

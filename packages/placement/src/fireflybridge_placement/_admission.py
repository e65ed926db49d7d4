"""Refusal of jobs that can't be started in time."""

from fireflybridge_jobs import Job
from fireflybridge_placement._order import compute_objective_ms

MAX_WAIT_SHARE = 0.16  # share of its objective that a job may wait for the start of a task
RETRY_AFTER_S = 1  # the shortest nonzero wait that the Retry-After header can express


def compute_refusal_time(job: Job, received_s: float, critical_path_ms: float) -> float:
    """Return when a job is refused if none of its tasks has been started by then.

    Limits the queue in a burst above capacity: a job that starts later than this would be late, so
    it is refused while its caller can still submit it elsewhere.
    """
    return received_s + MAX_WAIT_SHARE * compute_objective_ms(job, critical_path_ms) / 1000

"""When a job that waits for room is refused."""

from fireflybridge_jobs import Job
from fireflybridge_placement._order import compute_objective_ms

WAIT_SHARE = 0.16  # share of its objective that a job may wait before any of it is started
RETRY_AFTER_S = 1  # the shortest wait that the header can express


def compute_refusal_time(job: Job, received_s: float, chain_ms: float) -> float:
    """Return when a job is refused if nothing of it has been started.

    Answers a burst above capacity: a job that starts later than this would be late, so its caller
    learns of the refusal while it can still turn elsewhere.
    """
    return received_s + WAIT_SHARE * compute_objective_ms(job, chain_ms) / 1000

"""Order in which waiting jobs are served."""

from math import log2

from fireflybridge_jobs import Job

WIDTH_FACTOR = 0.25  # the longest of many alike tasks exceeds their mean
LONGEST_FACTOR = 2.0


def compute_objective_ms(job: Job, chain_ms: float) -> float:
    """Return the time within which a job's answer counts in full.

    ``chain_ms`` is the expected work of the longest chain of the job's tasks.
    """
    return job.policy.target_latency_ms + job.policy.stretch * chain_ms


def compute_rank(job: Job, received_s: float, chain_ms: float) -> float:
    """Return the latest start that keeps the objective; the smallest is served first.

    Answers short work behind long work at a peak: a job of short tasks has little slack and goes
    ahead of a job of long tasks that was received a little earlier.
    """
    return received_s + (compute_objective_ms(job, chain_ms) - chain_ms) / 1000


def compute_chain_ms(job: Job) -> float:
    """Return the expected work of the longest chain of a job's tasks, by their estimates."""
    lengths: list[float] = []
    for step in job.steps:
        longest = min(1 + WIDTH_FACTOR * log2(max(step.count, 1)), LONGEST_FACTOR)
        before = max((lengths[index] for index in step.after), default=0.0)
        lengths.append(before + step.estimate_ms * longest)
    return max(lengths, default=0.0)

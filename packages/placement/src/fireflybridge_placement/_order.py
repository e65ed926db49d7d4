"""Latency objective, critical path and queue order of jobs."""

from math import log2

from fireflybridge_jobs import Job

WIDTH_FACTOR = 0.25  # the longest of many identical tasks takes longer than their mean
MAX_LONGEST_FACTOR = 2.0


def compute_objective_ms(job: Job, critical_path_ms: float) -> float:
    """Return the time within which a job must be answered to be on time.

    ``critical_path_ms`` is the expected work of the longest chain of dependent tasks.
    """
    return job.policy.target_latency_ms + job.policy.stretch * critical_path_ms


def compute_latest_start(
    job: Job, received_s: float, critical_path_ms: float, fast_speed: float = 1.0
) -> float:
    """Return the latest start that meets the objective, or the deadline if that comes first.

    The job with the smallest is placed first. Keeps short jobs from waiting behind long ones at
    peak load: a job of short tasks has little slack and precedes a job of long tasks that was
    received slightly earlier. A job whose deadline comes before its objective is due when a fast
    upstream, of ``fast_speed``, can just meet the deadline.
    """
    objective_slack_ms = compute_objective_ms(job, critical_path_ms) - critical_path_ms
    deadline_ms = min(job.wait_ms, job.policy.timeout_ms)
    deadline_slack_ms = deadline_ms - critical_path_ms / fast_speed
    return received_s + min(objective_slack_ms, deadline_slack_ms) / 1000


def compute_critical_path_ms(job: Job) -> float:
    """Return the estimated work of the longest chain of a job's dependent tasks."""
    finish_times_ms: list[float] = []
    for step in job.steps:
        longest_factor = min(1 + WIDTH_FACTOR * log2(max(step.count, 1)), MAX_LONGEST_FACTOR)
        start_ms = max((finish_times_ms[index] for index in step.after), default=0.0)
        finish_times_ms.append(start_ms + step.estimate_ms * longest_factor)
    return max(finish_times_ms, default=0.0)

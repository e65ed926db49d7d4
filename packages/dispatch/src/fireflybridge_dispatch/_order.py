"""Order of jobs within a team."""

from dataclasses import dataclass

# Jobs whose deadlines lie within one such step are ordered by their remaining work, so that a
# single request does not wait behind a job of 300 that came a moment earlier.
DEADLINE_STEP_S = 1.0


@dataclass(frozen=True, slots=True)
class JobView:
    """Describe what is left of a queued job: times in seconds, ``deadline`` on the queue's clock."""

    deadline: float
    tasks: int
    mean_s: float
    typical_s: float


def order_job(job: JobView) -> tuple[int, float]:
    """Return the sort key of a job: earliest deadline first, then smallest remaining work."""
    return int(job.deadline / DEADLINE_STEP_S), job.tasks * job.mean_s


def will_miss(
    deadline: float, tasks: int, mean_s: float, typical_s: float, now: float, slots: int
) -> bool:
    """Say whether a job misses its deadline even if every slot were its own from now on."""
    return now + max(typical_s, tasks * mean_s / slots) > deadline

"""Order of jobs within a team."""

from dataclasses import dataclass

# A job's due time moves back by this much for each slot second of its work, so that a single
# request does not wait behind a job of 300 tasks that arrived some seconds earlier.
DUE_DELAY_PER_WORK = 1.0
START_MARGIN_S = 0.5  # kept between a job's latest start and its deadline, besides its run time


@dataclass(frozen=True, slots=True)
class JobTiming:
    """Hold what a job's due time depends on.

    Times are in seconds; ``arrival`` and ``deadline`` are readings of the queue's clock.
    """

    arrival: float
    deadline: float
    tasks: int
    mean_s: float
    typical_s: float


def find_due_time(job: JobTiming, slots: int) -> float:
    """Return when a job is due to start, on the queue's clock; the earliest due job is next.

    A job is due when it must start to meet its deadline; a small job is due soon after its arrival.
    """
    work_s = job.tasks * job.mean_s
    need_s = job.typical_s + 2.0 * work_s / slots + START_MARGIN_S
    return max(job.arrival, min(job.deadline - need_s, job.arrival + DUE_DELAY_PER_WORK * work_s))


def will_miss_deadline(
    deadline: float, tasks: int, mean_s: float, typical_s: float, now: float, slots: int
) -> bool:
    """Return whether a job misses its deadline even if all slots serve only it from now on."""
    return now + max(typical_s, tasks * mean_s / slots) > deadline

"""Results of a replay: jobs served at the peak, slowdowns, wasted messages and CPU time."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from fireflybridge_standins.bench._trace import TraceJob, compute_capacity

ROUND_TRIP_S = 0.002


@dataclass(frozen=True, slots=True)
class JobResult:
    """Result of one job; ``answered`` means that every task returned the expected body."""

    job: TraceJob
    answered: bool
    refused: bool
    response_s: float

    @property
    def in_window(self) -> bool:
        """Whether the complete and correct answer arrived within the window."""
        return self.answered and self.response_s * 1000 <= self.job.kind.window_ms

    @property
    def slowdown(self) -> float:
        """Response time divided by the ideal: the longest task at speed 1 plus a round trip."""
        return self.response_s / (max(self.job.run_ms) / 1000 + ROUND_TRIP_S)


@dataclass(frozen=True, slots=True)
class Summary:
    """Results of one policy at one load with one seed.

    ``peak_service`` and ``refused`` are shares of jobs. ``peak_goodput_s`` and its upper bound
    ``peak_bound_s`` are in seconds of work at speed 1. ``short`` and ``long`` are the mean, median,
    p99 and p99.9 of the slowdown.
    """

    policy: str
    load: float
    seed: int
    jobs: int
    peak_service: float
    peak_goodput_s: float
    peak_bound_s: float
    refused: float
    short: tuple[float, float, float, float]
    long: tuple[float, float, float, float]
    wasted_per_task: float
    cpu_us_per_task: float


def compute_goodput_bound(peak_jobs: Sequence[TraceJob], peak_s: float) -> float:
    """Return an upper bound of the work, in seconds at speed 1, that any policy answers in time.

    The bound fills the capacity of all slots during the peak and the longest window after it with
    the smallest jobs first; the job that exceeds the capacity counts in part. No real policy
    reaches it, because it ignores the windows of the jobs, jobs outside the peak and the run time
    of single tasks.
    """
    longest_window_s = max((job.kind.window_ms for job in peak_jobs), default=0) / 1000
    capacity_s = compute_capacity() * (peak_s + longest_window_s)
    return min(capacity_s, sum(job.work_s for job in peak_jobs))


def summarize(
    policy: str,
    load: float,
    seed: int,
    peak_s: float,
    results: Sequence[JobResult],
    wasted: float,
    cpu_s: float,
) -> Summary:
    """Summarize one replay; ``wasted`` counts messages between daemons that moved no task."""
    peak = [result for result in results if result.job.in_peak]
    tasks = sum(len(result.job.run_ms) for result in results)
    return Summary(
        policy=policy,
        load=load,
        seed=seed,
        jobs=len(results),
        peak_service=sum(result.in_window for result in peak) / max(1, len(peak)),
        peak_goodput_s=sum(result.job.work_s for result in peak if result.in_window),
        peak_bound_s=compute_goodput_bound([result.job for result in peak], peak_s),
        refused=sum(result.refused for result in results) / max(1, len(results)),
        short=compute_statistics(
            [result.slowdown for result in results if result.answered and not result.job.kind.long]
        ),
        long=compute_statistics(
            [result.slowdown for result in results if result.answered and result.job.kind.long]
        ),
        wasted_per_task=wasted / max(1, tasks),
        cpu_us_per_task=cpu_s * 1e6 / max(1, tasks),
    )


def compute_statistics(values: Sequence[float]) -> tuple[float, float, float, float]:
    """Return mean, median, 99th and 99.9th percentile; zeros if there are no values."""
    if not values:
        return (0.0, 0.0, 0.0, 0.0)
    ordered = sorted(values)
    return (
        statistics.fmean(ordered),
        ordered[len(ordered) // 2],
        ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))],
        ordered[min(len(ordered) - 1, int(len(ordered) * 0.999))],
    )

"""Figures of a replay: service at the peak, response against the ideal, wasted messages."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from fireflybridge_standins.bench._trace import TraceJob, find_capacity

ROUND_TRIP_S = 0.002


@dataclass(frozen=True, slots=True)
class JobResult:
    """Hold what became of one job; ``answered`` means complete with the right bodies."""

    job: TraceJob
    answered: bool
    refused: bool
    response_s: float

    @property
    def in_window(self) -> bool:
        """Tell whether the whole right answer came within the window."""
        return self.answered and self.response_s * 1000 <= self.job.kind.window_ms

    @property
    def ratio(self) -> float:
        """Return the response time over the ideal: the longest task at speed 1 and a round trip."""
        return self.response_s / (max(self.job.run_ms) / 1000 + ROUND_TRIP_S)


@dataclass(frozen=True, slots=True)
class Summary:
    """Hold the figures of one policy at one load."""

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


def bound_goodput(peak_jobs: Sequence[TraceJob], peak_s: float) -> float:
    """Return the most work, in seconds at speed 1, that any admission could answer in time.

    It takes the smallest jobs first until their work fills what all slots can do during the peak
    and the longest window after it; a job that is cut by the limit counts in part. No real policy
    reaches it: it ignores windows, the jobs outside the peak and the length of single tasks.
    """
    longest_window_s = max((job.kind.window_ms for job in peak_jobs), default=0) / 1000
    room_s = find_capacity() * (peak_s + longest_window_s)
    return min(room_s, sum(job.work_s for job in peak_jobs))


def summarize(
    policy: str,
    load: float,
    seed: int,
    peak_s: float,
    results: Sequence[JobResult],
    wasted: float,
    cpu_s: float,
) -> Summary:
    """Return the figures of one replay."""
    peak = [result for result in results if result.job.in_peak]
    tasks = sum(len(result.job.run_ms) for result in results)
    return Summary(
        policy=policy,
        load=load,
        seed=seed,
        jobs=len(results),
        peak_service=sum(result.in_window for result in peak) / max(1, len(peak)),
        peak_goodput_s=sum(result.job.work_s for result in peak if result.in_window),
        peak_bound_s=bound_goodput([result.job for result in peak], peak_s),
        refused=sum(result.refused for result in results) / max(1, len(results)),
        short=describe([r.ratio for r in results if r.answered and not r.job.kind.long]),
        long=describe([r.ratio for r in results if r.answered and r.job.kind.long]),
        wasted_per_task=wasted / max(1, tasks),
        cpu_us_per_task=cpu_s * 1e6 / max(1, tasks),
    )


def describe(values: Sequence[float]) -> tuple[float, float, float, float]:
    """Return mean, median, 99th and 99.9th percentile."""
    if not values:
        return (0.0, 0.0, 0.0, 0.0)
    ordered = sorted(values)
    return (
        statistics.fmean(ordered),
        ordered[len(ordered) // 2],
        ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))],
        ordered[min(len(ordered) - 1, int(len(ordered) * 0.999))],
    )

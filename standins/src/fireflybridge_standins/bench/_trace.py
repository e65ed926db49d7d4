"""Seeded traces of jobs with one load peak, modelled on the workloads of the partners."""

import hashlib
import random
from collections.abc import Sequence
from dataclasses import dataclass

WORKERS = 24
SLOTS_PER_WORKER = 8
# Upstreams of three hardware generations; the fastest is three times as fast as the slowest.
SPEEDS = (0.6, 1.0, 1.8)
TEAMS = ("registration", "finance", "volunteers")
BASE_LOAD = 0.4
PEAK_START_SHARE = 0.25
PEAK_END_SHARE = 0.65


@dataclass(frozen=True, slots=True)
class JobKind:
    """Kind of job: its route, its share of all jobs, and the range of a task's run time.

    Tasks run between ``low_ms`` and ``high_ms`` at speed 1, except stragglers.
    """

    route: str
    share: float
    low_ms: int
    high_ms: int
    window_ms: int
    max_tasks: int
    long: bool


JOB_KINDS = (
    JobKind("booking", 0.55, 50, 200, 2_000, 3, long=False),
    JobKind("listing", 0.30, 100, 400, 3_000, 30, long=False),
    JobKind("valuation", 0.13, 400, 1_000, 8_000, 12, long=True),
    JobKind("appraisal", 0.02, 2_000, 5_000, 25_000, 4, long=True),
)
# Share of tasks that run much longer than the range of their kind, and by which factor.
STRAGGLER_SHARE = 0.002
STRAGGLER_FACTOR = 10


@dataclass(frozen=True, slots=True)
class TraceJob:
    """Job of a trace: its arrival time and the run time of each task at speed 1."""

    at_s: float
    kind: JobKind
    team: str
    run_ms: tuple[int, ...]
    in_peak: bool

    @property
    def work_s(self) -> float:
        """Total run time of the tasks at speed 1, in seconds."""
        return sum(self.run_ms) / 1000

    @property
    def bodies(self) -> tuple[str, ...]:
        """Request bodies that make the worker stand-in sleep for the run times of the tasks."""
        return tuple(f"sleep={run_ms};{index}" for index, run_ms in enumerate(self.run_ms))


def compute_capacity() -> float:
    """Return the capacity of all slots, in seconds of work at speed 1 per second."""
    return sum(SPEEDS[index % len(SPEEDS)] * SLOTS_PER_WORKER for index in range(WORKERS))


def make_trace(seed: int, load: float, duration_s: float) -> tuple[TraceJob, ...]:
    """Return jobs whose arrival rate during the peak is ``load`` times the capacity."""
    rng = random.Random(seed)
    peak = (PEAK_START_SHARE * duration_s, PEAK_END_SHARE * duration_s)
    jobs: list[TraceJob] = []
    at_s = 0.0
    while at_s < duration_s:
        in_peak = peak[0] <= at_s < peak[1]
        job = _draw_job(rng, at_s, in_peak)
        jobs.append(job)
        rate = compute_capacity() * (load if in_peak else min(load, BASE_LOAD))
        at_s += rng.expovariate(rate / _MEAN_WORK_S)
    return tuple(jobs)


def digest_trace(jobs: Sequence[TraceJob]) -> str:
    """Return a digest that identifies a trace."""
    text = "\n".join(f"{job.at_s:.6f} {job.kind.route} {job.team} {job.run_ms}" for job in jobs)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def _draw_job(rng: random.Random, at_s: float, in_peak: bool) -> TraceJob:
    kind = rng.choices(JOB_KINDS, [kind.share for kind in JOB_KINDS])[0]
    # Squaring the random number makes small jobs common and jobs near the maximum rare.
    tasks = 1 + int(rng.random() ** 2 * kind.max_tasks)
    run_ms = tuple(_draw_run_ms(rng, kind) for _ in range(tasks))
    return TraceJob(at_s, kind, rng.choice(TEAMS), run_ms, in_peak)


def _draw_run_ms(rng: random.Random, kind: JobKind) -> int:
    run_ms = rng.randint(kind.low_ms, kind.high_ms)
    return run_ms * STRAGGLER_FACTOR if rng.random() < STRAGGLER_SHARE else run_ms


def _estimate_mean_work_s() -> float:
    rng = random.Random(0)
    return sum(_draw_job(rng, 0.0, False).work_s for _ in range(20_000)) / 20_000


_MEAN_WORK_S = _estimate_mean_work_s()

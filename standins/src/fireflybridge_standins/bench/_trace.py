"""Seeded traces of one burst in demand, from the figures of the partners' workloads."""

import hashlib
import random
from collections.abc import Sequence
from dataclasses import dataclass

WORKERS = 24
SLOTS_PER_WORKER = 8
# Upstreams were bought over years: three speeds, threefold from the slowest to the fastest.
SPEEDS = (0.6, 1.0, 1.8)
TEAMS = ("registration", "finance", "volunteers")
BASE_LOAD = 0.4
PEAK_START_SHARE = 0.25
PEAK_END_SHARE = 0.65


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe one kind of work; times in milliseconds, ``share`` of all jobs."""

    route: str
    share: float
    low_ms: int
    high_ms: int
    window_ms: int
    max_tasks: int
    long: bool


KINDS = (
    Kind("booking", 0.55, 50, 200, 2_000, 3, long=False),
    Kind("listing", 0.30, 100, 400, 3_000, 30, long=False),
    Kind("valuation", 0.13, 400, 1_000, 8_000, 12, long=True),
    Kind("appraisal", 0.02, 2_000, 5_000, 25_000, 4, long=True),
)
# A few tasks run many times longer than the rest of their kind.
STRAGGLER_SHARE = 0.002
STRAGGLER_FACTOR = 10


@dataclass(frozen=True, slots=True)
class TraceJob:
    """Hold one job of a trace: when it is sent, and the run time of each task at speed 1."""

    at_s: float
    kind: Kind
    team: str
    run_ms: tuple[int, ...]
    in_peak: bool

    @property
    def work_s(self) -> float:
        """Return the run time of all tasks together in seconds, at speed 1."""
        return sum(self.run_ms) / 1000

    @property
    def bodies(self) -> tuple[str, ...]:
        """Return the bodies that ask the worker stand-in for these run times."""
        return tuple(f"sleep={run_ms};{index}" for index, run_ms in enumerate(self.run_ms))


def find_capacity() -> float:
    """Return the work that all slots do in one second, in seconds at speed 1."""
    return sum(SPEEDS[index % len(SPEEDS)] * SLOTS_PER_WORKER for index in range(WORKERS))


def make_trace(seed: int, load: float, duration_s: float) -> tuple[TraceJob, ...]:
    """Return the jobs of one burst whose peak offers ``load`` times the capacity."""
    draw = random.Random(seed)
    peak = (PEAK_START_SHARE * duration_s, PEAK_END_SHARE * duration_s)
    jobs: list[TraceJob] = []
    at_s = 0.0
    while at_s < duration_s:
        in_peak = peak[0] <= at_s < peak[1]
        job = _draw_job(draw, at_s, in_peak)
        jobs.append(job)
        rate = find_capacity() * (load if in_peak else min(load, BASE_LOAD))
        at_s += draw.expovariate(rate / _MEAN_WORK_S)
    return tuple(jobs)


def digest_trace(jobs: Sequence[TraceJob]) -> str:
    """Return a digest by which a trace can be recognized."""
    text = "\n".join(f"{j.at_s:.6f} {j.kind.route} {j.team} {j.run_ms}" for j in jobs)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def _draw_job(draw: random.Random, at_s: float, in_peak: bool) -> TraceJob:
    kind = draw.choices(KINDS, [kind.share for kind in KINDS])[0]
    # Small jobs are common: the square leaves few jobs near the largest size.
    tasks = 1 + int(draw.random() ** 2 * kind.max_tasks)
    run_ms = tuple(_draw_run_ms(draw, kind) for _ in range(tasks))
    return TraceJob(at_s, kind, draw.choice(TEAMS), run_ms, in_peak)


def _draw_run_ms(draw: random.Random, kind: Kind) -> int:
    run_ms = draw.randint(kind.low_ms, kind.high_ms)
    return run_ms * STRAGGLER_FACTOR if draw.random() < STRAGGLER_SHARE else run_ms


def _estimate_mean_work_s() -> float:
    draw = random.Random(0)
    return sum(_draw_job(draw, 0.0, False).work_s for _ in range(20_000)) / 20_000


_MEAN_WORK_S = _estimate_mean_work_s()

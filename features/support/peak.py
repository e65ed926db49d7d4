"""Model of one leader at peak load: the decisions on queue order, choice and refusal, in virtual time."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import cycle, islice
from math import exp, log, pi, sin
from random import Random

from fireflybridge_jobs import Job, Resources, RoutePolicy, Step
from fireflybridge_placement import (
    TaskRequirements,
    UpstreamCandidate,
    UpstreamIndex,
    compute_critical_path_ms,
    compute_latest_start,
    compute_objective_ms,
    compute_refusal_time,
)

DEADLINE_MS = 1500.0
MAX_BACKFILL_ATTEMPTS = 8
MEAN_JOBS_PER_S = 195.0
PEAK_FACTOR = 1.55
WAVE_S = 13.0
MEAN_MILLICORES = 8000
WIDTH_SPREAD = 0.4  # all spreads are those of the logarithm
TIME_SPREAD = 0.4
CPU_SPREAD = 0.2
TASK_SPREAD = 0.15  # among the tasks of a job
ESTIMATE_SPREAD = 0.4
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of job, its share of the jobs and its mean size."""

    route: str
    share: float
    work_ms: float
    tasks: float


CHECKS = Kind("checks", 0.24, 51, 8)
DEPOSITS = Kind("deposits", 0.06, 760, 4)
RECEIPTS = Kind("receipts", 0.70, 170, 2)
KINDS = (CHECKS, DEPOSITS, RECEIPTS)
SIZES = ((0.6, 16000), (1.0, 16000), (1.6, 24000))  # speed and thousandths of a core
UPSTREAMS = 54


@dataclass(slots=True)
class PeakJob:
    """A job of the model, and the work of its tasks, which the decisions don't know."""

    job: Job
    kind: Kind
    received_s: float
    work_ms: tuple[float, ...]
    waiting: list[int] = field(default_factory=list)
    running: int = 0
    started: bool = False
    answered: bool = False
    served: bool = False
    """Whether it was done before its deadline."""

    @property
    def total_work(self) -> float:
        """Return the job's work in core-milliseconds."""
        return sum(self.work_ms) * self.job.steps[0].needs.cpu_millicores / 1000

    @property
    def critical_path_ms(self) -> float:
        """Return the estimated work of the job's longest task."""
        return compute_critical_path_ms(self.job)

    @property
    def deadline_s(self) -> float:
        """Return when the caller leaves."""
        return self.received_s + DEADLINE_MS / 1000


def generate_jobs(seed: int, length_s: float) -> Iterator[PeakJob]:
    """Generate jobs that arrive at random, at a rate that rises and falls."""
    random = Random(seed)
    now_s = 0.0
    while now_s < length_s:
        now_s += random.expovariate(MEAN_JOBS_PER_S * PEAK_FACTOR)
        rate = 1 + (PEAK_FACTOR - 1) * sin(2 * pi * now_s / WAVE_S)
        if random.random() < rate / PEAK_FACTOR:
            kind = random.choices(KINDS, [kind.share for kind in KINDS])[0]
            yield _generate_job(random, kind, now_s)


def _generate_job(random: Random, kind: Kind, now_s: float) -> PeakJob:
    straggles = random.random() < STRAGGLER_SHARE
    mean_ms = _vary(random, kind.work_ms, TIME_SPREAD) * (STRAGGLER_FACTOR if straggles else 1)
    tasks = max(round(_vary(random, kind.tasks, WIDTH_SPREAD)), 1)
    cpu = round(_vary(random, MEAN_MILLICORES, CPU_SPREAD))
    estimate_ms = _vary(random, mean_ms, ESTIMATE_SPREAD)
    policy = RoutePolicy(kind.route, "desk", 0, 4, DEADLINE_MS, 60, 1.6)
    step = Step(tasks, Resources(cpu, 64), estimate_ms)
    job = Job(f"{random.getrandbits(64):016x}", "work", (step,), policy, DEADLINE_MS)
    work_ms = tuple(_vary(random, mean_ms, TASK_SPREAD) for _ in range(tasks))
    return PeakJob(job, kind, now_s, work_ms, list(range(tasks)))


def _vary(random: Random, mean: float, spread: float) -> float:
    return exp(random.gauss(log(mean) - spread**2 / 2, spread))


class PeakModel:
    """Play jobs on the upstreams of one leader."""

    def __init__(self) -> None:
        sizes = islice(cycle(SIZES), UPSTREAMS)
        self._upstreams = {
            f"u{index}": UpstreamCandidate(f"u{index}", "desk", Resources(cpu, 65536), speed, ())
            for index, (speed, cpu) in enumerate(sizes)
        }
        self._index = UpstreamIndex()
        for candidate in self._upstreams.values():
            self._index.put(candidate)
        self._queue: list[PeakJob] = []
        self._ends: list[tuple[float, int, PeakJob, str]] = []
        self._ends_count = 0

    def play(self, jobs: Iterable[PeakJob]) -> list[PeakJob]:
        """Play jobs in the order of their arrival until all are answered; return them."""
        played = list(jobs)
        for active in played:
            self._end_runs(active.received_s)
            insort(self._queue, active, key=_compute_latest_start)
            self._place(active.received_s)
        self._end_runs(float("inf"))
        return played

    def _end_runs(self, until_s: float) -> None:
        while self._ends and self._ends[0][0] <= until_s:
            now_s, _, active, upstream = heappop(self._ends)
            self._occupy(upstream, active.job.steps[0].needs, -1)
            active.running -= 1
            if not active.waiting and not active.running and not active.answered:
                active.answered = True
                active.served = now_s <= active.deadline_s
            self._place(now_s)

    def _place(self, now_s: float) -> None:
        attempts_left = MAX_BACKFILL_ATTEMPTS
        for active in list(self._queue):
            if _is_given_up(active, now_s):
                active.answered = True
            elif attempts_left and self._index.has_room((active.job.steps[0].needs,)):
                for index in tuple(active.waiting):
                    self._place_task(active, index, now_s)
                attempts_left -= bool(active.waiting)
            if active.answered or not active.waiting:
                self._queue.remove(active)

    def _place_task(self, active: PeakJob, index: int, now_s: float) -> None:
        step = active.job.steps[0]
        objective_ms = compute_objective_ms(active.job, active.critical_path_ms)
        limit_ms = max((active.deadline_s - now_s) * 1000, step.estimate_ms / max(SIZES)[0])
        chosen = self._index.choose(
            TaskRequirements(
                "desk",
                step.needs,
                step.estimate_ms,
                objective_ms=objective_ms - (now_s - active.received_s) * 1000,
                limit_ms=limit_ms,
            )
        )
        if chosen is None:
            return
        active.waiting.remove(index)
        active.running += 1
        active.started = True
        self._occupy(chosen.id, step.needs, 1)
        self._ends_count += 1
        # A run is stopped when its job's caller leaves.
        end_s = min(now_s + active.work_ms[index] / chosen.speed / 1000, active.deadline_s + 0.001)
        heappush(self._ends, (end_s, self._ends_count, active, chosen.id))

    def _occupy(self, upstream: str, needs: Resources, sign: int) -> None:
        candidate = self._upstreams[upstream]
        available = Resources(
            candidate.available.cpu_millicores - sign * needs.cpu_millicores,
            candidate.available.memory_mb - sign * needs.memory_mb,
        )
        self._upstreams[upstream] = replace(candidate, available=available)
        self._index.put(self._upstreams[upstream])


def _compute_latest_start(active: PeakJob) -> float:
    return compute_latest_start(
        active.job, active.received_s, active.critical_path_ms, max(SIZES)[0]
    )


def _is_given_up(active: PeakJob, now_s: float) -> bool:
    if now_s >= active.deadline_s:
        return True
    refusal_s = compute_refusal_time(active.job, active.received_s, active.critical_path_ms)
    return not active.started and now_s >= refusal_s

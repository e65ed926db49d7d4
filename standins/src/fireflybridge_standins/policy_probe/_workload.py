"""Seeded arrivals of jobs, and the upstreams that serve them."""

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from fireflybridge_tables import Pool, Upstream

UPSTREAMS = 24
SLOTS = 8
SPEED_RATIO = 3.0
SHORT_RUN_RANGE_S = (0.05, 1.0)
LONG_RUN_RANGE_S = (2.0, 8.0)
LONG_SHARE = 0.05  # of the tasks
SINGLE_SHARE = 0.30  # of the tasks
STRAGGLER_SHARE = 0.005
STRAGGLER_RATIO = 20.0
TEAMS = 20
FLOOD_TEAM = "team-flood"
FLOOD_LOAD = 1.5
PEAK_RATE_RATIO = 1.6  # arrival rate during a peak over the mean rate; between peaks it is 0.4
MEAN_PHASE_S = 2.0  # mean duration of a peak and of the time between two peaks


@dataclass(frozen=True, slots=True)
class JobKind:
    """Kind of job: its route, its window and its declared run time, in seconds.

    The declared run time is deliberately inaccurate.
    """

    route: str
    window_s: float
    declared_s: float
    long: bool


SINGLE = JobKind("place-check", 3.0, 1.0, long=False)
BATCH = JobKind("receipts", 12.0, 0.05, long=False)
REPORT = JobKind("listing", 30.0, 0.5, long=True)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Job with its arrival time and the run times of its tasks at speed 1, in seconds."""

    key: str
    at_s: float
    kind: JobKind
    team: str
    run_times_s: tuple[float, ...]
    in_peak: bool

    @property
    def work_s(self) -> float:
        """Total run time of the tasks at speed 1, in seconds."""
        return sum(self.run_times_s)


def list_speeds() -> dict[str, float]:
    """Return the speed of each upstream.

    Speeds are evenly spaced on a logarithmic scale; the fastest is three times the slowest.
    """
    steps = range(UPSTREAMS)
    return {f"worker-{i:02}": SPEED_RATIO ** (i / (UPSTREAMS - 1) - 0.5) for i in steps}


def make_pool() -> Pool:
    """Return the pool of all upstreams."""
    names = enumerate(list_speeds())
    return Pool(
        "workers",
        tuple(Upstream(name, f"127.0.0.1:{9000 + i}", SLOTS, 64, "a") for i, name in names),
    )


def compute_capacity() -> float:
    """Return the capacity of the pool, in seconds of work at speed 1 per second."""
    return SLOTS * sum(list_speeds().values())


def draw_short_run_time(rng: random.Random) -> float:
    """Draw the run time of a short task from a log-uniform distribution."""
    low, high = map(math.log, SHORT_RUN_RANGE_S)
    return math.exp(rng.uniform(low, high))


def draw_run_time(rng: random.Random, kind: JobKind) -> float:
    """Draw the run time of a task at speed 1."""
    run_s = rng.uniform(*LONG_RUN_RANGE_S) if kind.long else draw_short_run_time(rng)
    return run_s * (STRAGGLER_RATIO if rng.random() < STRAGGLER_SHARE else 1.0)


def draw_task_count(rng: random.Random, kind: JobKind) -> int:
    """Draw the number of tasks of a job."""
    if kind is SINGLE:
        return 1
    return int(math.exp(rng.uniform(math.log(2), math.log(301 if kind is BATCH else 11))))


def estimate_mean_work(rng: random.Random) -> dict[JobKind, tuple[float, float]]:
    """Estimate by sampling the mean number of tasks and the mean work of a job of each kind."""
    means = {}
    for kind in (SINGLE, BATCH, REPORT):
        counts = [draw_task_count(rng, kind) for _ in range(4000)]
        run_times = [draw_run_time(rng, kind) for _ in range(20000)]
        count = sum(counts) / len(counts)
        means[kind] = (count, count * sum(run_times) / len(run_times))
    return means


def compute_rates(load: float) -> dict[JobKind, float]:
    """Return the arrival rate of each kind, in jobs per second, for ``load`` times the capacity."""
    means = estimate_mean_work(random.Random(1))
    shares = {
        SINGLE: SINGLE_SHARE,
        BATCH: 1.0 - SINGLE_SHARE - LONG_SHARE,
        REPORT: LONG_SHARE,
    }
    work_per_task = sum(share * means[kind][1] / means[kind][0] for kind, share in shares.items())
    tasks_per_s = load * compute_capacity() / work_per_task
    return {kind: share * tasks_per_s / means[kind][0] for kind, share in shares.items()}


def draw_phases(rng: random.Random, length_s: float) -> Iterator[tuple[float, float, bool]]:
    """Yield the start, the end and whether it is a peak of alternating low and peak phases."""
    at_s, in_peak = 0.0, False
    while at_s < length_s:
        end_s = min(length_s, at_s + rng.expovariate(1 / MEAN_PHASE_S))
        yield at_s, end_s, in_peak
        at_s, in_peak = end_s, not in_peak


def draw_arrivals(seed: int, load: float, length_s: float, teams: int = TEAMS) -> list[Arrival]:
    """Return the arrivals of one seed in order of time."""
    rng = random.Random(seed)
    rates = compute_rates(load)
    arrivals = []
    for start_s, end_s, in_peak in draw_phases(rng, length_s):
        for kind, rate in rates.items():
            at_s = start_s
            while (
                at_s := at_s
                + rng.expovariate(rate * (PEAK_RATE_RATIO if in_peak else 2 - PEAK_RATE_RATIO))
            ) < end_s:
                run_times = tuple(
                    draw_run_time(rng, kind) for _ in range(draw_task_count(rng, kind))
                )
                team = f"team-{min(int(rng.expovariate(4.0 / teams)), teams - 1):02}"
                arrivals.append(Arrival("", at_s, kind, team, run_times, in_peak))
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return [
        Arrival(
            f"job-{i}",
            arrival.at_s,
            arrival.kind,
            arrival.team,
            arrival.run_times_s,
            arrival.in_peak,
        )
        for i, arrival in enumerate(arrivals)
    ]


def add_flood(seed: int, arrivals: Sequence[Arrival], length_s: float) -> list[Arrival]:
    """Return the arrivals plus those of one team that offers one and a half times the capacity."""
    flood = draw_arrivals(seed + 1000, FLOOD_LOAD, length_s)
    flood_arrivals = (
        replace(arrival, key=f"flood-{arrival.key}", team=FLOOD_TEAM) for arrival in flood
    )
    return sorted([*arrivals, *flood_arrivals], key=lambda arrival: arrival.at_s)


def compute_mean_residual_s() -> float:
    """Return the mean residual run time of a short task at speed 1, in seconds.

    It is the expected time until a busy slot becomes free.
    """
    rng = random.Random(1)
    run_times = [draw_short_run_time(rng) for _ in range(20000)]
    return sum(run_s * run_s for run_s in run_times) / (2 * sum(run_times))

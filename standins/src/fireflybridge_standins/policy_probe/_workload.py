"""Seeded arrivals of jobs, and the upstreams that serve them."""

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from fireflybridge_tables import Pool, Upstream

UPSTREAMS = 24
SLOTS = 8
SPEED_RATIO = 3.0
SHORT_S = (0.05, 1.0)
LONG_S = (2.0, 8.0)
LONG_SHARE = 0.05  # of the tasks
SINGLE_SHARE = 0.30  # of the tasks
STRAGGLER_SHARE = 0.005
STRAGGLER_RATIO = 20.0
TEAMS = 20
FLOOD_TEAM = "team-flood"
FLOOD_LOAD = 1.5
PEAK = 1.6  # of the mean rate; the rest of the time it is 0.4
PHASE_S = 2.0  # mean length of a peak, and of the time between two


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe a route: the window and the declared run time, which is far off, in seconds."""

    route: str
    window_s: float
    declared_s: float
    long: bool


SINGLE = Kind("place-check", 3.0, 1.0, long=False)
BATCH = Kind("receipts", 12.0, 0.05, long=False)
REPORT = Kind("listing", 30.0, 0.5, long=True)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold one job: its time in seconds, and its tasks' run times at speed 1 in seconds."""

    key: str
    at_s: float
    kind: Kind
    team: str
    sizes_s: tuple[float, ...]
    peak: bool

    @property
    def work_s(self) -> float:
        """Return the whole run time at speed 1."""
        return sum(self.sizes_s)


def list_speeds() -> dict[str, float]:
    """Return the speed of each upstream: evenly spread logarithms, threefold in all."""
    steps = range(UPSTREAMS)
    return {f"worker-{i:02}": SPEED_RATIO ** (i / (UPSTREAMS - 1) - 0.5) for i in steps}


def make_pool() -> Pool:
    """Return the pool of all upstreams."""
    names = enumerate(list_speeds())
    return Pool(
        "workers",
        tuple(Upstream(name, f"127.0.0.1:{9000 + i}", SLOTS, 64, "a") for i, name in names),
    )


def sum_capacity() -> float:
    """Return the run time at speed 1 that the pool does in a second."""
    return SLOTS * sum(list_speeds().values())


def draw_short(rng: random.Random) -> float:
    """Draw the run time of a short task: its logarithm is uniform."""
    low, high = map(math.log, SHORT_S)
    return math.exp(rng.uniform(low, high))


def draw_size(rng: random.Random, kind: Kind) -> float:
    """Draw the run time of a task at speed 1."""
    size_s = rng.uniform(*LONG_S) if kind.long else draw_short(rng)
    return size_s * (STRAGGLER_RATIO if rng.random() < STRAGGLER_SHARE else 1.0)


def draw_count(rng: random.Random, kind: Kind) -> int:
    """Draw the number of tasks of a job."""
    if kind is SINGLE:
        return 1
    return int(math.exp(rng.uniform(math.log(2), math.log(301 if kind is BATCH else 11))))


def find_mean_work(rng: random.Random) -> dict[Kind, tuple[float, float]]:
    """Return the mean number of tasks and the mean work of a job of each kind, by sampling."""
    means = {}
    for kind in (SINGLE, BATCH, REPORT):
        counts = [draw_count(rng, kind) for _ in range(4000)]
        sizes = [draw_size(rng, kind) for _ in range(20000)]
        count = sum(counts) / len(counts)
        means[kind] = (count, count * sum(sizes) / len(sizes))
    return means


def find_rates(load: float) -> dict[Kind, float]:
    """Return the jobs per second of each kind that offer ``load`` times the capacity."""
    means = find_mean_work(random.Random(1))
    shares = {
        SINGLE: SINGLE_SHARE,
        BATCH: 1.0 - SINGLE_SHARE - LONG_SHARE,
        REPORT: LONG_SHARE,
    }
    work_per_task = sum(share * means[kind][1] / means[kind][0] for kind, share in shares.items())
    tasks_per_s = load * sum_capacity() / work_per_task
    return {kind: share * tasks_per_s / means[kind][0] for kind, share in shares.items()}


def draw_phases(rng: random.Random, length_s: float) -> Iterator[tuple[float, float, bool]]:
    """Yield start, end and kind of alternating phases of low and peak rate."""
    at_s, peak = 0.0, False
    while at_s < length_s:
        end_s = min(length_s, at_s + rng.expovariate(1 / PHASE_S))
        yield at_s, end_s, peak
        at_s, peak = end_s, not peak


def draw_arrivals(seed: int, load: float, length_s: float, teams: int = TEAMS) -> list[Arrival]:
    """Return the arrivals of one run in order of time."""
    rng = random.Random(seed)
    rates = find_rates(load)
    arrivals = []
    for start_s, end_s, peak in draw_phases(rng, length_s):
        for kind, rate in rates.items():
            at_s = start_s
            while (at_s := at_s + rng.expovariate(rate * (PEAK if peak else 2 - PEAK))) < end_s:
                sizes = tuple(draw_size(rng, kind) for _ in range(draw_count(rng, kind)))
                team = f"team-{min(int(rng.expovariate(4.0 / teams)), teams - 1):02}"
                arrivals.append(Arrival("", at_s, kind, team, sizes, peak))
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return [
        Arrival(f"job-{i}", one.at_s, one.kind, one.team, one.sizes_s, one.peak)
        for i, one in enumerate(arrivals)
    ]


def add_flood(seed: int, arrivals: Sequence[Arrival], length_s: float) -> list[Arrival]:
    """Return the arrivals with those of one team that offers one and a half times the capacity."""
    flood = draw_arrivals(seed + 1000, FLOOD_LOAD, length_s)
    renamed = (replace(one, key=f"flood-{one.key}", team=FLOOD_TEAM) for one in flood)
    return sorted([*arrivals, *renamed], key=lambda arrival: arrival.at_s)


def find_residual() -> float:
    """Return the mean time, in seconds, until a slot that runs a short task at speed 1 is free."""
    rng = random.Random(1)
    sizes = [draw_short(rng) for _ in range(20000)]
    return sum(size * size for size in sizes) / (2 * sum(sizes))

"""Run times learned per route and team."""

import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)

SHORTEST_S = 0.001
BINS_PER_DOUBLING = 4
BINS = 80  # 1 ms to 1,000 s with an error of at most a tenth
FADE_AT = 512  # counts are halved at this total, so a change of run time shows within 256 tasks
PRIOR_WEIGHT = 2  # observations that a declared run time counts for; declarations are often far off
TRUSTED_COUNT = 8  # below this a team's own observations give way to those of the whole route
MAX_HISTOGRAMS = 4096
MAX_RECOMPUTE_GAP = 32


@dataclass(frozen=True, slots=True)
class RunTime:
    """Estimate the run time of a kind of task, in seconds."""

    typical_s: float
    mean_s: float
    high_s: float


def find_bin(run_s: float) -> int:
    """Return the histogram bin of a run time in seconds."""
    if run_s <= SHORTEST_S:
        return 0
    return min(BINS - 1, int(BINS_PER_DOUBLING * math.log2(run_s / SHORTEST_S)) + 1)


def find_middle(index: int) -> float:
    """Return the run time, in seconds, that stands for a bin."""
    return SHORTEST_S * float(2.0 ** ((index - 0.5) / BINS_PER_DOUBLING))


class Histogram:
    """Count run times in bins of equal ratio; older counts fade."""

    __slots__ = ("_counts", "_due", "_estimate", "_sum_s", "total")

    def __init__(self, prior_s: float) -> None:
        self._counts = [0.0] * BINS
        self._counts[find_bin(prior_s)] = PRIOR_WEIGHT
        self._sum_s = prior_s * PRIOR_WEIGHT
        self.total: float = PRIOR_WEIGHT
        self._due = 0
        self._estimate: RunTime | None = None

    def observe(self, run_s: float, index: int) -> None:
        """Add one run time in seconds, which falls in the bin of the given index."""
        self._counts[index] += 1
        self._sum_s += run_s
        self.total += 1
        self._due -= 1
        if self.total >= FADE_AT:
            self._counts = [count / 2 for count in self._counts]
            self._sum_s /= 2
            self.total /= 2

    def estimate(self) -> RunTime:
        """Return the estimate, recomputed after each eighth of new observations."""
        if self._estimate is None or self._due <= 0:
            self._estimate = RunTime(self.find(0.5), self._sum_s / self.total, self.find(0.9))
            self._due = max(1, min(MAX_RECOMPUTE_GAP, int(self.total / 8)))
        return self._estimate

    def find(self, quantile: float) -> float:
        """Return a quantile of the run times in seconds."""
        wanted = quantile * self.total
        seen = 0.0
        for index, count in enumerate(self._counts):
            seen += count
            if seen >= wanted and count:
                return find_middle(index)
        return find_middle(BINS - 1)


class RunTimes:
    """Own the run-time histograms of one pool, in bounded memory."""

    def __init__(self) -> None:
        self._teams: dict[tuple[str, str], Histogram] = {}
        self._routes: dict[str, Histogram] = {}
        self._pool: Histogram | None = None
        self._reference_s = 0.0
        self._reference_due = 0

    def observe(self, route: str, team: str, run_s: float) -> RunTime:
        """Learn from one task that ran for ``run_s`` seconds; return the estimate of its kind."""
        index = find_bin(run_s)
        own = find_histogram(self._teams, (route, team), run_s)
        own.observe(run_s, index)
        find_histogram(self._routes, route, run_s).observe(run_s, index)
        if self._pool is None:
            self._pool = Histogram(run_s)
        self._pool.observe(run_s, index)
        self._reference_due -= 1
        if self._reference_due <= 0:
            self._reference_s = self._pool.find(0.25)
            self._reference_due = MAX_RECOMPUTE_GAP
        return own.estimate()

    def estimate(self, route: str, team: str, declared_s: float) -> RunTime:
        """Return the estimate for a task of a route and team; ``declared_s`` is only a prior."""
        own = self._teams.get((route, team))
        if own is not None and own.total >= TRUSTED_COUNT:
            return own.estimate()
        return find_histogram(self._routes, route, declared_s).estimate()

    def find_reference(self, default_s: float) -> float:
        """Return the lower quartile of all run times of the pool in seconds."""
        return self._reference_s or default_s


def find_histogram(histograms: dict[Key, Histogram], key: Key, prior_s: float) -> Histogram:
    """Return the histogram of a key, made from a prior in seconds if there is none."""
    found = histograms.get(key)
    if found is None:
        if len(histograms) >= MAX_HISTOGRAMS:
            histograms.pop(next(iter(histograms)))
        found = histograms[key] = Histogram(prior_s)
    return found

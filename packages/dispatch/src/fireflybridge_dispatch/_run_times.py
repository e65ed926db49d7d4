"""Run-time estimates learned per route and team."""

import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)

SHORTEST_S = 0.001
BINS_PER_DOUBLING = 4
BINS = 80  # 1 ms to 1,000 s with an error of at most a tenth
HALVE_AT = 512  # counts are halved at this total, so a change of run time shows within 256 tasks
PRIOR_WEIGHT = 2  # number of observations a declared run time counts as; it is often far off
TRUSTED_COUNT = 8  # with fewer observations of a team, those of the whole route are used
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


def find_bin_midpoint(index: int) -> float:
    """Return the geometric midpoint of a bin as a run time in seconds."""
    return SHORTEST_S * float(2.0 ** ((index - 0.5) / BINS_PER_DOUBLING))


class Histogram:
    """Count run times in bins of equal ratio; older counts lose weight."""

    __slots__ = ("_counts", "_estimate", "_sum_s", "_until_recompute", "total")

    def __init__(self, prior_s: float) -> None:
        self._counts = [0.0] * BINS
        self._counts[find_bin(prior_s)] = PRIOR_WEIGHT
        self._sum_s = prior_s * PRIOR_WEIGHT
        self.total: float = PRIOR_WEIGHT
        self._until_recompute = 0
        self._estimate: RunTime | None = None

    def observe(self, run_s: float, index: int) -> None:
        """Add one run time in seconds, which falls in the bin of the given index."""
        self._counts[index] += 1
        self._sum_s += run_s
        self.total += 1
        self._until_recompute -= 1
        if self.total >= HALVE_AT:
            self._counts = [count / 2 for count in self._counts]
            self._sum_s /= 2
            self.total /= 2

    def estimate(self) -> RunTime:
        """Return the estimate.

        It is recomputed when an eighth more observations were added, at most ``MAX_RECOMPUTE_GAP``.
        """
        if self._estimate is None or self._until_recompute <= 0:
            self._estimate = RunTime(
                self.find_quantile(0.5), self._sum_s / self.total, self.find_quantile(0.9)
            )
            self._until_recompute = max(1, min(MAX_RECOMPUTE_GAP, int(self.total / 8)))
        return self._estimate

    def find_quantile(self, quantile: float) -> float:
        """Return a quantile of the run times in seconds."""
        wanted = quantile * self.total
        seen = 0.0
        for index, count in enumerate(self._counts):
            seen += count
            if seen >= wanted and count:
                return find_bin_midpoint(index)
        return find_bin_midpoint(BINS - 1)


class RunTimes:
    """Hold the run-time histograms of one pool, in bounded memory."""

    def __init__(self) -> None:
        self._teams: dict[tuple[str, str], Histogram] = {}
        self._routes: dict[str, Histogram] = {}
        self._pool: Histogram | None = None
        self._reference_s = 0.0
        self._until_reference = 0

    def observe(self, route: str, team: str, run_s: float) -> RunTime:
        """Record a run time in seconds; return the new estimate for the route and team."""
        index = find_bin(run_s)
        team_histogram = get_or_create_histogram(self._teams, (route, team), run_s)
        team_histogram.observe(run_s, index)
        get_or_create_histogram(self._routes, route, run_s).observe(run_s, index)
        if self._pool is None:
            self._pool = Histogram(run_s)
        self._pool.observe(run_s, index)
        self._until_reference -= 1
        if self._until_reference <= 0:
            self._reference_s = self._pool.find_quantile(0.25)
            self._until_reference = MAX_RECOMPUTE_GAP
        return team_histogram.estimate()

    def estimate(self, route: str, team: str, declared_s: float) -> RunTime:
        """Return the estimate for a route and team; ``declared_s`` serves only as a prior."""
        team_histogram = self._teams.get((route, team))
        if team_histogram is not None and team_histogram.total >= TRUSTED_COUNT:
            return team_histogram.estimate()
        return get_or_create_histogram(self._routes, route, declared_s).estimate()

    def find_reference(self, default_s: float) -> float:
        """Return the lower quartile of all run times of the pool in seconds."""
        return self._reference_s or default_s


def get_or_create_histogram(
    histograms: dict[Key, Histogram], key: Key, prior_s: float
) -> Histogram:
    """Return the histogram of a key, or a new one with a prior in seconds if there is none."""
    found = histograms.get(key)
    if found is None:
        if len(histograms) >= MAX_HISTOGRAMS:
            histograms.pop(next(iter(histograms)))
        found = histograms[key] = Histogram(prior_s)
    return found

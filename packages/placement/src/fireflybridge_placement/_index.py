"""Index of the upstreams with free capacity, for decisions that don't look at each of them."""

from bisect import bisect_left, insort
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from itertools import chain
from math import sqrt

from fireflybridge_jobs import Resources
from fireflybridge_placement._choice import (
    LATE_MARGIN,
    SPEED_COST_MS,
    TaskRequirements,
    UpstreamCandidate,
    choose_upstream,
)


@dataclass(frozen=True, slots=True)
class _GroupKey:
    """Identify the upstreams of a pool that have the same free capacity."""

    pool: str
    available: Resources


class UpstreamIndex:
    """Group upstreams by their free capacity and sort each group by speed.

    Upstreams come in few sizes and run few tasks at once, so there are few groups, and within a
    group the cost of a task depends on the speed alone. A placement and a check of a slow run
    therefore look at a few upstreams of each group, however many there are.
    """

    def __init__(self) -> None:
        self._candidates: dict[str, UpstreamCandidate] = {}
        self._groups: dict[_GroupKey, list[tuple[float, str]]] = {}

    def put(self, candidate: UpstreamCandidate) -> None:
        """Add an upstream, or replace what is known of it."""
        if self._candidates.get(candidate.id) == candidate:
            return
        self.remove(candidate.id)
        self._candidates[candidate.id] = candidate
        insort(self._groups.setdefault(_make_key(candidate), []), _make_entry(candidate))

    def remove(self, upstream: str) -> None:
        """Remove an upstream if it is in the index."""
        candidate = self._candidates.pop(upstream, None)
        if candidate is None:
            return
        key = _make_key(candidate)
        group = self._groups[key]
        del group[bisect_left(group, _make_entry(candidate))]
        if not group:
            del self._groups[key]

    def choose(self, requirements: TaskRequirements) -> UpstreamCandidate | None:
        """Return the upstream that ``choose_upstream`` chooses from all of them, or None."""
        chosen = choose_upstream(requirements, self._preselect(requirements))
        return None if chosen is None else self._candidates[chosen]

    def has_room(self, needs: Collection[Resources]) -> bool:
        """Return whether any upstream has room for one of several amounts."""
        return any(need.fits_in(key.available) for key in self._groups for need in needs)

    def has_fitting(self, pool: str, needs: Resources, excluded: Collection[str]) -> bool:
        """Return whether an upstream that isn't excluded has room."""
        groups = self._list_fitting(pool, needs)
        return any(name not in excluded for group in groups for _, name in group)

    def find_fastest_speed(self, pool: str, needs: Resources, excluded: str) -> float | None:
        """Return the speed of the fastest upstream with room but one, or None."""
        groups = self._list_fitting(pool, needs)
        last = (entry for group in groups for entry in group[-2:] if entry[1] != excluded)
        return max((speed for speed, _ in last), default=None)

    def _list_fitting(self, pool: str, needs: Resources) -> list[list[tuple[float, str]]]:
        return [
            group
            for key, group in self._groups.items()
            if key.pool == pool and needs.fits_in(key.available)
        ]

    def _preselect(self, requirements: TaskRequirements) -> Iterable[UpstreamCandidate]:
        """Return upstreams of each group among which is the one with the lowest cost."""
        groups = self._list_fitting(requirements.pool, requirements.needs)
        if (
            requirements.required_label
            or requirements.data_rack
            or requirements.excluded
            or requirements.needs_idle
        ):
            # These differ within a group; few tasks have them.
            entries = chain.from_iterable(groups)
        else:
            entries = chain.from_iterable(_select_extremes(group, requirements) for group in groups)
        return (self._candidates[name] for _, name in entries)


def _select_extremes(
    group: list[tuple[float, str]], requirements: TaskRequirements
) -> Iterator[tuple[float, str]]:
    """Return the entries at which the cost of a task can be lowest within a group.

    The cost as a function of the speed is convex on either side of the speed at which the task
    would be late, so its minimum is next to its lowest point or next to an end of the ranges.
    """
    speeds = (
        sqrt(requirements.work_ms / SPEED_COST_MS),
        _divide(requirements.work_ms * LATE_MARGIN, requirements.objective_ms),
        _divide(requirements.work_ms, requirements.limit_ms),
    )
    positions = {bisect_left(group, (speed, "")) for speed in speeds}
    neighbours = {index for position in positions for index in range(position - 1, position + 2)}
    return (group[index] for index in sorted(neighbours) if 0 <= index < len(group))


def _divide(dividend: float, divisor: float) -> float:
    return dividend / divisor if divisor > 0 else float("inf")


def _make_key(candidate: UpstreamCandidate) -> _GroupKey:
    return _GroupKey(candidate.pool, candidate.available)


def _make_entry(candidate: UpstreamCandidate) -> tuple[float, str]:
    return (candidate.speed, candidate.id)

"""Slots that wait for a task."""

import heapq
import math
from itertools import count

import anyio

from fireflybridge_core import Task

PACE_GAIN = 0.05  # of each new run; about 20 runs settle an upstream's pace


class Taker:
    """Wait for one task on behalf of one slot."""

    __slots__ = ("event", "task", "upstream")

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.event = anyio.Event()
        self.task: Task | None = None


class Takers:
    """Hold waiting slots, those of the fastest upstream first."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Taker]] = []
        self._serial = count()
        self._paces: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, upstream: str) -> Taker:
        """Return a new waiting slot of an upstream."""
        taker = Taker(upstream)
        pace = self._paces.get(upstream, 0.0)
        heapq.heappush(self._heap, (pace, next(self._serial), taker))
        return taker

    def list_fastest(self) -> list[Taker]:
        """Return the waiting slots, fastest upstream first."""
        return [taker for _, _, taker in sorted(self._heap)]

    def find_fastest(self) -> Taker:
        """Return the waiting slot of the fastest upstream."""
        return self._heap[0][2]

    def remove(self, taker: Taker) -> None:
        """Forget a slot that got a task or was cancelled."""
        if self._heap[0][2] is taker:
            heapq.heappop(self._heap)
            return
        self._heap = [entry for entry in self._heap if entry[2] is not taker]
        heapq.heapify(self._heap)

    def learn_pace(self, upstream: str, run_s: float, typical_s: float) -> None:
        """Learn from a run how much slower than typical an upstream is (logarithm of the ratio)."""
        pace = self._paces.get(upstream, 0.0)
        self._paces[upstream] = pace + PACE_GAIN * (math.log(run_s / typical_s) - pace)

    def keep_only(self, upstreams: frozenset[str]) -> None:
        """Forget the paces of upstreams that left the pool."""
        self._paces = {name: pace for name, pace in self._paces.items() if name in upstreams}

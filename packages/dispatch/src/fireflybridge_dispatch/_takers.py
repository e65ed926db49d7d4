"""Slots that wait for a task."""

import heapq
import math
from itertools import count

import anyio

from fireflybridge_core import Task

SLOW_PACE = 0.2  # logarithm of the ratio to the mean pace, about a fifth slower
FASTER_WAIT_S = 0.1  # longest wait of a new task for a faster slot while a slow one is free
FASTER_GAIN = 2.0  # a faster slot is faster than the mean as well
SPARE_ENTRIES = 64  # removed slots kept in the heap, beside as many as wait
PACE_GAIN = 0.05  # of each new run; about 20 runs settle an upstream's pace


def waits_for_faster(waited_s: float, typical_s: float, slow_ratio: float) -> bool:
    """Say whether a task leaves a slow slot free for a moment, since a faster one saves more.

    ``slow_ratio`` is the part by which the slow slot takes longer than a mean one.
    """
    return waited_s < min(FASTER_WAIT_S, FASTER_GAIN * typical_s * slow_ratio)


class Taker:
    """Wait for one task on behalf of one slot."""

    __slots__ = ("event", "task", "upstream")

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.event = anyio.Event()
        self.task: Task | None = None


class Takers:
    """Hold waiting slots, those of the fastest upstream first.

    A removed slot stays in the heap until it comes first, or until such entries are the most:
    rebuilding the heap at each removal took 8 s when a daemon gave up 1,000 upstreams.
    """

    def __init__(self) -> None:
        self._waiting: dict[Taker, None] = {}
        self._heap: list[tuple[float, int, Taker]] = []
        self._serial = count()
        self._paces: dict[str, float] = {}
        self._pace_sum = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, upstream: str) -> Taker:
        """Return a new waiting slot of an upstream."""
        taker = Taker(upstream)
        pace = self._paces.get(upstream, 0.0)
        heapq.heappush(self._heap, (pace, next(self._serial), taker))
        self._waiting[taker] = None
        return taker

    def list_fastest(self) -> list[Taker]:
        """Return the waiting slots, fastest upstream first."""
        return [taker for _, _, taker in sorted(self._heap) if taker in self._waiting]

    def find_fastest(self) -> Taker:
        """Return the waiting slot of the fastest upstream."""
        while self._heap[0][2] not in self._waiting:
            heapq.heappop(self._heap)
        return self._heap[0][2]

    def remove(self, taker: Taker) -> None:
        """Forget a slot that got a task or was cancelled."""
        del self._waiting[taker]
        if len(self._heap) > 2 * len(self._waiting) + SPARE_ENTRIES:
            self._heap = [entry for entry in self._heap if entry[2] in self._waiting]
            heapq.heapify(self._heap)

    def learn_pace(self, upstream: str, run_s: float, typical_s: float) -> None:
        """Learn from a run how much slower than typical an upstream is (logarithm of the ratio)."""
        pace = self._paces.get(upstream, 0.0)
        change = PACE_GAIN * (math.log(run_s / typical_s) - pace)
        self._paces[upstream] = pace + change
        self._pace_sum += change

    def find_slow_ratio(self, upstream: str) -> float:
        """Return by how much a run takes longer on a slow upstream, or 0 if it is not slow."""
        if not self._paces:
            return 0.0
        excess = self._paces.get(upstream, 0.0) - self._pace_sum / len(self._paces)
        return math.expm1(excess) if excess > SLOW_PACE else 0.0

    def keep_only(self, upstreams: frozenset[str]) -> None:
        """Forget the paces of upstreams that left the pool."""
        self._paces = {name: pace for name, pace in self._paces.items() if name in upstreams}
        self._pace_sum = sum(self._paces.values())

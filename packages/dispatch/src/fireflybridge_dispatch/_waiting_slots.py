"""Slots that wait for a task."""

import heapq
import math
from itertools import count

import anyio

from fireflybridge_core import Task

SLOW_THRESHOLD = 0.2  # logarithm of the ratio to the mean run time: about a fifth slower
MAX_WAIT_FOR_FASTER_S = 0.1  # longest wait of a new task for a faster slot while a slow one is free
FASTER_FACTOR = 2.0  # the faster slot is also faster than the mean
STALE_ENTRY_MARGIN = 64  # removed slots allowed in the heap, in addition to as many as wait
SLOWDOWN_SMOOTHING = 0.05  # weight of a new run; an upstream's slowdown settles in about 20 runs


def should_wait_for_faster(waited_s: float, typical_s: float, slow_ratio: float) -> bool:
    """Return whether a task should not take a slow slot and wait for a faster one.

    It waits only for a time that the faster slot is expected to save. ``slow_ratio`` is the
    fraction by which a run on the slow slot takes longer than on an average one.
    """
    return waited_s < min(MAX_WAIT_FOR_FASTER_S, FASTER_FACTOR * typical_s * slow_ratio)


class WaitingSlot:
    """Hold the event that wakes a waiting slot, and the task assigned to it."""

    __slots__ = ("event", "task", "upstream")

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.event = anyio.Event()
        self.task: Task | None = None


class WaitingSlots:
    """Hold waiting slots, those of the fastest upstream first.

    A removed slot stays in the heap until it comes first, or until removed slots outnumber waiting
    ones: rebuilding the heap at each removal took 8 s when a daemon released 1,000 upstreams.
    """

    def __init__(self) -> None:
        self._waiting: dict[WaitingSlot, None] = {}
        self._heap: list[tuple[float, int, WaitingSlot]] = []
        self._sequence = count()
        self._slowdowns: dict[str, float] = {}
        self._slowdown_sum = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, upstream: str) -> WaitingSlot:
        """Add and return a waiting slot of an upstream."""
        waiting_slot = WaitingSlot(upstream)
        slowdown = self._slowdowns.get(upstream, 0.0)
        heapq.heappush(self._heap, (slowdown, next(self._sequence), waiting_slot))
        self._waiting[waiting_slot] = None
        return waiting_slot

    def list_fastest_first(self) -> list[WaitingSlot]:
        """Return the waiting slots, those of the fastest upstream first."""
        return [
            waiting_slot
            for _, _, waiting_slot in sorted(self._heap)
            if waiting_slot in self._waiting
        ]

    def find_fastest(self) -> WaitingSlot:
        """Return a waiting slot of the fastest upstream."""
        while self._heap[0][2] not in self._waiting:
            heapq.heappop(self._heap)
        return self._heap[0][2]

    def remove(self, waiting_slot: WaitingSlot) -> None:
        """Remove a slot that was assigned a task or cancelled."""
        del self._waiting[waiting_slot]
        if len(self._heap) > 2 * len(self._waiting) + STALE_ENTRY_MARGIN:
            self._heap = [entry for entry in self._heap if entry[2] in self._waiting]
            heapq.heapify(self._heap)

    def record_run(self, upstream: str, run_s: float, typical_s: float) -> None:
        """Update an upstream's slowdown: the logarithm of run time over typical run time."""
        slowdown = self._slowdowns.get(upstream, 0.0)
        change = SLOWDOWN_SMOOTHING * (math.log(run_s / typical_s) - slowdown)
        self._slowdowns[upstream] = slowdown + change
        self._slowdown_sum += change

    def find_slow_ratio(self, upstream: str) -> float:
        """Return the fraction by which a run takes longer on this upstream, or 0 if not slow."""
        if not self._slowdowns:
            return 0.0
        excess = self._slowdowns.get(upstream, 0.0) - self._slowdown_sum / len(self._slowdowns)
        return math.expm1(excess) if excess > SLOW_THRESHOLD else 0.0

    def keep_only(self, upstreams: frozenset[str]) -> None:
        """Drop the slowdowns of upstreams that left the pool."""
        self._slowdowns = {
            name: value for name, value in self._slowdowns.items() if name in upstreams
        }
        self._slowdown_sum = sum(self._slowdowns.values())

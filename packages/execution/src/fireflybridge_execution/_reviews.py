"""Times at which waiting jobs are to be looked at, since they may have to be answered."""

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from fireflybridge_execution._active_job import ActiveJob


class Reviews:
    """Keep the next time at which each waiting job is to be looked at."""

    def __init__(self) -> None:
        self._due_s: dict[str, float] = {}
        self._heap: list[tuple[float, int, ActiveJob]] = []
        self._numbers = count()

    def schedule(self, active: ActiveJob, due_s: float) -> None:
        """Look at a job at a monotonic time, unless it is due earlier already."""
        job = active.job.id
        if self._due_s.get(job, due_s + 1) <= due_s:
            return
        self._due_s[job] = due_s
        heappush(self._heap, (due_s, next(self._numbers), active))

    def cancel(self, active: ActiveJob) -> None:
        """Look at a job no more."""
        self._due_s.pop(active.job.id, None)

    def take_due(self, now_s: float) -> Iterator[ActiveJob]:
        """Take the jobs that are due by now."""
        while self._heap and self._heap[0][0] <= now_s:
            due_s, _, active = heappop(self._heap)
            if self._due_s.get(active.job.id) == due_s:
                del self._due_s[active.job.id]
                yield active

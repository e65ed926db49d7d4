"""Index of queued jobs by key and by deadline."""

import heapq
from collections.abc import Iterator
from itertools import count

from fireflybridge_dispatch._backlog import Job

# Stale entries allowed, in addition to as many as there are valid ones, before the heap is rebuilt.
STALE_DEADLINE_MARGIN = 256


class JobIndex:
    """Find queued jobs by key and by deadline."""

    def __init__(self) -> None:
        self._keys: dict[str, list[Job]] = {}
        self._deadlines: list[tuple[float, int, Job]] = []
        self._rebuild_at = STALE_DEADLINE_MARGIN
        self._sequence = count()

    def add(self, job: Job) -> None:
        """Add a queued job."""
        self._keys.setdefault(job.key, []).append(job)
        if len(self._deadlines) >= self._rebuild_at:
            self._deadlines = [entry for entry in self._deadlines if entry[2].tasks]
            heapq.heapify(self._deadlines)
            self._rebuild_at = 2 * len(self._deadlines) + STALE_DEADLINE_MARGIN
        heapq.heappush(self._deadlines, (job.deadline, next(self._sequence), job))

    def drop(self, job: Job) -> None:
        """Remove a job without queued tasks."""
        jobs = self._keys.get(job.key, [])
        if job in jobs:
            jobs.remove(job)
        if not jobs:
            self._keys.pop(job.key, None)

    def pop_key(self, key: str) -> list[Job]:
        """Remove and return the jobs of a submission."""
        return self._keys.pop(key, [])

    def pop_expired(self, now: float) -> Iterator[Job]:
        """Remove and yield the jobs with queued tasks whose deadline has passed."""
        while self._deadlines and self._deadlines[0][0] <= now:
            job = heapq.heappop(self._deadlines)[2]
            if job.tasks:
                yield job
                self.drop(job)

    def mark_failed(self, key: str) -> None:
        """Mark the jobs of a submission as failed; their remaining tasks are served last."""
        for job in self._keys.get(key, ()):
            job.failed = True

"""Priority queue of the jobs that have waiting tasks."""

from bisect import insort
from itertools import islice

import anyio

from fireflybridge_execution._active_job import ActiveJob


class JobQueue:
    """Waiting jobs sorted by their latest start; the earliest is first."""

    def __init__(self) -> None:
        self._sorted_jobs: list[tuple[float, str]] = []
        self._jobs: dict[str, tuple[float, ActiveJob]] = {}
        self._not_empty = anyio.Event()

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._sorted_jobs)

    def add(self, active: ActiveJob, latest_start_s: float) -> None:
        """Add a job unless it is already queued or answered."""
        if active.job.id in self._jobs or active.answer is not None:
            return
        self._jobs[active.job.id] = (latest_start_s, active)
        insort(self._sorted_jobs, (latest_start_s, active.job.id))
        self._not_empty.set()

    def remove(self, active: ActiveJob) -> None:
        """Remove a job if it is queued."""
        found = self._jobs.pop(active.job.id, None)
        if found is not None:
            self._sorted_jobs.remove((found[0], active.job.id))

    def list_first(self, count: int | None = None) -> list[ActiveJob]:
        """Return the first ``count`` jobs, or all of them."""
        return [self._jobs[job][1] for _, job in islice(self._sorted_jobs, count)]

    async def wait_not_empty(self) -> None:
        """Wait until a job is queued."""
        while not self._sorted_jobs:
            self._not_empty = anyio.Event()
            await self._not_empty.wait()

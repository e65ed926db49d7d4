"""Jobs that wait for room, in the order in which they are served."""

from bisect import insort
from itertools import islice

import anyio

from fireflybridge_execution._active_job import ActiveJob


class JobQueue:
    """Keep waiting jobs by rank; the smallest rank is first."""

    def __init__(self) -> None:
        self._order: list[tuple[float, str]] = []
        self._jobs: dict[str, tuple[float, ActiveJob]] = {}
        self._filled = anyio.Event()

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._order)

    def add(self, active: ActiveJob, rank: float) -> None:
        """Let a job wait, unless it does already or has its answer."""
        if active.job.id in self._jobs or active.answer is not None:
            return
        self._jobs[active.job.id] = (rank, active)
        insort(self._order, (rank, active.job.id))
        self._filled.set()

    def remove(self, active: ActiveJob) -> None:
        """Take a job out, if it waits."""
        found = self._jobs.pop(active.job.id, None)
        if found is not None:
            self._order.remove((found[0], active.job.id))

    def list_first(self, count: int | None = None) -> list[ActiveJob]:
        """Return the first jobs, or all."""
        return [self._jobs[job][1] for _, job in islice(self._order, count)]

    async def wait_filled(self) -> None:
        """Return once a job waits."""
        while not self._order:
            self._filled = anyio.Event()
            await self._filled.wait()

"""Priority queue of the jobs that have waiting tasks."""

from bisect import bisect_left, insort
from itertools import islice

import anyio

from fireflybridge_execution._active_job import ActiveJob


class JobQueue:
    """Waiting jobs sorted by when they are due; the earliest is first.

    Jobs that may not start yet are held back, in the order in which they were last looked at.
    """

    def __init__(self) -> None:
        self._sorted_jobs: list[tuple[float, str]] = []
        self._jobs: dict[str, tuple[float, ActiveJob]] = {}
        """All waiting jobs, those held back as well, with the times at which they are due."""
        self._held: dict[str, None] = {}
        self._not_empty = anyio.Event()

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._jobs)

    def __contains__(self, active: ActiveJob) -> bool:
        """Return whether a job waits."""
        return active.job.id in self._jobs

    def add(self, active: ActiveJob, due_s: float) -> None:
        """Add a job unless it is already queued or answered."""
        if active.job.id in self._jobs or active.answer is not None:
            return
        self._jobs[active.job.id] = (due_s, active)
        insort(self._sorted_jobs, (due_s, active.job.id))
        self._not_empty.set()

    def remove(self, active: ActiveJob) -> None:
        """Remove a job if it is queued."""
        self.release(active)
        found = self._jobs.pop(active.job.id, None)
        if found is not None:
            self._remove_sorted(found[0], active.job.id)

    def hold(self, active: ActiveJob) -> None:
        """Hold a queued job back until it is released."""
        found = self._jobs.get(active.job.id)
        if found is None:
            return
        if active.job.id in self._held:
            del self._held[active.job.id]
        else:
            self._remove_sorted(found[0], active.job.id)
        self._held[active.job.id] = None

    def release(self, active: ActiveJob) -> None:
        """Let a job start again that was held back, if it was."""
        if active.job.id not in self._held:
            return
        del self._held[active.job.id]
        insort(self._sorted_jobs, (self._jobs[active.job.id][0], active.job.id))
        active.released.notify()

    def list_ready(self, start: int, count: int) -> list[ActiveJob]:
        """Return up to ``count`` of the jobs that may start, from a position on."""
        return [self._jobs[job][1] for _, job in islice(self._sorted_jobs, start, start + count)]

    def list_held(self, count: int) -> list[ActiveJob]:
        """Return up to ``count`` of the jobs that are held back, the longest unseen ones first."""
        return [self._jobs[job][1] for job in islice(self._held, count)]

    def list_all(self) -> list[ActiveJob]:
        """Return all waiting jobs."""
        return [active for _, active in self._jobs.values()]

    async def wait_not_empty(self) -> None:
        """Wait until a job is queued."""
        while not self._jobs:
            self._not_empty = anyio.Event()
            await self._not_empty.wait()

    def _remove_sorted(self, due_s: float, job: str) -> None:
        del self._sorted_jobs[bisect_left(self._sorted_jobs, (due_s, job))]

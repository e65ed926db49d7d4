"""Count of the runs of each task that may be alive; prevents a second concurrent run."""

from collections import Counter

from fireflybridge_jobs import TaskId


class LiveRuns:
    """Number of runs of each task that may be alive on the upstreams that this host leads."""

    def __init__(self) -> None:
        self._counts: Counter[TaskId] = Counter()
        self._job_counts: Counter[str] = Counter()

    def add(self, task: TaskId) -> None:
        """Add one run of a task."""
        self._counts[task] += 1
        self._job_counts[task.job] += 1

    def remove(self, task: TaskId) -> None:
        """Remove one run of a task."""
        self._counts[task] -= 1
        if self._counts[task] <= 0:
            del self._counts[task]
        self._job_counts[task.job] -= 1
        if self._job_counts[task.job] <= 0:
            del self._job_counts[task.job]

    def has_job(self, job: str) -> bool:
        """Return whether a run of any task of a job may be alive."""
        return job in self._job_counts

    def __contains__(self, task: TaskId) -> bool:
        """Return whether a run of the task may be alive."""
        return task in self._counts

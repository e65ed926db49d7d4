"""Count of the runs of each task that may be alive; prevents a second concurrent run."""

from collections import Counter

from fireflybridge_jobs import TaskId


class LiveRuns:
    """Number of runs of each task that may be alive on the upstreams that this host leads."""

    def __init__(self) -> None:
        self._counts: Counter[TaskId] = Counter()

    def add(self, task: TaskId) -> None:
        """Add one run of a task."""
        self._counts[task] += 1

    def remove(self, task: TaskId) -> None:
        """Remove one run of a task."""
        self._counts[task] -= 1
        if self._counts[task] <= 0:
            del self._counts[task]

    def __contains__(self, task: TaskId) -> bool:
        """Return whether a run of the task may be alive."""
        return task in self._counts

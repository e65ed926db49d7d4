"""Which tasks may be running anywhere, so that none is started beside its own earlier run."""

from collections import Counter

from fireflybridge_jobs import TaskId


class LiveRuns:
    """Count the runs of each task that may be alive on the upstreams of this host."""

    def __init__(self) -> None:
        self._counts: Counter[TaskId] = Counter()

    def add(self, task: TaskId) -> None:
        """Count one more run."""
        self._counts[task] += 1

    def remove(self, task: TaskId) -> None:
        """Count one run less."""
        self._counts[task] -= 1
        if self._counts[task] <= 0:
            del self._counts[task]

    def __contains__(self, task: TaskId) -> bool:
        """Return whether a run of the task may be alive."""
        return task in self._counts

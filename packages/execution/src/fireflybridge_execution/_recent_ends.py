"""Tasks of other leaders' jobs that were reported as done before their jobs are submitted again."""

import time
from collections import deque
from dataclasses import dataclass

from fireflybridge_jobs import TaskId

RETENTION_S = 5.0  # a job of a lost leader is submitted again within its deadline, or not at all


@dataclass(frozen=True, slots=True)
class _RecentEnd:
    """A task that is done, and when its end was reported on the monotonic clock."""

    task: TaskId
    reported_s: float


class RecentEnds:
    """Remember for a while which tasks of unknown jobs are done.

    An upstream reports an end until it is acknowledged, and a new leader acknowledges it before the
    job arrives from its entry host.
    """

    def __init__(self) -> None:
        self._ends: deque[_RecentEnd] = deque()

    def record(self, task: TaskId) -> None:
        """Record that a task is done."""
        now_s = time.monotonic()
        while self._ends and self._ends[0].reported_s < now_s - RETENTION_S:
            self._ends.popleft()
        self._ends.append(_RecentEnd(task, now_s))

    def list_done(self, job: str) -> frozenset[TaskId]:
        """Return the tasks of a job that are known to be done."""
        return frozenset(end.task for end in self._ends if end.task.job == job)

"""Scheduling policies: that of the daemon and simpler ones to compare it with."""

import random
from collections import defaultdict, deque
from collections.abc import Sequence
from itertools import cycle
from typing import Protocol

import anyio

from fireflybridge_core import Outcome, Task
from fireflybridge_dispatch import Admitted, PoolQueue


class Policy(Protocol):
    """Scheduling policy for the tasks of one pool."""

    def admit(self, tasks: Sequence[Task]) -> bool:
        """Return whether the job is admitted."""

    def put(self, tasks: Sequence[Task]) -> None:
        """Queue the tasks of an admitted job."""

    async def take(self, upstream: str) -> Task:
        """Wait for the next task of a slot."""

    def finish(self, task: Task, outcome: Outcome, run_s: float) -> None:
        """Record the end of a task."""

    def expire(self) -> None:
        """Drop tasks whose deadline has passed."""


class DaemonPolicy:
    """Policy of the daemon, with the queue that the daemon uses."""

    def __init__(self, queue: PoolQueue) -> None:
        self._queue = queue
        self.put = queue.put
        self.take = queue.take
        self.finish = queue.finish

    def admit(self, tasks: Sequence[Task]) -> bool:
        """Return whether the queue admits the job."""
        return isinstance(self._queue.admit(tasks), Admitted)

    def expire(self) -> None:
        """Drop tasks whose deadline has passed."""
        self._queue.expire()


class Fifo:
    """Admits every job and starts tasks in order of arrival."""

    def __init__(self) -> None:
        self._waiting: deque[tuple[str, anyio.Event]] = deque()
        self._assigned: dict[anyio.Event, Task] = {}
        self._queue: deque[Task] = deque()

    def admit(self, tasks: Sequence[Task]) -> bool:
        """Admit every job."""
        return True

    def put(self, tasks: Sequence[Task]) -> None:
        """Queue the tasks of a job and assign them to waiting slots."""
        for task in tasks:
            self._enqueue(task)
        for _ in range(len(self._waiting)):
            upstream, event = self._waiting.popleft()
            next_task = self._dequeue(upstream)
            if next_task is None:
                self._waiting.append((upstream, event))
            else:
                self._assigned[event] = next_task
                event.set()

    async def take(self, upstream: str) -> Task:
        """Wait for the next task of a slot."""
        if (task := self._dequeue(upstream)) is not None:
            return task
        event = anyio.Event()
        self._waiting.append((upstream, event))
        await event.wait()
        return self._assigned.pop(event)

    def finish(self, task: Task, outcome: Outcome, run_s: float) -> None:
        """Do nothing; the order does not depend on finished tasks."""

    def expire(self) -> None:
        """Do nothing; slots discard expired tasks when they take them."""

    def _enqueue(self, task: Task) -> None:
        self._queue.append(task)

    def _dequeue(self, upstream: str) -> Task | None:
        return self._queue.popleft() if self._queue else None


class RandomOrder(Fifo):
    """Starts queued tasks in random order."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._rng = random.Random(seed)
        self._tasks: list[Task] = []

    def _enqueue(self, task: Task) -> None:
        self._tasks.append(task)

    def _dequeue(self, upstream: str) -> Task | None:
        if not self._tasks:
            return None
        index = self._rng.randrange(len(self._tasks))
        self._tasks[index], self._tasks[-1] = self._tasks[-1], self._tasks[index]
        return self._tasks.pop()


class RoundRobin(Fifo):
    """Starts one task of each team in turn."""

    def __init__(self) -> None:
        super().__init__()
        self._teams: dict[str, deque[Task]] = {}

    def _enqueue(self, task: Task) -> None:
        self._teams.setdefault(task.team, deque()).append(task)

    def _dequeue(self, upstream: str) -> Task | None:
        if not self._teams:
            return None
        team = next(iter(self._teams))
        tasks = self._teams.pop(team)
        task = tasks.popleft()
        if tasks:
            self._teams[team] = tasks
        return task


class LeastOutstanding(Fifo):
    """Assigns each task on arrival to the upstream with the fewest unfinished tasks."""

    def __init__(self, upstreams: Sequence[str]) -> None:
        super().__init__()
        self._outstanding = dict.fromkeys(upstreams, 0)
        self._queues: dict[str, deque[Task]] = defaultdict(deque)
        self._upstream_of_task: dict[object, str] = {}
        self._rotation = cycle(upstreams)

    def finish(self, task: Task, outcome: Outcome, run_s: float) -> None:
        """Count the task as finished."""
        self._outstanding[self._upstream_of_task.pop(task.id)] -= 1

    def _enqueue(self, task: Task) -> None:
        fewest = min(self._outstanding.values())
        upstream = next(name for name in self._rotation if self._outstanding[name] == fewest)
        self._outstanding[upstream] += 1
        self._upstream_of_task[task.id] = upstream
        self._queues[upstream].append(task)

    def _dequeue(self, upstream: str) -> Task | None:
        return self._queues[upstream].popleft() if self._queues[upstream] else None

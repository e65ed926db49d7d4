"""Simple orders of the same work, to compare the policy with."""

import random
from collections import defaultdict, deque
from collections.abc import Sequence
from itertools import cycle
from typing import Protocol

import anyio

from fireflybridge_core import Outcome, Task
from fireflybridge_dispatch import Admitted, PoolQueue


class Policy(Protocol):
    """Order the tasks of one pool."""

    def admit(self, tasks: Sequence[Task]) -> bool:
        """Say whether a job may enter."""

    def put(self, tasks: Sequence[Task]) -> None:
        """Queue a job."""

    async def take(self, upstream: str) -> Task:
        """Wait for the next task of a slot."""

    def finish(self, task: Task, outcome: Outcome, run_s: float) -> None:
        """Note the end of a task."""

    def expire(self) -> None:
        """Drop tasks whose deadline has passed."""


class Ours:
    """Drive the queue that the daemon uses."""

    def __init__(self, queue: PoolQueue) -> None:
        self._queue = queue
        self.put = queue.put
        self.take = queue.take
        self.finish = queue.finish

    def admit(self, tasks: Sequence[Task]) -> bool:
        """Ask the queue."""
        return isinstance(self._queue.admit(tasks), Admitted)

    def expire(self) -> None:
        """Drop tasks whose deadline has passed."""
        self._queue.expire()


class Fifo:
    """Serve tasks in order of arrival; admit everything."""

    def __init__(self) -> None:
        self._waiting: deque[tuple[str, anyio.Event]] = deque()
        self._given: dict[anyio.Event, Task] = {}
        self._queue: deque[Task] = deque()

    def admit(self, tasks: Sequence[Task]) -> bool:
        """Admit every job."""
        return True

    def put(self, tasks: Sequence[Task]) -> None:
        """Queue a job."""
        for task in tasks:
            self._add(task)
        for _ in range(len(self._waiting)):
            upstream, event = self._waiting.popleft()
            task_or_none = self._next(upstream)
            if task_or_none is None:
                self._waiting.append((upstream, event))
            else:
                self._given[event] = task_or_none
                event.set()

    async def take(self, upstream: str) -> Task:
        """Wait for the next task of a slot."""
        if (task := self._next(upstream)) is not None:
            return task
        event = anyio.Event()
        self._waiting.append((upstream, event))
        await event.wait()
        return self._given.pop(event)

    def finish(self, task: Task, outcome: Outcome, run_s: float) -> None:
        """Learn nothing."""

    def expire(self) -> None:
        """Drop nothing; slots drop a task whose deadline has passed when they take it."""

    def _add(self, task: Task) -> None:
        self._queue.append(task)

    def _next(self, upstream: str) -> Task | None:
        return self._queue.popleft() if self._queue else None


class RandomOrder(Fifo):
    """Serve tasks in random order."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._rng = random.Random(seed)
        self._pile: list[Task] = []

    def _add(self, task: Task) -> None:
        self._pile.append(task)

    def _next(self, upstream: str) -> Task | None:
        if not self._pile:
            return None
        index = self._rng.randrange(len(self._pile))
        self._pile[index], self._pile[-1] = self._pile[-1], self._pile[index]
        return self._pile.pop()


class RoundRobin(Fifo):
    """Serve the teams in turn."""

    def __init__(self) -> None:
        super().__init__()
        self._teams: dict[str, deque[Task]] = {}

    def _add(self, task: Task) -> None:
        self._teams.setdefault(task.team, deque()).append(task)

    def _next(self, upstream: str) -> Task | None:
        if not self._teams:
            return None
        team = next(iter(self._teams))
        tasks = self._teams.pop(team)
        task = tasks.popleft()
        if tasks:
            self._teams[team] = tasks
        return task


class LeastOutstanding(Fifo):
    """Send each task on arrival to the upstream with the fewest unfinished tasks."""

    def __init__(self, upstreams: Sequence[str]) -> None:
        super().__init__()
        self._outstanding = dict.fromkeys(upstreams, 0)
        self._queues: dict[str, deque[Task]] = defaultdict(deque)
        self._at: dict[object, str] = {}
        self._turns = cycle(upstreams)

    def finish(self, task: Task, outcome: Outcome, run_s: float) -> None:
        """Count the task as finished."""
        self._outstanding[self._at.pop(task.id)] -= 1

    def _add(self, task: Task) -> None:
        fewest = min(self._outstanding.values())
        upstream = next(name for name in self._turns if self._outstanding[name] == fewest)
        self._outstanding[upstream] += 1
        self._at[task.id] = upstream
        self._queues[upstream].append(task)

    def _next(self, upstream: str) -> Task | None:
        return self._queues[upstream].popleft() if self._queues[upstream] else None

"""State of one pool's queue in one daemon."""

from collections import deque
from collections.abc import Callable, Sequence

import anyio

from fireflybridge_core import NotRun, Outcome, Task, TaskId
from fireflybridge_dispatch._admission import Admission, Admitted, Refusal, Refused
from fireflybridge_dispatch._attempts import decide_return
from fireflybridge_dispatch._snapshot import QueueSnapshot, TeamSnapshot
from fireflybridge_tables import Pool


class _Taker:
    """Wait for one task on behalf of one slot."""

    __slots__ = ("event", "task", "upstream")

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.event = anyio.Event()
        self.task: Task | None = None


class PoolQueue:
    """Hold the queued and running tasks of one pool and hand them to slots."""

    def __init__(self, pool: Pool, clock: Callable[[], float]) -> None:
        self._pool = pool
        self._clock = clock
        self._queue: deque[Task] = deque()
        self._running: dict[TaskId, tuple[Task, str]] = {}
        self._takers: deque[_Taker] = deque()
        self._total = self._local = sum(upstream.slots for upstream in pool.upstreams)

    @property
    def queued(self) -> int:
        """Return the number of tasks that wait for a slot."""
        return len(self._queue)

    @property
    def free(self) -> int:
        """Return the number of slots that wait for a task."""
        return len(self._takers)

    def configure(self, pool: Pool) -> None:
        """Apply the pool of the tables now in force."""
        self._pool = pool

    def slots_changed(self, total: int, local: int) -> None:
        """Set the slots of all daemons together, and of this daemon."""
        self._total, self._local = total, local

    def admit(self, tasks: Sequence[Task]) -> Admission:
        """Decide whether the tasks of one submission can be answered within their deadline."""
        if self._total == 0:
            return Refused(Refusal.NO_SLOTS, 1.0)
        return Admitted()

    def put(self, tasks: Sequence[Task]) -> None:
        """Queue the tasks of one submission and wake waiting slots."""
        self._queue.extend(tasks)
        self._hand_out()

    async def take(self, upstream: str) -> Task:
        """Wait for the next task that a free slot of the upstream may run."""
        taker = _Taker(upstream)
        self._takers.append(taker)
        self._hand_out()
        try:
            await taker.event.wait()
        except BaseException:
            self._withdraw(taker)
            raise
        assert taker.task is not None
        return taker.task

    def take_batch(self, slots: int) -> tuple[Task, ...]:
        """Return at most ``slots`` tasks for another daemon that has free slots."""
        batch = tuple(self._queue.popleft() for _ in range(min(slots, len(self._queue))))
        self._running.update((task.id, (task, "")) for task in batch)
        return batch

    def put_back(self, task: Task) -> NotRun | None:
        """Queue a task again that was not run; return its outcome if that was its last attempt."""
        _, upstream = self._running.pop(task.id, (task, ""))
        match decide_return(task, upstream):
            case NotRun() as outcome:
                return outcome
            case again:
                self._queue.appendleft(again)
                self._hand_out()
                return None

    def finish(self, task: Task, outcome: Outcome, run_s: float) -> None:
        """Free the slot of a started task and learn from its run time in seconds."""
        self._running.pop(task.id, None)

    def cancel(self, key: str) -> tuple[Task, ...]:
        """Remove and return the queued tasks of a submission."""
        return self._remove(lambda task: task.id.key == key)

    def expire(self) -> tuple[Task, ...]:
        """Remove and return the queued tasks whose deadline has passed."""
        now = self._clock()
        return self._remove(lambda task: task.deadline <= now)

    def snapshot(self) -> QueueSnapshot:
        """Return the figures of this moment for metrics."""
        teams: dict[str, list[int]] = {}
        for task in self._queue:
            teams.setdefault(task.team, [0, 0])[0] += 1
        for task, _ in self._running.values():
            teams.setdefault(task.team, [0, 0])[1] += 1
        rows = tuple(TeamSnapshot(team, *counts) for team, counts in sorted(teams.items()))
        return QueueSnapshot(
            self._pool.name, self.queued, 0, len(self._running), 0, self.free, 0.0, rows
        )

    def _remove(self, matches: Callable[[Task], bool]) -> tuple[Task, ...]:
        """Remove and return the queued tasks that match."""
        removed = tuple(filter(matches, self._queue))
        if removed:
            gone = {task.id for task in removed}
            self._queue = deque(task for task in self._queue if task.id not in gone)
        return removed

    def _hand_out(self) -> None:
        """Give queued tasks to waiting slots."""
        while self._takers and self._queue:
            taker, task = self._takers.popleft(), self._queue.popleft()
            self._running[task.id] = (task, taker.upstream)
            taker.task = task
            taker.event.set()

    def _withdraw(self, taker: _Taker) -> None:
        """Forget a cancelled slot; a task already given to it goes back to the queue's head."""
        if taker.task is None:
            self._takers.remove(taker)
            return
        self._running.pop(taker.task.id, None)
        self._queue.appendleft(taker.task)
        self._hand_out()

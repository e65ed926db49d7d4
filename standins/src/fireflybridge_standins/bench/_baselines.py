"""Baseline dispatchers to compare the daemons with; each has one connection for each slot."""

import random
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from fireflybridge_core import Done, Outcome, Task, TaskId
from fireflybridge_standins.bench._trace import SLOTS_PER_WORKER, TraceJob
from fireflybridge_upstream import UpstreamConnection


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Send each task to a random upstream."""


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Send tasks to the upstreams in turn."""


@dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """Send each task to the upstream with the fewest unfinished tasks."""


@dataclass(frozen=True, slots=True)
class SharedFifo:
    """Queue tasks in one FIFO queue that all upstreams share."""


Policy = RandomChoice | RoundRobin | LeastOutstanding | SharedFifo


@dataclass(slots=True, eq=False)
class _QueuedTask:
    """Queued or running task; ``finished`` is set after its outcome."""

    task: Task
    finished: anyio.Event
    outcome: Outcome | None = None


class _TaskQueue:
    """FIFO queue of tasks for the slots of one or more upstreams."""

    def __init__(self) -> None:
        self.queued_tasks: deque[_QueuedTask] = deque()
        self.running = 0
        self.waiting: deque[anyio.Event] = deque()

    @property
    def outstanding(self) -> int:
        return len(self.queued_tasks) + self.running

    def put(self, queued: _QueuedTask) -> None:
        self.queued_tasks.append(queued)
        if self.waiting:
            self.waiting.popleft().set()

    async def take(self) -> _QueuedTask:
        while not self.queued_tasks:
            event = anyio.Event()
            self.waiting.append(event)
            await event.wait()
        return self.queued_tasks.popleft()


class Baseline:
    """Dispatcher with one policy and without admission control, priority classes or fair sharing."""

    def __init__(self, policy: Policy, addresses: Sequence[str], seed: int) -> None:
        self._policy = policy
        self._addresses = addresses
        self._rng = random.Random(seed)
        shared = _TaskQueue()
        is_shared = isinstance(policy, SharedFifo)
        self._queues = [shared if is_shared else _TaskQueue() for _ in addresses]
        self._last_index = 0

    def start(self, group: TaskGroup) -> None:
        """Start one coroutine for each slot."""
        for address, queue in zip(self._addresses, self._queues, strict=True):
            for _ in range(SLOTS_PER_WORKER):
                group.start_soon(self._run_slot, address, queue)

    async def run_job(self, key: str, job: TraceJob) -> bool:
        """Run a job and return whether every task succeeded with the response to its own body."""
        deadline = time.monotonic() + 60.0
        queued_tasks = [
            _QueuedTask(self._make_task(key, job, index, deadline), anyio.Event())
            for index in range(len(job.run_ms))
        ]
        for queued in queued_tasks:
            self._choose_queue().put(queued)
        for queued in queued_tasks:
            await queued.finished.wait()
        return all(
            isinstance(queued.outcome, Done)
            and queued.outcome.body == b"answer:" + queued.task.body
            for queued in queued_tasks
        )

    def _choose_queue(self) -> _TaskQueue:
        match self._policy:
            case RandomChoice():
                return self._rng.choice(self._queues)
            case RoundRobin():
                self._last_index += 1
                return self._queues[self._last_index % len(self._queues)]
            case LeastOutstanding():
                return min(self._queues, key=lambda queue: queue.outstanding)
            case SharedFifo():
                return self._queues[0]

    async def _run_slot(self, address: str, queue: _TaskQueue) -> None:
        connection = UpstreamConnection(address, address, guards=True)
        while True:
            queued = await queue.take()
            queue.running += 1
            queued.outcome = await connection.exchange(queued.task)
            queue.running -= 1
            queued.finished.set()

    def _make_task(self, key: str, job: TraceJob, index: int, deadline: float) -> Task:
        return Task(
            id=TaskId(key, index),
            route=job.kind.route,
            pool="bench",
            path="/",
            content_type="text/plain",
            body=job.bodies[index].encode(),
            team=job.team,
            idempotent=False,
            expected_s=0.0,
            timeout_s=60.0,
            deadline=deadline,
        )

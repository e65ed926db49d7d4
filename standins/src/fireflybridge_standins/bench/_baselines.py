"""Baseline dispatchers to compare with: each keeps one connection for each slot."""

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
class OneFifo:
    """Keep one queue for all upstreams, first in, first out."""


Policy = RandomChoice | RoundRobin | LeastOutstanding | OneFifo


@dataclass(slots=True, eq=False)
class _Item:
    """Hold a queued task until its outcome is set."""

    task: Task
    finished: anyio.Event
    outcome: Outcome | None = None


class _Queue:
    """Hold the tasks that wait for the slots of one or more upstreams."""

    def __init__(self) -> None:
        self.items: deque[_Item] = deque()
        self.running = 0
        self.waiting: deque[anyio.Event] = deque()

    @property
    def outstanding(self) -> int:
        return len(self.items) + self.running

    def put(self, item: _Item) -> None:
        self.items.append(item)
        if self.waiting:
            self.waiting.popleft().set()

    async def take(self) -> _Item:
        while not self.items:
            event = anyio.Event()
            self.waiting.append(event)
            await event.wait()
        return self.items.popleft()


class Baseline:
    """Dispatch tasks under one policy, without admission, classes or fair shares."""

    def __init__(self, policy: Policy, addresses: Sequence[str], seed: int) -> None:
        self._policy = policy
        self._addresses = addresses
        self._draw = random.Random(seed)
        shared = _Queue()
        is_shared = isinstance(policy, OneFifo)
        self._queues = [shared if is_shared else _Queue() for _ in addresses]
        self._turn = 0

    def start(self, group: TaskGroup) -> None:
        """Start one task for each slot."""
        for address, queue in zip(self._addresses, self._queues, strict=True):
            for _ in range(SLOTS_PER_WORKER):
                group.start_soon(self._run_slot, address, queue)

    async def run_job(self, key: str, job: TraceJob) -> bool:
        """Run a job and return whether every task was answered with its own body."""
        deadline = time.monotonic() + 60.0
        items = [
            _Item(self._make_task(key, job, index, deadline), anyio.Event())
            for index in range(len(job.run_ms))
        ]
        for item in items:
            self._choose().put(item)
        for item in items:
            await item.finished.wait()
        return all(
            isinstance(item.outcome, Done) and item.outcome.body == b"answer:" + item.task.body
            for item in items
        )

    def _choose(self) -> _Queue:
        match self._policy:
            case RandomChoice():
                return self._draw.choice(self._queues)
            case RoundRobin():
                self._turn += 1
                return self._queues[self._turn % len(self._queues)]
            case LeastOutstanding():
                return min(self._queues, key=lambda queue: queue.outstanding)
            case OneFifo():
                return self._queues[0]

    async def _run_slot(self, address: str, queue: _Queue) -> None:
        connection = UpstreamConnection(address, address, guards=True)
        while True:
            item = await queue.take()
            queue.running += 1
            item.outcome = await connection.exchange(item.task)
            queue.running -= 1
            item.finished.set()

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

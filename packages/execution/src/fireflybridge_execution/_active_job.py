"""State of one job that a leader is working on."""

import time
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import chain

import anyio

from fireflybridge_jobs import Answer, EarlierRuns, Job, Step, Succeeded, TaskId


@dataclass(frozen=True, slots=True)
class PlacedRun:
    """Say where a task's current run is."""

    upstream: str
    number: int


class ActiveJob:
    """Keep which tasks of a job wait, run and are done, until the job has its answer."""

    def __init__(self, job: Job, received_s: float, earlier: EarlierRuns | None) -> None:
        self.job = job
        self.received_s = received_s
        self.submitted_s = time.monotonic()
        self.deadline_s = received_s + min(job.wait_ms, job.policy.timeout_ms) / 1000
        self.earlier = earlier
        self.takes_any_speed = False
        self.waiters = 0
        self.may_have_run = earlier is not None
        self.waiting: deque[TaskId] = deque()
        self.runs: dict[TaskId, PlacedRun] = {}
        self.failed_runs = 0
        self.first_offered_s: float | None = None
        self.answer: Answer | None = None
        self.offered = anyio.Event()
        self.answered = anyio.Event()
        self._numbers: dict[TaskId, int] = {}
        self._failures: dict[TaskId, tuple[str, ...]] = {}
        self._moved: dict[TaskId, tuple[str, ...]] = {}
        self._done: set[TaskId] = set()
        self._remaining = [step.count for step in job.steps]
        self._released: set[int] = set()
        self._release_steps()

    def step_of(self, task: TaskId) -> Step:
        """Return the step that a task belongs to."""
        return self.job.steps[task.step]

    def place(self, task: TaskId, upstream: str, now_s: float) -> int:
        """Record that a waiting task is offered to an upstream; return the run's number."""
        number = self._numbers.get(task, 0) + 1
        self._numbers[task] = number
        self.runs[task] = PlacedRun(upstream, number)
        if self.first_offered_s is None:
            self.first_offered_s = now_s
        self.offered.set()
        return number

    def has_run(self, task: TaskId, upstream: str, number: int) -> bool:
        """Return whether a run is the current one of its task."""
        return self.runs.get(task) == PlacedRun(upstream, number)

    def find_full(self, step: int, most: int) -> frozenset[str]:
        """Return the upstreams that run as many tasks of a step as they may."""
        used = [placed.upstream for task, placed in self.runs.items() if task.step == step]
        return frozenset(name for name in used if used.count(name) >= most)

    def adopt(self, task: TaskId, upstream: str, number: int) -> bool:
        """Record a run that an earlier leader started; return whether the task has no other."""
        if task in self._done or task in self.runs or task not in self.waiting:
            return False
        self.waiting.remove(task)
        self._numbers[task] = max(number, self._numbers.get(task, 0))
        self.runs[task] = PlacedRun(upstream, number)
        self.may_have_run = True
        self.offered.set()
        return True

    def put_back(self, task: TaskId, *, skip_numbers: int = 0) -> None:
        """Let a task wait again after its run came to nothing."""
        self.runs.pop(task, None)
        self._numbers[task] = self._numbers.get(task, 0) + skip_numbers
        self.waiting.appendleft(task)

    def fail_run(self, task: TaskId, upstream: str) -> int:
        """Record a run that failed and let the task wait; return how often it has failed."""
        self.failed_runs += 1
        failures = (*self._failures.get(task, ()), upstream)
        self._failures[task] = failures
        self.put_back(task)
        return len(failures)

    def move_run(self, task: TaskId, upstream: str) -> None:
        """Record that a task's run is stopped, to be placed on another upstream."""
        self._moved[task] = (*self._moved.get(task, ()), upstream)

    def count_moves(self, task: TaskId) -> int:
        """Return how many runs of a task were stopped because they were too slow."""
        return len(self._moved.get(task, ()))

    def list_avoided(self, task: TaskId) -> frozenset[str]:
        """Return the upstreams on which a task has failed or was too slow."""
        return frozenset((*self._failures.get(task, ()), *self._moved.get(task, ())))

    def finish(self, task: TaskId) -> None:
        """Record that a task is done and release the steps that waited for its step."""
        if task in self._done:
            return
        self._done.add(task)
        self.runs.pop(task, None)
        if task in self.waiting:
            self.waiting.remove(task)
        self._remaining[task.step] -= 1
        if self._remaining[task.step] == 0:
            self._release_steps()
        if not any(self._remaining):
            self.give_answer(Succeeded())

    def give_answer(self, answer: Answer) -> Answer:
        """Set the job's answer, unless it has one; return the one that it has then."""
        if self.answer is None:
            self.answer = answer
            self.answered.set()
            self.offered.set()
        return self.answer

    def _release_steps(self) -> None:
        ready = [
            index
            for index, step in enumerate(self.job.steps)
            if index not in self._released and not any(self._remaining[i] for i in step.after)
        ]
        self._released.update(ready)
        self.waiting.extend(chain.from_iterable(self._name_tasks(index) for index in ready))

    def _name_tasks(self, step: int) -> Iterable[TaskId]:
        return (TaskId(self.job.id, 0, step, index) for index in range(self.job.steps[step].count))

"""State of a job between its submission and its answer."""

import time
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import chain

import anyio

from fireflybridge_jobs import Answer, EarlierRuns, Job, JobSender, Step, Succeeded, TaskId
from fireflybridge_leadership import Notifier
from fireflybridge_placement import compute_critical_path_ms


@dataclass(frozen=True, slots=True)
class PlacedRun:
    """The upstream and the run number of a task's current run."""

    upstream: str
    number: int


def compute_deadline(job: Job, received_s: float) -> float:
    """Return when a submission of a job that was received at a monotonic time has to be answered."""
    return received_s + min(job.wait_ms, job.policy.timeout_ms) / 1000


class ActiveJob:
    """Track which tasks of a job are waiting, running and done until the job is answered."""

    def __init__(self, job: Job, received_s: float, earlier: EarlierRuns | None) -> None:
        self.job = job
        self.received_s = received_s
        self.submitted_s = time.monotonic()
        self.requested_s = self.submitted_s
        """When its newest submission was read, whose sender waits for the answer."""
        self.critical_path_ms = compute_critical_path_ms(job)
        """Estimated work of the longest chain of dependent tasks, before what was learned."""
        self.deadline_s = compute_deadline(job, received_s)
        """The latest one of its submissions."""
        self.earlier: EarlierRuns | None = None
        self.accepts_any_speed = False
        self.waiter_count = 0
        self.ended_senders: list[JobSender] = []
        """Senders of the submissions that have ended, in order."""
        self.may_have_run = False
        self.is_deferred = False
        """Whether the log says that another leader decides on the job."""
        self.waiting: deque[TaskId] = deque()
        self.runs: dict[TaskId, PlacedRun] = {}
        self.failed_runs = 0
        self.first_placed_s: float | None = None
        self.answer: Answer | None = None
        self.placed_or_answered = anyio.Event()
        self.answered = anyio.Event()
        self.released = Notifier()
        """Notified when the job is held back no longer, or may be refused although it is."""
        self._run_numbers: dict[TaskId, int] = {}
        self._failures: dict[TaskId, tuple[str, ...]] = {}
        self._moves: dict[TaskId, tuple[str, ...]] = {}
        self._done: set[TaskId] = set()
        self._remaining = [step.count for step in job.steps]
        self._released_steps: set[int] = set()
        self._release_steps()
        if earlier is not None:
            self.learn_earlier_runs(earlier)
            for task in earlier.done:
                self.finish(task)

    def learn_earlier_runs(self, earlier: EarlierRuns) -> None:
        """Note what a submission says of runs that other leaders have started."""
        self.submitted_s = time.monotonic()
        self.earlier = earlier.merge(self.earlier)
        self.may_have_run = True

    def get_step(self, task: TaskId) -> Step:
        """Return the step that a task belongs to."""
        return self.job.steps[task.step]

    def record_placement(self, task: TaskId, upstream: str, now_s: float) -> int:
        """Record that a waiting task is placed on an upstream; return the run's number."""
        number = self._run_numbers.get(task, 0) + 1
        self._run_numbers[task] = number
        self.runs[task] = PlacedRun(upstream, number)
        if self.first_placed_s is None:
            self.first_placed_s = now_s
        self.placed_or_answered.set()
        return number

    @property
    def has_begun(self) -> bool:
        """Return whether this host has placed or adopted a run."""
        return self.first_placed_s is not None or bool(self.runs)

    @property
    def was_rejected(self) -> bool:
        """Return whether tasks were placed, and the upstreams have rejected every run."""
        return self.first_placed_s is not None and not self.may_have_run and not self.runs

    def is_current_run(self, task: TaskId, upstream: str, number: int) -> bool:
        """Return whether this run is the current one of its task."""
        return self.runs.get(task) == PlacedRun(upstream, number)

    def list_full_upstreams(self, step: int, limit: int) -> frozenset[str]:
        """Return the upstreams that run at least ``limit`` tasks of a step."""
        used = [placed.upstream for task, placed in self.runs.items() if task.step == step]
        return frozenset(name for name in used if used.count(name) >= limit)

    def adopt(self, task: TaskId, upstream: str, number: int) -> bool:
        """Record a run that an earlier leader started.

        Return False, and record nothing, unless the task is waiting.
        """
        if task in self._done or task in self.runs or task not in self.waiting:
            return False
        self.waiting.remove(task)
        self._run_numbers[task] = max(number, self._run_numbers.get(task, 0))
        self.runs[task] = PlacedRun(upstream, number)
        self.may_have_run = True
        self.placed_or_answered.set()
        return True

    def requeue(self, task: TaskId, *, skip_numbers: int = 0) -> None:
        """Return a task to the front of the waiting tasks after its run ended without success.

        ``skip_numbers`` raises the number of its next run.
        """
        self.runs.pop(task, None)
        self._run_numbers[task] = self._run_numbers.get(task, 0) + skip_numbers
        self.waiting.appendleft(task)

    def record_failed_run(self, task: TaskId, upstream: str) -> int:
        """Record a failed run and requeue its task; return the number of its failures."""
        self.failed_runs += 1
        failures = (*self._failures.get(task, ()), upstream)
        self._failures[task] = failures
        self.requeue(task)
        return len(failures)

    def record_move(self, task: TaskId, upstream: str) -> None:
        """Record that a task's run is stopped so that it can be placed on another upstream."""
        self._moves[task] = (*self._moves.get(task, ()), upstream)

    def count_moves(self, task: TaskId) -> int:
        """Return how many runs of a task were stopped because they were slow."""
        return len(self._moves.get(task, ()))

    def list_avoided_upstreams(self, task: TaskId) -> frozenset[str]:
        """Return the upstreams on which a task has failed or was slow."""
        return frozenset((*self._failures.get(task, ()), *self._moves.get(task, ())))

    def finish(self, task: TaskId) -> None:
        """Record that a task is done and release the steps that depend on its step."""
        if task in self._done or not self._has_task(task):
            return
        self._done.add(task)
        self.runs.pop(task, None)
        if task in self.waiting:
            self.waiting.remove(task)
        self._remaining[task.step] -= 1
        if self._remaining[task.step] == 0:
            self._release_steps()
        if not any(self._remaining):
            self.set_answer(Succeeded())

    def list_done(self) -> frozenset[TaskId]:
        """Return the tasks that are done."""
        return frozenset(self._done)

    def _has_task(self, task: TaskId) -> bool:
        """Return whether a task, which another host or an upstream has named, is one of the job."""
        steps = self.job.steps
        return 0 <= task.step < len(steps) and 0 <= task.index < steps[task.step].count

    def set_answer(self, answer: Answer) -> Answer:
        """Set the job's answer unless it already has one; return the effective answer."""
        if self.answer is None:
            self.answer = answer
            self.answered.set()
            self.placed_or_answered.set()
        return self.answer

    def _release_steps(self) -> None:
        ready = [
            index
            for index, step in enumerate(self.job.steps)
            if index not in self._released_steps and not any(self._remaining[i] for i in step.after)
        ]
        self._released_steps.update(ready)
        self.waiting.extend(chain.from_iterable(self._list_tasks(index) for index in ready))

    def _list_tasks(self, step: int) -> Iterable[TaskId]:
        return (TaskId(self.job.id, 0, step, index) for index in range(self.job.steps[step].count))

"""Records, outcomes and answers of the submissions that this daemon executes."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from fireflybridge_claims import Attempt
from fireflybridge_core import (
    Cause,
    Complete,
    Done,
    Failed,
    MayHaveRun,
    Outcome,
    Task,
    TaskId,
    summarize_outcomes,
)

# Resident bytes without keys and bodies, measured on CPython 3.11 over about 100,000 objects.
RECORD_BYTES = 640  # a record and its entries in the store's maps; measured 552 to 590
JOB_BYTES = 6400  # a running job's coroutine with its timer and event; measured 6,408
TASK_BYTES = 320  # a running task and its queue entry; measured 263 in the store alone
OUTCOME_BYTES = 176  # measured 168


class Job:
    """Collect the outcomes of a submission's tasks.

    Only the first outcome of each task is kept; later ones are ignored.
    """

    def __init__(self, tasks: tuple[Task, ...], pool: str, accepted: float, expires: float) -> None:
        self.tasks = tasks
        self.pool = pool
        self.accepted = accepted
        self.expires = expires
        self.finished = anyio.Event()
        self.answer: Complete | Failed | None = None
        self.cancelled = False
        self._outcomes: list[Outcome | None] = [None] * len(tasks)
        self._remaining = len(tasks)

    def deliver(self, index: int, outcome: Outcome) -> bool:
        """Store the outcome of a task; return whether it was the task's first one."""
        if self._outcomes[index] is not None:
            return False
        self._outcomes[index] = outcome
        self._remaining -= 1
        if self._remaining == 0:
            self.answer = summarize_outcomes(tuple(filter(None, self._outcomes)))
            self.finished.set()
        return True

    async def wait(self) -> Complete | Failed:
        """Wait until every task has an outcome and return the answer."""
        await self.finished.wait()
        assert self.answer is not None
        return self.answer

    def is_open(self, index: int) -> bool:
        """Return whether a task has no outcome yet and its submission was not cancelled."""
        return not self.cancelled and self._outcomes[index] is None

    def close(self) -> None:
        """Record every task without an outcome as one that may have run."""
        for index, outcome in enumerate(self._outcomes):
            if outcome is None:
                self.deliver(index, MayHaveRun(Cause.TIMED_OUT))


@dataclass(frozen=True, slots=True)
class Claiming:
    """A claim for the key is being decided."""

    digest: bytes
    attempt: Attempt
    abandoned: tuple[Attempt, ...]
    decided: anyio.Event


@dataclass(frozen=True, slots=True)
class Abandoned:
    """No attempt for the key was started here, and no caller waits for its claims."""

    digest: bytes
    abandoned: tuple[Attempt, ...]


@dataclass(frozen=True, slots=True)
class Running:
    """The submission was started on this daemon."""

    digest: bytes
    attempt: int
    job: Job


@dataclass(frozen=True, slots=True)
class Finished:
    """The submission has ended; its answer is kept for resubmissions."""

    digest: bytes
    attempt: int
    answer: Complete | Failed


JobRecord = Claiming | Abandoned | Running | Finished


class JobStore:
    """Store the records of the submissions that this daemon executes, by key."""

    def __init__(self, clock: Callable[[], float], retention_s: float, max_bytes: int) -> None:
        self._clock = clock
        self._retention_s = retention_s
        self._max_bytes = max_bytes
        self._records: dict[str, JobRecord] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._order = itertools.count()
        self._expiry_orders: dict[str, int] = {}
        self._sizes: dict[str, int] = {}
        self._bytes = 0
        self._running = 0

    @property
    def running(self) -> int:
        """Return how many submissions have no answer yet."""
        return self._running

    @property
    def is_full(self) -> bool:
        """Return whether new submissions must be refused to limit memory."""
        return self._bytes >= self._max_bytes

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: str) -> JobRecord | None:
        """Return the record of a key."""
        return self._records.get(key)

    def find_jobs(self) -> tuple[Job, ...]:
        """Return every job without an answer."""
        return tuple(r.job for r in self._records.values() if isinstance(r, Running))

    def store_unstarted(self, key: str, record: Claiming | Abandoned) -> None:
        """Store a record of a submission that has not started."""
        self._records[key] = record
        self._resize(key, RECORD_BYTES)
        if isinstance(record, Abandoned):
            self._expire_after(key, self._retention_s)

    def start(self, key: str, record: Running) -> None:
        """Store a started submission."""
        self._records[key] = record
        self._expiry_orders.pop(key, None)
        self._running += 1
        self._resize(key, RECORD_BYTES + JOB_BYTES + _measure_tasks(record.job.tasks))

    def deliver(self, task_id: TaskId, outcome: Outcome) -> bool:
        """Store a task's outcome; return False for an unknown task or a repeated outcome."""
        match self._records.get(task_id.key):
            case Running(job=job):
                is_first = job.deliver(task_id.index, outcome)
                if is_first:
                    self._resize(task_id.key, self._sizes[task_id.key] + _measure_outcome(outcome))
                return is_first
            case _:
                return False

    def finish(self, key: str, min_keep_s: float) -> None:
        """Keep the answer of a finished job for at least ``min_keep_s`` seconds."""
        match self._records.get(key):
            case Running(digest=digest, attempt=attempt, job=Job(answer=answer)) if answer:
                self._records[key] = Finished(digest, attempt, answer)
                self._running -= 1
                self._resize(key, RECORD_BYTES + sum(map(_measure_outcome, answer.outcomes)))
                self._expire_after(key, max(min_keep_s, self._retention_s))

    def remove(self, key: str) -> None:
        """Remove the record of a key that no caller needs any more."""
        self._expiry_orders.pop(key, None)
        if self._records.pop(key, None) is not None:
            self._resize(key, 0)

    def expire(self) -> None:
        """Remove expired records; a key whose expiry was set again later stays."""
        now = self._clock()
        while self._expiries and self._expiries[0][0] <= now:
            _, order, key = heapq.heappop(self._expiries)
            if self._expiry_orders.get(key) != order:
                continue
            match self._records.get(key):
                case Abandoned(digest=digest, abandoned=abandoned):
                    recent = tuple(a for a in abandoned if a.issued_s + self._retention_s > now)
                    if recent:
                        self.store_unstarted(key, Abandoned(digest, recent))
                    else:
                        self.remove(key)
                case Finished():
                    self.remove(key)
                case _:
                    pass

    def _expire_after(self, key: str, seconds: float) -> None:
        order = next(self._order)
        self._expiry_orders[key] = order
        heapq.heappush(self._expiries, (self._clock() + seconds, order, key))

    def _resize(self, key: str, size: int) -> None:
        self._bytes += size - self._sizes.pop(key, 0)
        if size:
            self._sizes[key] = size


def _measure_tasks(tasks: tuple[Task, ...]) -> int:
    return sum(TASK_BYTES + len(task.body) for task in tasks)


def _measure_outcome(outcome: Outcome) -> int:
    return OUTCOME_BYTES + (len(outcome.body) if isinstance(outcome, Done) else 0)

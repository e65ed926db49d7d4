"""Submissions that this daemon executes: their records, outcomes and answers."""

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

# Resident bytes beside keys and bodies, measured on CPython 3.11 over some 100,000 objects.
RECORD_BYTES = 640  # a record with its places in the book's maps; 552 to 590 seen
JOB_BYTES = 6400  # a running job's coroutine with its timer and event; 6,408 seen
TASK_BYTES = 320  # a running task with its place in the queue; 263 seen in the book alone
OUTCOME_BYTES = 176  # 168 seen


class Job:
    """Collect the outcomes of one submission's tasks until every task has one.

    The first outcome of a task counts; a later one is ignored.
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
        """Store the outcome of one task; return whether it was the first one for the task."""
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
        """Tell whether a task has no outcome yet and its submission was not cancelled."""
        return not self.cancelled and self._outcomes[index] is None

    def close(self) -> None:
        """End every task without an outcome as one that may have run."""
        for index, outcome in enumerate(self._outcomes):
            if outcome is None:
                self.deliver(index, MayHaveRun(Cause.TIMED_OUT))


@dataclass(frozen=True, slots=True)
class Claiming:
    """State that a claim for the key is being decided."""

    digest: bytes
    attempt: Attempt
    abandoned: tuple[Attempt, ...]
    decided: anyio.Event


@dataclass(frozen=True, slots=True)
class Given:
    """State that no attempt of the key was started and no caller waits."""

    digest: bytes
    abandoned: tuple[Attempt, ...]


@dataclass(frozen=True, slots=True)
class Running:
    """State that the submission was started here."""

    digest: bytes
    attempt: int
    job: Job


@dataclass(frozen=True, slots=True)
class Kept:
    """Keep the answer of a finished submission for resubmissions."""

    digest: bytes
    attempt: int
    answer: Complete | Failed


JobRecord = Claiming | Given | Running | Kept


class JobBook:
    """Own the records of every submission that this daemon executes, by key."""

    def __init__(self, clock: Callable[[], float], retention_s: float, max_bytes: int) -> None:
        self._clock = clock
        self._retention_s = retention_s
        self._max_bytes = max_bytes
        self._records: dict[str, JobRecord] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._order = itertools.count()
        self._due: dict[str, int] = {}
        self._sizes: dict[str, int] = {}
        self._bytes = 0
        self._running = 0

    @property
    def running(self) -> int:
        """Return how many submissions have no answer yet."""
        return self._running

    @property
    def full(self) -> bool:
        """Tell whether new submissions must be refused to keep memory bounded."""
        return self._bytes >= self._max_bytes

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: str) -> JobRecord | None:
        """Return the record of a key."""
        return self._records.get(key)

    def find_jobs(self) -> tuple[Job, ...]:
        """Return every job without an answer."""
        return tuple(r.job for r in self._records.values() if isinstance(r, Running))

    def note(self, key: str, record: Claiming | Given) -> None:
        """Store a record of a submission that has not started."""
        self._records[key] = record
        self._resize(key, RECORD_BYTES)
        if isinstance(record, Given):
            self._expire_after(key, self._retention_s)

    def start(self, key: str, record: Running) -> None:
        """Store a started submission."""
        self._records[key] = record
        self._due.pop(key, None)
        self._running += 1
        self._resize(key, RECORD_BYTES + JOB_BYTES + _count_tasks(record.job.tasks))

    def deliver(self, task_id: TaskId, outcome: Outcome) -> bool:
        """Store a task's outcome; return False for an unknown task or a repeated outcome."""
        match self._records.get(task_id.key):
            case Running(job=job):
                is_first = job.deliver(task_id.index, outcome)
                if is_first:
                    self._resize(task_id.key, self._sizes[task_id.key] + _count_outcome(outcome))
                return is_first
            case _:
                return False

    def finish(self, key: str, keep_s: float) -> None:
        """Keep the answer of a finished job for at least ``keep_s`` seconds."""
        match self._records.get(key):
            case Running(digest=digest, attempt=attempt, job=Job(answer=answer)) if answer:
                self._records[key] = Kept(digest, attempt, answer)
                self._running -= 1
                self._resize(key, RECORD_BYTES + sum(map(_count_outcome, answer.outcomes)))
                self._expire_after(key, max(keep_s, self._retention_s))

    def forget(self, key: str) -> None:
        """Drop the record of a key that no caller can ask for again."""
        self._due.pop(key, None)
        if self._records.pop(key, None) is not None:
            self._resize(key, 0)

    def expire(self) -> None:
        """Drop records whose time has passed; a key that got a new record later stays."""
        now = self._clock()
        while self._expiries and self._expiries[0][0] <= now:
            _, order, key = heapq.heappop(self._expiries)
            if self._due.get(key) != order:
                continue
            match self._records.get(key):
                case Given(digest=digest, abandoned=abandoned):
                    recent = tuple(a for a in abandoned if a.issued_s + self._retention_s > now)
                    if recent:
                        self.note(key, Given(digest, recent))
                    else:
                        self.forget(key)
                case Kept():
                    self.forget(key)
                case _:
                    pass

    def _expire_after(self, key: str, seconds: float) -> None:
        order = next(self._order)
        self._due[key] = order
        heapq.heappush(self._expiries, (self._clock() + seconds, order, key))

    def _resize(self, key: str, size: int) -> None:
        self._bytes += size - self._sizes.pop(key, 0)
        if size:
            self._sizes[key] = size


def _count_tasks(tasks: tuple[Task, ...]) -> int:
    return sum(TASK_BYTES + len(task.body) for task in tasks)


def _count_outcome(outcome: Outcome) -> int:
    return OUTCOME_BYTES + (len(outcome.body) if isinstance(outcome, Done) else 0)

"""Tasks under which upstreams have crashed, and when such a task is held back or given up."""

import time
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, replace

from fireflybridge_jobs import Crash, TaskId

CRASHES_TO_GIVE_UP = 3
CRASHES_ALONE_TO_GIVE_UP = 2  # if no other job's task can have caused one of them
RETENTION_S = 30.0  # callers have stopped submitting a job again by then
SHARING_S = 2.0  # several heartbeats, as replies to some may be lost


def should_give_up(crashes: Collection[Crash]) -> bool:
    """Return whether a task is to be started no more, and its job has failed."""
    return should_hold_back([crash for crash in crashes if crash.confirmed])


def should_hold_back(crashes: Collection[Crash]) -> bool:
    """Return whether a task isn't to be started until it is known which upstreams have crashed.

    A cut may refuse connections as well. A task that ran beside the cause of one crash or even two
    isn't to blame for them, so a crash while it ran alone counts for more.
    """
    if any(crash.alone for crash in crashes):
        return len(crashes) >= CRASHES_ALONE_TO_GIVE_UP
    return len(crashes) >= CRASHES_TO_GIVE_UP


@dataclass(frozen=True, slots=True)
class _RecordedCrash:
    """A crash, and when this host learned of it on the monotonic clock."""

    crash: Crash
    recorded_s: float


class CrashHistory:
    """Remember for a while under which tasks upstreams have crashed, whoever leads.

    It outlives the submission of a job, which its caller may repeat. A leader shares it with the
    hosts that may replace it.
    """

    def __init__(self) -> None:
        self._recorded: deque[_RecordedCrash] = deque()
        self._by_job: dict[str, dict[TaskId, list[Crash]]] = {}

    def record(self, crash: Crash) -> None:
        """Add a crash unless it is known, or known and confirmed in the meantime."""
        self._forget_old()
        crashes = self._by_job.get(crash.task.job, {}).get(crash.task, [])
        same = [
            known
            for known in crashes
            if (known.upstream, known.incarnation) == (crash.upstream, crash.incarnation)
        ]
        if any(known.confirmed or not crash.confirmed for known in same):
            return
        for known in same:
            self._drop(known)
        self._by_job.setdefault(crash.task.job, {}).setdefault(crash.task, []).append(crash)
        self._recorded.append(_RecordedCrash(crash, time.monotonic()))

    def resolve(self, upstream: str, incarnation: int) -> frozenset[str]:
        """Confirm or retract the crashes of an upstream that replies; return the jobs of the former.

        One that reports the incarnation under which it seemed to crash was only unreachable.
        """
        uncertain = [
            recorded.crash
            for recorded in self._recorded
            if recorded.crash.upstream == upstream and not recorded.crash.confirmed
        ]
        for crash in uncertain:
            if crash.incarnation == incarnation:
                self._drop(crash)
            else:
                self.record(replace(crash, confirmed=True))
        return frozenset(c.task.job for c in uncertain if c.incarnation != incarnation)

    def is_suspect(self, task: TaskId) -> bool:
        """Return whether an upstream has crashed under a task."""
        return task in self._by_job.get(task.job, {})

    def has_job(self, job: str) -> bool:
        """Return whether an upstream has crashed under a task of a job, which has run then."""
        return job in self._by_job

    def holds_back(self, task: TaskId) -> bool:
        """Return whether a task isn't to be started for now."""
        return should_hold_back(self._by_job.get(task.job, {}).get(task, ()))

    def has_given_up(self, job: str) -> bool:
        """Return whether one of a job's tasks is to be started no more."""
        return any(map(should_give_up, self._by_job.get(job, {}).values()))

    def list_recent(self) -> tuple[Crash, ...]:
        """Return the crashes that other hosts may not know of yet."""
        oldest_s = time.monotonic() - SHARING_S
        return tuple(r.crash for r in self._recorded if r.recorded_s >= oldest_s)

    def _forget_old(self) -> None:
        oldest_s = time.monotonic() - RETENTION_S
        while self._recorded and self._recorded[0].recorded_s < oldest_s:
            self._remove(self._recorded.popleft().crash)

    def _drop(self, crash: Crash) -> None:
        self._recorded = deque(kept for kept in self._recorded if kept.crash != crash)
        self._remove(crash)

    def _remove(self, crash: Crash) -> None:
        tasks = self._by_job[crash.task.job]
        tasks[crash.task].remove(crash)
        if not tasks[crash.task]:
            del tasks[crash.task]
        if not tasks:
            del self._by_job[crash.task.job]

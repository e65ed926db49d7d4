"""Queued work of one class: one queue of jobs per team, ranked by fair share."""

import heapq
import math
from collections import deque
from collections.abc import Callable, Iterator
from itertools import count

from fireflybridge_core import Task
from fireflybridge_dispatch._order import JobTiming, find_due_time, will_miss_deadline
from fireflybridge_dispatch._run_times import RunTime
from fireflybridge_dispatch._shares import AverageUse, is_flooding, rank_team, update_average_use
from fireflybridge_dispatch._work_classes import WorkClass

DUE_BUCKET_S = 0.5
NEGLIGIBLE_S = 1e-6  # less work than this in a bucket is a rounding error
# Stale ranks allowed, in addition to as many as there are valid ones, before the heap is rebuilt.
STALE_RANK_MARGIN = 64

_sequence = count()


class Team:
    """Hold one team's queued work, its slots in use and its limits.

    ``own_running`` counts its slots in use without tasks that came from peers, which count there.
    ``allowance`` is the number of slots it may use now, ``expected_allowance`` the number that
    admission predicts with.
    """

    __slots__ = (
        "allowance",
        "expected_allowance",
        "limit",
        "name",
        "own_running",
        "queues",
        "running",
        "weight",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.weight = 1.0
        self.limit = self.allowance = self.expected_allowance = 1
        self.running = 0
        self.own_running = 0
        self.queues = tuple(TeamQueue(self) for _ in WorkClass)

    @property
    def queued(self) -> int:
        """Return the number of queued tasks."""
        return sum(queue.queued for queue in self.queues)

    @property
    def blocked(self) -> bool:
        """Return whether the team uses its whole allowance."""
        return self.own_running >= self.allowance


class Job:
    """Hold the queued tasks of one submission."""

    __slots__ = (
        "arrival",
        "deadline",
        "due",
        "failed",
        "key",
        "mean_s",
        "tasks",
        "team_queue",
        "typical_s",
        "work_class",
    )

    def __init__(
        self, tasks: deque[Task], team_queue: "TeamQueue", work_class: WorkClass, run_time: RunTime
    ) -> None:
        self.key = tasks[0].id.key
        self.deadline = tasks[0].deadline
        self.due = 0.0
        self.arrival = 0.0
        self.tasks = tasks
        self.team_queue = team_queue
        self.work_class = work_class
        self.mean_s = run_time.mean_s
        self.typical_s = run_time.typical_s
        self.failed = False  # one of its tasks ended without a result, so it cannot complete


class WorkByDueTime:
    """Sum queued work in slot seconds by due time, in buckets of ``DUE_BUCKET_S``."""

    __slots__ = ("_buckets", "work_s")

    def __init__(self) -> None:
        self._buckets: dict[int, float] = {}
        self.work_s = 0.0

    def add(self, bucket: int, work_s: float) -> None:
        """Add work to a bucket of due times; a negative amount removes work."""
        remaining_s = self._buckets.get(bucket, 0.0) + work_s
        self.work_s += work_s
        if remaining_s > NEGLIGIBLE_S:
            self._buckets[bucket] = remaining_s
        else:
            self._buckets.pop(bucket, None)
            if not self._buckets:
                self.work_s = 0.0

    def sum_until(self, due: float) -> float:
        """Return the work that is due no later than ``due``."""
        limit = int(due / DUE_BUCKET_S)
        return sum(work_s for bucket, work_s in self._buckets.items() if bucket <= limit)


class TeamQueue:
    """Hold a team's jobs of one class, ordered by due time.

    ``version`` increases with each change of the rank, so that older heap entries are recognized.
    """

    __slots__ = ("jobs", "queued", "running", "team", "use", "version", "work")

    def __init__(self, team: Team) -> None:
        self.team = team
        self.jobs: list[tuple[tuple[float, float], int, Job]] = []
        self.work = WorkByDueTime()
        self.queued = 0
        self.running = 0
        self.use = AverageUse(0.0, 0.0)
        self.version = 0

    def change_running(self, slots: int, now: float) -> None:
        """Add ``slots`` to the slots in use, after the average use up to now is updated."""
        self.use = update_average_use(self.use, self.running, now)
        self.running += slots


class Backlog:
    """Rank the team queues of one class and find the job that the next slot serves."""

    def __init__(self, count_slots: Callable[[], int]) -> None:
        self._count_slots = count_slots
        self._ranks: list[tuple[float, tuple[float, float], int, int, TeamQueue]] = []
        self._rebuild_at = STALE_RANK_MARGIN
        self._late: list[tuple[float, int, Job]] = []
        self.team_queues: dict[str, TeamQueue] = {}
        self.fair_slots = math.inf  # per unit of weight
        self.queued = 0
        self.work = WorkByDueTime()

    def add(self, job: Job, now: float) -> None:
        """Queue a job."""
        team_queue = job.team_queue
        job.arrival = now
        timing = JobTiming(now, job.deadline, len(job.tasks), job.mean_s, job.typical_s)
        job.due = find_due_time(timing, self._count_slots())
        entry = ((job.due, job.deadline), next(_sequence), job)
        heapq.heappush(team_queue.jobs, entry)
        self._add_to_totals(job, len(job.tasks))
        if team_queue.jobs[0] is entry:
            self.rank(team_queue)

    def rank(self, team_queue: TeamQueue) -> None:
        """Rank a team queue again after its team's use or its first job changed."""
        team_queue.version += 1
        if not team_queue.jobs:
            return
        weight = team_queue.team.weight
        flooding = is_flooding(team_queue.use, weight, self.fair_slots, self._count_slots())
        tasks = team_queue.queued if flooding else len(team_queue.jobs[0][2].tasks)
        share = rank_team(team_queue.running, tasks, weight, self.fair_slots)
        entry = (share, team_queue.jobs[0][0], next(_sequence), team_queue.version, team_queue)
        if len(self._ranks) >= self._rebuild_at:
            self._ranks = [rank for rank in self._ranks if rank[3] == rank[4].version]
            heapq.heapify(self._ranks)
            self._rebuild_at = 2 * len(self._ranks) + STALE_RANK_MARGIN
        heapq.heappush(self._ranks, entry)

    def find_first(self, now: float) -> Job | None:
        """Return the job to serve next among those that can still meet their deadline."""
        while self._ranks:
            team_queue = self._ranks[0][4]
            if self._ranks[0][3] != team_queue.version or team_queue.team.blocked:
                heapq.heappop(self._ranks)
            elif (job := self._find_in_team_queue(team_queue, now)) is not None:
                return job
        return None

    def find_late(self, now: float) -> Job | None:
        """Return the late job with the least work left.

        Late jobs are served only when no other job waits.
        """
        skipped: list[tuple[float, int, Job]] = []
        found = None
        while self._late and found is None:
            job = self._late[0][2]
            if not job.tasks or job.deadline <= now:
                heapq.heappop(self._late)
            elif job.team_queue.team.blocked:
                skipped.append(heapq.heappop(self._late))
            else:
                found = job
        for entry in skipped:
            heapq.heappush(self._late, entry)
        return found

    def take(self, job: Job) -> Task:
        """Remove and return the next task of a job; the caller must rank its team queue again."""
        self._add_to_totals(job, -1)
        task = job.tasks.popleft()
        team_queue = job.team_queue
        team_queue.version += 1
        if not job.tasks and team_queue.jobs and team_queue.jobs[0][2] is job:
            heapq.heappop(team_queue.jobs)
        return task

    def clear(self, job: Job) -> tuple[Task, ...]:
        """Remove and return all tasks of a job."""
        self._add_to_totals(job, -len(job.tasks))
        tasks = tuple(job.tasks)
        job.tasks.clear()
        return tasks

    def iter_other_queues(self, team: Team) -> Iterator[TeamQueue]:
        """Yield the queues of the other teams that have queued work."""
        return (q for q in self.team_queues.values() if q.queued and q.team is not team)

    def _find_in_team_queue(self, team_queue: TeamQueue, now: float) -> Job | None:
        """Return the first job of a team queue if it can still complete in time.

        Otherwise move what is left of it to the late jobs and rank the queue again.
        """
        job = team_queue.jobs[0][2]
        slots = self._count_slots()
        if job.tasks and not job.failed:
            timing = (job.deadline, len(job.tasks), job.mean_s, job.typical_s)
            if not will_miss_deadline(*timing, now=now, slots=slots):
                return job
        heapq.heappop(team_queue.jobs)
        if job.tasks:
            self._move_to_late(job)
        self.rank(team_queue)
        return None

    def _move_to_late(self, job: Job) -> None:
        """Move a job to the late jobs; its work no longer counts as ahead of other jobs."""
        heapq.heappush(self._late, (len(job.tasks) * job.mean_s, next(_sequence), job))
        self._add_to_totals(job, -len(job.tasks))
        job.mean_s = 0.0
        self._add_to_totals(job, len(job.tasks))

    def _add_to_totals(self, job: Job, tasks: int) -> None:
        """Add a number of the job's tasks to the totals of its team queue and its class."""
        work_s = tasks * job.mean_s
        bucket = int(job.due / DUE_BUCKET_S)
        job.team_queue.work.add(bucket, work_s)
        self.work.add(bucket, work_s)
        job.team_queue.queued += tasks
        self.queued += tasks
        if job.team_queue.queued:
            self.team_queues[job.team_queue.team.name] = job.team_queue
        else:
            self.team_queues.pop(job.team_queue.team.name, None)

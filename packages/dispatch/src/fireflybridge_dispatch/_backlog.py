"""Queued work of one class: lanes of jobs, one for each team, ranked by fair share."""

import heapq
import math
from collections import deque
from collections.abc import Callable, Iterator
from itertools import count

from fireflybridge_core import Task
from fireflybridge_dispatch._classes import WorkClass
from fireflybridge_dispatch._estimates import RunTime
from fireflybridge_dispatch._order import JobView, find_due, will_miss
from fireflybridge_dispatch._shares import Use, average_use, is_flooding, rank_share

DUE_BUCKET_S = 0.5
NEGLIGIBLE_S = 1e-6  # work that rounding leaves behind
SPARE_RANKS = 64  # outdated ranks kept, beside as many as there are valid ones, before a rebuild

_serial = count()


class Team:
    """Hold what one team uses of the pool.

    ``own`` counts its slots in use without the tasks of other daemons, which count there.
    ``allowance`` is what it may use now, ``expected`` what admission counts on.
    """

    __slots__ = ("allowance", "expected", "lanes", "limit", "name", "own", "running", "weight")

    def __init__(self, name: str) -> None:
        self.name = name
        self.weight = 1.0
        self.limit = self.allowance = self.expected = 1
        self.running = 0
        self.own = 0
        self.lanes = tuple(Lane(self) for _ in WorkClass)

    @property
    def queued(self) -> int:
        """Return the number of queued tasks."""
        return sum(lane.queued for lane in self.lanes)

    @property
    def blocked(self) -> bool:
        """Say whether the team uses all that it may."""
        return self.own >= self.allowance


class Job:
    """Hold the queued tasks of one submission."""

    __slots__ = (
        "arrival",
        "deadline",
        "due",
        "key",
        "lane",
        "mean_s",
        "spoiled",
        "tasks",
        "typical_s",
        "work_class",
    )

    def __init__(
        self, tasks: deque[Task], lane: "Lane", work_class: WorkClass, run_time: RunTime
    ) -> None:
        self.key = tasks[0].id.key
        self.deadline = tasks[0].deadline
        self.due = 0.0
        self.arrival = 0.0
        self.tasks = tasks
        self.lane = lane
        self.work_class = work_class
        self.mean_s = run_time.mean_s
        self.typical_s = run_time.typical_s
        self.spoiled = False  # a task of it ended without a result, so it cannot become complete


class WorkSum:
    """Sum queued work in slot seconds, by the time it is due."""

    __slots__ = ("_buckets", "work_s")

    def __init__(self) -> None:
        self._buckets: dict[int, float] = {}
        self.work_s = 0.0

    def add(self, bucket: int, work_s: float) -> None:
        """Add work to a bucket of due times, or remove it if negative."""
        rest_s = self._buckets.get(bucket, 0.0) + work_s
        self.work_s += work_s
        if rest_s > NEGLIGIBLE_S:
            self._buckets[bucket] = rest_s
        else:
            self._buckets.pop(bucket, None)
            if not self._buckets:
                self.work_s = 0.0

    def sum_until(self, due: float) -> float:
        """Return the work that is due no later."""
        limit = int(due / DUE_BUCKET_S)
        return sum(work_s for bucket, work_s in self._buckets.items() if bucket <= limit)


class Lane:
    """Hold a team's jobs of one class in order."""

    __slots__ = ("jobs", "queued", "running", "team", "use", "version", "work")

    def __init__(self, team: Team) -> None:
        self.team = team
        self.jobs: list[tuple[tuple[float, float], int, Job]] = []
        self.work = WorkSum()
        self.queued = 0
        self.running = 0
        self.use = Use(0.0, 0.0)
        self.version = 0

    def change_use(self, slots: int, now: float) -> None:
        """Change the number of slots in use."""
        self.use = average_use(self.use, self.running, now)
        self.running += slots


class Backlog:
    """Rank the lanes of one class and find the job that the next slot serves."""

    def __init__(self, find_slots: Callable[[], int]) -> None:
        self._find_slots = find_slots
        self._ranks: list[tuple[float, tuple[float, float], int, int, Lane]] = []
        self._rebuild_at = SPARE_RANKS
        self._late: list[tuple[float, int, Job]] = []
        self.lanes: dict[str, Lane] = {}
        self.fair_slots = math.inf  # per unit of weight
        self.queued = 0
        self.work = WorkSum()

    def add(self, job: Job, now: float) -> None:
        """Queue a job."""
        lane = job.lane
        job.arrival = now
        view = JobView(now, job.deadline, len(job.tasks), job.mean_s, job.typical_s)
        job.due = find_due(view, self._find_slots())
        entry = ((job.due, job.deadline), next(_serial), job)
        heapq.heappush(lane.jobs, entry)
        self._account(job, len(job.tasks))
        if lane.jobs[0] is entry:
            self.rank(lane)

    def rank(self, lane: Lane) -> None:
        """Give a lane its new place after its team's use or its first job changed."""
        lane.version += 1
        if not lane.jobs:
            return
        weight = lane.team.weight
        flooding = is_flooding(lane.use, weight, self.fair_slots, self._find_slots())
        tasks = lane.queued if flooding else len(lane.jobs[0][2].tasks)
        share = rank_share(lane.running, tasks, weight, self.fair_slots)
        place = (share, lane.jobs[0][0], next(_serial), lane.version, lane)
        if len(self._ranks) >= self._rebuild_at:
            self._ranks = [rank for rank in self._ranks if rank[3] == rank[4].version]
            heapq.heapify(self._ranks)
            self._rebuild_at = 2 * len(self._ranks) + SPARE_RANKS
        heapq.heappush(self._ranks, place)

    def find_first(self, now: float) -> Job | None:
        """Return the job to serve next among those that can still meet their deadline."""
        while self._ranks:
            lane = self._ranks[0][4]
            if self._ranks[0][3] != lane.version or lane.team.blocked:
                heapq.heappop(self._ranks)
            elif (job := self._find_in_lane(lane, now)) is not None:
                return job
        return None

    def find_late(self, now: float) -> Job | None:
        """Return the late job with the least work left, to be served when nothing else waits."""
        held: list[tuple[float, int, Job]] = []
        found = None
        while self._late and found is None:
            job = self._late[0][2]
            if not job.tasks or job.deadline <= now:
                heapq.heappop(self._late)
            elif job.lane.team.blocked:
                held.append(heapq.heappop(self._late))
            else:
                found = job
        for entry in held:
            heapq.heappush(self._late, entry)
        return found

    def take(self, job: Job) -> Task:
        """Remove and return the next task of a job; the caller ranks the lane anew."""
        self._account(job, -1)
        task = job.tasks.popleft()
        lane = job.lane
        lane.version += 1
        if not job.tasks and lane.jobs and lane.jobs[0][2] is job:
            heapq.heappop(lane.jobs)
        return task

    def clear(self, job: Job) -> tuple[Task, ...]:
        """Remove and return all tasks of a job."""
        self._account(job, -len(job.tasks))
        tasks = tuple(job.tasks)
        job.tasks.clear()
        return tasks

    def walk_other_lanes(self, team: Team) -> Iterator[Lane]:
        """Yield the lanes with queued work of the other teams."""
        return (lane for lane in self.lanes.values() if lane.queued and lane.team is not team)

    def _find_in_lane(self, lane: Lane, now: float) -> Job | None:
        """Return the lane's first job; move late ones out, and rank the lane anew if it changed."""
        job = lane.jobs[0][2]
        slots = self._find_slots()
        if job.tasks and not job.spoiled:
            view = (job.deadline, len(job.tasks), job.mean_s, job.typical_s)
            if not will_miss(*view, now=now, slots=slots):
                return job
        heapq.heappop(lane.jobs)
        if job.tasks:
            self._put_last(job)
        self.rank(lane)
        return None

    def _put_last(self, job: Job) -> None:
        """Move a job behind all others; its work no longer counts as ahead of anyone's."""
        heapq.heappush(self._late, (len(job.tasks) * job.mean_s, next(_serial), job))
        self._account(job, -len(job.tasks))
        job.mean_s = 0.0
        self._account(job, len(job.tasks))

    def _account(self, job: Job, tasks: int) -> None:
        """Add a number of tasks of the job to the sums of its lane and class."""
        work_s = tasks * job.mean_s
        bucket = int(job.due / DUE_BUCKET_S)
        job.lane.work.add(bucket, work_s)
        self.work.add(bucket, work_s)
        job.lane.queued += tasks
        self.queued += tasks
        if job.lane.queued:
            self.lanes[job.lane.team.name] = job.lane
        else:
            self.lanes.pop(job.lane.team.name, None)

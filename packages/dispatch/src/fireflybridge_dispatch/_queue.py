"""State of one pool's queue in one daemon."""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from fireflybridge_core import Cause, Done, MayHaveRun, NotRun, Outcome, Task, TaskId
from fireflybridge_dispatch._admission import (
    MAX_QUEUED,
    MOST_OF_WINDOW,
    NO_SLOTS_RETRY_S,
    QUEUE_FULL_RETRY_S,
    Admission,
    Admitted,
    Load,
    Refusal,
    Refused,
    Request,
    TeamWork,
    adapt_window_part,
    decide_admission,
)
from fireflybridge_dispatch._arrivals import ArrivalRates
from fireflybridge_dispatch._attempts import decide_return
from fireflybridge_dispatch._backlog import Backlog, Job, Team
from fireflybridge_dispatch._classes import WorkClass
from fireflybridge_dispatch._index import JobIndex
from fireflybridge_dispatch._kinds import Kinds
from fireflybridge_dispatch._limits import Teams
from fireflybridge_dispatch._order import JobView, find_due
from fireflybridge_dispatch._quota_book import TeamDemand
from fireflybridge_dispatch._quotas import Allowance
from fireflybridge_dispatch._returned import ReturnedTasks
from fireflybridge_dispatch._shares import find_demand, find_fair_slots
from fireflybridge_dispatch._slots import SlotUse
from fireflybridge_dispatch._snapshot import QueueSnapshot, TeamSnapshot
from fireflybridge_dispatch._takers import Taker, Takers, waits_for_faster
from fireflybridge_tables import Pool

REMOTE = ""  # upstream name of tasks that another daemon pulled


class _Start(NamedTuple):
    """Hold what a running task uses."""

    team: Team
    work_class: WorkClass
    upstream: str
    foreign: bool = False


class PoolQueue:
    """Hold the queued and running tasks of one pool and hand them to slots."""

    def __init__(self, pool: Pool, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._slots = SlotUse(sum(upstream.slots for upstream in pool.upstreams), clock())
        self._kinds = Kinds()
        self._takers = Takers()
        self._returned = ReturnedTasks()
        self._backlogs = tuple(Backlog(self._count_slots) for _ in WorkClass)
        self._arrivals = tuple(ArrivalRates() for _ in WorkClass)
        self._teams = Teams(pool, self._slots.total)
        self._jobs = JobIndex()
        self._running: dict[TaskId, _Start] = {}
        self._window_parts = [MOST_OF_WINDOW for _ in WorkClass]
        self.configure(pool)

    @property
    def queued(self) -> int:
        """Return the number of tasks that wait for a slot."""
        short, long = self._backlogs
        return short.queued + long.queued + len(self._returned)

    @property
    def movable(self) -> int:
        """Return the number of waiting tasks that another daemon may pull."""
        return max(0, self.startable - self._returned.pinned)

    @property
    def startable(self) -> int:
        """Return the number of waiting tasks that no limit of their team keeps from starting."""
        return max(0, self.queued - self._teams.count_blocked(self._clock()))

    @property
    def free(self) -> int:
        """Return the number of slots that wait for a task."""
        return len(self._takers)

    def configure(self, pool: Pool) -> None:
        """Apply the pool of the tables now in force."""
        self._pool = pool
        self._teams.configure(pool)
        self._takers.keep_only(frozenset(upstream.name for upstream in pool.upstreams))
        self._apply_limits()

    def slots_changed(self, total: int, local: int) -> None:
        """Set the slots that this daemon can count on: those of all daemons, and its own."""
        self._slots.total, self._slots.local = total, local
        self._apply_limits()

    def share_limits(self, daemons: int, allowances: Mapping[str, Allowance]) -> None:
        """Set what the other daemons leave of the teams' limits."""
        self._teams.share(daemons, allowances)

    def list_demands(self) -> tuple[TeamDemand, ...]:
        """Return what limited teams hold and queue through this daemon."""
        return tuple(self._teams.list_demands())

    def is_foreign(self, task: Task) -> bool:
        """Tell whether a running task is another daemon's."""
        return task.id in self._running and self._running[task.id].foreign

    def admit(self, tasks: Sequence[Task]) -> Admission:
        """Decide whether the tasks of one submission can be answered within their deadline."""
        if self._slots.total <= 0:
            return Refused(Refusal.NO_SLOTS, NO_SLOTS_RETRY_S)
        if self.queued + len(tasks) > MAX_QUEUED:
            return Refused(Refusal.QUEUE_FULL, QUEUE_FULL_RETRY_S)
        first = tasks[0]
        run_time, work_class = self._kinds.estimate(first)
        team, backlog = self._teams.find(first.team), self._backlogs[work_class]
        now, slots = self._clock(), self._count_slots()
        view = JobView(now, first.deadline, len(tasks), run_time.mean_s, run_time.typical_s)
        due = find_due(view, slots)
        request = Request(
            window_s=first.deadline - now,
            work_s=len(tasks) * run_time.mean_s,
            ahead_s=team.lanes[work_class].work.sum_until(due),
            typical_s=run_time.typical_s,
            high_s=run_time.high_s,
            weight=team.weight,
            slots=team.expected,
        )
        load = Load(
            slots=self._count_class_slots(work_class, now),
            ahead_s=backlog.work.sum_until(due),
            passing_s=self._arrivals[work_class].sum_passing(now, due - now),
            window_part=self._window_parts[work_class],
        )
        others = (
            TeamWork(lane.work.work_s, lane.team.weight) for lane in backlog.walk_other_lanes(team)
        )
        match decide_admission(request, load, others):
            case Refused() if self._kinds.may_probe(first, now):
                return Admitted(run_time.high_s)
            case decision:
                return decision

    def put(self, tasks: Sequence[Task]) -> None:
        """Queue the tasks of one submission and wake waiting slots."""
        first = tasks[0]
        run_time, work_class = self._kinds.estimate(first)
        team, backlog = self._teams.find(first.team), self._backlogs[work_class]
        now = self._clock()
        if not self.queued:
            self._slots.backlog_since = now
        job = Job(deque(tasks), team.lanes[work_class], work_class, run_time)
        backlog.add(job, now)
        work_s = len(tasks) * run_time.mean_s
        self._arrivals[work_class].add(now, job.due - now, work_s)
        self._jobs.add(job)
        self._hand_out()

    def accept(self, tasks: Sequence[Task], foreign: bool = True) -> None:
        """Queue tasks that are never moved on, by default as those of another daemon."""
        now = self._clock()
        for task in tasks:
            _, work_class = self._kinds.estimate(task)
            self._returned.pin(task.id, foreign)
            self._returned.add(task, self._teams.find(task.team), work_class, frozenset(), now)
        self._hand_out()

    async def take(self, upstream: str) -> Task:
        """Wait for the next task that a free slot of the upstream may run.

        A caller that is cancelled while it waits loses no task.
        """
        if self.queued and (task := self._pick(upstream)) is not None:
            return task
        taker = self._takers.add(upstream)
        try:
            await taker.event.wait()
        except BaseException:
            self._withdraw(taker)
            raise
        assert taker.task is not None
        return taker.task

    def take_batch(self, slots: int) -> tuple[Task, ...]:
        """Return at most ``slots`` tasks for another daemon that has free slots."""
        picks = (self._pick(REMOTE) for _ in range(min(slots, self.queued)))
        return tuple(task for task in picks if task is not None)

    def put_back(self, task: Task) -> NotRun | None:
        """Queue a task again that was not run; return its outcome if that was its last attempt."""
        start = self._release(task.id)
        match decide_return(task, start.upstream if start else REMOTE):
            case NotRun() as outcome:
                self._returned.forget(task.id)
                self._jobs.spoil(task.id.key)
                self._hand_out()
                return outcome
            case again:
                self._return(again, start, frozenset((start.upstream,)) if start else frozenset())
                return None

    def finish(self, task: Task, outcome: Outcome, run_s: float) -> None:
        """Free the slot of a started task and learn from its run time in seconds."""
        start = self._release(task.id)
        if start is None:
            return
        self._returned.forget(task.id)
        match outcome:
            case Done():
                self._learn(task, start.upstream, run_s)
            case MayHaveRun(cause=Cause.TIMED_OUT):
                self._learn(task, start.upstream, run_s)
                self._jobs.spoil(task.id.key)
            case NotRun() | MayHaveRun():
                self._jobs.spoil(task.id.key)
        self._hand_out()

    def cancel(self, key: str) -> tuple[Task, ...]:
        """Remove and return the queued tasks of a submission."""
        jobs = self._jobs.pop_key(key)
        returned = self._returned.remove_key(key)
        queued = (task for job in jobs for task in self._backlogs[job.work_class].clear(job))
        return (*(one.task for one in returned), *queued)

    def expire(self) -> tuple[Task, ...]:
        """Remove and return the queued tasks whose deadline has passed.

        Call it several times a second: it also offers tasks to slots that they avoided for a time.
        """
        now = self._clock()
        expired = [one.task for one in self._returned.remove_expired(now)]
        counts = [0 for _ in WorkClass]
        for job in self._jobs.pop_expired(now):
            counts[job.work_class] += len(job.tasks)
            expired.extend(self._backlogs[job.work_class].clear(job))
        self._window_parts = [*map(adapt_window_part, self._window_parts, counts)]
        if not self.queued:
            self._slots.backlog_since = None
        self._slots.sample_long(self._backlogs[WorkClass.LONG].queued, now)
        self._refresh_shares(now)
        self._hand_out()
        return tuple(expired)

    def snapshot(self) -> QueueSnapshot:
        """Return the figures of this moment for metrics."""
        short, long = self._backlogs
        teams = (
            TeamSnapshot(team.name, team.queued, team.running)
            for team in self._teams.values()
            if team.queued or team.running
        )
        return QueueSnapshot(
            pool=self._pool.name,
            queued=self.queued,
            queued_long=long.queued,
            running=len(self._running),
            running_long=self._slots.running[WorkClass.LONG],
            free=self.free,
            wait_s=short.work.work_s / self._count_class_slots(WorkClass.SHORT, self._clock()),
            teams=tuple(sorted(teams, key=lambda row: row.team)),
        )

    def _hand_out(self) -> None:
        """Give queued tasks to waiting slots, the fastest upstream's first."""
        while self._takers and self.queued:
            taker = self._takers.find_fastest()
            task = self._pick(taker.upstream)
            if task is None:
                break
            self._give(taker, task)
        if self._takers and self._returned:
            for taker in self._takers.list_fastest():
                task = self._pick(taker.upstream)
                if task is not None:
                    self._give(taker, task)

    def _give(self, taker: Taker, task: Task) -> None:
        """Wake a slot with its task."""
        self._takers.remove(taker)
        taker.task = task
        taker.event.set()

    def _withdraw(self, taker: Taker) -> None:
        """Forget a cancelled slot; a task that it was already given is queued again."""
        if taker.task is None:
            self._takers.remove(taker)
            return
        self._return(taker.task, self._release(taker.task.id), frozenset())

    def _return(self, task: Task, start: _Start | None, avoid: frozenset[str]) -> None:
        """Queue a task that was not run, to be kept from some upstreams for a time."""
        if start is None:
            self.put((task,))
            return
        self._returned.add(task, start.team, start.work_class, avoid, self._clock())
        self._hand_out()

    def _pick(self, upstream: str) -> Task | None:
        """Remove and return the next task for a slot of the upstream, and count it as running."""
        now = self._clock()
        if self._returned and (again := self._returned.take(upstream, now)) is not None:
            self._start(
                again.task, _Start(again.team, again.work_class, upstream, again.foreign), now
            )
            return again.task
        job = self._find_job(now)
        if job is None:
            return None
        slow_ratio = self._takers.find_slow_ratio(upstream)
        if slow_ratio and waits_for_faster(now - job.arrival, job.typical_s, slow_ratio):
            return None
        task = self._backlogs[job.work_class].take(job)
        self._start(task, _Start(job.lane.team, job.work_class, upstream), now)
        if not job.tasks:
            self._jobs.drop(job)
        return task

    def _find_job(self, now: float) -> Job | None:
        """Return the job that the next free slot serves."""
        short, long = self._backlogs
        if not long.queued:
            return short.find_first(now) or short.find_late(now)
        order = self._slots.order()
        for find in (Backlog.find_first, Backlog.find_late):
            for work_class in order:
                if (job := find(self._backlogs[work_class], now)) is not None:
                    return job
        return None

    def _start(self, task: Task, start: _Start, now: float) -> None:
        """Count a task as running."""
        self._running[task.id] = start
        start.team.own += not start.foreign
        long_queued = self._backlogs[WorkClass.LONG].queued
        self._slots.start(start.work_class, start.upstream == REMOTE, long_queued)
        self._change_use(start.team, start.work_class, 1, now)

    def _release(self, task_id: TaskId) -> _Start | None:
        """Count a task as no longer running."""
        start = self._running.pop(task_id, None)
        if start is not None:
            start.team.own -= not start.foreign
            self._slots.end(start.work_class, start.upstream == REMOTE)
            self._change_use(start.team, start.work_class, -1, self._clock())
        return start

    def _change_use(self, team: Team, work_class: WorkClass, slots: int, now: float) -> None:
        """Change the slots that a team uses, and with it the team's place."""
        team.running += slots
        lane = team.lanes[work_class]
        lane.change_use(slots, now)
        for backlog, lane in zip(self._backlogs, team.lanes, strict=True):
            if lane.jobs:
                backlog.rank(lane)

    def _refresh_shares(self, now: float) -> None:
        """Find the fair share of this moment, and each waiting team's place in it."""
        for work_class, backlog in zip(WorkClass, self._backlogs, strict=True):
            lanes = [team.lanes[work_class] for team in self._teams.values()]
            for lane in lanes:
                lane.change_use(0, now)
            backlog.fair_slots = find_fair_slots(
                self._count_class_slots(work_class, now),
                (find_demand(lane.use, lane.work.work_s, lane.team.weight) for lane in lanes),
            )
            for lane in backlog.lanes.values():
                backlog.rank(lane)

    def _learn(self, task: Task, upstream: str, run_s: float) -> None:
        """Learn from a run time in seconds."""
        if run_s <= 0.0:
            return
        run_time = self._kinds.learn(task, run_s)
        if upstream != REMOTE:
            self._takers.learn_pace(upstream, run_s, run_time.typical_s)

    def _apply_limits(self) -> None:
        """Apply quotas and slots to the teams at hand."""
        self._teams.set_slots(self._slots.total)
        self._refresh_shares(self._clock())
        self._hand_out()

    def _count_slots(self) -> int:
        """Return the slots that the backlog can count on."""
        return self._slots.count(self._clock())

    def _count_class_slots(self, work_class: WorkClass, now: float) -> float:
        """Return the slots that a class can count on beside the other class."""
        return self._slots.count_for(work_class, self._backlogs[WorkClass.LONG].queued, now)

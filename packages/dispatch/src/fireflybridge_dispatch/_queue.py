"""Queue of one pool in one daemon."""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from fireflybridge_core import Cause, Done, MayHaveRun, NotRun, Outcome, Task, TaskId
from fireflybridge_dispatch._admission import (
    MAX_QUEUED,
    MAX_WINDOW_FRACTION,
    NO_SLOTS_RETRY_S,
    QUEUE_FULL_RETRY_S,
    Admission,
    AdmissionRequest,
    Admitted,
    ClassLoad,
    NotAdmitted,
    RefusalCause,
    TeamWork,
    adapt_window_fraction,
    decide_admission,
)
from fireflybridge_dispatch._arrivals import ArrivalRates
from fireflybridge_dispatch._attempts import prepare_next_attempt
from fireflybridge_dispatch._backlog import Backlog, Job, Team
from fireflybridge_dispatch._job_index import JobIndex
from fireflybridge_dispatch._order import JobTiming, find_due_time
from fireflybridge_dispatch._quota_coordinator import TeamDemand
from fireflybridge_dispatch._quotas import Allowance
from fireflybridge_dispatch._requeued_tasks import RequeuedTasks
from fireflybridge_dispatch._shares import find_demand, find_fair_slots
from fireflybridge_dispatch._slot_usage import SlotUsage
from fireflybridge_dispatch._snapshot import QueueSnapshot, TeamSnapshot
from fireflybridge_dispatch._task_kinds import TaskKinds
from fireflybridge_dispatch._teams import TeamRegistry
from fireflybridge_dispatch._waiting_slots import WaitingSlot, WaitingSlots, should_wait_for_faster
from fireflybridge_dispatch._work_classes import WorkClass
from fireflybridge_tables import Pool

REMOTE = ""  # upstream name of tasks that another daemon pulled


class _RunningTask(NamedTuple):
    """Team, work class and upstream that a running task counts against."""

    team: Team
    work_class: WorkClass
    upstream: str
    from_peer: bool = False


class PoolQueue:
    """Hold the queued and running tasks of one pool and assign them to slots."""

    def __init__(self, pool: Pool, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._slots = SlotUsage(sum(upstream.slots for upstream in pool.upstreams), clock())
        self._kinds = TaskKinds()
        self._waiting_slots = WaitingSlots()
        self._requeued = RequeuedTasks()
        self._backlogs = tuple(Backlog(self._count_slots) for _ in WorkClass)
        self._arrivals = tuple(ArrivalRates() for _ in WorkClass)
        self._teams = TeamRegistry(pool, self._slots.total)
        self._jobs = JobIndex()
        self._running: dict[TaskId, _RunningTask] = {}
        self._window_fractions = [MAX_WINDOW_FRACTION for _ in WorkClass]
        self.configure(pool)

    @property
    def queued(self) -> int:
        """Return the number of tasks that wait for a slot."""
        short, long = self._backlogs
        return short.queued + long.queued + len(self._requeued)

    @property
    def movable(self) -> int:
        """Return the number of waiting tasks that another daemon may pull."""
        return max(0, self.startable - self._requeued.pinned)

    @property
    def startable(self) -> int:
        """Return the number of waiting tasks that may start under their team's limit."""
        return max(0, self.queued - self._teams.count_blocked(self._clock()))

    @property
    def free(self) -> int:
        """Return the number of slots that wait for a task."""
        return len(self._waiting_slots)

    def configure(self, pool: Pool) -> None:
        """Apply the pool of the tables now in force."""
        self._pool = pool
        self._teams.configure(pool)
        self._waiting_slots.keep_only(frozenset(upstream.name for upstream in pool.upstreams))
        self._apply_limits()

    def set_slots(self, total: int, local: int) -> None:
        """Set the number of slots of the pool at all daemons, and of those at this daemon."""
        self._slots.total, self._slots.local = total, local
        self._apply_limits()

    def set_allowances(self, daemons: int, allowances: Mapping[str, Allowance]) -> None:
        """Set the teams' allowances in this daemon, and how many daemons share the limits."""
        self._teams.set_allowances(daemons, allowances)

    def list_demands(self) -> tuple[TeamDemand, ...]:
        """Return the slots held and the tasks queued by each limited team in this daemon."""
        return tuple(self._teams.list_demands())

    def is_from_peer(self, task: Task) -> bool:
        """Return whether a running task came from another daemon."""
        return task.id in self._running and self._running[task.id].from_peer

    def admit(self, tasks: Sequence[Task]) -> Admission:
        """Decide whether the tasks of one submission can be answered within their deadline."""
        if self._slots.total <= 0:
            return NotAdmitted(RefusalCause.NO_SLOTS, NO_SLOTS_RETRY_S)
        if self.queued + len(tasks) > MAX_QUEUED:
            return NotAdmitted(RefusalCause.QUEUE_FULL, QUEUE_FULL_RETRY_S)
        first = tasks[0]
        run_time, work_class = self._kinds.estimate(first)
        team, backlog = self._teams.get_or_create(first.team), self._backlogs[work_class]
        now, slots = self._clock(), self._count_slots()
        timing = JobTiming(now, first.deadline, len(tasks), run_time.mean_s, run_time.typical_s)
        due = find_due_time(timing, slots)
        request = AdmissionRequest(
            window_s=first.deadline - now,
            work_s=len(tasks) * run_time.mean_s,
            ahead_s=team.queues[work_class].work.sum_until(due),
            typical_s=run_time.typical_s,
            high_s=run_time.high_s,
            weight=team.weight,
            slots=team.expected_allowance,
        )
        load = ClassLoad(
            slots=self._count_class_slots(work_class, now),
            ahead_s=backlog.work.sum_until(due),
            overtaking_s=self._arrivals[work_class].sum_overtaking(now, due - now),
            window_fraction=self._window_fractions[work_class],
        )
        others = (
            TeamWork(team_queue.work.work_s, team_queue.team.weight)
            for team_queue in backlog.iter_other_queues(team)
        )
        match decide_admission(request, load, others):
            case NotAdmitted() if self._kinds.try_trial_admission(first, now):
                return Admitted(run_time.high_s)
            case decision:
                return decision

    def put(self, tasks: Sequence[Task]) -> None:
        """Queue the tasks of one submission and assign them to waiting slots."""
        first = tasks[0]
        run_time, work_class = self._kinds.estimate(first)
        team, backlog = self._teams.get_or_create(first.team), self._backlogs[work_class]
        now = self._clock()
        if not self.queued:
            self._slots.backlog_since = now
        job = Job(deque(tasks), team.queues[work_class], work_class, run_time)
        backlog.add(job, now)
        work_s = len(tasks) * run_time.mean_s
        self._arrivals[work_class].add(now, job.due - now, work_s)
        self._jobs.add(job)
        self._dispatch()

    def put_pinned(self, tasks: Sequence[Task], from_peer: bool = True) -> None:
        """Queue tasks that other daemons must not pull.

        ``from_peer`` states that another daemon sent them.
        """
        now = self._clock()
        for task in tasks:
            _, work_class = self._kinds.estimate(task)
            self._requeued.pin(task.id, from_peer)
            self._requeued.add(
                task, self._teams.get_or_create(task.team), work_class, frozenset(), now
            )
        self._dispatch()

    async def take(self, upstream: str) -> Task:
        """Wait for the next task that a free slot of the upstream may run.

        No task is lost if the caller is cancelled while it waits.
        """
        if self.queued and (task := self._take_next(upstream)) is not None:
            return task
        waiting_slot = self._waiting_slots.add(upstream)
        try:
            await waiting_slot.event.wait()
        except BaseException:
            self._abandon_wait(waiting_slot)
            raise
        assert waiting_slot.task is not None
        return waiting_slot.task

    def take_batch(self, slots: int) -> tuple[Task, ...]:
        """Return at most ``slots`` tasks for another daemon that has free slots."""
        taken = (self._take_next(REMOTE) for _ in range(min(slots, self.queued)))
        return tuple(task for task in taken if task is not None)

    def put_back(self, task: Task) -> NotRun | None:
        """Queue a task again that was not run; return its outcome if that was its last attempt."""
        released = self._release(task.id)
        match prepare_next_attempt(task, released.upstream if released else REMOTE):
            case NotRun() as outcome:
                self._requeued.forget(task.id)
                self._jobs.mark_failed(task.id.key)
                self._dispatch()
                return outcome
            case next_attempt:
                self._requeue(
                    next_attempt,
                    released,
                    frozenset((released.upstream,)) if released else frozenset(),
                )
                return None

    def finish(self, task: Task, outcome: Outcome, run_s: float) -> None:
        """Free the slot of a started task and record its run time in seconds."""
        released = self._release(task.id)
        if released is None:
            return
        self._requeued.forget(task.id)
        match outcome:
            case Done():
                self._record_run_time(task, released.upstream, run_s)
            case MayHaveRun(cause=Cause.TIMED_OUT):
                self._record_run_time(task, released.upstream, run_s)
                self._jobs.mark_failed(task.id.key)
            case NotRun() | MayHaveRun():
                self._jobs.mark_failed(task.id.key)
        self._dispatch()

    def cancel(self, key: str) -> tuple[Task, ...]:
        """Remove and return the queued tasks of a submission."""
        jobs = self._jobs.pop_key(key)
        requeued = self._requeued.remove_key(key)
        queued = (task for job in jobs for task in self._backlogs[job.work_class].clear(job))
        return (*(found.task for found in requeued), *queued)

    def expire(self) -> tuple[Task, ...]:
        """Remove and return the queued tasks whose deadline has passed.

        To be called several times a second: it also assigns requeued tasks to slots that they no
        longer avoid.
        """
        now = self._clock()
        expired = [requeued.task for requeued in self._requeued.remove_expired(now)]
        counts = [0 for _ in WorkClass]
        for job in self._jobs.pop_expired(now):
            counts[job.work_class] += len(job.tasks)
            expired.extend(self._backlogs[job.work_class].clear(job))
        self._window_fractions = [*map(adapt_window_fraction, self._window_fractions, counts)]
        if not self.queued:
            self._slots.backlog_since = None
        self._slots.sample_long_use(self._backlogs[WorkClass.LONG].queued, now)
        self._refresh_shares(now)
        self._dispatch()
        return tuple(expired)

    def snapshot(self) -> QueueSnapshot:
        """Return the current state for metrics."""
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

    def _dispatch(self) -> None:
        """Assign queued tasks to waiting slots, those of the fastest upstream first."""
        while self._waiting_slots and self.queued:
            waiting_slot = self._waiting_slots.find_fastest()
            task = self._take_next(waiting_slot.upstream)
            if task is None:
                break
            self._assign(waiting_slot, task)
        if self._waiting_slots and self._requeued:
            for waiting_slot in self._waiting_slots.list_fastest_first():
                task = self._take_next(waiting_slot.upstream)
                if task is not None:
                    self._assign(waiting_slot, task)

    def _assign(self, waiting_slot: WaitingSlot, task: Task) -> None:
        """Assign a task to a waiting slot and wake it."""
        self._waiting_slots.remove(waiting_slot)
        waiting_slot.task = task
        waiting_slot.event.set()

    def _abandon_wait(self, waiting_slot: WaitingSlot) -> None:
        """Remove a cancelled slot; a task that was already assigned to it is queued again."""
        if waiting_slot.task is None:
            self._waiting_slots.remove(waiting_slot)
            return
        self._requeue(waiting_slot.task, self._release(waiting_slot.task.id), frozenset())

    def _requeue(self, task: Task, released: _RunningTask | None, avoid: frozenset[str]) -> None:
        """Queue a task again that was not run; it avoids the given upstreams for a time."""
        if released is None:
            self.put((task,))
            return
        self._requeued.add(task, released.team, released.work_class, avoid, self._clock())
        self._dispatch()

    def _take_next(self, upstream: str) -> Task | None:
        """Remove and return the next task for a slot of the upstream, and count it as running."""
        now = self._clock()
        if self._requeued and (found := self._requeued.take(upstream, now)) is not None:
            self._start(
                found.task,
                _RunningTask(found.team, found.work_class, upstream, found.from_peer),
                now,
            )
            return found.task
        job = self._find_job(now)
        if job is None:
            return None
        slow_ratio = self._waiting_slots.find_slow_ratio(upstream)
        if slow_ratio and should_wait_for_faster(now - job.arrival, job.typical_s, slow_ratio):
            return None
        task = self._backlogs[job.work_class].take(job)
        self._start(task, _RunningTask(job.team_queue.team, job.work_class, upstream), now)
        if not job.tasks:
            self._jobs.drop(job)
        return task

    def _find_job(self, now: float) -> Job | None:
        """Return the job that the next free slot serves."""
        short, long = self._backlogs
        if not long.queued:
            return short.find_first(now) or short.find_late(now)
        order = self._slots.list_classes()
        for find in (Backlog.find_first, Backlog.find_late):
            for work_class in order:
                if (job := find(self._backlogs[work_class], now)) is not None:
                    return job
        return None

    def _start(self, task: Task, started: _RunningTask, now: float) -> None:
        """Count a task as running."""
        self._running[task.id] = started
        started.team.own_running += not started.from_peer
        long_queued = self._backlogs[WorkClass.LONG].queued
        self._slots.start(started.work_class, started.upstream == REMOTE, long_queued)
        self._change_running(started.team, started.work_class, 1, now)

    def _release(self, task_id: TaskId) -> _RunningTask | None:
        """Count a task as no longer running."""
        released = self._running.pop(task_id, None)
        if released is not None:
            released.team.own_running -= not released.from_peer
            self._slots.end(released.work_class, released.upstream == REMOTE)
            self._change_running(released.team, released.work_class, -1, self._clock())
        return released

    def _change_running(self, team: Team, work_class: WorkClass, slots: int, now: float) -> None:
        """Add ``slots`` to the slots that a team uses, and rank its queues again."""
        team.running += slots
        team_queue = team.queues[work_class]
        team_queue.change_running(slots, now)
        for backlog, team_queue in zip(self._backlogs, team.queues, strict=True):
            if team_queue.jobs:
                backlog.rank(team_queue)

    def _refresh_shares(self, now: float) -> None:
        """Recompute the fair share of each class, and rank the queues with waiting work again."""
        for work_class, backlog in zip(WorkClass, self._backlogs, strict=True):
            team_queues = [team.queues[work_class] for team in self._teams.values()]
            for team_queue in team_queues:
                team_queue.change_running(0, now)
            backlog.fair_slots = find_fair_slots(
                self._count_class_slots(work_class, now),
                (
                    find_demand(team_queue.use, team_queue.work.work_s, team_queue.team.weight)
                    for team_queue in team_queues
                ),
            )
            for team_queue in backlog.team_queues.values():
                backlog.rank(team_queue)

    def _record_run_time(self, task: Task, upstream: str, run_s: float) -> None:
        """Record a run time in seconds for the estimates and the upstream's slowdown."""
        if run_s <= 0.0:
            return
        run_time = self._kinds.record_run(task, run_s)
        if upstream != REMOTE:
            self._waiting_slots.record_run(upstream, run_s, run_time.typical_s)

    def _apply_limits(self) -> None:
        """Apply quotas and slots to the known teams."""
        self._teams.set_slots(self._slots.total)
        self._refresh_shares(self._clock())
        self._dispatch()

    def _count_slots(self) -> int:
        """Return the number of slots that can serve the backlog."""
        return self._slots.count(self._clock())

    def _count_class_slots(self, work_class: WorkClass, now: float) -> float:
        """Return the number of slots that can serve a class while the other class uses the rest."""
        return self._slots.count_for_class(work_class, self._backlogs[WorkClass.LONG].queued, now)

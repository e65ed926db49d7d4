"""Scheduler of a leader: places the tasks of waiting jobs on upstreams with room."""

import time
from bisect import insort
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

import anyio
from anyio.abc import TaskGroup

from fireflybridge_execution._active_job import ActiveJob
from fireflybridge_execution._directory import DirectoryView
from fireflybridge_execution._events import (
    ExecutionEvent,
    JobEnded,
    JobReceived,
    Placement,
    RunEndedBadly,
    RunMoved,
    TasksPlaced,
    UpstreamDoubted,
    UpstreamSynced,
)
from fireflybridge_execution._live_runs import LiveRuns
from fireflybridge_execution._orders import OrderConnector, Rejection
from fireflybridge_execution._session import Run, UpstreamSession
from fireflybridge_jobs import (
    Answer,
    EndedRun,
    Ending,
    Failed,
    Job,
    Moved,
    NotRun,
    RefusalReason,
    Resources,
    RunningRun,
    TaskId,
    TimedOut,
    UpstreamInfo,
)
from fireflybridge_placement import (
    RETRY_AFTER_S,
    Candidate,
    Demand,
    Estimates,
    Progress,
    TimeLimits,
    choose_upstream,
    compute_chain_ms,
    compute_objective_ms,
    compute_rank,
    compute_refusal_time,
    should_move,
)

PLACEMENT_RETRY_S = 0.02  # re-examines pauses of upstreams while work waits
SETTLING_S = 2.0  # a lease of an earlier leader and the adoption wait of another new one
SKIPPED_NUMBERS = 8  # after an upstream has seen a later run of the task than this host knows
JOBS_TRIED = 8  # waiting jobs examined once a job ahead of them found no room
FASTEST_SHARE = 0.9  # learned speeds of equal upstreams differ by about a tenth
NO_SPEED = 1e-6
LATE_FACTOR = 3  # an answer later than this many objectives counts for nothing
HOPELESS_SHARE = 0.5  # estimates are far off, so a job is given up well past its expectation


class Scheduler:
    """Take jobs, start their tasks on the upstreams of the led failure domains and answer."""

    def __init__(
        self,
        connector: OrderConnector,
        on_event: Callable[[ExecutionEvent], None],
        on_superseded: Callable[[], None],
        failure_domains: Iterable[str],
    ) -> None:
        self._domains = frozenset(failure_domains)
        self._connector = connector
        self._on_event = on_event
        self._on_superseded = on_superseded
        self._estimates = Estimates()
        self._live = LiveRuns()
        self._fences: Mapping[str, int] = {}
        self._upstreams: Mapping[str, UpstreamInfo] = {}
        self._sessions: dict[str, UpstreamSession] = {}
        self._jobs: dict[str, ActiveJob] = {}
        self._queue: list[tuple[float, str]] = []
        self._queued: dict[str, float] = {}
        self._work_waits = anyio.Event()
        self._settled_s = 0.0
        self._group: TaskGroup | None = None

    @property
    def job_count(self) -> int:
        """Return how many jobs have no answer yet."""
        return len(self._jobs)

    @property
    def session_count(self) -> int:
        """Return how many upstreams this host gives orders to."""
        return len(self._sessions)

    @property
    def has_room(self) -> bool:
        """Return whether the runs of any upstream are known, so that it can take work."""
        return any(session.synced for session in self._sessions.values())

    async def serve(self) -> None:
        """Run the sessions until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            self._open_sessions()
            await self._retry_placement()

    def lead(self, fences: Mapping[str, int]) -> None:
        """Give orders in these failure domains, each under its fencing token.

        Without any, every job is handed back for submission to the new leader.
        """
        if dict(fences) == dict(self._fences):
            return
        self._fences = dict(fences)
        self._settled_s = time.monotonic() + SETTLING_S
        self._open_sessions()
        if not fences:
            self.release_jobs()

    def release_jobs(self) -> None:
        """Hand back every job for submission to another leader, without stopping its runs."""
        for active in list(self._jobs.values()):
            active.give_answer(Moved())

    def set_upstreams(self, view: DirectoryView) -> None:
        """Take the newest view of the upstreams."""
        self._upstreams = view.upstreams
        self._open_sessions()
        self._place()

    async def submit(self, job: Job, age_s: float, *, resubmitted: bool) -> Answer:
        """Return the answer to a job that its entry host received ``age_s`` ago.

        A job that is cancelled while it waits here has its runs stopped. A second submission of
        the same job shares the answer of the first.
        """
        active = self._jobs.get(job.id) or self._receive(job, age_s, resubmitted=resubmitted)
        active.waiters += 1
        try:
            return await self._wait_for_answer(active)
        finally:
            active.waiters -= 1
            if active.waiters == 0:
                self._end(active)

    # Jobs

    def _receive(self, job: Job, age_s: float, *, resubmitted: bool) -> ActiveJob:
        active = ActiveJob(job, time.monotonic() - age_s, resubmitted=resubmitted)
        chain_ms = self._expect_chain_ms(job)
        self._on_event(
            JobReceived(
                job.id,
                job.policy.route,
                len(active.waiting),
                chain_ms,
                len(self._queued),
                resubmitted,
            )
        )
        self._jobs[job.id] = active
        for session in self._sessions.values():
            session.adopt_runs(job.id)
        self._enqueue(active)
        self._place()
        return active

    async def _wait_for_answer(self, active: ActiveJob) -> Answer:
        chain_ms = self._expect_chain_ms(active.job)
        refusal_s = compute_refusal_time(active.job, active.received_s, chain_ms)
        if not active.may_have_run:
            with anyio.move_on_after(max(refusal_s - time.monotonic(), 0)):
                await active.offered.wait()
            if not active.offered.is_set():
                return self._refuse(active)
        with anyio.move_on_after(max(active.deadline_s - time.monotonic(), 0)):
            await active.answered.wait()
        if active.answer is None and not active.may_have_run and not active.runs:
            return self._refuse(active)
        active.give_answer(TimedOut("deadline reached"))
        assert active.answer is not None
        return active.answer

    def _refuse(self, active: ActiveJob) -> Answer:
        reason = RefusalReason.NO_ROOM if self._sessions else RefusalReason.NO_UPSTREAM
        refusal = NotRun(reason, RETRY_AFTER_S)
        active.give_answer(refusal)
        return refusal

    def _end(self, active: ActiveJob) -> None:
        if self._jobs.get(active.job.id) is not active:
            return
        del self._jobs[active.job.id]
        self._dequeue(active)
        active.give_answer(TimedOut("caller left"))
        assert active.answer is not None
        if not isinstance(active.answer, Moved):
            self._stop_runs(active)
        self._report_end(active, active.answer)

    def _stop_runs(self, active: ActiveJob) -> None:
        for task, placed in active.runs.items():
            session = self._sessions.get(placed.upstream)
            if session is not None:
                session.stop(task, placed.number)

    def _report_end(self, active: ActiveJob, answer: Answer) -> None:
        now_s = time.monotonic()
        offered_s = active.first_offered_s
        self._on_event(
            JobEnded(
                active.job.id,
                active.job.policy.route,
                answer,
                (now_s - active.received_s) * 1000,
                None if offered_s is None else (offered_s - active.received_s) * 1000,
                active.failed_runs,
            )
        )

    def _expect_chain_ms(self, job: Job) -> float:
        return self._estimates.expect_work_ms(job.policy.route, compute_chain_ms(job))

    # Queue

    def _enqueue(self, active: ActiveJob) -> None:
        if active.job.id in self._queued or active.answer is not None:
            return
        rank = compute_rank(active.job, active.received_s, self._expect_chain_ms(active.job))
        self._queued[active.job.id] = rank
        insort(self._queue, (rank, active.job.id))
        self._work_waits.set()

    def _dequeue(self, active: ActiveJob) -> None:
        rank = self._queued.pop(active.job.id, None)
        if rank is not None:
            self._queue.remove((rank, active.job.id))

    async def _retry_placement(self) -> None:
        while True:
            if not self._queue:
                self._work_waits = anyio.Event()
                await self._work_waits.wait()
            await anyio.sleep(PLACEMENT_RETRY_S)
            self._place()

    # Placement

    def _place(self) -> None:
        if not self._queue:
            return
        now_s = time.monotonic()
        candidates = {
            session.info.id: Candidate(
                session.info.id,
                session.room,
                self._estimates.get_speed(session.info.id),
                session.info.labels,
            )
            for session in self._sessions.values()
            if session.admits(now_s)
        }
        tries = JOBS_TRIED
        for _, job_id in list(self._queue):
            active = self._jobs[job_id]
            if not self._place_job(active, candidates, now_s):
                tries -= 1
            if not candidates or not tries:
                return

    def _place_job(self, active: ActiveJob, candidates: dict[str, Candidate], now_s: float) -> bool:
        """Place the waiting tasks of a job; return whether none is left waiting."""
        if active.resubmitted and not self._has_settled(now_s):
            if self._settled_s > active.deadline_s and not self._leads_all():
                active.give_answer(TimedOut("its earlier runs can't be ruled out in time"))
            return True
        if self._is_hopeless(active, now_s):
            self._give_up(active)
            return True
        tasks = [task for task in active.waiting if task not in self._live]
        placed = tuple(
            filter(None, (self._place_task(active, task, candidates, now_s) for task in tasks))
        )
        if placed:
            self._on_event(TasksPlaced(active.job.id, placed, len(active.waiting)))
        if active.waiting:
            return False
        self._dequeue(active)
        return True

    def _give_up(self, active: ActiveJob) -> None:
        if active.may_have_run or active.runs:
            active.give_answer(TimedOut("can't be finished before its deadline"))
        else:
            active.give_answer(NotRun(RefusalReason.TOO_LONG, RETRY_AFTER_S))
        self._dequeue(active)

    def _place_task(
        self, active: ActiveJob, task: TaskId, candidates: dict[str, Candidate], now_s: float
    ) -> Placement | None:
        demand = self._describe(active, task, candidates)
        chosen = choose_upstream(demand, candidates.values())
        if chosen is None:
            return None
        active.waiting.remove(task)
        number = active.place(task, chosen, now_s)
        session = self._sessions[chosen]
        session.start(task, number, active.job.spec, demand.needs)
        candidate = candidates[chosen]
        if session.admits(now_s):
            candidates[chosen] = replace(candidate, room=session.room)
        else:
            del candidates[chosen]
        return Placement(task, number, chosen, candidate.speed)

    def _describe(
        self, active: ActiveJob, task: TaskId, candidates: Mapping[str, Candidate]
    ) -> Demand:
        step = active.step_of(task)
        excluded = active.failed_on(task)
        if excluded.issuperset(candidates):
            excluded = frozenset()
        if step.max_per_upstream:
            excluded |= self._find_full(active, task.step, step.max_per_upstream)
        pool = active.job.policy.pool
        others = {name for name in candidates if self._sessions[name].info.pool != pool}
        work_ms = self._estimates.expect_work_ms(active.job.policy.route, step.estimate_ms)
        left_ms = (active.deadline_s - time.monotonic()) * 1000
        return Demand(
            step.needs,
            work_ms,
            step.required_label,
            step.data_rack,
            max(left_ms, work_ms / self._find_fastest()),
            excluded | others,
        )

    def _find_fastest(self) -> float:
        """Return a speed that the fastest upstreams reach."""
        speeds = map(self._estimates.get_speed, self._sessions)
        return FASTEST_SHARE * max(speeds, default=1.0)

    def _find_full(self, active: ActiveJob, step: int, most: int) -> frozenset[str]:
        used = [placed.upstream for task, placed in active.runs.items() if task.step == step]
        return frozenset(name for name in used if used.count(name) >= most)

    def _is_hopeless(self, active: ActiveJob, now_s: float) -> bool:
        steps = {task.step for task in active.waiting}
        needed_ms = max(
            (
                self._estimates.expect_work_ms(
                    active.job.policy.route, active.job.steps[step].estimate_ms
                )
                for step in steps
            ),
            default=0.0,
        )
        return now_s + HOPELESS_SHARE * needed_ms / 1000 > active.deadline_s

    def _has_settled(self, now_s: float) -> bool:
        """Return whether no run of an earlier leader can be alive without this host's knowledge.

        Upstreams of other failure domains may run tasks of the job under their own leader, so a
        host that doesn't lead them all waits until such runs have ended.
        """
        if now_s >= self._settled_s:
            return True
        return self._leads_all() and all(session.synced for session in self._sessions.values())

    def _leads_all(self) -> bool:
        return bool(self._sessions) and self._fences.keys() >= self._domains

    # Sessions

    def _open_sessions(self) -> None:
        wanted = {
            upstream.id: upstream
            for upstream in self._upstreams.values()
            if upstream.failure_domain in self._fences
        }
        for name, session in list(self._sessions.items()):
            info = wanted.get(name)
            if info is None or not self._continues(session, info):
                self._retire(session)
            else:
                session.update(info)
        if self._group is None:
            return
        for name in wanted.keys() - self._sessions.keys():
            self._open(wanted[name])

    def _continues(self, session: UpstreamSession, info: UpstreamInfo) -> bool:
        return (
            session.fence == self._fences[info.failure_domain]
            and session.info.address == info.address
            and session.info.incarnation == info.incarnation
        )

    def _open(self, info: UpstreamInfo) -> None:
        assert self._group is not None
        fence = self._fences[info.failure_domain]
        session = UpstreamSession(info, fence, self._connector, self, self._live)
        self._sessions[info.id] = session
        self._group.start_soon(session.serve)

    def _retire(self, session: UpstreamSession) -> None:
        """Close a session; its tasks wait again once its runs can't be alive any more."""
        del self._sessions[session.info.id]
        session.close()
        if self._group is not None:
            self._group.start_soon(self._outwait_lease, session)

    async def _outwait_lease(self, session: UpstreamSession) -> None:
        await anyio.sleep(max(session.lease_end_s - time.monotonic(), 0))
        for run in session.forget_runs():
            self.run_lost(session.info.id, run)

    # What the sessions report

    def _find_run(self, upstream: str, task: TaskId, number: int) -> ActiveJob | None:
        active = self._jobs.get(task.job)
        if active is None or active.answer is not None:
            return None
        placed = active.runs.get(task)
        if placed is None or placed.upstream != upstream or placed.number != number:
            return None
        return active

    def run_accepted(self, upstream: str, run: Run) -> None:
        """Note that a task has started, so that its job is never refused as not run."""
        active = self._find_run(upstream, run.task, run.number)
        if active is not None:
            active.may_have_run = True

    def run_ended(self, upstream: str, run: Run, ending: Ending, elapsed_s: float) -> None:
        """Finish a task, or let it wait for its next attempt."""
        active = self._find_run(upstream, run.task, run.number)
        if active is None:
            return
        active.may_have_run = True
        match ending:
            case Ending.DONE:
                self._learn(active, run, upstream, elapsed_s)
                active.finish(run.task)
            case Ending.FAILED:
                self._report_run(upstream, run, ending, elapsed_s)
                if active.fail_run(run.task, upstream) >= active.job.policy.max_attempts:
                    active.give_answer(Failed("a task failed at each attempt"))
            case _:
                self._report_run(upstream, run, ending, elapsed_s)
                active.put_back(run.task)
        if active.waiting:
            self._enqueue(active)

    def _learn(self, active: ActiveJob, run: Run, upstream: str, elapsed_s: float) -> None:
        if run.spec:
            estimate_ms = active.step_of(run.task).estimate_ms
            route = active.job.policy.route
            self._estimates.record(route, upstream, estimate_ms, elapsed_s * 1000)

    def run_not_started(self, upstream: str, run: Run, rejection: Rejection | None) -> None:
        """Let a task wait again whose run the upstream did not take."""
        active = self._find_run(upstream, run.task, run.number)
        if active is None:
            return
        self._report_run(upstream, run, f"not-started: {rejection or 'unreachable'}")
        skipped = SKIPPED_NUMBERS if rejection is Rejection.OLD_RUN else 0
        active.put_back(run.task, skip_numbers=skipped)
        self._enqueue(active)

    def run_lost(self, upstream: str, run: Run) -> None:
        """Let a task wait again whose run is gone without an end."""
        active = self._find_run(upstream, run.task, run.number)
        if active is None:
            return
        self._report_run(upstream, run, "lost")
        active.may_have_run = True
        active.put_back(run.task)
        self._enqueue(active)

    def _report_run(
        self, upstream: str, run: Run, ending: str, elapsed_s: float | None = None
    ) -> None:
        if elapsed_s is None:
            elapsed_s = time.monotonic() - run.placed_s
        self._on_event(RunEndedBadly(run.task, run.number, upstream, ending, elapsed_s * 1000))

    def found_running(self, upstream: str, run: RunningRun) -> Resources | None:
        """Adopt a run of an earlier leader if its job was submitted again."""
        active = self._jobs.get(run.task.job)
        if active is None or active.answer is not None:
            return None
        if not active.adopt(run.task, upstream, run.number):
            return None
        return active.step_of(run.task).needs

    def run_progressed(self, upstream: str, run: Run, percent: float) -> None:
        """Stop a run whose task would be in time on a free upstream and is late where it is."""
        active = self._find_run(upstream, run.task, run.number)
        if active is None:
            return
        now_s = time.monotonic()
        progress = Progress(
            (now_s - run.placed_s) * 1000,
            percent,
            self._estimates.expect_work_ms(
                active.job.policy.route, active.step_of(run.task).estimate_ms
            ),
            self._estimates.get_speed(upstream),
        )
        if should_move(progress, self._limit(active, now_s), self._find_free_speed(run, now_s)):
            self._on_event(RunMoved(run.task, run.number, upstream, progress))
            self._sessions[upstream].stop(run.task, run.number)

    def _limit(self, active: ActiveJob, now_s: float) -> TimeLimits:
        age_ms = (now_s - active.received_s) * 1000
        objective_ms = compute_objective_ms(active.job, self._expect_chain_ms(active.job))
        return TimeLimits(
            objective_ms - age_ms,
            LATE_FACTOR * objective_ms - age_ms,
            (active.deadline_s - now_s) * 1000,
        )

    def _find_free_speed(self, run: Run, now_s: float) -> float:
        """Return the speed of the fastest other upstream with room for a run, or nearly none."""
        return max(
            (
                self._estimates.get_speed(session.info.id)
                for session in self._sessions.values()
                if session.admits(now_s)
                and run.needs.fits_in(session.room)
                and (run.task, run.number) not in session
            ),
            default=NO_SPEED,
        )

    def found_ended(self, upstream: str, run: EndedRun) -> None:
        """Finish a task whose run an earlier leader started."""
        active = self._jobs.get(run.task.job)
        if active is not None and active.resubmitted and run.ending is Ending.DONE:
            active.finish(run.task)

    def room_changed(self) -> None:
        """Place waiting tasks."""
        self._place()

    def superseded(self, upstream: str) -> None:
        """Look for the term that replaced this host's."""
        self._on_superseded()

    def upstream_synced(self, upstream: str, incarnation: int, running: int) -> None:
        """Report an upstream whose runs are known."""
        fence = self._sessions[upstream].fence if upstream in self._sessions else 0
        self._on_event(UpstreamSynced(upstream, fence, incarnation, running))

    def upstream_doubted(self, upstream: str, reason: str, failures: int) -> None:
        """Report an upstream that gets no work for a while."""
        self._on_event(UpstreamDoubted(upstream, reason, failures))

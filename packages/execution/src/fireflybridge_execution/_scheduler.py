"""Scheduler of a leader: takes jobs, has their tasks placed, and answers."""

import time
from collections.abc import Callable, Mapping

import anyio

from fireflybridge_execution._active_job import ActiveJob
from fireflybridge_execution._directory import DirectoryView
from fireflybridge_execution._events import (
    ExecutionEvent,
    JobEnded,
    JobReceived,
    RunEndedBadly,
    RunMoved,
    TasksPlaced,
    UpstreamDoubted,
    UpstreamSynced,
)
from fireflybridge_execution._orders import OrderConnector, Rejection
from fireflybridge_execution._placer import Placer
from fireflybridge_execution._queue import JobQueue
from fireflybridge_execution._roster import SessionRoster
from fireflybridge_execution._run_book import Run
from fireflybridge_jobs import (
    Answer,
    EarlierRuns,
    EndedRun,
    Ending,
    Failed,
    Job,
    Moved,
    NotRun,
    RefusalReason,
    Resources,
    RunningRun,
    TimedOut,
)
from fireflybridge_placement import RETRY_AFTER_S, compute_rank, compute_refusal_time

PLACEMENT_RETRY_S = 0.02  # re-examines pauses of upstreams while work waits
SKIPPED_NUMBERS = 8  # after an upstream has seen a later run of the task than this host knows
JOIN_WAIT_S = 0.1  # a job may arrive shortly before the term that lets this host lead all
JOBS_TRIED = 8  # waiting jobs examined once a job ahead of them found no room


class Scheduler:
    """Take jobs, start their tasks on the upstreams of the led failure domains and answer."""

    def __init__(
        self,
        connector: OrderConnector,
        on_event: Callable[[ExecutionEvent], None],
        on_superseded: Callable[[], None],
    ) -> None:
        self._on_event = on_event
        self._on_superseded = on_superseded
        self._roster = SessionRoster(connector, self, self.run_lost)
        self._placer = Placer(self._roster)
        self._queue = JobQueue()
        self._jobs: dict[str, ActiveJob] = {}

    @property
    def job_count(self) -> int:
        """Return how many jobs have no answer yet."""
        return len(self._jobs)

    @property
    def upstream_count(self) -> int:
        """Return how many upstreams the directory lists, whoever leads them."""
        return self._roster.upstream_count

    @property
    def has_room(self) -> bool:
        """Return whether the runs of any upstream are known, so that it can take work."""
        return self._roster.has_synced

    async def serve(self) -> None:
        """Run the sessions until cancelled."""
        async with anyio.create_task_group() as group:
            self._roster.start(group)
            while True:
                await self._queue.wait_filled()
                await anyio.sleep(PLACEMENT_RETRY_S)
                self._give_up_hopeless()
                self._place()

    def lead(self, fences: Mapping[str, int]) -> None:
        """Give orders in these failure domains, each under its fencing token.

        Without any, every job is handed back for submission to the new leader.
        """
        if self._roster.lead(fences) and not fences:
            for active in list(self._jobs.values()):
                active.give_answer(Moved(self._find_earlier_runs(active)))

    def set_upstreams(self, view: DirectoryView) -> None:
        """Take the newest view of the upstreams."""
        self._roster.set_upstreams(view)
        self._placer.estimates.retain(view.upstreams.keys())
        self._place()

    async def submit(self, job: Job, age_s: float, earlier: EarlierRuns | None) -> Answer:
        """Return the answer to a job that its entry host received ``age_s`` ago.

        ``earlier`` says where runs that another leader started may be alive. A job that is
        cancelled while it waits here has its runs stopped. A second submission of the same job
        shares the answer of the first.
        """
        active = self._jobs.get(job.id) or self._receive(job, age_s, earlier)
        active.waiters += 1
        try:
            return await self._wait_for_answer(active)
        finally:
            active.waiters -= 1
            if active.waiters == 0:
                self._end(active)

    # Jobs

    def _receive(self, job: Job, age_s: float, earlier: EarlierRuns | None) -> ActiveJob:
        active = ActiveJob(job, time.monotonic() - age_s, earlier)
        self._on_event(
            JobReceived(
                job.id,
                job.policy.route,
                len(active.waiting),
                self._placer.expect_chain_ms(job),
                len(self._queue),
                earlier,
            )
        )
        self._jobs[job.id] = active
        for session in self._roster:
            session.adopt_runs(job.id)
        self._enqueue(active)
        self._give_up_hopeless()
        self._place()
        return active

    async def _wait_for_answer(self, active: ActiveJob) -> Answer:
        chain_ms = self._placer.expect_chain_ms(active.job)
        refusal_s = compute_refusal_time(active.job, active.received_s, chain_ms)
        if not active.may_have_run:
            with anyio.move_on_after(max(refusal_s - time.monotonic(), 0)):
                await active.offered.wait()
            if not active.offered.is_set():
                # A slow upstream is better than a refusal.
                active.takes_any_speed = True
                self._place()
            if not active.offered.is_set():
                return self._refuse(active)
        with anyio.move_on_after(max(active.deadline_s - time.monotonic(), 0)):
            await active.answered.wait()
        if active.answer is None and not active.may_have_run and not active.runs:
            return self._refuse(active)
        return active.give_answer(TimedOut("deadline reached"))

    def _refuse(self, active: ActiveJob) -> Answer:
        reason = RefusalReason.NO_ROOM if self.has_room else RefusalReason.NO_UPSTREAM
        return active.give_answer(NotRun(reason, RETRY_AFTER_S))

    def _end(self, active: ActiveJob) -> None:
        if self._jobs.get(active.job.id) is not active:
            return
        del self._jobs[active.job.id]
        self._queue.remove(active)
        answer = active.give_answer(TimedOut("caller left"))
        if not isinstance(answer, Moved):
            self._stop_runs(active)
        self._report_end(active, answer)

    def _stop_runs(self, active: ActiveJob) -> None:
        for task, placed in active.runs.items():
            session = self._roster.find(placed.upstream)
            if session is not None:
                session.stop(task, placed.number)

    def _report_end(self, active: ActiveJob, answer: Answer) -> None:
        offered_s = active.first_offered_s
        self._on_event(
            JobEnded(
                active.job.id,
                active.job.policy.route,
                answer,
                (time.monotonic() - active.received_s) * 1000,
                None if offered_s is None else (offered_s - active.received_s) * 1000,
                active.failed_runs,
            )
        )

    # Waiting jobs

    def _enqueue(self, active: ActiveJob) -> None:
        chain_ms = self._placer.expect_chain_ms(active.job)
        self._queue.add(active, compute_rank(active.job, active.received_s, chain_ms))

    def _place(self) -> None:
        """Place waiting tasks while there is room; this runs at each change of the room."""
        if not len(self._queue):
            return
        now_s = time.monotonic()
        waiting = self._queue.list_first()
        candidates = self._placer.list_candidates(waiting[:JOBS_TRIED], now_s)
        tries = JOBS_TRIED
        for active in waiting:
            if not candidates or not tries:
                return
            if not self._is_settled(active, now_s):
                continue
            placements = self._placer.place(active, candidates, now_s)
            if placements:
                self._on_event(TasksPlaced(active.job.id, placements, len(active.waiting)))
            if active.waiting:
                tries -= 1
            else:
                self._queue.remove(active)

    def _give_up_hopeless(self) -> None:
        """Answer the jobs that can't be done, or can't be known not to run, before the deadline."""
        now_s = time.monotonic()
        for active in self._queue.list_first():
            if self._placer.is_hopeless(active, now_s):
                self._give_up(active, "can't be finished before its deadline")
            elif self._stays_unsettled(active, now_s):
                self._give_up(active, "its earlier runs can't be ruled out in time")

    def _is_settled(self, active: ActiveJob, now_s: float) -> bool:
        """Return whether no run of the job can be alive without this host's knowledge."""
        if active.earlier is None or self._roster.knows_runs(active.earlier):
            return True
        return now_s >= self._roster.compute_settled(active.submitted_s)

    def _stays_unsettled(self, active: ActiveJob, now_s: float) -> bool:
        return (
            active.earlier is not None
            and not self._is_settled(active, now_s)
            and not self._roster.can_learn_runs(active.earlier)
            and self._roster.compute_settled(active.submitted_s) > active.deadline_s
            and now_s > active.submitted_s + JOIN_WAIT_S
        )

    def _find_earlier_runs(self, active: ActiveJob) -> EarlierRuns | None:
        """Return where the next leader must look for a job's runs, or None if there was none."""
        if not active.may_have_run and not active.runs:
            return None
        running = EarlierRuns(self._roster.list_running(active.job.id))
        if active.earlier is None or self._is_settled(active, time.monotonic()):
            return running
        return running.merge(active.earlier)

    def _give_up(self, active: ActiveJob, reason: str) -> None:
        if active.may_have_run or active.runs:
            active.give_answer(TimedOut(reason))
        else:
            active.give_answer(NotRun(RefusalReason.TOO_LONG, RETRY_AFTER_S))
        self._queue.remove(active)

    # What the sessions report

    def _find_run(self, upstream: str, run: Run) -> ActiveJob | None:
        """Return the job that still waits for a run."""
        active = self._jobs.get(run.task.job)
        if active is None or active.answer is not None:
            return None
        return active if active.has_run(run.task, upstream, run.number) else None

    def run_accepted(self, upstream: str, run: Run) -> None:
        """Note that a task has started, so that its job is never refused as not run."""
        active = self._find_run(upstream, run)
        if active is not None:
            active.may_have_run = True

    def run_ended(self, upstream: str, run: Run, ending: Ending, elapsed_s: float) -> None:
        """Finish a task, or let it wait for its next attempt."""
        active = self._find_run(upstream, run)
        if active is None:
            return
        active.may_have_run = True
        if ending is not Ending.DONE:
            self._report_run(upstream, run, ending)
        match ending:
            case Ending.DONE:
                self._learn(active, run, upstream, elapsed_s)
                active.finish(run.task)
            case Ending.FAILED:
                if active.fail_run(run.task, upstream) >= active.job.policy.max_attempts:
                    active.give_answer(Failed("a task failed at each attempt"))
            case _:
                active.put_back(run.task)
        if active.waiting:
            self._enqueue(active)

    def _learn(self, active: ActiveJob, run: Run, upstream: str, elapsed_s: float) -> None:
        # An adopted run has no spec here, and its start is not known.
        if run.spec:
            estimate_ms = active.step_of(run.task).estimate_ms
            route = active.job.policy.route
            self._placer.estimates.record(route, upstream, estimate_ms, elapsed_s * 1000)

    def run_not_started(self, upstream: str, run: Run, rejection: Rejection | None) -> None:
        """Let a task wait again whose run the upstream did not take."""
        active = self._find_run(upstream, run)
        if active is None:
            return
        self._report_run(upstream, run, f"not-started: {rejection or 'unreachable'}")
        skipped = SKIPPED_NUMBERS if rejection is Rejection.OLD_RUN else 0
        active.put_back(run.task, skip_numbers=skipped)
        self._enqueue(active)

    def run_lost(self, upstream: str, run: Run) -> None:
        """Let a task wait again whose run is gone without an end."""
        active = self._find_run(upstream, run)
        if active is None:
            return
        self._report_run(upstream, run, "lost")
        active.may_have_run = True
        active.put_back(run.task)
        self._enqueue(active)

    def run_progressed(self, upstream: str, run: Run, percent: float) -> None:
        """Stop a run whose task would be in time on a free upstream and is late where it is."""
        active = self._find_run(upstream, run)
        session = self._roster.find(upstream)
        if active is None or session is None:
            return
        progress = self._placer.find_move(active, upstream, run, percent)
        if progress is not None:
            self._on_event(RunMoved(run.task, run.number, upstream, progress))
            active.move_run(run.task, upstream)
            session.stop(run.task, run.number)

    def _report_run(self, upstream: str, run: Run, ending: str) -> None:
        elapsed_ms = (time.monotonic() - run.placed_s) * 1000
        self._on_event(RunEndedBadly(run.task, run.number, upstream, ending, elapsed_ms))

    def found_running(self, upstream: str, run: RunningRun) -> Resources | None:
        """Adopt a run of an earlier leader if its job was submitted again."""
        active = self._jobs.get(run.task.job)
        if active is None or active.answer is not None:
            return None
        if not active.adopt(run.task, upstream, run.number):
            return None
        return active.step_of(run.task).needs

    def found_ended(self, upstream: str, run: EndedRun) -> None:
        """Finish a task whose run an earlier leader started."""
        active = self._jobs.get(run.task.job)
        if active is not None and active.earlier is not None and run.ending is Ending.DONE:
            active.finish(run.task)

    def room_changed(self) -> None:
        """Place waiting tasks."""
        self._place()

    def superseded(self, upstream: str) -> None:
        """Look for the term that replaced this host's."""
        self._on_superseded()

    def upstream_synced(self, upstream: str, incarnation: int, running: int) -> None:
        """Report an upstream whose runs are known."""
        session = self._roster.find(upstream)
        fence = 0 if session is None else session.fence
        self._on_event(UpstreamSynced(upstream, fence, incarnation, running))

    def upstream_doubted(self, upstream: str, reason: str, failures: int) -> None:
        """Report an upstream that gets no work for a while."""
        self._on_event(UpstreamDoubted(upstream, reason, failures))

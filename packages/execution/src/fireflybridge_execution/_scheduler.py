"""Scheduler of a leader: queues jobs, places their tasks and answers the submissions."""

import time
from collections.abc import Callable, Collection, Mapping

import anyio

from fireflybridge_clearances import (
    Answered,
    Held,
    JobClearances,
    JobQuestion,
    LeaderReport,
    MayRun,
    NotHeld,
)
from fireflybridge_execution._active_job import ActiveJob, compute_deadline
from fireflybridge_execution._commands import CommandConnector
from fireflybridge_execution._directory import DirectoryView
from fireflybridge_execution._events import (
    ExecutionEvent,
    JobDeferred,
)
from fireflybridge_execution._job_holdings import JobHoldings
from fireflybridge_execution._waiting_jobs import WaitingJobs
from fireflybridge_jobs import (
    LOCAL_SENDER,
    Answer,
    EarlierRuns,
    Job,
    JobSender,
    Moved,
    TimedOut,
)
from fireflybridge_leadership import Holder
from fireflybridge_pauses import PauseMonitor
from fireflybridge_placement import CrashHistory

PLACEMENT_RETRY_S = 0.02  # notices the end of ejections and back-offs while jobs wait
LOAD_INTERVAL_S = 1.0


class Scheduler(WaitingJobs):
    """Run jobs on the upstreams of the failure domains that this host leads."""

    def __init__(
        self,
        connector: CommandConnector,
        on_event: Callable[[ExecutionEvent], None],
        on_superseded: Callable[[], None],
        pauses: PauseMonitor,
        crashes: CrashHistory | None = None,
        clearances: JobClearances | None = None,
    ) -> None:
        """Set the callbacks; without ``clearances`` there is no other leader."""
        super().__init__(connector, on_event, on_superseded, pauses, crashes, clearances)
        self._holdings = JobHoldings(self._jobs, self._sessions, self._gate, self._defer)

    @property
    def job_count(self) -> int:
        """Return the number of unanswered jobs."""
        return len(self._jobs)

    @property
    def upstream_count(self) -> int:
        """Return how many upstreams the directory lists, whoever leads them."""
        return self._sessions.upstream_count

    def is_superseded(self, domain: str) -> bool:
        """Return whether an upstream of a led failure domain has refused this host's token."""
        return self._sessions.is_superseded(domain)

    async def serve(self) -> None:
        """Run the sessions and retry the placement of waiting jobs until cancelled."""
        async with anyio.create_task_group() as group:
            self._sessions.start(group)
            group.start_soon(self._report_load)
            while True:
                await self._queue.wait_not_empty()
                await anyio.sleep(PLACEMENT_RETRY_S)
                self.review_waiting()

    async def _report_load(self) -> None:
        while True:
            await anyio.sleep(LOAD_INTERVAL_S)
            load = self._load.read(len(self._queue))
            if self._sessions.fences:
                self._on_event(load)

    def lead(self, fences: Mapping[str, int]) -> None:
        """Set the failure domains that this host leads, each with its fencing token.

        If there are none, every job is answered ``Moved``, so that it is resubmitted to the new
        leader.
        """
        if self._sessions.lead(fences) and not fences:
            for active in list(self._jobs.values()):
                active.set_answer(Moved(self._earlier_runs.describe(active)))

    def set_upstreams(self, view: DirectoryView) -> None:
        """Apply the newest view of the directory."""
        self._sessions.set_upstreams(view)
        self._placer.estimator.retain(view.upstreams.keys())
        self._place()

    async def submit(
        self,
        job: Job,
        age_s: float,
        earlier: EarlierRuns | None,
        sender: JobSender = LOCAL_SENDER,
    ) -> Answer:
        """Return the answer to a job that its entry host received ``age_s`` ago.

        ``earlier`` says where runs that another leader started may be alive. If every call for a
        job is cancelled, its runs are stopped. A second submission of the same job shares the
        answer of the first. A submission that may have waited while this host was paused is answered
        ``Moved``, so that the entry host sends it again if its caller still waits. Nothing starts
        while none of the job's senders is known to wait.
        """
        with self._gate.senders.add(job.id, sender):
            return await self._join(job, age_s, earlier, sender)

    async def _join(
        self, job: Job, age_s: float, earlier: EarlierRuns | None, sender: JobSender
    ) -> Answer:
        """Wait for the answer to a job, which this submission or an earlier one has begun."""
        now_s = time.monotonic()
        if not self._gate.holds_request(now_s):
            return Moved(self._earlier_runs.add_running(job.id, earlier))
        active = self._jobs.get(job.id)
        if active is None:
            active = self._receive(job, age_s, earlier, sender)
        else:
            self._reports.submission_joined(active, earlier, sender)
            if earlier is not None:
                self._learn_earlier_runs(active, earlier)
        deadline_s = compute_deadline(job, now_s - age_s)
        if deadline_s > active.deadline_s:
            active.deadline_s = deadline_s
            self._clearances.extend(job.id, deadline_s - now_s)
        active.requested_s = now_s
        active.waiter_count += 1
        try:
            return await self._wait_for_answer(active, deadline_s)
        finally:
            active.waiter_count -= 1
            active.ended_senders.append(sender)
            if active.waiter_count == 0:
                self._end_job(active)

    # Agreement with other leaders

    def list_questions(self, leader: Holder) -> tuple[JobQuestion, ...]:
        """Return the jobs that another leader is to be asked for now."""
        return self._holdings.list_questions(leader)

    def answer_questions(
        self,
        own: Holder,
        asker: Holder,
        questions: Collection[JobQuestion],
        taken_since: int = 0,
    ) -> LeaderReport:
        """Return what is known of jobs, and leave to another leader those that it may start.

        The report also names the jobs that this host has taken, with numbers above ``taken_since``.
        """
        self._load.answered += len(questions)
        return self._holdings.answer_questions(own, asker, questions, taken_since)

    def apply_report(self, report: LeaderReport, asked_s: float) -> None:
        """Apply what another leader says in reply to a question sent at a monotonic time."""
        self._load.asked += len(report.holdings)
        for job in self._clearances.apply_report(report, asked_s):
            active = self._jobs[job]
            match report.holdings[job]:
                case Held():
                    self._defer(active, report.leader)
                case Answered(answer=answer):
                    active.set_answer(answer)
                case NotHeld() | MayRun():
                    active.is_deferred = False
            if self._may_start(active, time.monotonic()):
                self._queue.release(active)
        self._review_held(time.monotonic())
        self._place()

    def _defer(self, active: ActiveJob, leader: Holder) -> None:
        """Leave a job to the leader that decides on it, whose answer is this job's as well."""
        if not active.is_deferred:
            active.is_deferred = True
            self._on_event(JobDeferred(active.job.id, leader.host, bool(active.runs)))
        active.may_have_run = True
        for task, placed in list(active.runs.items()):
            self._stop_run(task, placed)
            session = self._sessions.find(placed.upstream)
            if session is not None and (task, placed.number) not in session.runs:
                # It had not been sent, so no end will be reported.
                active.requeue(task)
        if active.waiting:
            self._enqueue(active)

    # Life cycle of a job

    def _receive(
        self, job: Job, age_s: float, earlier: EarlierRuns | None, sender: JobSender
    ) -> ActiveJob:
        active = ActiveJob(job, time.monotonic() - age_s, earlier)
        self._reports.job_received(
            active,
            self._placer.predict_critical_path_ms(active),
            len(self._queue),
            earlier,
            self._sessions.fences,
            self._gate.unknown_runs.upstreams,
            sender,
        )
        self._jobs[job.id] = active
        max_age_s = sender.max_age_s if earlier is None else None
        self._clearances.open(job.id, max_age_s, active.deadline_s - time.monotonic())
        if earlier is not None:
            for task in self._recent_ends.list_done(job.id):
                self._finish(active, task)
        if self._sessions.has_run(job.id):
            for session in self._sessions:
                session.adopt_orphans(job.id)
        if self._crashes.has_job(job.id):
            active.may_have_run = True
        self._give_up_if_crashing(active)
        self._enqueue(active)
        if self._placer.will_miss_deadline(active, time.monotonic()):
            self._abandon_late(active)
        self._place()
        return active

    async def _wait_for_answer(self, active: ActiveJob, deadline_s: float) -> Answer:
        """Return the answer to a job, or to one of its submissions at this one's deadline."""
        if not active.may_have_run:
            refusal_s = self._compute_refusal_time(active)
            with anyio.move_on_after(max(refusal_s - time.monotonic(), 0)):
                await active.placed_or_answered.wait()
            await self._wait_for_clearance(active)
            if not active.placed_or_answered.is_set():
                # A slow upstream is preferred to a refusal.
                active.accepts_any_speed = True
                self._place()
            if not active.placed_or_answered.is_set() and not active.may_have_run:
                return self._refuse(active)
        with anyio.move_on_after(max(deadline_s - time.monotonic(), 0)):
            await active.answered.wait()
        if active.answer is None and active.waiter_count > 1:
            # The runs go on for the other submissions, so the job isn't answered.
            return TimedOut("deadline reached")
        if active.answer is None and not active.may_have_run and not active.runs:
            return self._refuse(active)
        return active.set_answer(TimedOut("deadline reached"))

    async def _wait_for_clearance(self, active: ActiveJob) -> None:
        """Wait until the other leaders have cleared a job, one of them holds it, or it is answered."""
        while (
            not self._clearances.is_cleared(active.job.id)
            and active in self._queue
            and not active.may_have_run
            and not active.placed_or_answered.is_set()
            and time.monotonic() < active.deadline_s
        ):
            self._queue.hold(active)
            await active.released.wait(active.deadline_s - time.monotonic())

    def _end_job(self, active: ActiveJob) -> None:
        if self._jobs.get(active.job.id) is not active:
            return
        del self._jobs[active.job.id]
        is_cleared = self._clearances.is_cleared(active.job.id)
        self._clearances.close(active.job.id)
        self._drop(active)
        answer = active.set_answer(TimedOut("caller left"))
        if not isinstance(answer, Moved):
            self._stop_runs(active)
        self._holdings.answers.record(active.job.id, answer)
        self._reports.job_ended(active, answer, is_cleared=is_cleared)

    def _learn_earlier_runs(self, active: ActiveJob, earlier: EarlierRuns) -> None:
        active.learn_earlier_runs(earlier)
        for task in earlier.done:
            self._finish(active, task)
        if active.waiting:
            self._enqueue(active)

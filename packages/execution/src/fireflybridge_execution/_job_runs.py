"""Runs of a leader's jobs: what upstreams report of them, and what follows for the jobs."""

import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from fireflybridge_clearances import JobClearances
from fireflybridge_execution._active_job import ActiveJob, PlacedRun
from fireflybridge_execution._commands import CommandConnector, RejectionReason
from fireflybridge_execution._earlier_runs import EarlierRunsTracker
from fireflybridge_execution._events import (
    CrashSign,
    EarlierRunAdopted,
    EarlierRunEnded,
    ExecutionEvent,
    RunMoved,
    UnexpectedError,
    UpstreamCrashed,
    UpstreamEjected,
    UpstreamSynced,
)
from fireflybridge_execution._load_meter import LoadMeter
from fireflybridge_execution._placer import Placer
from fireflybridge_execution._queue import JobQueue
from fireflybridge_execution._recent_ends import RecentEnds
from fireflybridge_execution._reports import Reports
from fireflybridge_execution._reviews import Reviews
from fireflybridge_execution._run_registry import Run, RunKey
from fireflybridge_execution._session_manager import SessionManager
from fireflybridge_execution._start_gate import StartGate
from fireflybridge_jobs import (
    Crash,
    EndedRun,
    Failed,
    Resources,
    RunningRun,
    RunOutcome,
    TaskId,
)
from fireflybridge_leadership import Holder
from fireflybridge_pauses import PauseMonitor
from fireflybridge_placement import CrashHistory, compute_latest_start, compute_refusal_time

REVIEW_DELAY_S = 0.01  # so that the time has come when a job is looked at
SKIPPED_NUMBERS = 8  # skipped after an upstream rejected a run number as old
NOBODY = Holder("", "", "")


class JobRuns(ABC):
    """Advance the jobs of this leader by what upstreams report of their runs (a ``RunListener``)."""

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
        self._on_event = on_event
        self._reports = Reports(on_event)
        self._on_superseded = on_superseded
        self._clearances = clearances or JobClearances(NOBODY, tuple)
        self._gate = StartGate(pauses, self._clearances)
        self._sessions = SessionManager(connector, self, self.run_lost, self._gate)
        self._crashes = CrashHistory() if crashes is None else crashes
        self._earlier_runs = EarlierRunsTracker(self._sessions, self._gate)
        self._placer = Placer(self._sessions, self._crashes)
        self._queue = JobQueue()
        self._reviews = Reviews()
        self._reviewed_s = time.monotonic()
        """When the waiting jobs were last looked at."""
        self._load = LoadMeter()
        self._jobs: dict[str, ActiveJob] = {}
        self._recent_ends = RecentEnds()

    @abstractmethod
    def _place(self) -> None:
        """Place waiting tasks on the free capacity; called whenever that may have changed."""

    def _enqueue(self, active: ActiveJob) -> None:
        critical_path_ms = self._placer.predict_critical_path_ms(active)
        self._queue.add(
            active,
            compute_latest_start(
                active.job,
                active.received_s,
                critical_path_ms,
                self._placer.estimator.get_fast_speed(),
            ),
        )
        self._schedule_review(active)

    def _schedule_review(self, active: ActiveJob) -> None:
        """Look at a waiting job when it has to be abandoned, or refused after its rejection."""
        due_s = self._placer.compute_last_chance(active)
        if active.was_rejected:
            due_s = min(due_s, self._compute_refusal_time(active))
        self._reviews.schedule(active, max(due_s, time.monotonic()) + REVIEW_DELAY_S)

    def _compute_refusal_time(self, active: ActiveJob) -> float:
        critical_path_ms = self._placer.predict_critical_path_ms(active)
        return compute_refusal_time(active.job, active.received_s, critical_path_ms)

    def _stop_runs(self, active: ActiveJob) -> None:
        for task, placed in active.runs.items():
            self._stop_run(task, placed)

    def _stop_run(self, task: TaskId, placed: PlacedRun) -> None:
        session = self._sessions.find(placed.upstream)
        if session is not None:
            session.stop(task, placed.number)

    def _finish(self, active: ActiveJob, task: TaskId) -> None:
        """Record that a task is done, and stop its run if another one has done it."""
        placed = active.runs.get(task)
        active.finish(task)
        if placed is not None:
            self._stop_run(task, placed)

    # Callbacks from the sessions (RunListener)

    def _find_job(self, upstream: str, run: Run) -> ActiveJob | None:
        """Return the unanswered job of which this is a current run."""
        active = self._jobs.get(run.task.job)
        if active is None or active.answer is not None:
            return None
        return active if active.is_current_run(run.task, upstream, run.number) else None

    def run_accepted(self, upstream: str, run: Run) -> None:
        """Record that a task has started, so that its job is no longer refused as not run."""
        active = self._find_job(upstream, run)
        if active is not None:
            active.may_have_run = True

    def run_ended(self, upstream: str, run: Run, outcome: RunOutcome, elapsed_s: float) -> None:
        """Complete a task, or requeue it for its next attempt."""
        active = self._find_job(upstream, run)
        if active is None:
            self._reports.stopped_run_ended(upstream, run, outcome)
            return
        if outcome is RunOutcome.DONE:
            self._record_run_time(active, run, upstream, elapsed_s)
        else:
            self._reports.run_not_completed(upstream, run, outcome)
        self._handle_outcome(active, run.task, upstream, outcome)

    def _handle_outcome(
        self, active: ActiveJob, task: TaskId, upstream: str, outcome: RunOutcome
    ) -> None:
        active.may_have_run = True
        match outcome:
            case RunOutcome.DONE:
                self._finish(active, task)
            case RunOutcome.FAILED:
                if active.record_failed_run(task, upstream) >= active.job.policy.max_attempts:
                    active.set_answer(Failed("a task failed at each attempt"))
            case _:
                active.requeue(task)
        if active.waiting:
            self._enqueue(active)

    def _record_run_time(
        self, active: ActiveJob, run: Run, upstream: str, elapsed_s: float
    ) -> None:
        # The start of an adopted run, which has no spec here, is unknown.
        if run.spec:
            estimate_ms = active.get_step(run.task).estimate_ms
            route = active.job.policy.route
            self._placer.record_run_time(route, upstream, estimate_ms, elapsed_s * 1000)

    def run_not_started(self, upstream: str, run: Run, reason: RejectionReason | None) -> None:
        """Requeue a task whose run was not started."""
        active = self._find_job(upstream, run)
        if active is None:
            return
        self._reports.run_not_completed(upstream, run, f"not-started: {reason or 'unreachable'}")
        skipped = SKIPPED_NUMBERS if reason is RejectionReason.OLD_RUN else 0
        active.requeue(run.task, skip_numbers=skipped)
        self._enqueue(active)

    def run_lost(self, upstream: str, run: Run) -> None:
        """Requeue a task whose run is gone without a reported end."""
        active = self._find_job(upstream, run)
        if active is None:
            self._reports.stopped_run_ended(upstream, run, "lost")
            return
        self._reports.run_not_completed(upstream, run, "lost")
        active.may_have_run = True
        active.requeue(run.task)
        self._enqueue(active)

    def run_progressed(self, upstream: str, run: Run, percent: float) -> None:
        """Stop a slow run if its task can meet a time limit on a free upstream."""
        active = self._find_job(upstream, run)
        session = self._sessions.find(upstream)
        if active is None or session is None:
            return
        progress = self._placer.find_move(active, upstream, run, percent)
        if progress is not None:
            self._on_event(RunMoved(run.task, run.number, upstream, progress))
            active.record_move(run.task, upstream)
            session.stop(run.task, run.number)

    def orphan_found(self, upstream: str, run: RunningRun) -> Resources | None:
        """Adopt a run of an earlier leader, or of this host's earlier term, if its job is known."""
        active = self._jobs.get(run.task.job)
        if active is None or active.answer is not None:
            return None
        is_own = active.is_current_run(run.task, upstream, run.number)
        if not is_own and not active.adopt(run.task, upstream, run.number):
            return None
        self._on_event(EarlierRunAdopted(run.task, run.number, upstream))
        return active.get_step(run.task).needs

    def orphan_ended(self, upstream: str, run: EndedRun) -> None:
        """Note the end of a run that an earlier leader started, or this host in an earlier term."""
        self._on_event(EarlierRunEnded(run.task, run.number, upstream, run.outcome))
        active = self._jobs.get(run.task.job)
        if (
            active is not None
            and active.answer is None
            and active.is_current_run(run.task, upstream, run.number)
        ):
            self._handle_outcome(active, run.task, upstream, run.outcome)
        elif run.outcome is not RunOutcome.DONE:
            pass
        elif active is None:
            self._recent_ends.record(run.task)
        elif active.earlier is not None:
            self._finish(active, run.task)
            if active.waiting:
                self._enqueue(active)

    def availability_changed(self, upstream: str) -> None:
        """Note a change that may let an upstream take work, or no more of it."""
        self._placer.mark_changed(upstream)

    def capacity_changed(self) -> None:
        """Place waiting tasks on the free capacity."""
        self._place()

    def superseded(self, upstream: str) -> None:
        """Stop using the upstream's failure domain, of which another host has a newer term."""
        self._sessions.supersede(upstream)
        self._on_superseded()

    def session_failed(self, upstream: str, error: Exception) -> None:
        """Report an unexpected error that has ended a session."""
        self._on_event(UnexpectedError(f"session with {upstream}", error))

    def upstream_synced(self, upstream: str, incarnation: int, running: tuple[RunKey, ...]) -> None:
        """Report that an upstream has listed its runs."""
        self._clearances.note_runs({task.job for task, _ in running})
        session = self._sessions.find(upstream)
        fence = 0 if session is None else session.fence
        self._on_event(UpstreamSynced(upstream, fence, incarnation, running))

    def upstream_crashed(self, crashed: UpstreamCrashed) -> None:
        """Record the crash for the tasks that ran there, and give up those that may cause crashes."""
        self._on_event(crashed)
        jobs = {task.job for task, _ in crashed.runs}
        alone = len(jobs) == 1
        confirmed = crashed.sign is not CrashSign.REFUSED
        for task, _ in crashed.runs:
            self._crashes.record(
                Crash(task, crashed.upstream, crashed.incarnation, alone, confirmed)
            )
        self._give_up_crashing(jobs)

    def incarnation_reported(self, upstream: str, incarnation: int) -> None:
        """Give up tasks that were held back until it was known whether the upstream has crashed."""
        self._give_up_crashing(self._crashes.resolve(upstream, incarnation))

    def _give_up_crashing(self, jobs: Iterable[str]) -> None:
        for active in filter(None, map(self._jobs.get, jobs)):
            self._give_up_if_crashing(active)

    def _give_up_if_crashing(self, active: ActiveJob) -> None:
        if self._crashes.has_given_up(active.job.id):
            active.set_answer(Failed("a task crashes the upstreams that start it"))

    def upstream_ejected(self, upstream: str, reason: str, failures: int) -> None:
        """Report an ejected upstream."""
        self._on_event(UpstreamEjected(upstream, reason, failures))

"""Acceptance of submissions: decides whether this daemon may start them, and answers them."""

import itertools
import time
from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok

from fireflybridge_claims import (
    AskExecutor,
    Attempt,
    ChosenKey,
    Claim,
    Decision,
    Drop,
    Join,
    PrefixedKey,
    PrefixExpired,
    PrefixIssuer,
    PrefixLive,
    PrefixNeverIssued,
    RefuseConflict,
    RefuseMayHaveRun,
    RefuseUnavailable,
    Start,
    StartDecision,
    Unavailable,
    decide_start,
    parse_key,
)
from fireflybridge_claims import (
    Pending as PendingClaim,
)
from fireflybridge_core import (
    Answer,
    Cause,
    Complete,
    ExecutionState,
    NotRun,
    Outcome,
    Pending,
    Problem,
    Refused,
    StepError,
    Submission,
    Task,
    hash_key,
)
from fireflybridge_daemon import _refusals as refusals
from fireflybridge_daemon._cancellable_waits import CancellableWaits
from fireflybridge_daemon._forwarding import fail_with_unknown_outcome
from fireflybridge_daemon._interfaces import Claimer, Forwarder, SubmissionSettings, TablesLookup
from fireflybridge_daemon._jobs import (
    Abandoned,
    Claiming,
    Finished,
    Job,
    JobRecord,
    JobStore,
    Running,
)
from fireflybridge_daemon._pools import PoolRunner
from fireflybridge_daemon._tasks import digest_submission, make_tasks
from fireflybridge_dispatch import NotAdmitted
from fireflybridge_front import IssuedPrefix
from fireflybridge_telemetry import Metrics, SpanKind, Tracer

UNKEYED_PREFIX = "fbu-"
SHUTTING_DOWN = StepError("submissions.claim", "this daemon", "shutting down")
RETRY_ELSEWHERE_S = 1.0


class Submissions:
    """Handle submissions from callers and from other daemons, and run those that this daemon starts."""

    def __init__(
        self,
        settings: SubmissionSettings,
        job_store: JobStore,
        prefixes: PrefixIssuer,
        tables: TablesLookup,
        claimer: Claimer,
        forwarder: Forwarder,
        group: TaskGroup,
        metrics: Metrics,
        tracer: Tracer,
        announce_backlog: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._job_store = job_store
        self._prefixes = prefixes
        self._tables = tables
        self._claimer = claimer
        self._forwarder = forwarder
        self._group = group
        self._metrics = metrics
        self._tracer = tracer
        self._announce_backlog = announce_backlog
        self._clock = clock
        self._attempts = itertools.count(1)
        self._unkeyed = itertools.count(1)
        self._draining = False
        self._waits = CancellableWaits()

    async def submit(self, submission: Submission) -> Answer:
        """Accept a submission and return its answer once it has one."""
        return await _await_answer(await self._open(submission, forwarded=False))

    async def submit_forwarded(self, submission: Submission) -> Answer:
        """Answer a submission that another daemon forwarded, without forwarding it again."""
        return await _await_answer(await self._open(submission, forwarded=True))

    async def start(self, submission: Submission) -> Answer:
        """Accept a submission and return ``Pending`` unless it has an answer already."""
        opened = await self._open(submission, forwarded=False)
        return Pending() if isinstance(opened, Job) else opened

    async def fetch(self, key: str, wait_s: float) -> Answer:
        """Return the answer of a submission at this daemon or at another one."""
        local = await self.fetch_local(key, wait_s)
        return await self._forwarder.query(key, wait_s) if local is None else local

    async def fetch_local(self, key: str, wait_s: float) -> Answer | None:
        """Return the answer of a submission on this daemon, ``None`` when its key is unknown."""
        match self._job_store.find(key):
            case Finished(answer=answer):
                return answer
            case Running(job=job):
                with anyio.move_on_after(wait_s):
                    await job.finished.wait()
                return job.answer or Pending()
            case Claiming():
                return Pending()
            case Abandoned() | None:
                # Abandoned attempts on this daemon do not tell which daemon executes the key.
                return None

    async def cancel(self, key: str) -> Answer:
        """Cancel the tasks that have not started; started ones run to their outcome."""
        match await self._wait_for_decision(key):
            case Running(job=job):
                self._cancel_job(key, job)
                return job.answer or Pending()
            case _:
                self._forwarder.cancel(key)
                return await self.fetch(key, 0.0)

    def cancel_local(self, keys: Iterable[str]) -> None:
        """Cancel jobs of this daemon that a caller cancelled at another daemon."""
        for key in keys:
            match self._job_store.find(key):
                case Running(job=job) if not job.cancelled:
                    self._cancel_job(key, job)
                case Claiming():
                    self._group.start_soon(self.cancel, key)

    def issue_prefix(self) -> IssuedPrefix | Refused:
        """Return a prefix for keys that only this daemon may start."""
        if self._draining:
            return Refused(Problem.DRAINING, ExecutionState.NOT_RUN, "this daemon is shutting down")
        match self._prefixes.issue(self._clock()):
            case Ok(issued):
                return IssuedPrefix(issued.text, issued.lifetime_s)
            case Err(error):
                return Refused(Problem.OVERLOADED, ExecutionState.NOT_RUN, str(error), 1.0)

    def deliver(self, task: Task, outcome: Outcome) -> bool:
        """Store a task's outcome; return False when no job of this daemon waits for it."""
        return self._job_store.deliver(task.id, self._finalize_outcome(task, outcome))

    def is_wanted(self, task: Task) -> bool:
        """Return whether a job of this daemon still needs the task's outcome."""
        match self._job_store.find(task.id.key):
            case Running(job=job):
                return job.is_open(task.id.index)
            case _:
                return False

    def stop_accepting(self) -> None:
        """Refuse new submissions from now on."""
        self._draining = True

    async def wait_idle(self) -> None:
        """Wait until every accepted submission has its answer."""
        while (jobs := self._job_store.find_jobs()) or self._waits:
            await self._waits.wait_idle()
            for job in jobs:
                await job.finished.wait()
            await anyio.lowlevel.checkpoint()

    def close_all(self) -> int:
        """Close every open submission; return how many there were.

        Queued tasks end as not run, all others as tasks that may have run.
        """
        jobs = self._job_store.find_jobs()
        for job in jobs:
            self._close_job(job, Cause.DRAINING)
        return len(jobs) + self._waits.cancel_all()

    async def _open(self, submission: Submission, *, forwarded: bool) -> Job | Answer:
        """Return the running job of a submission, started if necessary, or its answer."""
        if not submission.key:
            return self._open_unkeyed(submission)
        if submission.key.startswith(UNKEYED_PREFIX):
            return refusals.refuse_reserved(UNKEYED_PREFIX)
        digest = digest_submission(submission)
        match record := await self._wait_for_decision(submission.key):
            case Running() | Finished() if record.digest != digest:
                return refusals.refuse_conflict()
            case Running(job=job):
                return job
            case Finished(answer=answer):
                return answer
            case _ if self._draining:
                return refusals.refuse_draining(submission.key, self._settings.incarnation)
            case Abandoned(abandoned=abandoned):
                return await self._open_unstarted(submission, digest, abandoned, forwarded)
            case _:
                return await self._open_unstarted(submission, digest, (), forwarded)

    async def _wait_for_decision(self, key: str) -> JobRecord | None:
        """Return the record of a key after any claim in progress has been decided."""
        while isinstance(record := self._job_store.find(key), Claiming):
            await record.decided.wait()
        return record

    def _open_unkeyed(self, submission: Submission) -> Job | Answer:
        if self._draining:
            return Refused(Problem.DRAINING, ExecutionState.NOT_RUN, "this daemon is shutting down")
        key = f"{UNKEYED_PREFIX}{self._settings.incarnation}-{next(self._unkeyed)}"
        return self._start_job(key, b"", submission, attempt=0, min_keep_s=0.0)

    async def _open_unstarted(
        self,
        submission: Submission,
        digest: bytes,
        abandoned: tuple[Attempt, ...],
        forwarded: bool,
    ) -> Job | Answer:
        match parse_key(submission.key):
            case PrefixedKey(incarnation=self._settings.incarnation) as key:
                return self._open_prefixed(submission, digest, key)
            case PrefixedKey(incarnation=issuer) if not forwarded:
                return await self._forward(issuer, submission, digest)
            case PrefixedKey():
                return refusals.refuse_may_have_run(
                    Problem.ISSUER_GONE, "the prefix's issuer is gone"
                )
            case ChosenKey():
                return await self._open_chosen(submission, digest, abandoned, forwarded)

    def _open_prefixed(
        self, submission: Submission, digest: bytes, key: PrefixedKey
    ) -> Job | Answer:
        match self._prefixes.check(key, self._clock()):
            case PrefixLive(remaining_s=remaining_s):
                return self._start_job(
                    submission.key, digest, submission, attempt=0, min_keep_s=remaining_s
                )
            case PrefixExpired():
                return refusals.refuse_may_have_run(
                    Problem.KEY_EXPIRED, "the key's prefix has expired"
                )
            case PrefixNeverIssued():
                detail = "this daemon never issued the key's prefix"
                return Refused(Problem.UNKNOWN_KEY, ExecutionState.NOT_RUN, detail)

    async def _open_chosen(
        self,
        submission: Submission,
        digest: bytes,
        abandoned: tuple[Attempt, ...],
        forwarded: bool,
    ) -> Job | Answer:
        key = submission.key
        attempt = Attempt(next(self._attempts), self._clock())
        span = self._tracer.begin("claim", submission.traceparent, SpanKind.INTERNAL)
        decision = await self._claim(key, digest, attempt, abandoned)
        self._tracer.end(span, decision=type(decision).__name__)
        pending = PendingClaim(self._settings.incarnation, attempt, abandoned)
        decided = decide_start(pending, decision, self._clock(), self._settings.retention_s)
        attempts = (attempt, *abandoned)
        match decided:
            case Start(attempt=number):
                started = self._start_job(key, digest, submission, attempt=number, min_keep_s=0.0)
                if isinstance(started, Refused):
                    self._job_store.store_unstarted(key, Abandoned(digest, attempts))
                return started
            case RefuseUnavailable():
                self._job_store.store_unstarted(key, Abandoned(digest, attempts))
            case RefuseConflict() if abandoned:  # an abandoned attempt may hold it for this content
                self._job_store.store_unstarted(key, Abandoned(digest, abandoned))
            case _:
                self._job_store.remove(key)
        return await self._refuse_or_forward(submission, digest, decided, forwarded)

    async def _claim(
        self, key: str, digest: bytes, attempt: Attempt, abandoned: tuple[Attempt, ...]
    ) -> Decision:
        """Request the claim; if the caller disconnects, the attempt becomes an abandoned one.

        On shutdown the wait ends as if the log could not be reached.
        """
        claiming = Claiming(digest, attempt, abandoned, anyio.Event())
        self._job_store.store_unstarted(key, claiming)
        claim = Claim(hash_key(key), digest, self._settings.incarnation, attempt.number)
        try:
            decision = await self._waits.run(self._claimer.claim(claim))
            return decision or Unavailable(SHUTTING_DOWN, RETRY_ELSEWHERE_S)
        finally:
            # The caller of this method replaces the record before its next await.
            self._job_store.store_unstarted(key, Abandoned(digest, (attempt, *abandoned)))
            claiming.decided.set()

    async def _forward(self, executor: str, submission: Submission, digest: bytes) -> Answer:
        """Forward a submission to the only daemon that may start it; a shutdown ends the wait."""
        answer = await self._waits.run(self._forwarder.forward(executor, submission, digest))
        return answer or fail_with_unknown_outcome(submission, Cause.DRAINING, executor)

    async def _refuse_or_forward(
        self, submission: Submission, digest: bytes, decided: StartDecision, forwarded: bool
    ) -> Answer:
        match decided:
            case AskExecutor(executor=executor) if not forwarded:
                return await self._forward(executor, submission, digest)
            case RefuseConflict():
                return refusals.refuse_conflict()
            case RefuseUnavailable(error=error, retry_after_s=retry_after_s):
                return refusals.refuse_log_unavailable(error, retry_after_s)
            case RefuseMayHaveRun() | AskExecutor() | Start() | Join() | Drop():
                return refusals.refuse_may_have_run(
                    Problem.EXECUTOR_GONE, "an earlier one may have run"
                )

    def _start_job(
        self, key: str, digest: bytes, submission: Submission, *, attempt: int, min_keep_s: float
    ) -> Job | Refused:
        """Start the job, or refuse it if tables, memory or the queue do not allow it."""
        if not self._tables.loaded:
            return Refused(
                Problem.NOT_READY, ExecutionState.NOT_RUN, "no tables are in force yet", 1.0
            )
        found = self._tables.find_route(submission.route)
        if found is None:
            detail = f"the tables in force have no route {submission.route!r}"
            return Refused(Problem.UNKNOWN_ROUTE, ExecutionState.NOT_RUN, detail)
        if self._job_store.is_full:
            return Refused(
                Problem.OVERLOADED, ExecutionState.NOT_RUN, "answers fill the memory limit", 5.0
            )
        route, runner = found
        now = self._clock()
        tasks = make_tasks(key, submission, route, now)
        match runner.queue.admit(tasks):
            case NotAdmitted() as refused:
                return refusals.refuse_not_admitted(refused)
        job = Job(tasks, runner.pool.name, now, tasks[0].deadline)
        self._job_store.start(key, Running(digest, attempt, job))
        runner.budget.record_request()
        self._group.start_soon(self._run_job, key, job, runner, min_keep_s)
        return job

    async def _run_job(self, key: str, job: Job, runner: PoolRunner, min_keep_s: float) -> None:
        """Queue a job's tasks, and close the job if it has no answer by its deadline."""
        self._tracer.begin_queue_waits(job.tasks)
        runner.queue.put(job.tasks)
        if job.cancelled:
            self._cancel_job(key, job)
        self._announce_backlog(job.pool)
        with anyio.move_on_after(job.expires - self._clock()):
            await job.finished.wait()
        if job.answer is None:
            self._close_job(job, Cause.DEADLINE_PASSED)
        self._tracer.end_queue_waits(job.tasks)
        self._record_metrics(job)
        if key.startswith(UNKEYED_PREFIX):
            self._job_store.finish(key, 0.0)
            self._job_store.remove(key)
        else:
            self._job_store.finish(key, min_keep_s)

    def _cancel_job(self, key: str, job: Job) -> None:
        job.cancelled = True
        runner = self._tables.find_runner(job.pool)
        if runner is not None:
            for task in runner.queue.cancel(key):
                self.deliver(task, NotRun(Cause.CANCELLED))
        self._forwarder.cancel(key)

    def _close_job(self, job: Job, cause: Cause) -> None:
        key = job.tasks[0].id.key
        runner = self._tables.find_runner(job.pool)
        queued: tuple[Task, ...] = runner.queue.cancel(key) if runner else ()
        for task in queued:
            self.deliver(task, NotRun(cause))
        job.close()
        self._forwarder.cancel(key)

    def _finalize_outcome(self, task: Task, outcome: Outcome) -> Outcome:
        runner = self._tables.find_runner(task.pool)
        return outcome if runner is None else runner.finalize_outcome(task, outcome)

    def _record_metrics(self, job: Job) -> None:
        elapsed_s = self._clock() - job.accepted
        state = type(job.answer).__name__.lower()
        self._metrics.submissions.labels(job.pool, state).inc()
        self._metrics.response_seconds.labels(job.pool).observe(elapsed_s)
        match job.answer:
            case Complete(outcomes=outcomes):
                longest_s = max(outcome.run_s for outcome in outcomes)
                if longest_s > 0:
                    self._metrics.response_ratio.labels(job.pool).observe(elapsed_s / longest_s)


async def _await_answer(opened: Job | Answer) -> Answer:
    return await opened.wait() if isinstance(opened, Job) else opened

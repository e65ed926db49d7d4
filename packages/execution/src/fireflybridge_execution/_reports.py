"""Events on jobs and runs that take more than one value to describe."""

import time
from collections.abc import Callable, Mapping

from fireflybridge_execution._active_job import ActiveJob
from fireflybridge_execution._events import (
    ExecutionEvent,
    JobEnded,
    JobReceived,
    RunNotCompleted,
    StoppedRunEnded,
    SubmissionJoined,
)
from fireflybridge_execution._recent_jobs import RecentJobs
from fireflybridge_execution._run_registry import Run
from fireflybridge_jobs import Answer, EarlierRuns, JobSender


class Reports:
    """Make the events of a scheduler's jobs and runs, and pass them on."""

    def __init__(self, on_event: Callable[[ExecutionEvent], None]) -> None:
        self._on_event = on_event
        self._recent_jobs = RecentJobs()

    def job_received(
        self,
        active: ActiveJob,
        critical_path_ms: float,
        queued_jobs: int,
        earlier: EarlierRuns | None,
        fences: Mapping[str, int],
        unlisted: tuple[str, ...],
        sender: JobSender,
    ) -> None:
        """Report a job that was just submitted."""
        self._on_event(
            JobReceived(
                active.job.id,
                active.job.policy.route,
                len(active.waiting),
                critical_path_ms,
                queued_jobs,
                earlier,
                fences,
                unlisted,
                self._recent_jobs.note(active.job.id),
                sender,
            )
        )

    def submission_joined(
        self, active: ActiveJob, earlier: EarlierRuns | None, sender: JobSender
    ) -> None:
        """Report a further submission of a job."""
        self._on_event(SubmissionJoined(active.job.id, sender, earlier))

    def job_ended(self, active: ActiveJob, answer: Answer, *, is_cleared: bool) -> None:
        """Report the answer to a job."""
        first_placed_s = active.first_placed_s
        self._on_event(
            JobEnded(
                active.job.id,
                active.job.policy.route,
                answer,
                (time.monotonic() - active.received_s) * 1000,
                None if first_placed_s is None else (first_placed_s - active.received_s) * 1000,
                active.failed_runs,
                tuple(active.ended_senders),
                is_cleared,
            )
        )

    def run_not_completed(self, upstream: str, run: Run, outcome: str) -> None:
        """Report a run of an unanswered job that ended otherwise than done."""
        elapsed_ms = (time.monotonic() - run.placed_s) * 1000
        self._on_event(RunNotCompleted(run.task, run.number, upstream, outcome, elapsed_ms))

    def stopped_run_ended(self, upstream: str, run: Run, outcome: str) -> None:
        """Report the end of a run whose result was no longer needed."""
        stopped_s = run.stopped_s
        elapsed_ms = 0.0 if stopped_s is None else (time.monotonic() - stopped_s) * 1000
        self._on_event(StoppedRunEnded(run.task, run.number, upstream, outcome, elapsed_ms))

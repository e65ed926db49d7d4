"""Waiting jobs of a leader: which of them start now, which are held back, and which are refused."""

import time

from fireflybridge_execution._active_job import ActiveJob
from fireflybridge_execution._events import TasksPlaced, UnexpectedError
from fireflybridge_execution._job_runs import JobRuns
from fireflybridge_jobs import Answer, Moved, NotRun, RefusalReason, TimedOut
from fireflybridge_placement import RETRY_AFTER_S

HELD_REVIEW_S = 0.1
MAX_BACKFILL_ATTEMPTS = 8  # a placement pass ends after this many jobs that don't fit
MAX_HELD_REVIEWS = 32  # of one pass over the jobs that may not start yet


class WaitingJobs(JobRuns):
    """Place the waiting jobs of this leader, and answer those for which it is too late.

    The work for an event doesn't depend on how many jobs wait.
    """

    @property
    def has_synced_upstream(self) -> bool:
        """Return whether any upstream has listed its runs."""
        return self._sessions.has_synced_upstream

    @property
    def can_start_tasks(self) -> bool:
        """Return whether an upstream can take work, and this host knows all runs that may be alive."""
        return self.has_synced_upstream and self._gate.knows_runs(time.monotonic())

    def review_waiting(self) -> None:
        """Place, abandon or refuse waiting jobs for which the time has come."""
        now_s = time.monotonic()
        self._give_back_after_pause(now_s)
        self._review_due(now_s)
        self._review_held(now_s)
        self._place()

    def _place(self) -> None:
        """Place waiting tasks on the free capacity; called whenever that may have changed."""
        now_s = time.monotonic()
        if len(self._queue) and self._gate.is_open(now_s):
            with self._load.measure_pass():
                self._place_waiting(now_s)

    def _place_waiting(self, now_s: float) -> None:
        """Place the first jobs that may start, until there is no room or some don't fit."""
        skipped = 0
        while skipped < MAX_BACKFILL_ATTEMPTS:
            next_jobs = self._queue.list_ready(skipped, MAX_BACKFILL_ATTEMPTS)
            if not next_jobs or not self._placer.has_room(next_jobs):
                return
            active = next_jobs[0]
            if active.answer is not None:
                self._drop(active)
                continue
            if not self._may_start(active, now_s):
                self._queue.hold(active)
                continue
            self._place_job(active, now_s)
            if active.waiting and active.answer is None:
                skipped += 1
            else:
                self._drop(active)

    def _drop(self, active: ActiveJob) -> None:
        """Remove a job from those that wait, if it does."""
        self._queue.remove(active)
        self._reviews.cancel(active)

    def _place_job(self, active: ActiveJob, now_s: float) -> None:
        """Place a job's waiting tasks; an unexpected error ends the job and not the scheduler."""
        try:
            placements = self._placer.place(active, now_s)
        except Exception as error:
            self._on_event(UnexpectedError(f"placement of job {active.job.id}", error))
            active.set_answer(TimedOut("its tasks could not be placed"))
            return
        if placements:
            unlisted = self._gate.unknown_runs.upstreams
            unreachable = self._clearances.leaders.list_unreachable()
            self._on_event(
                TasksPlaced(active.job.id, placements, len(active.waiting), unlisted, unreachable)
            )

    def _review_due(self, now_s: float) -> None:
        """Answer jobs that can't be done in time, or that find no other place after a rejection."""
        for active in self._reviews.take_due(now_s):
            if active not in self._queue or active.answer is not None:
                continue
            if self._placer.will_miss_deadline(active, now_s):
                self._abandon_late(active)
            elif active.was_rejected and now_s > self._compute_refusal_time(active):
                self._refuse(active)
                self._drop(active)
            else:
                self._schedule_review(active)

    def _abandon_late(self, active: ActiveJob) -> None:
        """Answer a job that can't be done in time, unless another leader decides on it."""
        if self._is_left(active):
            self._reviews.schedule(active, time.monotonic() + HELD_REVIEW_S)
        else:
            self._abandon(active, "can't be finished before its deadline")

    def _review_held(self, now_s: float) -> None:
        """Release jobs that may start now, and answer those whose runs can't be ruled out in time.

        Only some are looked at each time, so that the cost doesn't depend on how many there are.
        """
        for active in self._queue.list_held(MAX_HELD_REVIEWS):
            if active.answer is not None:
                self._drop(active)
            elif self._may_start(active, now_s):
                self._queue.release(active)
            elif self._earlier_runs.stay_unknown(active, now_s) and not self._is_left(active):
                self._abandon(active, "its earlier runs can't be ruled out in time")
            else:
                if self._clearances.is_cleared(active.job.id):
                    active.released.notify()  # it may be refused for another reason
                self._queue.hold(active)

    def _is_left(self, active: ActiveJob) -> bool:
        """Return whether another leader decides on a job."""
        return self._clearances.find_holder(active.job.id) is not None

    def _give_back_after_pause(self, now_s: float) -> None:
        """Give the jobs back whose senders may have left while this host was paused."""
        if not self._gate.holds_request(self._reviewed_s):
            for active in self._queue.list_all():
                if not self._gate.holds_request(active.requested_s):
                    self._give_back(active)
        self._reviewed_s = now_s

    def _may_start(self, active: ActiveJob, now_s: float) -> bool:
        return self._gate.admits(
            active.job.id, active.requested_s
        ) and self._earlier_runs.are_known(active, now_s)

    def _give_back(self, active: ActiveJob) -> None:
        """Answer a job so that only an entry host whose caller still waits submits it again."""
        if active.may_have_run or active.runs:
            active.set_answer(TimedOut("the leader was paused"))
        else:
            active.set_answer(Moved(self._earlier_runs.add_running(active.job.id, None)))
        self._drop(active)

    def _abandon(self, active: ActiveJob, reason: str) -> None:
        if active.may_have_run or active.runs:
            active.set_answer(TimedOut(reason))
        else:
            active.set_answer(NotRun(RefusalReason.TOO_LONG, RETRY_AFTER_S))
        self._drop(active)

    def _refuse(self, active: ActiveJob) -> Answer:
        reason = RefusalReason.NO_CAPACITY if self.can_start_tasks else RefusalReason.NO_UPSTREAM
        return active.set_answer(NotRun(reason, RETRY_AFTER_S))

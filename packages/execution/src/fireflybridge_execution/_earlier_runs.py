"""What a leader knows of the runs of a job that were started before its newest submission."""

import time

from fireflybridge_execution._active_job import ActiveJob
from fireflybridge_execution._session_manager import SessionManager
from fireflybridge_jobs import EarlierRuns

TERM_WAIT_S = 0.1  # a job may arrive shortly before the term that lets this host lead all domains


class EarlierRunsTracker:
    """Compare the marks of jobs with the lists of runs, and make the marks of jobs given back."""

    def __init__(self, sessions: SessionManager) -> None:
        self._sessions = sessions

    def are_known(self, active: ActiveJob, now_s: float) -> bool:
        """Return whether this host knows every run of the job that can still be alive."""
        if active.earlier is None or self._sessions.knows_earlier_runs(active.earlier):
            return True
        return now_s >= self._sessions.compute_unknown_runs_expiry(active.submitted_s)

    def stay_unknown(self, active: ActiveJob, now_s: float) -> bool:
        """Return whether the job's deadline comes before its earlier runs can be known."""
        return (
            active.earlier is not None
            and not self.are_known(active, now_s)
            and not self._sessions.can_learn_earlier_runs(active.earlier)
            and self._sessions.compute_unknown_runs_expiry(active.submitted_s) > active.deadline_s
            and now_s > active.submitted_s + TERM_WAIT_S
        )

    def describe(self, active: ActiveJob) -> EarlierRuns | None:
        """Return where the next leader must look for a job's runs, or None if none was started."""
        known = EarlierRuns(done=active.list_done()) if active.may_have_run else None
        if known is not None and not self.are_known(active, time.monotonic()):
            known = known.merge(active.earlier)
        return self.add_running(active.job.id, known)

    def add_running(self, job: str, earlier: EarlierRuns | None) -> EarlierRuns | None:
        """Return what is known of a job's runs, with those that may be alive on upstreams of this host.

        They may be those of a submission that has ended, and are being stopped.
        """
        fences = self._sessions.find_running_fences(job)
        return EarlierRuns(fences).merge(earlier) if fences else earlier

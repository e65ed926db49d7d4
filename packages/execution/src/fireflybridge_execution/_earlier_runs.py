"""What a leader knows of the runs of a job that were started before its newest submission."""

import time

from fireflybridge_execution._active_job import ActiveJob
from fireflybridge_execution._session_manager import SessionManager
from fireflybridge_execution._start_gate import StartGate
from fireflybridge_jobs import EarlierRuns

TERM_WAIT_S = 0.1  # a job may arrive shortly before the term that lets this host lead all domains


class EarlierRunsTracker:
    """Compare the marks of jobs with the lists of runs, and make the marks of jobs given back."""

    def __init__(self, sessions: SessionManager, gate: StartGate) -> None:
        self._sessions = sessions
        self._gate = gate

    def are_known(self, active: ActiveJob, now_s: float) -> bool:
        """Return whether this host knows every run of the job that can still be alive."""
        if active.earlier is None:
            return True
        if self._sessions.knows_earlier_runs(self._find_unsettled(active.job.id, active.earlier)):
            return True
        return now_s >= self._sessions.compute_unknown_runs_expiry(active.submitted_s)

    def stay_unknown(self, active: ActiveJob, now_s: float) -> bool:
        """Return whether the job's deadline comes before its earlier runs can be known."""
        return (
            active.earlier is not None
            and not self.are_known(active, now_s)
            and not self._can_learn(active.earlier)
            and self._sessions.compute_unknown_runs_expiry(active.submitted_s) > active.deadline_s
            and now_s > active.submitted_s + TERM_WAIT_S
        )

    def _find_unsettled(self, job: str, earlier: EarlierRuns) -> EarlierRuns:
        """Return the marks of a job but for those that other leaders have ruled out by their lists."""
        rules_out = self._gate.clearances.rules_out_runs
        domains = {
            domain: fence
            for domain, fence in earlier.domains.items()
            if not rules_out(job, domain, fence)
        }
        upstreams = {
            name: fence
            for name, fence in earlier.upstreams.items()
            if not rules_out(job, self._find_domain(name), fence)
        }
        return EarlierRuns(upstreams, domains)

    def _can_learn(self, earlier: EarlierRuns) -> bool:
        """Return whether this host or other leaders can list every run that is marked."""
        can_ask = self._gate.clearances.leaders.can_ask
        domains = {name: fence for name, fence in earlier.domains.items() if not can_ask(name)}
        upstreams = {
            name: fence
            for name, fence in earlier.upstreams.items()
            if not can_ask(self._find_domain(name))
        }
        return self._sessions.can_learn_earlier_runs(EarlierRuns(upstreams, domains))

    def _find_domain(self, upstream: str) -> str:
        """Return the failure domain of an upstream, empty if the directory doesn't list it."""
        info = self._gate.view.upstreams.get(upstream)
        return "" if info is None else info.failure_domain

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

"""What this leader says of jobs that another leader has received as well."""

import time
from collections.abc import Callable, Collection, Mapping

from fireflybridge_clearances import (
    UNREACHABLE_S,
    Answered,
    Held,
    Holding,
    JobQuestion,
    LeaderReport,
    MayRun,
    NotHeld,
)
from fireflybridge_execution._active_job import ActiveJob
from fireflybridge_execution._recent_answers import RecentAnswers
from fireflybridge_execution._session_manager import SessionManager
from fireflybridge_execution._start_gate import StartGate
from fireflybridge_jobs import Failed, Succeeded
from fireflybridge_leadership import Holder


class JobHoldings:
    """Answer the questions of other leaders, and leave jobs to those that take precedence."""

    def __init__(
        self,
        jobs: Mapping[str, ActiveJob],
        sessions: SessionManager,
        gate: StartGate,
        defer: Callable[[ActiveJob, Holder], None],
    ) -> None:
        """Read the unanswered jobs from ``jobs``; ``defer`` leaves one to another leader."""
        self.answers = RecentAnswers()
        self._jobs = jobs
        self._sessions = sessions
        self._gate = gate
        self._defer = defer

    def list_questions(self, leader: Holder) -> tuple[JobQuestion, ...]:
        """Return what another leader is to be asked now."""
        jobs = self._gate.clearances.list_open(leader)
        return tuple(self._make_question(self._jobs[job]) for job in jobs)

    def _make_question(self, active: ActiveJob) -> JobQuestion:
        return JobQuestion(active.job.id, active.has_begun, active.earlier is not None)

    def answer_questions(
        self,
        own: Holder,
        asker: Holder,
        questions: Collection[JobQuestion],
        taken_since: int,
    ) -> LeaderReport:
        """Return what is known of jobs, and leave to another leader those that it may start.

        The report names the jobs that were taken with numbers above ``taken_since``.
        """
        holdings = {question.job: self._answer_question(question, asker) for question in questions}
        is_marked = any(question.marked for question in questions)
        listed = self._sessions.list_known_domains() if is_marked else frozenset()
        taken = self._gate.clearances.list_taken(taken_since)
        fences = self._sessions.fences
        return LeaderReport(own, fences, listed, holdings, taken, self._knows_runs())

    def _answer_question(self, question: JobQuestion, asker: Holder) -> Holding:
        self._gate.clearances.note_asker(question.job, asker)
        active = self._jobs.get(question.job)
        answer = self.answers.find(question.job) if active is None else active.answer
        if isinstance(answer, Succeeded | Failed):
            return Answered(answer)
        if active is not None and answer is None:
            if self._keeps(active, question, asker):
                return Held()
            self._gate.clearances.defer_job(question.job, asker)
            self._defer(active, asker)
        return MayRun() if self._may_run(question.job) else NotHeld()

    def _keeps(self, active: ActiveJob, question: JobQuestion, asker: Holder) -> bool:
        """Return whether this leader goes on with a job: the one that has begun it, or the first.

        Both have begun a job only if they could not reach each other.
        """
        clearances = self._gate.clearances
        is_first = clearances.takes_precedence(asker)
        if asker not in clearances.leaders.holders:
            return True
        if question.begun:
            return active.has_begun and is_first
        return active.has_begun or clearances.is_cleared(active.job.id) or is_first

    def _may_run(self, job: str) -> bool:
        """Return whether a run of a job may be alive on the upstreams of this leader."""
        return not self._knows_runs() or self._sessions.has_run(job)

    def _knows_runs(self) -> bool:
        """Return whether this leader knows the runs on its upstreams, as far as others wait for that.

        Upstreams that have not listed their runs long after a term began are passed over here, so
        that one of them holds up the start of tasks in its own failure domain only.
        """
        now_s = time.monotonic()
        return now_s >= self._gate.term_began_s + UNREACHABLE_S or self._gate.knows_runs(now_s)

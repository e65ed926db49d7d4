"""Interface to the scheduler of the leader, which the execution package implements."""

from collections.abc import Collection
from typing import Protocol

from fireflybridge_clearances import JobQuestion, LeaderReport
from fireflybridge_jobs import LOCAL_SENDER, Answer, EarlierRuns, Job, JobSender
from fireflybridge_leadership import Holder


class JobScheduler(Protocol):
    """Run the jobs that callers submit to this host or to others."""

    async def submit(
        self,
        job: Job,
        age_s: float,
        earlier: EarlierRuns | None,
        sender: JobSender = LOCAL_SENDER,
    ) -> Answer:
        """Return the answer to a job that its entry host received ``age_s`` ago.

        ``earlier`` names the upstreams and failure domains where runs that another leader started
        may still be running. No task starts unless the ``sender``, or that of another submission of
        the job, still waits.
        """
        ...

    def list_questions(self, leader: Holder) -> tuple[JobQuestion, ...]:
        """Return the jobs that another leader is to be asked for now."""
        ...

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
        ...

    def apply_report(self, report: LeaderReport, asked_s: float) -> None:
        """Apply what another leader says in reply to a question sent at a monotonic time."""
        ...

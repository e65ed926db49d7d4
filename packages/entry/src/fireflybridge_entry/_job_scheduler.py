"""Interface to the scheduler of the leader, which the execution package implements."""

from typing import Protocol

from fireflybridge_jobs import LOCAL_SENDER, Answer, EarlierRuns, Job, JobSender


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

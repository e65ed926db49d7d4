"""Where submitted jobs go on the leader itself."""

from typing import Protocol

from fireflybridge_jobs import Answer, EarlierRuns, Job


class JobScheduler(Protocol):
    """Take the jobs of callers and of other hosts."""

    async def submit(self, job: Job, age_s: float, earlier: EarlierRuns | None) -> Answer:
        """Return the answer to a job that its entry host received ``age_s`` ago.

        ``earlier`` says where runs that another leader started may be alive.
        """
        ...

"""Where submitted jobs go on the leader itself."""

from typing import Protocol

from fireflybridge_jobs import Answer, Job


class JobScheduler(Protocol):
    """Take the jobs of callers and of other hosts."""

    async def submit(self, job: Job, age_s: float, *, resubmitted: bool) -> Answer:
        """Return the answer to a job that its entry host received ``age_s`` ago."""
        ...

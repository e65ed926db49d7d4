"""Final answers of jobs, for leaders to which callers send the same jobs again."""

import time

from fireflybridge_clearances import RESULT_RETENTION_S
from fireflybridge_jobs import Answer, Failed, Succeeded


class RecentAnswers:
    """Remember for a while which jobs have succeeded or failed."""

    def __init__(self) -> None:
        self._answers: dict[str, tuple[float, Succeeded | Failed]] = {}

    def record(self, job: str, answer: Answer) -> None:
        """Record the answer to a job if it is the job's result."""
        now_s = time.monotonic()
        while self._answers and next(iter(self._answers.values()))[0] < now_s - RESULT_RETENTION_S:
            del self._answers[next(iter(self._answers))]
        if isinstance(answer, Succeeded | Failed):
            self._answers.pop(job, None)
            self._answers[job] = (now_s, answer)

    def find(self, job: str) -> Succeeded | Failed | None:
        """Return the result of a job that has ended lately."""
        found = self._answers.get(job)
        return (
            None if found is None or found[0] < time.monotonic() - RESULT_RETENTION_S else found[1]
        )

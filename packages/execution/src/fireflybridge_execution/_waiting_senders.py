"""The senders that wait for the answers to a leader's jobs."""

from collections.abc import Iterator
from contextlib import contextmanager

from fireflybridge_jobs import JobSender


class WaitingSenders:
    """Tell whether any sender of a job still waits, so that its tasks may be started."""

    def __init__(self) -> None:
        self._senders: dict[str, list[JobSender]] = {}
        """The senders of each job, one for each of its submissions."""

    @contextmanager
    def add(self, job: str, sender: JobSender) -> Iterator[None]:
        """Count a submission of a job until the context ends."""
        senders = self._senders.setdefault(job, [])
        senders.append(sender)
        try:
            yield
        finally:
            senders.remove(sender)
            if not senders:
                self._senders.pop(job, None)

    def still_wait(self, job: str) -> bool:
        """Return whether any sender of a job waits for its answer now."""
        return any(sender.still_waits() for sender in self._senders.get(job, ()))

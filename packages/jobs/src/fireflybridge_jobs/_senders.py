"""Senders of a job's submissions, which wait at a leader for the job's answer."""

from collections.abc import Callable
from dataclasses import dataclass


def _wait_always() -> bool:
    """Return that a sender waits, since its submission is cancelled at the moment it leaves."""
    return True


@dataclass(frozen=True, slots=True, eq=False)
class JobSender:
    """Identify one submission of a job, and tell whether its sender still waits for the answer.

    The ``host`` is empty for a caller of the leader itself.
    """

    host: str = ""
    number: int = 0
    """The host's number of the submission; 0 if it gave none."""
    stamp_age_ms: float | None = None
    """Time from the leader's stamp in the submission until the leader read it, if it had one."""
    still_waits: Callable[[], bool] = _wait_always
    max_age_s: float | None = None
    """The longest time since the caller can have sent the job, None if that isn't known."""


LOCAL_SENDER = JobSender()

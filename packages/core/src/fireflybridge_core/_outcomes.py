"""Outcomes of a task."""

from dataclasses import dataclass
from enum import StrEnum


class Cause(StrEnum):
    """Reason why a task was not run, or why its result is unknown."""

    ATTEMPTS_EXHAUSTED = "attempts-exhausted"
    CANCELLED = "cancelled"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_BROKEN = "connection-broken"
    DEADLINE_PASSED = "deadline-passed"
    DRAINING = "draining"
    GUARD_REFUSED = "guard-refused"
    PEER_LOST = "peer-lost"
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, slots=True)
class Done:
    """The task ran: the complete response of its upstream and the run time in seconds."""

    status: int
    content_type: str
    body: bytes
    upstream: str
    run_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NotRun:
    """No byte of the task reached an upstream."""

    cause: Cause
    upstream: str = ""


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The task was sent to an upstream or another daemon and its result is unknown."""

    cause: Cause
    upstream: str = ""


Outcome = Done | NotRun | MayHaveRun

"""Outcomes of one task."""

from dataclasses import dataclass
from enum import StrEnum


class Cause(StrEnum):
    """Name why a task was not run, or why its result is unknown."""

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
    """Hold the whole response of an upstream."""

    status: int
    content_type: str
    body: bytes
    upstream: str
    run_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NotRun:
    """State that no byte of the task reached an upstream."""

    cause: Cause
    upstream: str = ""


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """State that the task was handed over and its result is unknown."""

    cause: Cause
    upstream: str = ""


Outcome = Done | NotRun | MayHaveRun

"""Runs of tasks as an upstream reports them."""

from dataclasses import dataclass
from enum import StrEnum

from fireflybridge_jobs._jobs import TaskId


class RunOutcome(StrEnum):
    """How a run ended, as reported by its upstream."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease-expired"
    GROUP_BROKEN = "group-broken"
    GROUP_INCOMPLETE = "group-incomplete"


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that an upstream reports as running."""

    task: TaskId
    number: int
    """Number of the run among those of its task, counted from 1; numbers may be skipped."""
    percent: float


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that has ended; sequence numbers increase within one upstream incarnation."""

    sequence: int
    task: TaskId
    number: int
    outcome: RunOutcome


@dataclass(frozen=True, slots=True)
class RunReport:
    """An upstream's running and ended runs, with a reading of its clock."""

    clock_ms: float
    incarnation: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


@dataclass(frozen=True, slots=True)
class Crash:
    """The crash of an upstream while a task ran on it.

    ``alone`` is whether all tasks that ran there belong to one job, ``confirmed`` whether the
    upstream has started anew since. Until then it may only be unreachable.
    """

    task: TaskId
    upstream: str
    incarnation: int
    alone: bool
    confirmed: bool

"""Runs of tasks as an upstream reports them."""

from dataclasses import dataclass
from enum import StrEnum

from fireflybridge_jobs._jobs import TaskId


class Ending(StrEnum):
    """Name how a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease-expired"
    GROUP_BROKEN = "group-broken"
    GROUP_INCOMPLETE = "group-incomplete"


@dataclass(frozen=True, slots=True)
class RunningRun:
    """Hold a run that an upstream has under way."""

    task: TaskId
    number: int
    """Counts the starts of the task, from 1."""
    percent: float


@dataclass(frozen=True, slots=True)
class EndedRun:
    """Hold a run that has ended; sequence numbers rise within an incarnation."""

    sequence: int
    task: TaskId
    number: int
    ending: Ending


@dataclass(frozen=True, slots=True)
class RunReport:
    """Hold an upstream's lists of runs and its clock in milliseconds."""

    clock_ms: float
    incarnation: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]

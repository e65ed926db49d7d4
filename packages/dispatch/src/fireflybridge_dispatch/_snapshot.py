"""Snapshot of a pool queue for metrics."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TeamSnapshot:
    """Hold one team's queued tasks and the slots it uses."""

    team: str
    queued: int
    running: int


@dataclass(frozen=True, slots=True)
class QueueSnapshot:
    """Hold the state of a pool queue at one moment."""

    pool: str
    queued: int
    queued_long: int
    running: int
    running_long: int
    free: int
    wait_s: float
    teams: tuple[TeamSnapshot, ...]

"""Rescheduling of slow runs on faster upstreams."""

from dataclasses import dataclass
from math import inf

RESTART_COST_MS = 40.0  # stop, its confirmation by an ended run, and the new start
MIN_ELAPSED_MS = 40.0  # earlier progress reports are too imprecise
STALLED_FACTOR = 2.0  # a run at 0% after this many times its expected time counts as hung
# A first run that projects to more than this many times its expected work is slowed by its upstream.
MAX_WORK_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class RunProgress:
    """Progress of a run compared with the expected work and the upstream's speed.

    ``moves`` counts the earlier runs of the task that were stopped because they were slow.
    """

    elapsed_ms: float
    percent: float
    expected_work_ms: float
    speed: float
    moves: int = 0


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """Milliseconds left until a job misses its objective, is very late and misses its deadline."""

    objective_ms: float
    late_ms: float
    deadline_ms: float


def should_move(progress: RunProgress, limits: TimeLimits, free_speed: float) -> bool:
    """Return whether a restart on a free upstream would meet a limit that the run would miss.

    Handles upstreams that hang or become slow under a job with many parallel tasks, whose answer
    waits for the last of them, and long tasks that were placed when only slow upstreams were free.
    """
    missed_ms = select_missed_limits(progress, limits)
    if not missed_ms:
        return False
    restarted_ms = RESTART_COST_MS + _predict_work_ms(progress) / free_speed
    return any(restarted_ms < limit_ms for limit_ms in missed_ms)


def select_missed_limits(progress: RunProgress, limits: TimeLimits) -> tuple[float, ...]:
    """Return the limits, in milliseconds from now, that a run will miss if it isn't moved.

    A run too young to judge misses none. Most runs miss none, so the free upstreams need no look.
    """
    if progress.elapsed_ms < MIN_ELAPSED_MS:
        return ()
    remaining_ms = _predict_remaining_ms(progress)
    all_limits_ms = (limits.objective_ms, limits.late_ms, limits.deadline_ms)
    return tuple(limit_ms for limit_ms in all_limits_ms if 0 < limit_ms < remaining_ms)


def _predict_remaining_ms(progress: RunProgress) -> float:
    if progress.percent > 0:
        return progress.elapsed_ms * (100 - progress.percent) / progress.percent
    expected_ms = progress.expected_work_ms / progress.speed
    return inf if progress.elapsed_ms > STALLED_FACTOR * expected_ms else expected_ms


def _predict_work_ms(progress: RunProgress) -> float:
    if progress.percent <= 0:
        return progress.expected_work_ms
    projected_ms = progress.elapsed_ms * 100 / progress.percent * progress.speed
    if progress.moves:
        # The task is slow on a second upstream too, so its estimate is too low.
        return projected_ms
    return min(projected_ms, MAX_WORK_FACTOR * progress.expected_work_ms)

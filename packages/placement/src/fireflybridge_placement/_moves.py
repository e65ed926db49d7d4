"""Whether a run is stopped because its task would be done sooner elsewhere."""

from dataclasses import dataclass
from math import inf

RESTART_MS = 40.0  # stop, the end that confirms it, and the new start
MIN_ELAPSED_MS = 40.0  # before it a percentage tells little
STALLED_FACTOR = 2.0  # a run without any progress in this many times its expected time hangs
WORK_FACTOR = 1.5  # a first run slower than this many times its estimate is slowed by its upstream


@dataclass(frozen=True, slots=True)
class Progress:
    """Describe a run under way: its age, how much is done, and what was expected.

    ``moves`` counts the earlier runs of the task that were stopped for their slowness.
    """

    elapsed_ms: float
    percent: float
    expected_work_ms: float
    speed: float
    moves: int = 0


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """Hold the times left until the answer counts less, in milliseconds from now."""

    objective_ms: float
    late_ms: float
    deadline_ms: float


def should_move(progress: Progress, limits: TimeLimits, free_speed: float) -> bool:
    """Return whether a limit that the run would miss is kept on a free upstream of a speed.

    Answers upstreams that hang or turn slow under a wide job, whose answer waits for its last
    task, and long tasks that found only slow upstreams free.
    """
    if progress.elapsed_ms < MIN_ELAPSED_MS:
        return False
    here_ms = _predict_rest(progress)
    there_ms = RESTART_MS + _predict_work(progress) / free_speed
    return any(
        there_ms < limit_ms < here_ms
        for limit_ms in (limits.objective_ms, limits.late_ms, limits.deadline_ms)
    )


def _predict_rest(progress: Progress) -> float:
    if progress.percent > 0:
        return progress.elapsed_ms * (100 - progress.percent) / progress.percent
    expected_ms = progress.expected_work_ms / progress.speed
    return inf if progress.elapsed_ms > STALLED_FACTOR * expected_ms else expected_ms


def _predict_work(progress: Progress) -> float:
    if progress.percent <= 0:
        return progress.expected_work_ms
    shown_ms = progress.elapsed_ms * 100 / progress.percent * progress.speed
    if progress.moves:
        # It is slow on a second upstream as well, so the task itself is long.
        return shown_ms
    return min(shown_ms, WORK_FACTOR * progress.expected_work_ms)

"""Selection of the upstream that runs a task."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from math import inf

from fireflybridge_jobs import Resources

SPEED_COST_MS = 200.0  # per unit of speed; reserves fast upstreams for long tasks
REMOTE_DATA_FACTOR = 3.0  # slowdown of a task on another rack than that of its data
FAST_SPEED_SHARE = 0.9  # learned speeds of equal upstreams differ by about a tenth
LATE_COST_MS = 400.0  # makes an upstream that would be late the last choice for most tasks
LATE_MARGIN = 1.15  # queueing and calls to the upstream use part of the objective as well
UNUSED_CPU_COST_MS = 0.0002  # per millicore that stays free; prefers the tightest fit


@dataclass(frozen=True, slots=True)
class UpstreamCandidate:
    """An upstream that accepts work, with its free capacity and its relative speed."""

    id: str
    pool: str
    available: Resources
    speed: float
    labels: tuple[str, ...]
    idle: bool = True


@dataclass(frozen=True, slots=True)
class TaskRequirements:
    """What a waiting task needs, its expected work and where it may run."""

    pool: str
    needs: Resources
    work_ms: float
    required_label: str = ""
    data_rack: str = ""
    objective_ms: float = inf
    """Preferred maximum run time; upstreams that would exceed it cost more."""
    limit_ms: float = inf
    """Required maximum run time; upstreams that would exceed it are never chosen."""
    excluded: frozenset[str] = frozenset()
    needs_idle: bool = False
    """Whether nothing else may run on the upstream."""


def compute_run_time_limit(work_ms: float, left_ms: float, fast_speed: float) -> float:
    """Return the longest run time in milliseconds that a task may have on its upstream.

    That is the time left until its deadline, or what a fast upstream takes if that is longer.
    """
    return max(left_ms, work_ms / (FAST_SPEED_SHARE * fast_speed))


def choose_upstream(
    requirements: TaskRequirements, candidates: Iterable[UpstreamCandidate]
) -> str | None:
    """Return the id of the eligible upstream with the lowest cost, or None if there is none.

    Balances long and short tasks over upstreams of different speeds: long tasks gain most from a
    fast upstream, so short ones leave it free unless all others would be late, and a task that only
    a fast upstream can finish in time waits for one.
    """
    eligible = [candidate for candidate in candidates if _is_eligible(requirements, candidate)]
    if not eligible:
        return None
    return min(eligible, key=lambda candidate: _compute_cost(requirements, candidate)).id


def _is_eligible(requirements: TaskRequirements, candidate: UpstreamCandidate) -> bool:
    return (
        candidate.pool == requirements.pool
        and requirements.needs.fits_in(candidate.available)
        and candidate.id not in requirements.excluded
        and (candidate.idle or not requirements.needs_idle)
        and requirements.work_ms / candidate.speed <= requirements.limit_ms
        and _has_label(candidate.labels, requirements.required_label)
    )


def _has_label(labels: Collection[str], label: str) -> bool:
    return not label or label in labels


def _compute_cost(requirements: TaskRequirements, candidate: UpstreamCandidate) -> float:
    local = _has_label(candidate.labels, requirements.data_rack)
    work_ms = requirements.work_ms if local else requirements.work_ms * REMOTE_DATA_FACTOR
    unused_millicores = candidate.available.cpu_millicores - requirements.needs.cpu_millicores
    elapsed_ms = work_ms / candidate.speed
    late = elapsed_ms * LATE_MARGIN > requirements.objective_ms
    return (
        elapsed_ms
        + SPEED_COST_MS * candidate.speed
        + UNUSED_CPU_COST_MS * unused_millicores
        + (LATE_COST_MS if late else 0)
    )

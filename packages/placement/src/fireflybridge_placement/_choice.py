"""Choice of the upstream that runs a task."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from math import inf

from fireflybridge_jobs import Resources

RESERVE_MS = 200.0  # price of one unit of speed; keeps fast upstreams for long tasks
REMOTE_DATA_FACTOR = 3.0  # how much longer a task takes off the rack of its data
LATE_PRICE_MS = 400.0  # makes an upstream that would be late the last choice for most tasks
LATE_MARGIN = 1.15  # waiting and calls take a part of the objective as well
CPU_PRICE_MS = 0.0002  # for each free thousandth of a core left over; fills upstreams up


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe the room and speed of an upstream that takes work."""

    id: str
    pool: str
    room: Resources
    speed: float
    labels: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Demand:
    """Describe a task that waits: what it needs, its expected work and where it may run."""

    pool: str
    needs: Resources
    work_ms: float
    required_label: str = ""
    data_rack: str = ""
    objective_ms: float = inf
    """Time in which the task should be done; a later upstream is a last choice."""
    limit_ms: float = inf
    """Time in which the task must be done; upstreams that are too slow for it are passed over."""
    excluded: frozenset[str] = frozenset()


def choose_upstream(demand: Demand, candidates: Iterable[Candidate]) -> str | None:
    """Return the id of the upstream with the lowest cost in time, or None if none has room.

    Answers a mix of long and short tasks on upstreams of different speeds: long tasks gain most
    from a fast upstream, so short ones leave it free unless nothing else would be in time, and a
    task that only a fast upstream can finish in time waits for one.
    """
    fitting = [candidate for candidate in candidates if _fits(demand, candidate)]
    if not fitting:
        return None
    return min(fitting, key=lambda candidate: _compute_cost(demand, candidate)).id


def _fits(demand: Demand, candidate: Candidate) -> bool:
    return (
        candidate.pool == demand.pool
        and demand.needs.fits_in(candidate.room)
        and candidate.id not in demand.excluded
        and demand.work_ms / candidate.speed <= demand.limit_ms
        and _carries(candidate.labels, demand.required_label)
    )


def _carries(labels: Collection[str], label: str) -> bool:
    return not label or label in labels


def _compute_cost(demand: Demand, candidate: Candidate) -> float:
    local = _carries(candidate.labels, demand.data_rack)
    work_ms = demand.work_ms if local else demand.work_ms * REMOTE_DATA_FACTOR
    left = candidate.room.cpu_millicores - demand.needs.cpu_millicores
    elapsed_ms = work_ms / candidate.speed
    late = elapsed_ms * LATE_MARGIN > demand.objective_ms
    return (
        elapsed_ms
        + RESERVE_MS * candidate.speed
        + CPU_PRICE_MS * left
        + (LATE_PRICE_MS if late else 0)
    )

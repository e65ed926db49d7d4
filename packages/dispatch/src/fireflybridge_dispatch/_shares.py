"""Fair shares of a pool's slots between teams."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from fireflybridge_tables import Quota

# Time constant of average use: a team that used little in this time may start a large job
# immediately.
USE_DECAY_S = 5.0
NEAR_SHARE_FRACTION = 0.9  # of the fair share, around which a team's use fluctuates
# Fraction of the slots. Under general overload several teams use small shares; their single
# requests still overtake large jobs, which keeps more jobs within their windows.
FLOOD_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class AverageUse:
    """Hold a recency-weighted average of the slots in use, as of ``at`` on the queue's clock."""

    slots: float
    at: float


def update_average_use(use: AverageUse, running: int, now: float) -> AverageUse:
    """Return the average after ``running`` slots were in use since the last update."""
    decay = math.exp((use.at - now) / USE_DECAY_S)
    return AverageUse(running + (use.slots - running) * decay, now)


@dataclass(frozen=True, slots=True)
class Demand:
    """Hold the slots that a team would use without competition, and its weight."""

    slots: float
    weight: float


def find_demand(use: AverageUse, queued_s: float, weight: float) -> Demand:
    """Return the demand of a team that has ``queued_s`` slot seconds of work waiting."""
    return Demand(use.slots + queued_s / USE_DECAY_S, weight)


def find_fair_slots(slots: float, demands: Iterable[Demand]) -> float:
    """Return the max-min fair share of ``slots`` per unit of weight.

    Teams that demand less than their share get their demand; the rest is divided between the
    others. The result is infinite if there is enough for all.
    """
    waiting = sorted(demands, key=lambda demand: demand.slots / demand.weight)
    weight_sum = sum(demand.weight for demand in waiting)
    for demand in waiting:
        level = slots / weight_sum
        if demand.slots > level * demand.weight:
            return level
        slots -= demand.slots
        weight_sum -= demand.weight
    return math.inf


def is_flooding(use: AverageUse, weight: float, fair_slots: float, slots: int) -> bool:
    """Return whether a team uses about its fair share or more, and a large part of the slots."""
    return use.slots >= max(NEAR_SHARE_FRACTION * fair_slots * weight, FLOOD_FRACTION * slots)


def rank_team(running: int, tasks: int, weight: float, fair_slots: float) -> float:
    """Return the rank of a team: the slots per unit of weight that it holds once ``tasks`` run.

    The team with the lowest rank is served next. Slots in use are compared, not past use, so a team
    with new work is served until it holds as many slots per weight as the others, whatever they
    have queued. Waiting tasks count up to the fair share of ``fair_slots`` per unit of weight, so a
    single request overtakes another team's large job, but does not cut into its fair share.

    ``tasks`` are those of the next job, or all queued tasks of a flooding team. Otherwise a team
    with many small jobs would rank as if one task waited, and take slots from a team with a large
    job that holds far fewer.
    """
    return running / weight + min(tasks / weight, fair_slots)


def limit_slots(quota: Quota, slots: int) -> int:
    """Return the number of slots that a quota allows a team at the same time, at least one."""
    return max(1, int(quota.max_share * slots + 1e-9))

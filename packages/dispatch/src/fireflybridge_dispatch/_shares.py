"""Fair shares of a pool's slots between teams."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from fireflybridge_tables import Quota

USE_MEMORY_S = 5.0  # a team may run a large job at once if it used little in this time
NEAR_SHARE = 0.9  # of the fair share; use varies from one moment to the next around the share
# Of the slots. Under a general overload several teams use small shares; the single requests of
# those still pass large jobs, which keeps more jobs within their windows.
FLOOD_PART = 0.25


@dataclass(frozen=True, slots=True)
class Use:
    """Hold the slots a team used on average of late, as of ``at`` on the queue's clock."""

    slots: float
    at: float


def average_use(use: Use, running: int, now: float) -> Use:
    """Return the average use after ``running`` slots were in use since the last one."""
    fade = math.exp((use.at - now) / USE_MEMORY_S)
    return Use(running + (use.slots - running) * fade, now)


@dataclass(frozen=True, slots=True)
class Demand:
    """Hold the slots that a team would use if it got all it asks for, and its weight."""

    slots: float
    weight: float


def find_demand(use: Use, queued_s: float, weight: float) -> Demand:
    """Return the demand of a team that has ``queued_s`` slot seconds of work waiting."""
    return Demand(use.slots + queued_s / USE_MEMORY_S, weight)


def find_fair_slots(slots: float, demands: Iterable[Demand]) -> float:
    """Return the slots for a unit of weight that share out ``slots`` fairly.

    Teams that ask for less than their share get what they ask for; the rest is divided between
    the others. Infinite if there is enough for all.
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


def is_flooding(use: Use, weight: float, fair_slots: float, slots: int) -> bool:
    """Say whether a team uses its fair share and a large part of the slots."""
    return use.slots >= max(NEAR_SHARE * fair_slots * weight, FLOOD_PART * slots)


def rank_share(running: int, tasks: int, weight: float, fair_slots: float) -> float:
    """Return the rank of a team: the slots for its weight that it holds once ``tasks`` run.

    The lowest is next. Slots in use are compared, not past use, so a team that comes with new work
    is served until it holds as many slots for its weight as the others, whatever they have
    queued. Waiting tasks count up to the team's fair share of ``fair_slots`` per unit of weight,
    so a single request passes another team's large job, but not its fair share. ``tasks`` are those
    of the next job, or all of a flooding team: with many small jobs it would rank as if one task
    waited, and take slots from a team that comes with a large job and holds far fewer.
    """
    return running / weight + min(tasks / weight, fair_slots)


def limit_slots(quota: Quota, slots: int) -> int:
    """Return the number of slots that a team may use at once, at least one."""
    return max(1, int(quota.max_share * slots + 1e-9))

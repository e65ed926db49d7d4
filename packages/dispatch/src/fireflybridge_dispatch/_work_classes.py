"""Classes of short and long work, and the slots that each may use."""

from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache

LONG_RATIO = 6.0  # to the lower quartile of the pool's run times
SHORT_RATIO = 4.5  # a long kind of task becomes short below this; the gap avoids flapping
LONG_CEILING = 0.6  # fraction of the slots; the rest stays free for short work
LONG_FLOOR = 0.2  # fraction of the slots; long work that waits gets at least these
# Short tasks that may start before a waiting long one if the floor is below one slot.
MAX_OVERTAKES = 16


class WorkClass(IntEnum):
    """Class of a kind of task by its run time."""

    SHORT = 0
    LONG = 1


@dataclass(frozen=True, slots=True)
class LongLimits:
    """Hold the most slots that long work may use, and the least it gets while it waits."""

    floor: int
    ceiling: int


def classify(typical_s: float, reference_s: float, previous: WorkClass) -> WorkClass:
    """Return the class of a kind of task from its typical run time and the pool's reference."""
    ratio = SHORT_RATIO if previous is WorkClass.LONG else LONG_RATIO
    return WorkClass.LONG if typical_s > ratio * reference_s else WorkClass.SHORT


@lru_cache(maxsize=256)
def find_long_limits(slots: int) -> LongLimits:
    """Return the limits of long work on a number of slots."""
    return LongLimits(int(LONG_FLOOR * slots), max(1, int(LONG_CEILING * slots)))


_SHORT_ONLY = (WorkClass.SHORT,)
_SHORT_FIRST = (WorkClass.SHORT, WorkClass.LONG)
_LONG_FIRST = (WorkClass.LONG, WorkClass.SHORT)


def order_classes(limits: LongLimits, running_long: int, overtakes: int) -> tuple[WorkClass, ...]:
    """Return the classes that the next free slot may serve, the preferred one first.

    Long work never starves: it gets the next free slot while fewer than ``floor`` slots run it or,
    if the floor is below one slot, after ``MAX_OVERTAKES`` short starts.
    """
    if running_long >= limits.ceiling:
        return _SHORT_ONLY
    if running_long < limits.floor or (limits.floor == 0 and overtakes >= MAX_OVERTAKES):
        return _LONG_FIRST
    return _SHORT_FIRST

"""Short and long work, and the slots that each may take."""

from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache

LONG_RATIO = 6.0  # of the lower quartile of the pool's run times
SHORT_RATIO = 4.5  # a long kind of task becomes short again below this, so that it does not flap
LONG_CEILING = 0.6  # of the slots; the rest stays free for short work
LONG_FLOOR = 0.2  # of the slots; long work that waits gets at least these
LONG_PASSES = 16  # short starts that pass a waiting long task where the floor is below one slot


class WorkClass(IntEnum):
    """Name the class of a kind of task."""

    SHORT = 0
    LONG = 1


@dataclass(frozen=True, slots=True)
class LongLimits:
    """Hold the slots that long work may take, and those it gets whenever it waits."""

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


def order_classes(limits: LongLimits, running_long: int, passes: int) -> tuple[WorkClass, ...]:
    """Return the classes that the next free slot may serve, the preferred one first.

    Long work never starves: while fewer than ``floor`` slots run it, the next free slot is its
    own; where the floor is below one slot, it is after ``LONG_PASSES`` short starts.
    """
    if running_long >= limits.ceiling:
        return _SHORT_ONLY
    if running_long < limits.floor or (limits.floor == 0 and passes >= LONG_PASSES):
        return _LONG_FIRST
    return _SHORT_FIRST

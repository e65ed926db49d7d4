"""Slots that a queue can count on, and what runs on them."""

from fireflybridge_dispatch._classes import WorkClass, find_long_limits, order_classes
from fireflybridge_dispatch._shares import Use, average_use

# A backlog younger than this may still be pulled by other daemons; an older one was not wanted.
PULL_GRACE_S = 0.25


class SlotUse:
    """Count the slots of all daemons and of this one, and the tasks that run on them."""

    def __init__(self, slots: int, now: float) -> None:
        self.total = self.local = slots
        self.running = [0 for _ in WorkClass]
        self.backlog_since: float | None = None
        self._remote = 0
        self._passes = 0
        self._long_use = Use(find_long_limits(slots).ceiling, now)

    def start(self, work_class: WorkClass, remote: bool, long_queued: int) -> None:
        """Count a task that starts."""
        self.running[work_class] += 1
        self._remote += remote
        if work_class is WorkClass.LONG:
            self._passes = 0
        elif long_queued:
            self._passes += 1

    def end(self, work_class: WorkClass, remote: bool) -> None:
        """Count a task that ended or was not run."""
        self.running[work_class] -= 1
        self._remote -= remote

    def order(self) -> tuple[WorkClass, ...]:
        """Return the classes that the next free slot may serve, the preferred one first."""
        limits = find_long_limits(self.local + self._remote)
        return order_classes(limits, self.running[WorkClass.LONG], self._passes)

    def count(self, now: float) -> int:
        """Return the slots that the backlog can count on."""
        young = self.backlog_since is None or now - self.backlog_since < PULL_GRACE_S
        return max(1, self.total if young else self.local + self._remote)

    def count_for(self, work_class: WorkClass, long_queued: int, now: float) -> float:
        """Return the slots that a class can count on beside the other class."""
        slots = self.count(now)
        limits = find_long_limits(slots)
        long_use = min(max(self._long_use.slots, limits.floor), limits.ceiling)
        if work_class is WorkClass.LONG:
            return max(1.0, long_use)
        return max(1.0, slots - (long_use if long_queued else self.running[WorkClass.LONG]))

    def sample_long(self, long_queued: int, now: float) -> None:
        """Learn how many slots long work gets of late: what it uses, or what it could use."""
        usable = self.running[WorkClass.LONG]
        if not long_queued:
            idle = self.count(now) - sum(self.running)
            usable = min(find_long_limits(self.count(now)).ceiling, usable + max(0, idle))
        self._long_use = average_use(self._long_use, usable, now)

"""Slots that serve a queue, and the tasks that run on them."""

from fireflybridge_dispatch._shares import AverageUse, update_average_use
from fireflybridge_dispatch._work_classes import WorkClass, find_long_limits, order_classes

# Other daemons may still pull from a backlog younger than this; an older one was left by them.
PULL_GRACE_S = 0.25


class SlotUsage:
    """Count the slots of all daemons and of this daemon, and the tasks that run on them.

    ``backlog_since`` is when the queue last became non-empty, or None if it was seen empty since.
    """

    def __init__(self, slots: int, now: float) -> None:
        self.total = self.local = slots
        self.running = [0 for _ in WorkClass]
        self.backlog_since: float | None = None
        self._remote = 0
        self._overtakes = 0
        self._long_use = AverageUse(find_long_limits(slots).ceiling, now)

    def start(self, work_class: WorkClass, remote: bool, long_queued: int) -> None:
        """Record that a task starts; ``remote`` tasks were pulled by another daemon."""
        self.running[work_class] += 1
        self._remote += remote
        if work_class is WorkClass.LONG:
            self._overtakes = 0
        elif long_queued:
            self._overtakes += 1

    def end(self, work_class: WorkClass, remote: bool) -> None:
        """Record that a task ended or was not run."""
        self.running[work_class] -= 1
        self._remote -= remote

    def list_classes(self) -> tuple[WorkClass, ...]:
        """List the classes that the next free slot may serve, the preferred one first."""
        limits = find_long_limits(self.local + self._remote)
        return order_classes(limits, self.running[WorkClass.LONG], self._overtakes)

    def count(self, now: float) -> int:
        """Return the number of slots that can serve the backlog."""
        is_recent = self.backlog_since is None or now - self.backlog_since < PULL_GRACE_S
        return max(1, self.total if is_recent else self.local + self._remote)

    def count_for_class(self, work_class: WorkClass, long_queued: int, now: float) -> float:
        """Return the number of slots that can serve a class while the other class uses the rest."""
        slots = self.count(now)
        limits = find_long_limits(slots)
        long_use = min(max(self._long_use.slots, limits.floor), limits.ceiling)
        if work_class is WorkClass.LONG:
            return max(1.0, long_use)
        return max(1.0, slots - (long_use if long_queued else self.running[WorkClass.LONG]))

    def sample_long_use(self, long_queued: int, now: float) -> None:
        """Update the average number of slots that long work uses, or could use if none waits."""
        usable = self.running[WorkClass.LONG]
        if not long_queued:
            idle = self.count(now) - sum(self.running)
            usable = min(find_long_limits(self.count(now)).ceiling, usable + max(0, idle))
        self._long_use = update_average_use(self._long_use, usable, now)

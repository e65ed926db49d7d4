"""Tasks outside the team queues: put back without having run, or pinned to this daemon."""

from dataclasses import dataclass

from fireflybridge_core import Task, TaskId
from fireflybridge_dispatch._backlog import Team
from fireflybridge_dispatch._work_classes import WorkClass

AVOID_S = 1.0  # time for which a task avoids upstreams that did not start it


@dataclass(frozen=True, slots=True)
class RequeuedTask:
    """Hold a task outside the team queues, and the upstreams it avoids until ``avoid_until``.

    A task ``from_peer`` entered at another daemon, where it counts against its team's limit.
    """

    task: Task
    team: Team
    work_class: WorkClass
    avoided: frozenset[str]
    avoid_until: float
    from_peer: bool = False


def may_take(requeued: RequeuedTask, upstream: str, now: float) -> bool:
    """Return whether a slot of the upstream may take a requeued task now."""
    if requeued.task.deadline <= now or (requeued.team.blocked and not requeued.from_peer):
        return False
    return upstream not in requeued.avoided or now >= requeued.avoid_until


class RequeuedTasks:
    """Hold the requeued tasks of one pool.

    There is at most one for each slot that took a task, besides the pinned tasks of other daemons.
    """

    def __init__(self) -> None:
        self._tasks: dict[TaskId, RequeuedTask] = {}
        self._avoided: dict[TaskId, frozenset[str]] = {}
        self._pinned: set[TaskId] = set()
        self._from_peers: set[TaskId] = set()

    @property
    def pinned(self) -> int:
        """Return the number of waiting tasks that other daemons must not pull."""
        return sum(task_id in self._pinned for task_id in self._tasks) if self._pinned else 0

    def pin(self, task_id: TaskId, from_peer: bool) -> None:
        """Prevent other daemons from pulling a task until it ends.

        ``from_peer`` states that another daemon sent it.
        """
        self._pinned.add(task_id)
        if from_peer:
            self._from_peers.add(task_id)

    def __len__(self) -> int:
        return len(self._tasks)

    def add(
        self, task: Task, team: Team, work_class: WorkClass, avoid: frozenset[str], now: float
    ) -> None:
        """Add a task that was not started; it avoids the given upstreams for ``AVOID_S``."""
        avoided = self._avoided.get(task.id, frozenset()) | avoid
        if avoided:
            self._avoided[task.id] = avoided
        from_peer = task.id in self._from_peers
        self._tasks[task.id] = RequeuedTask(
            task, team, work_class, avoided, now + AVOID_S, from_peer
        )

    def take(self, upstream: str, now: float) -> RequeuedTask | None:
        """Remove and return the first task that a slot of the upstream may take.

        An empty upstream means that another daemon takes it.
        """
        for requeued in self._tasks.values():
            if not upstream and requeued.task.id in self._pinned:
                continue
            if may_take(requeued, upstream, now):
                return self._tasks.pop(requeued.task.id)
        return None

    def forget(self, task_id: TaskId) -> None:
        """Drop the state of a task that ended."""
        self._avoided.pop(task_id, None)
        self._pinned.discard(task_id)
        self._from_peers.discard(task_id)

    def remove_key(self, key: str) -> tuple[RequeuedTask, ...]:
        """Remove and return the tasks of a submission."""
        return self._remove([found for found in self._tasks.values() if found.task.id.key == key])

    def remove_expired(self, now: float) -> tuple[RequeuedTask, ...]:
        """Remove and return the tasks whose deadline has passed."""
        return self._remove([found for found in self._tasks.values() if found.task.deadline <= now])

    def _remove(self, found: list[RequeuedTask]) -> tuple[RequeuedTask, ...]:
        """Remove the given tasks with their state."""
        for requeued in found:
            del self._tasks[requeued.task.id]
            self.forget(requeued.task.id)
        return tuple(found)

"""Tasks that were taken but not run, and wait for another upstream."""

from dataclasses import dataclass

from fireflybridge_core import Task, TaskId
from fireflybridge_dispatch._backlog import Team
from fireflybridge_dispatch._work_classes import WorkClass

AVOID_S = 1.0  # time for which a task is kept from upstreams that did not start it


@dataclass(frozen=True, slots=True)
class ReturnedTask:
    """Hold a task that was put back, and the upstreams it avoids until ``avoid_until``.

    A task ``from_peer`` entered at another daemon, where it counts against its team's limit.
    """

    task: Task
    team: Team
    work_class: WorkClass
    avoided: frozenset[str]
    avoid_until: float
    from_peer: bool = False


def may_take(returned: ReturnedTask, upstream: str, now: float) -> bool:
    """Say whether a slot of the upstream may take a returned task now."""
    if returned.task.deadline <= now or (returned.team.blocked and not returned.from_peer):
        return False
    return upstream not in returned.avoided or now >= returned.avoid_until


class ReturnedTasks:
    """Hold the returned tasks of one pool, at most one for each slot that took a task."""

    def __init__(self) -> None:
        self._tasks: dict[TaskId, ReturnedTask] = {}
        self._avoided: dict[TaskId, frozenset[str]] = {}
        self._pinned: set[TaskId] = set()
        self._from_peers: set[TaskId] = set()

    @property
    def pinned(self) -> int:
        """Return the number of waiting tasks that must stay in this daemon."""
        return sum(task_id in self._pinned for task_id in self._tasks) if self._pinned else 0

    def pin(self, task_id: TaskId, from_peer: bool) -> None:
        """Keep a task in this daemon until it ends; ``from_peer`` if another daemon sent it."""
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
        self._tasks[task.id] = ReturnedTask(
            task, team, work_class, avoided, now + AVOID_S, from_peer
        )

    def take(self, upstream: str, now: float) -> ReturnedTask | None:
        """Remove and return the first task that a slot of the upstream may take.

        An empty upstream stands for another daemon.
        """
        for returned in self._tasks.values():
            if not upstream and returned.task.id in self._pinned:
                continue
            if may_take(returned, upstream, now):
                return self._tasks.pop(returned.task.id)
        return None

    def forget(self, task_id: TaskId) -> None:
        """Drop the state of a task that ended."""
        self._avoided.pop(task_id, None)
        self._pinned.discard(task_id)
        self._from_peers.discard(task_id)

    def remove_key(self, key: str) -> tuple[ReturnedTask, ...]:
        """Remove and return the tasks of a submission."""
        return self._remove([found for found in self._tasks.values() if found.task.id.key == key])

    def remove_expired(self, now: float) -> tuple[ReturnedTask, ...]:
        """Remove and return the tasks whose deadline has passed."""
        return self._remove([found for found in self._tasks.values() if found.task.deadline <= now])

    def _remove(self, found: list[ReturnedTask]) -> tuple[ReturnedTask, ...]:
        """Remove the given tasks with their state."""
        for returned in found:
            del self._tasks[returned.task.id]
            self.forget(returned.task.id)
        return tuple(found)

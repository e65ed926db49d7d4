"""Tasks that were taken but not run, waiting for another upstream."""

from dataclasses import dataclass

from fireflybridge_core import Task, TaskId
from fireflybridge_dispatch._backlog import Team
from fireflybridge_dispatch._classes import WorkClass

AVOID_S = 1.0  # a task stays away this long from upstreams that did not start it


@dataclass(frozen=True, slots=True)
class Returned:
    """Hold a task that was put back, and the upstreams it avoids until ``avoid_until``.

    A ``foreign`` task entered at another daemon, where it counts against its team's limit.
    """

    task: Task
    team: Team
    work_class: WorkClass
    tried: frozenset[str]
    avoid_until: float
    foreign: bool = False


def may_take(returned: Returned, upstream: str, now: float) -> bool:
    """Say whether a slot of the upstream may take a returned task now."""
    if returned.task.deadline <= now or (returned.team.blocked and not returned.foreign):
        return False
    return upstream not in returned.tried or now >= returned.avoid_until


class ReturnedTasks:
    """Hold the returned tasks of one pool; there are at most as many as slots that took them."""

    def __init__(self) -> None:
        self._tasks: dict[TaskId, Returned] = {}
        self._tried: dict[TaskId, frozenset[str]] = {}
        self._pinned: set[TaskId] = set()
        self._foreign: set[TaskId] = set()

    @property
    def pinned(self) -> int:
        """Return how many of the waiting tasks must stay in this daemon."""
        return sum(task_id in self._pinned for task_id in self._tasks) if self._pinned else 0

    def pin(self, task_id: TaskId, foreign: bool) -> None:
        """Keep a task, be it another daemon's, from being moved on until it has ended."""
        self._pinned.add(task_id)
        if foreign:
            self._foreign.add(task_id)

    def __len__(self) -> int:
        return len(self._tasks)

    def add(
        self, task: Task, team: Team, work_class: WorkClass, avoid: frozenset[str], now: float
    ) -> None:
        """Hold a task that was not started, and the upstreams that it avoids for a time."""
        tried = self._tried.get(task.id, frozenset()) | avoid
        if tried:
            self._tried[task.id] = tried
        foreign = task.id in self._foreign
        self._tasks[task.id] = Returned(task, team, work_class, tried, now + AVOID_S, foreign)

    def take(self, upstream: str, now: float) -> Returned | None:
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
        """Drop what is known of a task that ended."""
        self._tried.pop(task_id, None)
        self._pinned.discard(task_id)
        self._foreign.discard(task_id)

    def remove_key(self, key: str) -> tuple[Returned, ...]:
        """Remove and return the tasks of a submission."""
        return self._remove([one for one in self._tasks.values() if one.task.id.key == key])

    def remove_expired(self, now: float) -> tuple[Returned, ...]:
        """Remove and return the tasks whose deadline has passed."""
        return self._remove([one for one in self._tasks.values() if one.task.deadline <= now])

    def _remove(self, found: list[Returned]) -> tuple[Returned, ...]:
        """Remove the given tasks."""
        for returned in found:
            del self._tasks[returned.task.id]
            self.forget(returned.task.id)
        return tuple(found)

"""Fixture of the dispatch steps: a pool queue on a clock that the steps set."""

from dataclasses import dataclass, field

import anyio

from fireflybridge_core import Done, Task, TaskId
from fireflybridge_dispatch import PoolQueue
from fireflybridge_tables import Pool, Quota, Upstream

DONE = Done(200, "", b"", "")


@dataclass
class QueueFixture:
    """Hold a queue, its clock and the tasks that run."""

    upstreams: int
    slots: int
    quotas: tuple[Quota, ...] = ()
    now: float = 1000.0
    running: list[Task] = field(default_factory=list)
    serial: int = 0

    def __post_init__(self) -> None:
        self.queue = PoolQueue(self.make_pool(), lambda: self.now)

    def make_pool(self) -> Pool:
        """Return the pool with the current quotas."""
        return Pool(
            "p",
            tuple(
                Upstream(f"u{i}", f"127.0.0.1:{i + 1}", self.slots, 64, "d")
                for i in range(self.upstreams)
            ),
            quotas=self.quotas,
        )

    def make_job(
        self,
        tasks: int,
        team: str = "t",
        route: str = "r",
        expected_s: float = 0.3,
        window_s: float = 1000.0,
        key: str = "",
    ) -> tuple[Task, ...]:
        """Return the tasks of a new job whose deadline is ``window_s`` seconds from now."""
        self.serial += 1
        name = key or f"k{self.serial}"
        return tuple(
            Task(
                id=TaskId(name, i),
                route=route,
                pool="p",
                path="/",
                content_type="",
                body=b"",
                team=team,
                idempotent=True,
                expected_s=expected_s,
                timeout_s=60.0,
                deadline=self.now + window_s,
            )
            for i in range(tasks)
        )

    def take(self, upstream: str = "u0") -> Task | None:
        """Return a task for a slot of the upstream, or None if the slot would wait."""

        async def main() -> Task | None:
            with anyio.move_on_after(0):
                return await self.queue.take(upstream)
            return None

        task = anyio.run(main)
        if task is not None:
            self.running.append(task)
        return task

    def take_all(self) -> None:
        """Take a task on every free slot."""
        for i in range(self.upstreams * self.slots - len(self.running)):
            self.take(f"u{i % self.upstreams}")

    def run(self, route: str, expected_s: float, run_s: float, times: int = 40) -> None:
        """Run tasks of a route one after the other, each for ``run_s`` seconds."""
        for _ in range(times):
            self.queue.put(self.make_job(1, route=route, expected_s=expected_s))
            task = self.take()
            assert task is not None
            self.running.remove(task)
            self.queue.finish(task, DONE, run_s)

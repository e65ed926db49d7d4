"""Run one policy over the arrivals in virtual time."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio

from fireflybridge_core import Done, Task, TaskId
from fireflybridge_standins.policy_probe._baselines import Policy
from fireflybridge_standins.policy_probe._virtual import run_virtual
from fireflybridge_standins.policy_probe._workload import SLOTS, Arrival, list_speeds

EXPIRY_S = 0.1
TIMEOUT_S = 300.0


@dataclass(frozen=True, slots=True)
class Result:
    """Hold what became of one job; times in seconds, ``None`` where it was not answered whole."""

    arrival: Arrival
    admitted: bool
    response_s: float | None
    first_wait_s: float | None

    @property
    def served(self) -> bool:
        """Say whether the whole answer came within the window."""
        return self.response_s is not None and self.response_s <= self.arrival.kind.window_s


class _Run:
    """Own the records of one run."""

    def __init__(self, policy: Policy, arrivals: Sequence[Arrival]) -> None:
        self.policy = policy
        self.arrivals = arrivals
        self.jobs = {arrival.key: arrival for arrival in arrivals}
        self.left = {arrival.key: len(arrival.sizes_s) for arrival in arrivals}
        self.admitted: set[str] = set()
        self.ended: dict[str, float] = {}
        self.waits: dict[str, float] = {}

    async def offer_jobs(self) -> None:
        """Offer each job at its time."""
        for arrival in self.arrivals:
            await anyio.sleep(arrival.at_s - anyio.current_time())
            tasks = make_tasks(arrival, anyio.current_time())
            if self.policy.admit(tasks):
                self.admitted.add(arrival.key)
                self.policy.put(tasks)

    async def run_slot(self, upstream: str, speed: float) -> None:
        """Run one task after the other."""
        done = Done(200, "", b"", upstream)
        while True:
            task = await self.policy.take(upstream)
            now = anyio.current_time()
            job = self.jobs[task.id.key]
            if now >= task.deadline:
                self.policy.finish(task, done, 0.0)
                continue
            self.waits.setdefault(job.key, now - job.at_s)
            run_s = job.sizes_s[task.id.index] / speed
            await anyio.sleep(run_s)
            self.policy.finish(task, done, run_s)
            self.left[job.key] -= 1
            if self.left[job.key] == 0:
                self.ended[job.key] = anyio.current_time()

    async def expire(self) -> None:
        """Drop expired tasks several times a second."""
        while True:
            await anyio.sleep(EXPIRY_S)
            self.policy.expire()

    async def run(self) -> None:
        """Run all slots until the last window has closed."""
        last = max(one.at_s + one.kind.window_s for one in self.arrivals)
        async with anyio.create_task_group() as group:
            group.start_soon(self.expire)
            for upstream, speed in list_speeds().items():
                for _ in range(SLOTS):
                    group.start_soon(self.run_slot, upstream, speed)
            await self.offer_jobs()
            await anyio.sleep(last - anyio.current_time() + 1.0)
            group.cancel_scope.cancel()

    def list_results(self) -> list[Result]:
        """Return what became of each job."""
        return [
            Result(
                one,
                one.key in self.admitted,
                self.ended[one.key] - one.at_s if one.key in self.ended else None,
                self.waits.get(one.key),
            )
            for one in self.arrivals
        ]


def make_tasks(arrival: Arrival, now: float) -> tuple[Task, ...]:
    """Return the tasks of a job."""
    kind = arrival.kind
    return tuple(
        Task(
            TaskId(arrival.key, index),
            kind.route,
            "workers",
            "/",
            "",
            b"",
            arrival.team,
            idempotent=True,
            expected_s=kind.declared_s,
            timeout_s=TIMEOUT_S,
            deadline=now + kind.window_s,
        )
        for index in range(len(arrival.sizes_s))
    )


def run_policy(make_policy: Callable[[], Policy], arrivals: Sequence[Arrival]) -> list[Result]:
    """Run a policy over the arrivals and return what became of each job."""

    async def main() -> list[Result]:
        run = _Run(make_policy(), arrivals)
        await run.run()
        return run.list_results()

    return run_virtual(main)

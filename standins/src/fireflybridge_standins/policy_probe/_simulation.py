"""Simulation of one policy with a sequence of arrivals in virtual time."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio

from fireflybridge_core import Done, Task, TaskId
from fireflybridge_standins.policy_probe._baselines import Policy
from fireflybridge_standins.policy_probe._virtual_time import run_in_virtual_time
from fireflybridge_standins.policy_probe._workload import SLOTS, Arrival, list_speeds

EXPIRY_INTERVAL_S = 0.1
TASK_TIMEOUT_S = 300.0


@dataclass(frozen=True, slots=True)
class Result:
    """Result of one job; times in seconds.

    ``response_s`` is ``None`` if the job was not completely answered, ``first_wait_s`` is ``None``
    if none of its tasks started.
    """

    arrival: Arrival
    admitted: bool
    response_s: float | None
    first_wait_s: float | None

    @property
    def served(self) -> bool:
        """Whether the job was completely answered within its window."""
        return self.response_s is not None and self.response_s <= self.arrival.kind.window_s


class _Simulation:
    """State of one simulation."""

    def __init__(self, policy: Policy, arrivals: Sequence[Arrival]) -> None:
        self.policy = policy
        self.arrivals = arrivals
        self.jobs = {arrival.key: arrival for arrival in arrivals}
        self.unfinished = {arrival.key: len(arrival.run_times_s) for arrival in arrivals}
        self.admitted: set[str] = set()
        self.ended_at_s: dict[str, float] = {}
        self.first_waits_s: dict[str, float] = {}

    async def offer_jobs(self) -> None:
        """Offer each job to the policy at its arrival time."""
        for arrival in self.arrivals:
            await anyio.sleep(arrival.at_s - anyio.current_time())
            tasks = make_tasks(arrival, anyio.current_time())
            if self.policy.admit(tasks):
                self.admitted.add(arrival.key)
                self.policy.put(tasks)

    async def run_slot(self, upstream: str, speed: float) -> None:
        """Run one task at a time and discard those whose deadline has passed."""
        done = Done(200, "", b"", upstream)
        while True:
            task = await self.policy.take(upstream)
            now = anyio.current_time()
            job = self.jobs[task.id.key]
            if now >= task.deadline:
                self.policy.finish(task, done, 0.0)
                continue
            self.first_waits_s.setdefault(job.key, now - job.at_s)
            run_s = job.run_times_s[task.id.index] / speed
            await anyio.sleep(run_s)
            self.policy.finish(task, done, run_s)
            self.unfinished[job.key] -= 1
            if self.unfinished[job.key] == 0:
                self.ended_at_s[job.key] = anyio.current_time()

    async def expire(self) -> None:
        """Make the policy drop expired tasks periodically."""
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_S)
            self.policy.expire()

    async def run(self) -> None:
        """Run all slots until the last window has ended."""
        end_s = max(arrival.at_s + arrival.kind.window_s for arrival in self.arrivals)
        async with anyio.create_task_group() as group:
            group.start_soon(self.expire)
            for upstream, speed in list_speeds().items():
                for _ in range(SLOTS):
                    group.start_soon(self.run_slot, upstream, speed)
            await self.offer_jobs()
            await anyio.sleep(end_s - anyio.current_time() + 1.0)
            group.cancel_scope.cancel()

    def list_results(self) -> list[Result]:
        """Return the result of each job."""
        return [
            Result(
                arrival,
                arrival.key in self.admitted,
                (
                    self.ended_at_s[arrival.key] - arrival.at_s
                    if arrival.key in self.ended_at_s
                    else None
                ),
                self.first_waits_s.get(arrival.key),
            )
            for arrival in self.arrivals
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
            timeout_s=TASK_TIMEOUT_S,
            deadline=now + kind.window_s,
        )
        for index in range(len(arrival.run_times_s))
    )


def run_policy(make_policy: Callable[[], Policy], arrivals: Sequence[Arrival]) -> list[Result]:
    """Simulate a policy in virtual time and return the result of each job."""

    async def main() -> list[Result]:
        run = _Simulation(make_policy(), arrivals)
        await run.run()
        return run.list_results()

    return run_in_virtual_time(main)

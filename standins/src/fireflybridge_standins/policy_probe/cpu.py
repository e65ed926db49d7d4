"""Print the CPU time per task of put, take and finish for jobs of several sizes."""

import sys
import time
from collections import deque

import anyio

from fireflybridge_core import Done, Task, TaskId
from fireflybridge_dispatch import PoolQueue
from fireflybridge_standins.policy_probe._workload import SLOTS, UPSTREAMS, make_pool

TASKS = 30_000
TEAMS = 100
ROUNDS = 3
FAR_DEADLINE_S = 1e9


def make_jobs(tasks: int) -> list[tuple[Task, ...]]:
    """Return jobs with a number of tasks each, submitted by 100 teams in turn."""
    return [
        tuple(
            Task(
                TaskId(f"job-{job}", index),
                "place-check",
                "workers",
                "/",
                "",
                b"",
                f"team-{job % TEAMS}",
                idempotent=True,
                expected_s=0.1,
                timeout_s=1.0,
                deadline=FAR_DEADLINE_S,
            )
            for index in range(tasks)
        )
        for job in range(TASKS // tasks)
    ]


async def measure(tasks: int, admit: bool) -> float:
    """Return the CPU time per task in microseconds, with all slots busy.

    The tasks of each job are taken right after the job is queued.
    """
    queue = PoolQueue(make_pool(), time.monotonic)
    names = [f"worker-{index:02}" for index in range(UPSTREAMS)]
    running: deque[Task] = deque()
    done = Done(200, "", b"", names[0])
    jobs = make_jobs(tasks)
    start = time.process_time()
    for job in jobs:
        if admit:
            queue.admit(job)
        queue.put(job)
        for task in job:
            running.append(await queue.take(names[task.id.index % UPSTREAMS]))
            if len(running) >= UPSTREAMS * SLOTS:
                queue.finish(running.popleft(), done, 0.1)
    return (time.process_time() - start) / TASKS * 1e6


def main() -> int:
    """Print the minimum of three rounds for each number of tasks in a job."""
    print("| tasks per job | put, take, finish: us per task | with admit |")
    print("| --- | --- | --- |")
    for tasks in (1, 30, 300):
        without_admit_us, with_admit_us = (
            min(anyio.run(measure, tasks, admit) for _ in range(ROUNDS)) for admit in (False, True)
        )
        print(f"| {tasks} | {without_admit_us:.1f} | {with_admit_us:.1f} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())

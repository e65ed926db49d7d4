"""Replays a trace against daemons or against a baseline."""

import random
import time
from collections.abc import Awaitable, Callable, Sequence

import anyio
import httpx

from fireflybridge_standins.bench._baselines import Baseline
from fireflybridge_standins.bench._results import JobResult
from fireflybridge_standins.bench._trace import TraceJob

RunJob = Callable[[int, TraceJob], Awaitable[JobResult]]
REQUEST_TIMEOUT_S = 60.0
HTTP_COMPLETE = 200
# Simulates an uneven load balancer: the first daemon gets three times the jobs of each other one.
FIRST_DAEMON_WEIGHT = 3


async def replay(jobs: Sequence[TraceJob], run_job: RunJob) -> list[JobResult]:
    """Send each job at its arrival time and return the results after the last one has ended."""
    results: list[JobResult] = []

    async def run_one(index: int, job: TraceJob) -> None:
        results.append(await run_job(index, job))

    started = time.monotonic()
    async with anyio.create_task_group() as group:
        for index, job in enumerate(jobs):
            await anyio.sleep(max(0.0, started + job.at_s - time.monotonic()))
            group.start_soon(run_one, index, job)
    return results


async def replay_baseline(jobs: Sequence[TraceJob], baseline: Baseline) -> list[JobResult]:
    """Replay a trace against a baseline in this process."""

    async def run_job(index: int, job: TraceJob) -> JobResult:
        started = time.monotonic()
        answered = await baseline.run_job(f"job-{index}", job)
        return JobResult(job, answered, False, time.monotonic() - started)

    async with anyio.create_task_group() as group:
        baseline.start(group)
        results = await replay(jobs, run_job)
        group.cancel_scope.cancel()
    return results


async def replay_daemons(
    jobs: Sequence[TraceJob], addresses: Sequence[str], seed: int
) -> list[JobResult]:
    """Replay a trace over HTTP against the callers' ports of daemons."""
    rng = random.Random(seed)
    weights = [FIRST_DAEMON_WEIGHT] + [1] * (len(addresses) - 1)
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(
        trust_env=False, timeout=REQUEST_TIMEOUT_S, limits=limits
    ) as client:
        prefixes = [
            (await client.post(f"http://{address}/v1/key-prefixes")).json()["prefix"]
            for address in addresses
        ]

        async def run_job(index: int, job: TraceJob) -> JobResult:
            daemon_index = rng.choices(range(len(addresses)), weights)[0]
            body = {
                "route": job.kind.route,
                "deadline_ms": job.kind.window_ms,
                "tasks": [{"body": text} for text in job.bodies],
            }
            headers = {
                "Idempotency-Key": f"{prefixes[daemon_index]}.{index}",
                "Fireflybridge-Team": job.team,
            }
            started = time.monotonic()
            response = await client.post(
                f"http://{addresses[daemon_index]}/v1/jobs", json=body, headers=headers
            )
            elapsed_s = time.monotonic() - started
            return _evaluate_response(job, response, elapsed_s)

        return await replay(jobs, run_job)


def _evaluate_response(job: TraceJob, response: httpx.Response, elapsed_s: float) -> JobResult:
    if response.status_code != HTTP_COMPLETE:
        refused = response.json().get("ran") == "not-run"
        return JobResult(job, False, refused, elapsed_s)
    bodies = tuple(task["body"] for task in response.json()["tasks"])
    answered = bodies == tuple(f"answer:{body}" for body in job.bodies)
    return JobResult(job, answered, False, elapsed_s)

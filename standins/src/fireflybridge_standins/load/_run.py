"""Run a load plan: one task for each connection."""

import itertools
import time
from collections import Counter
from collections.abc import Iterator

import anyio
import msgspec

from fireflybridge_standins.load._client import Response, connect
from fireflybridge_standins.load._plan import Plan, Report

FIRST_ERROR_STATUS = 400


class PrefixBody(msgspec.Struct, frozen=True):
    """Response body of ``POST /v1/key-prefixes``."""

    prefix: str


class JobBody(msgspec.Struct, frozen=True):
    """Fields of a response to a job that are checked."""

    state: str
    tasks: list[msgspec.Raw]


class ProblemBody(msgspec.Struct, frozen=True):
    """Problem type of an error response."""

    type: str


class _ResponseStats:
    """Counts of responses and their response times."""

    def __init__(self) -> None:
        self.answers: Counter[str] = Counter()
        self.tasks_done = 0
        self.times_s: list[float] = []

    def record(self, response: Response, size: int, elapsed_s: float) -> None:
        """Count one response; raise ``ValueError`` for a success that lacks tasks."""
        self.times_s.append(elapsed_s)
        if response.status >= FIRST_ERROR_STATUS:
            self.answers[msgspec.json.decode(response.body, type=ProblemBody).type] += 1
            return
        self.answers["complete"] += 1
        if size == 0:
            self.tasks_done += 1
            return
        job = msgspec.json.decode(response.body, type=JobBody)
        if job.state != "complete" or len(job.tasks) != size:
            raise ValueError(
                f"response with status {response.status} contains {len(job.tasks)} tasks"
            )
        self.tasks_done += size

    def get_quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the response times in milliseconds."""
        if not self.times_s:
            return 0.0
        ordered = sorted(self.times_s)
        return 1000 * ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


async def run_load(plan: Plan) -> Report:
    """Send the submissions of a plan and return the report."""
    stats = _ResponseStats()
    numbers = iter(range(plan.count))
    cpu_s, started = time.process_time(), time.monotonic()
    async with anyio.create_task_group() as group:
        for address, _ in zip(itertools.cycle(plan.addresses), range(plan.connections)):
            group.start_soon(_send_submissions, plan, address, numbers, started, stats)
    return Report(
        submissions=sum(stats.answers.values()),
        answers=dict(stats.answers),
        tasks_done=stats.tasks_done,
        elapsed_s=time.monotonic() - started,
        cpu_s=time.process_time() - cpu_s,
        p50_ms=stats.get_quantile_ms(0.5),
        p99_ms=stats.get_quantile_ms(0.99),
    )


async def _send_submissions(
    plan: Plan, address: str, numbers: Iterator[int], started: float, stats: _ResponseStats
) -> None:
    """Send submissions over one connection; the connections share the iterator of numbers."""
    client = await connect(address)
    prefix_response = await client.post("/v1/key-prefixes", {}, b"")
    prefix = msgspec.json.decode(prefix_response.body, type=PrefixBody).prefix
    job = {"route": plan.route, "tasks": [{"body": plan.body}] * plan.size}
    body = msgspec.json.encode(job) if plan.size else plan.body.encode()
    path = "/v1/jobs" if plan.size else f"/v1/requests/{plan.route}"
    for number in numbers:
        if time.monotonic() - started > plan.seconds:
            return
        headers = {
            "Idempotency-Key": f"{prefix}.{number}",
            "Fireflybridge-Team": f"team-{number % plan.teams}",
            "Content-Type": "text/plain",
        }
        sent = time.monotonic()
        response = await client.post(path, headers, body)
        stats.record(response, plan.size, time.monotonic() - sent)

"""Run a load plan: one task for each connection."""

import itertools
import time
from collections import Counter
from collections.abc import Iterator

import anyio
import msgspec

from fireflybridge_standins.load._client import Reply, connect
from fireflybridge_standins.load._plan import Plan, Report

FIRST_ERROR_STATUS = 400


class PrefixBody(msgspec.Struct, frozen=True):
    """The issued prefix in an answer to ``POST /v1/key-prefixes``."""

    prefix: str


class JobAnswer(msgspec.Struct, frozen=True):
    """The parts of a complete job's answer that are counted."""

    state: str
    tasks: list[msgspec.Raw]


class ProblemBody(msgspec.Struct, frozen=True):
    """The type of a refusal."""

    type: str


class _Tally:
    """Count answers and keep response times."""

    def __init__(self) -> None:
        self.answers: Counter[str] = Counter()
        self.tasks_done = 0
        self.times_s: list[float] = []

    def note(self, reply: Reply, size: int, elapsed_s: float) -> None:
        """Count one answer."""
        self.times_s.append(elapsed_s)
        if reply.status >= FIRST_ERROR_STATUS:
            self.answers[msgspec.json.decode(reply.body, type=ProblemBody).type] += 1
            return
        self.answers["complete"] += 1
        if size == 0:
            self.tasks_done += 1
            return
        answer = msgspec.json.decode(reply.body, type=JobAnswer)
        if answer.state != "complete" or len(answer.tasks) != size:
            raise ValueError(
                f"an answer with status {reply.status} holds {len(answer.tasks)} tasks"
            )
        self.tasks_done += size

    def find_ms(self, quantile: float) -> float:
        """Return a quantile of the response times in milliseconds."""
        if not self.times_s:
            return 0.0
        ordered = sorted(self.times_s)
        return 1000 * ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


async def run_load(plan: Plan) -> Report:
    """Send the submissions of a plan and count their answers."""
    tally = _Tally()
    numbers = iter(range(plan.count))
    cpu_s, started = time.process_time(), time.monotonic()
    async with anyio.create_task_group() as group:
        for address, _ in zip(itertools.cycle(plan.addresses), range(plan.connections)):
            group.start_soon(_serve_connection, plan, address, numbers, started, tally)
    return Report(
        submissions=sum(tally.answers.values()),
        answers=dict(tally.answers),
        tasks_done=tally.tasks_done,
        elapsed_s=time.monotonic() - started,
        cpu_s=time.process_time() - cpu_s,
        p50_ms=tally.find_ms(0.5),
        p99_ms=tally.find_ms(0.99),
    )


async def _serve_connection(
    plan: Plan, address: str, numbers: Iterator[int], started: float, tally: _Tally
) -> None:
    client = await connect(address)
    issued = await client.post("/v1/key-prefixes", {}, b"")
    prefix = msgspec.json.decode(issued.body, type=PrefixBody).prefix
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
        reply = await client.post(path, headers, body)
        tally.note(reply, plan.size, time.monotonic() - sent)

"""Send a recorded trace to a daemon and count the outcomes."""

import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import anyio
from result import Err, Ok

from fireflybridge_cli._client import Client, Exchange, Job, NoResponse, Response
from fireflybridge_cli._commands import Replay
from fireflybridge_cli._job_commands import request_key_prefix
from fireflybridge_cli._recorded_trace import RecordedJob, parse_trace
from fireflybridge_cli._report import ExitCode, Report, Row, clear_progress, report_progress

PROGRESS_EVERY_JOBS = 50
PERCENTILES = (50, 95, 99)


@dataclass(slots=True)
class ReplayStatistics:
    """Count jobs and tasks by outcome, and as ``late`` jobs delayed by the concurrency limit."""

    jobs: Counter[str] = field(default_factory=Counter)
    tasks: Counter[str] = field(default_factory=Counter)
    response_s: list[float] = field(default_factory=list)
    late: int = 0

    def add(self, job: RecordedJob, exchange: Exchange, response_s: float) -> None:
        """Count one job's answer."""
        self.jobs[classify_exchange(exchange)] += 1
        self.tasks.update(classify_tasks(job, exchange))
        self.response_s.append(response_s)


def classify_exchange(exchange: Exchange) -> str:
    """Return the name of a job's outcome."""
    match exchange:
        case Ok(Response(200)):
            return "complete"
        case Ok(Response(status, data)):
            kind = str(data.get("type", "")).rpartition(":")[2] or f"status-{status}"
            return "failed" if kind == "job-failed" else f"refused: {kind}"
        case Err(NoResponse(may_be_sent=True)):
            return "no answer"
        case Err(_):
            return "not sent"


def classify_tasks(job: RecordedJob, exchange: Exchange) -> Mapping[str, int]:
    """Count a job's tasks by what is known about their execution."""
    count = len(job.bodies)
    match exchange:
        case Ok(Response(data={"tasks": list(tasks)})) if len(tasks) == count:
            return Counter(
                str(task.get("ran", "unknown")) if isinstance(task, dict) else "unknown"
                for task in tasks
            )
        case Ok(Response(data={"ran": str(ran)})):
            return {ran: count}
        case Err(NoResponse(may_be_sent=False)):
            return {"not-run": count}
        case _:
            return {"unknown": count}


async def replay(command: Replay) -> Report:
    """Send the jobs of a trace at their times, with bounded concurrency."""
    try:
        lines = Path(command.path).read_text("utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        return Report(ExitCode.USAGE, f"can't read the trace {command.path}: {error}")
    match parse_trace(lines):
        case Err(faults):
            rows = [{"line": fault.line, "fault": fault.detail} for fault in faults]
            return Report(ExitCode.USAGE, f"{command.path} is not a trace", rows)
        case Ok(jobs):
            pass
    async with Client(command.daemon, command.timeout_s, command.concurrency) as client:
        match await request_key_prefix(client):
            case Err(message):
                return Report(ExitCode.NOT_DONE, f"{message}; nothing was sent")
            case Ok(prefix):
                statistics = await _send_jobs(client, prefix, jobs[: command.max_jobs], command)
    return _report_statistics(statistics)


async def _send_jobs(
    client: Client, prefix: str, jobs: Sequence[RecordedJob], command: Replay
) -> ReplayStatistics:
    statistics = ReplayStatistics()
    semaphore = anyio.Semaphore(command.concurrency)

    async def send(number: int, recorded: RecordedJob) -> None:
        job = Job(
            f"{prefix}.{number}",
            recorded.route,
            recorded.bodies,
            recorded.team,
            command.deadline_ms,
        )
        started = time.monotonic()
        exchange = await client.submit(job)
        statistics.add(recorded, exchange, time.monotonic() - started)
        semaphore.release()

    started = time.monotonic()
    async with anyio.create_task_group() as group:
        for number, recorded in enumerate(jobs):
            due = started + recorded.at_ms / 1000 / command.speed
            await anyio.sleep(max(0.0, due - time.monotonic()))
            statistics.late += semaphore.value == 0
            await semaphore.acquire()
            group.start_soon(send, number, recorded)
            if number % PROGRESS_EVERY_JOBS == 0:
                report_progress(f"sent {number} of {len(jobs)} jobs")
    clear_progress()
    return statistics


def _report_statistics(statistics: ReplayStatistics) -> Report:
    rows: list[Row] = [
        {"of": kind, "outcome": outcome, "count": count}
        for kind, counts in (("jobs", statistics.jobs), ("tasks", statistics.tasks))
        for outcome, count in sorted(counts.items())
    ]
    sent = sum(statistics.jobs.values())
    message = f"{sent} jobs, {statistics.late} sent late because all places were taken"
    if statistics.response_s:
        ordered = sorted(statistics.response_s)
        percentiles = (f"p{p} {_compute_percentile(ordered, p) * 1000:.1f} ms" for p in PERCENTILES)
        message += f"; response time {', '.join(percentiles)}"
    details = {
        "jobs": dict(statistics.jobs),
        "tasks": dict(statistics.tasks),
        "late": statistics.late,
        "response_ms": {
            f"p{p}": _compute_percentile(sorted(statistics.response_s), p) * 1000
            for p in PERCENTILES
        },
    }
    complete = statistics.jobs["complete"] == sent
    return Report(ExitCode.OK if complete else ExitCode.FAILED, message, rows, details)


def _compute_percentile(ordered: Sequence[float], percent: int) -> float:
    """Return the nearest-rank percentile of sorted values, 0 if there are none."""
    return ordered[max(0, -(-len(ordered) * percent // 100) - 1)] if ordered else 0.0

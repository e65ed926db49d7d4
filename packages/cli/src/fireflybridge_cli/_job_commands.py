"""The commands on jobs: submit, fetch and cancel."""

import secrets
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
from result import Err, Ok, Result

from fireflybridge_cli._client import Client, Exchange, Job, NoResponse, Response
from fireflybridge_cli._commands import Cancel, Fetch, Submit
from fireflybridge_cli._report import ExitCode, Report, Row, clear_progress, report_progress
from fireflybridge_core import MAX_TASKS_PER_JOB

RETRY_PAUSE_S = 0.5
# Problem types of a job that has ended; a cancellation answered with one of them has succeeded.
ENDED_JOB_PROBLEMS = frozenset({"cancelled", "job-failed"})


async def submit(command: Submit) -> Report:
    """Submit a job and report its answer."""
    match _read_bodies(command):
        case Err(message):
            return Report(ExitCode.USAGE, message)
        case Ok(bodies):
            pass
    async with Client(command.daemon, command.timeout_s) as client:
        match await _choose_key(client, command.key):
            case Err(report):
                return report
            case Ok(key):
                pass
        job = Job(
            key, command.route, bodies, command.team, command.deadline_ms, command.respond_async
        )
        report_progress(f"job {key}: waiting for {len(bodies)} tasks")
        exchange = await _submit_with_retries(client, job, command.attempts)
        clear_progress()
    return _report_exchange(exchange, key)


async def fetch(command: Fetch) -> Report:
    """Fetch a job's answer."""
    async with Client(command.daemon, command.timeout_s + command.wait_ms / 1000) as client:
        return _report_exchange(await client.fetch(command.key, command.wait_ms), command.key)


async def cancel(command: Cancel) -> Report:
    """Cancel a job."""
    async with Client(command.daemon, command.timeout_s) as client:
        report = _report_exchange(await client.cancel(command.key), command.key)
    ended = report.details.get("problem") in ENDED_JOB_PROBLEMS
    return replace(report, code=ExitCode.OK) if ended else report


async def request_key_prefix(client: Client) -> Result[str, str]:
    """Request a prefix for new keys from the daemon; return it, or why there is none."""
    match await client.fetch_prefix():
        case Ok(Response(status=201, data={"prefix": str(prefix)})):
            return Ok(prefix)
        case Ok(Response(status, data)):
            return Err(f"no key prefix: {status} {data.get('detail', '')}".rstrip())
        case Err(error):
            return Err(f"no key prefix: {error}")


async def _choose_key(client: Client, chosen: str) -> Result[str, Report]:
    if chosen:
        return Ok(chosen)
    prefix = await request_key_prefix(client)
    return prefix.map(lambda text: f"{text}.{secrets.token_hex(4)}").map_err(
        lambda message: Report(ExitCode.NOT_DONE, f"{message}; nothing was submitted")
    )


async def _submit_with_retries(client: Client, job: Job, attempts: int) -> Exchange:
    """Submit a job, and retry under the same key until a complete response arrives."""
    may_be_sent = False
    for attempt in range(1, attempts + 1):
        match await client.submit(job):
            case Ok(response):
                return Ok(response)
            case Err(NoResponse() as error):
                may_be_sent = may_be_sent or error.may_be_sent
        if attempt < attempts:
            await anyio.sleep(RETRY_PAUSE_S)
    return Err(NoResponse(error.url, error.detail, may_be_sent))


def _read_bodies(command: Submit) -> Result[tuple[str, ...], str]:
    lines: list[str] = []
    if command.path:
        try:
            text = (
                sys.stdin.read() if command.path == "-" else Path(command.path).read_text("utf-8")
            )
        except (OSError, UnicodeDecodeError) as error:
            return Err(f"can't read the tasks from {command.path}: {error}")
        lines = text.removesuffix("\n").split("\n") if text else []
    bodies = (*command.bodies, *lines)
    if not 1 <= len(bodies) <= MAX_TASKS_PER_JOB:
        return Err(f"a job has 1 to {MAX_TASKS_PER_JOB} tasks, not {len(bodies)}")
    return Ok(bodies)


def _report_exchange(exchange: Exchange, key: str) -> Report:
    match exchange:
        case Err(NoResponse(may_be_sent=True) as error):
            message = f"job {key} may have run: {error}. Fetch its answer under this key"
            return Report(ExitCode.UNKNOWN, message, details={"key": key})
        case Err(error):
            return Report(ExitCode.NOT_DONE, f"job {key} was not sent: {error}")
        case Ok(Response(200, data)):
            rows = _make_task_rows(data)
            return Report(ExitCode.OK, f"job {key} is complete", rows, {"key": key})
        case Ok(Response(202)):
            return Report(ExitCode.OK, f"job {key} is pending", details={"key": key})
        case Ok(Response(status, data)):
            return _report_problem(status, data, key)


def _report_problem(status: int, data: dict[str, Any], key: str) -> Report:
    ran, kind = data.get("ran"), str(data.get("type", "")).rpartition(":")[2]
    message = f"job {key}: {status} {kind or 'unexpected response'}: {data.get('detail', '')}"
    details = {"key": key, "ran": ran, "problem": kind}
    return Report(
        _choose_code(ran, kind), f"{message} (ran: {ran})", _make_task_rows(data), details
    )


def _choose_code(ran: Any, kind: str) -> ExitCode:
    match (ran, kind):
        case ("done", _):
            return ExitCode.FAILED
        case _ if kind in ENDED_JOB_PROBLEMS:
            return ExitCode.FAILED
        case ("not-run", _):
            return ExitCode.NOT_DONE
        case _:
            return ExitCode.UNKNOWN


def _make_task_rows(data: dict[str, Any]) -> list[Row]:
    tasks = data.get("tasks")
    listed = [task for task in tasks if isinstance(task, dict)] if isinstance(tasks, list) else []
    return [
        {
            "task": index,
            "ran": task.get("ran", ""),
            "status": task.get("status", ""),
            "result": task.get("body", task.get("cause", "")),
        }
        for index, task in enumerate(listed)
    ]

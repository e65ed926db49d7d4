"""Parse recorded traces, which list jobs with the times at which they are sent."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from fireflybridge_core import MAX_TASKS_PER_JOB

FIELDS = ("at_ms", "route", "team", "tasks")


@dataclass(frozen=True, slots=True)
class RecordedJob:
    """Hold one job of a trace; ``at_ms`` is relative to the start of the trace."""

    at_ms: float
    route: str
    team: str
    bodies: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TraceFault:
    """Describe a line that is not a valid job; lines are numbered from 1."""

    line: int
    detail: str


def parse_trace(lines: Iterable[str]) -> Result[tuple[RecordedJob, ...], tuple[TraceFault, ...]]:
    """Return the jobs sorted by time, or a fault for every invalid line; skip empty lines."""
    parsed = [
        _parse_line(number, line) for number, line in enumerate(lines, start=1) if line.strip()
    ]
    faults = tuple(item for item in parsed if isinstance(item, TraceFault))
    if faults:
        return Err(faults)
    jobs = (item for item in parsed if isinstance(item, RecordedJob))
    return Ok(tuple(sorted(jobs, key=lambda job: job.at_ms)))


def _parse_line(number: int, line: str) -> RecordedJob | TraceFault:
    try:
        data = json.loads(line)
    except (ValueError, RecursionError) as error:
        return TraceFault(number, f"not JSON: {error}")
    match data:
        case {"at_ms": int() | float() as at_ms, "route": str(route), "tasks": list(tasks)}:
            return _check_job(number, at_ms, route, data.get("team", ""), tasks)
        case _:
            return TraceFault(number, f"a job needs {', '.join(FIELDS)}")


def _check_job(
    number: int, at_ms: float, route: str, team: Any, tasks: list[Any]
) -> RecordedJob | TraceFault:
    if not 0 <= at_ms < float("inf"):
        return TraceFault(number, "at_ms must be 0 or more")
    if not isinstance(team, str) or not all(isinstance(body, str) for body in tasks):
        return TraceFault(number, "team and every task must be strings")
    if not 1 <= len(tasks) <= MAX_TASKS_PER_JOB:
        return TraceFault(number, f"a job has 1 to {MAX_TASKS_PER_JOB} tasks, not {len(tasks)}")
    return RecordedJob(at_ms, route, team, tuple(tasks))

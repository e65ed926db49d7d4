"""Parsing and checking of callers' HTTP requests."""

import re
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from fireflybridge_core import (
    MAX_KEY_LENGTH,
    MAX_TASKS_PER_JOB,
    ExecutionState,
    Payload,
    Problem,
    Refused,
    Submission,
)
from fireflybridge_front._problems import refuse_malformed

MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_TEAM = "default"
MAX_TEAM_LENGTH = 64
MAX_DEADLINE_MS = 3_600_000
DEADLINE_MS_PATTERN = re.compile(rb"[0-9]{1,7}")
MAX_HEADER_BYTES = 16 * 1024
# W3C Trace Context requires at least 512 characters; each queued task holds its trace state.
MAX_TRACESTATE_LENGTH = 512
TRACE_ID_SLICE = slice(3, 35)  # position in a traceparent header
# Visible ASCII and spaces, so that a key is the same text in a header and in a path.
HEADER_TEXT_PATTERN = re.compile(rb"[ -~]*")


class TaskBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema of one task in the JSON body of a job."""

    body: str


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Schema of the JSON body of a job."""

    route: str
    tasks: list[TaskBody]
    deadline_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Head:
    """Hold the values of the request headers that the API uses."""

    key: str
    team: str
    traceparent: str
    content_type: str
    respond_async: bool
    deadline_ms: int | None
    tracestate: str


def read_head(fields: Sequence[tuple[bytes, bytes]], traceparent: str) -> Result[Head, Refused]:
    """Read and check the headers of a request; ``traceparent`` is the context for its spans."""
    headers = dict(fields)
    raw_team = headers.get(b"fireflybridge-team", DEFAULT_TEAM.encode())
    deadline = headers.get(b"fireflybridge-deadline-ms", b"")
    refused = (
        _check_size(fields)
        or _check_header_text("Idempotency-Key", headers.get(b"idempotency-key", b""))
        or _check_header_text("Fireflybridge-Team", raw_team)
    )
    if refused is not None:
        return Err(refused)
    key = headers.get(b"idempotency-key", b"").decode().strip().strip('"')
    team = raw_team.decode()
    too_long = check_key(key)
    if too_long is not None:
        return Err(too_long)
    if not 0 < len(team) <= MAX_TEAM_LENGTH:
        return Err(
            refuse_malformed(f"Fireflybridge-Team must have 1 to {MAX_TEAM_LENGTH} characters")
        )
    is_number = DEADLINE_MS_PATTERN.fullmatch(deadline) is not None
    if deadline and not (is_number and 0 < int(deadline) <= MAX_DEADLINE_MS):
        return Err(refuse_malformed(f"Fireflybridge-Deadline-Ms must be 1 to {MAX_DEADLINE_MS}"))
    return Ok(
        Head(
            key=key,
            team=team,
            traceparent=traceparent,
            content_type=headers.get(b"content-type", b"application/octet-stream").decode(
                "latin-1"
            ),
            respond_async=b"respond-async" in headers.get(b"prefer", b""),
            deadline_ms=int(deadline) if deadline else None,
            tracestate=_read_tracestate(fields, traceparent),
        )
    )


def _read_tracestate(fields: Sequence[tuple[bytes, bytes]], traceparent: str) -> str:
    """Return the caller's trace state if the request continues the caller's trace.

    Members at the end of a state that is too long are dropped, as W3C Trace Context allows.
    """
    caller_traceparent = dict(fields).get(b"traceparent", b"").decode("latin-1")
    if not traceparent or traceparent[TRACE_ID_SLICE] != caller_traceparent[TRACE_ID_SLICE]:
        return ""
    state = b",".join(value for name, value in fields if name == b"tracestate")
    if not HEADER_TEXT_PATTERN.fullmatch(state):
        return ""
    if len(state) > MAX_TRACESTATE_LENGTH:
        state = state[: MAX_TRACESTATE_LENGTH + 1].rpartition(b",")[0]
    return state.decode().strip()


def check_key(key: str) -> Refused | None:
    """Return a refusal if the key is too long."""
    if len(key) <= MAX_KEY_LENGTH:
        return None
    detail = f"the key has {len(key)} characters; at most {MAX_KEY_LENGTH} are allowed"
    return Refused(Problem.KEY_TOO_LONG, ExecutionState.NOT_RUN, detail)


def _check_size(fields: Sequence[tuple[bytes, bytes]]) -> Refused | None:
    size = sum(len(name) + len(value) for name, value in fields)
    if size <= MAX_HEADER_BYTES:
        return None
    return refuse_malformed(f"the headers exceed {MAX_HEADER_BYTES} bytes")


def _check_header_text(name: str, value: bytes) -> Refused | None:
    if HEADER_TEXT_PATTERN.fullmatch(value):
        return None
    return refuse_malformed(f"{name} may hold only visible ASCII characters and spaces")


def read_job(head: Head, body: bytes) -> Result[Submission, Refused]:
    """Parse and check the JSON body of a job."""
    if not head.key:
        detail = "a job needs an Idempotency-Key header; get a prefix from POST /v1/key-prefixes"
        return Err(Refused(Problem.KEY_MISSING, ExecutionState.NOT_RUN, detail))
    try:
        job = msgspec.json.decode(body, type=JobBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(refuse_malformed(f"job body: {error}"))
    if len(job.tasks) > MAX_TASKS_PER_JOB:
        detail = f"the job has {len(job.tasks)} tasks; at most {MAX_TASKS_PER_JOB} are allowed"
        return Err(Refused(Problem.TOO_MANY_TASKS, ExecutionState.NOT_RUN, detail))
    if not job.tasks:
        return Err(refuse_malformed("the job has no tasks"))
    if job.deadline_ms is not None and not 0 < job.deadline_ms <= MAX_DEADLINE_MS:
        return Err(refuse_malformed(f"deadline_ms must be 1 to {MAX_DEADLINE_MS}"))
    payloads = tuple(Payload("text/plain", task.body.encode()) for task in job.tasks)
    return Ok(_make_submission(head, job.route, payloads, job.deadline_ms, is_job=True))


def read_single(head: Head, route: str, body: bytes) -> Submission:
    """Return the submission of a single request, whose body is sent to an upstream unchanged."""
    payloads = (Payload(head.content_type, body),)
    return _make_submission(head, route, payloads, head.deadline_ms, is_job=False)


def _make_submission(
    head: Head,
    route: str,
    payloads: tuple[Payload, ...],
    deadline_ms: int | None,
    *,
    is_job: bool,
) -> Submission:
    return Submission(
        key=head.key,
        route=route,
        team=head.team,
        payloads=payloads,
        is_job=is_job,
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        traceparent=head.traceparent,
        tracestate=head.tracestate,
    )

"""Callers' HTTP API as an ASGI application."""

import re
from collections.abc import Callable
from typing import Any
from urllib.parse import quote, unquote

import anyio
import msgspec
from result import Err, Ok

from fireflybridge_core import (
    Answer,
    Cause,
    Complete,
    Done,
    ExecutionState,
    Failed,
    MayHaveRun,
    NotRun,
    Outcome,
    Pending,
    Problem,
    Refused,
    summarize_execution,
)
from fireflybridge_front._interfaces import Dispatcher, IssuedPrefix, RequestTracer
from fireflybridge_front._problems import refuse_internal, refuse_malformed, render_problem
from fireflybridge_front._requests import (
    MAX_BODY_BYTES,
    Head,
    check_key,
    read_head,
    read_job,
    read_single,
)

JSON_TYPE = (b"content-type", b"application/json")
BODY_TIMEOUT_S = 10.0
MAX_DETAIL_CHARACTERS = 200
MAX_WAIT_S = 60.0
# Recorded in trace spans only, for a request that was abandoned before it had an answer.
CLIENT_CLOSED_REQUEST_STATUS = 499
WAIT_MS_PATTERN = re.compile(rb"(?:^|&)wait_ms=(\d{1,6})(?:&|$)")

HttpResponse = tuple[int, list[tuple[bytes, bytes]], bytes]


class CallersApp:
    """Serve the callers' port; each request is handled by one coroutine."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        tracer: RequestTracer,
        count_refusal: Callable[[Problem], None],
        report_failure: Callable[[Exception], None],
    ) -> None:
        self._dispatcher = dispatcher
        self._tracer = tracer
        self._count_refusal = count_refusal
        self._report_failure = report_failure

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one ASGI request."""
        if scope["type"] != "http":
            return
        status, headers, body = await self._respond_traced(scope, receive)
        headers.append((b"content-length", b"%d" % len(body)))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    async def _respond_traced(self, scope: Any, receive: Any) -> HttpResponse:
        caller_traceparent = dict(scope["headers"]).get(b"traceparent", b"").decode("latin-1")
        traceparent, span = self._tracer.begin_request("front", caller_traceparent)
        status = CLIENT_CLOSED_REQUEST_STATUS
        try:
            response = await self._respond(scope, receive, traceparent)
            status = response[0]
            return response
        except Exception as error:
            self._report_failure(error)
            response = self._render_refusal(
                refuse_internal(), request_ran=ExecutionState.MAY_HAVE_RUN
            )
            status = response[0]
            return response
        finally:
            self._tracer.end(span, status=status)

    async def _respond(self, scope: Any, receive: Any, traceparent: str) -> HttpResponse:
        body = await _read_body(receive)
        if isinstance(body, Refused):
            return self._render(body)
        match read_head(scope["headers"], traceparent):
            case Err(refused):
                return self._render(refused)
            case Ok(head):
                return await self._route(scope, head, body)

    async def _route(self, scope: Any, head: Head, body: bytes) -> HttpResponse:
        # Split before decoding, since a key may contain an encoded slash.
        segments = [unquote(part) for part in scope["raw_path"].decode("ascii").split("/")[1:]]
        match (scope["method"], segments):
            case ("GET" | "DELETE", ["v1", "jobs", key]) if refused := check_key(key):
                return self._render(refused)
            case ("POST", ["v1", "jobs"]):
                return await self._post_job(head, body)
            case ("GET", ["v1", "jobs", key]):
                wait_match = WAIT_MS_PATTERN.search(scope["query_string"])
                wait_s = min(int(wait_match[1]) / 1000, MAX_WAIT_S) if wait_match else 0.0
                return self._render(await self._dispatcher.fetch(key, wait_s), key)
            case ("DELETE", ["v1", "jobs", key]):
                return self._render(await self._dispatcher.cancel(key), key)
            case ("POST", ["v1", "requests", route]):
                answer = await self._dispatcher.submit(read_single(head, route, body))
                return self._render_single(answer)
            case ("POST", ["v1", "key-prefixes"]):
                return self._post_prefix()
            case (method, _):
                detail = f"no {method} {scope['path']} on the callers' port"[:MAX_DETAIL_CHARACTERS]
                return self._render(Refused(Problem.NOT_FOUND, ExecutionState.NOT_RUN, detail))

    async def _post_job(self, head: Head, body: bytes) -> HttpResponse:
        match read_job(head, body):
            case Err(refused):
                return self._render(refused)
            case Ok(submission) if head.respond_async:
                return self._render(await self._dispatcher.start(submission), head.key)
            case Ok(submission):
                return self._render(await self._dispatcher.submit(submission), head.key)

    def _post_prefix(self) -> HttpResponse:
        match self._dispatcher.issue_prefix():
            case IssuedPrefix(prefix=prefix, expires_in_s=expires_in_s):
                data = {"prefix": prefix, "expires_in_s": expires_in_s}
                return 201, [JSON_TYPE], msgspec.json.encode(data)
            case refused:
                return self._render(refused)

    def _render(self, answer: Answer, key: str = "") -> HttpResponse:
        match answer:
            case Complete(outcomes=outcomes):
                tasks = [describe_outcome(outcome) for outcome in outcomes]
                data = {"key": key, "state": "complete", "ran": ExecutionState.DONE, "tasks": tasks}
                return 200, [JSON_TYPE], msgspec.json.encode(data)
            case Pending():
                location = (b"location", f"/v1/jobs/{quote(key, safe='')}".encode())
                return 202, [JSON_TYPE, location], msgspec.json.encode({"state": "pending"})
            case Failed(outcomes=outcomes):
                tasks = [describe_outcome(outcome) for outcome in outcomes]
                problem = classify_failure(outcomes)
                refused = Refused(
                    problem, summarize_execution(outcomes), format_outcome_counts(outcomes)
                )
                members = {
                    "request_ran": refused.ran,
                    "key": key,
                    "state": "failed",
                    "tasks": tasks,
                }
                return self._render_refusal(refused, **members)
            case Refused():
                return self._render_refusal(answer)

    def _render_single(self, answer: Answer) -> HttpResponse:
        match answer:
            case Complete(outcomes=(done,)) | Failed(outcomes=(Done() as done,)):
                headers = [
                    (b"content-type", done.content_type.encode("latin-1", "replace")),
                    (b"fireflybridge-ran", b"done"),
                ]
                return done.status, headers, done.body
            case _:
                return self._render(answer)

    def _render_refusal(self, refused: Refused, **members: Any) -> HttpResponse:
        self._count_refusal(refused.problem)
        return render_problem(refused, **members)


def describe_outcome(outcome: Outcome) -> dict[str, Any]:
    """Return a task's outcome as JSON data."""
    match outcome:
        case Done(status=status, content_type=content_type, body=body):
            text = body.decode(errors="replace")
            return {"ran": "done", "status": status, "content_type": content_type, "body": text}
        case NotRun(cause=cause):
            return {"ran": "not-run", "cause": cause}
        case MayHaveRun(cause=cause):
            return {"ran": "may-have-run", "cause": cause}


def classify_failure(outcomes: tuple[Outcome, ...]) -> Problem:
    """Return the problem of a failed submission: cancelled if any task was cancelled before it ran."""
    cancelled = any(isinstance(o, NotRun) and o.cause is Cause.CANCELLED for o in outcomes)
    return Problem.CANCELLED if cancelled else Problem.JOB_FAILED


def format_outcome_counts(outcomes: tuple[Outcome, ...]) -> str:
    """Describe how many tasks are done, have not run, or may have run."""
    done = sum(isinstance(outcome, Done) for outcome in outcomes)
    not_run = sum(isinstance(outcome, NotRun) for outcome in outcomes)
    unknown = len(outcomes) - done - not_run
    return f"{done} tasks done, {not_run} not run, {unknown} may have run"


async def _read_body(receive: Any) -> bytes | Refused:
    chunks: list[bytes] = []
    size = 0
    more = True
    with anyio.move_on_after(BODY_TIMEOUT_S):
        while more:
            event = await receive()
            if event["type"] == "http.disconnect":
                return refuse_malformed("the caller closed the connection before the body ended")
            chunks.append(event.get("body", b""))
            size += len(chunks[-1])
            more = event.get("more_body", False)
            if size > MAX_BODY_BYTES:
                detail = f"the body exceeds {MAX_BODY_BYTES} bytes"
                return Refused(Problem.BODY_TOO_LARGE, ExecutionState.NOT_RUN, detail)
        return b"".join(chunks)
    return refuse_malformed(f"the body did not arrive within {BODY_TIMEOUT_S} s")

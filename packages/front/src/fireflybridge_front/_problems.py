"""Responses to refused requests, with RFC 9457 problem details."""

import math
from typing import Any

import msgspec

from fireflybridge_core import ExecutionState, Problem, Refused

PROBLEM_TYPE_BASE = "urn:fireflybridge:problem:"
PROBLEM_CONTENT_TYPE = b"application/problem+json"

STATUSES = {
    Problem.BODY_TOO_LARGE: 413,
    Problem.CANCELLED: 409,
    Problem.CONFLICT: 422,
    Problem.DRAINING: 503,
    Problem.EXECUTOR_GONE: 502,
    Problem.EXECUTOR_UNREACHABLE: 503,
    Problem.INTERNAL: 500,
    Problem.ISSUER_GONE: 502,
    Problem.JOB_FAILED: 502,
    Problem.KEY_EXPIRED: 410,
    Problem.KEY_MISSING: 400,
    Problem.KEY_TOO_LONG: 400,
    Problem.LOG_UNAVAILABLE: 503,
    Problem.MALFORMED: 400,
    Problem.NOT_FOUND: 404,
    Problem.NOT_READY: 503,
    Problem.OVERLOADED: 503,
    Problem.TOO_MANY_TASKS: 413,
    Problem.UNKNOWN_KEY: 404,
    Problem.UNKNOWN_ROUTE: 404,
    Problem.WINDOW_UNREACHABLE: 503,
}


def render_problem(
    refused: Refused, **members: Any
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Return status, headers and body of the response to a refused request."""
    status = STATUSES[refused.problem]
    body = {
        "type": PROBLEM_TYPE_BASE + refused.problem,
        "title": refused.problem.replace("-", " "),
        "status": status,
        "detail": refused.detail,
        "ran": str(refused.ran),
        "request_ran": str(ExecutionState.NOT_RUN),
        **members,
    }
    headers = [(b"content-type", PROBLEM_CONTENT_TYPE)]
    if refused.retry_after_s > 0:
        headers.append((b"retry-after", b"%d" % math.ceil(refused.retry_after_s)))
    return status, headers, msgspec.json.encode(body)


def render_invalid_http(
    status: int, max_header_bytes: int
) -> tuple[list[tuple[bytes, bytes]], bytes]:
    """Return headers and body of the response to bytes that are not an HTTP/1.1 request."""
    detail = f"the request is not valid HTTP/1.1, or its headers exceed {max_header_bytes} bytes"
    _, headers, body = render_problem(refuse_malformed(detail), status=status)
    headers += [(b"content-length", b"%d" % len(body)), (b"connection", b"close")]
    return headers, body


def refuse_internal() -> Refused:
    """Return the refusal of a request that failed on an internal error and may have started."""
    detail = "the daemon met a fault of its own, which its log names"
    return Refused(Problem.INTERNAL, ExecutionState.MAY_HAVE_RUN, detail)


def refuse_malformed(detail: str) -> Refused:
    """Return the refusal of a request that is not well-formed."""
    return Refused(Problem.MALFORMED, ExecutionState.NOT_RUN, detail)

"""Tasks of a submission and the digest of its content."""

import itertools

from fireflybridge_core import Submission, Task, TaskId, digest_content
from fireflybridge_tables import Route


def digest_submission(submission: Submission) -> bytes:
    """Return a digest that distinguishes a resubmission from other content under the same key."""
    parts = itertools.chain.from_iterable(
        (payload.content_type.encode(), payload.body) for payload in submission.payloads
    )
    return digest_content((submission.route.encode(), submission.team.encode(), *parts))


def make_tasks(key: str, submission: Submission, route: Route, now: float) -> tuple[Task, ...]:
    """Return the tasks of a submission accepted at the monotonic time ``now``."""
    allowed_s = submission.deadline_s or route.window_ms / 1000
    return tuple(
        Task(
            id=TaskId(key, index),
            route=route.name,
            pool=route.pool,
            path=route.path,
            content_type=payload.content_type,
            body=payload.body,
            team=submission.team,
            idempotent=route.idempotent and not submission.is_job,
            expected_s=route.expected_ms / 1000,
            timeout_s=route.timeout_ms / 1000,
            deadline=now + allowed_s,
            traceparent=submission.traceparent,
            tracestate=submission.tracestate,
        )
        for index, payload in enumerate(submission.payloads)
    )

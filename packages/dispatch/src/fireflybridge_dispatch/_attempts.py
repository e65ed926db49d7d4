"""Limit on the attempts to start a task."""

from dataclasses import replace

from fireflybridge_core import Cause, NotRun, Task

# A task is given to at most this many upstreams that do not start it. An upstream is ejected after
# five consecutive failures, so eight attempts outlast one upstream that fails everything.
MAX_ATTEMPTS = 8


def prepare_next_attempt(task: Task, upstream: str) -> Task | NotRun:
    """Return the task for its next attempt, or its outcome after the last attempt."""
    if task.attempt >= MAX_ATTEMPTS:
        return NotRun(Cause.ATTEMPTS_EXHAUSTED, upstream)
    return replace(task, attempt=task.attempt + 1)

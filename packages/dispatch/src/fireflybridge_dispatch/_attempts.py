"""Bound on the attempts of a task that never gets to run."""

from dataclasses import replace

from fireflybridge_core import Cause, NotRun, Task

# A task meets at most this many upstreams that do not start it. Ejection removes an upstream after
# five failures, so eight attempts outlast one upstream that fails everything.
MAX_ATTEMPTS = 8


def decide_return(task: Task, upstream: str) -> Task | NotRun:
    """Return the task for its next attempt, or its outcome after the last attempt."""
    if task.attempt >= MAX_ATTEMPTS:
        return NotRun(Cause.ATTEMPTS_EXHAUSTED, upstream)
    return replace(task, attempt=task.attempt + 1)

"""Refusals of submissions that this daemon must not start."""

from fireflybridge_claims import PrefixedKey, parse_key
from fireflybridge_core import ExecutionState, Problem, Refused, StepError
from fireflybridge_dispatch import NotAdmitted, RefusalCause

LOG_UNAVAILABLE_HINT = "use a key under a prefix from POST /v1/key-prefixes, which needs no log"


def refuse_conflict() -> Refused:
    """Return the refusal of a key that was used with other content."""
    detail = "the key was used with other content; the earlier submission may have run"
    return Refused(Problem.CONFLICT, ExecutionState.MAY_HAVE_RUN, detail)


def refuse_reserved(prefix: str) -> Refused:
    """Return the refusal of a key whose prefix is reserved for keys that the daemon generates."""
    detail = f"keys that start with {prefix} are reserved"
    return Refused(Problem.MALFORMED, ExecutionState.NOT_RUN, detail)


def refuse_draining(key: str, incarnation: str) -> Refused:
    """Return the refusal of a submission whose key is unknown here while this daemon shuts down.

    It cannot have run if this incarnation issued the key's prefix, since only this incarnation may
    start such keys.
    """
    match parse_key(key):
        case PrefixedKey(incarnation=issuer) if issuer == incarnation:
            ran = ExecutionState.NOT_RUN
        case _:
            ran = ExecutionState.MAY_HAVE_RUN
    return Refused(Problem.DRAINING, ran, "shutting down")


def refuse_may_have_run(problem: Problem, detail: str) -> Refused:
    """Return the refusal of a submission that an unreachable or former executor may have run."""
    return Refused(problem, ExecutionState.MAY_HAVE_RUN, detail)


def refuse_not_admitted(refused: NotAdmitted) -> Refused:
    """Return the refusal of a submission that was not admitted to the queue."""
    if refused.cause is RefusalCause.WINDOW_TOO_SHORT:
        detail = "the tasks alone take longer than the time allowed, even with nothing before them"
        return Refused(Problem.WINDOW_UNREACHABLE, ExecutionState.NOT_RUN, detail)
    return Refused(
        Problem.OVERLOADED, ExecutionState.NOT_RUN, str(refused.cause), refused.retry_after_s
    )


def refuse_log_unavailable(error: StepError, retry_after_s: float) -> Refused:
    """Return the refusal of a chosen key whose claim could not be decided through the log."""
    detail = f"{error}; {LOG_UNAVAILABLE_HINT}"
    return Refused(Problem.LOG_UNAVAILABLE, ExecutionState.MAY_HAVE_RUN, detail, retry_after_s)

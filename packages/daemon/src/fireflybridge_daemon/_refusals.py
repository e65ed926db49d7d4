"""Refusals of submissions that this daemon may not start."""

from fireflybridge_core import Problem, Ran, Refused, StepError

LOG_DOWN_HINT = "use a key under a prefix from POST /v1/key-prefixes, which needs no log"


def refuse_conflict() -> Refused:
    """Return the refusal of a key that belongs to other content."""
    detail = "the key was used with other content; the earlier submission may have run"
    return Refused(Problem.CONFLICT, Ran.MAY_HAVE_RUN, detail)


def refuse_gone(problem: Problem, detail: str) -> Refused:
    """Return the refusal of a submission that an unreachable or past executor may have run."""
    return Refused(problem, Ran.MAY_HAVE_RUN, detail)


def refuse_undecided(error: StepError, retry_after_s: float) -> Refused:
    """Return the refusal of a chosen key whose claim the log did not decide."""
    detail = f"{error}; {LOG_DOWN_HINT}"
    return Refused(Problem.LOG_UNAVAILABLE, Ran.MAY_HAVE_RUN, detail, retry_after_s)

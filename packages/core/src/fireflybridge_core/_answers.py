"""Answers to submissions."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from fireflybridge_core._outcomes import Done, MayHaveRun, NotRun, Outcome

FIRST_SERVER_ERROR_STATUS = 500


class ExecutionState(StrEnum):
    """What is known about the execution of a whole submission."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    DONE = "done"


class Problem(StrEnum):
    """Problem type of a refusal in the callers' API."""

    BODY_TOO_LARGE = "body-too-large"
    CANCELLED = "cancelled"
    CONFLICT = "conflict"
    DRAINING = "draining"
    EXECUTOR_GONE = "executor-gone"
    EXECUTOR_UNREACHABLE = "executor-unreachable"
    INTERNAL = "internal"
    ISSUER_GONE = "issuer-gone"
    JOB_FAILED = "job-failed"
    KEY_EXPIRED = "key-expired"
    KEY_MISSING = "key-missing"
    KEY_TOO_LONG = "key-too-long"
    LOG_UNAVAILABLE = "log-unavailable"
    MALFORMED = "malformed"
    NOT_FOUND = "not-found"
    NOT_READY = "not-ready"
    OVERLOADED = "overloaded"
    TOO_MANY_TASKS = "too-many-tasks"
    UNKNOWN_KEY = "unknown-key"
    UNKNOWN_ROUTE = "unknown-route"
    WINDOW_UNREACHABLE = "window-unreachable"


@dataclass(frozen=True, slots=True)
class Complete:
    """Every task has a result; ``outcomes`` holds them in task order."""

    outcomes: tuple[Done, ...]


@dataclass(frozen=True, slots=True)
class Failed:
    """At least one task has no usable result; ``outcomes`` holds all of them in task order."""

    outcomes: tuple[Outcome, ...]


@dataclass(frozen=True, slots=True)
class Pending:
    """The submission is accepted and has no answer yet."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused and has started nothing.

    ``ran`` covers the whole submission, including earlier requests under the same key.
    ``retry_after_s`` is 0 if no delay before a retry is suggested.
    """

    problem: Problem
    ran: ExecutionState
    detail: str
    retry_after_s: float = 0.0


Answer = Complete | Failed | Pending | Refused


def summarize_outcomes(outcomes: Sequence[Outcome]) -> Complete | Failed:
    """Return the answer to a submission whose tasks have all ended.

    A task whose upstream responded with a server error ran but has no usable result, so the
    submission has failed.
    """
    done = tuple(
        outcome
        for outcome in outcomes
        if isinstance(outcome, Done) and outcome.status < FIRST_SERVER_ERROR_STATUS
    )
    return Complete(done) if len(done) == len(outcomes) else Failed(tuple(outcomes))


def summarize_execution(outcomes: Sequence[Outcome]) -> ExecutionState:
    """Return what the outcomes tell about the execution of the whole submission."""
    if all(isinstance(outcome, NotRun) for outcome in outcomes):
        return ExecutionState.NOT_RUN
    if any(isinstance(outcome, MayHaveRun | NotRun) for outcome in outcomes):
        return ExecutionState.MAY_HAVE_RUN
    return ExecutionState.DONE

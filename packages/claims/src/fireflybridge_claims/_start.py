"""The executor's decision whether a submission may start after its claim was decided."""

from dataclasses import dataclass

from fireflybridge_claims._types import Conflict, Decision, Granted, HeldBy, Unavailable
from fireflybridge_core import StepError

# An attempt may start within this share of the retention after its claim was issued. Every reader
# remembers the claim for the whole retention, counted from a later time, so the rest (300 s of
# 600 s) covers clock drift and a pause between check and start, and a resubmission is recognized
# for at least that long after any start.
START_WINDOW_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Attempt:
    """Attempt of an executor; ``issued_s`` is the monotonic time before its claim was sent."""

    number: int
    issued_s: float


@dataclass(frozen=True, slots=True)
class Pending:
    """A caller waits for the decision on ``attempt``.

    ``abandoned`` lists earlier attempts for the key that were never started.
    """

    executor: str
    attempt: Attempt
    abandoned: tuple[Attempt, ...] = ()


@dataclass(frozen=True, slots=True)
class Forwarded:
    """A caller of another daemon waits; the claim was decided by that daemon.

    ``abandoned`` is empty when the executor does not know the key or no longer remembers it.
    """

    executor: str
    abandoned: tuple[Attempt, ...] = ()


@dataclass(frozen=True, slots=True)
class Abandoned:
    """No caller waits: each got the answer that its attempt was not run."""

    executor: str
    attempts: tuple[Attempt, ...]


@dataclass(frozen=True, slots=True)
class Started:
    """The submission was started by this executor, once."""

    executor: str
    attempt: int


LocalState = Pending | Forwarded | Abandoned | Started


@dataclass(frozen=True, slots=True)
class Start:
    """Start the submission now; its local state becomes ``Started``."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Join:
    """Return the answer of the submission that was already started, or wait for it."""


@dataclass(frozen=True, slots=True)
class AskExecutor:
    """Forward the submission to the executor; if it is gone, the submission may have run."""

    executor: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RefuseConflict:
    """Refuse: the key was claimed with different content."""

    executor: str


@dataclass(frozen=True, slots=True)
class RefuseMayHaveRun:
    """Refuse: an earlier attempt of the submission may have run."""


@dataclass(frozen=True, slots=True)
class RefuseUnavailable:
    """Refuse: this attempt has not run and will not run without a resubmission.

    It becomes an abandoned attempt. Whether an earlier submission of the key has run elsewhere is
    unknown, so "not run" is true only for a caller's first submission.
    """

    error: StepError
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Drop:
    """Do nothing: the decision arrived after the attempt was abandoned."""


StartDecision = (
    Start | Join | AskExecutor | RefuseConflict | RefuseMayHaveRun | RefuseUnavailable | Drop
)


def decide_start(
    local: LocalState, decision: Decision, now_s: float, retention_s: float
) -> StartDecision:
    """Return what the executor does with a decided claim.

    ``now_s`` and the times in ``local`` are readings of the same monotonic clock, in seconds. The
    caller keeps abandoned attempts for at least ``retention_s`` seconds or treats the key as
    unknown.
    """
    match local:
        case Started():
            return Join()
        case Abandoned():
            return Drop()
        case Forwarded(executor, abandoned):
            return _decide_waiting(executor, abandoned, decision, now_s, retention_s)
        case Pending(executor, attempt, abandoned):
            if isinstance(decision, Granted):
                decision = HeldBy(executor, attempt.number)
            own = (attempt, *abandoned)
            return _decide_waiting(executor, own, decision, now_s, retention_s)


def _decide_waiting(
    executor: str,
    startable: tuple[Attempt, ...],
    decision: Decision,
    now_s: float,
    retention_s: float,
) -> StartDecision:
    match decision:
        case HeldBy(holder, number) if holder == executor:
            window_s = START_WINDOW_SHARE * retention_s
            if any(a.number == number and now_s - a.issued_s < window_s for a in startable):
                return Start(number)
            return RefuseMayHaveRun()
        case HeldBy(holder, number):
            return AskExecutor(holder, number)
        case Conflict(holder):
            return RefuseConflict(holder)
        case Unavailable(error, retry_after_s):
            return RefuseUnavailable(error, retry_after_s)
        case Granted():  # granted to the forwarding daemon; only that one may act on it
            return RefuseMayHaveRun()

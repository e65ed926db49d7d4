"""Admission control: whether a submission can be answered within its window.

The window is the time from now to the submission's deadline.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

MAX_QUEUED = 20_000  # tasks; bounds the memory of one daemon's queue
NO_SLOTS_RETRY_S = 3.0  # time until the upstreams of a lost daemon have a new owner
QUEUE_FULL_RETRY_S = 1.0
MIN_RETRY_S = 0.1
MAX_WINDOW_FRACTION = 0.9  # the rest of the window allows for estimates that are too low
MIN_WINDOW_FRACTION = 0.3
WINDOW_DECREASE_FACTOR = 0.97  # applied at each check that finds expired tasks
WINDOW_INCREASE_STEP = 0.003  # added at each check that finds none


class RefusalCause(StrEnum):
    """Cause for which a submission is refused before anything started."""

    NO_SLOTS = "no-slots"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue-full"
    WINDOW_TOO_SHORT = "window-too-short"


@dataclass(frozen=True, slots=True)
class Admitted:
    """Admit the submission; ``response_s`` is its predicted response time."""

    response_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """Refuse the submission for ``cause``, with the seconds after which to try again.

    ``retry_after_s`` is 0 if no later attempt can succeed with a window of the same length.
    """

    cause: RefusalCause
    retry_after_s: float


Admission = Admitted | NotAdmitted


@dataclass(frozen=True, slots=True)
class TeamWork:
    """Hold the queued work of another team in slot seconds, and its weight."""

    work_s: float
    weight: float


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Describe a submission whose admission is to be decided.

    ``window_s`` is the time left to its deadline, ``work_s`` its own work in slot seconds,
    ``ahead_s`` the slot seconds of its team's jobs that are due earlier, and ``slots`` the slots
    that its team may use.
    """

    window_s: float
    work_s: float
    ahead_s: float
    typical_s: float
    high_s: float
    weight: float
    slots: float


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """Describe the load of the submission's work class.

    ``slots`` is the number of slots that serve the class. In slot seconds, ``ahead_s`` is the
    queued work that is due earlier, and ``overtaking_s`` the work that is expected to arrive later
    and be due earlier. ``window_fraction`` is the fraction of a window that a predicted response
    time may fill.
    """

    slots: float
    ahead_s: float
    overtaking_s: float
    window_fraction: float


def adapt_window_fraction(fraction: float, expired: int) -> float:
    """Return the new window fraction after a check that found ``expired`` expired tasks.

    Admitted tasks that expire show that predictions are too low, so less is admitted afterwards.
    """
    if expired:
        return max(MIN_WINDOW_FRACTION, fraction * WINDOW_DECREASE_FACTOR)
    return min(MAX_WINDOW_FRACTION, fraction + WINDOW_INCREASE_STEP)


def decide_admission(
    request: AdmissionRequest, load: ClassLoad, others: Iterable[TeamWork]
) -> Admission:
    """Decide whether the predicted response time fits the window.

    Teams are served side by side in proportion to their weights. Of another team's work, only what
    is served until this team's work is done delays the submission.
    """
    window_s = load.window_fraction * request.window_s
    last_run_s = request.high_s if request.high_s <= request.window_s / 2 else request.typical_s
    alone_s = request.work_s / min(load.slots, request.slots) + last_run_s
    if alone_s > request.window_s:
        return NotAdmitted(RefusalCause.WINDOW_TOO_SHORT, 0.0)
    own_s = request.ahead_s + request.work_s
    total_s = load.ahead_s + request.work_s
    wait_s = (total_s + load.overtaking_s) / load.slots
    if wait_s + last_run_s > window_s:
        fair_s = own_s + sum(min(t.work_s, own_s * t.weight / request.weight) for t in others)
        wait_s *= min(1.0, fair_s / total_s)
    response_s = max(wait_s, own_s / request.slots) + last_run_s
    if response_s > window_s and response_s > alone_s:
        return NotAdmitted(RefusalCause.OVERLOADED, max(MIN_RETRY_S, response_s - window_s))
    return Admitted(response_s)

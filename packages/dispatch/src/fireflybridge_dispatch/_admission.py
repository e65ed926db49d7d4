"""Admission: whether a submission can be answered within its window."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

MAX_QUEUED = 20_000  # tasks; bounds the memory of one daemon's queue
NO_SLOTS_RETRY_S = 3.0  # the time after which a lost daemon's upstreams have a new owner
QUEUE_FULL_RETRY_S = 1.0
MIN_RETRY_S = 0.1
MOST_OF_WINDOW = 0.9  # the rest of the window absorbs estimates that are too low
LEAST_OF_WINDOW = 0.3
WINDOW_CUT = 0.97  # for each check that finds admitted tasks expired
WINDOW_GAIN = 0.003  # for each check that finds none


class Refusal(StrEnum):
    """Name why a submission was refused before anything started."""

    NO_SLOTS = "no-slots"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue-full"
    WINDOW_TOO_SHORT = "window-too-short"


@dataclass(frozen=True, slots=True)
class Admitted:
    """State that the submission may enter; ``wait_s`` is its predicted response time."""

    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Refused:
    """State why a submission may not enter, and after how many seconds to try again.

    ``retry_after_s`` is 0 where no later attempt can succeed within the same window.
    """

    cause: Refusal
    retry_after_s: float


Admission = Admitted | Refused


@dataclass(frozen=True, slots=True)
class TeamWork:
    """Hold the queued work of a team in slot seconds, and its weight."""

    work_s: float
    weight: float


@dataclass(frozen=True, slots=True)
class Request:
    """Describe a submission that asks for admission.

    ``window_s`` is the time left to its deadline, ``work_s`` its own slot seconds, ``ahead_s`` the
    slot seconds of its team's jobs with an earlier deadline, ``slots`` what its team may use.
    """

    window_s: float
    work_s: float
    ahead_s: float
    typical_s: float
    high_s: float
    weight: float
    slots: float


@dataclass(frozen=True, slots=True)
class Load:
    """Describe the load of the request's class.

    ``slots`` serve the class. In slot seconds, ``ahead_s`` is the queued work with an earlier
    deadline, ``passing_s`` the work that is expected to arrive later with an earlier deadline.
    ``window_part`` is the part of a window that predictions may fill.
    """

    slots: float
    ahead_s: float
    passing_s: float
    window_part: float


def adapt_window_part(part: float, expired: int) -> float:
    """Return the part of a window that predictions may fill, after a check for expired tasks.

    Admitted tasks that expire show that predictions are too low; fewer are admitted then.
    """
    if expired:
        return max(LEAST_OF_WINDOW, part * WINDOW_CUT)
    return min(MOST_OF_WINDOW, part + WINDOW_GAIN)


def decide_admission(request: Request, load: Load, others: Iterable[TeamWork]) -> Admission:
    """Decide whether the predicted response time fits the window.

    Teams drain side by side in proportion to their weights, so of each other team only the work
    it can do while this team's drains comes before the request's end.
    """
    window_s = load.window_part * request.window_s
    tail_s = request.high_s if request.high_s <= request.window_s / 2 else request.typical_s
    alone_s = request.work_s / min(load.slots, request.slots) + tail_s
    if alone_s > request.window_s:
        return Refused(Refusal.WINDOW_TOO_SHORT, 0.0)
    own_s = request.ahead_s + request.work_s
    all_s = load.ahead_s + request.work_s
    wait_s = (all_s + load.passing_s) / load.slots
    if wait_s + tail_s > window_s:
        fair_s = own_s + sum(min(o.work_s, own_s * o.weight / request.weight) for o in others)
        wait_s *= min(1.0, fair_s / all_s)
    response_s = max(wait_s, own_s / request.slots) + tail_s
    if response_s > window_s and response_s > alone_s:
        return Refused(Refusal.OVERLOADED, max(MIN_RETRY_S, response_s - window_s))
    return Admitted(response_s)

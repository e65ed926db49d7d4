"""Admission: whether a submission can be answered within its window."""

from dataclasses import dataclass
from enum import StrEnum


class Refusal(StrEnum):
    """Name why a submission was refused before anything started."""

    NO_SLOTS = "no-slots"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue-full"
    WINDOW_TOO_SHORT = "window-too-short"


@dataclass(frozen=True, slots=True)
class Admitted:
    """State that the submission may enter the queue; ``wait_s`` is the predicted response time."""

    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Refused:
    """State why a submission may not enter, and after how many seconds to try again."""

    cause: Refusal
    retry_after_s: float


Admission = Admitted | Refused

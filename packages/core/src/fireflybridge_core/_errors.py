"""Errors that name the step that failed and the peer it failed against."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StepError:
    """Describe a failure by its step, its peer and what was seen.

    ``step`` is a dotted name such as ``log.append``; ``peer`` is an address or a host name.
    """

    step: str
    peer: str
    detail: str

    def __str__(self) -> str:
        return f"{self.step} to {self.peer}: {self.detail}"

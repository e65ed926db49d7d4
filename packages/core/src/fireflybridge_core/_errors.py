"""Errors of calls to other processes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StepError:
    """A failed call to another process.

    ``step`` is the dotted name of the operation, such as ``log.append``; ``peer`` is the address
    or host name of the other process; ``detail`` says what went wrong.
    """

    step: str
    peer: str
    detail: str

    def __str__(self) -> str:
        return f"{self.step} to {self.peer}: {self.detail}"

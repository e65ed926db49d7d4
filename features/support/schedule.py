"""Schedules of timed actions for the explorer and the soak test."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Step:
    """Hold one action of a schedule, ``at`` seconds after the run began."""

    at: float
    name: str
    act: Callable[[], None]


def play_steps(steps: Iterable[Step]) -> list[str]:
    """Carry out steps at their times and return them as text, in order."""
    ordered = sorted(steps, key=lambda step: step.at)
    began = time.monotonic()
    for step in ordered:
        time.sleep(max(0.0, began + step.at - time.monotonic()))
        step.act()
    return [f"{step.at:.2f} {step.name}" for step in ordered]

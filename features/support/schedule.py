"""Schedules of timed actions for the explorer and the soak test."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TimedAction:
    """An action that runs ``at`` seconds after the start of its schedule."""

    at: float
    name: str
    action: Callable[[], None]


def run_schedule(actions: Iterable[TimedAction]) -> list[str]:
    """Run the actions at their times and return them as text, in order."""
    ordered = sorted(actions, key=lambda scheduled: scheduled.at)
    began = time.monotonic()
    for scheduled in ordered:
        time.sleep(max(0.0, began + scheduled.at - time.monotonic()))
        scheduled.action()
    return [f"{scheduled.at:.2f} {scheduled.name}" for scheduled in ordered]

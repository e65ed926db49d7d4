"""State, faults and start records of a worker."""

import time
from dataclasses import dataclass, field
from enum import StrEnum

SLEEP_PREFIX = b"sleep="


class Fault(StrEnum):
    """Fault of a worker, which affects each of its requests."""

    NONE = "none"
    FAIL = "fail"  # runs the task, then responds with 500
    HANG = "hang"  # runs the task and never responds
    RESET = "reset"  # runs the task, then closes the connection without a response
    TRUNCATE = "truncate"  # runs the task, then closes in the middle of the response
    REFUSE = "refuse"  # responds with 503 and Retry-After without starting the task


@dataclass(frozen=True, slots=True)
class Start:
    """Started task: its idempotency key, the worker and the monotonic time in seconds."""

    key: str
    worker: str
    at: float


@dataclass(slots=True)
class Worker:
    """State of one worker: slots in use, fault, counters and records of started tasks."""

    name: str
    slots: int
    speed: float = 1.0
    fault: Fault = Fault.NONE
    running: int = 0
    peak_running: int = 0
    open_connections: int = 0
    peak_connections: int = 0
    refused: int = 0
    started: int = 0
    starts: list[Start] = field(default_factory=list)
    keep_starts: bool = True

    def start(self, key: str) -> bool:
        """Take a slot and record the start; return false if refused or if no slot is free."""
        if self.fault is Fault.REFUSE or self.running >= self.slots:
            self.refused += 1
            return False
        self.running += 1
        self.started += 1
        self.peak_running = max(self.peak_running, self.running)
        if self.keep_starts:
            self.starts.append(Start(key, self.name, time.monotonic()))
        return True

    def finish(self) -> None:
        """Free the slot of a task that ended."""
        self.running -= 1

    def open_connection(self) -> None:
        """Count an accepted connection as open."""
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)


def parse_sleep_s(body: bytes, speed: float) -> float:
    """Return the run time in seconds of a body ``sleep=<ms>;...``, divided by the speed."""
    if not body.startswith(SLEEP_PREFIX):
        return 0.0
    digits = body[len(SLEEP_PREFIX) :].split(b";", 1)[0]
    return int(digits) / 1000 / speed if digits.isdigit() else 0.0

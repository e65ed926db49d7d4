"""How a worker stand-in behaves, and what it records."""

import time
from dataclasses import dataclass, field
from enum import StrEnum

SLEEP_PREFIX = b"sleep="


class Fault(StrEnum):
    """Name a way in which a worker misbehaves."""

    NONE = "none"
    FAIL = "fail"  # answers 500 at once, after recording the start
    HANG = "hang"  # starts and never answers
    RESET = "reset"  # starts, then closes the connection without an answer
    TRUNCATE = "truncate"  # starts, then closes in the middle of the answer
    REFUSE = "refuse"  # answers 503 with Retry-After before starting


@dataclass(frozen=True, slots=True)
class Start:
    """Record one started task: idempotency key, worker and monotonic time in seconds."""

    key: str
    worker: str
    at: float


@dataclass(slots=True)
class Worker:
    """Own the state of one worker: its slots in use, faults and recorded starts."""

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
        """Take a slot and record the start, or refuse when the guard finds none free."""
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
        """Count a connection that was accepted."""
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)


def read_sleep_s(body: bytes, speed: float) -> float:
    """Return the run time in seconds that a ``sleep=<ms>;...`` body asks for."""
    if not body.startswith(SLEEP_PREFIX):
        return 0.0
    digits = body[len(SLEEP_PREFIX) :].split(b";", 1)[0]
    return int(digits) / 1000 / speed if digits.isdigit() else 0.0

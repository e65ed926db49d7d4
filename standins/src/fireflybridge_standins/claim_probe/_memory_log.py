"""In-memory log with fault injection, for tests and measurements of registrars."""

import time
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

import anyio
from result import Err, Ok, Result

from fireflybridge_core import StepError
from fireflybridge_platform import AppendFailure, MayBeAppended, NotAppended, Page, Record


class Fault(StrEnum):
    """Fault of one append, as described below; a read fails with any of them but ``NONE``."""

    NONE = "none"
    REFUSE = "refuse"  # fails with NotAppended
    LOSE_ANSWER = "lose-answer"  # appends, then fails with MayBeAppended
    DELAY_EFFECT = "delay-effect"  # fails with MayBeAppended and appends at a later call
    LOSE_REQUEST = "lose-request"  # fails with MayBeAppended and never appends
    SLOW = "slow"  # appends after an additional delay


@dataclass(slots=True)
class MemoryLog:
    """Log with a single stream; appends consume ``faults`` and reads ``read_faults``, one per call.

    ``latency_s`` is the duration of an append, which takes effect after half of it. ``slow_s`` is
    the additional delay of a ``SLOW`` append. A delayed append takes effect ``delay_calls`` calls
    later, in the order of the appends. Appends wait for ``gate`` if there is one.
    ``append_times_s`` holds the monotonic time at which each append began.
    """

    faults: deque[Fault] = field(default_factory=deque)
    read_faults: deque[Fault] = field(default_factory=deque)
    latency_s: float = 0.0
    slow_s: float = 0.0
    delay_calls: int = 2
    gate: anyio.Event | None = None
    first_offset: int = 0
    payloads: list[bytes] = field(default_factory=list)
    append_times_s: list[float] = field(default_factory=list)
    reads: int = 0
    _delayed: list[tuple[int, bytes]] = field(default_factory=list)

    async def append(self, stream: str, payload: bytes) -> Result[int, AppendFailure]:
        """Append a record, subject to the next fault."""
        self.append_times_s.append(time.monotonic())
        error = StepError("log.append", stream, "injected fault")
        fault = self._take_fault(self.faults)
        if self.gate is not None:
            await self.gate.wait()
        await anyio.sleep(self.latency_s / 2 + (self.slow_s if fault is Fault.SLOW else 0.0))
        match fault:
            case Fault.REFUSE:
                return Err(NotAppended(error))
            case Fault.LOSE_REQUEST:
                return Err(MayBeAppended(error))
            case Fault.DELAY_EFFECT:
                self._delayed.append((self.appends + self.reads + self.delay_calls, payload))
                return Err(MayBeAppended(error))
            case _:
                self.payloads.append(payload)
                offset = self.end_offset - 1
        await anyio.sleep(self.latency_s / 2)
        return Err(MayBeAppended(error)) if fault is Fault.LOSE_ANSWER else Ok(offset)

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[Page, StepError]:
        """Read records from ``start``, or from the oldest one if that is later."""
        self.reads += 1
        if self._take_fault(self.read_faults) is not Fault.NONE:
            return Err(StepError("log.read", stream, "injected fault"))
        await anyio.sleep(0)
        first = max(start, self.first_offset)
        index = first - self.first_offset
        payloads = self.payloads[index : index + limit]
        records = tuple(Record(first + i, payload) for i, payload in enumerate(payloads))
        return Ok(Page(records, self.first_offset, first + len(records), self.end_offset))

    @property
    def appends(self) -> int:
        """Number of appends that began."""
        return len(self.append_times_s)

    @property
    def end_offset(self) -> int:
        """Offset that the next record gets."""
        return self.first_offset + len(self.payloads)

    def truncate(self, first_offset: int) -> None:
        """Drop the records below an offset."""
        del self.payloads[: first_offset - self.first_offset]
        self.first_offset = first_offset

    def apply_delayed_appends(self) -> None:
        """Let every delayed append take effect now."""
        self.payloads.extend(payload for _, payload in self._delayed)
        self._delayed.clear()

    def _take_fault(self, faults: deque[Fault]) -> Fault:
        """Apply the delayed appends that are due and return the next fault."""
        due = [payload for call, payload in self._delayed if call <= self.appends + self.reads]
        self.payloads.extend(due)
        self._delayed = self._delayed[len(due) :]
        return faults.popleft() if faults else Fault.NONE

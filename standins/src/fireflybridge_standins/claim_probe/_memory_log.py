"""Log in memory with faults, for tests and measurements of the registrar."""

import time
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

import anyio
from result import Err, Ok, Result

from fireflybridge_core import StepError
from fireflybridge_platform import AppendFailure, MayBeAppended, NotAppended, Page, Record


class Fault(StrEnum):
    """Name what happens to one call of the log."""

    NONE = "none"
    REFUSE = "refuse"
    LOSE_ANSWER = "lose-answer"
    DELAY_EFFECT = "delay-effect"
    LOSE_REQUEST = "lose-request"
    SLOW = "slow"


@dataclass(slots=True)
class MemoryLog:
    """Hold one stream; each append takes the next fault, each read the next read fault.

    ``latency_s`` is the time of an append; the effect comes half way. A delayed effect comes at a
    later call, in the order of ``faults``: after as many calls as ``delay_calls`` says. Appends
    wait for ``gate`` if there is one; ``begun_s`` holds the monotonic time at which each began.
    """

    faults: deque[Fault] = field(default_factory=deque)
    read_faults: deque[Fault] = field(default_factory=deque)
    latency_s: float = 0.0
    slow_s: float = 0.0
    delay_calls: int = 2
    gate: anyio.Event | None = None
    first_offset: int = 0
    payloads: list[bytes] = field(default_factory=list)
    begun_s: list[float] = field(default_factory=list)
    reads: int = 0
    _floating: list[tuple[int, bytes]] = field(default_factory=list)

    async def append(self, stream: str, payload: bytes) -> Result[int, AppendFailure]:
        """Append a record, unless the next fault says otherwise."""
        self.begun_s.append(time.monotonic())
        error = StepError("log.append", stream, "injected fault")
        fault = self._take(self.faults)
        if self.gate is not None:
            await self.gate.wait()
        await anyio.sleep(self.latency_s / 2 + (self.slow_s if fault is Fault.SLOW else 0.0))
        match fault:
            case Fault.REFUSE:
                return Err(NotAppended(error))
            case Fault.LOSE_REQUEST:
                return Err(MayBeAppended(error))
            case Fault.DELAY_EFFECT:
                self._floating.append((self.appends + self.reads + self.delay_calls, payload))
                return Err(MayBeAppended(error))
            case _:
                self.payloads.append(payload)
                offset = self.end_offset - 1
        await anyio.sleep(self.latency_s / 2)
        return Err(MayBeAppended(error)) if fault is Fault.LOSE_ANSWER else Ok(offset)

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[Page, StepError]:
        """Read records from ``start``, or from the first one kept if that is later."""
        self.reads += 1
        if self._take(self.read_faults) is not Fault.NONE:
            return Err(StepError("log.read", stream, "injected fault"))
        await anyio.sleep(0)
        first = max(start, self.first_offset)
        index = first - self.first_offset
        chosen = self.payloads[index : index + limit]
        records = tuple(Record(first + i, payload) for i, payload in enumerate(chosen))
        return Ok(Page(records, self.first_offset, first + len(records), self.end_offset))

    @property
    def appends(self) -> int:
        """Return how many appends began."""
        return len(self.begun_s)

    @property
    def end_offset(self) -> int:
        """Return the offset that the next append gets."""
        return self.first_offset + len(self.payloads)

    def truncate(self, first_offset: int) -> None:
        """Drop the records below an offset."""
        del self.payloads[: first_offset - self.first_offset]
        self.first_offset = first_offset

    def land_all(self) -> None:
        """Let every delayed append take effect now."""
        self.payloads.extend(payload for _, payload in self._floating)
        self._floating.clear()

    def _take(self, faults: deque[Fault]) -> Fault:
        due = [payload for call, payload in self._floating if call <= self.appends + self.reads]
        self.payloads.extend(due)
        self._floating = self._floating[len(due) :]
        return faults.popleft() if faults else Fault.NONE

"""Hold the bytes of a delayed direction until they are due."""

from collections import deque
from dataclasses import dataclass

# A sender that has more than this on the way is held back.
MAX_DELAYED_BYTES = 4 << 20


@dataclass(frozen=True, slots=True)
class Data:
    """Hold bytes of one direction."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """State that the sender closed its direction."""

    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Broken:
    """State that the sender reset the connection."""

    data: bytes = b""


Chunk = Data | End | Broken


class DelayLine:
    """Own the chunks on the way; times are monotonic seconds."""

    def __init__(self) -> None:
        self._chunks: deque[tuple[float, Chunk]] = deque()
        self._bytes = 0
        self._has_ended = False

    @property
    def next_due(self) -> float:
        """Return when the oldest chunk is due; infinite without one."""
        return self._chunks[0][0] if self._chunks else float("inf")

    @property
    def accepts_more(self) -> bool:
        """Return whether the sender may be read."""
        return not self._has_ended and self._bytes < MAX_DELAYED_BYTES

    def push(self, due: float, chunk: Chunk) -> None:
        """Add the newest chunk."""
        self._chunks.append((due, chunk))
        self._bytes += len(chunk.data)
        self._has_ended = not isinstance(chunk, Data)

    def pop(self) -> Chunk:
        """Remove and return the oldest chunk."""
        _, chunk = self._chunks.popleft()
        self._bytes -= len(chunk.data)
        return chunk

"""Queue that delays the data of one direction of a connection."""

from collections import deque
from dataclasses import dataclass

# Limits the memory for delayed bytes: beyond it the proxy does not read from the sender.
MAX_DELAYED_BYTES = 4 << 20


@dataclass(frozen=True, slots=True)
class Data:
    """Bytes that the sender sent."""

    data: bytes


@dataclass(frozen=True, slots=True)
class EndOfStream:
    """End of the stream: the sender closed its direction."""

    data: bytes = b""


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """Failure of the connection to the sender, such as a reset."""

    data: bytes = b""


Chunk = Data | EndOfStream | ConnectionLost


class DelayQueue:
    """Received chunks with the monotonic times in seconds at which they are due."""

    def __init__(self) -> None:
        self._chunks: deque[tuple[float, Chunk]] = deque()
        self._bytes = 0
        self._has_ended = False

    @property
    def next_due(self) -> float:
        """Time at which the oldest chunk is due; infinite if the queue is empty."""
        return self._chunks[0][0] if self._chunks else float("inf")

    @property
    def accepts_data(self) -> bool:
        """Whether more may be read from the sender."""
        return not self._has_ended and self._bytes < MAX_DELAYED_BYTES

    def push(self, due: float, chunk: Chunk) -> None:
        """Add a chunk; none follows an ``EndOfStream`` or ``ConnectionLost``."""
        self._chunks.append((due, chunk))
        self._bytes += len(chunk.data)
        self._has_ended = not isinstance(chunk, Data)

    def pop(self) -> Chunk:
        """Remove and return the oldest chunk."""
        _, chunk = self._chunks.popleft()
        self._bytes -= len(chunk.data)
        return chunk

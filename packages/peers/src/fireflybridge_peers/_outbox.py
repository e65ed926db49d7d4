"""Bounded queue of the messages to one peer."""

from collections import deque
from dataclasses import dataclass

from result import Err, Ok, Result

from fireflybridge_peers._codec import EncodedMessage
from fireflybridge_peers._messages import Message

MAX_BATCH_BYTES = 1024 * 1024
MAX_BATCH_MESSAGES = 1000


@dataclass(frozen=True, slots=True)
class UnknownPeer:
    """There is no link to the peer."""

    peer: str


@dataclass(frozen=True, slots=True)
class OutboxFull:
    """The queue is full, since the peer acknowledges messages slower than they are sent."""

    peer: str


@dataclass(frozen=True, slots=True)
class PeerStalled:
    """The peer has acknowledged nothing for longer than an exchange may take."""

    peer: str


@dataclass(frozen=True, slots=True)
class MessageTooLarge:
    """The encoded message exceeds the size limit of a batch; sizes are in bytes."""

    peer: str
    size: int
    limit: int


SendFailure = UnknownPeer | OutboxFull | PeerStalled | MessageTooLarge


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """Encoded message with the monotonic time, in seconds, at which it was queued."""

    encoded: EncodedMessage
    queued_at: float


class Outbox:
    """Queue of the messages to one peer, bounded in number and in bytes."""

    def __init__(self, peer: str, max_messages: int, max_bytes: int) -> None:
        self._peer = peer
        self._max_messages = max_messages
        self._max_bytes = max_bytes
        self._queue: deque[QueuedMessage] = deque()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._queue)

    def put(self, encoded: EncodedMessage, now: float) -> Result[None, SendFailure]:
        """Append a message unless it would exceed a bound."""
        size = len(encoded.payload)
        if size > MAX_BATCH_BYTES:
            return Err(MessageTooLarge(self._peer, size, MAX_BATCH_BYTES))
        if len(self._queue) >= self._max_messages or self._bytes + size > self._max_bytes:
            return Err(OutboxFull(self._peer))
        self._queue.append(QueuedMessage(encoded, now))
        self._bytes += size
        return Ok(None)

    def take_batch(self) -> tuple[QueuedMessage, ...]:
        """Remove and return the oldest messages that fit in one batch."""
        batch: list[QueuedMessage] = []
        free_bytes = MAX_BATCH_BYTES
        while self._queue and len(batch) < MAX_BATCH_MESSAGES:
            size = len(self._queue[0].encoded.payload)
            if size > free_bytes:
                break
            batch.append(self._queue.popleft())
            free_bytes -= size
        self._bytes -= MAX_BATCH_BYTES - free_bytes
        return tuple(batch)

    def take_all(self) -> tuple[Message, ...]:
        """Remove and return every queued message."""
        messages = tuple(queued.encoded.message for queued in self._queue)
        self._queue.clear()
        self._bytes = 0
        return messages

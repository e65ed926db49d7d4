"""Keep the streams of the log in memory."""

import time
from collections import deque
from dataclasses import dataclass, field, replace
from itertools import islice

import anyio

MAX_PAGE_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Retention:
    """Limit what a stream keeps, by number of records and by age in seconds."""

    records: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Entry:
    """Hold one record with the monotonic time of its append in seconds."""

    offset: int
    payload: bytes
    appended_at: float


@dataclass(frozen=True, slots=True)
class Counters:
    """Count the use of one stream; bytes are payload bytes before base64.

    ``waiting`` is the number of reads that wait for their first record at the moment.
    """

    appends: int = 0
    append_bytes: int = 0
    reads: int = 0
    read_records: int = 0
    read_bytes: int = 0
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class Slice:
    """Hold the answer to one read."""

    entries: tuple[Entry, ...]
    first_offset: int
    next_offset: int
    end_offset: int


@dataclass(slots=True)
class Stream:
    """Own the records of one stream."""

    entries: deque[Entry] = field(default_factory=deque)
    end_offset: int = 0
    counters: Counters = Counters()
    appended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def first_offset(self) -> int:
        """Return the oldest offset still kept."""
        return self.entries[0].offset if self.entries else self.end_offset


class AppendPace:
    """Delay appends beyond a rate, first come first served."""

    def __init__(self, per_second: float) -> None:
        self._interval_s = 1.0 / per_second
        self._next_at = 0.0

    async def wait(self) -> None:
        """Wait for this append's turn."""
        now = time.monotonic()
        turn_at = max(now, self._next_at)
        self._next_at = turn_at + self._interval_s
        if turn_at > now:
            await anyio.sleep(turn_at - now)


class LogStore:
    """Own every stream of the log."""

    def __init__(self, retention: Retention) -> None:
        self._retention = retention
        self._streams: dict[str, Stream] = {}

    def append(self, name: str, payload: bytes) -> int:
        """Append one record, wake the waiting readers and return the record's offset."""
        stream = self._find_stream(name)
        offset = stream.end_offset
        stream.entries.append(Entry(offset, payload, time.monotonic()))
        stream.end_offset += 1
        self._drop_expired(stream)
        counters = stream.counters
        stream.counters = replace(
            counters,
            appends=counters.appends + 1,
            append_bytes=counters.append_bytes + len(payload),
        )
        stream.appended.set()
        stream.appended = anyio.Event()
        return offset

    async def read(self, name: str, start: int, limit: int, wait_s: float) -> Slice:
        """Read up to ``limit`` records from ``start``, waiting up to ``wait_s`` for the first."""
        stream = self._find_stream(name)
        await _wait_record(stream, start, wait_s)
        self._drop_expired(stream)
        entries = _select_entries(stream, start, limit)
        size = sum(len(entry.payload) for entry in entries)
        counters = stream.counters
        stream.counters = replace(
            counters,
            reads=counters.reads + 1,
            read_records=counters.read_records + len(entries),
            read_bytes=counters.read_bytes + size,
        )
        next_offset = entries[-1].offset + 1 if entries else max(start, stream.first_offset)
        return Slice(entries, stream.first_offset, next_offset, stream.end_offset)

    def truncate(self, name: str, first_offset: int) -> int:
        """Drop the records before ``first_offset`` and return the oldest offset still kept."""
        stream = self._find_stream(name)
        while stream.entries and stream.entries[0].offset < first_offset:
            stream.entries.popleft()
        return stream.first_offset

    def count(self) -> dict[str, Counters]:
        """Return the counters of every stream."""
        return {name: stream.counters for name, stream in self._streams.items()}

    def _find_stream(self, name: str) -> Stream:
        return self._streams.setdefault(name, Stream())

    def _drop_expired(self, stream: Stream) -> None:
        oldest_at = time.monotonic() - self._retention.seconds
        entries = stream.entries
        while entries and (
            len(entries) > self._retention.records or entries[0].appended_at < oldest_at
        ):
            entries.popleft()


async def _wait_record(stream: Stream, start: int, wait_s: float) -> None:
    stream.counters = replace(stream.counters, waiting=stream.counters.waiting + 1)
    try:
        with anyio.move_on_after(wait_s):
            while start >= stream.end_offset:
                await stream.appended.wait()
    finally:
        stream.counters = replace(stream.counters, waiting=stream.counters.waiting - 1)


def _select_entries(stream: Stream, start: int, limit: int) -> tuple[Entry, ...]:
    """Return at least one record if there is one, and about ``MAX_PAGE_BYTES`` at most."""
    skipped = max(0, start - stream.first_offset)
    selected: list[Entry] = []
    size = 0
    for entry in islice(stream.entries, skipped, skipped + limit):
        size += len(entry.payload)
        if selected and size > MAX_PAGE_BYTES:
            break
        selected.append(entry)
    return tuple(selected)

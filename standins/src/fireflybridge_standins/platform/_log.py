"""In-memory streams of the log."""

import time
from collections import deque
from dataclasses import dataclass, field, replace
from itertools import islice

import anyio

MAX_PAGE_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Retention:
    """Limits on the number and on the age of the records that a stream keeps."""

    max_records: int
    max_age_s: float


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """Record with the monotonic time of its append in seconds."""

    offset: int
    payload: bytes
    appended_at: float


@dataclass(frozen=True, slots=True)
class Counters:
    """Usage counters of one stream; bytes are payload bytes before base64.

    ``waiting`` is the number of reads that are now waiting for their first record.
    """

    appends: int = 0
    append_bytes: int = 0
    reads: int = 0
    read_records: int = 0
    read_bytes: int = 0
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class Page:
    """Result of one read."""

    records: tuple[StoredRecord, ...]
    first_offset: int
    next_offset: int
    end_offset: int


@dataclass(slots=True)
class Stream:
    """Records and counters of one stream."""

    records: deque[StoredRecord] = field(default_factory=deque)
    end_offset: int = 0
    counters: Counters = Counters()
    appended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def first_offset(self) -> int:
        """Offset of the oldest record that is still kept."""
        return self.records[0].offset if self.records else self.end_offset


class AppendRateLimiter:
    """Delays appends beyond a rate, in order of arrival."""

    def __init__(self, per_second: float) -> None:
        self._interval_s = 1.0 / per_second
        self._next_at = 0.0

    async def wait(self) -> None:
        """Wait until this append is within the rate."""
        now = time.monotonic()
        start_at = max(now, self._next_at)
        self._next_at = start_at + self._interval_s
        if start_at > now:
            await anyio.sleep(start_at - now)


class LogStore:
    """All streams of the log; a stream is created on first use."""

    def __init__(self, retention: Retention) -> None:
        self._retention = retention
        self._streams: dict[str, Stream] = {}

    def append(self, name: str, payload: bytes) -> int:
        """Append one record, wake the waiting readers and return the record's offset."""
        stream = self._get_stream(name)
        offset = stream.end_offset
        stream.records.append(StoredRecord(offset, payload, time.monotonic()))
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

    async def read(self, name: str, start: int, limit: int, wait_s: float) -> Page:
        """Read up to ``limit`` records from ``start``, waiting up to ``wait_s`` for the first."""
        stream = self._get_stream(name)
        await _wait_for_record(stream, start, wait_s)
        self._drop_expired(stream)
        records = _select_records(stream, start, limit)
        size = sum(len(record.payload) for record in records)
        counters = stream.counters
        stream.counters = replace(
            counters,
            reads=counters.reads + 1,
            read_records=counters.read_records + len(records),
            read_bytes=counters.read_bytes + size,
        )
        next_offset = records[-1].offset + 1 if records else max(start, stream.first_offset)
        return Page(records, stream.first_offset, next_offset, stream.end_offset)

    def truncate(self, name: str, first_offset: int) -> int:
        """Drop the records before ``first_offset`` and return the oldest offset still kept."""
        stream = self._get_stream(name)
        while stream.records and stream.records[0].offset < first_offset:
            stream.records.popleft()
        return stream.first_offset

    def get_counters(self) -> dict[str, Counters]:
        """Return the counters of every stream."""
        return {name: stream.counters for name, stream in self._streams.items()}

    def _get_stream(self, name: str) -> Stream:
        return self._streams.setdefault(name, Stream())

    def _drop_expired(self, stream: Stream) -> None:
        oldest_at = time.monotonic() - self._retention.max_age_s
        records = stream.records
        while records and (
            len(records) > self._retention.max_records or records[0].appended_at < oldest_at
        ):
            records.popleft()


async def _wait_for_record(stream: Stream, start: int, wait_s: float) -> None:
    stream.counters = replace(stream.counters, waiting=stream.counters.waiting + 1)
    try:
        with anyio.move_on_after(wait_s):
            while start >= stream.end_offset:
                await stream.appended.wait()
    finally:
        stream.counters = replace(stream.counters, waiting=stream.counters.waiting - 1)


def _select_records(stream: Stream, start: int, limit: int) -> tuple[StoredRecord, ...]:
    """Return records with a total payload of up to ``MAX_PAGE_BYTES``, or one larger record."""
    skipped = max(0, start - stream.first_offset)
    selected: list[StoredRecord] = []
    size = 0
    for record in islice(stream.records, skipped, skipped + limit):
        size += len(record.payload)
        if selected and size > MAX_PAGE_BYTES:
            break
        selected.append(record)
    return tuple(selected)

"""Topics of the log, with one partition each; a record has a key and a value."""

import base64
import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import anyio


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """Record of a topic.

    The content is one byte with the length of the key, the key and the value.
    """

    offset: int
    content: bytes

    @property
    def key(self) -> str:
        """Key of the record."""
        return self.content[1 : 1 + self.content[0]].decode("utf-8", "replace")

    @property
    def value(self) -> bytes:
        """Value of the record; an empty one deletes the key."""
        return self.content[1 + self.content[0] :]


@dataclass(slots=True)
class Topic:
    """Retained records of one topic and the newest record of each key."""

    records: list[StoredRecord] = field(default_factory=list)
    first_offset: int = 0
    newest: dict[str, StoredRecord] = field(default_factory=dict)
    appended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def end_offset(self) -> int:
        """Offset that the next record gets."""
        return self.first_offset + len(self.records)

    def append(self, contents: list[bytes]) -> int:
        """Append records and return the offset of the first."""
        start = self.end_offset
        for content in contents:
            record = StoredRecord(self.end_offset, content)
            self.records.append(record)
            self.newest[record.key] = record
        event, self.appended = self.appended, anyio.Event()
        event.set()
        return start

    def drop_history(self) -> None:
        """Drop every record, but keep the newest one of each key for ``list_newest``."""
        self.first_offset = self.end_offset
        self.records.clear()

    async def read(self, start: int, wait_s: float) -> bytes:
        """Return a response body: end offset, first offset and the records from ``start``.

        Waits up to ``wait_s`` seconds for a record.
        """
        with anyio.move_on_after(wait_s):
            while self.end_offset <= start:
                await self.appended.wait()
        records = self.records[max(start - self.first_offset, 0) :]
        encoded = b"".join(struct.pack(">I", len(r.content)) + r.content for r in records)
        return struct.pack(">QQ", self.end_offset, self.first_offset) + encoded

    def list_newest(self) -> dict[str, Any]:
        """Return a response body: one page with the newest record of each key."""
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in self.newest.values()
            if record.value
        ]
        return {"items": items, "has_more": False, "end": self.end_offset}


def split_records(body: bytes) -> Iterator[bytes]:
    """Yield the contents of the records in the request body of an append."""
    position = 0
    while position + 4 <= len(body):
        (length,) = struct.unpack_from(">I", body, position)
        yield body[position + 4 : position + 4 + length]
        position += 4 + length


def encode_record(key: str, value: bytes) -> bytes:
    """Return the content of a record."""
    return bytes([len(key)]) + key.encode() + value

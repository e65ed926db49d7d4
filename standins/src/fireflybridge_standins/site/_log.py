"""Keyed topics of the log, with one partition each."""

import base64
import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import anyio


@dataclass(frozen=True, slots=True)
class Stored:
    """Hold one record; the content begins with the key's length."""

    offset: int
    content: bytes

    @property
    def key(self) -> str:
        """Return the record's key."""
        return self.content[1 : 1 + self.content[0]].decode()

    @property
    def value(self) -> bytes:
        """Return the value; an empty one drops the key."""
        return self.content[1 + self.content[0] :]


@dataclass(slots=True)
class Topic:
    """Own the records of one topic."""

    records: list[Stored] = field(default_factory=list)
    first: int = 0
    newest: dict[str, Stored] = field(default_factory=dict)
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return self.first + len(self.records)

    def append(self, contents: list[bytes]) -> int:
        """Append records and return the offset of the first."""
        start = self.end
        for content in contents:
            stored = Stored(self.end, content)
            self.records.append(stored)
            self.newest[stored.key] = stored
        event, self.changed = self.changed, anyio.Event()
        event.set()
        return start

    def forget(self) -> None:
        """Drop the history; the newest record of each key stays."""
        self.first = self.end
        self.records.clear()

    async def read(self, start: int, wait_s: float) -> bytes:
        """Return the end, the first retained offset and the records from an offset on."""
        with anyio.move_on_after(wait_s):
            while self.end <= start:
                await self.changed.wait()
        chosen = self.records[max(start - self.first, 0) :]
        body = b"".join(struct.pack(">I", len(r.content)) + r.content for r in chosen)
        return struct.pack(">QQ", self.end, self.first) + body

    def list_newest(self) -> dict[str, Any]:
        """Return the newest record of each key as one page."""
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in self.newest.values()
            if record.value
        ]
        return {"items": items, "has_more": False, "end": self.end}


def split_records(body: bytes) -> Iterator[bytes]:
    """Return the contents of the records in the body of an append."""
    position = 0
    while position + 4 <= len(body):
        (length,) = struct.unpack_from(">I", body, position)
        yield body[position + 4 : position + 4 + length]
        position += 4 + length


def encode_keyed(key: str, value: bytes) -> bytes:
    """Return the content of a keyed record."""
    return bytes([len(key)]) + key.encode() + value

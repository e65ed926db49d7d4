"""Stand-in for the platform's store: keyed topics with one partition each."""

import asyncio
import base64
import json
import struct
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from lib2.wire import HttpServer, Request, Response, make_json

APPEND_S = 0.004
MAX_WAIT_S = 30.0
PAGE = 500


@dataclass
class Topic:
    """The records of a topic; a record is one byte with the key's length, the key and the value."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, content: bytes) -> None:
        """Append one record."""
        key = content[1 : 1 + content[0]].decode()
        value = content[1 + content[0] :]
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(content)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Store:
    """Serve ``log-append``, ``log-read`` and ``log-newest``."""

    def __init__(self, ip: str) -> None:
        self.topics: dict[str, Topic] = {}
        self.server = HttpServer(ip, 0, self.handle)

    def find(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: dict[str, Any] | None) -> None:
        """Write a record as a worker or the operator does; None removes the key."""
        encoded = b"" if value is None else json.dumps(value).encode()
        self.find(topic).append(bytes([len(key)]) + key.encode() + encoded)

    async def handle(self, request: Request) -> Response:
        """Serve one call."""
        topic = self.find(request.query["topic"])
        match request.path:
            case "/fireflybridge/log-append":
                return await self._append(topic, request)
            case "/fireflybridge/log-read":
                return await self._read(topic, request)
            case "/fireflybridge/log-newest":
                return self._list_newest(topic, request)
        return Response(404)

    async def _append(self, topic: Topic, request: Request) -> Response:
        await asyncio.sleep(APPEND_S)
        start = len(topic.records)
        if int(request.query.get("at", start)) != start:
            return make_json(412, {"end": start})
        position = 0
        while position + 4 <= len(request.body):
            (length,) = struct.unpack_from(">I", request.body, position)
            topic.append(request.body[position + 4 : position + 4 + length])
            position += 4 + length
        return make_json(200, {"offset": start, "end": len(topic.records)})

    async def _read(self, topic: Topic, request: Request) -> Response:
        start = int(request.query["from"])
        wait_s = min(int(request.query.get("wait_ms", 0)) / 1000, MAX_WAIT_S)
        if len(topic.records) <= start and wait_s:
            with suppress(TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), wait_s)
        limit = int(request.query.get("max_kb", 1024)) * 1024
        body = struct.pack(">QQ", len(topic.records), 0)
        for content in topic.records[start:]:
            if len(body) + 4 + len(content) > limit:
                break
            body += struct.pack(">I", len(content)) + content
        return Response(200, body, "application/octet-stream")

    def _list_newest(self, topic: Topic, request: Request) -> Response:
        keys = sorted(key for key in topic.newest if key > request.query.get("after", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        more = len(keys) > PAGE
        return make_json(200, {"items": items, "has_more": more, "end": len(topic.records)})

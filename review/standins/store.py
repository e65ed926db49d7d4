"""Stand-in of the platform's metadata store: keyed topics of the log, with 4 ms a call.

The operator and the workers write through ``POST /standin/put/TOPIC/KEY``.
"""

import argparse
import base64
import json
import struct
from urllib.parse import parse_qsl

import anyio

from fireflybridge_http import Request, Response, Server, ServerLimits

ANSWER_S = 0.004
JSON = (("content-type", "application/json"),)
OUTSIDE_TOPICS = ("keyed.op", "keyed.servers")


class Topic:
    """Records of one partition; nothing expires during a run."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.changed = anyio.Event()

    def append(self, contents: list[bytes]) -> int:
        offset = len(self.records)
        self.records.extend(contents)
        changed, self.changed = self.changed, anyio.Event()
        changed.set()
        return offset

    def newest(self) -> list[dict[str, object]]:
        found: dict[str, tuple[int, bytes]] = {}
        for offset, content in enumerate(self.records):
            end = 1 + content[0]
            found[content[1:end].decode()] = (offset, content[end:])
        return [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in found.items()
            if value
        ]


topics: dict[str, Topic] = {}


def answer(status: int, body: object) -> Response:
    return Response(status, json.dumps(body).encode(), JSON)


def encode(key: str, value: bytes) -> bytes:
    name = key.encode()
    return bytes([len(name)]) + name + value


def split(body: bytes) -> list[bytes]:
    contents, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        contents.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return contents


async def read(topic: Topic, query: dict[str, str]) -> Response:
    start = int(query["from"])
    with anyio.move_on_after(int(query.get("wait_ms", 0)) / 1000):
        while len(topic.records) <= start:
            await topic.changed.wait()
    limit = int(query.get("max_kb", 1024)) * 1024
    body = struct.pack(">QQ", len(topic.records), 0)
    for content in topic.records[start:]:
        if len(body) > 16 and len(body) + 4 + len(content) > limit:
            break
        body += struct.pack(">I", len(content)) + content
    return Response(200, body)


async def handle(request: Request) -> Response:
    await anyio.sleep(ANSWER_S)
    path, _, text = request.target.partition("?")
    if path.startswith("/standin/put/"):
        _, _, _, name, key = path.split("/", 4)
        offset = topics.setdefault(name, Topic()).append([encode(key, request.body)])
        return answer(200, {"offset": offset})
    query = dict(parse_qsl(text))
    topic = topics.setdefault(query["topic"], Topic())
    match path:
        case "/fireflybridge/log-read":
            return await read(topic, query)
        case "/fireflybridge/log-newest":
            return answer(
                200, {"items": topic.newest(), "has_more": False, "end": len(topic.records)}
            )
        case "/fireflybridge/log-append" if query["topic"] in OUTSIDE_TOPICS:
            return answer(403, {})
        case "/fireflybridge/log-append":
            if int(query.get("at", len(topic.records))) != len(topic.records):
                return answer(412, {"end": len(topic.records)})
            offset = topic.append(split(request.body))
            return answer(200, {"offset": offset, "end": len(topic.records)})
    return Response(404)


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    address = parser.parse_args().address
    limits = ServerLimits(max_body_bytes=4 * 1024 * 1024, idle_timeout_s=3600.0)
    async with anyio.create_task_group() as group:
        await group.start(Server(address, handle, limits).serve, group)
        print("ready", flush=True)


anyio.run(main)

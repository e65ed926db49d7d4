"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

JSON_TYPE = "application/json"


@dataclass(frozen=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> dict[str, Any]:
        """Return the body as an object."""
        return dict(json.loads(self.body))


@dataclass(frozen=True)
class Response:
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE


Handler = Callable[[Request], Awaitable[Response | None]]


def make_json(status: int, body: object) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(body).encode())


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


class HttpServer:
    """Serve one address; it can be stopped as a killed process stops, and started again there."""

    def __init__(self, ip: str, port: int, handler: Handler) -> None:
        self.ip = ip
        self.port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return the address as ``ip:port``."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listen; a port of 0 is replaced by a free one for good."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """Stop listening and end every connection without an answer."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                response = await self._handler(await _read_request(reader))
                if response is None:
                    return
                writer.write(_encode_response(response))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    parts = urlsplit(target)
    return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)


def _encode_response(response: Response) -> bytes:
    head = (
        f"HTTP/1.1 {response.status} X\r\ncontent-type: {response.content_type}\r\n"
        f"content-length: {len(response.body)}\r\n\r\n"
    )
    return head.encode() + response.body


@dataclass(frozen=True)
class Answer:
    """What a client got; status 0 means that the connection ended without an answer."""

    status: int
    body: bytes = b""
    closes: bool = False
    detail: str = ""


class ClientConnection:
    """One connection of a client, which is kept open until the other side closes it."""

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        self._reader, self._writer = await asyncio.open_connection(self._ip, self._port)

    async def send(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """Send a whole request."""
        assert self._writer is not None
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"{method} {path} HTTP/1.1\r\n{lines}content-length: {len(body)}\r\n\r\n"
        self._writer.write(head.encode() + body)
        await self._writer.drain()

    async def receive(self) -> Answer:
        """Return the next answer."""
        assert self._reader is not None
        try:
            first, headers = await read_head(self._reader)
            body = await self._reader.readexactly(int(headers.get("content-length", 0)))
        except asyncio.IncompleteReadError as error:
            return Answer(0, detail=f"closed after {len(error.partial)} bytes")
        except OSError as error:
            return Answer(0, detail=type(error).__name__)
        closes = headers.get("connection", "") == "close"
        return Answer(int(first.split(" ")[1]), body, closes)

    async def call(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Send a request and return its answer."""
        try:
            await self.send(method, path, headers, body)
        except OSError as error:
            return Answer(0, detail=type(error).__name__)
        return await self.receive()

    @property
    def is_ended(self) -> bool:
        """Return whether the other side has closed the connection."""
        return self._reader is None or self._reader.at_eof()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    def reset(self) -> None:
        """End the connection with a reset."""
        if self._writer is not None and not self._writer.is_closing():
            raw = self._writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._writer.transport.abort()

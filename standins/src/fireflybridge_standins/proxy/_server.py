"""Run the proxy's control port on hypercorn.

Each connection is served by hypercorn's ``TCPServer`` directly: hypercorn's own ``serve`` raises
when it is cancelled, so every exit of the proxy would be a failure.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import msgspec
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.utils import wrap_app

MAX_REQUEST_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class ControlResponse:
    """HTTP status and the object that is sent as the JSON body."""

    status: int
    body: object


Handler = Callable[[str, str, bytes], ControlResponse]


async def start_control_server(address: str, handle: Handler) -> asyncio.Server:
    """Serve ``handle(method, path, body)`` on ``ip:port``, where port 0 picks a free one."""

    async def serve_request(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        chunks: list[bytes] = []
        is_complete = False
        while not is_complete:
            event = await receive()
            if event["type"] == "http.disconnect":
                return
            chunks.append(event.get("body", b""))
            is_complete = not event.get("more_body", False)
        response = handle(scope["method"], scope["path"], b"".join(chunks))
        headers = [(b"content-type", b"application/json")]
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        await send({"type": "http.response.body", "body": msgspec.json.encode(response.body)})

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Cancelled only at exit; asyncio 3.11 would log the cancellation as an error.
        with suppress(asyncio.CancelledError):
            await TCPServer(app, loop, config, context, {}, reader, writer)

    config = Config()
    app = wrap_app(serve_request, MAX_REQUEST_BYTES, "asgi")
    context = WorkerContext(None)
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    return await asyncio.start_server(serve_connection, host, int(port))

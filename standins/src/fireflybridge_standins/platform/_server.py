"""Run the stand-in's ASGI application on hypercorn.

hypercorn responds with 500 for an application that sends no response. The only way to close a
connection without a response is to abort its writer, so each connection is served by hypercorn's
``TCPServer`` directly, with the writer in a context variable.
"""

import asyncio
from contextlib import suppress
from contextvars import ContextVar
from functools import partial
from typing import Any

from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.utils import wrap_app

from fireflybridge_standins.platform._control import handle_control
from fireflybridge_standins.platform._service import (
    ConnectionAbort,
    Outcome,
    Platform,
    Response,
    handle_request,
    make_request,
)

KEEP_ALIVE_S = 75.0
MAX_REQUEST_BYTES = 4 << 20

WRITER: ContextVar[asyncio.StreamWriter] = ContextVar("writer")


async def read_body(receive: Any) -> bytes | None:
    """Return the request body, or ``None`` if the client disconnected before its end.

    An incomplete body must not be appended as a record.
    """
    chunks: list[bytes] = []
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        chunks.append(event.get("body", b""))
        if not event.get("more_body", False):
            return b"".join(chunks)


async def serve_request(platform: Platform, scope: Any, receive: Any, send: Any) -> None:
    """Serve one ASGI request."""
    if scope["type"] != "http":
        return
    body = await read_body(receive)
    if body is None:
        return
    known_etag = dict(scope["headers"]).get(b"if-none-match", b"").decode("latin-1")
    query = scope["query_string"].decode("ascii", "replace")
    request = make_request(scope["method"], scope["path"], query, body, known_etag)
    outcome: Outcome
    if request.path.startswith("/control/"):
        outcome = handle_control(platform, request)
    else:
        outcome = await handle_request(platform, request)
    match outcome:
        case Response(status, content, etag):
            headers = [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(content)).encode()),
            ]
            if etag:
                headers.append((b"etag", etag.encode()))
            await send({"type": "http.response.start", "status": status, "headers": headers})
            await send({"type": "http.response.body", "body": content})
        case ConnectionAbort():
            WRITER.get().transport.abort()


async def start_server(platform: Platform, host: str, port: int) -> asyncio.Server:
    """Listen on ``host:port``, where port 0 picks a free one, with one task per connection."""
    config = Config()
    config.keep_alive_timeout = KEEP_ALIVE_S
    app = wrap_app(partial(serve_request, platform), MAX_REQUEST_BYTES, "asgi")
    context = WorkerContext(None)
    loop = asyncio.get_running_loop()

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        WRITER.set(writer)
        # Cancelled only at exit; asyncio 3.11 would log the cancellation as an error.
        with suppress(asyncio.CancelledError):
            await TCPServer(app, loop, config, context, {}, reader, writer)

    return await asyncio.start_server(serve_connection, host, port)

"""JSON control ports of the stand-ins, served by hypercorn."""

import asyncio
import json
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import anyio
from anyio.abc import TaskStatus
from hypercorn.asyncio import serve
from hypercorn.config import Config

Handler = Callable[[str, str, bytes], Any]


async def read_body(receive: Any) -> bytes:
    """Return the body of an ASGI request."""
    chunks: list[bytes] = []
    while True:
        event = await receive()
        chunks.append(event.get("body", b""))
        if not event.get("more_body", False):
            return b"".join(chunks)


async def serve_control(
    address: str,
    handle: Handler,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``handle(method, path, body)`` on ``ip:port`` and report the bound address.

    The result of ``handle`` is sent as JSON; ``None`` gives the status 404. Port 0 picks a free one.
    """

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        body = await read_body(receive)
        content = handle(scope["method"], scope["path"], body)
        headers = [(b"content-type", b"application/json")]
        status = 404 if content is None else 200
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": json.dumps(content).encode()})

    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)))
    config = Config()
    config.errorlog = None
    config.graceful_timeout = 0
    task_status.started("{}:{}".format(*listener.getsockname()))
    # hypercorn takes ownership of the descriptor and closes it.
    config.bind = [f"fd://{listener.detach()}"]
    # hypercorn raises one of them when it is cancelled while connections are open.
    with suppress(asyncio.CancelledError, asyncio.InvalidStateError):
        await serve(app, config, shutdown_trigger=anyio.sleep_forever)

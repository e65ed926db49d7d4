"""HTTP server that runs an ASGI application on hypercorn."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import anyio
from anyio.abc import TaskStatus
from hypercorn.asyncio import serve
from hypercorn.config import Config

from fireflybridge_core import Address, parse_address
from fireflybridge_front._hypercorn import patch_hypercorn
from fireflybridge_front._requests import MAX_HEADER_BYTES

KEEP_ALIVE_TIMEOUT_S = 75
# The kernel closes a connection whose caller has read nothing of its answer for this long.
UNREAD_ANSWER_TIMEOUT_MS = 20_000


patch_hypercorn()


async def serve_app(
    app: Any,
    address: str,
    wait_stop: Callable[[], Awaitable[None]],
    graceful_timeout_s: float,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``wait_stop`` returns, then wait for open requests to end.

    The wait is bounded by ``graceful_timeout_s``. The ``ip:port`` listened on is reported through
    ``task_status``.
    """
    requested = parse_address(address)
    listener = socket.create_server(
        (requested.ip, requested.port), family=requested.family, backlog=1024
    )
    # Accepted connections inherit this option from the listener.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNREAD_ANSWER_TIMEOUT_MS)
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = graceful_timeout_s
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    # hypercorn's read_timeout is not set, since it would also disconnect callers that wait for an
    # answer. The application bounds the time for a body, the keep-alive timeout that for headers.
    bound = str(Address(*listener.getsockname()[:2]))
    # hypercorn owns the descriptor from here on and closes it.
    config.bind = [f"fd://{listener.detach()}"]
    task_status.started(bound)
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_serve_shielded, app, config, stop)
        try:
            await wait_stop()
        finally:
            stop.set()


async def _serve_shielded(app: Any, config: Config, stop: anyio.Event) -> None:
    """Serve until ``stop`` is set, even if the surrounding task is cancelled.

    hypercorn leaves the tasks of its connections running when it is cancelled. It raises
    CancelledError when a connection is still open after the graceful timeout.
    """
    with anyio.CancelScope(shield=True), suppress(asyncio.CancelledError):
        await serve(app, config, shutdown_trigger=stop.wait)

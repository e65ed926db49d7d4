"""Runs an ASGI application on hypercorn."""

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
from fireflybridge_front._hypercorn import adjust_hypercorn
from fireflybridge_front._requests import MAX_HEADER_BYTES

KEEP_ALIVE_TIMEOUT_S = 75
# A caller that reads nothing of its answer for so long is cut off by the kernel.
UNREAD_ANSWER_MS = 20_000


adjust_hypercorn()


async def serve_app(
    app: Any,
    address: str,
    wait_stop: Callable[[], Awaitable[None]],
    graceful_s: float,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until ``wait_stop`` returns, then let open requests end for ``graceful_s`` seconds.

    The bound ``ip:port`` is reported through ``task_status``.
    """
    wanted = parse_address(address)
    listener = socket.create_server((wanted.ip, wanted.port), family=wanted.family, backlog=1024)
    # Accepted connections inherit the option.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNREAD_ANSWER_MS)
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = graceful_s
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    # hypercorn's read_timeout would also cut callers that wait for an answer, so it stays unset;
    # a slow body is bounded by the application, slow headers by the keep-alive timeout.
    bound = str(Address(*listener.getsockname()[:2]))
    # hypercorn takes the descriptor over and closes it.
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
    """Serve until ``stop`` is set, also when the surrounding task is cancelled.

    A cancelled hypercorn leaves its connections' tasks running. It raises CancelledError when a
    connection outlives the graceful time.
    """
    with anyio.CancelScope(shield=True), suppress(asyncio.CancelledError):
        await serve(app, config, shutdown_trigger=stop.wait)

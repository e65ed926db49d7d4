"""Patches of hypercorn where it has no setting; they depend on its pinned version."""

from contextlib import suppress

import h11
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.protocol.h11 import H11Protocol

from fireflybridge_front._problems import render_invalid_http
from fireflybridge_front._requests import MAX_HEADER_BYTES

_close_connection = TCPServer._close
_create_stream = H11Protocol._create_stream


def patch_hypercorn() -> None:
    """Keep connections on HTTP/1.1, answer invalid HTTP with a problem, and ignore close errors.

    hypercorn accepts upgrades to HTTP/2 and WebSocket, which the limits of this package do not
    cover. It answers bytes that are not HTTP with an empty body. When the kernel times out a
    connection, it prints a traceback, since on close it handles a reset but not a timeout.
    """
    H11Protocol._check_protocol = _ignore_upgrade  # type: ignore[assignment, method-assign]
    H11Protocol._create_stream = _create_stream_without_upgrade  # type: ignore[assignment, method-assign]
    H11Protocol._send_error_response = _send_invalid_http_response  # type: ignore[assignment, method-assign]
    TCPServer._close = _close_ignoring_errors  # type: ignore[assignment, method-assign]


async def _ignore_upgrade(protocol: H11Protocol, request: h11.Request) -> None:
    """Ignore a requested upgrade, as RFC 9110 allows."""


async def _create_stream_without_upgrade(protocol: H11Protocol, request: h11.Request) -> None:
    headers = list(request.headers)
    other_headers = [field for field in headers if field[0] != b"upgrade"]
    if len(other_headers) < len(headers):
        request = h11.Request(
            method=request.method,
            target=request.target,
            headers=other_headers,
            http_version=request.http_version,
        )
    await _create_stream(protocol, request)


async def _send_invalid_http_response(protocol: H11Protocol, status: int) -> None:
    headers, body = render_invalid_http(status, MAX_HEADER_BYTES)
    await protocol._send_h11_event(h11.Response(status_code=status, headers=headers))
    await protocol._send_h11_event(h11.Data(data=body))
    await protocol._send_h11_event(h11.EndOfMessage())


async def _close_ignoring_errors(server: TCPServer) -> None:
    with suppress(OSError):
        await _close_connection(server)

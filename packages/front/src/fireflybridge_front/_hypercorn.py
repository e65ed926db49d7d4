"""Changes to hypercorn, which offers no setting for them; written against its pinned version."""

from contextlib import suppress

import h11
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.protocol.h11 import H11Protocol

from fireflybridge_front._problems import render_broken_http
from fireflybridge_front._requests import MAX_HEADER_BYTES

_close_connection = TCPServer._close
_create_stream = H11Protocol._create_stream


def adjust_hypercorn() -> None:
    """Keep connections on HTTP/1.1, answer broken requests, and close broken connections quietly.

    hypercorn follows requests to switch to HTTP/2 or a WebSocket, which the limits of this package
    do not cover. It answers bytes that are not HTTP with an empty body. When the kernel gives up a
    connection, it prints a traceback: it expects a reset there, but no timeout.
    """
    H11Protocol._check_protocol = _keep_protocol  # type: ignore[assignment, method-assign]
    H11Protocol._create_stream = _create_plain_stream  # type: ignore[assignment, method-assign]
    H11Protocol._send_error_response = _send_broken_http  # type: ignore[assignment, method-assign]
    TCPServer._close = _close_quietly  # type: ignore[assignment, method-assign]


async def _keep_protocol(protocol: H11Protocol, request: h11.Request) -> None:
    """Ignore what a request asks for, as RFC 9110 allows."""


async def _create_plain_stream(protocol: H11Protocol, request: h11.Request) -> None:
    headers = list(request.headers)
    plain = [field for field in headers if field[0] != b"upgrade"]
    if len(plain) < len(headers):
        request = h11.Request(
            method=request.method,
            target=request.target,
            headers=plain,
            http_version=request.http_version,
        )
    await _create_stream(protocol, request)


async def _send_broken_http(protocol: H11Protocol, status: int) -> None:
    headers, body = render_broken_http(status, MAX_HEADER_BYTES)
    await protocol._send_h11_event(h11.Response(status_code=status, headers=headers))
    await protocol._send_h11_event(h11.Data(data=body))
    await protocol._send_h11_event(h11.EndOfMessage())


async def _close_quietly(server: TCPServer) -> None:
    with suppress(OSError):
        await _close_connection(server)

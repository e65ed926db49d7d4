"""Send raw bytes to the callers' port of a daemon."""

import re
import socket
from dataclasses import dataclass

from behave.runner import Context

ANSWER_LIMIT_S = 30.0
STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) ")


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold a response: its status, its unparsed head and its body."""

    status: int
    head: bytes
    body: bytes


def connect(context: Context) -> socket.socket:
    host, _, port = context.deployment.daemons["d1"].address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=ANSWER_LIMIT_S)


def exchange(context: Context, data: bytes) -> Reply | None:
    """Send bytes, close the sending side, and return the first response or ``None`` for none."""
    with connect(context) as connection:
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # The daemon may respond and close before it has read everything.
        received = receive_all(connection)
    match = STATUS_LINE.match(received)
    if match is None:
        assert received == b"", received[:200]
        return None
    head, _, body = received.partition(b"\r\n\r\n")
    return Reply(int(match[1]), head, body)


def receive_all(connection: socket.socket) -> bytes:
    chunks = []
    try:
        while chunk := connection.recv(65536):
            chunks.append(chunk)
    except ConnectionResetError:
        pass
    return b"".join(chunks)


def make_request(
    body: bytes = b"",
    *,
    method: bytes = b"POST",
    path: bytes = b"/v1/jobs",
    fields: tuple[tuple[bytes, bytes], ...] = ((b"Idempotency-Key", b"hostile"),),
    length: bytes | None = None,
) -> bytes:
    size = b"%d" % len(body) if length is None else length
    lines = [
        method + b" " + path + b" HTTP/1.1",
        b"Host: x",
        b"Connection: close",
        b"Content-Length: " + size,
        *(name + b": " + value for name, value in fields),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body

"""Encoding of HTTP/1.1 requests and responses."""

from collections.abc import Iterable
from http import HTTPStatus

from fireflybridge_http._messages import Request, Response

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REASONS = {status.value: status.phrase for status in HTTPStatus}


def encode_request(request: Request, host: str) -> bytes:
    """Return the bytes of a request to a host; raise ``ValueError`` for a forbidden character."""
    if " " in request.target:
        raise ValueError("a target may not contain spaces")
    lines = (
        f"{request.method} {request.target} HTTP/1.1",
        f"host: {host}",
        *(f"{name}: {value}" for name, value in request.headers),
        f"content-length: {len(request.body)}",
    )
    return _encode(lines, request.body)


def encode_response(response: Response, *, close: bool) -> bytes:
    """Return the bytes of a response; raise ``ValueError`` for a forbidden character.

    ``close`` announces that the connection is closed after it.
    """
    lines = [
        f"HTTP/1.1 {response.status} {_REASONS.get(response.status, '')}",
        *(f"{name}: {value}" for name, value in response.headers),
        f"content-length: {len(response.body)}",
    ]
    if close:
        lines.append("connection: close")
    return _encode(lines, response.body)


def _encode(lines: Iterable[str], body: bytes) -> bytes:
    # A line break in a value from outside would add a header or a whole message.
    head = "".join(f"{line}\r\n" if line.isprintable() else _reject(line) for line in lines)
    return head.encode("latin-1") + b"\r\n" + body


def _reject(line: str) -> str:
    raise ValueError(f"control character in {line!r}")
